"""Leases of the slots of all servers of a service, from one queue.

A service with fewer slots than there are nodes gets about one request a second from
each of them. A node's view of the servers is then older than the time for which a slot
is held, so requests queue at one server while another one has free slots. One node
therefore coordinates the slots of all the service's servers: a request takes the first
slot that is free anywhere, and what can't be served in time is declined at once.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass

from endive_core.pooled_servers import MAX_PAUSE_S, Outcome, PooledServer
from endive_core.slot_leases import INITIAL_HOLD_S
from endive_core.slot_queue import LeaseKey, PoolRequest, SlotQueue

WORK_MARGIN = 1.5
"""Mean times for which slots are held that are left until a request's target when it
gets a slot at the latest."""

MIN_WAIT_S = 0.02
"""Least time for which a request may wait, seconds, even if it is late already."""

ADMITTED_SHARE = 0.6
"""Part of the time that a new request may wait which its predicted wait may take. The
rest is for servers that become slow, and for errors of the prediction: with 0.75, one
refusal in twenty came after 215 ms at 1.2 times the capacity, and with 0.6 after 3."""

DECLINE_MARGIN = 0.25
"""Part of the time that a queued request has left by which its predicted wait must
exceed it before it is declined: predictions are no more accurate, and a request that
waits already has its turn sooner than a new one."""

MAX_QUEUED = 512
"""Most requests in the queue of a pool. It takes far more than one target to serve as
many with the few slots of a pool."""

MAX_RETRY_AFTER_S = 2.0
"""Longest time after which a declined request is told to return, seconds."""

MIN_RATE = 0.1
"""Least number of requests a second that are assumed to be served."""

MAX_ITERATIONS = 10
"""Steps in which the wait of a new request is found: those who overtake it prolong it,
so that more do."""

REMINDER_S = 0.1
"""Time after which a request that waits is told so again, seconds, so that its node
notices within that time if the coordinator ends."""

SIMILAR_SPEED = 1.25
"""Ratio of two servers' expected times within which the one with more free slots is
chosen: the mean of 40 times with a deviation of half is no more accurate."""


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
    declined_until : float
        When the requests declined so far could all be served, clock time in seconds.
    granted, declined : int
        Requests since the last report.
    """

    def __init__(self, reply: Callable[[LeaseKey, SlotReply], None]) -> None:
        self.reply = reply
        self.servers: dict[str, PooledServer] = {}
        self.queue = SlotQueue()
        self.leased_at: dict[LeaseKey, str] = {}
        self.declined_until = float("-inf")
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
            self._decline(request, self.wait_s(len(self.queue), now), now)
            return
        self.queue.push(request, now)
        self._grant(now)
        if request.key not in self.queue.requests:
            return
        ordered = self.queue.ordered()
        left_s = ADMITTED_SHARE * (request.wait_until - now)
        wait_s = self._overtaken_wait_s(request, ordered.index(request), left_s, now)
        if wait_s > left_s:
            self.queue.remove(request.key)
            self._decline(request, wait_s - left_s, now)
        else:
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
        self._grant(now)

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

    def update(self, now: float) -> None:
        """End leases that were not returned; serve and decline those that wait.

        To be called every few hundredths of a second.
        """
        for server in self.servers.values():
            server.slots.update(now)
        self._forget_ended()
        self._grant(now)
        if self.queue:
            self._decline_late(now)

    def _grant(self, now: float) -> None:
        """Lease the free slots to those that wait."""
        while self.queue and self._grant_next(now):
            pass

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
        if not free:
            fast = self._similar(servers, now)
            free = [s for s in fast if s.has_place(now)]
        if not free:
            return False
        request = self.queue.pop_next(lambda r: any(s.id not in r.avoid for s in free))
        if request is None:
            return False
        server = self._first_to_end([s for s in free if s.id not in request.avoid], now)
        server.lease(request, now)
        self.leased_at[request.key] = server.id
        self.granted += 1
        self.reply(request.key, SlotReply(server.id))
        return True

    def _first_to_end(self, free: list[PooledServer], now: float) -> PooledServer:
        """Return the server that ends a request first that begins now."""
        trusted = [s for s in free if not (s.is_suspect or s.failures)] or free
        similar = self._similar(trusted, now)
        return max(similar, key=lambda s: s.free(now) / max(1, s.slots.slots))

    def _similar(
        self, servers: Iterable[PooledServer], now: float
    ) -> list[PooledServer]:
        """Return those of the servers that are about as fast as the fastest."""
        times = {server: server.expected_s(now) for server in servers}
        longest_s = SIMILAR_SPEED * min(times.values(), default=0.0)
        return [server for server, seconds in times.items() if seconds <= longest_s]

    def _decline_late(self, now: float) -> None:
        """Decline the requests that can't be served within their time."""
        closed_s, per_s = self._rate(now)
        position = 0
        for request in self.queue.ordered():
            wait_s = closed_s + (position + 1) / per_s
            left_s = request.wait_until - now
            if wait_s > left_s + DECLINE_MARGIN * max(0.0, left_s) or left_s < 0:
                self.queue.remove(request.key)
                self._decline(request, wait_s - left_s, now)
            else:
                position += 1
                if now >= request.remind_at:
                    self._remind(request, now)

    def _overtaken_wait_s(
        self, request: PoolRequest, position: int, left_s: float, now: float
    ) -> float:
        """Return the wait of a new request, those included that will overtake it."""
        overtaking = self.queue.overtaking(request, now)
        closed_s, served_per_s = self._rate(now)
        wait_s = closed_s + (position + 1) / served_per_s
        for _ in range(MAX_ITERATIONS):
            ahead = sum(min(per_s * wait_s, most) for per_s, most in overtaking)
            before = wait_s
            wait_s = closed_s + (position + ahead + 1) / served_per_s
            if wait_s > left_s or wait_s - before < 0.01 * left_s:
                break
        return wait_s

    def _decline(self, request: PoolRequest, excess_s: float, now: float) -> None:
        """Decline a request, with the time at which those before it are served.

        If all that are declined were told the same time, they would return together.
        """
        self.declined += 1
        _, per_s = self._rate(now)
        until = max(now + max(0.0, excess_s), self.declined_until + 1 / per_s)
        self.declined_until = min(until, now + MAX_RETRY_AFTER_S)
        self.reply(request.key, SlotReply(retry_after_s=self.declined_until - now))

    def wait_s(self, ahead: int, now: float) -> float:
        """Return the time until a slot is free after `ahead` others, seconds."""
        closed_s, per_s = self._rate(now)
        return closed_s + (ahead + 1) / per_s

    def _rate(self, now: float) -> tuple[float, float]:
        """Return the time until any server takes requests, and how many a second."""
        servers = self.servers.values()
        opens_at = min((s.paused_until for s in servers), default=now + MAX_PAUSE_S)
        closed_s = max(0.0, opens_at - now)
        per_s = sum(
            server.slots.slots / server.expected_s(now)
            for server in servers
            if server.paused_until <= now + closed_s
        )
        return closed_s, max(per_s, MIN_RATE)

    def _hold_s(self, now: float) -> float:
        """Return the mean time for which a slot is held, seconds."""
        slots = self.slots
        if not slots:
            return INITIAL_HOLD_S
        held = (s.slots.slots * s.expected_s(now) for s in self.servers.values())
        return sum(held) / slots
