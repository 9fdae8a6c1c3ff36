"""Time-out of calls to a service, which follows how long the service takes to respond.

A fixed time-out turns a slow service into an unavailable one. Each call that is given
up and sent again adds to the service's queue, in which the calls given up still are.
Once the queue is longer than the time-out, no call gets a response in time any more,
even when the load that filled the queue has ended.
"""

from dataclasses import dataclass

TIMEOUT_FACTOR = 2.0
"""Time-out as a multiple of the slowest recent response."""

MAX_TIMEOUT_S = 8.0
"""Longest time-out, seconds. A service may also fall silent, and a call sent before it
recovers never gets a response."""

DECAY_PER_RESPONSE = 0.3
"""Factor by which the influence of a slow response decreases with each later one. Time
alone proves nothing: where calls are rare, the next one finds the same queue. One quick
response shows that the queue is gone."""


@dataclass
class ResponseTimes:
    """How long recent responses of one service took.

    Attributes
    ----------
    slowest_s : float
        Time of the slowest recent response, seconds.
    """

    slowest_s: float = 0.0

    def record(self, taken_s: float) -> None:
        """Record a response, also one that arrived after its call was given up."""
        self.slowest_s = max(taken_s, DECAY_PER_RESPONSE * self.slowest_s)

    def timeout_s(self, least_s: float) -> float:
        """Return how long to wait for a response, at least `least_s`, seconds."""
        return min(MAX_TIMEOUT_S, max(least_s, TIMEOUT_FACTOR * self.slowest_s))
