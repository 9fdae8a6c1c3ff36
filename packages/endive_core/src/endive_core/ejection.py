"""Failing servers, found by what all nodes see together.

The load this is for: a tenth of the servers answers each request with a failure, at
once, and so looks idle. One node of sixty sends each of 45 servers a request in three
seconds, and would need a quarter of a minute to tell it from chance; all together need
half a second. Callers would get a failure for one request in eight meanwhile.
"""

from collections import Counter, deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass

WINDOW_S = 2.0
"""Time for which a failure counts, seconds: two rounds of tellings among 87 nodes."""

LEAST_FAILURES = 6
LEAST_NODES = 2
"""Failures of one server within the window that prove something, and nodes that must
have seen some: one node alone may have a broken link to it."""

RATIO = 4.0
"""Failures, as a multiple of the other servers' mean, from which one is suspected.
Where all fail alike nothing is gained by avoiding some."""

MOST_SHARE = 0.25
"""Part of the servers that may be suspected: the rest must carry the load."""

LEAST_SERVERS = 3
"""Servers from which one may be suspected, though it is more than that part. A service
of three has callers get a failure for one request in four for as long as one of them
fails two in three: too few reach any one of a hundred nodes to be told by it alone.
With two, nothing says which is the odd one."""

HOLD_S = 3.0
MOST_HOLD_S = 12.0
"""How long a suspect gets no work the first time, and at most, seconds. It doubles for
one that fails again within as long after it was tried anew."""

MOST_TOLD = 10
"""Servers in one telling, those with most failures: some 200 bytes of a datagram."""


@dataclass
class Hold:
    """One server's time without work."""

    until: float
    length_s: float


class ClusterEjection:
    """Counts failures by server, here and at the other nodes."""

    def __init__(self) -> None:
        self.own: deque[tuple[float, str]] = deque()
        self.told: dict[str, tuple[float, Mapping[str, int]]] = {}
        self.holds: dict[str, Hold] = {}

    def failed(self, server: str, now: float) -> None:
        """Count a failure that this node met at `server`."""
        self.own.append((now, server))

    def own_counts(self, now: float) -> dict[str, int]:
        """Return this node's failures of late by server, for the other nodes."""
        while self.own and self.own[0][0] < now - WINDOW_S:
            self.own.popleft()
        counts = Counter(server for _, server in self.own)
        return dict(counts.most_common(MOST_TOLD))

    def receive(self, node: str, counts: Mapping[str, int], now: float) -> None:
        """Take over another node's failures of late."""
        if counts:
            self.told[node] = (now, counts)
        else:
            self.told.pop(node, None)

    def ejected(self, servers: Collection[str], now: float) -> set[str]:
        """Return those of `servers` that get no work for now."""
        totals, nodes = self._totals(servers, now)
        total = sum(totals.values())
        most = int(MOST_SHARE * len(servers))
        if len(servers) >= LEAST_SERVERS:
            most = max(1, most)
        for server, failures in totals.most_common(most):
            usual = (total - failures) / max(1, len(servers) - 1)
            enough = failures >= LEAST_FAILURES and nodes[server] >= LEAST_NODES
            if enough and failures >= RATIO * usual:
                self._hold(server, now)
        for server in [s for s, hold in self.holds.items() if _is_over(hold, now)]:
            del self.holds[server]
        return {s for s in servers if s in self.holds and now < self.holds[s].until}

    def _totals(
        self, servers: Collection[str], now: float
    ) -> tuple[Counter[str], Counter[str]]:
        """Return failures by server, and the number of nodes that saw some."""
        totals, nodes = Counter(), Counter()
        known = set(servers)
        for node, (heard_at, counts) in list(self.told.items()):
            if now - heard_at > WINDOW_S:
                del self.told[node]
                continue
            totals.update({s: n for s, n in counts.items() if s in known})
            nodes.update(known & counts.keys())
        own = {s: n for s, n in self.own_counts(now).items() if s in known}
        totals.update(own)
        nodes.update(own.keys())
        return totals, nodes

    def _hold(self, server: str, now: float) -> None:
        hold = self.holds.get(server)
        if hold is None:
            self.holds[server] = Hold(now + HOLD_S, HOLD_S)
        elif now >= hold.until:
            # The failures before its hold have left the window: it was tried again.
            hold.length_s = min(MOST_HOLD_S, 2 * hold.length_s)
            hold.until = now + hold.length_s


def _is_over(hold: Hold, now: float) -> bool:
    """Return whether a server has done well for as long as it had no work."""
    return now > hold.until + max(WINDOW_S, hold.length_s)
