"""The part of the state messages that concerns rollouts."""

from random import Random

import msgspec
from endive_core.rollout_evidence import RolloutTotals
from endive_core.rollouts import RolloutOrder, Stage, StageKind
from endive_core.version_comparison import RouteCounts, VersionCounts

from endive_gateway.quantities import (
    Age,
    Count,
    Offset,
    OptionalCount,
    OptionalOffset,
    Quantity,
)

MAX_ORDERS = 12
"""Most orders in one message, the newest ones. A message with fewer orders than the
node knows proves nothing."""

MAX_TOTALS = 2
"""Most rollouts whose totals one message contains."""

MAX_REASON_LENGTH = 120


class OrderReport(msgspec.Struct, array_like=True):
    """An order; see :class:`RolloutOrder`."""

    service: str
    to: str
    duration_s: Age
    offset: Offset
    at: Quantity
    repeated: OptionalOffset = -1
    after: OptionalOffset = -1

    @classmethod
    def from_order(cls, order: RolloutOrder) -> "OrderReport":
        """Return the report of an order."""
        return cls(
            order.service,
            order.to,
            order.duration_s,
            order.offset,
            round(order.at, 3),
            order.repeated,
            order.after,
        )

    def to_order(self) -> RolloutOrder:
        """Return the order."""
        return RolloutOrder(
            self.service,
            self.to,
            self.duration_s,
            self.offset,
            self.at,
            self.repeated,
            self.after,
        )


class StageReport(msgspec.Struct, array_like=True):
    """The newest stage of an order that the sender knows.

    Attributes
    ----------
    offset : int
        Identity of the order.
    stop : str
        Why a node has stopped sending to the candidate; empty if none has.
    """

    service: str
    offset: Offset
    kind: str
    number: Count
    share: Quantity
    servers: Count
    stop: str = ""
    until_s: Quantity = 0.0
    leads: list[tuple[str, Quantity]] = []

    def to_stage(self) -> Stage:
        """Return the stage; raises ValueError if its kind is unknown."""
        return Stage(
            StageKind(self.kind),
            self.number,
            self.share,
            self.servers,
            self.until_s,
            tuple(self.leads),
        )


class TotalsReport(msgspec.Struct, array_like=True):
    """The sender's totals for one order.

    Attributes
    ----------
    stage : int
        Number of the stage that the sender applies.
    routes : list of (str, list of int, list of int)
        Route, and for candidate and base the responses, failures, complete responses,
        their milliseconds, and the histogram.
    """

    service: str
    offset: Offset
    stage: OptionalCount
    requests: Count
    exposed: Count
    base_left: int
    routes: list[tuple[str, list[Count], list[Count]]] = []

    @classmethod
    def from_totals(
        cls, order: RolloutOrder, stage: int, totals: RolloutTotals, random: Random
    ) -> "TotalsReport":
        """Return the report of a node's totals."""
        routes = [
            (name, _to_list(counts.candidate), _to_list(counts.base))
            for name, counts in totals.reported_routes(random).items()
        ]
        return cls(
            order.service,
            order.offset,
            stage,
            totals.requests,
            totals.exposed,
            totals.base_left,
            routes,
        )

    def to_totals(self) -> RolloutTotals:
        """Return the totals."""
        routes = {
            name: RouteCounts(_to_counts(candidate), _to_counts(base))
            for name, candidate, base in self.routes
        }
        return RolloutTotals(self.requests, self.exposed, self.base_left, routes)


class RolloutReport(msgspec.Struct, array_like=True):
    """What a node tells the others of rollouts.

    Attributes
    ----------
    end : int
        Offset up to which the sender knows the orders.
    proof_age_s : float
        Seconds since its list of orders was known to be current; -1 if it never was.
    """

    end: Count
    proof_age_s: Quantity = -1.0
    orders: list[OrderReport] = []
    stages: list[StageReport] = []
    totals: list[TotalsReport] = []


def _to_list(counts: VersionCounts) -> list[int]:
    head = (counts.responses, counts.failures, counts.ended, counts.busy_ms)
    return [*head, *counts.times]


def _to_counts(values: list[int]) -> VersionCounts:
    counts = VersionCounts()
    if len(values) == 4 + len(counts.times):
        counts.responses, counts.failures, counts.ended, counts.busy_ms = values[:4]
        counts.times = values[4:]
    return counts
