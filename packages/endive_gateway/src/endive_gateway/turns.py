"""Turns of the event loop: for how long greenlets may run before it polls again.

A greenlet whose connection always has bytes to read never waits. Meanwhile the event
loop sees no other connection's bytes and no time-out. ``gevent.sleep(0)`` does not
help: greenlets that are ready are switched to in one turn, fifty at least, before the
loop polls.
"""

import time
from collections import deque
from enum import StrEnum
from functools import cache

from endive_node.logs import log_event
from gevent.hub import Waiter, get_hub

from endive_gateway.metrics import LatencyHistogram

MAX_TURN_S = 0.005
"""Time after which greenlets that reach a checkpoint go on in a later turn, seconds."""

SLOW_TURN_S = 0.05
"""Length from which a turn is logged, seconds."""

LOG_INTERVAL_S = 1.0
"""Least time between two log lines on slow turns, seconds."""

SHORTEST_TIMER_S = 1e-9
"""A timer that expires after the next poll, seconds. One of 0 s may expire before."""


class WorkKind(StrEnum):
    """What greenlets work for; those of one kind wait for each other only."""

    ACCEPTING = "accepting"
    CALLERS = "callers"
    SERVERS = "servers"
    TRANSIT = "transit"
    PLATFORM = "platform"
    MESSAGES = "messages"


class TurnScheduler:
    """Ends turns of the event loop that last for long, and measures all turns.

    Of each kind, one greenlet goes on in each turn, in the order in which they reached
    their checkpoints. So however many of them have work, a turn takes little longer
    than the most work between two checkpoints of each kind, and connections are
    accepted whatever the open ones send.

    Attributes
    ----------
    number : int
        Number of the present turn.
    polled_at : float
        When the loop last polled, seconds on the monotonic clock.
    checked_at : float
        When the latest checkpoint of the present turn was reached, or the turn began.
    waiting : dict of WorkKind to deque of Waiter
        Greenlets that go on in a later turn by kind, the first one first.
    lengths : LatencyHistogram
        Times from the end of a poll to the begin of the next one.
    worker : str
        Who reached the checkpoint after the longest section of the present turn.
    section_s : float
        Length of that section, seconds.
    """

    def __init__(self) -> None:
        self.lengths = LatencyHistogram()
        self.number = 0
        self.polled_at = self.checked_at = time.monotonic()
        self.waiting: dict[WorkKind, deque[Waiter]] = {}
        self.worker = ""
        self.section_s = 0.0
        self.next_log_at = 0.0
        self.hub = get_hub()
        loop = self.hub.loop
        # Of all callbacks before a poll, that of the lowest priority runs last.
        self.before_poll = loop.prepare(ref=False, priority=loop.MINPRI)
        self.after_poll = loop.check(ref=False, priority=loop.MAXPRI)
        self.resume_timer = loop.timer(SHORTEST_TIMER_S)
        self.before_poll.start(self._end_turn)
        self.after_poll.start(self._begin_turn)

    def has_time(self, worker: str) -> bool:
        """Return whether the present turn may go on after a section of `worker`."""
        now = time.monotonic()
        section_s = now - self.checked_at
        self.checked_at = now
        if section_s > self.section_s:
            self.worker, self.section_s = worker, section_s
        return now - self.polled_at < MAX_TURN_S

    def wait(self, kind: WorkKind) -> None:
        """Go on in a later turn."""
        waiter = Waiter(self.hub)
        self.waiting.setdefault(kind, deque()).append(waiter)
        if not self.resume_timer.active:
            self.resume_timer.start(self._resume)
        try:
            waiter.get()
        except BaseException:
            self._forget(kind, waiter)
            raise

    def _forget(self, kind: WorkKind, waiter: Waiter) -> None:
        """Remove a greenlet that may still wait."""
        waiters = self.waiting.get(kind, ())
        if waiter in waiters:
            waiters.remove(waiter)
            if not waiters:
                del self.waiting[kind]

    def _resume(self) -> None:
        """Let waiting greenlets go on, one of each kind at least; runs in the hub."""
        self.resume_timer.stop()
        has_time = True
        while self.waiting and has_time:
            for kind in list(self.waiting):
                self._resume_first(kind)
            has_time = time.monotonic() - self.polled_at < MAX_TURN_S
        if self.waiting and not self.resume_timer.active:
            self.resume_timer.start(self._resume)

    def _resume_first(self, kind: WorkKind) -> None:
        """Let the greenlet of a kind go on that has waited longest, if one waits."""
        waiters = self.waiting.get(kind)
        if not waiters:
            return
        first = waiters.popleft()
        if not waiters:
            del self.waiting[kind]
        first.switch(None)

    def _begin_turn(self) -> None:
        self.number += 1
        self.polled_at = self.checked_at = time.monotonic()

    def _end_turn(self) -> None:
        now = time.monotonic()
        length_s = now - self.polled_at
        self.lengths.observe(length_s)
        if length_s >= SLOW_TURN_S and now >= self.next_log_at:
            self.next_log_at = now + LOG_INTERVAL_S
            log_event(
                "slow_turn",
                ms=round(length_s * 1000),
                longest=self.worker,
                longest_ms=round(self.section_s * 1000),
            )
        self.worker, self.section_s = "", 0.0


@cache
def turn_scheduler() -> TurnScheduler:
    """Return the scheduler of the process's event loop."""
    return TurnScheduler()


class Worker:
    """A greenlet's work for one connection.

    Attributes
    ----------
    name : str
        For whom it works, for the log.
    kind : WorkKind
        What it works for.
    turn : int
        Number of the turn in which it reached its last checkpoint.
    """

    def __init__(self, name: str, kind: WorkKind) -> None:
        self.name = name
        self.kind = kind
        self.turn = 0

    def checkpoint(self) -> None:
        """Go on in a later turn if the present one has lasted for long.

        Called by each loop that reads from a connection, before the next read. A worker
        that has waited for its connection since the last turn does not wait here.
        """
        turns = turn_scheduler()
        if not turns.has_time(self.name) and self.turn == turns.number:
            turns.wait(self.kind)
        self.turn = turns.number

    def before_long_work(self) -> None:
        """Go on in a later turn if others have made the present one last for long.

        Called before work that takes milliseconds: many workers may have been woken for
        such work by the same poll.
        """
        turns = turn_scheduler()
        if not turns.has_time(self.name):
            turns.wait(self.kind)
        self.turn = turns.number


def end_turn(kind: WorkKind) -> None:
    """Let the event loop poll, and others run, before the calling greenlet goes on."""
    turn_scheduler().wait(kind)
