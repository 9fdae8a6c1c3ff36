"""Baselines in the same harness: the usual ways, without the scheduler's parts."""

from collections import deque
from random import Random

from endive_core.calls import Call, Dispatch, Retry, Stage, Ticket
from endive_core.exceptions import RetryReason
from endive_core.hashing import rendezvous_choice
from endive_core.messages import ServerView
from endive_core.stream_moves import StreamMove

RETRY_S = 0.05

AFFINITY_BLOCKS = 8
"""Leading blocks that choose the server, 128 tokens."""


class Baseline:
    """First in, first out, everything admitted, sent on at once by :meth:`pick`."""

    def __init__(self, views: list[ServerView], random: Random) -> None:
        self.views = {view.id: view for view in views}
        self.usable = list(self.views)
        self.random = random
        self.queue: deque[Ticket] = deque()

    def pick(self, call: Call) -> str | None:
        """Return the server for `call`, or ``None`` to keep it queued."""
        raise NotImplementedError

    def offer(self, call: Call, now: float) -> Ticket:
        """Admit everything."""
        ticket = Ticket(call, now, float(call.tokens))
        self.queue.append(ticket)
        return ticket

    def next_dispatch(self, now: float) -> Dispatch | None:
        """Send the oldest ticket on."""
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
        """Take no notice."""

    def finished(self, ticket: Ticket, now: float, *, tokens: int) -> None:
        """Count the end."""
        self.views[ticket.server].in_flight -= 1
        ticket.server = ""

    def failed(self, ticket: Ticket, now: float, reason: RetryReason, **how) -> Retry:
        """Send it again, always; drop a dead server."""
        if reason is not RetryReason.SERVER_BUSY:
            self.leaving(ticket.server)
        self.finished(ticket, now, tokens=0)
        return Retry(RETRY_S)

    def requeue(self, ticket: Ticket) -> None:
        """Queue it at the head."""
        self.queue.appendleft(ticket)

    def moved(self, ticket: Ticket, now: float, *, tokens: int) -> None:
        """Queue it at the head."""
        self.finished(ticket, now, tokens=tokens)
        self.requeue(ticket)

    def report(
        self, server_id: str, running: int, waiting: int, *, as_of: float
    ) -> None:
        """Keep the report."""
        view = self.views[server_id]
        view.reported_running, view.reported_waiting = running, waiting

    def cache_event(
        self, server_id: str, seq: int, *, stored: bool, blocks: list[int]
    ) -> None:
        """Take no notice."""

    def leaving(self, server_id: str) -> None:
        """Give the server no new work."""
        if server_id in self.usable:
            self.usable.remove(server_id)

    def plan_moves(self, server_id: str, *, seconds_left: float) -> list[StreamMove]:
        """Move nothing: streams break when the server goes."""
        return []


class RoundRobin(Baseline):
    """Each server in turn."""

    turn = 0

    def pick(self, call: Call) -> str:
        """Return the next server."""
        self.turn += 1
        return self.usable[self.turn % len(self.usable)]


class LeastReported(Baseline):
    """The server with the least load in its last report."""

    def pick(self, call: Call) -> str:
        """Return the server with the least reported load."""
        return min(self.usable, key=lambda name: self._load(name))

    def _load(self, name: str) -> int:
        view = self.views[name]
        return view.reported_running + view.reported_waiting


class UnboundedAffinity(Baseline):
    """The prefix's server, however full."""

    def pick(self, call: Call) -> str:
        """Return the server that the prefix hashes to."""
        depth = min(len(call.blocks), AFFINITY_BLOCKS)
        return rendezvous_choice(str(call.blocks[depth - 1]), self.usable)


class FirstComeFirstServed(Baseline):
    """A queue at the node in order of arrival, no admission, no classes.

    It keeps to this node's part of the slots, so that only order and admission differ
    from the scheduler.
    """

    nodes = 1

    def pick(self, call: Call) -> str | None:
        """Return the emptiest server, if this node's part of it has room."""
        name = min(self.usable, key=lambda name: self.views[name].in_flight)
        view = self.views[name]
        if view.in_flight < -(-view.max_concurrent // self.nodes):
            return name
        return None
