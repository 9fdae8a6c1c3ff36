"""The configuration, folded from the log's records in offset order.

Every node replays the same records and decides each the same way: a change applies
if its expected version matches, and conflicts otherwise. So the append-only log gives
compare-and-set without any node being in charge.
"""

from collections import OrderedDict
from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import Any

from endive_core.records import ALL_ORGANISATIONS, Change, Record, Snapshot

ABSENT = -1
"""The version of a resource that does not exist; offset 0 is a version like others."""

MAX_OUTCOMES = 4_000
"""Change ids remembered: nearly nine hours at 11,000 changes a day, far longer than a
writer keeps repeating an append whose answer was lost, and few enough that a snapshot
stays well under a megabyte. The bound is a number of records and not a time, so that
every node forgets the same id at the same record.

A copy of an append can still arrive after that: the log answered 504 and took it much
later. Its id is forgotten, and applied again it would bring back an older resource. It
is refused by its basis, which then lies more than this many records back."""


class Verdict(StrEnum):
    """How the fold decided a change."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    FORBIDDEN = "forbidden"


@dataclass(frozen=True)
class Outcome:
    """The decision on one change.

    Attributes
    ----------
    version : int
        The resource's version after the decision; for a conflict the winner's, and
        :data:`ABSENT` if the resource does not exist.
    """

    change_id: str
    verdict: Verdict
    version: int

    def applied_at(self, offset: int) -> bool:
        """Return whether the record at `offset` itself was applied."""
        return self.verdict is Verdict.APPLIED and self.version == offset


@dataclass(frozen=True)
class StoredResource:
    """A resource in force, and the change that put it there.

    Attributes
    ----------
    version : int
        The change's offset.
    operator, at
        Who changed it, and when by the writer's clock, seconds since 1970.
    """

    kind: str
    name: str
    version: int
    body: dict[str, Any]
    operator: str = ""
    at: float = 0.0


class ConfigurationFold:
    """The state of the configuration stream up to an offset.

    A user meets it through every lookup a node makes; operators meet it as the
    answers to get, list and watch.

    Attributes
    ----------
    offset : int
        The highest offset folded; -1 before the first record.
    """

    def __init__(self) -> None:
        self.offset = -1
        self.resources: dict[tuple[str, str], StoredResource] = {}
        self.outcomes: OrderedDict[str, Outcome] = OrderedDict()

    def apply(self, offset: int, record: Record) -> Outcome | None:
        """Fold one record; return the outcome if it is a change.

        Records at or below :attr:`offset` are ignored, so a replay never moves the
        state back to an older one.
        """
        if offset <= self.offset:
            return None
        self.offset = offset
        if isinstance(record, Change):
            return self._decide(offset, record)
        return None

    def _decide(self, offset: int, change: Change) -> Outcome:
        known = self.outcomes.get(change.change_id)
        if known is not None:
            return known
        verdict, version = self.verdict(change)
        if change.basis is not None and offset - change.basis > MAX_OUTCOMES:
            verdict = Verdict.CONFLICT
        if verdict is Verdict.APPLIED:
            self._put(offset, change)
            version = offset
        return self._remember(Outcome(change.change_id, verdict, version))

    def verdict(self, change: Change) -> tuple[Verdict, int]:
        """Return how `change` would be decided now, and the version in force."""
        current = self.resources.get((change.kind, change.name))
        version = current.version if current else ABSENT
        if current is not None and not _in_scope(change, current):
            # Two organisations race for one name and the writers' nodes saw neither:
            # without this the second would silently take the first one's resource.
            return Verdict.FORBIDDEN, version
        if change.expected_version not in (None, version):
            return Verdict.CONFLICT, version
        return Verdict.APPLIED, version

    def _put(self, offset: int, change: Change) -> None:
        key = (change.kind, change.name)
        if change.body is None:
            self.resources.pop(key, None)
            return
        self.resources[key] = StoredResource(
            change.kind,
            change.name,
            offset,
            change.body,
            change.operator,
            change.at,
        )

    def _remember(self, outcome: Outcome) -> Outcome:
        self.outcomes[outcome.change_id] = outcome
        while len(self.outcomes) > MAX_OUTCOMES:
            self.outcomes.popitem(last=False)
        return outcome

    def get(self, kind: str, name: str) -> StoredResource | None:
        """Return the resource in force, or ``None``."""
        return self.resources.get((kind, name))

    def of_kind(self, kind: str) -> list[StoredResource]:
        """Return all resources of `kind`, by name."""
        found = [r for r in self.resources.values() if r.kind == kind]
        return sorted(found, key=lambda r: r.name)

    def snapshot(self) -> Snapshot:
        """Return the whole state; equal states give equal snapshots."""
        return Snapshot(
            through=self.offset,
            resources=[asdict(stored) for _, stored in sorted(self.resources.items())],
            outcomes=[
                [o.change_id, str(o.verdict), o.version] for o in self.outcomes.values()
            ],
        )

    @classmethod
    def from_snapshot(cls, snapshot: Snapshot) -> "ConfigurationFold":
        """Return the state that `snapshot` holds."""
        fold = cls()
        fold.offset = snapshot.through
        for entry in snapshot.resources:
            stored = StoredResource(**entry)
            fold.resources[(stored.kind, stored.name)] = stored
        for change_id, verdict, version in snapshot.outcomes:
            fold.outcomes[change_id] = Outcome(change_id, Verdict(verdict), version)
        return fold


def _in_scope(change: Change, current: StoredResource) -> bool:
    return change.scope in (ALL_ORGANISATIONS, current.body.get("owner"))
