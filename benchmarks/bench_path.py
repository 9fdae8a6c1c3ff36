"""Measure the overhead of the request path: one node before a simulated engine.

The engine answers immediately. Prints calls a second and latency with and without the
node, in one run.
"""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).parent
sys.path.insert(0, str(HERE.parent / "tests"))

import builders  # noqa: E402

CLIENT_COUNTS = (1, 16, 64)
SECONDS = 4.0
INSTANT_TOKENS_PER_S = 1_000_000


def measure(url: str, clients: int) -> dict:
    """Run the load generator in its own process; return its report."""
    done = subprocess.run(
        [
            sys.executable,
            str(HERE / "load.py"),
            f"--url={url}/v1/completions",
            f"--clients={clients}",
            f"--seconds={SECONDS}",
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    return json.loads(done.stdout)


def main() -> None:
    """Measure with and without the node at each number of clients."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = builders.Cluster(Path(folder))
        try:
            compare(cluster)
        finally:
            cluster.stop()


def compare(cluster: builders.Cluster) -> None:
    """Start one engine and one node, and print the table."""
    cluster.with_log()
    engine = cluster.engine(
        "engine-1",
        decode_tokens_per_s=INSTANT_TOKENS_PER_S,
        prefill_tokens_per_s=INSTANT_TOKENS_PER_S,
        max_batch=1000,
        max_waiting=1000,
    )
    (node,) = cluster.add_nodes(1)
    cluster.apply(
        builders.organisation(),
        builders.service("engines", [engine], max_concurrent=1000),
        builders.deployment(),
    )
    cluster.wait_in_force(node)
    print(f"{'':8}{'clients':>8}{'calls/s':>10}{'p50 ms':>9}{'p95 ms':>9}{'p99 ms':>9}")
    for clients in CLIENT_COUNTS:
        direct = measure(engine.url, clients)
        through = measure(node.url, clients)
        for name, figures in (("direct", direct), ("node", through)):
            print(
                f"{name:8}{clients:8}{figures['calls_per_s']:10.0f}"
                f"{figures['p50_ms']:9.2f}{figures['p95_ms']:9.2f}"
                f"{figures['p99_ms']:9.2f}"
                + (f"  failed {figures['failed']}" if figures["failed"] else "")
            )
        added = [through[p] - direct[p] for p in ("p50_ms", "p95_ms", "p99_ms")]
        print(f"{'added':8}{clients:8}{'':10}" + "".join(f"{ms:9.2f}" for ms in added))


if __name__ == "__main__":
    main()
