"""Counts and logs requests that are sent to further copies of their prompt parts."""

from endive_core.calls import Ticket
from endive_node.logs import log_event


class PartCopying:
    """Requests sent to servers that hold further copies, see ``part_copies``.

    Attributes
    ----------
    requests : int
        Requests sent to such a server.
    """

    def __init__(self) -> None:
        self.requests = 0

    def sent(self, ticket: Ticket) -> None:
        """Count and log a request if it is sent to a further copy."""
        if not ticket.at_further_copy:
            return
        self.requests += 1
        log_event(
            "part_copy",
            request=ticket.call.request_id,
            server=ticket.server,
            uncached_tokens=round(ticket.uncached_tokens),
        )
