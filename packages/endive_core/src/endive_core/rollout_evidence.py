"""Totals of a rollout, by node and over all nodes, and their history.

A node's totals only grow, so a later message makes up for a lost one.
"""

from collections import deque
from dataclasses import dataclass, field

from endive_core.servers import Random
from endive_core.version_comparison import (
    NO_FINDING,
    Finding,
    RouteCounts,
    compare,
)

MAX_ROUTES = 6
"""Routes of a service whose counts one message of a node contains."""

DRAWN_ROUTES = 2
"""Those of them that are drawn from all but the busiest ones, where there are more: a
fault may be on any route."""

SNAPSHOT_INTERVAL_S = 0.5
"""Time between two snapshots of the totals, seconds."""

WINDOWS_S = (2.0, 5.0)
"""Lengths of the last parts of a rollout that are compared apart from the whole,
seconds. A version that goes bad late has many good responses from before."""

MIN_TIMES_WINDOW_S = 4.0
"""Shortest part in which times to first byte are compared, seconds. Servers that share
their machines are slow for fractions of a second."""


@dataclass(slots=True)
class RolloutTotals:
    """Totals of one rollout since its order, of one node or of several.

    Attributes
    ----------
    requests : int
        Requests that reached the service.
    exposed : int
        Attempts sent to the candidate.
    base_left : int
        Requests queued for the base or in flight there.
    routes : dict of str to RouteCounts
        By route.
    """

    requests: int = 0
    exposed: int = 0
    base_left: int = 0
    routes: dict[str, RouteCounts] = field(default_factory=dict)

    def route(self, name: str) -> RouteCounts:
        """Return the counts of a route, made on first use."""
        counts = self.routes.get(name)
        if counts is None:
            counts = self.routes[name] = RouteCounts()
        return counts

    def add(self, other: "RolloutTotals", sign: int = 1) -> None:
        """Add the totals of another one, or subtract them."""
        self.requests += sign * other.requests
        self.exposed += sign * other.exposed
        self.base_left += sign * other.base_left
        for name, counts in other.routes.items():
            self.route(name).add(counts, sign)

    def reported_routes(self, random: Random) -> dict[str, RouteCounts]:
        """Return the routes to send to other nodes now."""
        if len(self.routes) <= MAX_ROUTES:
            return self.routes
        names = sorted(
            self.routes,
            key=lambda name: (
                -self.routes[name].candidate.responses,
                -self.routes[name].base.responses,
            ),
        )
        busiest = MAX_ROUTES - DRAWN_ROUTES
        others = sorted(names[busiest:], key=lambda name: random.random())
        names = names[:busiest] + others[:DRAWN_ROUTES]
        return {name: self.routes[name] for name in names}

    def copy(self) -> "RolloutTotals":
        """Return a copy."""
        routes = {name: counts.copy() for name, counts in self.routes.items()}
        return RolloutTotals(self.requests, self.exposed, self.base_left, routes)


class FleetEvidence:
    """The totals of all nodes for one rollout, as one node knows them.

    Attributes
    ----------
    own : RolloutTotals
        This node's.
    nodes : dict
        By address and incarnation, the newest totals of the other nodes. Those of a
        node that is gone stay.
    stages : dict of str to int
        By address, the number of the stage that the node applies.
    """

    def __init__(self) -> None:
        self.own = RolloutTotals()
        self.nodes: dict[tuple[str, int], RolloutTotals] = {}
        self.stages: dict[str, int] = {}
        self.others = RolloutTotals()
        self.snapshots: deque[tuple[float, RolloutTotals]] = deque()

    def receive(
        self, address: str, incarnation: int, totals: RolloutTotals, stage: int
    ) -> None:
        """Apply the totals in another node's message, which is its newest.

        Routes that it leaves out stay as they were told last. If they were dropped, the
        difference to an earlier time would have counts below zero.
        """
        self.stages[address] = stage
        before = self.nodes.get((address, incarnation))
        if before is None:
            self._forget_left(address)  # the node has started again
        if before is not None:
            totals.routes = before.routes | totals.routes
            self.others.add(before, -1)
        self.nodes[address, incarnation] = totals
        self.others.add(totals)

    def forget_left(self, address: str) -> None:
        """Stop waiting for requests of a node that is gone."""
        self.stages.pop(address, None)
        self._forget_left(address)

    def _forget_left(self, address: str) -> None:
        for (other, _), totals in self.nodes.items():
            if other == address:
                self.others.base_left -= totals.base_left
                totals.base_left = 0

    def total(self) -> RolloutTotals:
        """Return the totals of all nodes."""
        total = self.others.copy()
        total.add(self.own)
        return total

    def finding(self, now: float) -> Finding:
        """Return the strongest evidence against the candidate, and keep a snapshot."""
        total = self.total()
        if not self.snapshots or now - self.snapshots[-1][0] >= SNAPSHOT_INTERVAL_S:
            self.snapshots.append((now, total))
        while len(self.snapshots) > 1 and now - self.snapshots[1][0] > WINDOWS_S[-1]:
            self.snapshots.popleft()
        findings = [NO_FINDING, compare(total.routes)]
        for window_s in WINDOWS_S:
            recent = self._since(total, now - window_s)
            if recent is not None:
                with_times = window_s >= MIN_TIMES_WINDOW_S
                findings.append(
                    compare(recent.routes, with_times=with_times, longer=total.routes)
                )
        return max(findings, key=lambda finding: finding.score)

    def _since(self, total: RolloutTotals, start: float) -> RolloutTotals | None:
        """Return the totals since the newest snapshot that is not after `start`."""
        chosen = None
        for at, snapshot in self.snapshots:
            if at > start:
                break
            chosen = snapshot
        if chosen is None:
            return None
        recent = total.copy()
        recent.add(chosen, -1)
        return recent
