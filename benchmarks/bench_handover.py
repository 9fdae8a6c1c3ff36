"""Measure the duration of a node's handover by the number of requests in flight.

There are three nodes in three zones, five engines, and all callers at the first node.
Durations run from the node's reading of the reclaim notice to its last acknowledged
record, and to the end of the handover.
"""

import os
import re
import resource
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))
os.environ.setdefault("ENDIVE_TEST_PORT_BASE", "21000")

import builders  # noqa: E402
import fire  # noqa: E402
import reclaims  # noqa: E402

COUNTS = (100, 1_000, 5_000)
PADDINGS = (0, 400)
"""Words added to each prompt: 0 and 1.6 kB."""

ENGINES = 5
ENGINE = {"decode_tokens_per_s": 2, "max_batch": 64, "max_waiting": 256}
MAX_TOKENS = 40
"""Tokens of each answer. An answer takes 20 s, so that none ends while other requests
are still being accepted. `ENGINES` is large enough that admission control does not
refuse the last of 5,000."""

ARRIVALS_PER_S = 300
WAIT_S = 110.0
LINE = re.compile(r"event=(handover_\w+) .*?seconds=(\S+)")
IN_FLIGHT = re.compile(r"event=handover_started in_flight=(\d+)")


def measure(count: int, padding: int) -> dict[str, float]:
    """Return the seconds by log event for one handover of `count` requests."""
    with (
        tempfile.TemporaryDirectory() as folder,
        reclaims.running_installation(
            Path(folder), engines=ENGINES, max_concurrent=64, **ENGINE
        ) as (cluster, _),
    ):
        first = cluster.nodes[0]
        fleet = reclaims.start_callers(
            cluster,
            count,
            MAX_TOKENS,
            padding=padding,
            only_first=True,
            per_s=ARRIVALS_PER_S,
        )
        try:
            reclaims.wait_accepted([first], count, timeout_s=WAIT_S)
            reclaims.reclaim(cluster, first.zone, seconds=20.0)
            return wait_for_lines(first)
        finally:
            fleet.kill()
            fleet.wait()


def wait_for_lines(node) -> dict[str, float]:
    """Return the seconds that the node logged for the handover's events."""
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline:
        found = dict(LINE.findall(node.output.read_text()))
        if "handover_finished" in found:
            in_flight = int(IN_FLIGHT.search(node.output.read_text())[1])
            seconds = {event: float(value) for event, value in found.items()}
            return seconds | {"in_flight": in_flight}
        time.sleep(0.1)
    raise TimeoutError("the handover did not finish")


def main(runs: int = 3, counts: tuple = COUNTS, paddings: tuple = PADDINGS) -> None:
    """Print one line for each prompt size, number of requests and run."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
    print(f"{builders.os.cpu_count()} cores, Python {sys.version.split()[0]}")
    for padding in paddings:
        for count in counts:
            for _ in range(runs):
                seconds = measure(count, padding)
                print(
                    f"sent={count} in_flight={seconds['in_flight']} "
                    f"prompt_words={padding + 2} "
                    f"records_s={seconds['handover_records_acknowledged']:.3f} "
                    f"all_s={seconds['handover_finished']:.3f}",
                    flush=True,
                )


if __name__ == "__main__":
    fire.Fire(main)
