"""Queueing: by priority, and within a priority fair among organisations by tokens.

If one organisation sends a batch of thousands of calls at once, a first-come,
first-served queue puts every later call behind the whole batch. Start-time fair
queueing gives each organisation its share of tokens: a call of an organisation with
nothing queued goes next, however much another has queued.
"""

import heapq
from collections import deque
from collections.abc import Iterator
from itertools import islice

from endive_core.bound_queue import BoundQueue
from endive_core.calls import Stage, Ticket
from endive_core.queued_tokens import QueuedTokens

MAX_HELD_HEADS = 64
"""Held tickets that are tried for a free slot, at most."""


class OrganisationQueue:
    """The queued tickets of one organisation at one priority, oldest first."""

    __slots__ = ("debt", "in_heap", "organisation", "queued", "share", "tag", "tickets")

    def __init__(self, organisation: str, share: float) -> None:
        self.organisation = organisation
        self.share = share
        self.tag = 0.0
        self.debt = 0.0
        self.in_heap = False
        self.tickets: deque[Ticket] = deque()
        self.queued = QueuedTokens()

    def charge(self, tokens: float) -> None:
        """Advance the start tag by `tokens` and by the debt of earlier estimates.

        Called only while the queue is in no heap under its old tag.
        """
        self.tag += tokens / self.share + self.debt
        self.debt = 0.0

    def skip_ended(self) -> None:
        """Drop tickets at the head that were cancelled while they were queued."""
        while self.tickets and self.tickets[0].stage is Stage.ENDED:
            self.tickets.popleft()


class RankQueue:
    """All organisations' queues of one priority.

    ``virtual_time`` is the start tag of the ticket dequeued last, in tokens divided by
    share. An organisation that was idle starts there, so idle time earns no credit.
    """

    def __init__(self) -> None:
        self.queues: dict[str, OrganisationQueue] = {}
        self.heap: list[tuple[float, str]] = []
        self.virtual_time = 0.0
        self.queued = QueuedTokens()

    def queue_of(self, organisation: str, share: float) -> OrganisationQueue:
        """Return the organisation's queue, made on first use."""
        queue = self.queues.get(organisation)
        if queue is None:
            queue = self.queues[organisation] = OrganisationQueue(organisation, share)
        queue.share = share
        return queue

    def push(self, ticket: Ticket, share: float, *, front: bool) -> None:
        """Queue `ticket`; at its organisation's head if `front`."""
        queue = self.queue_of(ticket.call.organisation, share)
        if not queue.in_heap:
            queue.charge(0.0)
            queue.tag = max(queue.tag, self.virtual_time)
            queue.in_heap = True
            heapq.heappush(self.heap, (queue.tag, queue.organisation))
        if front:
            queue.tickets.appendleft(ticket)
        else:
            queue.tickets.append(ticket)
        queue.queued.add(ticket)
        self.queued.add(ticket)

    def heads(self, limit: int) -> Iterator[Ticket]:
        """Yield the head tickets of up to `limit` organisations, lowest tag first."""
        self._drop_empty()
        if not self.heap:
            return
        yield self.queues[self.heap[0][1]].tickets[0]
        if limit == 1 or len(self.heap) == 1:
            return
        for _, organisation in heapq.nsmallest(limit, self.heap)[1:]:
            queue = self.queues[organisation]
            queue.skip_ended()
            if queue.tickets:
                yield queue.tickets[0]

    def _drop_empty(self) -> None:
        while self.heap:
            queue = self.queues[self.heap[0][1]]
            queue.skip_ended()
            if queue.tickets:
                return
            self._remove_from_heap(queue)

    def pop(self, ticket: Ticket) -> None:
        """Remove `ticket`, which is the head of its organisation's queue."""
        queue = self.queues[ticket.call.organisation]
        queue.tickets.popleft()
        self.subtract_tokens(ticket)
        self.virtual_time = max(self.virtual_time, queue.tag)
        self._remove_from_heap(queue)
        queue.charge(ticket.cost)
        queue.skip_ended()
        if queue.tickets:
            queue.in_heap = True
            heapq.heappush(self.heap, (queue.tag, queue.organisation))

    def _remove_from_heap(self, queue: OrganisationQueue) -> None:
        queue.in_heap = False
        entry = (queue.tag, queue.organisation)
        if self.heap[0] == entry:
            heapq.heappop(self.heap)
        else:
            self.heap.remove(entry)
            heapq.heapify(self.heap)

    def subtract_tokens(self, ticket: Ticket) -> None:
        """Subtract the tokens of a ticket that leaves the queue from the totals."""
        self.queues[ticket.call.organisation].queued.subtract(ticket)
        self.queued.subtract(ticket)

    def tokens_ahead(self, organisation: str, share: float) -> float:
        """Return the queued tokens served before a new ticket of `organisation`."""
        queue = self.queue_of(organisation, share)
        ahead = queue.queued.total
        start = max(queue.tag, self.virtual_time) + ahead / share
        for _, name in self.heap:
            other = self.queues[name]
            if other is not queue:
                earlier = max(0.0, start - other.tag) * other.share
                ahead += min(other.queued.total, earlier)
        return ahead


class FairQueue:
    """The node's queue for one service.

    Callers experience it as the wait before their request is sent. Admission predicts
    that wait from :meth:`tokens_ahead`.

    Attributes
    ----------
    bound : BoundQueue
        Streams that go on at one software version.
    held : dict of Ticket to None
        Tickets that wait for the outcome of others, the oldest first. They wait apart,
        so that they hold up nothing behind them.
    """

    def __init__(self, shares: dict[str, float] | None = None) -> None:
        self.shares = shares or {}
        self.ranks: dict[int, RankQueue] = {}
        self.bound = BoundQueue()
        self.held: dict[Ticket, None] = {}
        self.order: list[int] = []
        self.length = 0

    def __len__(self) -> int:
        return self.length

    def share(self, organisation: str) -> float:
        """Return the declared share of `organisation`."""
        return self.shares.get(organisation, 1.0)

    def push(self, ticket: Ticket, *, front: bool = False) -> None:
        """Queue `ticket`."""
        self.length += 1
        if ticket.version is not None:
            self.bound.push(ticket)
            return
        rank = self._rank(ticket.call.rank)
        rank.push(ticket, self.share(ticket.call.organisation), front=front)

    def _rank(self, rank: int) -> RankQueue:
        if rank not in self.ranks:
            self.ranks[rank] = RankQueue()
            self.order = sorted(self.ranks, reverse=True)
        return self.ranks[rank]

    def heads(self, limit: int) -> Iterator[Ticket]:
        """Yield the tickets that may go next, best first, `limit` per priority."""
        yield from list(islice(self.held, MAX_HELD_HEADS))
        yield from self.bound.heads(limit)
        for rank in self.order:
            yield from self.ranks[rank].heads(limit)

    def tickets(self) -> list[Ticket]:
        """Return all queued tickets."""
        free = [
            ticket
            for rank in self.ranks.values()
            for queue in rank.queues.values()
            for ticket in queue.tickets
            if ticket.stage is Stage.QUEUED
        ]
        return [*self.held, *self.bound.tickets(), *free]

    def hold(self, ticket: Ticket) -> None:
        """Let a ticket returned by :meth:`heads` wait apart from the others."""
        if ticket not in self.held:
            self.pop(ticket)
            self.held[ticket] = None
            self.length += 1

    def pop(self, ticket: Ticket) -> None:
        """Remove a ticket returned by :meth:`heads`."""
        self.length -= 1
        if ticket in self.held:
            del self.held[ticket]
        elif ticket.version is not None:
            self.bound.pop(ticket)
        else:
            self.ranks[ticket.call.rank].pop(ticket)

    def cancel(self, ticket: Ticket) -> None:
        """Uncount a queued ticket; the calling code marks it as ended."""
        self.length -= 1
        if ticket in self.held:
            del self.held[ticket]
        elif ticket.version is not None:
            self.bound.subtract(ticket)
        else:
            self.ranks[ticket.call.rank].subtract_tokens(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Remove a queued ticket that goes to another queue."""
        is_held = ticket in self.held
        self.cancel(ticket)
        if ticket.version is None and not is_held:
            queues = self.ranks[ticket.call.rank].queues
            queues[ticket.call.organisation].tickets.remove(ticket)

    def settle(self, ticket: Ticket, tokens: float) -> None:
        """Replace the estimated cost of an ended ticket by its actual `tokens`."""
        organisation = ticket.call.organisation
        queue = self._rank(ticket.call.rank).queue_of(
            organisation, self.share(organisation)
        )
        queue.debt += (tokens - ticket.cost) / queue.share

    def tokens_ahead(
        self, rank: int, organisation: str, version: str | None = None
    ) -> float:
        """Return the queued tokens served before a new ticket.

        Parameters
        ----------
        version : str or None
            The software version that it is bound to.
        """
        if version is not None:
            return self.bound.tokens(version)
        ahead = sum(
            self.ranks[other].queued.total for other in self.order if other > rank
        )
        if rank in self.ranks:
            ahead += self.ranks[rank].tokens_ahead(
                organisation, self.share(organisation)
            )
        return ahead
