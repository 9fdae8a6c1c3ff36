"""Queueing of streams that can only go on at servers of one software version.

Such a stream can't take the slot that is free next, only one of its version. It
therefore waits apart from the other calls, so that it holds up none of them, and goes
first once a server of its version has room: its caller has had a part of its answer.
"""

import heapq
from collections.abc import Iterator
from itertools import count

from endive_core.calls import Stage, Ticket
from endive_core.queued_tokens import QueuedTokens

Entry = tuple[int, float, int, Ticket]


class BoundQueue:
    """Queued tickets by software version; by priority, then by age.

    Attributes
    ----------
    queued : dict of str to QueuedTokens
        Cost of the queued tickets of each version.
    """

    def __init__(self) -> None:
        self.entries: dict[str, list[Entry]] = {}
        self.queued: dict[str, QueuedTokens] = {}
        self.numbers = count()

    def push(self, ticket: Ticket) -> None:
        """Queue `ticket`, which has a version."""
        entry = (-ticket.call.rank, ticket.accepted_at, next(self.numbers), ticket)
        heapq.heappush(self.entries.setdefault(ticket.version, []), entry)
        self.queued.setdefault(ticket.version, QueuedTokens()).add(ticket)

    def heads(self, limit: int) -> Iterator[Ticket]:
        """Yield up to `limit` tickets of each version that may go next, best first."""
        for version in list(self.entries):
            entries = self.entries[version]
            while entries and entries[0][3].stage is Stage.ENDED:
                heapq.heappop(entries)
            if not entries:
                del self.entries[version], self.queued[version]
                continue
            for _, _, _, ticket in heapq.nsmallest(limit, entries):
                if ticket.stage is Stage.QUEUED:
                    yield ticket

    def tickets(self) -> list[Ticket]:
        """Return all queued tickets."""
        return [
            ticket
            for entries in self.entries.values()
            for _, _, _, ticket in entries
            if ticket.stage is Stage.QUEUED
        ]

    def versions(self) -> list[str]:
        """Return the versions that queued tickets wait for."""
        return [version for version, queued in self.queued.items() if queued.tickets]

    def pop(self, ticket: Ticket) -> None:
        """Remove a ticket returned by :meth:`heads`."""
        entries = self.entries[ticket.version]
        entries[:] = [entry for entry in entries if entry[3] is not ticket]
        heapq.heapify(entries)
        self.subtract(ticket)

    def subtract(self, ticket: Ticket) -> None:
        """Uncount a ticket that leaves the queue."""
        self.queued[ticket.version].subtract(ticket)

    def tokens(self, version: str) -> float:
        """Return the cost of the tickets that wait for `version`, tokens."""
        queued = self.queued.get(version)
        return queued.total if queued is not None else 0.0
