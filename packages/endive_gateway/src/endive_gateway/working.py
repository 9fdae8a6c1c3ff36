"""How much work this node brings to each service's servers."""

import math
import time

WORK_MEMORY_S = 1.5
"""Time constant of the work told to others, seconds: a burst must show within two
tellings, and single requests must not."""


class WorkMeter:
    """The work by service, in servers that this node keeps busy.

    Prompt tokens to compute take a server's whole time; a running request takes one
    slot of it.
    """

    def __init__(self, prefill_tokens_per_s: float) -> None:
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.tokens: dict[str, float] = {}
        self.rates: dict[str, float] = {}
        self.running: dict[str, float] = {}
        self.told: dict[str, float] = {}
        self.told_at = time.monotonic()

    def sent(self, service: str, tokens: float) -> None:
        """Count the prompt tokens that a request sent to a server computes."""
        self.tokens[service] = self.tokens.get(service, 0.0) + tokens

    def hold(self, service: str, slots: float) -> None:
        """Take over the part of a server's slots that this node's requests hold."""
        self.running[service] = slots

    def tell(self, now: float) -> dict[str, float]:
        """Return the smoothed work by service."""
        passed = max(1e-3, now - self.told_at)
        weight = 1 - math.exp(-passed / WORK_MEMORY_S)
        for service in self.tokens.keys() | self.running.keys():
            prefill = self.tokens.pop(service, 0.0) / passed / self.prefill_tokens_per_s
            work = prefill + self.running.get(service, 0.0)
            before = self.rates.get(service, 0.0)
            self.rates[service] = before + weight * (work - before)
        self.told_at = now
        self.told = dict(self.rates)
        return self.told
