"""Declared quotas of organisations: tokens per second and requests in flight.

Fair queueing protects other organisations from a client that sends without end; the
quota also bounds what that organisation is billed for and the capacity it may hold.
Each node enforces its equal part of the quota, because nodes decide without
communicating.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from endive_core.resources import Organisation

BURST_S = 2.0
"""Size of the token bucket, in seconds of the declared rate."""


@dataclass(slots=True)
class Quota:
    """Token bucket and in-flight count of one organisation at this node."""

    spec: "Organisation"
    tokens: float = 0.0
    updated_at: float = float("-inf")
    in_flight: int = 0

    def wait_s(self, cost: float, now: float, nodes: int) -> float:
        """Return 0 if a call of `cost` tokens may be admitted, else seconds to wait."""
        if self.in_flight >= max(1, self.spec.max_in_flight // nodes):
            return 1.0
        rate = self.spec.tokens_per_s / nodes
        burst = max(rate * BURST_S, cost)
        self.tokens = min(burst, self.tokens + rate * min(1e6, now - self.updated_at))
        self.updated_at = now
        return 0.0 if self.tokens >= cost else (cost - self.tokens) / rate

    def spend(self, cost: float) -> None:
        """Charge an admitted call."""
        self.tokens -= cost
        self.in_flight += 1
