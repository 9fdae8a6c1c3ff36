"""The workload that this node places on each service."""

import math
import time
from collections import Counter

SMOOTHING_S = 1.5
"""Time constant of the smoothed workload, seconds: a burst must show within two
broadcasts of the state message, and single requests must not."""


class WorkloadMeter:
    """Meters the workload by service, as a number of servers kept busy.

    A prompt occupies a whole server for its prefill time; a running request occupies
    one slot.

    Attributes
    ----------
    prompts_s : dict
        By service, the prefill time of the prompts since the last update, seconds.
    running : dict
        By service, the number of servers whose slots this node's requests fill.
    sent, rates : dict
        By service, the requests sent since the last update, and the moving average of
        the requests a second.
    averages : dict
        By service, the moving average of the workload.
    smoothed : dict
        The averages as of the last update, as sent to the other nodes.
    updated_at : float
        Time of the last update, seconds on the monotonic clock.
    """

    def __init__(self) -> None:
        self.prompts_s: dict[str, float] = {}
        self.averages: dict[str, float] = {}
        self.running: dict[str, float] = {}
        self.sent: Counter[str] = Counter()
        self.rates: dict[str, float] = {}
        self.smoothed: dict[str, float] = {}
        self.updated_at = time.monotonic()

    def add_prompt(self, service: str, prefill_s: float) -> None:
        """Add a request sent to a server, and its prompt's prefill time, seconds."""
        self.sent[service] += 1
        self.prompts_s[service] = self.prompts_s.get(service, 0.0) + prefill_s

    def set_running(self, service: str, servers: float) -> None:
        """Set the number of servers whose slots this node's requests fill."""
        self.running[service] = servers

    def update(self, now: float) -> dict[str, float]:
        """Update and return the smoothed workload by service."""
        passed = max(1e-3, now - self.updated_at)
        weight = 1 - math.exp(-passed / SMOOTHING_S)
        for service in self.prompts_s.keys() | self.running.keys():
            prompts = self.prompts_s.pop(service, 0.0) / passed
            work = prompts + self.running.get(service, 0.0)
            before = self.averages.get(service, 0.0)
            self.averages[service] = before + weight * (work - before)
            rate, rate_before = (
                self.sent[service] / passed,
                self.rates.get(service, 0.0),
            )
            self.rates[service] = rate_before + weight * (rate - rate_before)
        self.sent.clear()
        self.updated_at = now
        self.smoothed = dict(self.averages)
        return self.smoothed

    def request_s(self, service: str) -> float:
        """Return how long one request keeps a server busy, seconds; 0 if unknown."""
        rate = self.rates.get(service, 0.0)
        return self.averages.get(service, 0.0) / rate if rate > 0 else 0.0
