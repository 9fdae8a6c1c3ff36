"""The slopes that docs/CAPACITY.md is worked out from, each over three sizes.

Streams go through one real node process between a source and a sink; the rest runs
the node's own objects in this process.
"""

import gc
import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

HERE = Path(__file__).parent
sys.path.insert(0, str(HERE.parent / "tests"))

import builders  # noqa: E402
from bench_membership import measure_alone  # noqa: E402
from endive_core.catalogue import Catalogue  # noqa: E402
from endive_core.facts import FactTable  # noqa: E402
from endive_core.fold import MAX_OUTCOMES, ConfigurationFold  # noqa: E402
from endive_core.records import Change, encode  # noqa: E402

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
STREAM_COUNTS = (50, 100, 200)
TOKENS_PER_S = 50.0
STREAM_S = 6.0
MEMBER_COUNTS = (90, 180, 370)
SERVER_COUNTS = (260, 1300, 2600)
SERVERS_IN_SERVICE = 100
CHANGES = 50
LOAD_CLIENTS = (1, 8, 32)


def cpu_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return a process's resident memory in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def run_json(script: str, *arguments: str) -> dict:
    """Run a tool of this folder; return the JSON line that it prints."""
    done = subprocess.run(
        [sys.executable, str(HERE / script), *arguments],
        capture_output=True,
        text=True,
        check=True,
    )
    return json.loads(done.stdout.strip().splitlines()[-1])


def with_node(per_write: int, measure: Callable, **sections) -> None:
    """Start log, source and node, and let `measure` use the node."""
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
    """Print processor time a token at each number of streams."""
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
        # Streams run for two seconds more than the measured ones, at the same rate.
        each_us = used / (tokens * (STREAM_S + 2.0)) * 1e6
        print(
            f"{per_write:8}{streams:9}{tokens:11.0f}{share * 100:9.1f}{each_us:10.1f}"
            f"{1e6 / each_us:12.0f}{result['gap_p50_ms']:10.1f}"
            f"{result['gap_p95_ms']:10.1f}",
            flush=True,
        )


def measure_requests(node: builders.NodeProcess, _per_write: int) -> None:
    """Print processor time a whole request, and the node's memory."""
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


def service_body(first: int) -> dict:
    """Return a resource with a hundred servers."""
    servers = [
        {
            "id": f"engine-{number:04d}",
            "address": f"10.20.{number // 250}.{number % 250}:8000",
            "zone": "brest",
        }
        for number in range(first, first + SERVERS_IN_SERVICE)
    ]
    name = f"service-{first}"
    return builders.resource("backend-server-service", name, servers=servers)


def change(offset: int, body: dict) -> Change:
    """Return the change that puts `body` in force."""
    return Change(f"{offset:032x}", body["kind"], body["name"], "ann", body=body)


def measure_configuration() -> None:
    """Print what servers and changes cost in state, bytes and time."""
    for count in SERVER_COUNTS:
        gc.collect()
        memory = resident_mb(os.getpid())
        fold, catalogue = ConfigurationFold(), Catalogue()
        for first in range(0, count, SERVERS_IN_SERVICE):
            fold.apply(fold.offset + 1, change(fold.offset + 1, service_body(first)))
        catalogue.refresh(fold)
        memory = resident_mb(os.getpid()) - memory
        body = builders.resource("priority", "vip", level=1)
        each_us = timed_us(lambda b=body, f=fold, c=catalogue: put(f, c, b))
        service = service_body(0)
        wide_us = timed_us(lambda b=service, f=fold, c=catalogue: put(f, c, b))
        for _ in range(MAX_OUTCOMES):
            fold.apply(fold.offset + 1, change(fold.offset + 1, body))
        started = time.process_time()
        size = len(encode(fold.snapshot()))
        snapshot_ms = (time.process_time() - started) * 1e3
        print(
            f"{count:5} servers: {memory:.1f} MB; a change {each_us:.0f} us, of a "
            f"service with {SERVERS_IN_SERVICE} servers {wide_us:.0f} us; snapshot "
            f"{size} bytes, {snapshot_ms:.0f} ms",
            flush=True,
        )


def put(fold: ConfigurationFold, catalogue: Catalogue, body: dict) -> None:
    """Fold one change and take it over."""
    fold.apply(fold.offset + 1, change(fold.offset + 1, body))
    catalogue.refresh(fold)


def timed_us(call: Callable[[], None]) -> float:
    """Return the mean processor time of `call` in microseconds."""
    started = time.process_time()
    for _ in range(CHANGES):
        call()
    return (time.process_time() - started) / CHANGES * 1e6


def measure_facts() -> None:
    """Print what a fact costs."""
    for count in (100, 1000, 4000):
        table = FactTable(lambda: 0.0)
        started = time.process_time()
        for number in range(count):
            table.crash(f"{number:032x}", "engine-1@1", 1)
        used = time.process_time() - started
        print(f"{count:5} facts: {used / count * 1e6:.1f} us each")


def main() -> None:
    """Print all slopes."""
    print("Streaming (source and sink in processes of their own)")
    print("a write  streams   tokens/s  core %   us/token  tokens/core   gap p50  p95")
    for per_write in (1, 4):
        with_node(per_write, measure_streams)
    print("\nWhole requests of one token")
    with_node(1, measure_requests)
    print("\nMembers (a node alone with made-up members, 3 datagrams/s each way)")
    for count in MEMBER_COUNTS:
        bytes_per_s, share = measure_alone(count)
        print(f"{count:5} members: {bytes_per_s:.0f} bytes/s, {share * 100:.2f} %")
    print("\nConfiguration")
    measure_configuration()
    print("\nFacts")
    measure_facts()


if __name__ == "__main__":
    main()
