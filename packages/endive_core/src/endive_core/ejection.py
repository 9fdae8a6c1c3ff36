"""Ejects failing servers, based on the failures that all nodes have seen.

A server that answers every request with an immediate failure looks idle and attracts
work. If a tenth of the servers does, one request in eight fails. A single node sees too
few failures to detect this soon: one of sixty nodes sends each of 45 servers one
request in three seconds, and needs 15 s to tell a failing server from chance. All nodes
together need half a second, so they exchange their failure counts.
"""

from collections import Counter, deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass

WINDOW_S = 2.0
"""Time for which a failure counts, seconds: two rounds of gossip among 87 nodes."""

MIN_FAILURES = 6
MIN_NODES = 2
"""Failures of a server within the window, and nodes that saw some, from which it may be
ejected. A single node may just have a broken link to the server."""

FAILURE_RATIO = 4.0
"""Failures, as a multiple of the mean of the other servers, from which a server is
ejected. If all fail alike, nothing is gained by avoiding some."""

MAX_EJECTED_SHARE = 0.25
"""Part of the servers that may be ejected, since the rest must carry the load."""

MIN_SERVERS = 3
"""Number of servers from which one may be ejected, even if that is more than
:data:`MAX_EJECTED_SHARE`. If one of three servers fails two requests in three, one
request in four fails, and each of a hundred nodes sends too few requests to detect it
by itself. With two servers there is no majority to compare with."""

BASE_EJECTION_S = 3.0
MAX_EJECTION_S = 12.0
"""Duration of the first ejection, and the longest, seconds. It doubles if a server is
ejected again within that duration after it got work again."""

MAX_REPORTED_SERVERS = 10
"""Servers reported to other nodes, those with most failures: some 200 bytes of a
datagram."""


@dataclass
class Ejection:
    """An ejection of one server.

    Attributes
    ----------
    until : float
        Clock time at which the server gets work again, seconds.
    """

    until: float
    duration_s: float


class ClusterEjection:
    """Counts the failures of each server at all nodes and ejects those that stand out.

    Attributes
    ----------
    local_failures : deque
        Times and servers of the failures that this node has seen.
    remote_counts : dict
        For each other node, when its last counts arrived, and its failures by server.
    ignored_until : dict of str to float
        By server that has started again, until when other nodes' counts are those of
        its earlier incarnation.
    """

    def __init__(self) -> None:
        self.local_failures: deque[tuple[float, str]] = deque()
        self.remote_counts: dict[str, tuple[float, Mapping[str, int]]] = {}
        self.ejections: dict[str, Ejection] = {}
        self.ignored_until: dict[str, float] = {}

    def failed(self, server: str, now: float) -> None:
        """Count a failure of `server` that this node has seen."""
        self.local_failures.append((now, server))

    def forget_server(self, server: str, now: float) -> None:
        """Forget the failures of a server that has started again.

        Other nodes may go on reporting those of its earlier incarnation for as long as
        a failure counts.
        """
        failures = [(at, s) for at, s in self.local_failures if s != server]
        self.local_failures = deque(failures)
        self.ejections.pop(server, None)
        self.ignored_until[server] = now + WINDOW_S

    def own_counts(self, now: float) -> dict[str, int]:
        """Return this node's recent failures by server, to be sent to other nodes."""
        while self.local_failures and self.local_failures[0][0] < now - WINDOW_S:
            self.local_failures.popleft()
        counts = Counter(server for _, server in self.local_failures)
        return dict(counts.most_common(MAX_REPORTED_SERVERS))

    def receive(self, node: str, counts: Mapping[str, int], now: float) -> None:
        """Apply the recent failures by server that another node has sent."""
        if counts:
            self.remote_counts[node] = (now, counts)
        else:
            self.remote_counts.pop(node, None)

    def ejected(self, servers: Collection[str], now: float) -> set[str]:
        """Return those of `servers` that are ejected at `now`."""
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
        """Return by server the failures and the number of nodes that saw some."""
        totals, nodes = Counter(), Counter()
        ignored = self.ignored_until
        self.ignored_until = {s: t for s, t in ignored.items() if now < t}
        known = set(servers)
        for node, (received_at, counts) in list(self.remote_counts.items()):
            if now - received_at > WINDOW_S:
                del self.remote_counts[node]
                continue
            heard = counts.keys() & known - self.ignored_until.keys()
            totals.update({s: counts[s] for s in heard})
            nodes.update(heard)
        local_counts = {s: n for s, n in self.own_counts(now).items() if s in known}
        totals.update(local_counts)
        nodes.update(local_counts.keys())
        return totals, nodes

    def _eject(self, server: str, now: float) -> None:
        ejection = self.ejections.get(server)
        if ejection is None:
            self.ejections[server] = Ejection(now + BASE_EJECTION_S, BASE_EJECTION_S)
        elif now >= ejection.until:
            # The failures that led to the ejection have left the window, so these are
            # new ones.
            ejection.duration_s = min(MAX_EJECTION_S, 2 * ejection.duration_s)
            ejection.until = now + ejection.duration_s


def _is_over(ejection: Ejection, now: float) -> bool:
    """Return whether an ejection has been over for so long that it no longer counts.

    The next ejection of the server then has the base duration.
    """
    return now > ejection.until + max(WINDOW_S, ejection.duration_s)
