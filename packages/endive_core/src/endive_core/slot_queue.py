"""Requests that wait for a slot of a pool of servers, in the order of service.

The order is by priority, then fair among organisations by the slots that each of them
has got, then by deadline. A burst of one organisation thus delays the others by one
request each, and not by the whole burst.
"""

import heapq
import itertools
import math
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

RATE_MEMORY_S = 0.5
"""Time over which the rate of requests is averaged, seconds: a few times for which one
may wait."""

MIN_RATE = 0.01
"""Requests a second below which an organisation counts as sending none."""

LeaseKey = tuple[str, int]
"""The node that asks for a lease, and the number that it gave the request."""


@dataclass(slots=True, eq=False)
class PoolRequest:
    """A request for a slot of any server of a pool.

    Attributes
    ----------
    key : tuple of (str, int)
        The node that asks, and its number for the request.
    priority : int
        0 is served first.
    organisation : str
        The organisation among whose requests it is counted.
    due : float
        When its response is late, clock time in seconds.
    lease_s : float
        Time after which the lease ends if it is not returned, seconds.
    avoid : frozenset of str
        Servers that it must not get.
    wait_until : float
        Latest time at which it is worth a slot, clock time in seconds; set by the pool.
    remind_at : float
        When its node is next told that it waits, clock time in seconds.
    """

    key: LeaseKey
    priority: int
    organisation: str
    due: float
    lease_s: float
    avoid: frozenset[str] = frozenset()
    wait_until: float = 0.0
    remind_at: float = 0.0


class ArrivalRate:
    """How many requests come in a second, the latest ones counting most."""

    def __init__(self) -> None:
        self.total = 0.0
        self.counted_at = float("-inf")

    def count(self, now: float) -> None:
        """Count a request."""
        self.total = self._total(now) + 1.0
        self.counted_at = now

    def per_s(self, now: float) -> float:
        """Return the requests a second."""
        return self._total(now) / RATE_MEMORY_S

    def _total(self, now: float) -> float:
        return self.total * math.exp((self.counted_at - now) / RATE_MEMORY_S)


class SlotQueue:
    """The queue of one pool.

    Attributes
    ----------
    requests : dict
        By key, the requests that wait.
    tags : dict of str to float
        By organisation, the virtual time at which its next request starts: it grows by
        one with each slot that the organisation gets.
    virtual_time : float
        Start tag of the request served last. An organisation that had no requests for
        a while starts there, so that idle time earns no credit.
    """

    def __init__(self) -> None:
        self.requests: dict[LeaseKey, PoolRequest] = {}
        self.tags: dict[str, float] = {}
        self.virtual_time = 0.0
        self.rates: dict[tuple[int, str], ArrivalRate] = {}

    def __len__(self) -> int:
        return len(self.requests)

    def push(self, request: PoolRequest, now: float) -> None:
        """Queue a request."""
        self.requests[request.key] = request
        source = (request.priority, request.organisation)
        if source not in self.rates:
            self._forget_rates(now)
            self.rates[source] = ArrivalRate()
        self.rates[source].count(now)

    def remove(self, key: LeaseKey) -> PoolRequest | None:
        """Remove a request; return it, or ``None`` if it does not wait."""
        return self.requests.pop(key, None)

    def pop_next(
        self, is_servable: Callable[[PoolRequest], bool]
    ) -> PoolRequest | None:
        """Remove and return the next request that can be served, if there is one."""
        servable = filter(is_servable, self.requests.values())
        found = min(servable, key=self._rank, default=None)
        if found is not None:
            del self.requests[found.key]
            self.served(found)
        return found

    def served(self, request: PoolRequest) -> None:
        """Count a slot that an organisation gets."""
        start = self._tag(request.organisation)
        self.virtual_time = max(self.virtual_time, start)
        self.tags[request.organisation] = start + 1.0
        if not self.requests:
            self._forget_past()

    def overtaking(self, request: PoolRequest, now: float) -> list[tuple[float, float]]:
        """Return the requests that will come later and be served before `request`.

        Those of higher priority are, and as many of each other organisation as
        `request` has before it of its own.

        Returns
        -------
        list of (float, float)
            For each organisation the requests a second, and how many of them at most.
        """
        own = sum(
            (r.priority, r.organisation) == (request.priority, request.organisation)
            for r in self.requests.values()
        )
        queued = Counter(
            r.organisation
            for r in self.requests.values()
            if r.priority == request.priority
        )
        start = self._tag(request.organisation)
        found = []
        for (priority, organisation), rate in self.rates.items():
            if priority < request.priority:
                found.append((rate.per_s(now), math.inf))
            elif priority == request.priority and organisation != request.organisation:
                ahead = start - self._tag(organisation) + own - queued[organisation]
                found.append((rate.per_s(now), max(0.0, ahead)))
        return found

    def ordered(self) -> list[PoolRequest]:
        """Return the requests in the order in which they will be served."""
        by_priority = defaultdict(list)
        for request in self.requests.values():
            by_priority[request.priority].append(request)
        return list(
            itertools.chain.from_iterable(
                self._fair_order(by_priority[priority])
                for priority in sorted(by_priority)
            )
        )

    def _fair_order(self, requests: Iterable[PoolRequest]) -> Iterable[PoolRequest]:
        """Yield requests of one priority in order, organisations taking turns."""
        by_organisation = defaultdict(list)
        for request in requests:
            by_organisation[request.organisation].append(request)
        heap = []
        for number, (organisation, waiting) in enumerate(by_organisation.items()):
            waiting = deque(sorted(waiting, key=lambda request: request.due))
            due = waiting[0].due
            heap.append((self._tag(organisation), due, number, waiting))
        heapq.heapify(heap)
        while heap:
            tag, _, number, waiting = heapq.heappop(heap)
            yield waiting.popleft()
            if waiting:
                heapq.heappush(heap, (tag + 1.0, waiting[0].due, number, waiting))

    def _rank(self, request: PoolRequest) -> tuple[int, float, float]:
        return (request.priority, self._tag(request.organisation), request.due)

    def _tag(self, organisation: str) -> float:
        return max(self.virtual_time, self.tags.get(organisation, 0.0))

    def _forget_past(self) -> None:
        """Forget the organisations that have no service to make up for."""
        self.tags = {o: tag for o, tag in self.tags.items() if tag > self.virtual_time}

    def _forget_rates(self, now: float) -> None:
        """Forget the rates of organisations that send nothing."""
        self.rates = {s: r for s, r in self.rates.items() if r.per_s(now) > MIN_RATE}
