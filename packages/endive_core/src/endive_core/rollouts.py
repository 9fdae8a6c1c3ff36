"""Rollouts: orders to shift a service to another software version, and their stages.

The order and the stage are kept in the log of the duties, as :class:`RolloutRecord`,
so that a successor of the holder continues where it stopped.
"""

from collections.abc import Iterable
from dataclasses import asdict, dataclass, replace
from enum import StrEnum
from typing import Any

FENCE_SHIFT = 20
"""Bits of a stage's number that count the stages of one holder. The fencing number
above them makes every stage of a successor newer than all of its predecessor."""


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order.

    Attributes
    ----------
    service : str
    to : str
        Software version; empty if the order was withdrawn.
    duration_s : float
        Time from the order within which it must be completed or rolled back, seconds.
    offset : int
        Offset of its record in the store, which identifies it.
    at : float
        When it was first seen by any node, seconds on the cluster clock.
    repeated : int
        Offset of the newest record that repeats it; -1 if none is known.
    after : int
        Offset of the newest order for another version that it is known to have
        replaced, so that it repeats none before that; -1 if none is known.
    """

    service: str
    to: str
    duration_s: float
    offset: int
    at: float = 0.0
    repeated: int = -1
    after: int = -1

    @property
    def latest(self) -> int:
        """Offset of its newest record."""
        return max(self.offset, self.repeated)

    def repeats(self, earlier: "RolloutOrder") -> bool:
        """Return whether this is the same order again, within the earlier's duration.

        The rollout goes on then. If it began anew, the candidate's requests would count
        against the bound on exposure of both.
        """
        is_same = bool(self.to) and self.to == earlier.to
        is_next = earlier.offset > self.after
        return is_same and is_next and self.at < earlier.at + earlier.duration_s

    def merged(self, other: "RolloutOrder") -> "RolloutOrder":
        """Return the order in force of two of one service, in any sequence.

        A result is never older than either. Otherwise nodes that tell each other an
        order, the one that replaced it and its repetition would go on to change theirs.
        """
        earlier, later = sorted((self, other), key=lambda o: (o.latest, -o.offset))
        if earlier.offset == later.offset:
            return replace(
                earlier,
                at=min(earlier.at, later.at),
                repeated=max(earlier.repeated, later.repeated),
                after=max(earlier.after, later.after),
            )
        if earlier.latest == later.latest:  # one of them repeats the other
            first, again = later, earlier
            return first if first.offset > again.after else again
        if later.repeats(earlier):
            return replace(earlier, repeated=later.latest)
        if later.to == earlier.to:
            return later
        return replace(later, after=max(later.after, earlier.latest))


class StageKind(StrEnum):
    """Stage of a rollout."""

    NONE = "none"
    SMALL = "small"
    GROWING = "growing"
    ALL = "all"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether no other stage follows."""
        return self in (StageKind.COMPLETED, StageKind.ROLLED_BACK)


@dataclass(frozen=True, slots=True)
class Stage:
    """The stage of a rollout, as the holder of the duties announces it.

    Attributes
    ----------
    number : int
        Increases with each stage; 0 before the first.
    share : float
        Part of the new requests that go to the candidate.
    servers : int
        Number of the candidate's servers that get them; 0 for all.
    until_s : float
        When the candidate is to be completed, seconds since the order.
    leads : tuple of (str, float)
        At ``all``, by route how long before that its requests go to the candidate,
        seconds. Those of other routes go there at once.
    """

    kind: StageKind = StageKind.NONE
    number: int = 0
    share: float = 0.0
    servers: int = 0
    until_s: float = 0.0
    leads: tuple[tuple[str, float], ...] = ()

    def has_begun(self, route: str, elapsed_s: float) -> bool:
        """Return whether a route's requests all go to the candidate now."""
        if self.kind is not StageKind.ALL:
            return self.kind is StageKind.COMPLETED
        lead_s = dict(self.leads).get(route)
        return lead_s is None or elapsed_s >= self.until_s - lead_s


NO_STAGE = Stage()


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """A rollout as the log of the duties keeps it.

    Attributes
    ----------
    reason : str
        Why the stage was decided, for operators.
    replaced : str
        Version that an earlier order named and that was rolled back for this one, if
        its outcome may not have been written yet.
    """

    order: RolloutOrder
    stage: Stage = NO_STAGE
    reason: str = ""
    replaced: str = ""

    def to_body(self) -> dict[str, Any]:
        """Return the record as it is written to the log."""
        body = asdict(self)
        body["stage"]["leads"] = [list(lead) for lead in self.stage.leads]
        # Nodes of an earlier version accept no further fields of the order.
        body["records"] = [body["order"].pop("repeated"), body["order"].pop("after")]
        return body

    @classmethod
    def from_body(cls, body: dict[str, Any]) -> "RolloutRecord":
        """Return the record of a body; raises KeyError, TypeError or ValueError."""
        stage = body["stage"]
        repeated, after = body.get("records", (-1, -1))
        return cls(
            RolloutOrder(**body["order"], repeated=int(repeated), after=int(after)),
            Stage(
                **{
                    **stage,
                    "kind": StageKind(stage["kind"]),
                    "leads": tuple((r, s) for r, s in stage.get("leads", ())),
                }
            ),
            str(body.get("reason", "")),
            str(body.get("replaced", "")),
        )

    def advance(self, fence: int, stage: Stage, reason: str) -> "RolloutRecord":
        """Return the record with a stage that is numbered after its own."""
        number = max(self.stage.number, fence << FENCE_SHIFT) + 1
        return replace(self, stage=replace(stage, number=number), reason=reason)

    def caught_up(self, announced: Stage) -> "RolloutRecord":
        """Return the record with the stage that was announced, if that is newer."""
        if announced.number <= self.stage.number:
            return self
        return replace(self, stage=announced, reason="announced before")


class OrderBook:
    """The newest order of each service, and when the list was known to be current.

    The newest record of a service replaces earlier ones, whatever order they arrive in.

    Attributes
    ----------
    orders : dict of str to RolloutOrder
        By service; withdrawn ones included.
    end : int
        Offset up to which the topic is known.
    proven_at : float or None
        Latest time at which no further order existed, seconds on the clock of the
        calling code.
    """

    def __init__(self) -> None:
        self.orders: dict[str, RolloutOrder] = {}
        self.end = 0
        self.proven_at: float | None = None

    def put(self, order: RolloutOrder) -> bool:
        """Add an order; return whether another one is in force now."""
        self.end = max(self.end, order.latest + 1)
        known = self.orders.get(order.service)
        merged = order if known is None else known.merged(order)
        self.orders[order.service] = merged
        return known is None or merged.offset != known.offset

    def merge(
        self, orders: Iterable[RolloutOrder], end: int, proven_at: float | None
    ) -> bool:
        """Add all orders that another node knows up to `end`.

        Parameters
        ----------
        proven_at : float or None
            When that node's list was current; ``None`` if it has no proof.

        Returns
        -------
        bool
            Whether any was new.
        """
        changed = [self.put(order) for order in orders]
        self.end = max(self.end, end)
        if proven_at is not None and end >= self.end:
            self.prove(proven_at)
        return any(changed)

    def prove(self, at: float) -> None:
        """Record that the list was current at time `at`."""
        if self.proven_at is None or at > self.proven_at:
            self.proven_at = at

    def is_proven_since(self, at: float) -> bool:
        """Return whether the list was known to be current at `at` or later."""
        return self.proven_at is not None and self.proven_at >= at
