"""Leases of a server's slots, by which all nodes together never overfill it.

Servers may state that they are brittle: one that must reject more than a few requests
a second for lack of room fails. A node's view of a server's load is a part of a second
old, and among hundreds of nodes each would have a request rejected before it notices
that the server is full.

While a service's servers are brittle, each of them therefore has a coordinator among
the nodes. A node leases a slot from it before it sends a request, and returns the lease
after the response. The coordinator counts, and declines at once what it can't lease
soon.
"""

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from endive_core.slot_queue import LeaseKey

INITIAL_HOLD_S = 0.1
"""Assumed time for which a slot is held, seconds, until leases have ended."""

HOLD_WEIGHT = 0.1
"""Weight of the latest lease in the mean time for which slots are held."""

UNLEASED_MEMORY_S = 1.0
"""Time for which requests without a lease are taken into account, seconds."""

TAKEOVER_S = 0.25
"""Time for which half of a server's slots count as taken after a change of coordinator,
seconds. The requests that another coordinator let through have mostly ended by then."""

RETURN_DELAY_S = 0.02
"""Time for which a request whose lease was returned may still be part of the load that
its server states, seconds."""


@dataclass(order=True, slots=True)
class LeaseRequest:
    """A request for a lease, as it waits at the coordinator.

    Attributes
    ----------
    rank : tuple of (int, int)
        Its priority, 0 the highest, and its place among those of the same priority.
    key : tuple of (str, int)
        The node that asks, and its number for the request.
    wait_until : float
        When it is declined, clock time in seconds.
    lease_s : float
        Time after which the lease ends if it is not returned, seconds.
    """

    rank: tuple[int, int]
    key: LeaseKey = field(compare=False)
    wait_until: float = field(compare=False)
    lease_s: float = field(compare=False)


@dataclass(slots=True)
class Lease:
    """A leased slot: since when, and when it ends if it is not returned.

    Attributes
    ----------
    crowding : float
        Requests that hold leases of its server's slots, over slots, 1 or more: beyond
        1 it waits there for a slot.
    """

    granted_at: float
    ends_at: float
    crowding: float = 1.0


class ServerSlots:
    """The slots of one server, as its coordinator counts them.

    Parameters
    ----------
    reply : callable
        Called with a request's key and whether the lease is granted.

    Attributes
    ----------
    slots : int
        Requests that may be at the server at once.
    leases : dict
        By request, the leases that have not been returned.
    queue : list of LeaseRequest
        Requests that wait for a slot, as a heap.
    returned_at : deque of float
        When the latest leases were returned.
    unleased : int
        Most requests without a lease that the server's load has lately shown: those
        that were sent before it was brittle, or under another coordinator.
    hold_s : float
        Mean time for which a slot is held, seconds.
    peak_memory_s : float
        Time for which the most requests without a lease count, seconds; 0 if the
        latest load alone does.
    """

    def __init__(
        self,
        slots: int,
        reply: Callable[[LeaseKey, bool], None],
        *,
        peak_memory_s: float = UNLEASED_MEMORY_S,
    ) -> None:
        self.slots = slots
        self.reply = reply
        self.peak_memory_s = peak_memory_s
        self.leases: dict[LeaseKey, Lease] = {}
        self.queue: list[LeaseRequest] = []
        self.numbers = itertools.count()
        self.returned_at: deque[float] = deque(maxlen=max(1, slots))
        self.unleased = 0
        self.unleased_at = float("-inf")
        self.hold_s = INITIAL_HOLD_S

    @property
    def is_idle(self) -> bool:
        """Whether it may be forgotten."""
        return not self.leases and not self.queue

    def request(
        self, key: LeaseKey, priority: int, wait_s: float, lease_s: float, now: float
    ) -> None:
        """Grant a slot now or within `wait_s` seconds, or decline at once."""
        if self._expected_wait_s(priority, now) > wait_s:
            self.reply(key, False)
            return
        rank = (priority, next(self.numbers))
        request = LeaseRequest(rank, key, now + wait_s, lease_s)
        heapq.heappush(self.queue, request)
        self.update(now)

    def release(self, key: LeaseKey, now: float) -> None:
        """Take a lease back."""
        lease = self.leases.pop(key, None)
        if lease is not None:
            self.returned_at.append(now)
            held_s = now - lease.granted_at
            self.hold_s += HOLD_WEIGHT * (held_s - self.hold_s)
        self.update(now)

    def report(self, load: int, now: float) -> None:
        """Learn from a server's load how many requests it has that hold no lease.

        Parameters
        ----------
        load : int
            Requests at the server, running and waiting.
        """
        returned = sum(now - at < RETURN_DELAY_S for at in self.returned_at)
        unleased = max(0, load - len(self.leases) - returned)
        if unleased >= self.unleased or now - self.unleased_at >= self.peak_memory_s:
            self.unleased, self.unleased_at = unleased, now

    def take_over(self, now: float) -> None:
        """Assume for a short time that another coordinator has leased half the slots.

        The nodes that have just lost their coordinator all ask at the same moment.
        """
        self._assume_unleased(self.slots // 2, now)

    def _assume_unleased(self, requests: int, now: float) -> None:
        """Count requests as being at the server without a lease for a short time."""
        if requests > self.unleased or now - self.unleased_at > UNLEASED_MEMORY_S:
            self.unleased = requests
            self.unleased_at = now - UNLEASED_MEMORY_S + TAKEOVER_S

    def withdraw(self, live_nodes: Collection[str], now: float) -> None:
        """Take back the leases of nodes that are gone.

        Several nodes that go at once have probably lost contact with this one. Their
        requests still run then, and they ask another coordinator for the same slots.
        """
        gone = [key for key in self.leases if key[0] not in live_nodes]
        for key in gone:
            del self.leases[key]
        if len({node for node, _ in gone}) > 1:
            self._assume_unleased(len(gone), now)
        self.update(now)

    def update(self, now: float) -> None:
        """End leases that were not returned; serve and decline those that wait."""
        for key in [key for key, lease in self.leases.items() if lease.ends_at <= now]:
            del self.leases[key]
        while self.queue and self.free(now) > 0:
            request = heapq.heappop(self.queue)
            is_in_time = request.wait_until >= now
            if is_in_time:
                self.leases[request.key] = Lease(now, now + request.lease_s)
            self.reply(request.key, is_in_time)
        late = [request for request in self.queue if request.wait_until < now]
        if late:
            self.queue = [r for r in self.queue if r.wait_until >= now]
            heapq.heapify(self.queue)
            for request in late:
                self.reply(request.key, False)

    def free(self, now: float) -> int:
        """Return how many slots may be leased now.

        Half of them may be leased in any case: nodes that have lost contact with each
        other have two coordinators for a server.
        """
        slots = self.slots
        if now - self.unleased_at < UNLEASED_MEMORY_S:
            slots = max((slots + 1) // 2, slots - self.unleased)
        return slots - len(self.leases)

    def _expected_wait_s(self, priority: int, now: float) -> float:
        """Return the time until a slot is free for a further request, seconds."""
        ahead = sum(request.rank[0] <= priority for request in self.queue)
        places = self.free(now) - ahead
        if places > 0:
            return 0.0
        return (1 - places) * self.hold_s / max(1, self.slots)
