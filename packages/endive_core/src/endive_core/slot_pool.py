"""Leases of the slots of all servers of a service, from one queue.

A service with fewer slots than there are nodes gets about one request a second from
each of them. A node's view of the servers is then older than the time for which a slot
is held, so requests queue at one server while another one has free slots. One node
therefore coordinates the slots of all the service's servers: a request takes the first
slot that is free anywhere, and what can't be served in time is declined at once.
"""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from enum import IntEnum

from endive_core.slot_leases import INITIAL_HOLD_S, Lease, ServerSlots
from endive_core.slot_queue import LeaseKey, PoolRequest, SlotQueue

HOLD_WEIGHT = 0.05
"""Weight of the latest lease in the mean time for which slots are held."""

WORK_MARGIN = 1.5
"""Mean times for which slots are held that are left until a request's target when it
gets a slot at the latest."""

MIN_WAIT_S = 0.02
"""Least time for which a request may wait, seconds, even if it is late already."""

DECLINE_MARGIN = 0.25
"""Part of the time that a queued request has left by which its predicted wait must
exceed it before it is declined: predictions are no more accurate, and a request that
waits already has its turn sooner than a new one."""

MAX_QUEUED = 512
"""Most requests in the queue of a pool. It takes far more than one target to serve as
many with the few slots of a pool."""

IN_ADVANCE = 1
"""Requests beyond its slots that a server gets while others wait. Otherwise a slot is
idle while its return, the next lease and its request are on the way: four network
delays, 8 in 100 of the capacity at 1.4 ms each and 69 ms of work."""

MAX_ITERATIONS = 10
"""Steps in which the wait of a new request is found: those who overtake it prolong it,
so that more do."""

REJECTION_MEMORY_S = 10.0
"""Time for which a server that rejected a request gets none beyond its slots, seconds:
it may have no queue."""

REMINDER_S = 0.1
"""Time after which a request that waits is told so again, seconds, so that its node
notices within that time if the coordinator ends."""

REPORT_EXPIRY_S = 0.5
"""Age from which a server's reported slowdown is no longer used, seconds. Servers that
share their machine change about every 0.6 s."""

SIMILAR_SPEED = 1.25
"""Ratio of two servers' expected times within which the one with more free slots is
chosen: the mean of 40 times with a deviation of half is no more accurate."""

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


@dataclass(frozen=True, slots=True)
class SlotReply:
    """What becomes of a request for a slot.

    Attributes
    ----------
    server : str
        The server whose slot is leased; empty if none is yet, or it is declined.
    wait_s : float
        Predicted time until a slot is free, seconds, if the request is queued.
    retry_after_s : float or None
        Time after which it could be served, seconds, if it is declined.
    """

    server: str = ""
    wait_s: float = 0.0
    retry_after_s: float | None = None

    @property
    def is_final(self) -> bool:
        """Whether no further reply follows."""
        return bool(self.server) or self.retry_after_s is not None


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

    def report_speed(self, slowdown: float, now: float) -> None:
        """Apply a slowdown that the server states."""
        self.slowdown, self.slowdown_at = max(1.0, slowdown), now

    def ended(self, lease: Lease, outcome: Outcome, now: float) -> None:
        """Learn from the end of a request."""
        if outcome is Outcome.ANSWERED:
            self.failures = self.pauses = 0
            held_s = (now - lease.granted_at) / self.slowdown_now(now)
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


class SlotPool:
    """The slots of a service's servers, as their coordinator counts them.

    Parameters
    ----------
    reply : callable
        Called with a request's key and a :class:`SlotReply`.

    Attributes
    ----------
    servers : dict of str to PooledServer
        The servers that may get requests.
    queue : SlotQueue
        The requests that wait.
    leased_at : dict
        By request, the server whose slot it has.
    granted, declined : int
        Requests since the last report.
    """

    def __init__(self, reply: Callable[[LeaseKey, SlotReply], None]) -> None:
        self.reply = reply
        self.servers: dict[str, PooledServer] = {}
        self.queue = SlotQueue()
        self.leased_at: dict[LeaseKey, str] = {}
        self.granted = 0
        self.declined = 0

    @property
    def is_idle(self) -> bool:
        """Whether it may be forgotten."""
        return not self.leased_at and not self.queue

    @property
    def slots(self) -> int:
        """Slots of all servers."""
        return sum(server.slots.slots for server in self.servers.values())

    def set_servers(
        self, declared: Mapping[str, tuple[int, int]]
    ) -> list[PooledServer]:
        """Apply the servers that may get requests; return the new ones.

        Nothing known of a server carries over to its next incarnation.

        Parameters
        ----------
        declared : mapping of str to (int, int)
            Incarnation and slots by server.
        """
        for server in list(self.servers.values()):
            incarnation, _ = declared.get(server.id, (None, 0))
            if incarnation != server.incarnation:
                del self.servers[server.id]
                for key in server.slots.leases:
                    self.leased_at.pop(key, None)
        new = []
        for server_id, (incarnation, slots) in declared.items():
            server = self.servers.get(server_id)
            if server is None:
                server = PooledServer(server_id, incarnation, slots)
                self.servers[server_id] = server
                new.append(server)
            server.slots.slots = slots
        return new

    def request(self, request: PoolRequest, now: float) -> None:
        """Grant a slot now, queue the request, or decline it at once."""
        work_s = WORK_MARGIN * self._hold_s(now)
        request.wait_until = max(now + MIN_WAIT_S, request.due - work_s)
        if len(self.queue) >= MAX_QUEUED:
            self._decline(request, self.wait_s(len(self.queue), now))
            return
        self.queue.push(request, now)
        self.update(now, newest=request)
        if request.key in self.queue.requests:
            self._remind(request, now)

    def _remind(self, request: PoolRequest, now: float) -> None:
        """Tell a request that it waits."""
        request.remind_at = now + REMINDER_S
        self.reply(request.key, SlotReply(wait_s=REMINDER_S))

    def release(self, key: LeaseKey, outcome: Outcome, now: float) -> None:
        """Take a lease back, or forget a request that waits."""
        self.queue.remove(key)
        server = self.servers.get(self.leased_at.pop(key, ""))
        if server is not None:
            lease = server.slots.leases.get(key)
            server.slots.release(key, now)
            if lease is not None:
                server.ended(lease, outcome, now)
        self.update(now)

    def report(
        self, server_id: str, load: int, slowdown: float | None, now: float
    ) -> None:
        """Apply what a server has stated with a response.

        Parameters
        ----------
        load : int
            Requests at the server, running and waiting; negative if it is not known.
        slowdown : float or None
            Time that work takes over the usual time.
        """
        server = self.servers.get(server_id)
        if server is None:
            return
        if load >= 0:
            server.slots.report(load, now)
        if slowdown is not None:
            server.report_speed(slowdown, now)

    def withdraw(self, live_nodes: Collection[str], now: float) -> None:
        """Take back the leases and requests of nodes that are gone."""
        for server in self.servers.values():
            server.slots.withdraw(live_nodes, now)
        for key in [key for key in self.queue.requests if key[0] not in live_nodes]:
            self.queue.remove(key)
        self._forget_ended()
        self.update(now)

    def update(self, now: float, newest: PoolRequest | None = None) -> None:
        """End leases that were not returned; serve and decline those that wait.

        Parameters
        ----------
        newest : PoolRequest or None
            A request that has just come. It is declined if its predicted wait exceeds
            what it may wait; for earlier ones there is a margin.
        """
        for server in self.servers.values():
            server.slots.update(now)
        self._forget_ended()
        while self.queue and self._grant_next(now):
            pass
        if self.queue:
            self._decline_late(now, newest)

    def _forget_ended(self) -> None:
        """Forget the requests whose leases have ended by themselves."""
        if len(self.leased_at) == sum(
            len(server.slots.leases) for server in self.servers.values()
        ):
            return
        self.leased_at = {
            key: server.id
            for server in self.servers.values()
            for key in server.slots.leases
        }

    def _grant_next(self, now: float) -> bool:
        """Grant a slot to the next request that can get one; return whether it did."""
        servers = self.servers.values()
        free = [s for s in servers if s.free(now) > 0]
        free = free or [s for s in servers if s.has_place(now)]
        if not free:
            return False
        request = self.queue.pop_next(lambda r: any(s.id not in r.avoid for s in free))
        if request is None:
            return False
        server = self._first_to_end([s for s in free if s.id not in request.avoid], now)
        server.slots.leases[request.key] = Lease(now, now + request.lease_s)
        self.leased_at[request.key] = server.id
        self.granted += 1
        self.reply(request.key, SlotReply(server.id))
        return True

    def _first_to_end(self, free: list[PooledServer], now: float) -> PooledServer:
        """Return the server that ends a request first that begins now."""
        trusted = [s for s in free if not (s.is_suspect or s.failures)] or free
        fastest = min(server.expected_s(now) for server in trusted)
        similar = [s for s in trusted if s.expected_s(now) <= SIMILAR_SPEED * fastest]
        return max(similar, key=lambda s: s.free(now) / max(1, s.slots.slots))

    def _decline_late(self, now: float, newest: PoolRequest | None) -> None:
        """Decline the requests that can't be served within their time."""
        position = 0
        for request in self.queue.ordered():
            wait_s = self.wait_s(position, now)
            left_s = request.wait_until - now
            if request is newest:
                wait_s = self._overtaken_wait_s(request, position, left_s, now)
                margin = 0.0
            else:
                margin = DECLINE_MARGIN * max(0.0, left_s)
            if wait_s > left_s + margin or left_s < 0:
                self.queue.remove(request.key)
                self._decline(request, wait_s - left_s)
            else:
                position += 1
                if now >= request.remind_at and request is not newest:
                    self._remind(request, now)

    def _overtaken_wait_s(
        self, request: PoolRequest, position: int, left_s: float, now: float
    ) -> float:
        """Return the wait of a new request, those included that will overtake it."""
        overtaking = self.queue.overtaking(request, now)
        wait_s = self.wait_s(position, now)
        for _ in range(MAX_ITERATIONS):
            ahead = sum(min(per_s * wait_s, most) for per_s, most in overtaking)
            before, wait_s = wait_s, self.wait_s(position + ahead, now)
            if wait_s > left_s or wait_s - before < 0.01 * left_s:
                break
        return wait_s

    def _decline(self, request: PoolRequest, excess_s: float) -> None:
        self.declined += 1
        self.reply(request.key, SlotReply(retry_after_s=max(0.0, excess_s)))

    def wait_s(self, ahead: float, now: float) -> float:
        """Return the time until a slot is free after `ahead` others, seconds."""
        servers = self.servers.values()
        opens_at = min((s.paused_until for s in servers), default=now + MAX_PAUSE_S)
        closed_s = max(0.0, opens_at - now)
        per_s = sum(
            server.slots.slots / server.expected_s(now)
            for server in servers
            if server.paused_until <= now + closed_s
        )
        return closed_s + (ahead + 1) / per_s if per_s else closed_s

    def _hold_s(self, now: float) -> float:
        """Return the mean time for which a slot is held, seconds."""
        slots = self.slots
        if not slots:
            return INITIAL_HOLD_S
        held = (s.slots.slots * s.expected_s(now) for s in self.servers.values())
        return sum(held) / slots
