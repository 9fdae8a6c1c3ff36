"""One server of a pool of slots: its leases, its speed, and its failures."""

from enum import IntEnum

from endive_core.slot_leases import INITIAL_HOLD_S, Lease, ServerSlots
from endive_core.slot_queue import PoolRequest

HOLD_WEIGHT = 0.05
"""Weight of the latest lease in the mean time for which slots are held."""

IN_ADVANCE = 1
"""Requests beyond its slots that a server gets while others wait. Otherwise a slot is
idle while its return, the next lease and its request are on the way: four network
delays, 8 in 100 of the capacity at 1.4 ms each and 69 ms of work."""

REJECTION_MEMORY_S = 10.0
"""Time for which a server that rejected a request gets none beyond its slots, seconds:
it may have no queue."""

REPORT_EXPIRY_S = 0.5
"""Age from which a server's reported slowdown is no longer used, seconds. Servers that
share their machine change about every 0.6 s."""

FAILURE_PAUSE_S = 0.25
MAX_PAUSE_S = 2.0
"""Time for which a server that failed gets nothing, seconds, doubled for each further
failure up to the maximum. Then one request at a time tries it."""

PAUSED_FROM = 4
"""Weight of consecutive failures from which a server is paused. A server may fail part
of its requests by itself: with one in seven, four in a row are one in 2,400."""

NOT_REACHED_WEIGHT = 2
"""Weight of a request that did not reach its server, against 1 of a broken response.
One alone may be the fault of its node's link: other nodes' requests are then answered
in between."""


class Outcome(IntEnum):
    """How a request ended that had a lease, as its node reports it."""

    UNUSED = 0
    ANSWERED = 1
    REJECTED = 2
    BROKEN = 3
    NOT_REACHED = 4


class PooledServer:
    """One server of a pool.

    Attributes
    ----------
    slots : ServerSlots
        Its leases, and the requests there that have none.
    base_hold_s : float
        Mean time for which a slot is held while the server runs as usual, seconds.
    slowdown : float
        Time that work takes there over the usual time, as last reported.
    is_suspect : bool
        Whether it gets requests only where no other server has a free slot.
    is_brittle : bool
        Whether it fails if it must reject requests.
    rejected_at : float
        When a request that it rejected was reported, clock time in seconds.
    failures, pauses : int
        Weight of the consecutive failures, and the pauses since the last answer.
    paused_at, paused_until : float
        From when until when it gets nothing after failures, clock time in seconds.
    """

    def __init__(self, server: str, incarnation: int, slots: int) -> None:
        self.id = server
        self.incarnation = incarnation
        self.slots = ServerSlots(slots, lambda *_reply: None, peak_memory_s=0.0)
        self.base_hold_s = INITIAL_HOLD_S
        self.usual_slowdown = 1.0
        self.slowdown = 1.0
        self.slowdown_at = float("-inf")
        self.is_suspect = self.is_brittle = False
        self.rejected_at = float("-inf")
        self.failures = self.pauses = 0
        self.paused_at = float("-inf")
        self.paused_until = float("-inf")

    def free(self, now: float) -> int:
        """Return how many requests it may get now; negative if it has some too many."""
        if now < self.paused_until:
            return -IN_ADVANCE
        if self.pauses:
            return -IN_ADVANCE if self.slots.leases else 1
        return self.slots.free(now)

    def has_place(self, now: float) -> bool:
        """Return whether it may get a request in advance."""
        if self.is_brittle or now - self.rejected_at < REJECTION_MEMORY_S:
            return False
        return self.free(now) > -IN_ADVANCE

    def slowdown_now(self, now: float) -> float:
        """Return the slowdown to expect: the report if it is recent."""
        is_recent = now - self.slowdown_at < REPORT_EXPIRY_S
        return self.slowdown if is_recent else self.usual_slowdown

    def expected_s(self, now: float) -> float:
        """Return the time for which a slot will be held that is leased now, seconds."""
        return self.base_hold_s * self.slowdown_now(now)

    def lease(self, request: PoolRequest, now: float) -> None:
        """Lease a slot to a request."""
        leases = self.slots.leases
        leases[request.key] = lease = Lease(now, now + request.lease_s)
        lease.crowding = max(1.0, len(leases) / max(1, self.slots.slots))

    def report_speed(self, slowdown: float, now: float) -> None:
        """Apply a slowdown that the server states."""
        self.slowdown, self.slowdown_at = max(1.0, slowdown), now

    def ended(self, lease: Lease, outcome: Outcome, now: float) -> None:
        """Learn from the end of a request."""
        if outcome is Outcome.ANSWERED:
            self.failures = self.pauses = 0
            held_s = (now - lease.granted_at) / lease.crowding
            held_s /= self.slowdown_now(now)
            self.base_hold_s += HOLD_WEIGHT * (held_s - self.base_hold_s)
        elif outcome is Outcome.REJECTED:
            self.rejected_at = now
        elif outcome in (Outcome.BROKEN, Outcome.NOT_REACHED):
            is_unreached = outcome is Outcome.NOT_REACHED
            self._failed(lease, NOT_REACHED_WEIGHT if is_unreached else 1, now)

    def _failed(self, lease: Lease, weight: int, now: float) -> None:
        if lease.granted_at <= self.paused_at:
            return
        self.failures += weight
        if self.failures >= PAUSED_FROM or self.pauses:
            doubled = FAILURE_PAUSE_S * 2.0 ** min(self.pauses, 8)
            self.pauses += 1
            self.paused_at = now
            self.paused_until = now + min(MAX_PAUSE_S, doubled)
