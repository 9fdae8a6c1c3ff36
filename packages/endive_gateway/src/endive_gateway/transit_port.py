"""Carries the connections of nodes that can't reach backend servers themselves."""

from collections import Counter, defaultdict
from collections.abc import Callable

import gevent
from endive_node.logs import log_event
from endive_node.refusals import RefusalLog
from endive_node.sockets import listen_tcp
from gevent import socket as gsocket

from endive_gateway.bounded_server import BoundedServer
from endive_gateway.exceptions import ConnectionBrokenError
from endive_gateway.paths import ServerPaths
from endive_gateway.server_checks import ServerChecks
from endive_gateway.tcp import TcpStream, enable_keepalive
from endive_gateway.transit import (
    BROKEN_END,
    FRAME_LENGTH,
    ORDERLY_END,
    READ_BYTES,
    TransitReply,
    read_line,
)
from endive_gateway.turns import Worker, WorkKind

REQUEST_TIMEOUT_S = 1.0
"""Time within which a node must name the server after it has connected, seconds."""

SERVER_CONNECT_TIMEOUT_S = 0.15
"""Time-out for opening a connection to the server, seconds. It usually takes a few
milliseconds; if not, the node that asks has other nodes to ask."""


class TransitPort:
    """Carries the connections of nodes that can't reach servers themselves.

    Parameters
    ----------
    most_carried : callable
        Returns how many connections may be carried at once.

    Attributes
    ----------
    carried : int
        Number of connections that are carried now.
    accepting : bool
        Whether further ones are accepted.
    carried_for : dict of str to Counter of str
        By server, the IP addresses of the nodes for which connections are carried.
    replies : Counter of str
        Connections that nodes have asked for, by reply.
    is_resting : callable
        Returns whether a server wants no requests from this node.
    """

    def __init__(
        self,
        paths: ServerPaths,
        checks: ServerChecks,
        replies: Counter[str],
        most_carried: Callable[[], int],
        refusals: RefusalLog,
    ) -> None:
        self.paths = paths
        self.checks = checks
        self.replies = replies
        self.most_carried = most_carried
        self.refusals = refusals
        self.carried = 0
        self.carried_for: dict[str, Counter[str]] = defaultdict(Counter)
        self.accepting = False
        self.is_resting: Callable[[str], bool] = lambda server: False

    def start(self, address: str, port: int) -> None:
        """Start carrying connections that other nodes open to ``address:port``."""
        listener = listen_tcp(address, port)
        self.server = BoundedServer(
            listener, self._serve, self.most_carried, self.refusals, "transit"
        )
        self.server.start()
        self.accepting = True

    def stop(self) -> None:
        """Stop; carried connections are closed."""
        self.accepting = False
        self.server.stop(0)

    def offer(self) -> int:
        """Return how many connections are carried, or -1 if none can be."""
        is_open = self.accepting and not self.paths.reachability.is_cut_off
        return self.carried if is_open else -1

    def _serve(self, sock, address) -> None:
        self.carried += 1
        upstream = None
        try:
            with gevent.Timeout(REQUEST_TIMEOUT_S, TimeoutError("no server named")):
                server_id, _ = read_line(sock)
            self.server.received(sock)
            reply, upstream = self._open(server_id)
            self.replies[str(reply)] += 1
            log_event(
                "transit",
                peer=address[0],
                server=server_id,
                reply=reply,
                carried=self.carried,
            )
            sock.sendall(self._line(reply))
            if upstream is not None:
                enable_keepalive(sock)
                self._carry(sock, upstream, address[0], server_id)
        except (OSError, ValueError) as error:
            log_event("transit_failed", peer=address[0], error=error)
        finally:
            self.carried -= 1
            if upstream is not None:
                upstream.close()

    def _carry(
        self, sock: gsocket.socket, upstream: TcpStream, node: str, server_id: str
    ) -> None:
        """Carry a connection; `node` is the IP address of the node that asked."""
        self.carried_for[server_id][node] += 1
        try:
            _pass_bytes(sock, upstream)
        finally:
            self.carried_for[server_id] -= Counter([node])
            if not self.carried_for[server_id]:
                del self.carried_for[server_id]

    def _line(self, reply: TransitReply) -> bytes:
        """Return the line that tells a node the reply.

        A node that is cut off itself names another one, since what nodes know of each
        other may be seconds old.
        """
        blocked = reply is TransitReply.BLOCKED
        referral = self.paths.transit.choice.referral() if blocked else None
        return f"{reply} {referral or ''}".rstrip().encode() + b"\n"

    def _open(self, server_id: str) -> tuple[TransitReply, TcpStream | None]:
        if not self.accepting:
            return TransitReply.CLOSED, None
        if self.carried > self.most_carried():
            return TransitReply.FULL, None
        known = self.paths.registry.get(server_id)
        if known is None or not known.usable:
            return TransitReply.UNKNOWN_SERVER, None
        if self.paths.is_blocked(server_id):
            return TransitReply.BLOCKED, None
        result = self.paths.dial(known.entry.address).result(SERVER_CONNECT_TIMEOUT_S)
        if isinstance(result, TcpStream):
            self.paths.connected(server_id)
            if self.is_resting(server_id):
                result.close()
                return TransitReply.RESTING, None
            return TransitReply.CONNECTED, result
        return self._explain(server_id, refused=result.refused), None

    def _explain(self, server_id: str, *, refused: bool) -> TransitReply:
        """Return what a connection that this node could not open tells of the server.

        It may be this node that reaches no server, and does not know that yet.
        """
        if refused and self.checks.reaches_another(server_id):
            return TransitReply.REFUSED
        self.checks.check_soon(server_id)
        return TransitReply.UNREACHABLE


def _pass_bytes(sock: gsocket.socket, upstream: TcpStream) -> None:
    """Pass bytes on in both directions until either connection ends.

    Raises
    ------
    OSError
        If the node that asked for the connection can't be sent what arrives.
    """
    uplink = gevent.spawn(_pass_requests_on, sock, upstream)
    worker = Worker("transit from a server", WorkKind.TRANSIT)
    end = ORDERLY_END
    try:
        while data := _receive(upstream):
            sock.sendall(FRAME_LENGTH.pack(len(data)) + data)
            worker.checkpoint()
    except ConnectionBrokenError:
        end = BROKEN_END
    finally:
        closed = uplink.ready()
        uplink.kill(block=False)
    if not closed:
        sock.sendall(FRAME_LENGTH.pack(end))


def _receive(upstream: TcpStream) -> bytes:
    try:
        return upstream.recv(READ_BYTES)
    except OSError as error:
        raise ConnectionBrokenError(str(error), sent=True) from None


def _send(upstream: TcpStream, data: bytes) -> bool:
    """Send bytes to a server; return whether it takes more."""
    try:
        upstream.sendall(data)
    except OSError as error:
        log_event("transit_ended", error=error)
        return False
    return True


def _pass_requests_on(sock: gsocket.socket, upstream: TcpStream) -> None:
    """Pass bytes to the server until the node that asked closes its connection.

    The server's connection is closed too, which cancels a request in progress. If the
    server takes no more bytes, the rest is dropped: it may have answered already, and
    reading that answer tells how the connection ended.
    """
    worker = Worker("transit to a server", WorkKind.TRANSIT)
    is_taking = True
    try:
        while data := sock.recv(READ_BYTES):
            is_taking = is_taking and _send(upstream, data)
            worker.checkpoint()
    except OSError as error:
        log_event("transit_ended", error=error)
    upstream.close()
