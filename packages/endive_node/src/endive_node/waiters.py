"""Greenlets that wait for a server, and the schedulers that give them one."""

from collections.abc import Callable

import gevent
from endive_core.calls import Refusal, Stage, Ticket
from endive_core.exceptions import EndiveError
from endive_core.messages import ServerView
from endive_core.scheduler import Scheduler
from gevent.event import AsyncResult, Event

PUMP_S = 0.01
"""How often queues are tried when nothing else makes them: pacing and pauses lapse
with time alone, and a hundredth of a second is little against targets of 0.2 s."""

CRASH_WINDOW_S = 10.0
"""Crashes of one server within a window of the wall clock are one crash, so that nodes
that saw it count it once. A server needs longer than this to load its model again."""


class Waiters:
    """What a node's requests go through between admission and their end.

    The decisions are made by :class:`endive_core.scheduler.Scheduler`; this class gives
    them time and lets greenlets wait for them.

    Parameters
    ----------
    now : callable
        Returns seconds on a clock that only goes forward.

    Attributes
    ----------
    schedulers : dict of str to Scheduler
        By service.
    owners : dict of Ticket to Scheduler
        The requests that have not ended.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.schedulers: dict[str, Scheduler] = {}
        self.owners: dict[Ticket, Scheduler] = {}
        self.waiting: dict[Ticket, AsyncResult] = {}
        self.queued = Event()

    def enter(self, decision: Ticket | Refusal, scheduler: Scheduler) -> Ticket:
        """Let an admitted request wait; raises EndiveError if it was refused."""
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
            If the ticket was given up in the queue.
        """
        return self.waiting[ticket].get()

    def started(self, ticket: Ticket) -> None:
        """Note the first piece of an attempt."""
        if ticket.stage is Stage.DISPATCHED:
            self.owners[ticket].started(ticket, self.now())

    def finished(self, ticket: Ticket, tokens: int) -> None:
        """Note the whole answer of `tokens` tokens."""
        scheduler = self.owners[ticket]
        scheduler.finished(ticket, self.now(), tokens=tokens)
        self.pump(scheduler)

    def queue_again(self, ticket: Ticket, delay_s: float) -> None:
        """Queue a ticket again whose attempt failed, after a delay."""
        scheduler = self.owners[ticket]
        self.waiting[ticket] = AsyncResult()
        gevent.sleep(delay_s)
        scheduler.requeue(ticket)
        self.pump(scheduler)

    def end(self, ticket: Ticket) -> None:
        """Forget the ticket; frees its slot if its caller hung up."""
        scheduler = self.owners.pop(ticket, None)
        if scheduler is None:
            return
        del self.waiting[ticket]
        scheduler.cancelled(ticket, self.now())
        self.pump(scheduler)

    def pump(self, scheduler: Scheduler) -> None:
        """Wake the greenlets of all tickets that may be sent now."""
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
        """Try the queues for ever; the body of a greenlet."""
        while True:
            self.queued.wait()
            gevent.sleep(PUMP_S)
            waiting = [s for s in self.schedulers.values() if len(s.queue)]
            if not waiting:
                self.queued.clear()
            for scheduler in waiting:
                self.pump(scheduler)


def refusal_error(refusal: Refusal, message: str = "") -> EndiveError:
    """Return the error that tells a refusal."""
    return EndiveError(
        refusal.kind,
        message or refusal.message,
        retry_after_s=refusal.retry_after_s,
    )


def crash_name(server: str, wall_time: float) -> str:
    """Return the name that all nodes give to a crash of `server` at that time."""
    return f"{server}@{int(wall_time // CRASH_WINDOW_S)}"
