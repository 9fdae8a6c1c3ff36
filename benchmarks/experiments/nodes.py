"""A simulated node and the requests that it has admitted."""

from dataclasses import dataclass
from random import Random

from endive_core.backlogs import Backlogs
from endive_core.calls import Ticket
from endive_core.prefilling import PrefillRate
from endive_core.scheduler import Scheduler
from endive_gateway.forwarding import LOWEST_SERVER_PRIORITY

from experiments.deployment import Deployment
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
        if options.fetching:
            engines = deployment.engines
            add_planner(self.scheduler, engines, options.fetching)
        self.prefill_work_s = 0.0

    def server_priority(self, ticket: Ticket) -> int:
        """Return the `Request-Priority` with which a ticket is sent."""
        if self.scheduler.contention.active:
            return self.scheduler.contention.server_priority(ticket)
        lowest = LOWEST_SERVER_PRIORITY
        return lowest if ticket.yields else min(lowest, -ticket.call.level)


@dataclass(eq=False)
class RunningRequest:
    """One admitted request."""

    node: Node
    ticket: Ticket
    arrival: Arrival
    first_s: float = 0.0
