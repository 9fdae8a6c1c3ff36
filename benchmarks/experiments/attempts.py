"""Attempts of admitted requests at simulated engines."""

from typing import TYPE_CHECKING

from endive_core.calls import Retry, Ticket
from endive_core.exceptions import RetryReason
from endive_gateway.placing import INTERLEAVING_FACTOR

from experiments.engines import Engine, Stream
from experiments.nodes import Node, RunningRequest

if TYPE_CHECKING:
    from experiments.play import Simulation

PATH_ATTEMPTS = 2
"""Further attempts of a request that has not reached its engine."""


class Attempts:
    """Sends requests from nodes to engines, and the engines' answers back."""

    def __init__(self, simulation: "Simulation") -> None:
        self.simulation = simulation

    # At the node

    def dispatch_queued(self, node: Node) -> None:
        """Send what a node may send now, and refuse what it may send no more."""
        simulation = self.simulation
        while (sent := node.scheduler.next_dispatch(simulation.now)) is not None:
            self._send(node, sent.ticket, sent.server)
        for ticket in node.scheduler.take_expired():
            simulation.callers.refuse(simulation.running.pop(ticket), ticket.refusal)

    def _send(self, node: Node, ticket: Ticket, server: str) -> None:
        simulation = self.simulation
        run = simulation.running[ticket]
        prefill_s = ticket.uncached_tokens * node.rate.seconds_per_token
        prefill_s *= node.scheduler.servers.speeds.mean
        node.prefill_work_s += prefill_s / INTERLEAVING_FACTOR
        run.yielded |= ticket.yields
        answered = run.stream.answered if run.stream else 0
        stream = run.stream = Stream(
            run.arrival.parts,
            run.arrival.answer_tokens - answered,
            lambda at: simulation.schedule(at, self._first_token, server, stream),
            lambda at: simulation.schedule(at, self._end, server, stream),
            run,
            node.server_priority(ticket),
            answered=answered,
        )
        arrives_at = simulation.now + simulation.deployment.one_way_ms / 1000
        simulation.schedule(arrives_at, self._arrive_at_engine, server, stream)

    def _is_current(self, stream: Stream) -> bool:
        """Return whether the stream is its request's attempt that goes on."""
        run = stream.owner
        return run.stream is stream and run.ticket in self.simulation.running

    # At the engine

    def _arrive_at_engine(self, server: str, stream: Stream) -> None:
        if not self._is_current(stream):
            return
        simulation = self.simulation
        engine = simulation.servers.engines.get(server)
        if engine is None:
            self.lose(stream, reached=False)
            return
        fetch = stream.owner.ticket.fetch
        if fetch is None:
            self._submit(engine, stream)
            return
        source = simulation.servers.engines.get(fetch.source.id)
        ends_at = simulation.links.begin(stream, engine, source, simulation.now)
        simulation.schedule(ends_at, self._end_fetch, engine, stream, source)

    def _end_fetch(self, engine: Engine, stream: Stream, source: Engine | None) -> None:
        if not self._is_current(stream):
            return
        if engine.name not in self.simulation.servers.engines:
            self.lose(stream)
            return
        self.simulation.links.end(stream, engine, source)
        self._submit(engine, stream)

    def _submit(self, engine: Engine, stream: Stream) -> None:
        engine.submit(stream)
        if engine.busy_until <= self.simulation.now:
            self._step(engine)

    def _step(self, engine: Engine) -> None:
        simulation = self.simulation
        if engine.name in simulation.servers.engines and not engine.idle:
            ends_at = engine.step(simulation.now)
            simulation.schedule(ends_at, self._step, engine)

    # Answers

    def _first_token(self, server: str, stream: Stream) -> None:
        simulation = self.simulation
        engine = simulation.servers.engines.get(server)
        if engine is None or not self._is_current(stream):
            return
        run = stream.owner
        self._state_speed(run, engine)
        run.node.scheduler.started(run.ticket, simulation.now)
        run.first_s = run.first_s or simulation.now - run.arrival.at

    def _end(self, server: str, stream: Stream) -> None:
        simulation = self.simulation
        if not self._is_current(stream):
            return
        engine = simulation.servers.engines.get(server)
        if engine is None:  # it was lost before the end of its last step
            self.lose(stream)
            return
        run = stream.owner
        scheduler, now = run.node.scheduler, simulation.now
        scheduler.finished(run.ticket, now, tokens=run.arrival.answer_tokens)
        scheduler.report(server, len(engine.decoding), engine.waiting, as_of=now)
        del simulation.running[run.ticket]
        simulation.callers.record_end(run, "ok")
        self.dispatch_queued(run.node)

    def _state_speed(self, run: RunningRequest, engine: Engine) -> None:
        """Let a response's head state how fast its engine works."""
        simulation = self.simulation
        if simulation.deployment.speed and simulation.options.speeds:
            scheduler, now = run.node.scheduler, simulation.now
            scheduler.state_speed(engine.name, 0, engine.slowdown(now), at=now)
            scheduler.update_speeds(now)

    # Lost engines

    def lose(self, stream: Stream, *, reached: bool = True) -> None:
        """Retry a request whose engine is gone, if it may be, else record its end.

        Parameters
        ----------
        reached : bool
            Whether the request has reached the engine and may have run.
        """
        if not self._is_current(stream):
            return
        simulation = self.simulation
        run: RunningRequest = stream.owner
        scheduler, ticket = run.node.scheduler, run.ticket
        attempts = simulation.deployment.requests[run.arrival.kind].attempts
        if attempts > 1 or not reached:
            verdict = scheduler.failed(
                ticket,
                simulation.now,
                RetryReason.SERVER_FAILED if reached else RetryReason.PATH_FAILED,
                started=reached,
                max_attempts=attempts if reached else attempts + PATH_ATTEMPTS,
            )
            if isinstance(verdict, Retry):
                at = simulation.now + verdict.delay_s
                simulation.schedule(at, self._requeue, run)
                return
        else:
            scheduler.cancelled(ticket, simulation.now)
        del simulation.running[ticket]
        simulation.callers.record_end(run, "lost")

    def _requeue(self, run: RunningRequest) -> None:
        if run.ticket in self.simulation.running:
            run.node.scheduler.requeue(run.ticket)
            self.dispatch_queued(run.node)
