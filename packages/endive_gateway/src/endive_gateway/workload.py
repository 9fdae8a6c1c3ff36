"""How much work this node brings to each service's servers."""

import math
import time

WORK_MEMORY_S = 1.5
"""Time constant of the work told to others, seconds: a burst must show within two
tellings, and single requests must not."""


class WorkloadMeter:
    """The work by service, in servers that this node keeps busy.

    A prompt to compute takes a server's whole time for a while; a running request takes
    one slot of it.
    """

    def __init__(self) -> None:
        self.prompts_s: dict[str, float] = {}
        self.rates: dict[str, float] = {}
        self.running: dict[str, float] = {}
        self.smoothed: dict[str, float] = {}
        self.told_at = time.monotonic()

    def sent(self, service: str, server_s: float) -> None:
        """Count a server's time for the prompt of a request sent to it, seconds."""
        self.prompts_s[service] = self.prompts_s.get(service, 0.0) + server_s

    def set_running(self, service: str, slots: float) -> None:
        """Take over the part of a server's slots that this node's requests hold."""
        self.running[service] = slots

    def update(self, now: float) -> dict[str, float]:
        """Return the smoothed work by service."""
        passed = max(1e-3, now - self.told_at)
        weight = 1 - math.exp(-passed / WORK_MEMORY_S)
        for service in self.prompts_s.keys() | self.running.keys():
            prompts = self.prompts_s.pop(service, 0.0) / passed
            work = prompts + self.running.get(service, 0.0)
            before = self.rates.get(service, 0.0)
            self.rates[service] = before + weight * (work - before)
        self.told_at = now
        self.smoothed = dict(self.rates)
        return self.smoothed
