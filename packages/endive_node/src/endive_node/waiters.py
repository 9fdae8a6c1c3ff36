"""Greenlets that wait for a server, and the schedulers that assign one to them."""

from collections.abc import Callable

import gevent
from endive_core.calls import Refusal, Stage, Ticket
from endive_core.exceptions import EndiveError
from endive_core.messages import ServerView
from endive_core.scheduler import Scheduler
from gevent.event import AsyncResult, Event

PUMP_S = 0.01
"""Seconds between two polls of queues that no event triggers: pacing and pauses of
servers end with time alone. 10 ms are short against latency targets of 0.2 s."""

CRASH_WINDOW_S = 10.0
"""Seconds. Crashes of one server within the same window of the wall clock are one
crash, so that several nodes that detect it count it once. A server needs longer than
this to load its model again."""


class Waiters:
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
    owners : dict of Ticket to Scheduler
        The scheduler of each request that has not ended.
    waiting : dict of Ticket to AsyncResult
        The server of the ticket's next attempt, once one is assigned.
    queued : Event
        Set while any queue may hold requests.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.schedulers: dict[str, Scheduler] = {}
        self.owners: dict[Ticket, Scheduler] = {}
        self.waiting: dict[Ticket, AsyncResult] = {}
        self.queued = Event()

    def enter(self, decision: Ticket | Refusal, scheduler: Scheduler) -> Ticket:
        """Add an admitted request; raise EndiveError if it was refused."""
        if isinstance(decision, Refusal):
            raise refusal_error(decision)
        self.owners[decision] = scheduler
        self.waiting[decision] = AsyncResult()
        self.pump(scheduler)
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
            self.owners[ticket].started(ticket, self.now())

    def finished(self, ticket: Ticket, tokens: int) -> None:
        """Record a complete response of `tokens` tokens."""
        scheduler = self.owners[ticket]
        scheduler.finished(ticket, self.now(), tokens=tokens)
        self.pump(scheduler)

    def queue_again(self, ticket: Ticket, delay_s: float) -> None:
        """Queue a ticket again whose attempt failed, after `delay_s` seconds."""
        scheduler = self.owners[ticket]
        self.waiting[ticket] = AsyncResult()
        gevent.sleep(delay_s)
        scheduler.requeue(ticket)
        self.pump(scheduler)

    def end(self, ticket: Ticket) -> None:
        """Remove the ticket; free its slot if it still holds one."""
        scheduler = self.owners.pop(ticket, None)
        if scheduler is None:
            return
        del self.waiting[ticket]
        scheduler.cancelled(ticket, self.now())
        self.pump(scheduler)

    def pump(self, scheduler: Scheduler) -> None:
        """Wake the greenlets of all tickets that are dispatched or have expired."""
        now = self.now()
        while (dispatch := scheduler.next_dispatch(now)) is not None:
            view = scheduler.servers.servers[dispatch.server].view
            self.waiting[dispatch.ticket].set(view)
        for ticket in scheduler.take_expired():
            if ticket in self.waiting:
                self.waiting[ticket].set_exception(refusal_error(ticket.refusal))
        if len(scheduler.queue):
            self.queued.set()

    def pump_often(self) -> None:
        """Poll the non-empty queues in an endless loop; the body of a greenlet."""
        while True:
            self.queued.wait()
            gevent.sleep(PUMP_S)
            waiting = [s for s in self.schedulers.values() if len(s.queue)]
            if not waiting:
                self.queued.clear()
            for scheduler in waiting:
                self.pump(scheduler)


def refusal_error(refusal: Refusal, message: str = "") -> EndiveError:
    """Return the error that reports `refusal` to the caller."""
    return EndiveError(
        refusal.kind,
        message or refusal.message,
        retry_after_s=refusal.retry_after_s,
    )


def crash_name(server: str, wall_time: float) -> str:
    """Return the id that all nodes give to a crash of `server` at `wall_time`."""
    return f"{server}@{int(wall_time // CRASH_WINDOW_S)}"
