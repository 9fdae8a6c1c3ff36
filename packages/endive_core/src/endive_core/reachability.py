"""Which backend servers a node reaches, by the evidence of its own connections.

A network fault may cut a node off from servers that other nodes still reach. From there
it looks as if the servers had failed: connections hang, are reset or are refused. What
tells the two apart is another node: a server to which this node can't connect while
another one can is blocked here, and has not failed.
"""

from dataclasses import dataclass
from enum import StrEnum

CUT_OFF_SERVERS = 2
"""Blocked servers of a service, or of all, from which on a node that hears nothing from
any other of them is taken to be cut off from all of them. One may be the only server
behind a broken link."""

ALL_SERVICES = ""
"""Stands for all services."""


class ServerCondition(StrEnum):
    """What is known of a server after a connection to it has failed."""

    LISTENING = "listening"
    CRASHED = "crashed"
    BLOCKED = "blocked"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ConnectResults:
    """Whether a server was reached from here, and from another node.

    Attributes
    ----------
    directly, elsewhere : bool or None
        True if it accepted a connection, False if it refused one, ``None`` if it did
        not answer or was not asked.
    """

    directly: bool | None
    elsewhere: bool | None

    def condition(self, *, through_transit: bool) -> ServerCondition:
        """Return the condition of the server that explains a failed connection.

        A refusal elsewhere tells of the server even if this node gets no answer. A
        refusal here is trusted only if no other node could be asked.

        Parameters
        ----------
        through_transit : bool
            Whether the connection went through another node. Its failure then does not
            tell of this node's own link.
        """
        if self.directly or (through_transit and self.elsewhere):
            return ServerCondition.LISTENING
        if self.elsewhere:
            return ServerCondition.BLOCKED
        if self.elsewhere is False or self.directly is False:
            return ServerCondition.CRASHED
        return ServerCondition.UNKNOWN


@dataclass(frozen=True, slots=True)
class Block:
    """A failed connection to a server that another node reached.

    Attributes
    ----------
    service : str
        The server's service.
    began_at : float
        When the connection was begun, clock time in seconds.
    refused : bool
        Whether it was refused, so that open connections may live on. If it got no
        answer, they hang too.
    """

    service: str
    began_at: float
    refused: bool


class Reachability:
    """The servers that this node can't connect to, though others can.

    Attributes
    ----------
    blocked : dict of str to Block
        By server, its last failed connection.
    last_seen_at : dict of str to float
        By service, the clock time at which anything last arrived from one of its
        servers over a connection of this node's own.
    cut_off : set of str
        Services from which the node is taken to be cut off; :data:`ALL_SERVICES` for
        all of them.
    """

    def __init__(self) -> None:
        self.blocked: dict[str, Block] = {}
        self.last_seen_at: dict[str, float] = {}
        self.cut_off: set[str] = set()

    @property
    def is_cut_off(self) -> bool:
        """Whether the node is taken to be cut off from all servers."""
        return ALL_SERVICES in self.cut_off

    def is_blocked(self, server: str, service: str) -> bool:
        """Return whether connections to `server` are to go through another node."""
        return self._is_cut_off_from(service) or server in self.blocked

    def _is_cut_off_from(self, service: str) -> bool:
        return service in self.cut_off or self.is_cut_off

    def may_reuse(self, server: str, service: str) -> bool:
        """Return whether open connections to `server` may carry further requests."""
        block = self.blocked.get(server)
        hangs = block is not None and not block.refused
        return not (hangs or self._is_cut_off_from(service))

    def block(self, server: str, block: Block) -> str | None:
        """Record that another node reached a server that this one did not reach.

        Returns
        -------
        str or None
            The service from which the node is newly taken to be cut off, or
            :data:`ALL_SERVICES`.
        """
        self.blocked[server] = block
        last_seen_at = max(self.last_seen_at.values(), default=float("-inf"))
        if self._count_blocked(ALL_SERVICES, last_seen_at) >= CUT_OFF_SERVERS:
            return self._cut_off(ALL_SERVICES)
        last_seen_at = self.last_seen_at.get(block.service, float("-inf"))
        if self._count_blocked(block.service, last_seen_at) >= CUT_OFF_SERVERS:
            return self._cut_off(block.service)
        return None

    def _count_blocked(self, service: str, since: float) -> int:
        """Return the blocked servers of `service` that were tried after `since`."""
        return sum(
            block.began_at > since and service in (block.service, ALL_SERVICES)
            for block in self.blocked.values()
        )

    def _cut_off(self, service: str) -> str | None:
        if service in self.cut_off:
            return None
        self.cut_off.add(service)
        return service

    def connected(self, server: str, service: str, now: float) -> bool:
        """Record a connection that was opened; return whether a block has ended.

        If one blocked server is reached again, the others of its service probably are
        too. If not, the next connection to each of them shows it.
        """
        ended = self.is_blocked(server, service)
        self.hear(service, now)
        if server in self.blocked:
            blocked = self.blocked.items()
            self.blocked = {s: b for s, b in blocked if b.service != service}
        return ended

    def hear(self, service: str, now: float) -> None:
        """Record that something arrived over a connection of this node's own."""
        self.last_seen_at[service] = now
        if self.cut_off:
            self.cut_off -= {service, ALL_SERVICES}

    def forget(self, known: set[str]) -> None:
        """Forget the servers that are not in `known`."""
        for server in self.blocked.keys() - known:
            del self.blocked[server]
