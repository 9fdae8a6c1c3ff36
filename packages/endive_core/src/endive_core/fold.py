"""The configuration, folded from the log's records in offset order.

Every node replays the same records and makes the same decision on each: a change is
applied if its expected version matches, and conflicts otherwise. So the append-only
log provides compare-and-set without a leader.
"""

from collections import OrderedDict
from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import Any

from endive_core.records import ALL_ORGANISATIONS, Change, Record, Snapshot

ABSENT = -1
"""Version of a resource that does not exist. It is not 0, since 0 is a valid offset."""

MAX_OUTCOMES = 4_000
"""Number of change ids that are kept. At 11,000 changes a day they cover nearly nine
hours, far longer than a writer repeats an append whose answer was lost, and a snapshot
stays well below a megabyte. The bound is a number of records and not a time, so that
every node evicts the same id at the same record.

A copy of an append can still arrive after its id was evicted, if the log answered 504
and accepted it much later. Applied again it would restore an older resource. Its basis
then lies more than this many records back, and the change is refused."""


class Verdict(StrEnum):
    """The decision on a change."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    FORBIDDEN = "forbidden"


@dataclass(frozen=True)
class Outcome:
    """The decision on one change.

    Attributes
    ----------
    version : int
        The resource's version after the decision. For a conflict it is the version in
        force, or :data:`ABSENT` if the resource does not exist.
    """

    change_id: str
    verdict: Verdict
    version: int

    def applied_at(self, offset: int) -> bool:
        """Return whether the change was applied by the record at `offset` itself."""
        return self.verdict is Verdict.APPLIED and self.version == offset


@dataclass(frozen=True)
class StoredResource:
    """A resource in force, with the metadata of its latest change.

    Attributes
    ----------
    version : int
        Offset of the change.
    operator : str
        Who changed it.
    at : float
        When it was changed, in seconds since 1970 by the writer's clock.
    """

    kind: str
    name: str
    version: int
    body: dict[str, Any]
    operator: str = ""
    at: float = 0.0


class ConfigurationFold:
    """The state of the configuration stream up to an offset.

    A node's configuration lookups and the operators' get, list and watch requests are
    answered from it.

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
        """Fold one record; return the outcome if the record is a change.

        Records at or below :attr:`offset` are ignored, so a replay never restores an
        older state.
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
        """Return the decision on `change` in this state, and the version in force."""
        current = self.resources.get((change.kind, change.name))
        version = current.version if current else ABSENT
        if current is not None and not _in_scope(change, current):
            # Two organisations may create the same name at once on nodes that have seen
            # neither change. Without this check the second change would silently
            # replace the other organisation's resource.
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
        """Return all resources of `kind`, sorted by name."""
        found = [r for r in self.resources.values() if r.kind == kind]
        return sorted(found, key=lambda r: r.name)

    def snapshot(self) -> Snapshot:
        """Return a snapshot of the state; equal states give equal snapshots."""
        return Snapshot(
            through=self.offset,
            resources=[asdict(stored) for _, stored in sorted(self.resources.items())],
            outcomes=[
                [o.change_id, str(o.verdict), o.version] for o in self.outcomes.values()
            ],
        )

    @classmethod
    def from_snapshot(cls, snapshot: Snapshot) -> "ConfigurationFold":
        """Return the state that `snapshot` describes."""
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
