"""Servers of a simulated deployment: their start, listing, scaling and loss."""

import itertools
from random import Random
from typing import TYPE_CHECKING

from endive_core.capacity import CapacityView, Pool, PoolState, desired_servers
from endive_core.load_sizing import LoadMeter
from endive_core.messages import ServerView
from endive_core.routing import Scaling
from endive_gateway.autoscaling import LOAD_WARM_UP_S, MIN_NEEDED_SERVERS
from endive_gateway.duties import DUTY_INTERVAL_S as AUTOSCALING_INTERVAL_S

from experiments.engines import Engine, SpeedPhases
from experiments.fetching import set_sources
from experiments.recomputed import Recomputed
from experiments.sizing import Sample, SizingTrace

if TYPE_CHECKING:
    from experiments.play import Simulation

LOAD_WEIGHT = 0.15
"""Weight of the newest load sample, equivalent to a gateway's smoothing over 1.5 s."""

REMOVAL_DELAY_S = 5.0
"""Time from releasing an engine until it is gone, seconds."""

LISTING_DELAY_S = 0.7
"""Time until nodes know that a server is ready or leaves, seconds."""


class Servers:
    """Starts, lists, scales and removes the engines.

    Attributes
    ----------
    engines : dict of str to Engine
        The engines by name: those that start, run or leave.
    last_used : dict of int to float
        When any engine last used a prompt part, by hash.
    ordered : dict of Pool to int
        Servers ordered of each pool.
    refused_until : dict of str to float
        When a zone grants reclaimable engines again, by zone.
    """

    def __init__(self, simulation: "Simulation") -> None:
        self.simulation = simulation
        self.last_used: dict[int, float] = {}
        self.engines: dict[str, Engine] = {}
        self.recomputed = Recomputed(self.engines)
        self.sizing = SizingTrace(simulation.deployment)
        self.engine_numbers = itertools.count()
        self.zones = [f"z{n}" for n in range(simulation.deployment.zones)]
        self.load = LoadMeter()
        self.smoothed_load = 0.0
        self.refused_until: dict[str, float] = {}
        self.reclaimed_at = float("-inf")
        self.ordered: dict[Pool, int] = {}

    def add_first(self) -> None:
        """Add and list the engines that run at the start."""
        figures = self.simulation.deployment.engines
        for zone in self.zones:
            reclaimable = figures.reclaimable_at_start
            self.ordered[Pool(zone, reclaimable)] = figures.at_start_in_zone
            for _ in range(figures.at_start_in_zone):
                self._add_engine(zone, reclaimable=reclaimable, ready_at=0.0)
        self._list_servers()

    def begin(self) -> None:
        """Schedule the crashes, the reclaims and the autoscaling."""
        simulation = self.simulation
        crash_times = Random(f"crashes {simulation.seed}")
        for crash in simulation.deployment.crashes:
            at = crash_times.uniform(*crash.at_s)
            simulation.schedule(at, self._crash, crash.share)
        zones = simulation.random.sample(self.zones, len(self.zones))
        for zone, at in zip(zones, simulation.deployment.wave.at_s, strict=False):
            self.sizing.events.append(("reclaim", at))
            simulation.schedule(at, self._reclaim, zone)
        simulation.schedule(AUTOSCALING_INTERVAL_S, self._scale)

    def end(self) -> None:
        """Add the usage of the engines that still run."""
        for engine in self.engines.values():
            self._add_usage(engine)

    def _add_engine(self, zone: str, *, reclaimable: bool, ready_at: float) -> None:
        name = f"e{next(self.engine_numbers)}"
        speed, seed = self.simulation.deployment.speed, f"{self.simulation.seed}/{name}"
        phases = SpeedPhases(speed, Random(seed)) if speed else None
        self.engines[name] = Engine(
            name,
            zone,
            self.simulation.deployment.engines,
            reclaimable,
            ready_at,
            self.last_used,
            phases=phases,
            recomputed=self.recomputed,
        )

    def _list_servers(self) -> None:
        usable = [
            engine
            for engine in self.engines.values()
            if engine.ready_at <= self.simulation.now and not engine.leaving
        ]
        for node in self.simulation.nodes:
            rate = node.rate.tokens_per_s
            known = node.scheduler.servers.servers
            views = [
                known[engine.name].view
                if engine.name in known
                else self._view(engine, rate)
                for engine in usable
            ]
            node.scheduler.set_servers(views)
            set_sources(node.scheduler, self.engines.values(), self.simulation.now)
            self.simulation.attempts.dispatch_queued(node)

    def _view(self, engine: Engine, rate: float) -> ServerView:
        slots = self.simulation.deployment.engines.slots
        return ServerView(
            engine.name, "", engine.zone, "s", slots, rate, 50.0, reclaimable=True
        )

    def _scale(self) -> None:
        self._measure_load()
        desired = desired_servers(self._capacity_view())
        for pool, servers in desired.items():
            if (
                pool.reclaimable
                and self.refused_until.get(pool.zone, 0) > self.simulation.now
            ):
                continue
            self._resize(pool, servers)
        self.simulation.schedule(
            self.simulation.now + AUTOSCALING_INTERVAL_S, self._scale
        )

    def _measure_load(self) -> None:
        prompts = (
            sum(node.prefill_work_s for node in self.simulation.nodes)
            / AUTOSCALING_INTERVAL_S
        )
        for node in self.simulation.nodes:
            node.prefill_work_s = 0.0
        slots = self.simulation.deployment.engines.slots
        running = sum(len(e.decoding) for e in self.engines.values()) / slots
        self.smoothed_load += LOAD_WEIGHT * (prompts + running - self.smoothed_load)
        self.load.add(self.smoothed_load, self.simulation.now)
        ready = [e for e in self.engines.values() if e.ready_at <= self.simulation.now]
        self.sizing.samples.append(
            Sample(
                self.simulation.now,
                sum(not engine.leaving for engine in ready),
                len(self.engines),
                prompts + running,
            )
        )

    def _capacity_view(self) -> CapacityView:
        figures = self.simulation.deployment.engines
        pools: dict[Pool, PoolState] = {}
        for engine in self.engines.values():
            pool = Pool(engine.zone, engine.reclaimable)
            state = pools.setdefault(pool, PoolState())
            if engine.leaving:
                state.leaving += 1
            elif engine.ready_at <= self.simulation.now:
                state.ready += 1
        at_start = len(self.zones) * figures.at_start_in_zone
        needed = self.load.peak() / self.simulation.options.target_utilisation
        if self.simulation.now < LOAD_WARM_UP_S:
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
            self.simulation.now,
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
        start_s = self.simulation.deployment.engines.start_s
        for _ in range(servers - len(mine)):
            ready_at = self.simulation.now + start_s
            self._add_engine(pool.zone, reclaimable=pool.reclaimable, ready_at=ready_at)
            self.simulation.schedule(ready_at + LISTING_DELAY_S, self._list_servers)
        for engine in mine[servers:]:
            engine.leaving = True
            engine.leaves_at = self.simulation.now + REMOVAL_DELAY_S
            self.simulation.schedule(
                self.simulation.now + LISTING_DELAY_S, self._list_servers
            )
            self.simulation.schedule(
                self.simulation.now + REMOVAL_DELAY_S, self._remove, engine
            )

    def _reclaim(self, zone: str) -> None:
        wave = self.simulation.deployment.wave
        self.reclaimed_at = self.simulation.now
        self.refused_until[zone] = self.simulation.now + wave.refused_s
        self.ordered[Pool(zone, True)] = 0
        for engine in self.engines.values():
            if engine.zone == zone and engine.reclaimable:
                engine.leaving = True
                engine.leaves_at = self.simulation.now + wave.notice_s
                self.simulation.schedule(
                    self.simulation.now + wave.notice_s, self._remove, engine
                )
        self.simulation.schedule(
            self.simulation.now + LISTING_DELAY_S, self._list_servers
        )

    def _crash(self, share: float) -> None:
        simulation = self.simulation
        ready = [e for e in self.engines.values() if e.ready_at <= simulation.now]
        for engine in simulation.random.sample(ready, round(share * len(ready))):
            self._lose_engine(engine)
        simulation.schedule(simulation.now + LISTING_DELAY_S, self._list_servers)

    def _lose_engine(self, engine: Engine) -> None:
        self._add_usage(engine)
        del self.engines[engine.name]
        for stream in engine.lose_all():
            self.simulation.attempts.lose(stream)

    def _remove(self, engine: Engine) -> None:
        if engine.name in self.engines:
            self._lose_engine(engine)
            self._list_servers()

    def _add_usage(self, engine: Engine) -> None:
        figures = self.simulation.deployment.engines
        price = figures.reclaimable_price if engine.reclaimable else 1.0
        started = max(0.0, engine.ready_at - figures.start_s)
        end = min(self.simulation.now, self.simulation.deployment.seconds)
        self.simulation.result.servers_s += price * max(0.0, end - started)
        self.simulation.result.read += engine.read
        self.simulation.result.read_again += engine.read_again
        self.simulation.result.preemptions += engine.preemptions
