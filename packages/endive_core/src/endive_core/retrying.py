"""Retries: a budget for each deployment, and delays with full jitter.

The load this is for: an outage of some servers. If every failed call were sent again
up to four times, the servers left would get four times the load and fail as well. The
budget lets retries be only a share of the successes.
"""

from dataclasses import dataclass

from endive_core.policy import Policy
from endive_core.servers import Random


@dataclass
class RetryBudget:
    """Retries that one deployment may still make.

    Attributes
    ----------
    ratio : float
        Retries earned by each success.
    burst : float
        Most retries saved up: what a quiet deployment needs to get over the loss of
        one server, and what an outage multiplies at most.
    """

    ratio: float
    burst: float
    left: float = 0.0

    def __post_init__(self) -> None:
        self.left = self.burst

    def earn(self) -> None:
        """Count a success."""
        self.left = min(self.burst, self.left + self.ratio)

    def spend(self) -> bool:
        """Take one retry; return whether there was one."""
        if self.left < 1:
            return False
        self.left -= 1
        return True


def retry_delay_s(attempt: int, policy: Policy, random: Random) -> float:
    """Return the delay before the retry that follows `attempt`, in seconds.

    Full jitter (0 up to the doubling bound) spreads the calls that one server's
    failure ended together, so that they don't arrive together elsewhere.
    """
    bound = min(policy.retry_max_s, 2 * policy.retry_base_s * 2 ** (attempt - 1))
    return random.random() * bound
