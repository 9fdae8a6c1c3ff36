"""Retries: a retry budget for each deployment, and delays with full jitter.

During an outage of some servers, sending every failed call again up to four times would
put four times the load on the remaining servers, which would fail as well. The budget
limits retries to a share of the successes.
"""

from collections import deque
from dataclasses import dataclass

from endive_core.policy import Policy
from endive_core.servers import Random

IN_FLIGHT_RETRY_SHARE = 0.5
"""Share of the calls in flight that may be retried at once. All streams of a zone and
more may break together, each of them once. Beyond that only successes earn retries."""

DEFAULT_RETRY_RATIO = 0.1
"""Retries earned by each success, unless a deployment declares its own ratio."""

FLEET_BUDGET_SHARE = 0.8
"""Share of the fleet's retry budget that is used. Requests and retries arrive at a
server some milliseconds after they are counted, and a restarted node has lost its
counts."""


@dataclass
class RetryBudget:
    """Retry budget of one deployment.

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
        """Count a success, which earns back `ratio` retries."""
        self.spent = max(0.0, self.spent - self.ratio)

    def spend(self, *, in_flight: int) -> bool:
        """Take one retry; return whether there was one."""
        if self.spent + 1 > self.burst + IN_FLIGHT_RETRY_SHARE * in_flight:
            return False
        self.spent += 1
        return True


class FleetRetryBudget:
    """A node's part of the retry budget of all nodes together.

    Each node may retry a share of its own recent requests plus an even part of a fixed
    slack. During an outage all nodes together thus stay within the limit without
    communicating.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    slack : float
        Retries allowed in addition, over all nodes.
    window_s : float
        Length of the sliding window in which both are counted, seconds.
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

    def has_retry(self, now: float, *, nodes: int) -> bool:
        """Return whether there is a retry left."""
        self._forget(self.requests, now)
        self._forget(self.retries, now)
        allowed = self.ratio * len(self.requests) + self.slack / max(1, nodes)
        return len(self.retries) + 1 <= FLEET_BUDGET_SHARE * allowed

    def spend(self, now: float, *, nodes: int) -> bool:
        """Take one retry; return whether there was one."""
        if not self.has_retry(now, nodes=nodes):
            return False
        self.retries.append(now)
        return True

    def _forget(self, times: deque[float], now: float) -> None:
        while times and times[0] <= now - self.window_s:
            times.popleft()


def retry_delay_s(attempt: int, policy: Policy, random: Random) -> float:
    """Return the delay before the retry that follows `attempt`, in seconds.

    Full jitter (from 0 to the exponential bound) spreads the calls that one server's
    failure ended together, so that they don't arrive together elsewhere.
    """
    bound = min(policy.retry_max_s, 2 * policy.retry_base_s * 2 ** (attempt - 1))
    return random.random() * bound
