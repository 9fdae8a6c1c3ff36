"""Thrift calls between nodes: handler, listener and clients."""

from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from socket import SHUT_RDWR
from typing import Protocol

import msgspec
import thriftpy2
from endive_core.exceptions import EndiveError, RecordError
from endive_core.membership import Membership
from endive_core.records import Snapshot, decode, encode
from gevent.server import StreamServer
from gevent.socket import wait_read
from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.rpc import make_client
from thriftpy2.thrift import TException, TProcessor
from thriftpy2.transport import TBufferedTransportFactory, TSocket, TTransportException

from endive_node.configuration import Configuration
from endive_node.connection_limit import ConnectionLimit
from endive_node.logs import log_event
from endive_node.request_traces import TraceStore
from endive_node.sockets import listen_tcp

IDL = thriftpy2.load(
    str(Path(__file__).with_name("peers.thrift")), module_name="peers_thrift"
)
IDLE_TIMEOUT_S = 60.0
CALL_TIMEOUT_S = 2.0
MAX_PULL_ATTEMPTS = 3
"""Most members that one pull asks for the configuration, the newest one first."""


class PeerUnavailableError(Exception):
    """A peer did not respond; it may or may not have executed the call."""


class PeerUnreachableError(PeerUnavailableError):
    """No connection to a peer was made; the call was not executed."""


class PeerHandler:
    """Handles the calls of other nodes: the methods of ``peers.thrift``."""

    def __init__(
        self,
        node_id: str,
        configuration: Configuration,
        traces: TraceStore,
        handover: "TransferReceiver | None" = None,
        claims: "ClaimAppender | None" = None,
    ) -> None:
        self.node_id = node_id
        self.configuration = configuration
        self.traces = traces
        if handover is not None:
            self.take_requests = handover.take_requests
            self.take_answers = handover.take_answers
            self.read_answer = handover.read_answer
        if claims is not None:
            self.claim = claims.take_claim
            self.release = claims.take_release

    def ping(self) -> str:
        """Return this node's id."""
        return self.node_id

    def pull_configuration(self) -> str:
        """Return the configuration in force, as an encoded snapshot record."""
        if not self.configuration.ready.is_set():
            raise IDL.PeerError(
                kind="not_ready", message="this node has no configuration yet"
            )
        return encode(self.configuration.fold.snapshot())

    def explain_request(self, request_id: str) -> str:
        """Return the trace of a request, as JSON."""
        try:
            trace = self.traces.get(request_id).to_dict(self.node_id)
        except EndiveError as error:
            raise IDL.PeerError(kind=str(error.kind), message=error.message) from None
        return msgspec.json.encode(trace).decode()


class PeerConfigurationSource:
    """The gossip members, as a :class:`~.interfaces.ConfigurationSource`.

    Parameters
    ----------
    shuffle : callable
        Shuffles a list in place, so that not all lagging nodes ask the same member.
    """

    def __init__(self, members: Membership, shuffle: Callable[[list], None]) -> None:
        self.members = members
        self.shuffle = shuffle

    def highest_offset(self) -> int:
        """See :meth:`endive_node.interfaces.ConfigurationSource.highest_offset`."""
        return self.members.highest_offset

    def reachable_offset(self) -> int:
        """See :meth:`endive_node.interfaces.ConfigurationSource.reachable_offset`."""
        reachable = self.members.reachable()
        return max((peer.configuration_offset for peer in reachable), default=-1)

    def pull(self) -> Snapshot | None:
        """See :meth:`endive_node.interfaces.ConfigurationSource.pull`."""
        peers = self.members.reachable()
        self.shuffle(peers)
        peers.sort(key=lambda peer: peer.configuration_offset, reverse=True)
        for peer in peers[:MAX_PULL_ATTEMPTS]:
            try:
                return decode(PeerClient(peer.peer_address).pull_configuration())
            except (IDL.PeerError, PeerUnavailableError, RecordError) as error:
                log_event("configuration_not_pulled", peer=peer.id, error=error)
        return None


class TransferReceiver(Protocol):
    """Takes over the requests of a leaving node and serves their answers."""

    def take_requests(self, sender: str, encoded: list[bytes]) -> list[str]:
        """Store transferred requests; return the ids of those accepted."""
        ...

    def take_answers(self, sender: str, encoded: list[bytes]) -> list[str]:
        """Continue from transferred answers; return the ids of the requests."""
        ...

    def read_answer(
        self, organisation: str, request_id: str, key: str, start: int, wait_s: float
    ):
        """Return an ``AnswerPage``."""
        ...


class ClaimAppender(Protocol):
    """Appends the claims and releases of other nodes to the log."""

    def take_claim(self, record: str):
        """Return a ``ClaimAnswer``."""
        ...

    def take_release(self, record: str) -> None:
        """Append a release."""
        ...


class PeerConnectionServer:
    """Processes the calls on one connection from another node."""

    def __init__(self, connection, processor: TProcessor) -> None:
        self.connection = connection
        self.processor = processor

    def serve(self, limit: ConnectionLimit) -> None:
        """Process calls until the peer disconnects or the idle time-out is over."""
        transport = TSocket()
        transport.set_handle(self.connection)
        transport.set_timeout(IDLE_TIMEOUT_S * 1000)
        buffered = TBufferedTransportFactory().get_transport(transport)
        protocol = TBinaryProtocolFactory().get_protocol(buffered)
        try:
            while True:
                limit.waits(self)
                wait_read(self.connection.fileno(), timeout=IDLE_TIMEOUT_S)
                limit.received(self)
                self.processor.process(protocol, protocol)
        except (TTransportException, OSError):
            pass
        finally:
            buffered.close()

    def evict(self) -> None:
        """See :meth:`endive_node.connection_limit.OpenConnection.evict`."""
        with suppress(OSError):
            self.connection.shutdown(SHUT_RDWR)


class PeerListener:
    """The thrift listener of a node.

    thriftpy2's own threaded server prints a traceback when an idle connection times
    out. This one closes the connection without one.
    """

    def __init__(
        self, handler: PeerHandler, address: str, port: int, limit: ConnectionLimit
    ) -> None:
        self.processor = TProcessor(IDL.Peer, handler)
        self.limit = limit
        self.socket = listen_tcp(address, port)
        self.port = self.socket.getsockname()[1]
        self.server = StreamServer(self.socket, self.serve_connection)

    def start(self) -> None:
        """Start to accept connections."""
        self.server.start()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self.server.stop(timeout=0)

    def serve_connection(self, connection, _address) -> None:
        """Process calls on a connection, or close it if there are too many."""
        served = PeerConnectionServer(connection, self.processor)
        if not self.limit.admit(served):
            return
        try:
            served.serve(self.limit)
        finally:
            self.limit.ended(served)


class PeerClient:
    """A client of another node that opens a connection for each call.

    The calls are rare, so connections are not kept.
    """

    def __init__(self, peer_address: str, timeout_s: float = CALL_TIMEOUT_S) -> None:
        host, port = peer_address.rsplit(":", 1)
        self.host = host
        self.port = int(port)
        self.timeout_s = timeout_s

    def call(self, method: str, *arguments):
        """Call `method` and return its result.

        Raises
        ------
        PeerError
            If the peer raised it.
        PeerUnreachableError
            If no connection was made.
        PeerUnavailableError
            If no response arrived.
        """
        try:
            client = make_client(
                IDL.Peer, self.host, self.port, timeout=self.timeout_s * 1000
            )
        except (TException, OSError) as error:
            raise PeerUnreachableError(str(error)) from None
        try:
            return getattr(client, method)(*arguments)
        except IDL.PeerError:
            raise
        except (TException, OSError) as error:
            raise PeerUnavailableError(str(error)) from None
        finally:
            client.close()

    def ping(self) -> str:
        """Return the peer's id."""
        return self.call("ping")

    def pull_configuration(self) -> str:
        """Return the peer's configuration, as an encoded snapshot record."""
        return self.call("pull_configuration")

    def explain_request(self, request_id: str) -> str:
        """Return the trace of a request that the peer accepted, as JSON."""
        return self.call("explain_request", request_id)


class PeerConnection:
    """A client of another node that keeps one connection open between calls.

    It serves repeated calls, such as relaying an answer to a caller page by page.

    Raises
    ------
    PeerUnreachableError
        If no connection was made.
    """

    def __init__(self, peer_address: str, timeout_s: float = CALL_TIMEOUT_S) -> None:
        host, port = peer_address.rsplit(":", 1)
        try:
            self.client = make_client(
                IDL.Peer, host, int(port), timeout=timeout_s * 1000
            )
        except (TException, OSError) as error:
            raise PeerUnreachableError(str(error)) from None

    def call(self, method: str, *arguments):
        """Call `method`; see :meth:`PeerClient.call`."""
        try:
            return getattr(self.client, method)(*arguments)
        except IDL.PeerError:
            raise
        except (TException, OSError) as error:
            raise PeerUnavailableError(str(error)) from None

    def close(self) -> None:
        """Close the connection."""
        self.client.close()
