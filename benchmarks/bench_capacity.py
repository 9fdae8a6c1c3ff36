"""Measurements of a node's cost by load, from which docs/CAPACITY.md extrapolates.

Most are taken at three sizes or more. Streams go through one node process between a
source and a sink process; unary requests, idle nodes and configuration changes use node
processes too. The rest runs the node's objects in this process.
"""

import json
import os
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

HERE = Path(__file__).parent
sys.path.insert(0, str(HERE.parent / "tests"))

import builders  # noqa: E402
import gevent  # noqa: E402
from bench_membership import measure_alone  # noqa: E402  (patches the standard library)
from capacity_state import (  # noqa: E402
    MEMBER_COUNTS,
    claim,
    claim_table,
    measure_configuration,
    measure_facts,
    measure_memory,
    retained_kb,
)
from endive_core.records import (  # noqa: E402
    CONFIGURATION_STREAM,
    encode,
)
from endive_node.claiming import ShardWriter  # noqa: E402
from endive_node.platform import HttpLog  # noqa: E402
from endive_node.settings import ClaimsSection  # noqa: E402
from endive_node.telemetry import Metrics, MonotonicClock  # noqa: E402

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
STREAM_COUNTS = (50, 100, 200)
TOKENS_PER_S = 50.0
STREAM_S = 6.0
LOAD_CLIENTS = (1, 8, 32)
NODE_COUNTS = (2, 4, 8)
FOLLOWER_COUNTS = (8, 64, 370)
IDLE_SERVER_COUNTS = (1, 10, 100, 500)
IDLE_S = 8.0
REPORTS_PER_S = 50.0
CLAIM_RATES = (25, 100, 400)
CLAIM_S = 3.0
CLAIM_COUNTS = (1000, 5000, 20_000)
CHANGES = 5


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return a process's resident memory in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def run_json(script: str, *arguments: str) -> dict:
    """Run a script of this folder; return the last line of its output as JSON."""
    done = subprocess.run(
        [sys.executable, str(HERE / script), *arguments],
        capture_output=True,
        text=True,
        check=True,
    )
    return json.loads(done.stdout.strip().splitlines()[-1])


def with_node(per_write: int, measure: Callable, **sections) -> None:
    """Start log, source and node, and call `measure` with the node."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = builders.Cluster(Path(folder))
        try:
            cluster.with_log()
            port = builders.free_port()
            command = [
                sys.executable,
                str(HERE / "streams.py"),
                "source",
                f"--port={port}",
                f"--per_write={per_write}",
                f"--tokens_per_s={TOKENS_PER_S}",
            ]
            engine = cluster.start("source", command, port)
            (node,) = cluster.add_nodes(1, **sections)
            builders.wait_until(engine.is_ready, "the source")
            cluster.apply(
                builders.organisation(),
                builders.service("engines", [engine], max_concurrent=1000),
                builders.deployment(),
            )
            cluster.wait_in_force(node)
            measure(node, per_write)
        finally:
            cluster.stop()


def measure_streams(node: builders.NodeProcess, per_write: int) -> None:
    """Print the processor time per token at each number of streams."""
    for streams in STREAM_COUNTS:
        started, before = time.monotonic(), cpu_s(node.process.pid)
        result = run_json(
            "streams.py",
            "sink",
            f"--url={node.url}/v1/completions",
            f"--streams={streams}",
            f"--seconds={STREAM_S}",
        )
        used = cpu_s(node.process.pid) - before
        share = used / (time.monotonic() - started)
        tokens = max(1.0, result["tokens_per_s"])
        # Streams also run at the same rate for two seconds before the measurement.
        us_per_token = used / (tokens * (STREAM_S + 2.0)) * 1e6
        print(
            f"{per_write:8}{streams:9}{tokens:11.0f}{share * 100:9.1f}"
            f"{us_per_token:10.1f}"
            f"{1e6 / us_per_token:12.0f}{result['gap_p50_ms']:10.1f}"
            f"{result['gap_p95_ms']:10.1f}",
            flush=True,
        )


def measure_requests(node: builders.NodeProcess, _per_write: int) -> None:
    """Print the processor time per unary request, and the node's memory."""
    print(f"resident before: {resident_mb(node.process.pid):.1f} MB")
    for clients in LOAD_CLIENTS:
        before = cpu_s(node.process.pid)
        result = run_json(
            "load.py",
            f"--url={node.url}/v1/completions",
            f"--clients={clients}",
            "--seconds=4",
        )
        used = cpu_s(node.process.pid) - before
        calls = result["calls_per_s"] * 4
        print(
            f"{clients:3} clients: {result['calls_per_s']:.0f} requests/s, "
            f"{used / max(1, calls) * 1e6:.0f} us of processor time each, "
            f"resident {resident_mb(node.process.pid):.1f} MB",
            flush=True,
        )


def measure_in_force() -> None:
    """Print how long a change takes to be in force on all node processes."""
    for count in NODE_COUNTS:
        with tempfile.TemporaryDirectory() as folder:
            cluster = builders.Cluster(Path(folder))
            try:
                cluster.with_log()
                nodes = cluster.add_nodes(count)
                times = [time_in_force(nodes, level) for level in range(CHANGES)]
                print(
                    f"{count:3} nodes: answered {max(t[0] for t in times):.3f} s, in "
                    f"force on all {max(t[1] for t in times):.3f} s after sending "
                    f"(slowest of {CHANGES})",
                    flush=True,
                )
            finally:
                cluster.stop()


def time_in_force(nodes: list, level: int) -> tuple[float, float]:
    """Return the seconds from sending a change to its response and to the last node."""
    path = "/v1/resources/priority/vip"
    body = builders.resource("priority", "vip", level=level)
    started = time.monotonic()
    assert nodes[0].operate("PUT", path, body).status == 200
    answered_s = time.monotonic() - started
    for node in nodes:
        while True:
            answer = node.operate("GET", path)
            if answer.status == 200 and answer.json()["spec"]["level"] == level:
                break
    return answered_s, time.monotonic() - started


def measure_idle() -> None:
    """Print an idle node's processor time and memory by its number of servers."""
    for count in IDLE_SERVER_COUNTS:
        with tempfile.TemporaryDirectory() as folder:
            cluster = builders.Cluster(Path(folder))
            try:
                cluster.with_log()
                engine = cluster.engine("engine-0")
                (node,) = cluster.add_nodes(1)
                builders.wait_until(engine.is_ready, "the engine")
                listed = [
                    {"id": f"engine-{n}", "address": engine.address, "zone": "brest"}
                    for n in range(count)
                ]
                cluster.apply(
                    builders.resource("backend-server-service", "e", servers=listed)
                )
                time.sleep(2.0)
                before, started = cpu_s(node.process.pid), time.monotonic()
                # At 50 reports a second, one round over 500 servers takes 10 s; measure
                # at least two rounds.
                time.sleep(max(IDLE_S, 2 * count / REPORTS_PER_S))
                used = cpu_s(node.process.pid) - before
                share = used / (time.monotonic() - started)
                print(
                    f"{count:5} servers: {share * 100:.1f} % of a core, "
                    f"resident {resident_mb(node.process.pid):.1f} MB",
                    flush=True,
                )
            finally:
                cluster.stop()


def measure_claims() -> None:
    """Print the cost of one claim shard's writer by claims a second."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = builders.Cluster(Path(folder))
        try:
            cluster.with_log()
            builders.wait_until(cluster.log.is_ready, "the log")
            for shard, rate in enumerate(CLAIM_RATES):
                print_claims(cluster.log.url, shard, rate)
        finally:
            cluster.stop()
    for count in CLAIM_COUNTS:
        print(
            f"{count:6} claims kept: "
            f"{retained_kb(lambda c=count: claim_table(c)):.0f} kB"
        )


def print_claims(url: str, shard: int, rate: int) -> None:
    """Send claims at `rate` to one writer, and print its cost and latency."""
    log = HttpLog(url, 5.0)
    writer = ShardWriter(shard, log, MonotonicClock(), ClaimsSection(), Metrics())
    latencies: list[float] = []

    def decide(number: int) -> None:
        started = time.monotonic()
        writer.decide(claim(number), 5.0)
        latencies.append(time.monotonic() - started)

    before, started = time.process_time(), time.monotonic()
    jobs = []
    for number in range(int(rate * CLAIM_S)):
        gevent.sleep(max(0.0, started + number / rate - time.monotonic()))
        jobs.append(gevent.spawn(decide, number))
    gevent.joinall(jobs)
    used = time.process_time() - before
    latencies.sort()
    streams = builders.call("GET", f"{url}/streams").json()["streams"]
    records = streams[writer.stream]["next"]
    print(
        f"{rate:4} claims/s: {used / len(jobs) * 1e6:.0f} us each, "
        f"{len(encode(claim(0)))} bytes a record, {records} records for {len(jobs)}, "
        f"decided after {latencies[len(latencies) // 2] * 1e3:.0f} ms in the median, "
        f"{latencies[int(len(latencies) * 0.95)] * 1e3:.0f} ms at 95 in 100",
        flush=True,
    )


def measure_followers() -> None:
    """Print how long the simulated log takes to deliver a record to many followers."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = builders.Cluster(Path(folder))
        try:
            cluster.with_log()
            builders.wait_until(cluster.log.is_ready, "the log")
            for count in FOLLOWER_COUNTS:
                seconds = max(time_followers(cluster.log.url, count) for _ in "12")
                print(f"{count:4} followers: the last has it after {seconds:.3f} s")
        finally:
            cluster.stop()


def time_followers(url: str, count: int) -> float:
    """Return the seconds from an append until `count` waiting readers received it."""
    log = HttpLog(url, 30.0)
    start = log.append(CONFIGURATION_STREAM, ["x"]) + 1
    readers = [
        threading.Thread(
            target=HttpLog(url, 30.0).read,
            args=(CONFIGURATION_STREAM, start),
            kwargs={"wait_s": 20.0},
        )
        for _ in range(count)
    ]
    for reader in readers:
        reader.start()
    time.sleep(2.0)
    started = time.monotonic()
    log.append(CONFIGURATION_STREAM, ["x"])
    for reader in readers:
        reader.join()
    return time.monotonic() - started


def main() -> None:
    """Run all measurements and print them."""
    print("Streaming (source and sink in processes of their own)")
    print("a write  streams   tokens/s  core %   us/token  tokens/core   gap p50  p95")
    for per_write in (1, 4):
        with_node(per_write, measure_streams)
    print("\nWhole requests of one token")
    with_node(1, measure_requests)
    print("\nMembers (one node with synthetic members, 3 datagrams/s each way)")
    for count in MEMBER_COUNTS:
        bytes_per_s, share = measure_alone(count)
        print(f"{count:5} members: {bytes_per_s:.0f} bytes/s, {share * 100:.2f} %")
    print("\nConfiguration")
    measure_configuration()
    print("\nFacts")
    measure_facts()
    print("\nMemory")
    measure_memory()
    print("\nClaims (one shard's writer in this process, simulated log)")
    measure_claims()
    print("\nA node without callers, by servers whose load it reads")
    measure_idle()
    print("\nA change in force (nodes in processes of their own)")
    measure_in_force()
    print("\nFollowers of the log (simulated log, readers in one process)")
    measure_followers()


if __name__ == "__main__":
    main()
