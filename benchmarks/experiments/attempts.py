"""Attempts of admitted requests at simulated engines."""

from typing import TYPE_CHECKING

from endive_core.calls import Ticket
from endive_gateway.placing import INTERLEAVING_FACTOR

from experiments.engines import Engine, Stream
from experiments.nodes import Node, RunningRequest

if TYPE_CHECKING:
    from experiments.play import Simulation


class Attempts:
    """Sends requests from nodes to engines, and the engines' answers back."""

    def __init__(self, simulation: "Simulation") -> None:
        self.simulation = simulation

    def dispatch_queued(self, node: Node) -> None:
        """Send what a node may send now, and end what it may send no more."""
        while (sent := node.scheduler.next_dispatch(self.simulation.now)) is not None:
            self._send(node, sent.ticket, sent.server)
        for ticket in node.scheduler.take_expired():
            self.simulation.callers.record_end(
                self.simulation.running.pop(ticket), "refused"
            )

    def _send(self, node: Node, ticket: Ticket, server: str) -> None:
        run = self.simulation.running[ticket]
        arrival = run.arrival
        engine = self.simulation.servers.engines[server]
        prefill_s = ticket.uncached_tokens * node.rate.seconds_per_token
        prefill_s *= node.scheduler.servers.speeds.mean
        node.prefill_work_s += prefill_s / INTERLEAVING_FACTOR
        stream = Stream(
            arrival.parts,
            arrival.answer_tokens,
            lambda at: self.simulation.schedule(at, self._first_token, run),
            lambda at: self.simulation.schedule(at, self._end, run),
            run,
            node.server_priority(ticket),
        )
        delay_s = self.simulation.deployment.one_way_ms / 1000
        self.simulation.schedule(
            self.simulation.now + delay_s, self._arrive_at_engine, engine, stream
        )

    def _arrive_at_engine(self, engine: Engine, stream: Stream) -> None:
        if engine.name not in self.simulation.servers.engines:
            self.lose(stream)
            return
        fetch = stream.owner.ticket.fetch
        if fetch is None:
            self._submit(engine, stream)
            return
        source = self.simulation.servers.engines.get(fetch.source.id)
        ends_at = self.simulation.links.begin(
            stream, engine, source, self.simulation.now
        )
        self.simulation.schedule(ends_at, self._end_fetch, engine, stream, source)

    def _end_fetch(self, engine: Engine, stream: Stream, source: Engine | None) -> None:
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
        if engine.name in self.simulation.servers.engines and not engine.idle:
            self.simulation.schedule(
                engine.step(self.simulation.now), self._step, engine
            )

    def _first_token(self, run: RunningRequest) -> None:
        if run.ticket.server in self.simulation.servers.engines:
            self._state_speed(run)
            run.node.scheduler.started(run.ticket, self.simulation.now)
            run.first_s = self.simulation.now - run.arrival.at

    def _end(self, run: RunningRequest) -> None:
        engine = self.simulation.servers.engines.get(run.ticket.server)
        if engine is None:
            return
        scheduler = run.node.scheduler
        scheduler.finished(
            run.ticket, self.simulation.now, tokens=run.arrival.answer_tokens
        )
        scheduler.report(
            engine.name, len(engine.decoding), engine.waiting, as_of=self.simulation.now
        )
        del self.simulation.running[run.ticket]
        self.simulation.callers.record_end(run, "ok")
        self.dispatch_queued(run.node)

    def lose(self, stream: Stream) -> None:
        """End a request whose engine is gone."""
        run = stream.owner
        if self.simulation.running.pop(run.ticket, None) is not None:
            run.node.scheduler.cancelled(run.ticket, self.simulation.now)
            self.simulation.callers.record_end(run, "lost")

    def _state_speed(self, run: RunningRequest) -> None:
        """Let a response's head state how fast its engine works."""
        if self.simulation.deployment.speed and self.simulation.options.speeds:
            scheduler, server = run.node.scheduler, run.ticket.server
            slowdown = self.simulation.servers.engines[server].slowdown(
                self.simulation.now
            )
            scheduler.state_speed(server, 0, slowdown, at=self.simulation.now)
            scheduler.update_speeds(self.simulation.now)
