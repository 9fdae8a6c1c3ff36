"""Measure time and memory of one decision by servers and queued requests."""

import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from statistics import median

from endive_core.calls import Call
from endive_core.hashing import rendezvous_choice
from endive_core.messages import ServerView
from endive_core.policy import Policy
from endive_core.resources import Organisation
from endive_core.scheduler import Scheduler

SERVER_COUNTS = (8, 100, 1000, 2600)
QUEUE_LENGTHS = (10, 1000, 10_000, 100_000)
ROUNDS = 400
MAX_TRACED_QUEUE = 10_000
"""Longest queue whose memory is measured: tracing 100,000 calls takes a minute."""

BLOCKS = 100
"""Leading blocks of the measured prompts, 1,600 tokens."""


@dataclass(frozen=True)
class Cost:
    """Median times in microseconds, and the memory of the queue in kilobytes."""

    servers: int
    queued: int
    offer_us: float
    dispatch_us: float
    finish_us: float
    report_us: float
    kilobytes: float


def make_scheduler(servers: int, *, nodes: int) -> Scheduler:
    """Return a scheduler with `servers` engines."""
    scheduler = Scheduler.from_policy(Policy(max_bulk_wait_s=1e9), Random(1))
    scheduler.set_nodes(nodes)
    unlimited = Organisation(tokens_per_s=1e15, max_in_flight=10**12)
    scheduler.set_organisations({f"o{number}": unlimited for number in range(20)})
    scheduler.set_servers(
        ServerView(f"s{n}", "", f"z{n % 10}", "engines", 64, 20_000.0, 50.0)
        for n in range(servers)
    )
    return scheduler


def make_call(number: int) -> Call:
    """Return a bulk call, which is admitted at any queue length."""
    blocks = tuple(hash((number % 50, block)) & (2**63 - 1) for block in range(BLOCKS))
    return Call(
        f"r{number}",
        f"o{number % 20}",
        bulk=True,
        prompt_tokens=1700,
        max_tokens=200,
        blocks=blocks,
        fingerprint=f"f{number}",
    )


def cost(servers: int, queued: int) -> Cost:
    """Measure the decisions of one request with `queued` requests ahead of it."""
    traced = queued <= MAX_TRACED_QUEUE
    if traced:
        tracemalloc.start()
    scheduler = make_scheduler(servers, nodes=max(1, servers // 7))
    for number in range(queued):
        scheduler.offer(make_call(number), 0.0)
    held = tracemalloc.get_traced_memory()[0]
    if traced:
        tracemalloc.stop()
    assert len(scheduler.queue) == queued, "calls were refused, so nothing was measured"
    offers, dispatches, finishes, reports = [], [], [], []
    now = 1.0
    for number in range(ROUNDS):
        call = make_call(queued + number)
        now += 0.001
        offers.append(_timed(lambda call=call, now=now: scheduler.offer(call, now))[0])
        elapsed_us, dispatch = _timed(lambda now=now: scheduler.next_dispatch(now))
        if dispatch is not None:
            dispatches.append(elapsed_us)
            ticket = dispatch.ticket
            scheduler.started(ticket, now)
            finishes.append(
                _timed(
                    lambda t=ticket, now=now: scheduler.finished(t, now, tokens=200)
                )[0]
            )
        name = f"s{number % servers}"
        reports.append(
            _timed(lambda n=name, now=now: scheduler.report(n, 40, 0, as_of=now))[0]
        )
    return Cost(
        servers,
        queued,
        median(offers),
        median(dispatches),
        median(finishes),
        median(reports),
        held / 1024,
    )


def _timed(action: Callable):
    started = time.perf_counter()
    result = action()
    return (time.perf_counter() - started) * 1e6, result


def affinity_costs(servers: int) -> tuple[float, float]:
    """Return the microseconds of a look-up by rendezvous hashing and by hash ring."""
    scheduler = make_scheduler(servers, nodes=1)
    names = list(scheduler.servers.servers)
    ring = scheduler.placement.ring
    rendezvous = [
        _timed(lambda n=n: rendezvous_choice(str(n), names))[0] for n in range(50)
    ]
    ring_lookups = [
        _timed(lambda n=n: ring.candidates(str(n), 1))[0] for n in range(50)
    ]
    return median(rendezvous), median(ring_lookups)


def comparison_ms(servers: int) -> float:
    """Return the milliseconds of one outlier detection over all servers.

    It runs every half second.
    """
    scheduler = make_scheduler(servers, nodes=1)
    for server in scheduler.servers.servers.values():
        server.samples = 10
    return _timed(lambda: scheduler.outliers.update_outliers(10.0))[0] / 1000


def ring_ms(servers: int) -> float:
    """Return the milliseconds of rebuilding the hash ring when the servers change."""
    scheduler = make_scheduler(servers, nodes=1)
    names = list(scheduler.servers.servers)
    return _timed(lambda: scheduler.placement.set_members(names))[0] / 1000
