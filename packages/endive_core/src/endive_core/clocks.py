"""True time from many clocks, of which some may jump.

The load this is for: the time of day on some instances jumps by seconds or minutes and
back. Counts by window of the time of day would fall into windows that are reported
already, or that never come. The median of what all nodes say stays right while less
than half of them are wrong.
"""

from collections.abc import Callable
from dataclasses import dataclass
from statistics import median

HEARD_S = 3.0
"""Age up to which another node's clock counts, seconds; steady clocks drift by far
less in that time, and a node that is gone must not hold a vote."""


@dataclass(frozen=True, slots=True)
class Reading:
    """One node's time of day less this node's steady clock."""

    offset: float
    at: float


class ClusterClock:
    """The time of day that most nodes agree on.

    Parameters
    ----------
    steady, wall : callable
        This node's steady clock and time of day, seconds.
    """

    def __init__(self, steady: Callable[[], float], wall: Callable[[], float]) -> None:
        self.steady = steady
        self.wall = wall
        self.readings: dict[str, Reading] = {}

    def receive(self, node: str, wall: float) -> None:
        """Take over another node's time of day, a network delay old."""
        now = self.steady()
        self.readings[node] = Reading(wall - now, now)

    def now(self) -> float:
        """Return seconds since the start of 1970."""
        steady = self.steady()
        offsets = [self.wall() - steady]
        for node, reading in list(self.readings.items()):
            if steady - reading.at > HEARD_S:
                del self.readings[node]
            else:
                offsets.append(reading.offset)
        return steady + median(offsets)
