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

MIN_FAILURES = 6
MIN_NODES = 2
"""Failures of one server within the window that prove something, and nodes that must
have seen some: one node alone may have a broken link to it."""

FAILURE_RATIO = 4.0
"""Failures, as a multiple of the other servers' mean, from which one is suspected.
Where all fail alike nothing is gained by avoiding some."""

MAX_EJECTED_SHARE = 0.25
"""Part of the servers that may be suspected: the rest must carry the load."""

MIN_SERVERS = 3
"""Servers from which one may be suspected, though it is more than that part. A service
of three has callers get a failure for one request in four for as long as one of them
fails two in three: too few reach any one of a hundred nodes to be told by it alone.
With two, nothing says which is the odd one."""

BASE_EJECTION_S = 3.0
MAX_EJECTION_S = 12.0
"""How long a suspect gets no work the first time, and at most, seconds. It doubles for
one that fails again within as long after it was tried anew."""

MAX_REPORTED_SERVERS = 10
"""Servers in one telling, those with most failures: some 200 bytes of a datagram."""


@dataclass
class Ejection:
    """One server's time without work."""

    until: float
    duration_s: float


class Suspicions:
    """Counts failures by server, here and at the other nodes."""

    def __init__(self) -> None:
        self.local_failures: deque[tuple[float, str]] = deque()
        self.remote_counts: dict[str, tuple[float, Mapping[str, int]]] = {}
        self.ejections: dict[str, Ejection] = {}

    def failed(self, server: str, now: float) -> None:
        """Count a failure that this node met at `server`."""
        self.local_failures.append((now, server))

    def tell(self, now: float) -> dict[str, int]:
        """Return this node's failures of late by server, for the other nodes."""
        while self.local_failures and self.local_failures[0][0] < now - WINDOW_S:
            self.local_failures.popleft()
        counts = Counter(server for _, server in self.local_failures)
        return dict(counts.most_common(MAX_REPORTED_SERVERS))

    def hear(self, node: str, counts: Mapping[str, int], now: float) -> None:
        """Take over another node's failures of late."""
        if counts:
            self.remote_counts[node] = (now, counts)
        else:
            self.remote_counts.pop(node, None)

    def suspects(self, servers: Collection[str], now: float) -> set[str]:
        """Return those of `servers` that get no work for now."""
        totals, nodes = self._totals(servers, now)
        total = sum(totals.values())
        max_ejected = int(MAX_EJECTED_SHARE * len(servers))
        if len(servers) >= MIN_SERVERS:
            max_ejected = max(1, max_ejected)
        for server, failures in totals.most_common(max_ejected):
            peer_mean = (total - failures) / max(1, len(servers) - 1)
            enough = failures >= MIN_FAILURES and nodes[server] >= MIN_NODES
            if enough and failures >= FAILURE_RATIO * peer_mean:
                self._eject(server, now)
        for server in [s for s, e in self.ejections.items() if _is_over(e, now)]:
            del self.ejections[server]
        return {
            s for s in servers if s in self.ejections and now < self.ejections[s].until
        }

    def _totals(
        self, servers: Collection[str], now: float
    ) -> tuple[Counter[str], Counter[str]]:
        """Return failures by server, and the number of nodes that saw some."""
        totals, nodes = Counter(), Counter()
        known = set(servers)
        for node, (received_at, counts) in list(self.remote_counts.items()):
            if now - received_at > WINDOW_S:
                del self.remote_counts[node]
                continue
            totals.update({s: n for s, n in counts.items() if s in known})
            nodes.update(known & counts.keys())
        own_counts = {s: n for s, n in self.tell(now).items() if s in known}
        totals.update(own_counts)
        nodes.update(own_counts.keys())
        return totals, nodes

    def _eject(self, server: str, now: float) -> None:
        ejection = self.ejections.get(server)
        if ejection is None:
            self.ejections[server] = Ejection(now + BASE_EJECTION_S, BASE_EJECTION_S)
        elif now >= ejection.until:
            # The failures before its hold have left the window: it was tried again.
            ejection.duration_s = min(MAX_EJECTION_S, 2 * ejection.duration_s)
            ejection.until = now + ejection.duration_s


def _is_over(ejection: Ejection, now: float) -> bool:
    """Return whether a server has done well for as long as it had no work."""
    return now > ejection.until + max(WINDOW_S, ejection.duration_s)
