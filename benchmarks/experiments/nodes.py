"""A simulated node and the requests that it has admitted."""

from dataclasses import dataclass, field
from random import Random

from endive_core.backlogs import Backlogs
from endive_core.calls import Ticket
from endive_core.contention import levels_of
from endive_core.prefilling import PrefillRate
from endive_core.prompt_order import order_routes
from endive_core.scheduler import Scheduler
from endive_gateway.forwarding import LOWEST_SERVER_PRIORITY

from experiments.deployment import Deployment
from experiments.engines import Stream
from experiments.fetching import add_planner
from experiments.options import Options
from experiments.traffic import Arrival


class Node:
    """One node: its scheduler and what it knows of the engines."""

    def __init__(
        self, deployment: Deployment, options: Options, seed: int, number: int
    ) -> None:
        self.name = f"n{number}"
        self.rate = PrefillRate()
        self.scheduler = Scheduler.from_policy(
            options.policy,
            Random(1000 * seed + number),
            prefill=self.rate if options.learned_rate else None,
        )
        self.scheduler.set_nodes(deployment.nodes)
        self.backlogs = Backlogs()
        if options.backlogs:
            self.scheduler.placement.backlogs = self.backlogs
        engines = deployment.engines
        if options.fetching and engines.link_mbps:
            add_planner(self.scheduler, engines, options.fetching)
        self.prefill_work_s = 0.0
        kinds = deployment.requests.values()
        targets = [(kind.priority, kind.target_ms / 1000) for kind in kinds]
        self.scheduler.order.set_routes(order_routes(targets))
        if options.contention:
            ratio = options.policy.contention_target_ratio
            self.scheduler.contention.set_levels(levels_of(targets, ratio))

    def server_priority(self, ticket: Ticket) -> int:
        """Return the priority with which a ticket is sent."""
        if self.scheduler.contention.active:
            return self.scheduler.contention.server_priority(ticket)
        if self.scheduler.order.active:
            return self.scheduler.order.server_priority(ticket)
        lowest = LOWEST_SERVER_PRIORITY
        return lowest if ticket.yields else min(lowest, -ticket.call.level)


@dataclass(eq=False)
class RunningRequest:
    """One request, from its arrival to its end.

    Attributes
    ----------
    ticket : Ticket or None
        Its ticket at the node, once that has admitted it.
    offered_at : float
        When the caller sent it, the last time.
    refused_s : list of float
        How long each refusal took, seconds.
    stream : Stream or None
        Its last attempt at an engine.
    yielded : bool
        Whether it was sent as late from the start.
    """

    node: Node
    ticket: Ticket | None
    arrival: Arrival
    first_s: float = 0.0
    offered_at: float = 0.0
    refused_s: list[float] = field(default_factory=list)
    stream: Stream | None = None
    yielded: bool = False
