"""Closed-loop load generator: each client has one call in flight."""

from gevent import monkey

monkey.patch_all()

import time  # noqa: E402
from dataclasses import dataclass, field  # noqa: E402

import fire  # noqa: E402
import gevent  # noqa: E402
import msgspec  # noqa: E402
import urllib3  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402

LOWEST_US, HIGHEST_US, DIGITS = 1, 60_000_000, 3


@dataclass
class Load:
    """One run of the load generator.

    Attributes
    ----------
    latency : HdrHistogram
        Microseconds from sending a call to the last byte of its response.
    """

    url: str
    body: bytes
    key: str
    clients: int
    seconds: float
    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    )
    failed: int = 0

    def run(self) -> None:
        """Run all clients until the time is over."""
        pool = urllib3.PoolManager(maxsize=self.clients, retries=False)
        deadline = time.monotonic() + self.seconds
        clients = [
            gevent.spawn(self.client, pool, deadline) for _ in range(self.clients)
        ]
        gevent.joinall(clients)

    def client(self, pool: urllib3.PoolManager, deadline: float) -> None:
        """Send one call after the other."""
        headers = {
            "Authorization": f"Bearer {self.key}",
            "Content-Type": "application/json",
        }
        while (started := time.monotonic()) < deadline:
            answer = pool.request("POST", self.url, body=self.body, headers=headers)
            if answer.status == 200:
                elapsed = time.monotonic() - started
                self.latency.record_value(max(1, int(elapsed * 1e6)))
            else:
                self.failed += 1

    def report(self) -> dict:
        """Return calls a second and latency in milliseconds."""
        return {
            "calls_per_s": round(self.latency.get_total_count() / self.seconds, 1),
            "p50_ms": self.latency.get_value_at_percentile(50) / 1000,
            "p95_ms": self.latency.get_value_at_percentile(95) / 1000,
            "p99_ms": self.latency.get_value_at_percentile(99) / 1000,
            "failed": self.failed,
        }


def main(
    url: str,
    key: str = "demo",
    clients: int = 1,
    seconds: float = 3.0,
    max_tokens: int = 1,
    prompt: str = "ping",
) -> None:
    """Run the load generator and print its report as one line of JSON."""
    body = {"model": "chat", "prompt": prompt, "max_tokens": max_tokens}
    load = Load(url, msgspec.json.encode(body), key, clients, seconds)
    load.run()
    print(msgspec.json.encode(load.report()).decode())


if __name__ == "__main__":
    fire.Fire(main)
