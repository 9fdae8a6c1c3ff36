"""Sums of the costs of queued tickets."""

from endive_core.calls import Ticket


class QueuedTokens:
    """Total cost of the queued tickets, in tokens.

    Costs are fractions, and a sum from which all of them have been subtracted is not
    always 0. It is reset when no ticket is left, since an empty queue holds up nobody.
    """

    __slots__ = ("tickets", "total")

    def __init__(self) -> None:
        self.tickets = 0
        self.total = 0.0

    def add(self, ticket: Ticket) -> None:
        """Count a ticket that is queued."""
        self.tickets += 1
        self.total += ticket.cost

    def subtract(self, ticket: Ticket) -> None:
        """Uncount a ticket that leaves the queue."""
        self.tickets -= 1
        self.total = self.total - ticket.cost if self.tickets else 0.0
