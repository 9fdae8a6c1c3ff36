"""Slow servers: found by comparison with their peers, and brought back by probes.

The load this is for: one server of several becomes slow without failing. By counting
requests alone it looks no worse than others until its queue is long, and 1 call in 5
misses its target. An absolute limit would mark all servers when the load rises; the
peers' median rises with them.
"""

from statistics import median

from endive_core.ejection import ClusterEjection
from endive_core.policy import Policy
from endive_core.servers import ServerLoad, ServerSet

MIN_SAMPLES = 5
"""Latencies before a server is judged; one slow call proves nothing."""

MIN_PEER_SAMPLES = 3
"""Latencies of a server before the judged ones are compared with it. With as many as a
judged one needs, one of three servers that failed every request was compared half a
second later whenever another had only four by chance: 16 to 21 of 90 callers got a
failure in one run of seven, instead of 5 to 11. A server is compared as soon as it has
enough itself."""

SOON_S = 0.1
"""Time until the next look while too few servers have answered to compare them,
seconds."""

FAILED_RATIO = 10.0
"""Latency, as a multiple of the expected one, that an answered failure counts as. A
server that fails two in five while its peers fail one in twenty then stands at three
times their median and is marked; where all fail alike, the median rises and none is.

No latency counts as more. One answer 0.3 s late among a server's first five would stand
at sixty times its peers, and hold the place of one that fails every request: up to 15
of 90 callers got a failure then, 5 to 8 without such an answer."""


class OutlierDetector:
    """Compares each server's latency ratio with its peers' median.

    The ratio is observed time over expected time, so long prompts are no sign of
    slowness. Operators meet it as a server without new work but for a probe each few
    seconds.

    Attributes
    ----------
    suspicions : Suspicions or None
        What all nodes see of failing servers, if they tell each other. A suspect gets
        no probe: sixty nodes' probes would be a tenth of its usual work.
    """

    def __init__(self, policy: Policy, servers: ServerSet) -> None:
        self.policy = policy
        self.servers = servers
        self.next_at = 0.0
        self.slow: list[ServerLoad] = []
        self.ejection: ClusterEjection | None = None
        self.ejected: set[str] = set()

    def observe(self, server: ServerLoad, *, seconds: float, expected_s: float) -> None:
        """Take in one latency of `server`."""
        ratio = min(FAILED_RATIO, seconds / max(expected_s, 1e-3))
        weight = self.policy.latency_smoothing
        if server.samples < MIN_SAMPLES:
            weight = 1 / (server.samples + 1)
        server.samples += 1
        if server.samples == MIN_SAMPLES:
            self.next_at = 0.0
        server.latency_ratio += weight * (ratio - server.latency_ratio)

    def failed(self, server: ServerLoad) -> None:
        """Take in one request that `server` answered with a failure.

        Some servers fail part of their requests while they look healthy, and quickly:
        by its latency alone such a server is the best of all.
        """
        self.observe(server, seconds=FAILED_RATIO, expected_s=1.0)

    def update_outliers(self, now: float) -> None:
        """Set each server's slowness, if it is time to; costs one pass over all.

        At most a share of the servers is marked: with most of them "slow" the cause
        lies elsewhere, and the rest could not carry the load.
        """
        if now < self.next_at:
            return
        self.next_at = now + self.policy.compare_every_s
        self._suspect(now)
        servers = self.servers.servers.values()
        peers = [s for s in servers if s.samples >= MIN_PEER_SAMPLES]
        if len(peers) < 3:
            self.next_at = now + SOON_S
            return
        judged = [s for s in peers if s.samples >= MIN_SAMPLES]
        middle = max(1e-6, median(server.latency_ratio for server in peers))
        for server in judged:
            server.slowness = max(1.0, server.latency_ratio / middle)
        most = int(len(peers) * self.policy.max_slow_share)
        worst = sorted(judged, key=lambda s: s.slowness, reverse=True)
        for position, server in enumerate(worst):
            slow = position < most and server.slowness >= self.policy.slow_ratio
            self._mark(server, slow or server.id in self.ejected, now)

    def _suspect(self, now: float) -> None:
        """Mark the servers that fail under all nodes together."""
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
        """Return a slow server that is due for one call, so that it can come back."""
        for server in self.slow:
            if self.servers.servers.get(server.id) is not server:
                continue
            if server.id in self.ejected:
                continue
            if not server.view.leaving and now >= server.next_probe_at:
                server.next_probe_at = now + self.policy.probe_every_s
                return server
        return None
