"""Retries: a budget for each deployment, and delays with full jitter.

The load this is for: an outage of some servers. If every failed call were sent again
up to four times, the servers left would get four times the load and fail as well. The
budget lets retries be only a share of the successes.
"""

from dataclasses import dataclass

from endive_core.policy import Policy
from endive_core.servers import Random

LOST_SHARE = 0.5
"""Part of the calls in flight that may be sent again at once: a zone's worth and more
may break together, each stream once. Beyond it only successes earn retries."""


@dataclass
class RetryBudget:
    """Retries that one deployment may still make.

    Attributes
    ----------
    ratio : float
        Retries earned by each success.
    burst : float
        Retries allowed without any success or call in flight.
    spent : float
        Retries made and not yet earned back.
    """

    ratio: float
    burst: float
    spent: float = 0.0

    def earn(self) -> None:
        """Count a success."""
        self.spent = max(0.0, self.spent - self.ratio)

    def spend(self, *, in_flight: int) -> bool:
        """Take one retry; return whether there was one."""
        if self.spent + 1 > self.burst + LOST_SHARE * in_flight:
            return False
        self.spent += 1
        return True


def retry_delay_s(attempt: int, policy: Policy, random: Random) -> float:
    """Return the delay before the retry that follows `attempt`, in seconds.

    Full jitter (0 up to the doubling bound) spreads the calls that one server's
    failure ended together, so that they don't arrive together elsewhere.
    """
    bound = min(policy.retry_max_s, 2 * policy.retry_base_s * 2 ** (attempt - 1))
    return random.random() * bound
