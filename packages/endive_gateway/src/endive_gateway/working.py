"""How much work this node brings to each service's servers."""

import math
import time

SMOOTHING_S = 1.5
"""Time constant of the work told to others, seconds: a burst must show within two
tellings, and single requests must not."""


class WorkMeter:
    """The work by service, in servers that this node keeps busy.

    A prompt to compute takes a server's whole time for a while; a running request takes
    one slot of it.
    """

    def __init__(self) -> None:
        self.prompts_s: dict[str, float] = {}
        self.averages: dict[str, float] = {}
        self.running: dict[str, float] = {}
        self.told: dict[str, float] = {}
        self.updated_at = time.monotonic()

    def add_prompt(self, service: str, prefill_s: float) -> None:
        """Count a server's time for the prompt of a request sent to it, seconds."""
        self.prompts_s[service] = self.prompts_s.get(service, 0.0) + prefill_s

    def hold(self, service: str, slots: float) -> None:
        """Take over the part of a server's slots that this node's requests hold."""
        self.running[service] = slots

    def tell(self, now: float) -> dict[str, float]:
        """Return the smoothed work by service."""
        passed = max(1e-3, now - self.updated_at)
        weight = 1 - math.exp(-passed / SMOOTHING_S)
        for service in self.prompts_s.keys() | self.running.keys():
            prompts = self.prompts_s.pop(service, 0.0) / passed
            work = prompts + self.running.get(service, 0.0)
            before = self.averages.get(service, 0.0)
            self.averages[service] = before + weight * (work - before)
        self.updated_at = now
        self.told = dict(self.averages)
        return self.told
