"""Short-lived facts that all nodes should soon know, spread with the heartbeats.

A fact only ever grows: its value and its end are merged by the larger one, so that
datagrams may be lost, repeated or arrive in any order. Nothing here has to be right:
a node that has not heard of a fact yet acts as it would have a second earlier.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum

CRASH_RETENTION_S = 3600.0
"""How long a crash counts against a fingerprint: callers who send a request again do
so within minutes, and a mended model version must get another chance."""

MIN_EXTENSION_S = 1.0
"""Least difference by which an end must grow to be taken over. Ends travel as seconds
left, since clocks differ between nodes; each hop adds its transit time, and without
the slack a fact that two nodes keep telling each other would never expire."""


class FactKind(IntEnum):
    """Kinds of fact; the numbers are part of the wire format."""

    SERVER_LEAVING = 1
    ZONE_UNDER_NOTICE = 2
    CRASH = 3


MAX_FACTS = {
    FactKind.SERVER_LEAVING: 4096,
    FactKind.ZONE_UNDER_NOTICE: 64,
    FactKind.CRASH: 4096,
}
"""Facts kept of each kind. 2,600 servers and 10 zones fit; a caller who crashes a
server with ever new prompts fills its own kind only, and the oldest crash gives way."""


@dataclass(frozen=True, slots=True)
class Fact:
    """One fact, and until when it holds.

    Attributes
    ----------
    subject : str
        Server id, zone or request fingerprint.
    origin : str
        Who counted, for crashes: a node, or the name of one crash that counts once;
        otherwise empty.
    value : int
        Crash count; 1 for the other kinds.
    until : float
        Seconds on the clock of the node that holds the fact.
    """

    kind: FactKind
    subject: str
    origin: str
    value: int
    until: float

    @property
    def key(self) -> tuple[FactKind, str, str]:
        """What names the fact among all others."""
        return (self.kind, self.subject, self.origin)


class FactTable:
    """The facts that this node holds.

    The serving path asks it which servers and zones are leaving and how often a
    request crashed; reclaim notices and crashes are entered where they are noticed.

    Parameters
    ----------
    now : callable
        Returns seconds on this node's clock.

    Attributes
    ----------
    listeners : list of callable
        Called with each :class:`Fact` that is new or has grown, wherever it came from.
    dropped : int
        Facts given up because their kind was full.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.listeners: list[Callable[[Fact], None]] = []
        self.dropped = 0
        self.facts: dict[FactKind, dict[tuple, Fact]] = {kind: {} for kind in FactKind}

    def server_leaving(self, server_id: str, until: float) -> None:
        """Enter that a backend server takes no new work until `until`."""
        self.merge(Fact(FactKind.SERVER_LEAVING, server_id, "", 1, until))

    def zone_under_notice(self, zone: str, until: float) -> None:
        """Enter that a zone is being reclaimed, and avoided until `until`."""
        self.merge(Fact(FactKind.ZONE_UNDER_NOTICE, zone, "", 1, until))

    def crash(self, fingerprint: str, node: str, count: int) -> None:
        """Enter that `node` saw a request crash `count` servers so far."""
        self.merge(self.crash_fact(fingerprint, node, count))

    def crash_fact(self, fingerprint: str, origin: str, count: int) -> Fact:
        """Return the fact that a request crashed `count` servers, counted from now."""
        until = self.now() + CRASH_RETENTION_S
        return Fact(FactKind.CRASH, fingerprint, origin, count, until)

    def leaving_servers(self) -> set[str]:
        """Return the ids of servers under notice."""
        return {fact.subject for fact in self._unexpired(FactKind.SERVER_LEAVING)}

    def zones_under_notice(self) -> set[str]:
        """Return the zones under notice."""
        return {fact.subject for fact in self._unexpired(FactKind.ZONE_UNDER_NOTICE)}

    def crashes(self, fingerprint: str) -> int:
        """Return how many crashes of `fingerprint` all nodes counted together."""
        return sum(
            fact.value
            for fact in self._unexpired(FactKind.CRASH)
            if fact.subject == fingerprint
        )

    def merge(self, fact: Fact) -> bool:
        """Take over what `fact` adds; return whether it was news."""
        if fact.until <= self.now():
            return False
        table = self.facts[fact.kind]
        known = table.get(fact.key)
        if known is not None:
            if not _extends(fact, known):
                return False
            fact = Fact(
                fact.kind,
                fact.subject,
                fact.origin,
                max(fact.value, known.value),
                max(fact.until, known.until),
            )
        table[fact.key] = fact
        self._evict_excess(fact.kind)
        for listener in self.listeners:
            listener(fact)
        return True

    def expire(self) -> None:
        """Forget the facts whose time is over."""
        now = self.now()
        for table in self.facts.values():
            for key in [key for key, fact in table.items() if fact.until <= now]:
                del table[key]

    def all(self) -> Iterator[Fact]:
        """Yield every fact that holds."""
        for kind in FactKind:
            yield from self._unexpired(kind)

    def get(self, key: tuple[FactKind, str, str]) -> Fact | None:
        """Return the fact named `key` if it holds."""
        fact = self.facts[key[0]].get(key)
        return fact if fact is not None and fact.until > self.now() else None

    def _unexpired(self, kind: FactKind) -> list[Fact]:
        now = self.now()
        return [fact for fact in self.facts[kind].values() if fact.until > now]

    def _evict_excess(self, kind: FactKind) -> None:
        table = self.facts[kind]
        while len(table) > MAX_FACTS[kind]:
            first_to_end = min(table.values(), key=lambda fact: fact.until)
            del table[first_to_end.key]
            self.dropped += 1


def _extends(fact: Fact, known: Fact) -> bool:
    return fact.value > known.value or fact.until > known.until + MIN_EXTENSION_S
