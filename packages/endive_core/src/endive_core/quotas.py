"""Declared limits of organisations: tokens a second and requests in flight.

The load this is for: a caller's bug that sends without end. Fair queueing protects
other organisations' waits; the quota also bounds what one organisation is billed for
and what it may hold. Each node enforces its part, since nodes decide without talking.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from endive_core.resources import Organisation

BURST_S = 2.0
"""Seconds of the declared rate that may come at once."""


@dataclass(slots=True)
class Quota:
    """What one organisation may still spend at this node."""

    spec: "Organisation"
    tokens: float = 0.0
    updated_at: float = float("-inf")
    in_flight: int = 0

    def wait_s(self, cost: float, now: float, nodes: int) -> float:
        """Return 0 if a call of `cost` tokens may come now, else seconds until then."""
        if self.in_flight >= max(1, self.spec.max_in_flight // nodes):
            return 1.0
        rate = self.spec.tokens_per_s / nodes
        burst = max(rate * BURST_S, cost)
        self.tokens = min(burst, self.tokens + rate * min(1e6, now - self.updated_at))
        self.updated_at = now
        return 0.0 if self.tokens >= cost else (cost - self.tokens) / rate

    def spend(self, cost: float) -> None:
        """Count an admitted call."""
        self.tokens -= cost
        self.in_flight += 1
