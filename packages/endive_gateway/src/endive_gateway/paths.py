"""Opens connections to backend servers, directly or through another node."""

import time
from collections.abc import Callable

import gevent
from endive_core.reachability import Block, Reachability
from endive_core.transit import Random, TransitChoice
from endive_node.logs import log_event
from gevent.event import Event

from endive_gateway.exceptions import ConnectionBrokenError
from endive_gateway.servers import ServerRegistry
from endive_gateway.tcp import (
    CONNECT_TIMEOUT_S,
    ByteStream,
    PendingStream,
    TcpStream,
)
from endive_gateway.transit import TransitNodes, TransitReply, TransitStream

RACE_AFTER_S = 0.1
"""Time after which a connection that is not open yet is opened through another node
too, seconds. It is many round trips, and a small part of a caller's time."""

PROBE_INTERVAL_S = 1.0
"""Mean time between two attempts to reach a blocked server again, seconds. Until then
its connections cost other nodes some work, and no caller waits."""


class ServerPaths:
    """Opens connections to servers, and learns from them which servers are blocked.

    Attributes
    ----------
    transit : TransitNodes
        The other nodes that carry connections.
    dial : callable
        Begins a connection of this node's own to ``IP:port``.
    blocked_any : Event
        Set while any server is blocked.
    rests_for : callable
        Returns whether a server wants no requests from a node, given its IP address.
    """

    def __init__(self, registry: ServerRegistry, random: Random) -> None:
        self.registry = registry
        self.random = random
        self.reachability = Reachability()
        self.transit = TransitNodes(TransitChoice(random))
        self.dial = PendingStream
        self.blocked_any = Event()
        self.rests_for: Callable[[str, str], bool] = lambda node, server: False
        registry.listeners.append(self._forget_gone)
        registry.restart_listeners.append(self._forget_server)

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
            _, stream = self.transit.open(server_id)
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
        has_others = self.transit.choice.offers.addresses
        return RACE_AFTER_S if has_others else CONNECT_TIMEOUT_S

    def _open_past_refusal(
        self, server_id: str, began_at: float, error: ConnectionBrokenError
    ) -> TransitStream | None:
        if not error.refused:
            return None
        _, stream = self.transit.open(server_id)
        if stream is not None:
            self.block(server_id, began_at, stream.node, refused=True)
        return stream

    def _race(
        self, server_id: str, pending: PendingStream, began_at: float
    ) -> ByteStream:
        """Return the first connection to be open: the pending one or another node's."""
        left_s = max(0.001, began_at + CONNECT_TIMEOUT_S - time.monotonic())
        direct = gevent.spawn(pending.result, left_s)
        transit = gevent.spawn(self.transit.open, server_id)
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
            self.block(server_id, began_at, node, refused=result.refused)

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
        is_offered = transit_node in self.transit.choice.offers.carried
        rests = self.rests_for(transit_node, server_id)
        return is_offered and not rests and self.is_blocked(server_id)

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

    def block(
        self, server_id: str, began_at: float, node: str, *, refused: bool
    ) -> None:
        """Record that a node reached a server that this one did not reach.

        Parameters
        ----------
        began_at : float
            When the connection that failed was begun, seconds on the monotonic clock.
        node : str
            IP address of the other node.
        refused : bool
            Whether the connection was refused.
        """
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

    def _forget_server(self, server_id: str) -> None:
        """Try a server that has started again directly, like any other."""
        self.reachability.blocked.pop(server_id, None)

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
        result = self.dial(address).result(CONNECT_TIMEOUT_S)
        if isinstance(result, TcpStream):
            result.close()
            self.connected(server_id)


def _discard(transit: gevent.Greenlet) -> None:
    """Close a connection that is not needed, or stop opening it."""
    if not transit.ready():
        transit.kill(block=False)
    elif transit.value is not None and transit.value[1] is not None:
        transit.value[1].close()
