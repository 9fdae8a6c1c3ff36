"""Callers of a simulated deployment: their requests and the requests' ends."""

from typing import TYPE_CHECKING

from endive_core.calls import Refusal, Ticket

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
        self.simulation.servers.sizing.arrive(arrival)
        node = self.simulation.nodes[arrival.node]
        self._offer(RunningRequest(node, None, arrival))

    def _offer(self, run: RunningRequest) -> None:
        """Let a request's node decide on it."""
        simulation = self.simulation
        run.offered_at = simulation.now
        call = run.arrival.call
        decision = run.node.scheduler.offer(call, simulation.now)
        if isinstance(decision, Refusal):
            self.refuse(run, decision)
            return
        run.ticket = decision
        simulation.running[decision] = run
        simulation.schedule(call.deadline, self._time_out, run, decision)
        simulation.attempts.dispatch_queued(run.node)

    def _time_out(self, run: RunningRequest, ticket: Ticket) -> None:
        """End a request whose time budget has passed."""
        simulation = self.simulation
        if simulation.running.pop(ticket, None) is None:
            return
        engine = simulation.servers.engines.get(ticket.server)
        if engine is not None and run.stream is not None:
            engine.cancel(run.stream)
        run.node.scheduler.cancelled(ticket, simulation.now)
        run.stream = None
        self.record_end(run, "lost")
        simulation.attempts.dispatch_queued(run.node)

    def refuse(self, run: RunningRequest, refusal: Refusal) -> None:
        """Let the caller try again if it may, else record the end."""
        simulation = self.simulation
        run.refused_s.append(simulation.now - run.offered_at)
        retry_s = refusal.retry_after_s
        again = len(run.refused_s) <= simulation.deployment.caller_retries
        if again and retry_s is not None:
            at = simulation.now + retry_s
            if at < run.arrival.call.deadline:
                run.node = simulation.random.choice(simulation.nodes)
                simulation.schedule(at, self._offer, run)
                return
        self.record_end(run, "refused", refusal.message.partition(":")[0])

    def record_end(self, run: RunningRequest, outcome: str, why: str = "") -> None:
        """Record the end of a request."""
        arrival, simulation = run.arrival, self.simulation
        simulation.result.ended.append(
            EndedRequest(
                arrival.kind,
                arrival.at,
                outcome,
                run.first_s,
                simulation.now - arrival.at,
                arrival.call.organisation,
                arrival.call.prompt_tokens,
                run.refused_s,
                why,
                run.yielded,
            )
        )
