"""Measures the load from which the number of servers is derived."""

from collections import deque

TARGET_UTILISATION = 0.85
"""Part of a server's time that the recent peak load may use. Above it, prompts queue at
the servers and first tokens are late."""

PEAK_WINDOW_S = 20.0
"""Time window of the peak load, seconds: half a period of a periodic load, so that
servers are not released in a trough that is shorter than their start-up time."""


class LoadMeter:
    """Recent peak of the work that arrives per second.

    Work is measured in seconds of one server's time; the caller adds the sum over all
    nodes.

    Parameters
    ----------
    window_s : float
        Time for which a sample counts, seconds.
    """

    def __init__(self, window_s: float = PEAK_WINDOW_S) -> None:
        self.window_s = window_s
        self.samples: deque[tuple[float, float]] = deque()

    def add(self, work: float, now: float) -> None:
        """Record the work per second of all nodes at clock time `now`."""
        self.samples.append((now, work))
        while self.samples and self.samples[0][0] < now - self.window_s:
            self.samples.popleft()

    def peak(self) -> float:
        """Return the highest work per second within the window."""
        return max((work for _, work in self.samples), default=0.0)
