"""Messages between simulated nodes: backlogs, demand and speeds of engines."""

from typing import TYPE_CHECKING

from endive_core.backlogs import largest_backlogs
from endive_gateway.peers import (
    BROADCAST_INTERVAL_PER_NODE_S,
    BROADCAST_INTERVAL_S,
    DATAGRAMS_PER_STEP,
    MAX_RECEIVE_PAUSE_S,
)
from endive_gateway.speed_exchange import MAX_REPORTS

from experiments.nodes import Node

if TYPE_CHECKING:
    from experiments.play import Simulation


class Exchange:
    """Passes on between nodes what their state messages contain.

    Attributes
    ----------
    interval_s : float
        Time in which a node sends to every other one, seconds.
    """

    def __init__(self, simulation: "Simulation") -> None:
        self.simulation = simulation
        self.nodes = simulation.nodes
        self.interval_s = max(
            BROADCAST_INTERVAL_S, BROADCAST_INTERVAL_PER_NODE_S * len(self.nodes)
        )

    def begin(self) -> None:
        """Schedule the first messages of each node."""
        simulation = self.simulation
        for number, node in enumerate(self.nodes):
            first_at = self.interval_s * number / len(self.nodes)
            simulation.schedule(first_at, self._broadcast, node)
            is_told = simulation.options.told_speeds and len(self.nodes) > 1
            if simulation.deployment.speed and is_told:
                simulation.schedule(self.interval_s, self._tell_speeds, node, number)

    def _broadcast(self, node: Node) -> None:
        """Tell all other nodes of a node's backlogs and of its demand."""
        simulation = self.simulation
        loads = node.scheduler.servers.servers.values()
        own_backlogs = largest_backlogs(
            {load.id: load.starting_tokens for load in loads}
        )
        contention = node.scheduler.contention
        contention.fleet.interval_s = self.interval_s
        demand = contention.report(simulation.now) if contention.active else None
        order = node.scheduler.order
        order.fleet.interval_s = self.interval_s
        work = order.report(simulation.now) if order.active else None
        late = contention.late_report(simulation.now) if contention.active else []
        for other in self.nodes:
            if other is not node:
                other.backlogs.receive(node.name, own_backlogs, simulation.now)
                if demand is not None:
                    fleet = other.scheduler.contention.fleet
                    fleet.receive(node.name, demand, simulation.now, late)
                if work is not None:
                    fleet = other.scheduler.order.fleet
                    fleet.receive(node.name, work, simulation.now)
        simulation.attempts.dispatch_queued(node)
        simulation.schedule(simulation.now + self.interval_s, self._broadcast, node)

    def _tell_speeds(self, node: Node, first: int) -> None:
        """Pass the engines' speeds on to some nodes, as state messages do."""
        simulation = self.simulation
        now = simulation.now
        count = min(DATAGRAMS_PER_STEP, len(self.nodes) - 1)
        reports = node.scheduler.servers.speeds.next_reports(now, MAX_REPORTS)
        for position in range(first, first + count):
            other = self.nodes[(position + 1) % len(self.nodes)]
            if other is not node and reports:
                delay_s = simulation.random.random() * MAX_RECEIVE_PAUSE_S
                told = [(s, x, now - age) for s, x, age in reports]
                simulation.schedule(now + delay_s, self._learn_speeds, other, told)
        step_s = self.interval_s * count / max(1, len(self.nodes) - 1)
        simulation.schedule(now + step_s, self._tell_speeds, node, first + count)

    def _learn_speeds(self, node: Node, told: list) -> None:
        for server, slowdown, at in told:
            if server in node.scheduler.servers.servers:
                node.scheduler.state_speed(server, 0, slowdown, at=at, is_told=True)
        node.scheduler.update_speeds(self.simulation.now)
