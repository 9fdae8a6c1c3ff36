"""True time from many clocks, of which some may jump.

The load this is for: the time of day on some instances jumps by seconds or minutes and
back. Counts by window of the time of day would fall into windows that are reported
already, or that never come. The median of what all nodes say stays right while less
than half of them are wrong.
"""

from collections.abc import Callable
from dataclasses import dataclass
from statistics import median

MAX_READING_AGE_S = 3.0
"""Age up to which another node's clock counts, seconds; steady clocks drift by far
less in that time, and a node that is gone must not hold a vote."""


@dataclass(frozen=True, slots=True)
class ClockReading:
    """One node's time of day less this node's steady clock."""

    offset: float
    at: float


class TrueTime:
    """The time of day that most nodes agree on.

    Parameters
    ----------
    steady, wall : callable
        This node's steady clock and time of day, seconds.
    """

    def __init__(
        self, monotonic: Callable[[], float], wall_time: Callable[[], float]
    ) -> None:
        self.monotonic = monotonic
        self.wall_time = wall_time
        self.readings: dict[str, ClockReading] = {}

    def hear(self, node: str, wall_time: float) -> None:
        """Take over another node's time of day, a network delay old."""
        now = self.monotonic()
        self.readings[node] = ClockReading(wall_time - now, now)

    def now(self) -> float:
        """Return seconds since the start of 1970."""
        monotonic = self.monotonic()
        offsets = [self.wall_time() - monotonic]
        for node, reading in list(self.readings.items()):
            if monotonic - reading.at > MAX_READING_AGE_S:
                del self.readings[node]
            else:
                offsets.append(reading.offset)
        return monotonic + median(offsets)
