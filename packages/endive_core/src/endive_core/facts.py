"""Short-lived facts that are spread to all nodes by gossip.

Two copies of a fact are merged by taking the larger value and the later end, so
datagrams may be lost, repeated or arrive in any order. Correctness does not depend on
facts: a node that has not received one yet acts as it would have a second earlier.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum

CRASH_RETENTION_S = 3600.0
"""How long a crash counts against a request fingerprint, in seconds. Callers who repeat
a request do so within minutes, and after the model version is fixed the request must
be allowed again."""

MIN_EXTENSION_S = 1.0
"""Minimum seconds by which a received end must be later to replace the known one. Ends
are sent as seconds left, since clocks differ between nodes, so each hop adds its
transit time. Without this minimum a fact that two nodes keep exchanging would never
expire."""


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
"""Maximum number of facts of each kind; 2,600 servers and 10 zones fit. A caller who
crashes servers with ever new prompts fills only the crash kind, where the fact that
ends first is evicted."""


@dataclass(frozen=True, slots=True)
class Fact:
    """One fact, and the time until which it is valid.

    Attributes
    ----------
    subject : str
        Server id, zone or request fingerprint.
    origin : str
        For crashes, who counted: a node, or an identifier of a single crash, which
        then counts once; otherwise empty.
    value : int
        Crash count; 1 for the other kinds.
    until : float
        End of validity, in seconds on the clock of the node that keeps the fact.
    """

    kind: FactKind
    subject: str
    origin: str
    value: int
    until: float

    @property
    def key(self) -> tuple[FactKind, str, str]:
        """The identity of the fact: kind, subject and origin."""
        return (self.kind, self.subject, self.origin)


class FactTable:
    """The facts that this node knows.

    The serving path reads from it which servers and zones are leaving and how often a
    request has crashed servers. The code that observes reclaim notices and crashes
    adds them.

    Parameters
    ----------
    now : callable
        Returns seconds on this node's clock.

    Attributes
    ----------
    listeners : list of callable
        Called with each :class:`Fact` that is new or extended, from any source.
    dropped : int
        Number of facts evicted because their kind was full.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.listeners: list[Callable[[Fact], None]] = []
        self.dropped = 0
        self.facts: dict[FactKind, dict[tuple, Fact]] = {kind: {} for kind in FactKind}

    def server_leaving(self, server_id: str, until: float) -> None:
        """Add the fact that a backend server accepts no new work until `until`."""
        self.merge(Fact(FactKind.SERVER_LEAVING, server_id, "", 1, until))

    def zone_under_notice(self, zone: str, until: float) -> None:
        """Add the fact that a zone is being reclaimed and is avoided until `until`."""
        self.merge(Fact(FactKind.ZONE_UNDER_NOTICE, zone, "", 1, until))

    def crash(self, fingerprint: str, node: str, count: int) -> None:
        """Add the fact that `node` has seen a request crash `count` servers so far."""
        self.merge(self.crash_fact(fingerprint, node, count))

    def crash_fact(self, fingerprint: str, origin: str, count: int) -> Fact:
        """Return the fact that a request crashed `count` servers, valid from now."""
        until = self.now() + CRASH_RETENTION_S
        return Fact(FactKind.CRASH, fingerprint, origin, count, until)

    def leaving_servers(self) -> set[str]:
        """Return the ids of servers under notice."""
        return {fact.subject for fact in self._unexpired(FactKind.SERVER_LEAVING)}

    def zones_under_notice(self) -> set[str]:
        """Return the zones under notice."""
        return {fact.subject for fact in self._unexpired(FactKind.ZONE_UNDER_NOTICE)}

    def crashes(self, fingerprint: str) -> int:
        """Return the number of crashes of `fingerprint`, summed over all origins."""
        return sum(
            fact.value
            for fact in self._unexpired(FactKind.CRASH)
            if fact.subject == fingerprint
        )

    def merge(self, fact: Fact) -> bool:
        """Merge a fact; return whether it is new or extends the known one."""
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
        """Remove the facts that are no longer valid."""
        now = self.now()
        for table in self.facts.values():
            for key in [key for key, fact in table.items() if fact.until <= now]:
                del table[key]

    def all(self) -> Iterator[Fact]:
        """Yield every fact that is still valid."""
        for kind in FactKind:
            yield from self._unexpired(kind)

    def get(self, key: tuple[FactKind, str, str]) -> Fact | None:
        """Return the fact with `key` if it is still valid, or ``None``."""
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
