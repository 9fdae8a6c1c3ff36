"""Retries: a budget for each deployment, and delays with full jitter.

The load this is for: an outage of some servers. If every failed call were sent again
up to four times, the servers left would get four times the load and fail as well. The
budget lets retries be only a share of the successes.
"""

from collections import deque
from dataclasses import dataclass

from endive_core.policy import Policy
from endive_core.servers import Random

IN_FLIGHT_RETRY_SHARE = 0.5
"""Part of the calls in flight that may be sent again at once: a zone's worth and more
may break together, each stream once. Beyond it only successes earn retries."""


DEFAULT_RETRY_RATIO = 0.1
"""Retries earned by each success where a deployment declares nothing else."""

FLEET_BUDGET_SHARE = 0.8
"""Part of the fleet's repeats that is used: requests and repeats arrive at a server
some milliseconds after they are counted, and a node that restarts forgets its own."""


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
        if self.spent + 1 > self.burst + IN_FLIGHT_RETRY_SHARE * in_flight:
            return False
        self.spent += 1
        return True


class FleetRetryBudget:
    """A node's part of the repeats that all nodes may make together.

    The load this is for: an outage of some servers. Each node may repeat a share of
    its own recent requests and an even part of a fixed slack, so that all nodes
    together stay within the limit without asking each other.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request.
    slack : float
        Repeats allowed besides, over all nodes.
    window_s : float
        Span in which both are counted, seconds.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def request(self, now: float) -> None:
        """Count a caller's request."""
        self.requests.append(now)
        self._forget(self.requests, now)

    def spend(self, now: float, *, nodes: int) -> bool:
        """Take one repeat; return whether there was one."""
        self._forget(self.requests, now)
        self._forget(self.retries, now)
        allowed = self.ratio * len(self.requests) + self.slack / max(1, nodes)
        if len(self.retries) + 1 > FLEET_BUDGET_SHARE * allowed:
            return False
        self.retries.append(now)
        return True

    def _forget(self, times: deque[float], now: float) -> None:
        while times and times[0] <= now - self.window_s:
            times.popleft()


def retry_delay_s(attempt: int, policy: Policy, random: Random) -> float:
    """Return the delay before the retry that follows `attempt`, in seconds.

    Full jitter (0 up to the doubling bound) spreads the calls that one server's
    failure ended together, so that they don't arrive together elsewhere.
    """
    bound = min(policy.retry_max_s, 2 * policy.retry_base_s * 2 ** (attempt - 1))
    return random.random() * bound
