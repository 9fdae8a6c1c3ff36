"""Compares ways to place requests at a plain service with few slots, simulated.

Prints a row of a table for each run. For example, the messages gateway's service with
86 nodes at 1.2 times its capacity, by pools and as without them:

    python benchmarks/bench_slot_pools.py --ways pools,views --loads 1.2
"""

import argparse
import logging
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from absl import logging as absl_logging

ROOT = Path(__file__).parent.parent
for package in ("endive_core", "endive_gateway"):
    sys.path.insert(0, str(ROOT / "packages" / package / "tests"))

from gateway_builders import SERVICE  # noqa: E402
from simulated_servers import (  # noqa: E402
    CATALOGUE,
    CATALOGUE_NODES,
    MESSAGES,
    MESSAGES_NODES,
    Workload,
)
from single_queue import SingleQueue  # noqa: E402
from slot_simulation import SlotFleet  # noqa: E402

WORKLOADS = {
    "messages": (replace(MESSAGES, one_way_s=0.0014), MESSAGES_NODES),
    "catalogue": (replace(CATALOGUE, one_way_s=0.0005), CATALOGUE_NODES),
    "earlier": (Workload(5), 195),
}
WAYS = ("views", "servers", "always", "pools", "queue")
"""By each node's view; with a coordinator for each server; with leases from a pool for
all requests; with them where they pay, as the product has it; a single queue."""

SAMPLE_S = 0.005
START_S = 4.0
BURST_S, BURST_EVERY_S = 1.0, 4.0


def choose_way(fleet, way):
    """Let the nodes of a fleet place requests in one of `WAYS`."""
    for node in fleet.nodes:
        pooling = node.context.slot_pooling
        if way in ("views", "servers"):
            pooling.is_enabled = lambda: False
        elif way == "always":
            pooling.speeds.add(SERVICE)
    if way == "servers":
        for server in fleet.servers.values():
            server.brittle = 1000.0


class Usage:
    """Samples how many slots are busy, and idle while requests wait anywhere."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.slots = self.busy = self.idle = 0
        self.sample()

    def sample(self):
        """Count the slots now, and again later."""
        fleet = self.fleet
        busy = sum(server.running for server in fleet.servers.values())
        slots = fleet.workload.servers * fleet.workload.slots
        self.slots += slots
        self.busy += busy
        self.idle += min(slots - busy, self.waiting())
        fleet.at(fleet.clock.now + SAMPLE_S, self.sample)

    def waiting(self):
        """Return how many requests wait, anywhere."""
        fleet = self.fleet
        waiting = sum(len(server.waiting) for server in fleet.servers.values())
        if isinstance(fleet, SingleQueue):
            return waiting + len(fleet.waiting)
        waiting += sum(len(pool.queue) for pool in fleet.pools())
        for node in fleet.nodes:
            placer, leasing = node.context.placer, node.context.slot_leasing
            waiting += sum(len(s.queue) for s in placer.schedulers.values())
            waiting += sum(len(s.queue) for s in leasing.coordinated.values())
        return waiting


def quantile(values, part):
    """Return a quantile of times in seconds, in milliseconds."""
    values = sorted(values)
    if not values:
        return float("nan")
    return values[min(len(values) - 1, int(part * len(values)))] * 1000


def run(options, way, load, seed):
    """Simulate one way at one load, and return the figures."""
    workload, nodes = WORKLOADS[options.workload]
    workload = replace(workload, organisations=16)
    if options.slow:
        workload = replace(workload, slow_share=0.15, states_speed=True)
    if way == "queue":
        fleet = SingleQueue(workload, seed)
    else:
        monkeypatch = pytest.MonkeyPatch()
        fleet = SlotFleet(monkeypatch, options.nodes or nodes, workload, seed)
        fleet.max_returns = options.returns
        choose_way(fleet, way)
    fleet.run(START_S, min(load, 0.8))
    since = fleet.clock.now
    collisions = -sum(server.collisions for server in fleet.servers.values())
    messages = -getattr(fleet, "slot_messages", 0)
    usage = Usage(fleet)
    if options.burst:
        for _ in range(round(options.seconds / BURST_EVERY_S)):
            fleet.run(BURST_EVERY_S - BURST_S, load)
            fleet.run(BURST_S, options.burst)
    else:
        fleet.run(options.seconds, load)
    until = fleet.clock.now
    collisions += sum(server.collisions for server in fleet.servers.values())
    messages += getattr(fleet, "slot_messages", 0)
    busy, idle = usage.busy / usage.slots, usage.idle / usage.slots
    fleet.run(1.0, min(load, 0.8))
    ends = [end for end in fleet.ends if since <= end[0] < until]
    took = [seconds for _, kind, seconds in ends if kind == "ok"]
    refused = [seconds for _, kind, seconds in ends if kind != "ok"]
    in_time = sum(seconds <= workload.target_s for seconds in took)
    total = max(1, len(ends))
    return (
        f"{len(ends):,}",
        f"{in_time / total:.4f}",
        f"{(len(took) - in_time) / total:.4f}",
        f"{len(refused) / total:.4f}",
        f"{quantile(refused, 0.95):.0f}",
        f"{1000 * sum(took) / max(1, len(took)):.1f}",
        f"{quantile(took, 0.5):.1f}",
        f"{quantile(took, 0.99):.0f}",
        f"{busy:.3f}",
        f"{idle:.4f}",
        f"{collisions / total:.4f}",
        f"{messages / total:.2f}",
    )


COLUMNS = (
    "workload", "nodes", "load", "way", "seed", "requests", "in time", "late",
    "refused", "refused after, 95 %, ms", "mean, ms", "median, ms", "99 %, ms", "busy",
    "idle beside waiting", "collisions", "messages a request",
)  # fmt: skip


def main():
    """Print a table of the figures of all runs that are asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workload", choices=WORKLOADS, default="messages")
    parser.add_argument("--nodes", type=int, help="default: the deployment's")
    parser.add_argument("--ways", default=",".join(WAYS))
    parser.add_argument("--loads", default="0.3,0.8,1.2,2.0")
    parser.add_argument("--burst", type=float, default=0.0, help="for 1 s in 4")
    parser.add_argument("--slow", action="store_true", help="with slow phases")
    parser.add_argument("--returns", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seeds", default="1")
    options = parser.parse_args()
    absl_logging.set_verbosity(absl_logging.ERROR)
    logging.disable(logging.CRITICAL)
    print("| " + " | ".join(COLUMNS) + " |")
    print("| " + " | ".join("---" for _ in COLUMNS) + " |", flush=True)
    for load in options.loads.split(","):
        for way in options.ways.split(","):
            for seed in options.seeds.split(","):
                nodes = options.nodes or WORKLOADS[options.workload][1]
                figures = run(options, way, float(load), int(seed))
                shown = f"{load} burst {options.burst}" if options.burst else load
                row = (options.workload, nodes, shown, way, seed, *figures)
                print("| " + " | ".join(str(cell) for cell in row) + " |", flush=True)


if __name__ == "__main__":
    main()
