"""Exchange of how each service's prefill work divides into prompts by length.

It is part of the state messages; see :mod:`endive_core.prompt_order` for the decisions
that follow from the sum.
"""

import time

from endive_core.prompt_order import OrderRoutes, PromptOrder, order_routes
from endive_core.prompt_work import WorkReport
from endive_core.routing import RoutingTable
from endive_node.logs import log_event

from endive_gateway.placing import Placer, service_of_key


class OrderExchange:
    """Tells the other nodes this node's recent prefill work, and takes theirs.

    Attributes
    ----------
    routes : dict of str to (OrderRoutes or None)
        By service, what its routes in the configuration in force ask for.
    logged : dict of str to int
        By service, the overtaking prompts that the log has counted.
    """

    def __init__(self, placer: Placer) -> None:
        self.placer = placer
        self.routes: dict[str, OrderRoutes | None] = {}
        self.logged: dict[str, int] = {}

    def configure(self, table: RoutingTable) -> None:
        """Apply the priorities and targets of the routes, by service."""
        organisations = (table.organisations or {}).values()
        others = [o.priority for o in organisations if o.priority is not None]
        self.routes = {}
        for name in table.services:
            targets = [
                (route.priority, route.target_s)
                for route in table.routes
                if route.engine and name in route.services
            ]
            self.routes[name] = order_routes(targets, others)
        self._apply_routes()

    def _apply_routes(self) -> None:
        """Apply them to all schedulers, those of a version under rollout too."""
        for name, scheduler in self.placer.schedulers.items():
            routes = self.routes.get(service_of_key(name))
            if routes != scheduler.order.routes:
                scheduler.order.set_routes(routes)
                log_event(
                    "prompt_order_routes",
                    service=name,
                    classes=routes.classes if scheduler.order.active else 0,
                )

    def active(self) -> dict[str, PromptOrder]:
        """Return the decisions of the services that call for them."""
        schedulers = self.placer.schedulers.items()
        return {name: s.order for name, s in schedulers if s.order.active}

    def next_work(self) -> dict[str, WorkReport]:
        """Return this node's recent work by service for a state message."""
        self._apply_routes()
        now = time.monotonic()
        work = {}
        for name, order in self.active().items():
            work[name] = order.report(now)
            self._log(name, order)
        return work

    def learn(self, address: str, work: dict[str, WorkReport]) -> None:
        """Apply another node's recent work."""
        now = time.monotonic()
        for name, order in self.active().items():
            if name in work:
                order.fleet.receive(address, work[name], now)
            else:
                order.fleet.remove(address)

    def remove(self, address: str) -> None:
        """Remove a node that has stopped."""
        for order in self.active().values():
            order.fleet.remove(address)

    def set_interval(self, interval_s: float) -> None:
        """Set the time between two messages of one node, seconds."""
        for order in self.active().values():
            order.fleet.interval_s = interval_s

    def overtakers(self) -> int:
        """Return the prompts sent in a class of overtaking ones since the start."""
        return sum(order.overtakers for order in self.active().values())

    def longest_s(self) -> float:
        """Return the longest prefill time of a prompt that may overtake, seconds."""
        return max((order.longest_s() for order in self.active().values()), default=0.0)

    def _log(self, service: str, order: PromptOrder) -> None:
        """Log a service's classes if prompts overtook others since the last."""
        if order.overtakers == self.logged.get(service, 0):
            return
        self.logged[service] = order.overtakers
        log_event(
            "prompt_order",
            service=service,
            overtakers=order.overtakers,
            sent=order.sent,
            nodes=len(order.fleet.reports) + 1,
            longest_ms=",".join(str(round(1000 * s)) for s in order.class_ends_s()),
            work_parts=",".join(f"{share:.2f}" for share in order.class_shares()),
        )
