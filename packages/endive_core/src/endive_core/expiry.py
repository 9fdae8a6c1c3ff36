"""Queued calls that are given up: no server takes them, or none could in time.

The load this is for: a service loses its last server, or its queue moves slower than
was predicted. A caller is told at once that its request was not run, and may go
elsewhere, instead of finding that out when its own time is over.
"""

from collections import Counter

from endive_core.admission import Admission
from endive_core.calls import Refusal, Ticket
from endive_core.exceptions import ErrorKind
from endive_core.policy import Policy
from endive_core.queueing import FairQueue
from endive_core.servers import ServerSet


class Expiry:
    """Takes calls out of the queue and keeps them until the node tells their callers.

    Attributes
    ----------
    refusals : Counter of ErrorKind
        The scheduler's count of refusals, to which each given up call is added.
    no_server_since : float or None
        Clock time, seconds, since which no server has taken work.
    """

    def __init__(
        self,
        policy: Policy,
        servers: ServerSet,
        queue: FairQueue,
        admission: Admission,
        refusals: Counter[ErrorKind],
    ) -> None:
        self.policy = policy
        self.servers = servers
        self.queue = queue
        self.admission = admission
        self.refusals = refusals
        self.expired: list[Ticket] = []
        self.no_server_since: float | None = None

    def expire(
        self,
        ticket: Ticket,
        kind: ErrorKind,
        message: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Give up one queued call; see :meth:`Refusal.from_kind`."""
        self.queue.cancel(ticket)
        self.admission.end(ticket)
        ticket.refusal = Refusal.from_kind(kind, message, retry_after_s)
        self.refusals[kind] += 1
        self.expired.append(ticket)

    def expire_past_deadline(self, ticket: Ticket) -> None:
        """Give up one queued call whose deadline has passed."""
        self.expire(
            ticket,
            ErrorKind.DEADLINE_EXCEEDED,
            "the deadline passed before a server was free",
        )

    def expire_late(self, ticket: Ticket, late_s: float) -> None:
        """Give up one that the best server could begin only so long after its deadline.

        It may come back when it could be begun in time.
        """
        least, most = self.policy.min_retry_after_s, self.policy.max_retry_after_s
        self.expire(
            ticket,
            ErrorKind.DEADLINE_EXCEEDED,
            "no server can begin before the deadline",
            retry_after_s=min(most, max(least, late_s)),
        )

    def expire_all(self, message: str) -> None:
        """Give up all that is queued, since there is no server for it."""
        for ticket in self.queue.tickets():
            self.expire(ticket, ErrorKind.NO_SERVER, message)

    def expire_without_servers(self, now: float) -> None:
        """Give up what is queued when no server has taken work for a while.

        Servers may be replaced within seconds of a reclaim; after that a caller is
        better told that its request was not run than left waiting.
        """
        if self.servers.accepting:
            self.no_server_since = None
            return
        if self.no_server_since is None:
            self.no_server_since = now
        if now - self.no_server_since >= self.policy.no_server_wait_s:
            self.expire_all("no server takes work")

    def take(self) -> list[Ticket]:
        """Return what was given up since the last call."""
        expired, self.expired = self.expired, []
        return expired
