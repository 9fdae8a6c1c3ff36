"""Expiry of queued calls that no server accepts, or none can start in time.

A service may lose its last server, or its queue may drain slower than predicted. The
caller then learns at once that its request did not run and may go elsewhere, instead of
finding out when its own deadline has passed.
"""

import math
from collections import Counter

from endive_core.admission import NO_SERVER_OF_VERSION, Admission
from endive_core.calls import Refusal, Ticket
from endive_core.exceptions import ErrorKind
from endive_core.policy import Policy
from endive_core.queueing import FairQueue
from endive_core.resting import Resting
from endive_core.servers import ServerSet
from endive_core.throttling import Throttling


class Expiry:
    """Removes calls from the queue and keeps them until the node answers their callers.

    Attributes
    ----------
    refusals : Counter of ErrorKind
        The scheduler's count of refusals, to which each expired call is added.
    no_server_since : float or None
        Clock time in seconds since which no server has accepted work.
    """

    def __init__(
        self,
        policy: Policy,
        servers: ServerSet,
        queue: FairQueue,
        admission: Admission,
        refusals: Counter[ErrorKind],
        throttling: Throttling,
        resting: Resting,
    ) -> None:
        self.resting = resting
        self.policy = policy
        self.servers = servers
        self.queue = queue
        self.admission = admission
        self.refusals = refusals
        self.throttling = throttling
        self.expired: list[Ticket] = []
        self.no_server_since: float | None = None

    def expire(
        self,
        ticket: Ticket,
        kind: ErrorKind,
        message: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Expire one queued call; for the arguments see :meth:`Refusal.from_kind`."""
        self.queue.cancel(ticket)
        self.admission.end(ticket)
        ticket.refusal = Refusal.from_kind(kind, message, retry_after_s)
        self.refusals[kind] += 1
        self.expired.append(ticket)

    def expire_past_deadline(self, ticket: Ticket) -> None:
        """Expire one queued call whose deadline has passed."""
        self.expire(
            ticket,
            ErrorKind.DEADLINE_EXCEEDED,
            "the deadline passed before a server was free",
        )

    def expire_poison(self, ticket: Ticket) -> None:
        """Expire one queued call that has crashed servers since it was admitted."""
        self.expire(
            ticket,
            ErrorKind.POISON_REQUEST,
            "servers crashed while running this request",
        )

    def expire_crashing_part(self, ticket: Ticket) -> None:
        """Expire one queued call with a part on which servers crash."""
        refusal = self.admission.trials.refusal(self.policy)
        self.expire(ticket, refusal.kind, refusal.message, refusal.retry_after_s)

    def expire_late(self, ticket: Ticket, late_s: float) -> None:
        """Expire one queued call that no server can begin before its deadline.

        Parameters
        ----------
        late_s : float
            Time by which the best server would begin it after its deadline, seconds.
            The caller is told to retry after that time, within the policy's bounds.
        """
        least, most = self.policy.min_retry_after_s, self.policy.max_retry_after_s
        self.expire(
            ticket,
            ErrorKind.DEADLINE_EXCEEDED,
            "no server can begin before the deadline",
            retry_after_s=min(most, max(least, late_s)),
        )

    def expire_all(self, message: str) -> None:
        """Expire all queued calls as ``no_server``."""
        for ticket in self.queue.tickets():
            self.expire(ticket, ErrorKind.NO_SERVER, message)

    def expire_without_servers(self, now: float) -> None:
        """Expire all queued calls if no server has accepted work for a while.

        Servers may be replaced within seconds of a reclaim. After that it is better to
        tell a caller that its request did not run than to let it wait.
        """
        if self.servers.accepting:
            self.no_server_since = None
            return
        if self.no_server_since is None:
            self.no_server_since = now
        if now - self.no_server_since >= self.policy.no_server_wait_s:
            self.expire_all("no server takes work")

    def expire_without_version(self) -> None:
        """Expire the queued streams whose software version has no server any more."""
        for version in self.queue.bound.versions():
            if version in self.servers.versions:
                continue
            for ticket in self.queue.bound.tickets():
                if ticket.version == version:
                    self.expire(
                        ticket, ErrorKind.STREAM_NOT_RESUMABLE, NO_SERVER_OF_VERSION
                    )

    def expire_throttled(self, now: float) -> None:
        """Expire the queued calls that servers' limits keep beyond their deadlines."""
        places = self.throttling.places(now) if len(self.queue) else None
        if places is None:
            return
        for ahead, ticket in enumerate(self.queue.tickets()):
            wait_s = places.wait_s(ahead)
            deadline = ticket.call.deadline
            if wait_s == math.inf or (deadline is not None and now + wait_s > deadline):
                refusal = self.admission.throttled_refusal(wait_s)
                self.expire(
                    ticket, refusal.kind, refusal.message, refusal.retry_after_s
                )

    def expire_resting(self, now: float) -> None:
        """Expire the queued calls whose deadlines pass before a server's rest does."""
        wait_s = self.resting.wait_s(now) if len(self.queue) else 0.0
        if not wait_s:
            return
        for ticket in self.queue.tickets():
            ticket.waited_for_rest = True
            deadline = ticket.call.deadline
            if deadline is not None and now + wait_s > deadline:
                refusal = self.admission.resting_refusal(ticket.call, wait_s, now)
                self.expire(
                    ticket, refusal.kind, refusal.message, refusal.retry_after_s
                )

    def take(self) -> list[Ticket]:
        """Return the tickets expired since the last call."""
        expired, self.expired = self.expired, []
        return expired
