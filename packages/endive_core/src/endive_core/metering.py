"""What each organisation began to use, by window of the time of day.

Every node counts what it saw begin and tells the others its counts of the last
windows, so that whoever reports a window has all nodes' counts, also those of a node
that has been killed since it last told.
"""

from collections import Counter, defaultdict

WINDOWS_KEPT = 6
"""Windows kept: a report is due two windows after its end, and a holder that comes
late makes up for some."""


class UsageMeter:
    """Counts of this node and, as told, of the others.

    Parameters
    ----------
    window_s : float
        Length of a window, seconds.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.own: dict[int, Counter[str]] = defaultdict(Counter)
        self.others: dict[tuple[str, int], dict[int, dict[str, int]]] = {}

    def window_of(self, true_time: float) -> int:
        """Return the number of the window that holds `true_time`."""
        return int(true_time // self.window_s)

    def begin(self, organisation: str, true_time: float) -> None:
        """Count a request that a server began at `true_time`."""
        window = self.window_of(true_time)
        self.own[window][organisation] += 1
        for old in sorted(self.own)[:-WINDOWS_KEPT]:
            del self.own[old]

    def own_totals(self) -> dict[int, dict[str, int]]:
        """Return this node's counts of the last two windows."""
        return {window: dict(self.own[window]) for window in sorted(self.own)[-2:]}

    def receive(
        self, node: str, incarnation: int, counts: dict[int, dict[str, int]]
    ) -> None:
        """Take over another node's counts; they only grow within one incarnation."""
        known = self.others.setdefault((node, incarnation), {})
        known.update(counts)
        for old in sorted(known)[:-WINDOWS_KEPT]:
            del known[old]

    def total(self, window: int) -> dict[str, int]:
        """Return all nodes' counts of `window` by organisation."""
        total = Counter(self.own.get(window, {}))
        for counts in self.others.values():
            total.update(counts.get(window, {}))
        return dict(total)
