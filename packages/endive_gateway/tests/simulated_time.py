"""Simulated time for tests of many nodes in one process.

The nodes of a real fleet compute side by side. Here they share a process, so time
passes only when none of them has anything left to do, and then to the next timer.
"""

import heapq
import itertools
from contextlib import contextmanager

import gevent
from endive_gateway.turns import turn_scheduler

LOWEST_PRIORITY = -2
"""Priority of an event loop's watcher after all others."""


class SimulatedTimer:
    """A timer of the event loop, as far as greenlets use it."""

    def __init__(self, loop, after_s):
        self.loop = loop
        self.after_s = max(0.0, after_s)
        self.callback = None
        self.args = ()

    def start(self, callback, *args, **_options):
        self.callback, self.args = callback, args
        self.loop.add(self)

    def stop(self):
        self.callback = None

    close = stop

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        self.stop()

    @property
    def active(self):
        return self.callback is not None

    @property
    def pending(self):
        return False


class SimulatedLoop:
    """The event loop with simulated timers; it leaves all else to the real one.

    Attributes
    ----------
    now_s : float
        Simulated time, seconds.
    """

    def __init__(self, loop):
        self.loop = loop
        self.now_s = 1_000.0
        self.numbers = itertools.count()
        self.timers = []
        self.idle = loop.idle(priority=LOWEST_PRIORITY)
        self.idle.start(self.advance)

    def __getattr__(self, name):
        return getattr(self.loop, name)

    @property
    def error_handler(self):
        """The hub, once it runs. A loop without one ends at the first error."""
        return self.loop.error_handler

    @error_handler.setter
    def error_handler(self, handler):
        self.loop.error_handler = handler

    def clock(self):
        return self.now_s

    def timer(self, after, *_args, **_options):
        return SimulatedTimer(self, after)

    def add(self, timer):
        due = self.now_s + timer.after_s
        heapq.heappush(self.timers, (due, next(self.numbers), timer))

    def advance(self):
        """Let time pass until the next timer; called when nothing else is left."""
        while self.timers:
            due, _, timer = heapq.heappop(self.timers)
            if timer.active:
                self.now_s = due
                callback, timer.callback = timer.callback, None
                callback(*timer.args)
                return

    def close(self):
        self.idle.stop()
        self.idle.close()


@contextmanager
def simulated_time(monkeypatch):
    """Let greenlets wait and read the monotonic clock in simulated time."""
    hub = gevent.get_hub()
    loop = hub.loop
    turn_scheduler()  # it outlives the simulation, so its timer is one of the real loop
    simulated = SimulatedLoop(loop)
    with monkeypatch.context() as patched:
        patched.setattr(hub, "loop", simulated)
        patched.setattr("time.monotonic", simulated.clock)
        yield simulated
    simulated.close()
