"""A rollout in simulated time: nodes, their messages, and responses of two versions.

The decisions and the comparison are the product's. Messages are late, and a part is
lost. The evidence is kept at the holder of the duties and at a few other nodes; what
these decide reaches the others within some hops.
"""

import heapq
import itertools
import math
import random
from dataclasses import dataclass, field, replace

from endive_core.rollout_evidence import FleetEvidence, RolloutTotals
from endive_core.rollout_stages import (
    STOP_SCORE,
    ExposureBounds,
    RolloutPlan,
    RolloutView,
)
from endive_core.rollouts import RolloutOrder, RolloutRecord, Stage, StageKind
from endive_core.traffic_shares import ShareAccumulator

WATCHERS = 4
"""Nodes besides the holder whose evidence is simulated."""

OWN_STOP_MARGIN = 2.0
STEP_S = 0.25
LOSS = 0.2
EVERY_S = 0.2
COLD_S = 2.5
"""Time for which the times of a server that is new in use aren't counted."""
CRASH_COUNTED = 0.1
"""Part of the requests on a crashed server whose failure counts as the version's."""


@dataclass(frozen=True)
class SimulatedRoute:
    """A route's requests per second, failures, and time to first byte."""

    name: str
    rate: float
    failing: float = 0.004
    ratio: float = 1.0
    sigma: float = 0.6
    first_byte_s: float = 0.06
    duration_s: float = 0.1


ENGINE_ROUTES = (
    SimulatedRoute("draft", 128.0, first_byte_s=0.15, duration_s=0.35),
    SimulatedRoute("note", 137.0, first_byte_s=0.1, duration_s=0.2),
    SimulatedRoute("reply", 68.0, first_byte_s=0.05, duration_s=1.5),
)
PLAIN_ROUTES = (
    SimulatedRoute("send", 83.0, sigma=0.4, first_byte_s=0.08),
    SimulatedRoute("status", 33.0, failing=1 / 7, sigma=0.4, first_byte_s=0.08),
)


@dataclass(frozen=True)
class Fault:
    """What is wrong with a version.

    Attributes
    ----------
    failing : float
        Part of its responses that are failures.
    slow, factor : float
        Part of its responses that are slow, and how many times.
    from_s : float
        When that begins, seconds since the order.
    route : str
        The only route concerned; all if empty.
    load : float
        Part of an old server's load from which on it shows.
    """

    failing: float = 0.0
    slow: float = 0.0
    factor: float = 4.0
    from_s: float = 0.0
    route: str = ""
    load: float = 0.0


@dataclass
class Disturbances:
    """What may happen to a good version too.

    Attributes
    ----------
    cold_s, cold_factor : float
        How long its servers respond how many times slower after their start.
    crash_s, crashed : float
        When a part of the servers of one version crashes.
    phases : float
        How many times slower a server is for 15 % of the time.
    """

    cold_s: float = 1.0
    cold_factor: float = 1.5
    crash_s: float = -1.0
    crashed: str = "base"
    phases: float = 1.0


@dataclass
class Node:
    """A node's totals, its share, and the stage that it applies."""

    number: int
    accumulator: ShareAccumulator
    totals: RolloutTotals = field(default_factory=RolloutTotals)
    stage: Stage = field(default_factory=Stage)
    is_stopped: bool = False
    next_evidence_at: float = 0.0
    is_evidence_due: bool = False
    base_in_flight: int = 0


class SimulatedRollout:
    """One rollout.

    Attributes
    ----------
    outcome : StageKind or None
        As written, and when, in seconds since the order.
    sent_at : list of float
        When requests were sent to the candidate.
    bad_at : list of float
        When its bad responses arrived.
    left : int
        Requests at the old servers when the outcome was written.
    """

    def __init__(
        self,
        seed,
        *,
        nodes=30,
        routes=ENGINE_ROUTES,
        duration_s=12.0,
        base_servers=45,
        ready_s=2.0,
        fault=None,
        disturbances=None,
        write_s=0.1,
        holder_dies_s=None,
    ):
        self.random = random.Random(seed)
        self.routes = routes
        self.fault = fault
        self.disturbances = disturbances or Disturbances()
        self.duration_s = duration_s
        self.base_servers = self.candidate_servers = base_servers
        self.ready_s = ready_s
        self.write_s = write_s
        self.holder_dies_s = holder_dies_s
        self.order = RolloutOrder("s", "v2", duration_s, 7, 0.0)
        self.bounds = ExposureBounds()
        self.nodes = [
            Node(number, ShareAccumulator(self.random)) for number in range(nodes)
        ]
        self.interval_s = max(0.2, 0.01 * nodes)
        self.evidence_interval_s = max(0.25, 0.005 * nodes)
        self.watched = {
            number: FleetEvidence() for number in range(min(nodes, 1 + WATCHERS))
        }
        for number, evidence in self.watched.items():
            evidence.own = self.nodes[number].totals
        self.record = RolloutRecord(self.order)
        self.fence = 1
        self.plan = RolloutPlan(self.order, self.bounds)
        self.holder = 0
        self.stop = ""
        self.outcome = None
        self.outcome_at = None
        self.reason = ""
        self.requests = 0
        self.sent_at = []
        self.bad_at = []
        self.is_writing = False
        self.left = 0
        self.events = []
        self.numbers = itertools.count()
        self.now = 0.0
        self.phase_slow = {}

    # Events

    def at(self, time, action, *args):
        heapq.heappush(self.events, (time, next(self.numbers), action, args))

    def run(self):
        """Run until a while after the duration; return self."""
        for node in self.nodes:
            self.at(self.random.uniform(0, self.interval_s), self.broadcast, node)
        for route in self.routes:
            self.at(self.random.expovariate(route.rate), self.arrive, route)
        self.at(0.1, self.hold)
        for number in self.watched:
            self.at(self.random.uniform(0, EVERY_S), self.watch, number)
        end = self.duration_s + 2.0
        while self.events and self.events[0][0] <= end:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        return self

    # Requests

    def arrive(self, route):
        self.at(self.now + self.random.expovariate(route.rate), self.arrive, route)
        node = self.random.choice(self.nodes)
        node.totals.requests += 1
        if self.now <= self.duration_s:
            self.requests += 1
        stage = node.stage
        to_candidate = False
        if self.now >= self.ready_s and not node.is_stopped:
            if stage.kind in (StageKind.ALL, StageKind.COMPLETED):
                to_candidate = stage.has_begun(route.name, self.now)
            elif stage.share and stage.kind is not StageKind.ROLLED_BACK:
                to_candidate = node.accumulator.takes_next(stage.share)
        if to_candidate:
            node.totals.exposed += 1
            self.sent_at.append(self.now)
        else:
            node.base_in_flight += 1
        self.respond(node, route, to_candidate=to_candidate)

    def respond(self, node, route, *, to_candidate):
        ratio = route.ratio * self.random.lognormvariate(0.0, route.sigma)
        failed = self.random.random() < route.failing
        is_bad = False
        if to_candidate:
            warm_at = self.ready_s + self.disturbances.cold_s
            ratio *= self.disturbances.cold_factor if self.now < warm_at else 1.0
            if self.shows(node, route):
                if self.random.random() < self.fault.failing:
                    failed = is_bad = True
                if self.random.random() < self.fault.slow:
                    ratio *= self.fault.factor
                    is_bad = True
        side = "candidate" if to_candidate else "base"
        ratio *= self.phase(side, node.stage)
        crash_s = self.disturbances.crash_s
        is_crashed = self.disturbances.crashed == side and (
            crash_s - 0.3 < self.now < crash_s and self.random.random() < 0.25
        )
        if is_crashed:
            if self.random.random() >= CRASH_COUNTED:
                self.at(self.now + 0.3, self.leave, node, to_candidate)
                return
            failed = True
        if self.disturbances.crashed == side and 0 < crash_s < self.now < crash_s + 4:
            ratio *= 1.25
        seconds = route.first_byte_s * ratio
        self.at(
            self.now + seconds,
            self.answered,
            node,
            route,
            ratio,
            failed,
            is_bad,
            to_candidate,
        )

    def shows(self, node, route):
        """Return whether the fault shows in a response."""
        fault = self.fault
        if fault is None or self.now < fault.from_s:
            return False
        if fault.route not in ("", route.name):
            return False
        stage = node.stage
        servers = stage.servers or self.candidate_servers
        load = stage.share / servers * self.base_servers
        return load >= fault.load

    def phase(self, side, stage):
        """Return how many times slower the server is now that gets a request."""
        factor = self.disturbances.phases
        if factor == 1.0:
            return 1.0
        servers = self.base_servers
        if side == "candidate":
            servers = stage.servers or self.candidate_servers
        server = self.random.randrange(servers)
        key = side, server, int(self.now / 0.6)
        if key not in self.phase_slow:
            self.phase_slow[key] = self.random.random() < 0.15
        return factor if self.phase_slow[key] else 1.0

    def answered(self, node, route, ratio, failed, is_bad, to_candidate):
        counts = node.totals.route(route.name)
        side = counts.candidate if to_candidate else counts.base
        side.responses += 1
        side.failures += failed
        is_cold = to_candidate and self.now < self.ready_s + COLD_S
        if not (failed or is_cold):
            side.add_time(ratio)
        if is_bad:
            self.bad_at.append(self.now)
        if to_candidate:
            self.tell_evidence(node)
        seconds = self.random.expovariate(1 / route.duration_s)
        if not failed:
            side.ended += 1
            side.busy_ms += int(1000 * seconds)
        self.at(self.now + seconds, self.leave, node, to_candidate)

    def leave(self, node, to_candidate):
        if not to_candidate:
            node.base_in_flight -= 1

    # Messages

    def broadcast(self, node):
        self.at(self.now + self.interval_s, self.broadcast, node)
        for number in self.watched:
            self.tell(node, number)

    def tell_evidence(self, node):
        if node.is_evidence_due:
            return
        node.is_evidence_due = True
        self.at(max(self.now, node.next_evidence_at), self.send_evidence, node)

    def send_evidence(self, node):
        node.is_evidence_due = False
        node.next_evidence_at = self.now + self.evidence_interval_s
        self.tell(node, self.holder)
        other = self.random.randrange(len(self.nodes))
        if other in self.watched:
            self.tell(node, other)

    def tell(self, node, number):
        if node.number != number and self.random.random() >= LOSS:
            node.totals.base_left = node.base_in_flight
            totals = node.totals.copy()
            self.at(
                self.now + 0.01, self.receive, number, node, totals, node.stage.number
            )

    def receive(self, number, node, totals, stage):
        self.watched[number].receive(f"n{node.number}", 1, totals, stage)

    def reach(self, action):
        """Let all nodes do something once they have learned of it.

        Each node tells ten others at once; the rest learn of it from a broadcast.
        """
        hops = math.ceil(math.log(len(self.nodes), 10))
        for node in self.nodes:
            delay_s = sum(self.random.uniform(0.01, 0.09) for _ in range(hops))
            missed = LOSS if len(self.nodes) <= 10 else LOSS**3
            while self.random.random() < missed:
                delay_s += self.random.uniform(0, self.interval_s)
            self.at(self.now + delay_s, action, node)

    # Decisions

    def apply(self, stage):
        def set_stage(node):
            if stage.number > node.stage.number:
                node.stage = stage

        return set_stage

    def stop_at(self, node):
        node.is_stopped = True

    def announce_stop(self, reason):
        if not self.stop and self.outcome is not StageKind.COMPLETED:
            self.stop = reason
            self.reach(self.stop_at)

    def watch(self, number):
        self.at(self.now + EVERY_S, self.watch, number)
        node, evidence = self.nodes[number], self.watched[number]
        if node.stage.kind is StageKind.NONE or self.outcome or self.stop:
            return
        if self.holder_dies_s and number == 0 and self.now >= self.holder_dies_s:
            return
        finding = evidence.finding(self.now)
        margin = 0.0 if number == self.holder else OWN_STOP_MARGIN
        if finding.score >= STOP_SCORE + margin:
            self.announce_stop(str(finding))

    def hold(self):
        self.at(self.now + STEP_S, self.hold)
        if self.outcome or self.is_writing:
            return
        if self.holder_dies_s and self.now >= self.holder_dies_s and self.holder == 0:
            # The lease of the dead holder ends, and the next node claims the duties.
            if self.now >= self.holder_dies_s + 3.3:
                self.holder, self.fence = 1, 2
                self.plan = RolloutPlan(self.order, self.bounds)
            return
        evidence = self.watched[self.holder]
        own = self.nodes[self.holder]
        evidence.own.base_left = own.base_in_flight
        finding = evidence.finding(self.now)
        stages = evidence.stages.values()
        is_applied = len(stages) == len(self.nodes) - 1 and all(
            number >= self.record.stage.number for number in stages
        )
        view = RolloutView(
            self.now,
            self.candidate_servers if self.now >= self.ready_s else 0,
            self.base_servers,
            evidence.total(),
            finding,
            self.stop,
            min(0.6, self.evidence_interval_s),
            0.06 * (1 + math.log10(len(self.nodes))),
            is_applied,
            (1 + len(evidence.stages)) / len(self.nodes),
        )
        decision = self.plan.decide(self.record.stage, view)
        if decision is None:
            return
        if decision.stage.kind is StageKind.ROLLED_BACK:
            self.announce_stop(decision.reason)
        self.reason = decision.reason
        self.is_writing = True
        record = self.record.advance(self.fence, decision.stage, decision.reason)
        self.at(
            self.now + self.random.uniform(0.5, 1.5) * self.write_s, self.on, record
        )

    def on(self, record):
        self.is_writing = False
        self.record = record
        stage = record.stage
        self.nodes[self.holder].stage = stage
        self.reach(self.apply(stage))
        if stage.kind.is_final:
            self.outcome = stage.kind
            self.outcome_at = self.now + self.write_s
            self.left = sum(node.base_in_flight for node in self.nodes)

    # Results

    @property
    def exposed(self):
        return sum(at <= self.duration_s for at in self.sent_at)

    @property
    def bound(self):
        return self.bounds.share * self.requests + self.bounds.slack

    @property
    def late_s(self):
        """Return how long after its 50th bad response a request was sent last."""
        if len(self.bad_at) < 50:
            return 0.0
        return max(0.0, self.sent_at[-1] - sorted(self.bad_at)[49])


def fault(**options):
    """Return a fault."""
    return Fault(**options)


def plain(seed, **options):
    """Return a rollout of a plain service with few servers."""
    values = {"routes": PLAIN_ROUTES, "base_servers": 4} | options
    return SimulatedRollout(seed, **values)


def engines(seed, **options):
    """Return a rollout of a service of engines."""
    return SimulatedRollout(seed, **options)


def scaled(routes, factor):
    """Return routes with their rates multiplied."""
    return tuple(replace(route, rate=factor * route.rate) for route in routes)
