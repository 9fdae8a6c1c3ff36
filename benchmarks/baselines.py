"""Baseline schedulers for the load model: common strategies to compare with."""

from collections import deque
from random import Random

from endive_core.calls import Call, Dispatch, Retry, Stage, Ticket
from endive_core.exceptions import RetryReason
from endive_core.hashing import rendezvous_choice
from endive_core.messages import ServerView
from endive_core.stream_moves import StreamMove

RETRY_DELAY_S = 0.05
"""Delay before a failed ticket is queued again, seconds."""

AFFINITY_BLOCKS = 8
"""Number of leading prompt blocks, of 128 tokens in all, that select the server."""


class Baseline:
    """A first-in, first-out queue that admits every call.

    :meth:`pick` selects the server; subclasses implement it.
    """

    def __init__(self, views: list[ServerView], random: Random) -> None:
        self.views = {view.id: view for view in views}
        self.usable = list(self.views)
        self.random = random
        self.queue: deque[Ticket] = deque()

    def pick(self, call: Call) -> str | None:
        """Return the server for `call`, or ``None`` to keep it queued."""
        raise NotImplementedError

    def offer(self, call: Call, now: float) -> Ticket:
        """Admit and queue the call."""
        ticket = Ticket(call, now, float(call.tokens))
        self.queue.append(ticket)
        return ticket

    def next_dispatch(self, now: float) -> Dispatch | None:
        """Dispatch the oldest ticket if :meth:`pick` returns a server."""
        if not self.queue or not self.usable:
            return None
        server = self.pick(self.queue[0].call)
        if server is None:
            return None
        ticket = self.queue.popleft()
        ticket.server, ticket.stage = server, Stage.DISPATCHED
        self.views[server].in_flight += 1
        return Dispatch(ticket, server)

    def started(self, ticket: Ticket, now: float) -> None:
        """Ignore the first token."""

    def finished(self, ticket: Ticket, now: float, *, tokens: int) -> None:
        """Update the server's requests in flight."""
        self.views[ticket.server].in_flight -= 1
        ticket.server = ""

    def failed(self, ticket: Ticket, now: float, reason: RetryReason, **how) -> Retry:
        """Return a retry in all cases; stop using a server that failed."""
        if reason is not RetryReason.SERVER_BUSY:
            self.leaving(ticket.server)
        self.finished(ticket, now, tokens=0)
        return Retry(RETRY_DELAY_S)

    def requeue(self, ticket: Ticket) -> None:
        """Queue the ticket at the head."""
        self.queue.appendleft(ticket)

    def moved(self, ticket: Ticket, now: float, *, tokens: int) -> None:
        """Queue a stopped stream at the head."""
        self.finished(ticket, now, tokens=tokens)
        self.requeue(ticket)

    def report(
        self, server_id: str, running: int, waiting: int, *, as_of: float
    ) -> None:
        """Store the server's load report."""
        view = self.views[server_id]
        view.reported_running, view.reported_waiting = running, waiting

    def cache_event(
        self, server_id: str, seq: int, *, stored: bool, blocks: list[int]
    ) -> None:
        """Ignore cache events."""

    def leaving(self, server_id: str) -> None:
        """Stop using the server for new work."""
        if server_id in self.usable:
            self.usable.remove(server_id)

    def plan_moves(self, server_id: str, *, seconds_left: float) -> list[StreamMove]:
        """Plan no moves: streams break when the server is reclaimed."""
        return []


class RoundRobin(Baseline):
    """Round robin over the usable servers."""

    next_index = 0

    def pick(self, call: Call) -> str:
        """Return the next server."""
        self.next_index += 1
        return self.usable[self.next_index % len(self.usable)]


class LeastReported(Baseline):
    """The server whose last report shows the least load."""

    def pick(self, call: Call) -> str:
        """Return the server with the least reported load."""
        return min(self.usable, key=lambda name: self._load(name))

    def _load(self, name: str) -> int:
        view = self.views[name]
        return view.reported_running + view.reported_waiting


class UnboundedAffinity(Baseline):
    """Prefix affinity without a load bound."""

    def pick(self, call: Call) -> str:
        """Return the server that the leading blocks hash to."""
        depth = min(len(call.blocks), AFFINITY_BLOCKS)
        return rendezvous_choice(str(call.blocks[depth - 1]), self.usable)


class FirstComeFirstServed(Baseline):
    """A queue in order of arrival, without admission control and priorities.

    It uses only this node's share of each server's slots, as the scheduler does, so
    that only order and admission differ.
    """

    nodes = 1

    def pick(self, call: Call) -> str | None:
        """Return the least loaded server if this node's share of it has a free slot."""
        name = min(self.usable, key=lambda name: self.views[name].in_flight)
        view = self.views[name]
        if view.in_flight < -(-view.max_concurrent // self.nodes):
            return name
        return None
