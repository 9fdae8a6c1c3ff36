"""Which backend servers a node reaches, by the evidence of its own connections.

A network fault may cut a node off from servers that other nodes still reach. From there
it looks as if the servers had failed: connections hang, are reset or are refused. What
tells the two apart is another node: a server to which this node can't connect while
another one can is blocked here, and has not failed.
"""

from dataclasses import dataclass
from enum import StrEnum

CUT_OFF_SERVERS = 2
"""Blocked servers from which on a node that hears nothing from any server is taken to
be cut off from all. One may be the only server behind a broken link."""


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

    @property
    def condition(self) -> ServerCondition:
        """Condition of the server that explains the results.

        A refusal elsewhere tells of the server even if this node gets no answer. A
        refusal here is trusted only if no other node could be asked.
        """
        if self.directly:
            return ServerCondition.LISTENING
        if self.elsewhere:
            return ServerCondition.BLOCKED
        if self.elsewhere is False or self.directly is False:
            return ServerCondition.CRASHED
        return ServerCondition.UNKNOWN


class Reachability:
    """The servers that this node can't connect to, though others can.

    Attributes
    ----------
    blocked : dict of str to float
        By server, the clock time at which the connection that failed was begun.
    heard_at : float
        Clock time at which anything last arrived from a server over a connection of
        this node's own.
    cut_off_since : float or None
        Since when the node is taken to be cut off from all servers.
    """

    def __init__(self) -> None:
        self.blocked: dict[str, float] = {}
        self.heard_at = float("-inf")
        self.cut_off_since: float | None = None

    @property
    def is_cut_off(self) -> bool:
        """Whether the node is taken to be cut off from all servers."""
        return self.cut_off_since is not None

    def is_blocked(self, server: str) -> bool:
        """Return whether connections to `server` are to go through another node."""
        return self.is_cut_off or server in self.blocked

    def block(self, server: str, began_at: float) -> bool:
        """Record that another node reached a server that this one did not reach.

        Parameters
        ----------
        began_at : float
            When the connection that failed was begun, clock time in seconds.

        Returns
        -------
        bool
            Whether the node is newly taken to be cut off.
        """
        self.blocked[server] = began_at
        unheard = [at for at in self.blocked.values() if at > self.heard_at]
        if self.is_cut_off or len(unheard) < CUT_OFF_SERVERS:
            return False
        self.cut_off_since = min(unheard)
        return True

    def connected(self, server: str, now: float) -> bool:
        """Record a connection that was opened; return whether a block has ended.

        If one blocked server is reached again, the others probably are too. If not, the
        next connection to each of them shows it.
        """
        ended = self.is_blocked(server)
        self.hear(now)
        if ended:
            self.blocked.clear()
        return ended

    def hear(self, now: float) -> None:
        """Record that something arrived from a server over a connection of its own."""
        self.heard_at = now
        self.cut_off_since = None

    def forget(self, known: set[str]) -> None:
        """Forget the servers that are not in `known`."""
        for server in self.blocked.keys() - known:
            del self.blocked[server]
