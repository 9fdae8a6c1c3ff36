"""Divides a service's servers into ordinary ones, candidates and withheld ones.

A server of another version may belong to a rollout whose order this node has not
received yet. It gets no requests until the node knows that there is no such order.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from endive_core.rollouts import OrderBook, RolloutOrder, Stage, StageKind

PROOF_MARGIN_S = 0.25
"""Time by which a proof must be newer than the knowledge of the server, seconds. The
age of a relayed proof leaves out the time that its message took."""

VERSION_MEMORY_S = 2.0
"""Time for which a version without servers stays ordinary, or rejected, seconds. After
a completed rollout, an order may lead back to it."""


@dataclass(frozen=True, slots=True)
class VersionedServer:
    """A usable server.

    Attributes
    ----------
    incarnation : int
        Increases with each start, over all servers.
    is_readable : bool
        Whether its version could be read. If not, it is unlike any other.
    """

    id: str
    version: str
    incarnation: int
    is_readable: bool = True


@dataclass(frozen=True, slots=True)
class Division:
    """The servers of a service by what they may be used for.

    Attributes
    ----------
    ordinary, candidates : frozenset of str
        Server ids.
    withheld : frozenset of str
        Ids of servers that get nothing.
    unproven : frozenset of str
        Those of them that are withheld until the orders are confirmed.
    """

    ordinary: frozenset[str]
    candidates: frozenset[str] = frozenset()
    withheld: frozenset[str] = frozenset()
    unproven: frozenset[str] = frozenset()

    @property
    def is_waiting(self) -> bool:
        """Whether any server is withheld until the orders are confirmed."""
        return bool(self.unproven)


@dataclass(slots=True)
class _ServiceVersions:
    """What is known of a service's versions.

    Attributes
    ----------
    seen_at : dict of VersionedServer to float
        When this node learned of each server.
    ordinary : dict of str to float
        By version that is ordinary, when a server last had it.
    completed : int
        Offset of the order that was completed last; -1 if none was.
    replaced : frozenset of VersionedServer
        The servers that it replaced, which stop.
    candidate : str
        The version that the newest order named, unless that was completed.
    rejected : dict of str to float
        By version that was a candidate and not completed, when a server last had it.
    """

    seen_at: dict[VersionedServer, float] = field(default_factory=dict)
    ordinary: dict[str, float] = field(default_factory=dict)
    completed: int = -1
    replaced: frozenset[VersionedServer] = frozenset()
    candidate: str = ""
    rejected: dict[str, float] = field(default_factory=dict)

    def set_candidate(self, candidate: str, now: float) -> None:
        """Note the candidate; a former one that was not completed is rejected."""
        if self.candidate and candidate != self.candidate:
            self.rejected[self.candidate] = now
        self.candidate = candidate
        self.rejected.pop(candidate, None)


class VersionAdmission:
    """Decides which servers of each service may be used for what.

    Attributes
    ----------
    is_waiting : bool
        Whether any server is withheld until the orders are confirmed; set by the
        calling code, which divides all services.
    """

    def __init__(self, book: OrderBook) -> None:
        self.book = book
        self.is_waiting = False
        self.services: dict[str, _ServiceVersions] = {}

    def divide(
        self,
        service: str,
        servers: Iterable[VersionedServer],
        stage: Stage,
        now: float,
        *,
        is_recent: bool = True,
    ) -> Division:
        """Divide the usable servers of a service.

        Parameters
        ----------
        stage : Stage
            The stage of its newest order, as this node knows it.
        now : float
            Seconds on the clock of the proofs.
        is_recent : bool
            Whether the order is so recent that the servers that it replaced may not
            have stopped yet.
        """
        versions = self.services.setdefault(service, _ServiceVersions())
        by_id = {server.id: server for server in servers}
        self._forget_gone(versions, by_id, now)
        order = self.book.orders.get(service)
        candidate = order.to if order is not None else ""
        if candidate and stage.kind is StageKind.COMPLETED:
            self._complete(versions, order, by_id.values(), now, is_recent=is_recent)
            candidate = versions.candidate = ""
            versions.rejected.pop(order.to, None)
        elif candidate:
            versions.ordinary.pop(candidate, None)
        versions.set_candidate(candidate, now)
        ordinary, candidates, unproven, replaced = set(), set(), set(), set()
        for server in by_id.values():
            seen_at = versions.seen_at.setdefault(server, now)
            if server in versions.replaced or server.version in versions.rejected:
                replaced.add(server.id)
            elif candidate and server.version == candidate:
                candidates.add(server.id)
            elif server.version in versions.ordinary or self.book.is_proven_since(
                seen_at + PROOF_MARGIN_S
            ):
                versions.ordinary[server.version] = now
                ordinary.add(server.id)
            else:
                unproven.add(server.id)
        if not ordinary and unproven:
            oldest = _oldest(by_id[server_id] for server_id in unproven)
            ordinary = {
                name
                for name in unproven
                if by_id[name].version == oldest.version
                or not (by_id[name].is_readable or oldest.is_readable)
            }
            unproven -= ordinary
        if not (ordinary or candidates):
            ordinary, replaced = replaced, set()
        return _division(order, stage, ordinary, candidates, unproven, replaced)

    def _complete(
        self,
        versions: _ServiceVersions,
        order: RolloutOrder,
        servers: Iterable[VersionedServer],
        now: float,
        *,
        is_recent: bool,
    ) -> None:
        """Make the version of a completed order the ordinary one."""
        versions.ordinary[order.to] = now
        if versions.completed == order.offset:
            return
        versions.completed = order.offset
        old = (server for server in servers if server.version != order.to)
        versions.replaced = frozenset(old if is_recent else ())

    def _forget_gone(
        self,
        versions: _ServiceVersions,
        servers: Mapping[str, VersionedServer],
        now: float,
    ) -> None:
        for gone in versions.seen_at.keys() - set(servers.values()):
            del versions.seen_at[gone]
        present = {server.version for server in servers.values()}
        for known in (versions.ordinary, versions.rejected):
            for version, at in list(known.items()):
                if version in present:
                    known[version] = now
                elif now - at > VERSION_MEMORY_S:
                    del known[version]


def _division(
    order: RolloutOrder | None,
    stage: Stage,
    ordinary: set[str],
    candidates: set[str],
    unproven: set[str],
    replaced: set[str],
) -> Division:
    withheld = unproven | replaced
    is_last = not ordinary and bool(candidates)
    is_out = order is not None and stage.kind is StageKind.ROLLED_BACK
    if is_out and not is_last:  # if nothing else is left, its own servers are used
        withheld, candidates = withheld | candidates, set()
    return Division(
        frozenset(ordinary),
        frozenset(candidates),
        frozenset(withheld),
        frozenset(unproven),
    )


def _oldest(servers: Iterable[VersionedServer]) -> VersionedServer:
    """Return a server that started first; of several, one of the largest version."""
    servers = list(servers)
    counts = Counter(server.version for server in servers)
    return min(servers, key=lambda s: (s.incarnation, -counts[s.version], s.version))
