"""Measure the latency that a claim adds, claims per append, and appends per second.

The claim components of eight nodes, each with its own thrift listener, run in one
process on loopback; the simulated log is a separate process. Claims arrive as a Poisson
process with a fixed seed, at the nodes in turn, and are used immediately.
"""

from gevent import monkey

monkey.patch_all()

import random  # noqa: E402
import resource  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from collections import Counter  # noqa: E402
from dataclasses import dataclass  # noqa: E402
from pathlib import Path  # noqa: E402

import builders  # noqa: E402
import gevent  # noqa: E402
from endive_core.exceptions import EndiveError  # noqa: E402
from endive_core.membership import Member  # noqa: E402
from endive_core.messages import Endpoint, Request  # noqa: E402
from endive_node.claiming import LogClaims  # noqa: E402
from endive_node.connection_limit import ConnectionLimit  # noqa: E402
from endive_node.peers import PeerHandler, PeerListener  # noqa: E402
from endive_node.platform import HttpLog  # noqa: E402
from endive_node.refusals import RefusalLog  # noqa: E402
from endive_node.settings import ClaimsSection  # noqa: E402
from endive_node.telemetry import Metrics, MonotonicClock  # noqa: E402

NODES = 8
SECONDS = 6.0
SEED = 4
CASES = ((5, 200.0), (50, 200.0), (200, 200.0), (400, 200.0), (400, 100.0), (400, 50.0))
"""Pairs of claims per second and the append budget of all nodes per second."""

LINE = "{:>9} {:>9} {:>8} {:>8} {:>8} {:>8} {:>9} {:>7} {:>7}"


class FixedMembers:
    """A membership in which all nodes are always live."""

    def __init__(self):
        self.members = []

    def live(self):
        """Return every node."""
        return self.members


class CountingLog(HttpLog):
    """A log client that counts appends and records."""

    appends = records = 0

    def append(self, stream, records):
        """Append `records` and count them."""
        offset = super().append(stream, records)
        CountingLog.appends += 1
        CountingLog.records += len(records)
        return offset


@dataclass
class Result:
    """Measurements of one case.

    `waits` are the claims' latencies, seconds; `refused` counts the failed claims.
    """

    rate: float
    budget: float
    waits: list
    refused: int
    seconds: float
    cpu_s: float

    def line(self):
        """Return the case's row of the table."""
        waits = sorted(self.waits)
        return LINE.format(
            self.rate,
            self.budget,
            *(f"{1000 * quantile(waits, q):.1f}" for q in (0.5, 0.95, 0.99)),
            self.refused,
            f"{CountingLog.records / max(1, CountingLog.appends):.2f}",
            f"{CountingLog.appends / self.seconds:.0f}",
            f"{1000 * self.cpu_s / max(1, len(waits)):.2f}",
        )


def quantile(ordered, q):
    """Return the `q` quantile of `ordered`, or 0 if it is empty."""
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))] if ordered else 0.0


def make_nodes(url, budget):
    """Return each node's claim component, and their listeners."""
    members, clock = FixedMembers(), MonotonicClock()
    settings = ClaimsSection(appends_per_s=budget)
    nodes, listeners = [], []
    for number in range(NODES):
        name = f"node-{number}"
        claims = LogClaims(
            name, CountingLog(url, 2.0), members, clock, settings, Metrics()
        )
        handler = PeerHandler(name, None, None, claims=claims)
        listener = PeerListener(
            handler,
            "127.0.0.1",
            0,
            ConnectionLimit(0.5, "peers", RefusalLog(Counter())),
        )
        listener.start()
        members.members.append(Member(name, "zone", f"127.0.0.1:{listener.port}"))
        nodes.append(claims)
        listeners.append(listener)
    return nodes, listeners


def run_case(url, rate, budget, prefix):
    """Claim at `rate` for `SECONDS`; return the measurements."""
    nodes, listeners = make_nodes(url, budget)
    rng = random.Random(SEED)
    waits, refused, jobs = [], [], []
    CountingLog.appends = CountingLog.records = 0

    def claim(number):
        request = Request(
            request_id=f"{prefix}-{number}",
            organisation="yunhai",
            priority="default",
            model="quotes",
            endpoint=Endpoint.SERVICE,
            body={},
            prompt="",
            max_tokens=1,
            key=f"{prefix}-{number}",
            non_idempotent=True,
        )
        started = time.monotonic()
        try:
            nodes[number % NODES].acquire(request).use()
            waits.append(time.monotonic() - started)
        except EndiveError:
            refused.append(number)

    cpu = resource.getrusage(resource.RUSAGE_SELF)
    started = time.monotonic()
    number = 0
    due = started
    while time.monotonic() < started + SECONDS:
        due += rng.expovariate(rate)
        gevent.sleep(max(0.0, due - time.monotonic()))
        jobs.append(gevent.spawn(claim, number))
        number += 1
    gevent.joinall(jobs)
    seconds = time.monotonic() - started
    after = resource.getrusage(resource.RUSAGE_SELF)
    cpu_s = after.ru_utime + after.ru_stime - cpu.ru_utime - cpu.ru_stime
    for listener in listeners:
        listener.stop()
    return Result(rate, budget, waits, len(refused), seconds, cpu_s)


def main():
    """Print one row for each case."""
    cluster = builders.Cluster(Path(tempfile.mkdtemp()))
    log = cluster.with_log(appends_per_s=1000)
    builders.wait_until(log.is_ready, "log")
    try:
        print(f"{NODES} nodes, {SECONDS:.0f} s a case, seed {SEED}")
        names = "claims/s budget/s p50_ms p95_ms p99_ms refused per_append app/s cpu_ms"
        print(LINE.format(*names.split()))
        for number, (rate, budget) in enumerate(CASES):
            print(run_case(log.url, rate, budget, f"case-{number}").line(), flush=True)
    finally:
        cluster.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
