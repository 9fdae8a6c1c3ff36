"""Exchange of each service's demand by priority and organisation.

It is part of the state messages; see :mod:`endive_core.contention` for the decisions
that follow from the sum.
"""

import time

from endive_core.clocks import ClusterClock
from endive_core.contention import Contention, Level, levels_of
from endive_core.demand import DemandReport, LateReport
from endive_core.routing import RoutingTable
from endive_node.logs import log_event

from endive_gateway.placing import Placer, service_of_key


class ContentionExchange:
    """Tells the other nodes this node's demand, and takes theirs.

    Attributes
    ----------
    logged : dict of str to int
        By service, the refused and late requests that the log has counted.
    levels : dict of str to tuple of Level
        By service, the levels of its routes in the configuration in force.
    """

    def __init__(self, placer: Placer, clock: ClusterClock) -> None:
        self.placer = placer
        self.clock = clock
        self.logged: dict[str, int] = {}
        self.levels: dict[str, tuple[Level, ...]] = {}

    def configure(self, table: RoutingTable) -> None:
        """Apply the priorities and targets of the routes, by service."""
        ratio = self.placer.policy.contention_target_ratio
        self.levels = {}
        for name in table.services:
            targets = [
                (route.priority, route.target_s)
                for route in table.routes
                if route.engine and name in route.services
            ]
            self.levels[name] = levels_of(targets, ratio)
        self._apply_levels()

    def _apply_levels(self) -> None:
        """Apply the levels to all schedulers, those of a version under rollout too."""
        for name, scheduler in self.placer.schedulers.items():
            levels = self.levels.get(service_of_key(name), ())
            if levels != scheduler.contention.levels:
                log_event(
                    "contention_levels",
                    service=name,
                    priorities=",".join(str(level.priority) for level in levels),
                    may_wait=sum(level.may_wait for level in levels),
                )
                scheduler.contention.set_levels(levels)

    def active(self) -> dict[str, Contention]:
        """Return the decisions of the services that call for them."""
        schedulers = self.placer.schedulers.items()
        return {n: s.contention for n, s in schedulers if s.contention.active}

    def next_demand(self) -> dict[str, DemandReport]:
        """Return this node's demand by service for a state message."""
        self._apply_levels()
        now = time.monotonic()
        demand = {}
        for name, contention in self.active().items():
            contention.clock_offset_s = self.clock.now() - now
            demand[name] = contention.report(now)
            self._log(name, contention)
        return demand

    def next_late(self) -> dict[str, LateReport]:
        """Return this node's late prompts by service, where there are any."""
        now = time.monotonic()
        found = {n: c.late_report(now) for n, c in self.active().items()}
        return {name: report for name, report in found.items() if report}

    def learn(
        self,
        address: str,
        demand: dict[str, DemandReport],
        late: dict[str, LateReport],
    ) -> None:
        """Apply another node's demand and late prompts."""
        now = time.monotonic()
        for name, contention in self.active().items():
            if name in demand:
                contention.fleet.receive(address, demand[name], now, late.get(name))
            else:
                contention.fleet.remove(address)

    def remove(self, address: str) -> None:
        """Remove a node that has stopped."""
        for contention in self.active().values():
            contention.fleet.remove(address)

    def set_interval(self, interval_s: float) -> None:
        """Set the time between two messages of one node, seconds."""
        for contention in self.active().values():
            contention.fleet.interval_s = interval_s

    def shed(self) -> int:
        """Return the requests refused for lack of capacity since the start."""
        return sum(contention.shed for contention in self.active().values())

    def late(self) -> int:
        """Return the prompts sent as late since the start."""
        return sum(contention.late for contention in self.active().values())

    def least_part(self) -> float:
        """Return the least part of any priority's requests that is in time."""
        parts = [
            shares.overall
            for contention in self.active().values()
            for shares in contention.shares
        ]
        return min(parts, default=1.0)

    def _log(self, service: str, contention: Contention) -> None:
        """Log a service's shares if requests were refused or late since the last."""
        count = contention.shed + contention.late
        if count == self.logged.get(service, 0):
            return
        self.logged[service] = count
        log_event(
            "contention",
            service=service,
            refused=contention.shed,
            late=contention.late,
            nodes=contention.fleet.known.nodes,
            capacity=round(contention.capacity),
            parts=",".join(f"{shares.overall:.2f}" for shares in contention.shares),
            offered=",".join(
                str(round(level.offered)) for level in contention.fleet.known.levels
            ),
            pending=",".join(
                str(round(level.pending)) for level in contention.fleet.known.levels
            ),
            late_pending=",".join(
                str(round(level.late_pending))
                for level in contention.fleet.known.levels
            ),
        )
