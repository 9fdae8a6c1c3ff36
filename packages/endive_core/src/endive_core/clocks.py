"""Time of day from the clocks of all nodes, some of which may jump.

The time of day on some instances jumps by seconds or minutes and back. Counts by time
window would then be added to windows that have already been reported, or that never
come. The median over all nodes is right as long as less than half of the clocks are
wrong.
"""

from collections.abc import Callable
from dataclasses import dataclass
from statistics import median

MAX_READING_AGE_S = 3.0
"""Age up to which the reading of another node's clock counts, seconds. Monotonic clocks
drift by far less in that time, and the reading of a node that is gone must expire."""


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A reading of another node's clock.

    Attributes
    ----------
    offset : float
        That node's time of day minus this node's monotonic clock, seconds.
    at : float
        This node's monotonic clock when the reading arrived, seconds.
    """

    offset: float
    at: float


class ClusterClock:
    """Time of day as the median of the clocks of all nodes.

    Parameters
    ----------
    monotonic, wall_time : callable
        Return this node's monotonic clock and time of day, seconds.
    """

    def __init__(
        self, monotonic: Callable[[], float], wall_time: Callable[[], float]
    ) -> None:
        self.monotonic = monotonic
        self.wall_time = wall_time
        self.readings: dict[str, ClockReading] = {}

    def receive(self, node: str, wall_time: float) -> None:
        """Record another node's time of day; it is late by the network delay."""
        now = self.monotonic()
        self.readings[node] = ClockReading(wall_time - now, now)

    def now(self) -> float:
        """Return the time of day as seconds since the Unix epoch."""
        monotonic = self.monotonic()
        offsets = [self.wall_time() - monotonic]
        for node, reading in list(self.readings.items()):
            if monotonic - reading.at > MAX_READING_AGE_S:
                del self.readings[node]
            else:
                offsets.append(reading.offset)
        return monotonic + median(offsets)
