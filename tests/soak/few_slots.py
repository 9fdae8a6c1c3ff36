"""Checks that requests spread over the few slots of a service's servers."""

from soak.invariants import CONTACT_S

SLOTS = 1
WORK_S = 0.1
"""Requests that each server runs at once, and additional time for each, seconds."""

IN_ADVANCE = 1
"""Requests that may be at a server beyond its slots while others wait."""

TOLERATED, TOLERATED_SHARE = 2, 0.01
"""Requests, and share of all, that may come to a server that has too many while another
one has a free slot."""


class FewSlots:
    """A time in which a plain service has fewer slots than there are nodes.

    Only requests of nodes without a fault count, from `CONTACT_S` after the beginning
    on: by then all nodes know the slots.

    Attributes
    ----------
    refused_at : dict
        When a backend last turned requests away, seconds since the beginning.
    """

    def __init__(self, fleet, backends):
        self.fleet = fleet
        self.backends = backends
        self.slots = SLOTS
        self.work_s = WORK_S
        self.began_at = fleet.clock()
        self.arrivals = self.collisions = 0
        self.refused_at = {}

    def arrived(self, backend, request_id):
        """Count a request that has come to a server."""
        self._note_refusals()
        request = self.fleet.checker.requests.get(request_id)
        since = self.began_at + CONTACT_S
        if request is None or request.sent_at < since:
            return
        if not backend.is_undisturbed(request.node):
            return
        self.arrivals += 1
        if backend.server.running < SLOTS + IN_ADVANCE:
            return
        self.collisions += any(self._has_free_slot(other) for other in self.backends)

    def _note_refusals(self):
        """Note which servers turn requests away now."""
        for backend in self.backends:
            server = backend.server
            if server is None:
                continue
            if server.limit or server.rest_s or server.leaving:
                self.refused_at[backend] = self.fleet.clock()

    def _has_free_slot(self, backend):
        """Return whether a sound server has a free slot that all nodes may know of."""
        refused_at = self.refused_at.get(backend, float("-inf"))
        return (
            backend.is_sound(self.began_at)
            and refused_at < self.fleet.clock() - CONTACT_S
            and backend.server.running < SLOTS
        )

    def end(self):
        """Check the rule; called when the servers have their usual slots again."""
        if self.collisions > TOLERATED + TOLERATED_SHARE * self.arrivals:
            self.fleet.checker.record_violation(
                "idle slots",
                f"{self.collisions} of {self.arrivals} requests came to a server with "
                "too many while another one had a free slot",
            )
