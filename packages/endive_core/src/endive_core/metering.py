"""Usage metering: requests begun by each organisation, by time window.

Every node counts the requests it saw begin and broadcasts its counts of the last
windows. The node that reports a window then has all nodes' counts, including those of a
node that was killed after its last broadcast.
"""

from collections import Counter, defaultdict

WINDOWS_KEPT = 6
"""Windows kept. A window's report is due two windows after its end, and a reporting
node that takes over late still has to report some older ones."""


class UsageMeter:
    """Request counts of this node, and of the others as received.

    Parameters
    ----------
    window_s : float
        Length of a window, seconds.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.own_counts: dict[int, Counter[str]] = defaultdict(Counter)
        self.peer_counts: dict[tuple[str, int], dict[int, dict[str, int]]] = {}

    def window_of(self, cluster_time: float) -> int:
        """Return the number of the window that contains `cluster_time`."""
        return int(cluster_time // self.window_s)

    def begin(self, organisation: str, cluster_time: float) -> None:
        """Count a request that a server began at `cluster_time`, seconds since 1970."""
        window = self.window_of(cluster_time)
        self.own_counts[window][organisation] += 1
        for old in sorted(self.own_counts)[:-WINDOWS_KEPT]:
            del self.own_counts[old]

    def own_totals(self) -> dict[int, dict[str, int]]:
        """Return this node's counts of its last two windows, for the broadcast."""
        return {
            window: dict(self.own_counts[window])
            for window in sorted(self.own_counts)[-2:]
        }

    def receive(
        self, node: str, incarnation: int, counts: dict[int, dict[str, int]]
    ) -> None:
        """Apply another node's counts, which only grow within one incarnation."""
        known = self.peer_counts.setdefault((node, incarnation), {})
        known.update(counts)
        for old in sorted(known)[:-WINDOWS_KEPT]:
            del known[old]

    def total(self, window: int) -> dict[str, int]:
        """Return all nodes' counts of `window` by organisation."""
        total = Counter(self.own_counts.get(window, {}))
        for counts in self.peer_counts.values():
            total.update(counts.get(window, {}))
        return dict(total)
