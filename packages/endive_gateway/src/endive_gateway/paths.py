"""Opens connections to backend servers, directly or through another node."""

import time

import gevent
from endive_core.reachability import (
    Block,
    ConnectResults,
    Reachability,
)
from endive_core.transit import Random, TransitChoice
from endive_node.logs import log_event
from gevent.event import Event

from endive_gateway.exceptions import ConnectionBrokenError
from endive_gateway.servers import ServerRegistry
from endive_gateway.tcp import (
    CONNECT_TIMEOUT_S,
    LISTEN_PROBE_TIMEOUT_S,
    ByteStream,
    PendingStream,
    TcpStream,
)
from endive_gateway.transit import (
    TransitReply,
    TransitStream,
    open_transit,
)

RACE_AFTER_S = 0.1
"""Time after which a connection that is not open yet is opened through another node
too, seconds. It is many round trips, and a small part of a caller's time."""

MAX_TRANSIT_NODES = 4
"""Nodes that are asked for one connection, at most."""

CONDITION_TIMEOUT_S = 0.25
"""Longest time for which another node is asked whether a server has crashed, seconds.
The caller of the failed request waits meanwhile."""

PROBE_INTERVAL_S = 1.0
"""Mean time between two attempts to reach a blocked server again, seconds. Until then
its connections cost other nodes some work, and no caller waits."""


class ServerPaths:
    """Opens connections to servers, and learns from them which servers are blocked.

    Attributes
    ----------
    transit : TransitChoice
        The other nodes that may carry connections.
    transit_port : int
        TCP port of all nodes for such connections.
    dial : callable
        Begins a connection of this node's own to ``IP:port``.
    blocked_any : Event
        Set while any server is blocked.
    checks : dict of str to Greenlet
        By server, the check of its condition that is under way.
    """

    def __init__(self, registry: ServerRegistry, random: Random) -> None:
        self.registry = registry
        self.random = random
        self.reachability = Reachability()
        self.transit = TransitChoice(random)
        self.transit_port = 0
        self.dial = PendingStream
        self.blocked_any = Event()
        self.checks: dict[str, gevent.Greenlet] = {}
        registry.listeners.append(self._forget_gone)

    def open(self, server_id: str, address: str) -> ByteStream:
        """Return a new connection to a server.

        A connection that isn't open soon is opened through another node at the same
        time, and the first to be open is used.

        Raises
        ------
        ConnectionBrokenError
            If the server can be reached neither way.
        """
        if self.is_blocked(server_id):
            _, stream = self.open_transit(server_id)
            if stream is not None:
                return stream
        began_at = time.monotonic()
        pending = self.dial(address)
        try:
            stream = pending.finish(self._race_after_s())
        except TimeoutError:
            return self._race(server_id, pending, began_at)
        except ConnectionBrokenError as error:
            stream = self._open_past_refusal(server_id, began_at, error)
            if stream is None:
                raise
            return stream
        self.connected(server_id)
        return stream

    def _race_after_s(self) -> float:
        has_others = self.transit.offers.addresses
        return RACE_AFTER_S if has_others else CONNECT_TIMEOUT_S

    def _open_past_refusal(
        self, server_id: str, began_at: float, error: ConnectionBrokenError
    ) -> TransitStream | None:
        if not error.refused:
            return None
        _, stream = self.open_transit(server_id)
        if stream is not None:
            self._block(server_id, began_at, stream.node, refused=True)
        return stream

    def _race(
        self, server_id: str, pending: PendingStream, began_at: float
    ) -> ByteStream:
        """Return the first connection to be open: the pending one or another node's."""
        left_s = max(0.001, began_at + CONNECT_TIMEOUT_S - time.monotonic())
        direct = gevent.spawn(_finish, pending, left_s)
        transit = gevent.spawn(self.open_transit, server_id)
        try:
            gevent.wait([direct, transit], count=1)
            if not isinstance(direct.value, TcpStream):
                transit.join()
                _, stream = transit.value or (TransitReply.NO_ANSWER, None)
                if stream is not None:
                    direct.link(
                        lambda ended: self._settle(
                            server_id, began_at, ended.value, stream.node
                        )
                    )
                    return stream
            direct.join()
        except BaseException:
            direct.kill(block=False)
            _discard(transit)
            raise
        _discard(transit)
        if isinstance(direct.value, TcpStream):
            self.connected(server_id)
            return direct.value
        raise direct.value

    def _settle(
        self,
        server_id: str,
        began_at: float,
        result: TcpStream | ConnectionBrokenError,
        node: str,
    ) -> None:
        """Learn from a connection that was opened too late, or not at all."""
        if isinstance(result, TcpStream):
            result.close()
            self.connected(server_id)
        else:
            self._block(server_id, began_at, node, refused=result.refused)

    def open_transit(self, server_id: str) -> tuple[TransitReply, TransitStream | None]:
        """Open a connection to a server through another node.

        Returns
        -------
        TransitReply, TransitStream or None
            The last reply; ``NO_ANSWER`` if no node could be asked.
        """
        reply, tried = TransitReply.NO_ANSWER, set()
        for _ in range(MAX_TRANSIT_NODES):
            node = self.transit.choose(time.monotonic(), tried)
            if node is None:
                break
            tried.add(node)
            self.transit.open(node)
            reply, stream = self._ask(node, server_id)
            if stream is not None:
                return reply, stream
            self.transit.close(node)
            if reply is TransitReply.REFUSED:
                break
            if reply is not TransitReply.UNREACHABLE:
                self.transit.avoid(node, time.monotonic())
        return reply, None

    def _ask(
        self, node: str, server_id: str
    ) -> tuple[TransitReply, TransitStream | None]:
        try:
            return open_transit(node, self.transit_port, server_id, self.transit.close)
        except BaseException:
            self.transit.close(node)
            raise

    def try_both(self, server_id: str, address: str) -> ConnectResults:
        """Try to reach a server to which a connection has failed, here and elsewhere.

        Other nodes are asked, since from a node that is cut off servers look as if they
        had crashed. All connections that fail together share one check.
        """
        check = self.checks.get(server_id)
        if check is None:
            check = gevent.spawn(self._check, server_id, address)
            self.checks[server_id] = check
            check.link(lambda _: self.checks.pop(server_id))
        check.join()
        return check.value or ConnectResults(directly=None, elsewhere=None)

    def _check(self, server_id: str, address: str) -> ConnectResults:
        began_at = time.monotonic()
        directly = None
        if not self.is_blocked(server_id):
            directly = self._is_listening(address)
        if directly:
            self.connected(server_id)
            return ConnectResults(directly, None)
        elsewhere, node = self._is_listening_elsewhere(server_id)
        if elsewhere:
            self._block(server_id, began_at, node, refused=directly is False)
        return ConnectResults(directly, elsewhere)

    def _is_listening(self, address: str) -> bool | None:
        """Return whether a server accepts a connection; ``None`` without an answer."""
        result = _finish(self.dial(address), LISTEN_PROBE_TIMEOUT_S)
        if isinstance(result, ConnectionBrokenError):
            return False if result.refused else None
        result.close()
        return True

    def _is_listening_elsewhere(self, server_id: str) -> tuple[bool | None, str]:
        """Return whether a server listens, as another node sees it, and which one."""
        reply, stream = TransitReply.NO_ANSWER, None
        with gevent.Timeout(CONDITION_TIMEOUT_S, False):
            reply, stream = self.open_transit(server_id)
        if stream is not None:
            stream.close()
            return True, stream.node
        return (False if reply is TransitReply.REFUSED else None), ""

    def may_reuse(self, server_id: str, transit_node: str | None) -> bool:
        """Return whether an idle connection to a server may carry further requests.

        Parameters
        ----------
        transit_node : str or None
            The node through which it goes, if it does. A way through another node is
            given up once the server is reached directly, or the node stops.
        """
        if transit_node is None:
            return self.reachability.may_reuse(server_id, self.service_of(server_id))
        is_offered = transit_node in self.transit.offers.carried
        return is_offered and self.is_blocked(server_id)

    def is_blocked(self, server_id: str) -> bool:
        """Return whether connections to a server go through another node."""
        return self.reachability.is_blocked(server_id, self.service_of(server_id))

    def service_of(self, server_id: str) -> str:
        """Return a server's service; empty if the server is unknown."""
        known = self.registry.get(server_id)
        return known.entry.service if known else ""

    # What was learned

    def connected(self, server_id: str) -> None:
        """Record that a connection of this node's own to a server was opened."""
        service, now = self.service_of(server_id), time.monotonic()
        if self.reachability.connected(server_id, service, now):
            blocked = len(self.reachability.blocked)
            log_event("servers_reached", server=server_id, blocked=blocked)

    def heard(self, server_id: str) -> None:
        """Record that something arrived over a connection of this node's own."""
        self.reachability.hear(self.service_of(server_id), time.monotonic())

    def _block(
        self, server_id: str, began_at: float, node: str, *, refused: bool
    ) -> None:
        service = self.service_of(server_id)
        is_new = server_id not in self.reachability.blocked
        cut_off = self.reachability.block(server_id, Block(service, began_at, refused))
        self.blocked_any.set()
        if is_new:
            log_event("server_blocked", server=server_id, node=node, refused=refused)
        if cut_off is not None:
            log_event(
                "servers_not_reached",
                service=cut_off,
                blocked=len(self.reachability.blocked),
            )

    def _forget_gone(self) -> None:
        self.reachability.forget(set(self.registry.servers))

    # The end of a block

    def probe_blocked(self) -> None:
        """Try to reach blocked servers again, without end; the body of a greenlet."""
        while True:
            self.blocked_any.wait()
            gevent.sleep(PROBE_INTERVAL_S * (0.5 + self.random.random()))
            self._probe_one()

    def _probe_one(self) -> None:
        blocked = [s for s in self.reachability.blocked if s in self.registry.servers]
        if not blocked:
            self.blocked_any.clear()
            return
        server_id = blocked[self.random.randrange(len(blocked))]
        address = self.registry.get(server_id).entry.address
        result = _finish(self.dial(address), CONNECT_TIMEOUT_S)
        if isinstance(result, TcpStream):
            result.close()
            self.connected(server_id)


def _finish(
    pending: PendingStream, timeout_s: float
) -> TcpStream | ConnectionBrokenError:
    """Return an open connection, or the error that prevented one."""
    try:
        return pending.finish(timeout_s)
    except ConnectionBrokenError as error:
        return error
    except TimeoutError as error:
        pending.close()
        return ConnectionBrokenError(str(error), sent=False)


def _discard(transit: gevent.Greenlet) -> None:
    """Close a connection that is not needed, or stop opening it."""
    if not transit.ready():
        transit.kill(block=False)
    elif transit.value is not None and transit.value[1] is not None:
        transit.value[1].close()
