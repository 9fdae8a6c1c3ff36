"""Detects slow and failing servers by comparison with their peers, and probes them.

A server may become slow without failing. By its number of requests alone it looks like
the others until its queue is long; with five servers, 1 call in 5 then misses its
target. An absolute latency limit would mark all servers when the load rises, whereas
the median of the peers rises with it.
"""

from statistics import median

from endive_core.ejection import ClusterEjection
from endive_core.policy import Policy
from endive_core.servers import ServerLoad, ServerSet

MIN_SAMPLES = 5
"""Latencies needed before a server can be marked; one slow call proves nothing."""

MIN_PEER_SAMPLES = 3
"""Latencies needed before a server counts as a peer. It is lower than
:data:`MIN_SAMPLES`, because a server may by chance have few latencies: with the same
bound, the comparison that marks one of three servers which fails every request came
half a second later, and in some runs 16 to 21 of 90 callers got a failure instead of 5
to 11."""

COMPARISON_RETRY_S = 0.1
"""Time until the next comparison while there are too few peers, seconds."""

FAILURE_LATENCY_RATIO = 10.0
"""Latency ratio that a failure counts as, and the highest that any latency counts as.

A server that fails two requests in five while its peers fail one in twenty then has
three times their median ratio and is marked. If all fail alike, the median rises too
and none is marked.

The bound keeps a single late answer from standing out more than failures. Without it,
one answer 0.3 s late among a server's first five gave a ratio sixty times that of its
peers, and that server was marked in place of one that failed every request: up to 15 of
90 callers then got a failure, instead of 5 to 8."""


FALSE_SLOWDOWN_RATIO = 0.6
"""Latency ratio below which a stated slowdown is taken to be false. Ratios of servers
that state the truth lie between 0.7 and 1.4 most of the time, and would only disturb
placement."""


class OutlierDetector:
    """Compares each server's latency ratio with the median of its peers.

    The ratio is observed over expected latency, so long prompts do not make a server
    look slow. A server that is marked slow gets no work except a probe request from
    time to time.

    Attributes
    ----------
    suspicions : Suspicions or None
        Failures of the servers as seen by all nodes, if the nodes exchange them. A
        server ejected by it gets no probes: those of sixty nodes would add up to a
        tenth of its usual work.
    """

    def __init__(self, policy: Policy, servers: ServerSet) -> None:
        self.policy = policy
        self.servers = servers
        self.next_comparison_at = 0.0
        self.slow: list[ServerLoad] = []
        self.ejection: ClusterEjection | None = None
        self.ejected: set[str] = set()

    def observe(self, server: ServerLoad, *, seconds: float, expected_s: float) -> None:
        """Record one latency of `server`, with the one that was expected, seconds."""
        ratio = min(FAILURE_LATENCY_RATIO, seconds / max(expected_s, 1e-3))
        weight = self.policy.latency_smoothing
        if server.samples < MIN_SAMPLES:
            weight = 1 / (server.samples + 1)
        server.samples += 1
        if server.samples == MIN_SAMPLES:
            self.next_comparison_at = 0.0
        server.latency_ratio += weight * (ratio - server.latency_ratio)

    def failed(self, server: ServerLoad) -> None:
        """Record one request that `server` answered with a failure.

        A server may fail part of its requests quickly while its health checks succeed:
        by its latency alone it would then look like the best one.
        """
        self.observe(server, seconds=FAILURE_LATENCY_RATIO, expected_s=1.0)

    def update_outliers(self, now: float) -> None:
        """Update each server's slowness and mark the slow ones, once per interval.

        It takes one pass over all servers. A comparison marks only a limited share of
        them: if most are slow the cause lies elsewhere, and the rest could not carry
        the load.
        """
        if now < self.next_comparison_at:
            return
        self.next_comparison_at = now + self.policy.compare_every_s
        self._update_ejected(now)
        self._compare(now)
        self._spare_one(now)

    def _spare_one(self, now: float) -> None:
        """Unmark a server if all that accept work are marked.

        Marks of different comparisons, and ejections, may add up to all of them. A node
        that then refused all calls would have none whose latency could unmark a server.
        """
        accepting = self.servers.accepting.items
        if accepting and all(server.slow for server in accepting):
            best = min(accepting, key=lambda s: (s.id in self.ejected, s.slowness))
            self._mark(best, False, now)

    def _compare(self, now: float) -> None:
        """Mark the servers that are slow in comparison with their peers."""
        servers = self.servers.servers.values()
        peers = [s for s in servers if s.samples >= MIN_PEER_SAMPLES]
        if len(peers) < 3:
            self.next_comparison_at = now + COMPARISON_RETRY_S
            return
        judged = [s for s in peers if s.samples >= MIN_SAMPLES]
        peer_median = max(1e-6, median(server.latency_ratio for server in peers))
        for server in judged:
            server.slowness = self._slowness(server, server.latency_ratio / peer_median)
        max_slow = int(len(peers) * self.policy.max_slow_share)
        worst = sorted(judged, key=lambda s: s.slowness, reverse=True)
        for position, server in enumerate(worst):
            slow = position < max_slow and server.slowness >= self.policy.slow_ratio
            self._mark(server, slow or server.id in self.ejected, now)

    def _slowness(self, server: ServerLoad, ratio: float) -> float:
        """Return the slowness of a server with `ratio` of its peers' latency.

        Latencies are divided by the stated slowdown. Where a server states one that it
        does not have, the product of both is what it takes.
        """
        is_stated = server.id in self.servers.speeds.statements
        if is_stated and ratio < FALSE_SLOWDOWN_RATIO:
            return ratio
        return max(1.0, ratio)

    def _update_ejected(self, now: float) -> None:
        """Mark the servers that are ejected because of all nodes' failures."""
        if self.ejection is None:
            return
        before = self.ejected
        self.ejected = self.ejection.ejected(self.servers.servers.keys(), now)
        for server_id in before ^ self.ejected:
            server = self.servers.servers.get(server_id)
            if server is not None:
                self._mark(server, server_id in self.ejected, now)

    def _mark(self, server: ServerLoad, slow: bool, now: float) -> None:
        if slow == server.slow:
            return
        server.slow = slow
        server.next_probe_at = now + self.policy.probe_every_s
        self.servers.refresh(server)
        self.slow = [s for s in self.servers.servers.values() if s.slow]

    def probe(self, now: float) -> ServerLoad | None:
        """Return a slow server that is due for a probe request, or ``None``.

        The latency of the probe lets a server that has recovered be unmarked.
        """
        for server in self.slow:
            if self.servers.servers.get(server.id) is not server:
                continue
            if server.id in self.ejected:
                continue
            if not server.view.leaving and now >= server.next_probe_at:
                server.next_probe_at = now + self.policy.probe_every_s
                return server
        return None
