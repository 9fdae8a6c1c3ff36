"""How many servers the load needs."""

from collections import deque

TARGET_UTILISATION = 0.85
"""Part of a server's time that the highest load of late may use. Above it prompts queue
behind one another and first tokens come late."""

PEAK_MEMORY_S = 20.0
"""Time for which the highest load counts, seconds: a wave's half period, so that
servers are not given back in a trough that lasts shorter than they take to start."""


class LoadMeter:
    """Work a second that came in, smoothed, and its peak of late.

    Work is seconds of one server's time. All nodes' work is summed by whoever decides.
    """

    def __init__(self, memory_s: float = PEAK_MEMORY_S) -> None:
        self.memory_s = memory_s
        self.samples: deque[tuple[float, float]] = deque()

    def add(self, work: float, now: float) -> None:
        """Take in the fleet's work a second at `now`."""
        self.samples.append((now, work))
        while self.samples and self.samples[0][0] < now - self.memory_s:
            self.samples.popleft()

    def peak(self) -> float:
        """Return the highest work a second of late."""
        return max((work for _, work in self.samples), default=0.0)
