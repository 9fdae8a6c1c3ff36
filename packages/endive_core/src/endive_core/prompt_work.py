"""How the prefill work of one service divides into prompts of different lengths.

Each node counts the prompts that it sends, by their expected prefill time, and tells
the others the result in its state messages. A node that gets three requests a second
sees too few prompts to know the mix by itself within seconds; the sum of all nodes has
hundreds.
"""

import math
from bisect import bisect_left
from dataclasses import dataclass, field

WINDOW_S = 4.0
"""Time constant with which counted prompts decay, seconds. Heavy-tailed lengths need
some hundred prompts, and a mix that changes within seconds has to be followed."""

BINS = 24
BINS_PER_DOUBLING = 3
SHORTEST_PART = 1 / 64
"""Bins of prefill times, as a fraction of the service's shortest target: upper bound of
the first one, from which each next one is a third of a doubling longer. The last but
one ends at 2.5 targets; the last has all longer prompts."""

MISSED_REPORTS = 3
"""Intervals between reports after which a node's last one no longer counts."""

WorkReport = list[int]
"""Prefill work of the recent prompts by bin, milliseconds, up to the last that is not
empty."""


def bin_of(part: float) -> int:
    """Return the bin of a prefill time, given as a fraction of the shortest target."""
    if part <= SHORTEST_PART:
        return 0
    doublings = math.log2(part / SHORTEST_PART)
    return min(BINS - 1, math.ceil(doublings * BINS_PER_DOUBLING - 1e-9))


def bin_end(index: int) -> float:
    """Return the upper bound of a bin, as a fraction of the shortest target.

    Zero for an index below the first. The last bin has longer prompts, too.
    """
    return SHORTEST_PART * 2 ** (index / BINS_PER_DOUBLING) if index >= 0 else 0.0


@dataclass
class WorkMeter:
    """Prefill work that one node has sent recently, by length of the prompts.

    Attributes
    ----------
    seconds : list of float
        Decayed prefill time of the prompts in each bin.
    """

    seconds: list[float] = field(default_factory=lambda: [0.0] * BINS)
    updated_at: float = -math.inf

    def add(self, index: int, seconds: float, now: float) -> None:
        """Count a prompt with `seconds` of prefill in bin `index`."""
        self._decay(now)
        self.seconds[index] += seconds

    def _decay(self, now: float) -> None:
        factor = math.exp(min(0.0, (self.updated_at - now) / WINDOW_S))
        self.seconds = [value * factor for value in self.seconds]
        self.updated_at = max(now, self.updated_at)

    def report(self, now: float) -> WorkReport:
        """Return the recent work as it is sent to other nodes."""
        self._decay(now)
        report = [round(1000 * value) for value in self.seconds]
        while report and not report[-1]:
            report.pop()
        return report


class FleetWork:
    """The newest reports of the other nodes, and their sum.

    Attributes
    ----------
    interval_s : float
        Time between two reports of one node, seconds.
    others : list of int
        Sum of the reports by bin, milliseconds; kept up to date with each, so that its
        cost does not grow with the number of nodes.
    """

    def __init__(self) -> None:
        self.reports: dict[str, tuple[WorkReport, float]] = {}
        self.others = [0] * BINS
        self.interval_s = 0.2
        self.next_sweep_at = -math.inf

    def clear(self) -> None:
        """Forget all reports."""
        self.reports.clear()
        self.others = [0] * BINS

    def receive(self, node: str, report: WorkReport, now: float) -> None:
        """Replace a node's report; bins beyond the known ones are left out."""
        self.remove(node)
        kept = [max(0, value) for value in report[:BINS]]
        self.reports[node] = (kept, now)
        for index, value in enumerate(kept):
            self.others[index] += value

    def remove(self, node: str) -> None:
        """Remove what a node has reported."""
        report, _ = self.reports.pop(node, ((), 0.0))
        for index, value in enumerate(report):
            self.others[index] -= value

    def sweep(self, now: float) -> None:
        """Remove reports that no longer count, once per interval."""
        if now < self.next_sweep_at:
            return
        self.next_sweep_at = now + self.interval_s
        oldest = now - MISSED_REPORTS * self.interval_s
        for node in [n for n, (_, at) in self.reports.items() if at < oldest]:
            self.remove(node)


def class_limits(work: list[float], share: float, classes: int) -> list[int]:
    """Return, by class, the number of bins whose prompts are in it or a shorter class.

    The classes together have at most `share` of the work, the first ones of them
    proportionally less. A bin is in a class as a whole or not at all.

    Parameters
    ----------
    work : list of float
        Work by bin.
    """
    total = sum(work)
    if total <= 0:
        return [0] * classes
    sums, running = [], 0.0
    for value in work:
        running += value
        sums.append(running)
    bounds = [share * total * (number + 1) / classes for number in range(classes)]
    return [_bins_within(sums, bound) for bound in bounds]


def _bins_within(sums: list[float], bound: float) -> int:
    """Return how many of the first bins have no more than `bound` work together."""
    return bisect_left(sums, bound + 1e-9)
