"""Callers of a simulated deployment: their requests and the requests' ends."""

from typing import TYPE_CHECKING

from endive_core.calls import Refusal

from experiments.nodes import RunningRequest
from experiments.outcomes import EndedRequest
from experiments.traffic import Arrival, arrivals

if TYPE_CHECKING:
    from experiments.play import Simulation


class Callers:
    """Sends requests to nodes and records how they end."""

    def __init__(self, simulation: "Simulation") -> None:
        self.simulation = simulation

    def begin(self) -> None:
        """Schedule the first request."""
        simulation = self.simulation
        self._next_arrival(arrivals(simulation.deployment, simulation.seed))

    def _next_arrival(self, upcoming) -> None:
        arrival = next(upcoming, None)
        if arrival is not None:
            self.simulation.schedule(arrival.at, self._arrive, arrival, upcoming)

    def _arrive(self, arrival: Arrival, upcoming) -> None:
        self._next_arrival(upcoming)
        simulation = self.simulation
        node = simulation.nodes[arrival.node]
        ticket = node.scheduler.offer(arrival.call, simulation.now)
        if isinstance(ticket, Refusal):
            simulation.result.ended.append(
                EndedRequest(arrival.kind, arrival.at, "refused")
            )
            return
        simulation.running[ticket] = RunningRequest(node, ticket, arrival)
        simulation.attempts.dispatch_queued(node)

    def record_end(self, run: RunningRequest, outcome: str) -> None:
        """Record the end of a request."""
        arrival, simulation = run.arrival, self.simulation
        total_s = simulation.now - arrival.at
        simulation.result.ended.append(
            EndedRequest(arrival.kind, arrival.at, outcome, run.first_s, total_s)
        )
