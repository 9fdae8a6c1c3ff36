"""Requests whose greenlets wait for a server that a scheduler assigns."""

from collections.abc import Callable

import gevent
from endive_core.calls import Refusal, Stage, Ticket
from endive_core.exceptions import EndiveError
from endive_core.messages import ServerView
from endive_core.scheduler import Scheduler
from gevent.event import AsyncResult, Event

QUEUE_POLL_INTERVAL_S = 0.01
"""Seconds between polls of the non-empty queues. Servers become available without an
event when their pacing or pause ends. 10 ms are short compared with latency targets of
0.2 s."""

CRASH_WINDOW_S = 10.0
"""Seconds. Crashes of one server within the same window of the wall clock count as one
crash, so that several nodes that detect it count it once. A server takes longer than
this to load its model again."""


class ScheduledRequests:
    """The queued and running requests of a node, from admission to their end.

    The decisions are made by :class:`endive_core.scheduler.Scheduler`; this class
    passes it the time and lets greenlets wait for its dispatches.

    Parameters
    ----------
    now : callable
        Returns seconds on a monotonic clock.

    Attributes
    ----------
    schedulers : dict of str to Scheduler
        By service.
    ticket_schedulers : dict of Ticket to Scheduler
        The scheduler of each request that has not ended.
    waiting : dict of Ticket to AsyncResult
        The server of the ticket's next attempt, once one is assigned.
    queued : Event
        Set while any queue may hold requests.
    before_dispatch : callable
        Called before requests are dispatched; it takes what the others have reported.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.schedulers: dict[str, Scheduler] = {}
        self.ticket_schedulers: dict[Ticket, Scheduler] = {}
        self.waiting: dict[Ticket, AsyncResult] = {}
        self.queued = Event()
        self.before_dispatch: Callable[[], object] = lambda: None

    def add_admitted(self, decision: Ticket | Refusal, scheduler: Scheduler) -> Ticket:
        """Add an admitted request; raise EndiveError if it was refused."""
        if isinstance(decision, Refusal):
            raise refusal_error(decision)
        self.ticket_schedulers[decision] = scheduler
        self.waiting[decision] = AsyncResult()
        self.dispatch_queued(scheduler)
        return decision

    def acquire(self, ticket: Ticket) -> ServerView:
        """Wait for the server of the ticket's next attempt.

        Raises
        ------
        EndiveError
            If the ticket expired in the queue.
        """
        return self.waiting[ticket].get()

    def started(self, ticket: Ticket) -> None:
        """Record the first piece of an attempt."""
        if ticket.stage is Stage.DISPATCHED:
            self.ticket_schedulers[ticket].started(ticket, self.now())

    def finished(self, ticket: Ticket, tokens: int) -> None:
        """Record a complete response of `tokens` tokens."""
        scheduler = self.ticket_schedulers[ticket]
        scheduler.finished(ticket, self.now(), tokens=tokens)
        self.dispatch_queued(scheduler)

    def requeue(self, ticket: Ticket, delay_s: float) -> None:
        """Queue a ticket again whose attempt failed, after `delay_s` seconds."""
        scheduler = self.ticket_schedulers[ticket]
        self.waiting[ticket] = AsyncResult()
        gevent.sleep(delay_s)
        scheduler.requeue(ticket)
        self.dispatch_queued(scheduler)

    def end(self, ticket: Ticket) -> None:
        """Remove the ticket; free its slot if it still holds one."""
        scheduler = self.ticket_schedulers.pop(ticket, None)
        if scheduler is None:
            return
        del self.waiting[ticket]
        scheduler.cancelled(ticket, self.now())
        self.dispatch_queued(scheduler)

    def dispatch_queued(self, scheduler: Scheduler) -> None:
        """Dispatch queued tickets while servers have room.

        The greenlets of all tickets that are dispatched or have expired are woken.
        """
        self.before_dispatch()
        now = self.now()
        while (dispatch := scheduler.next_dispatch(now)) is not None:
            view = scheduler.servers.servers[dispatch.server].view
            self.waiting[dispatch.ticket].set(view)
        for ticket in scheduler.take_expired():
            if ticket in self.waiting:
                self.waiting[ticket].set_exception(refusal_error(ticket.refusal))
        if len(scheduler.queue):
            self.queued.set()

    def poll_queues(self) -> None:
        """Dispatch from the non-empty queues in an endless loop; run in a greenlet."""
        while True:
            self.queued.wait()
            gevent.sleep(QUEUE_POLL_INTERVAL_S)
            waiting = [s for s in self.schedulers.values() if len(s.queue)]
            if not waiting:
                self.queued.clear()
            for scheduler in waiting:
                self.dispatch_queued(scheduler)


def refusal_error(refusal: Refusal, message: str = "") -> EndiveError:
    """Return the error that reports `refusal` to the caller."""
    return EndiveError(
        refusal.kind,
        message or refusal.message,
        retry_after_s=refusal.retry_after_s,
    )


def crash_id(server: str, wall_time: float) -> str:
    """Return the id that all nodes give to a crash of `server` at `wall_time`."""
    return f"{server}@{int(wall_time // CRASH_WINDOW_S)}"
