"""Simulation of nodes that dispatch to engines with a gateway's decision objects."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from endive_core.backlogs import Backlogs, largest_backlogs
from endive_core.calls import Refusal, Ticket
from endive_core.capacity import CapacityView, Pool, PoolState, desired_servers
from endive_core.load_sizing import TARGET_UTILISATION, LoadMeter
from endive_core.messages import ServerView
from endive_core.policy import Policy
from endive_core.prefilling import PrefillRate
from endive_core.routing import Scaling
from endive_core.scheduler import Scheduler
from endive_gateway.autoscaling import LOAD_WARM_UP_S, MIN_NEEDED_SERVERS
from endive_gateway.duties import DUTY_INTERVAL_S as AUTOSCALING_INTERVAL_S
from endive_gateway.peers import (
    BROADCAST_INTERVAL_PER_NODE_S,
    BROADCAST_INTERVAL_S,
    DATAGRAMS_PER_STEP,
    MAX_RECEIVE_PAUSE_S,
)
from endive_gateway.placing import GATEWAY_POLICY, INTERLEAVING_FACTOR
from endive_gateway.speed_exchange import MAX_REPORTS

from experiments.deployment import Deployment
from experiments.engines import Engine, SpeedPhases, Stream
from experiments.fetching import Links, add_planner, set_sources
from experiments.traffic import Arrival, arrivals

LOAD_WEIGHT = 0.15
"""Weight of the newest load sample, equivalent to a gateway's smoothing over 1.5 s."""

REMOVAL_DELAY_S = 5.0
"""Time from releasing an engine until it is gone, seconds."""

DRAIN_S = 20.0
"""Time after the last arrival in which requests may still end, seconds."""

LISTING_DELAY_S = 0.7
"""Time until nodes know that a server is ready or leaves, seconds."""


@dataclass(frozen=True)
class Options:
    """Which decisions are enabled, and their limits.

    Attributes
    ----------
    fetching : str
        Which planner lets engines fetch prompt parts from each other; empty for none.
    backlogs : bool
        Whether nodes send each other their prefill backlogs.
    learned_rate : bool
        Whether the engines' prefill rate is learned rather than fixed at its initial
        estimate.
    target_utilisation : float
        Fraction of a server's time that the load may use.
    speeds : bool
        Whether nodes use what engines state of their speed.
    told_speeds : bool
        Whether they pass it on to each other.
    """

    policy: Policy = GATEWAY_POLICY
    fetching: str = ""
    backlogs: bool = True
    learned_rate: bool = True
    target_utilisation: float = TARGET_UTILISATION
    speeds: bool = True
    told_speeds: bool = True

    def limits(self, **changes) -> "Options":
        """Return these options with some limits of the policy changed."""
        return replace(self, policy=replace(self.policy, **changes))


@dataclass
class EndedRequest:
    """The outcome of one request; times in seconds from its arrival at `at`."""

    kind: str
    at: float
    outcome: str
    first_s: float = 0.0
    total_s: float = 0.0


@dataclass
class Result:
    """The result of one simulation.

    `servers_s` is the time of all engines in seconds, weighted by their price; `read`
    and `read_again` count prefilled tokens as :class:`Engine` does.
    """

    ended: list[EndedRequest] = field(default_factory=list)
    links: Links | None = None
    servers_s: float = 0.0
    read: float = 0.0
    read_again: float = 0.0


@dataclass(eq=False)
class RunningRequest:
    """One admitted request."""

    node: "Node"
    ticket: Ticket
    arrival: Arrival
    first_s: float = 0.0


class Node:
    """One node: its scheduler and what it knows of the engines."""

    def __init__(self, simulation: "Simulation", number: int, options: Options) -> None:
        self.name = f"n{number}"
        self.rate = PrefillRate()
        self.scheduler = Scheduler.from_policy(
            options.policy,
            Random(1000 * simulation.seed + number),
            prefill=self.rate if options.learned_rate else None,
        )
        self.scheduler.set_nodes(simulation.deployment.nodes)
        self.backlogs = Backlogs()
        if options.backlogs:
            self.scheduler.placement.backlogs = self.backlogs
        if options.fetching:
            engines = simulation.deployment.engines
            add_planner(self.scheduler, engines, options.fetching)
        self.prefill_work_s = 0.0


class Simulation:
    """Event-driven simulation of one deployment under some options."""

    def __init__(self, deployment: Deployment, options: Options, seed: int) -> None:
        self.deployment = deployment
        self.options = options
        self.seed = seed
        self.random = Random(seed)
        self.now = 0.0
        self.event_numbers = itertools.count()
        self.events: list = []
        self.result = Result()
        self.last_used: dict[int, float] = {}
        self.engines: dict[str, Engine] = {}
        self.engine_numbers = itertools.count()
        self.zones = [f"z{n}" for n in range(deployment.zones)]
        self.nodes = [Node(self, n, options) for n in range(deployment.nodes)]
        self.links = Links(deployment.engines)
        self.running: dict[Ticket, RunningRequest] = {}
        self.load = LoadMeter()
        self.smoothed_load = 0.0
        self.refused_until: dict[str, float] = {}
        self.reclaimed_at = float("-inf")
        self.ordered: dict[Pool, int] = {}

    def run(self) -> Result:
        """Run the simulation; return the requests' outcomes and the engines' usage."""
        figures = self.deployment.engines
        for zone in self.zones:
            self.ordered[Pool(zone, False)] = figures.at_start_in_zone
            for _ in range(figures.at_start_in_zone):
                self._add_engine(zone, reclaimable=False, ready_at=0.0)
        self._list_servers()
        interval_s = max(
            BROADCAST_INTERVAL_S, BROADCAST_INTERVAL_PER_NODE_S * self.deployment.nodes
        )
        for number, node in enumerate(self.nodes):
            self.schedule(
                interval_s * number / len(self.nodes),
                self._broadcast_backlogs,
                node,
                interval_s,
            )
            is_told = self.options.told_speeds and len(self.nodes) > 1
            if self.deployment.speed and is_told:
                self.schedule(interval_s, self._tell_speeds, node, number, interval_s)
        zones = self.random.sample(self.zones, len(self.zones))
        for zone, at in zip(zones, self.deployment.wave.at_s, strict=False):
            self.schedule(at, self._reclaim, zone)
        self.schedule(AUTOSCALING_INTERVAL_S, self._scale)
        upcoming = arrivals(self.deployment, self.seed)
        self._next_arrival(upcoming)
        end = self.deployment.seconds + DRAIN_S
        while self.events and self.events[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        for engine in self.engines.values():
            self._add_usage(engine)
        self.result.links = self.links
        return self.result

    def schedule(self, time: float, action: Callable[..., None], *arguments) -> None:
        """Schedule `action` at `time`."""
        heapq.heappush(self.events, (time, next(self.event_numbers), action, arguments))

    # Callers

    def _next_arrival(self, upcoming) -> None:
        arrival = next(upcoming, None)
        if arrival is not None:
            self.schedule(arrival.at, self._arrive, arrival, upcoming)

    def _arrive(self, arrival: Arrival, upcoming) -> None:
        self._next_arrival(upcoming)
        node = self.nodes[arrival.node]
        ticket = node.scheduler.offer(arrival.call, self.now)
        if isinstance(ticket, Refusal):
            self.result.ended.append(EndedRequest(arrival.kind, arrival.at, "refused"))
            return
        self.running[ticket] = RunningRequest(node, ticket, arrival)
        self._dispatch_queued(node)

    def _dispatch_queued(self, node: Node) -> None:
        while (sent := node.scheduler.next_dispatch(self.now)) is not None:
            self._send(node, sent.ticket, sent.server)
        for ticket in node.scheduler.take_expired():
            self._record_end(self.running.pop(ticket), "refused")

    def _record_end(self, run: RunningRequest, outcome: str) -> None:
        arrival = run.arrival
        total_s = self.now - arrival.at
        self.result.ended.append(
            EndedRequest(arrival.kind, arrival.at, outcome, run.first_s, total_s)
        )

    def _send(self, node: Node, ticket: Ticket, server: str) -> None:
        run = self.running[ticket]
        arrival = run.arrival
        engine = self.engines[server]
        prefill_s = ticket.uncached_tokens * node.rate.seconds_per_token
        prefill_s *= node.scheduler.servers.speeds.mean
        node.prefill_work_s += prefill_s / INTERLEAVING_FACTOR
        stream = Stream(
            arrival.parts,
            arrival.call.prompt_tokens,
            arrival.answer_tokens,
            lambda at: self.schedule(at, self._first_token, run),
            lambda at: self.schedule(at, self._end, run),
            run,
            ticket.yields,
        )
        delay_s = self.deployment.one_way_ms / 1000
        self.schedule(self.now + delay_s, self._arrive_at_engine, engine, stream)

    def _arrive_at_engine(self, engine: Engine, stream: Stream) -> None:
        if engine.name not in self.engines:
            self._lose(stream)
            return
        fetch = stream.owner.ticket.fetch
        if fetch is None:
            self._submit(engine, stream)
            return
        source = self.engines.get(fetch.source.id)
        ends_at = self.links.begin(stream, engine, source, self.now)
        self.schedule(ends_at, self._end_fetch, engine, stream, source)

    def _end_fetch(self, engine: Engine, stream: Stream, source: Engine | None) -> None:
        if engine.name not in self.engines:
            self._lose(stream)
            return
        self.links.end(stream, engine, source)
        self._submit(engine, stream)

    def _submit(self, engine: Engine, stream: Stream) -> None:
        engine.submit(stream, self.now)
        if engine.busy_until <= self.now:
            self._step(engine)

    def _step(self, engine: Engine) -> None:
        if engine.name in self.engines and not engine.idle:
            self.schedule(engine.step(self.now), self._step, engine)

    def _first_token(self, run: RunningRequest) -> None:
        if run.ticket.server in self.engines:
            self._state_speed(run)
            run.node.scheduler.started(run.ticket, self.now)
            run.first_s = self.now - run.arrival.at

    def _end(self, run: RunningRequest) -> None:
        engine = self.engines.get(run.ticket.server)
        if engine is None:
            return
        scheduler = run.node.scheduler
        scheduler.finished(run.ticket, self.now, tokens=run.arrival.answer_tokens)
        scheduler.report(
            engine.name, len(engine.decoding), engine.waiting, as_of=self.now
        )
        del self.running[run.ticket]
        self._record_end(run, "ok")
        self._dispatch_queued(run.node)

    def _lose(self, stream: Stream) -> None:
        run = stream.owner
        if self.running.pop(run.ticket, None) is not None:
            run.node.scheduler.cancelled(run.ticket, self.now)
            self._record_end(run, "lost")

    # Speeds of engines

    def _state_speed(self, run: RunningRequest) -> None:
        """Let a response's head state how fast its engine works."""
        if self.deployment.speed and self.options.speeds:
            scheduler, server = run.node.scheduler, run.ticket.server
            slowdown = self.engines[server].slowdown(self.now)
            scheduler.state_speed(server, 0, slowdown, at=self.now)
            scheduler.update_speeds(self.now)

    def _tell_speeds(self, node: Node, first: int, interval_s: float) -> None:
        """Pass the engines' speeds on to some nodes, as state messages do."""
        count = min(DATAGRAMS_PER_STEP, len(self.nodes) - 1)
        speeds = node.scheduler.servers.speeds
        reports = speeds.next_reports(self.now, MAX_REPORTS)
        for position in range(first, first + count):
            other = self.nodes[(position + 1) % len(self.nodes)]
            if other is not node and reports:
                delay_s = self.random.random() * MAX_RECEIVE_PAUSE_S
                told = [(s, x, self.now - age) for s, x, age in reports]
                self.schedule(self.now + delay_s, self._learn_speeds, other, told)
        step_s = interval_s * count / max(1, len(self.nodes) - 1)
        self.schedule(
            self.now + step_s, self._tell_speeds, node, first + count, interval_s
        )

    def _learn_speeds(self, node: Node, told: list) -> None:
        for server, slowdown, at in told:
            if server in node.scheduler.servers.servers:
                node.scheduler.state_speed(server, 0, slowdown, at=at, is_told=True)
        node.scheduler.update_speeds(self.now)

    # Exchange of backlogs between nodes

    def _broadcast_backlogs(self, node: Node, interval_s: float) -> None:
        loads = node.scheduler.servers.servers.values()
        own_backlogs = largest_backlogs(
            {load.id: load.starting_tokens for load in loads}
        )
        for other in self.nodes:
            if other is not node:
                other.backlogs.receive(node.name, own_backlogs, self.now)
        self._dispatch_queued(node)
        self.schedule(self.now + interval_s, self._broadcast_backlogs, node, interval_s)

    # Servers

    def _add_engine(self, zone: str, *, reclaimable: bool, ready_at: float) -> None:
        name = f"e{next(self.engine_numbers)}"
        speed, seed = self.deployment.speed, f"{self.seed}/{name}"
        phases = SpeedPhases(speed, Random(seed)) if speed else None
        self.engines[name] = Engine(
            name,
            zone,
            self.deployment.engines,
            reclaimable,
            ready_at,
            self.last_used,
            phases=phases,
        )

    def _list_servers(self) -> None:
        usable = [
            engine
            for engine in self.engines.values()
            if engine.ready_at <= self.now and not engine.leaving
        ]
        for node in self.nodes:
            rate = node.rate.tokens_per_s
            known = node.scheduler.servers.servers
            views = [
                known[engine.name].view
                if engine.name in known
                else self._view(engine, rate)
                for engine in usable
            ]
            node.scheduler.set_servers(views)
            set_sources(node.scheduler, self.engines.values(), self.now)
            self._dispatch_queued(node)

    def _view(self, engine: Engine, rate: float) -> ServerView:
        slots = self.deployment.engines.slots
        return ServerView(
            engine.name, "", engine.zone, "s", slots, rate, 50.0, reclaimable=True
        )

    def _scale(self) -> None:
        self._measure_load()
        desired = desired_servers(self._capacity_view())
        for pool, servers in desired.items():
            if pool.reclaimable and self.refused_until.get(pool.zone, 0) > self.now:
                continue
            self._resize(pool, servers)
        self.schedule(self.now + AUTOSCALING_INTERVAL_S, self._scale)

    def _measure_load(self) -> None:
        prompts = (
            sum(node.prefill_work_s for node in self.nodes) / AUTOSCALING_INTERVAL_S
        )
        for node in self.nodes:
            node.prefill_work_s = 0.0
        slots = self.deployment.engines.slots
        running = sum(len(e.decoding) for e in self.engines.values()) / slots
        self.smoothed_load += LOAD_WEIGHT * (prompts + running - self.smoothed_load)
        self.load.add(self.smoothed_load, self.now)

    def _capacity_view(self) -> CapacityView:
        figures = self.deployment.engines
        pools: dict[Pool, PoolState] = {}
        for engine in self.engines.values():
            pool = Pool(engine.zone, engine.reclaimable)
            state = pools.setdefault(pool, PoolState())
            if engine.leaving:
                state.leaving += 1
            elif engine.ready_at <= self.now:
                state.ready += 1
        at_start = len(self.zones) * figures.at_start_in_zone
        needed = self.load.peak() / self.options.target_utilisation
        if self.now < LOAD_WARM_UP_S:
            needed = max(needed, at_start)
        scaling = Scaling(
            1,
            figures.most_in_zone,
            figures.start_s,
            figures.reclaimable_price,
            dict.fromkeys(self.zones, 1.0),
        )
        refused = {Pool(zone, True): at for zone, at in self.refused_until.items()}
        return CapacityView(
            scaling,
            pools,
            max(MIN_NEEDED_SERVERS, needed),
            self.now,
            refused,
            dict(self.ordered),
            self.reclaimed_at,
        )

    def _resize(self, pool: Pool, servers: int) -> None:
        mine = [
            engine
            for engine in self.engines.values()
            if Pool(engine.zone, engine.reclaimable) == pool and not engine.leaving
        ]
        self.ordered[pool] = servers
        start_s = self.deployment.engines.start_s
        for _ in range(servers - len(mine)):
            ready_at = self.now + start_s
            self._add_engine(pool.zone, reclaimable=pool.reclaimable, ready_at=ready_at)
            self.schedule(ready_at + LISTING_DELAY_S, self._list_servers)
        for engine in mine[servers:]:
            engine.leaving = True
            engine.leaves_at = self.now + REMOVAL_DELAY_S
            self.schedule(self.now + LISTING_DELAY_S, self._list_servers)
            self.schedule(self.now + REMOVAL_DELAY_S, self._remove, engine)

    def _reclaim(self, zone: str) -> None:
        wave = self.deployment.wave
        self.reclaimed_at = self.now
        self.refused_until[zone] = self.now + wave.refused_s
        self.ordered[Pool(zone, True)] = 0
        for engine in self.engines.values():
            if engine.zone == zone and engine.reclaimable:
                engine.leaving = True
                engine.leaves_at = self.now + wave.notice_s
                self.schedule(self.now + wave.notice_s, self._remove, engine)
        self.schedule(self.now + LISTING_DELAY_S, self._list_servers)

    def _remove(self, engine: Engine) -> None:
        if engine.name not in self.engines:
            return
        self._add_usage(engine)
        del self.engines[engine.name]
        for stream in engine.lose_all():
            self._lose(stream)
        self._list_servers()

    def _add_usage(self, engine: Engine) -> None:
        figures = self.deployment.engines
        price = figures.reclaimable_price if engine.reclaimable else 1.0
        started = max(0.0, engine.ready_at - figures.start_s)
        end = min(self.now, self.deployment.seconds)
        self.result.servers_s += price * max(0.0, end - started)
        self.result.read += engine.read
        self.result.read_again += engine.read_again
