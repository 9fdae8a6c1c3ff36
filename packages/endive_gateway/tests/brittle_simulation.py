"""Builder of a fleet in simulated time before servers that are brittle."""

import itertools
from collections import deque

from endive_core.exceptions import RetryReason
from simulated_servers import SimulatedServer, Workload
from slot_simulation import SlotFleet

DOWN_S = 4.0
WORKLOAD = Workload()
TARGET_S = WORKLOAD.target_s


class BrittleServer(SimulatedServer):
    """A server with slots, a queue, and a limit to what it may reject.

    Attributes
    ----------
    brittle : float or None
        Requests a second that it tolerates to reject, as it says.
    is_fragile : bool
        Whether it fails if it rejects more.
    failures : list of float
        When it failed.
    """

    def __init__(self, fleet, server_id):
        super().__init__(fleet, server_id)
        self.is_fragile = False
        self.rejected = deque()
        self.failures = []

    def reject(self, request):
        now = self.fleet.clock.now
        self.rejected_total += 1
        self.rejected.append(now)
        while self.rejected[0] < now - 1.0:
            self.rejected.popleft()
        if self.is_fragile and len(self.rejected) > self.brittle:
            self.failures.append(now)
            self.restart(DOWN_S)
            self.rejected.clear()
            request.fail(RetryReason.SERVER_FAILED, started=True)
        else:
            request.reject()


class BrittleFleet(SlotFleet):
    """Nodes before brittle servers of a plain service."""

    server_type = BrittleServer

    def __init__(self, monkeypatch, nodes, servers, seed=1):
        super().__init__(monkeypatch, nodes, Workload(servers), seed)

    def say_brittle(self, rejections):
        """Let the servers say how many rejections they tolerate, or none."""
        for server in self.servers.values():
            server.brittle = rejections
            server.is_fragile &= rejections is not None

    def narrow(self, room):
        """Let fewer requests wait, and let servers fail that reject too many."""
        for server in self.servers.values():
            server.room, server.is_fragile = room, True

    def failures_since(self, since):
        """Return how often servers failed since a time."""
        failures = itertools.chain(
            *(server.failures for server in self.servers.values())
        )
        return sum(at >= since for at in failures)
