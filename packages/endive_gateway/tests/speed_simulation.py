"""Builder of a fleet in simulated time before plain servers whose speed changes.

Run it as a program to compare ways of choosing a server; see `main`.
"""

import argparse
import bisect
import itertools
import logging
import statistics
from collections import deque
from dataclasses import dataclass, replace
from random import Random

import pytest
from core_builders import call
from endive_core.exceptions import EndiveError, RetryReason
from endive_gateway.interfaces import ResponseMetadata
from endive_gateway.speed_exchange import SpeedExchange
from fleet_simulation import SimulatedFleet
from gateway_builders import SERVICE, make_entry

ONE_WAY_S = 0.001
WORK_S = 0.045
SLOTS = 6
ROOM = 24
SERVERS = 3
SLOWDOWN = 2.5
SLOW_S, USUAL_S = 0.6, 3.4
TARGET_S = 0.215
DEADLINE_S = 1.076
POLL_S = 0.01
WARM_UP_S = 6.0
STALL_SHARE, STALL_S = 0.02, 0.1
"""Share of the messages that are read late since the node is busy, and by how much at
most, seconds."""

MEAN_SPEED = (USUAL_S + SLOW_S / SLOWDOWN) / (USUAL_S + SLOW_S)
CAPACITY_PER_S = SERVERS * SLOTS * MEAN_SPEED / WORK_S


class Phases:
    """Slow and usual phases of one server, of random lengths."""

    def __init__(self, random, begin, end):
        self.times, self.slowdowns = [begin], [1.0]
        if random.random() < SLOW_S / (SLOW_S + USUAL_S):
            self.slowdowns = [SLOWDOWN]
        while self.times[-1] < end:
            is_slow = self.slowdowns[-1] > 1.0
            length_s = random.expovariate(1 / (SLOW_S if is_slow else USUAL_S))
            self.times.append(self.times[-1] + length_s)
            self.slowdowns.append(1.0 if is_slow else SLOWDOWN)

    def slowdown(self, now):
        return self.slowdowns[bisect.bisect_right(self.times, now) - 1]

    def end_of(self, work_s, now):
        """Return when work that begins at `now` ends."""
        index = bisect.bisect_right(self.times, now) - 1
        while index + 1 < len(self.times):
            done = (self.times[index + 1] - now) / self.slowdowns[index]
            if done >= work_s:
                break
            work_s -= done
            index += 1
            now = self.times[index]
        return now + work_s * self.slowdowns[index]


class SpeedServer:
    """A server with slots and a queue that states how fast it is."""

    def __init__(self, fleet, server_id, phases):
        self.fleet = fleet
        self.id = server_id
        self.phases = phases
        self.running = 0
        self.waiting = deque()
        self.stated = lambda slowdown: slowdown

    def arrive(self, request):
        if self.running < SLOTS:
            self.run(request)
        elif len(self.waiting) < ROOM:
            self.fleet.queued += 1
            request.is_queued = True
            self.waiting.append(request)
        else:
            self.fleet.rejected += 1
            self.fleet.at(self.fleet.clock.now + ONE_WAY_S, request.reject)

    def run(self, request):
        self.running += 1
        now = self.fleet.clock.now
        if request.is_queued and self.phases.slowdown(now) > 1.0:
            others = self.fleet.servers.values()
            request.is_movable = any(s.running < SLOTS for s in others)
        self.fleet.at(self.phases.end_of(request.work_s, now), self.end, request)

    def end(self, request):
        self.running -= 1
        self.fleet.at(self.fleet.clock.now + ONE_WAY_S, request.answer, self.metadata())
        if self.waiting:
            self.run(self.waiting.popleft())
        elif self.fleet.single_queue:
            self.run(self.fleet.single_queue.popleft())

    def metadata(self):
        return ResponseMetadata(
            signed=True,
            running=self.running,
            waiting=len(self.waiting),
            slots=SLOTS,
            slowdown=self.stated(self.phases.slowdown(self.fleet.clock.now)),
        )


class DirectRequest:
    """A request that is sent without the product's decisions.

    Attributes
    ----------
    is_queued, is_movable : bool
        Whether a server queued it, and then began it while it was slow and another
        server had a free slot.
    """

    def __init__(self, fleet, work_s):
        self.fleet = fleet
        self.work_s = work_s
        self.received_at = fleet.clock.now
        self.is_queued = self.is_movable = False

    def answer(self, _metadata):
        waited_s = self.fleet.clock.now - self.received_at
        self.fleet.movable += self.is_movable and waited_s > TARGET_S
        self.fleet.ends.append((self.received_at, waited_s))

    def reject(self):
        self.fleet.ends.append((self.received_at, None))


class NodeRequest(DirectRequest):
    """A request at one node."""

    def __init__(self, fleet, node, work_s):
        super().__init__(fleet, work_s)
        self.context = node.context
        self.placer = node.context.placer
        self.ticket = None
        self.server = None
        self.sent_at = 0.0

    def enter(self):
        number = next(self.fleet.numbers)
        asked = call(
            number,
            organisation=f"o{number % 16}",
            fingerprint=f"f{number}",
            prompt_tokens=0,
            max_tokens=1,
            target_s=TARGET_S,
            deadline=self.received_at + DEADLINE_S,
        )
        try:
            self.ticket = self.placer.admit(SERVICE, asked)
        except EndiveError:
            self.refuse()
        else:
            self.wait()

    def refuse(self):
        self.fleet.refused += 1
        self.fleet.ends.append((self.received_at, None))

    def wait(self):
        """Send the request once a server is assigned; queues are polled."""
        result = self.placer.waiting.get(self.ticket)
        if result is None:
            return
        if not result.ready():
            for scheduler in self.placer.schedulers.values():
                self.placer.dispatch_queued(scheduler)
        if not result.ready():
            self.fleet.at(self.fleet.clock.now + POLL_S, self.wait)
            return
        try:
            self.server = self.fleet.servers[result.get().id]
        except EndiveError:
            self.placer.end(self.ticket)
            self.refuse()
            return
        self.sent_at = self.fleet.clock.now
        self.fleet.at(self.sent_at + ONE_WAY_S, self.server.arrive, self)

    def observe(self, status, metadata):
        self.context.server_statements.observe(
            self.server.id, status, metadata, self.sent_at, through=""
        )

    def answer(self, metadata):
        self.observe(200, metadata)
        self.placer.started(self.ticket)
        self.placer.finished(self.ticket, 1)
        self.placer.end(self.ticket)
        super().answer(metadata)

    def reject(self):
        metadata = self.server.metadata()
        metadata.not_run = True
        self.observe(503, metadata)
        try:
            self.placer.failed(
                self.ticket, RetryReason.SERVER_BUSY, started=False, max_attempts=2
            )
        except EndiveError:
            self.placer.end(self.ticket)
            self.refuse()
        else:
            self.wait()


@dataclass(frozen=True)
class Way:
    """How servers are chosen.

    Attributes
    ----------
    is_stated : bool
        Whether nodes use what servers state.
    told : str
        What nodes pass on: nothing, what servers stated to them (``own``), or all.
    """

    is_stated: bool = True
    told: str = "all"


WAYS = {
    "counts": Way(is_stated=False),
    "two choices": None,
    "not told": Way(told=""),
    "told once": Way(told="own"),
    "stated": Way(),
    "single queue": None,
}
"""Two random choices and the single queue know all counts at each moment, and the
latter all speeds."""


class SpeedFleet(SimulatedFleet):
    """Nodes before servers of a plain service.

    Attributes
    ----------
    ends : list of (float, float or None)
        When requests came, and the time until the response, if they got one.
    queued, rejected, refused : int
        Requests that a server queued or rejected, and that nodes refused.
    movable : int
        Late requests that another server could have run while a slow one had them
        queued.
    single_queue : deque
        Requests in the one queue of all servers.
    ages : list of float
        Ages of nodes' statements when requests come, seconds.
    """

    def __init__(self, monkeypatch, nodes, way="stated", seed=1, seconds=30.0):
        monkeypatch.setattr("gevent.sleep", lambda seconds=0: None)
        self.way, self.name = WAYS[way], way
        self.ends, self.ages = [], []
        self.queued = self.rejected = self.refused = self.movable = 0
        self.single_queue = deque()
        random = Random(f"{seed}/phases")
        self.servers = {
            f"i-{number}": SpeedServer(
                self, f"i-{number}", Phases(random, 1_000.0, 1_000.0 + seconds + 30.0)
            )
            for number in range(SERVERS)
        }
        self.arrivals = Random(f"{seed}/arrivals")
        super().__init__(monkeypatch, nodes if self.way else 1, seed)

    def prepare(self, node):
        context = node.context
        context.placer.random.seed(node.address)
        context.settings = replace(
            context.settings, server_slowdowns=bool(self.way and self.way.is_stated)
        )
        for server in self.servers:
            context.registry.put(make_entry(server, slots=SLOTS))
        context.registry.is_loaded = True
        context.registry.notify_listeners()
        exchange = context.speed_exchange
        for server, (incarnation, since) in exchange.incarnations.items():
            exchange.incarnations[server] = (incarnation, since - 10.0)
        if self.way and self.way.told != "all":
            exchange.next_reports = self.limited_reports(exchange)
        node.datagrams.send = self.deliver_later(node.address)
        super().prepare(node)

    def limited_reports(self, exchange):
        """Return a function that passes on what servers told the node, or nothing."""
        own = {}

        def observe(server, metadata):
            SpeedExchange.observe(exchange, server, metadata)
            own[server] = (metadata.slowdown, self.clock.now)

        exchange.observe = observe

        def next_reports():
            if not self.way.told:
                return []
            now = self.clock.now
            return [
                (server, slowdown, now - at)
                for server, (slowdown, at) in own.items()
                if now - at < 2.0
            ]

        return next_reports

    def deliver_later(self, sender):
        """Return a function that sends messages over a network to busy nodes."""

        def send(message, receivers):
            for receiver in receivers:
                node = self.by_address[receiver]
                delay_s = ONE_WAY_S + self.random.random() * node.datagrams.pause_s
                if self.random.random() < STALL_SHARE:
                    delay_s += self.random.random() * STALL_S
                due = self.clock.now + delay_s
                self.at(due, node.receive, message, sender)

        return send

    @property
    def by_address(self):
        if not hasattr(self, "_by_address"):
            self._by_address = {node.address: node for node in self.nodes}
        return self._by_address

    def run(self, seconds, load):
        """Let requests arrive for some seconds, at `load` times the mean capacity."""
        end = self.clock.now + seconds
        self.at(self.clock.now, self.request, load * CAPACITY_PER_S, end)
        self.run_until(end + DEADLINE_S + 1.0)

    def request(self, per_s, end):
        now = self.clock.now
        if now >= end:
            return
        work_s = WORK_S * self.arrivals.lognormvariate(-0.125, 0.5)
        number = self.arrivals.randrange(1_000_000)
        if self.way:
            node = self.nodes[number % len(self.nodes)]
            self.record_ages(node)
            NodeRequest(self, node, work_s).enter()
        elif self.name == "two choices":
            pair = Random(number).sample(list(self.servers.values()), 2)
            chosen = min(pair, key=lambda s: s.running + len(s.waiting))
            request = DirectRequest(self, work_s)
            self.at(now + ONE_WAY_S, chosen.arrive, request)
        else:
            self.at(now + ONE_WAY_S, self.enqueue, DirectRequest(self, work_s))
        self.at(now + self.arrivals.expovariate(per_s), self.request, per_s, end)

    def enqueue(self, request):
        """Let the fastest server with a free slot run a request, or queue it."""
        free = [s for s in self.servers.values() if s.running < SLOTS]
        if free:
            now = self.clock.now
            min(free, key=lambda s: (s.phases.slowdown(now), s.running)).run(request)
        else:
            self.single_queue.append(request)

    def record_ages(self, node):
        speeds = node.context.placer.schedulers[SERVICE].servers.speeds
        self.ages += [self.clock.now - s.at for s in speeds.statements.values()]

    def figures(self):
        """Return share within target, median and 99th percentile in ms, refused."""
        begin = 1_000.0 + WARM_UP_S
        ends = [took for at, took in self.ends if at >= begin]
        served = sorted(took for took in ends if took is not None)
        within = sum(took <= TARGET_S for took in served) / max(1, len(ends))
        cuts = statistics.quantiles(served, n=100)
        refused = 1 - len(served) / max(1, len(ends))
        return within, 1000 * cuts[49], 1000 * cuts[98], refused, len(ends)


def play(monkeypatch, nodes, way, load, *, seconds=30.0, seed=1):
    """Return a fleet after a run."""
    fleet = SpeedFleet(monkeypatch, nodes, way, seed, seconds)
    fleet.run(seconds, load)
    return fleet


def main():
    """Print figures of each way, number of nodes and load, by seed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--nodes", default="1,6,30,120,200")
    parser.add_argument("--loads", default="0.3,0.6,0.9")
    parser.add_argument("--ways", default=",".join(WAYS))
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    options = parser.parse_args()
    logging.disable()
    counts = [int(count) for count in options.nodes.split(",")]
    loads = [float(load) for load in options.loads.split(",")]
    ways = options.ways.split(",")
    seeds = range(1, options.seeds + 1)
    for nodes, load, way in itertools.product(counts, loads, ways):
        if WAYS[way] is None and nodes != counts[0]:
            continue
        found = []
        for seed in seeds:
            with pytest.MonkeyPatch.context() as patch:
                fleet = play(
                    patch, nodes, way, load, seconds=options.seconds, seed=seed
                )
                age_s = statistics.mean(fleet.ages) if fleet.ages else 0.0
                share = fleet.movable / max(1, len(fleet.ends))
                found.append((*fleet.figures(), age_s, fleet.queued, share))
        means = [statistics.mean(column) for column in zip(*found, strict=True)]
        within, middle, last, refused, count, age_s, queued, movable = means
        print(
            f"{nodes:4d} nodes, load {load}, {way:12s}: within {within:.4f},"
            f" median {middle:5.1f} ms, p99 {last:6.1f} ms, refused {refused:.4f},"
            f" requests {count:.0f}, age {age_s:.3f} s, queued {queued:.0f},"
            f" late and movable {movable:.4f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
