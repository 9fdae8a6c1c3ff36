"""One play: nodes with the real decisions before engines, in simulated time."""

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
from endive_gateway.duties import DUTY_INTERVAL_S as ORDER_S
from endive_gateway.peers import BROADCAST_INTERVAL_PER_NODE_S, BROADCAST_INTERVAL_S
from endive_gateway.placing import GATEWAY_POLICY, INTERLEAVING_FACTOR

from experiments.deployment import Deployment
from experiments.engines import Engine, Stream
from experiments.traffic import Arrival, arrivals

LOAD_WEIGHT = 0.15
"""Weight of the newest look at the load, as a gateway's memory of 1.5 s gives it."""

LEAVING_S = 5.0
"""Time after which an engine that is given back is gone, seconds."""

AFTER_S = 20.0
"""Time after the last request in which answers may still end, seconds."""

LISTED_S = 0.7
"""Time until nodes know of a server that came or leaves, seconds."""


@dataclass(frozen=True)
class Options:
    """Which decisions take part, and with which limits.

    Attributes
    ----------
    backlogs : bool
        Whether nodes tell each other the prompts that they wait for.
    learned_rate : bool
        Whether the engines' prefill rate is learned, or stays the prior.
    used_part : float
        Part of a server's time that the load may use.
    """

    policy: Policy = GATEWAY_POLICY
    backlogs: bool = True
    learned_rate: bool = True
    used_part: float = TARGET_UTILISATION

    def limits(self, **changes) -> "Options":
        """Return the same with other limits."""
        return replace(self, policy=replace(self.policy, **changes))


@dataclass
class Ended:
    """What a caller got of one request; times in seconds from its sending."""

    kind: str
    at: float
    outcome: str
    first_s: float = 0.0
    total_s: float = 0.0


@dataclass
class Result:
    """What one play brought."""

    ended: list[Ended] = field(default_factory=list)
    servers_s: float = 0.0
    read: float = 0.0
    read_again: float = 0.0


@dataclass(eq=False)
class Running:
    """One admitted request on its way."""

    node: "Node"
    ticket: Ticket
    arrival: Arrival
    first_s: float = 0.0


class Node:
    """One node's decisions for the engines."""

    def __init__(self, play: "Play", number: int, options: Options) -> None:
        self.name = f"n{number}"
        self.rate = PrefillRate()
        self.scheduler = Scheduler.from_policy(
            options.policy,
            Random(1000 * play.seed + number),
            prefill=self.rate if options.learned_rate else None,
        )
        self.scheduler.set_nodes(play.deployment.nodes)
        self.backlogs = Backlogs()
        if options.backlogs:
            self.scheduler.placement.backlogs = self.backlogs
        self.work_s = 0.0


class Play:
    """The events of one play of a deployment under some options."""

    def __init__(self, deployment: Deployment, options: Options, seed: int) -> None:
        self.deployment = deployment
        self.options = options
        self.seed = seed
        self.random = Random(seed)
        self.now = 0.0
        self.order = itertools.count()
        self.events: list = []
        self.result = Result()
        self.read_before: dict[int, float] = {}
        self.engines: dict[str, Engine] = {}
        self.numbers = itertools.count()
        self.zones = [f"z{n}" for n in range(deployment.zones)]
        self.nodes = [Node(self, n, options) for n in range(deployment.nodes)]
        self.running: dict[Ticket, Running] = {}
        self.load = LoadMeter()
        self.smoothed = 0.0
        self.refused_until: dict[str, float] = {}
        self.reclaimed_at = float("-inf")
        self.ordered: dict[Pool, int] = {}

    def run(self) -> Result:
        """Play it; return what callers got and what it cost."""
        figures = self.deployment.engines
        for zone in self.zones:
            self.ordered[Pool(zone, False)] = figures.at_start_in_zone
            for _ in range(figures.at_start_in_zone):
                self._add_engine(zone, reclaimable=False, ready_at=0.0)
        self._list_servers()
        gap_s = max(
            BROADCAST_INTERVAL_S, BROADCAST_INTERVAL_PER_NODE_S * self.deployment.nodes
        )
        for number, node in enumerate(self.nodes):
            self.at(gap_s * number / len(self.nodes), self._tell, node, gap_s)
        zones = self.random.sample(self.zones, len(self.zones))
        for zone, at in zip(zones, self.deployment.wave.at_s, strict=False):
            self.at(at, self._reclaim, zone)
        self.at(ORDER_S, self._order_servers)
        coming = arrivals(self.deployment, self.seed)
        self._next_arrival(coming)
        end = self.deployment.seconds + AFTER_S
        while self.events and self.events[0][0] <= end:
            self.now, _, act, given = heapq.heappop(self.events)
            act(*given)
        for engine in self.engines.values():
            self._count(engine)
        return self.result

    def at(self, time: float, act: Callable[..., None], *given) -> None:
        """Let `act` happen at `time`."""
        heapq.heappush(self.events, (time, next(self.order), act, given))

    # Callers

    def _next_arrival(self, coming) -> None:
        arrival = next(coming, None)
        if arrival is not None:
            self.at(arrival.at, self._arrive, arrival, coming)

    def _arrive(self, arrival: Arrival, coming) -> None:
        self._next_arrival(coming)
        node = self.nodes[arrival.node]
        ticket = node.scheduler.offer(arrival.call, self.now)
        if isinstance(ticket, Refusal):
            self.result.ended.append(Ended(arrival.kind, arrival.at, "refused"))
            return
        self.running[ticket] = Running(node, ticket, arrival)
        self._pump(node)

    def _pump(self, node: Node) -> None:
        while (sent := node.scheduler.next_dispatch(self.now)) is not None:
            self._send(node, sent.ticket, sent.server)
        for ticket in node.scheduler.take_expired():
            self._note_end(self.running.pop(ticket), "refused")

    def _note_end(self, run: Running, outcome: str) -> None:
        arrival = run.arrival
        total_s = self.now - arrival.at
        self.result.ended.append(
            Ended(arrival.kind, arrival.at, outcome, run.first_s, total_s)
        )

    def _send(self, node: Node, ticket: Ticket, server: str) -> None:
        run = self.running[ticket]
        arrival = run.arrival
        engine = self.engines[server]
        node.work_s += (
            ticket.uncached_tokens * node.rate.seconds_per_token / INTERLEAVING_FACTOR
        )
        stream = Stream(
            arrival.parts,
            arrival.call.prompt_tokens,
            arrival.answer_tokens,
            lambda at: self.at(at, self._first, run),
            lambda at: self.at(at, self._end, run),
            run,
            ticket.yields,
        )
        way_s = self.deployment.one_way_ms / 1000
        self.at(self.now + way_s, self._begin, engine, stream)

    def _begin(self, engine: Engine, stream: Stream) -> None:
        if engine.name not in self.engines:
            self._lose(stream)
            return
        engine.submit(stream, self.now)
        if engine.busy_until <= self.now:
            self._step(engine)

    def _step(self, engine: Engine) -> None:
        if engine.name in self.engines and not engine.idle:
            self.at(engine.step(self.now), self._step, engine)

    def _first(self, run: Running) -> None:
        if run.ticket.server in self.engines:
            run.node.scheduler.started(run.ticket, self.now)
            run.first_s = self.now - run.arrival.at

    def _end(self, run: Running) -> None:
        engine = self.engines.get(run.ticket.server)
        if engine is None:
            return
        scheduler = run.node.scheduler
        scheduler.finished(run.ticket, self.now, tokens=run.arrival.answer_tokens)
        scheduler.report(
            engine.name, len(engine.making), engine.waiting, as_of=self.now
        )
        del self.running[run.ticket]
        self._note_end(run, "ok")
        self._pump(run.node)

    def _lose(self, stream: Stream) -> None:
        run = stream.owner
        if self.running.pop(run.ticket, None) is not None:
            run.node.scheduler.cancelled(run.ticket, self.now)
            self._note_end(run, "lost")

    # What nodes tell each other

    def _tell(self, node: Node, gap_s: float) -> None:
        loads = node.scheduler.servers.servers.values()
        told = largest_backlogs({load.id: load.starting_tokens for load in loads})
        for other in self.nodes:
            if other is not node:
                other.backlogs.receive(node.name, told, self.now)
        self._pump(node)
        self.at(self.now + gap_s, self._tell, node, gap_s)

    # Servers

    def _add_engine(self, zone: str, *, reclaimable: bool, ready_at: float) -> None:
        name = f"e{next(self.numbers)}"
        self.engines[name] = Engine(
            name,
            zone,
            self.deployment.engines,
            reclaimable,
            ready_at,
            self.read_before,
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
            self._pump(node)

    def _view(self, engine: Engine, rate: float) -> ServerView:
        slots = self.deployment.engines.slots
        return ServerView(
            engine.name, "", engine.zone, "s", slots, rate, 50.0, reclaimable=True
        )

    def _order_servers(self) -> None:
        self._measure()
        wanted = desired_servers(self._capacity())
        for pool, servers in wanted.items():
            if pool.reclaimable and self.refused_until.get(pool.zone, 0) > self.now:
                continue
            self._resize(pool, servers)
        self.at(self.now + ORDER_S, self._order_servers)

    def _measure(self) -> None:
        prompts = sum(node.work_s for node in self.nodes) / ORDER_S
        for node in self.nodes:
            node.work_s = 0.0
        slots = self.deployment.engines.slots
        running = sum(len(e.making) for e in self.engines.values()) / slots
        self.smoothed += LOAD_WEIGHT * (prompts + running - self.smoothed)
        self.load.add(self.smoothed, self.now)

    def _capacity(self) -> CapacityView:
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
        needed = self.load.peak() / self.options.used_part
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
            self.at(ready_at + LISTED_S, self._list_servers)
        for engine in mine[servers:]:
            engine.leaving = True
            self.at(self.now + LISTED_S, self._list_servers)
            self.at(self.now + LEAVING_S, self._remove, engine)

    def _reclaim(self, zone: str) -> None:
        wave = self.deployment.wave
        self.reclaimed_at = self.now
        self.refused_until[zone] = self.now + wave.refused_s
        self.ordered[Pool(zone, True)] = 0
        for engine in self.engines.values():
            if engine.zone == zone and engine.reclaimable:
                engine.leaving = True
                self.at(self.now + wave.notice_s, self._remove, engine)
        self.at(self.now + LISTED_S, self._list_servers)

    def _remove(self, engine: Engine) -> None:
        if engine.name not in self.engines:
            return
        self._count(engine)
        del self.engines[engine.name]
        for stream in engine.lose_all():
            self._lose(stream)
        self._list_servers()

    def _count(self, engine: Engine) -> None:
        figures = self.deployment.engines
        price = figures.reclaimable_price if engine.reclaimable else 1.0
        started = max(0.0, engine.ready_at - figures.start_s)
        end = min(self.now, self.deployment.seconds)
        self.result.servers_s += price * max(0.0, end - started)
        self.result.read += engine.read
        self.result.read_again += engine.read_again
