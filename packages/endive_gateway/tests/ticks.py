"""Ticks of the event loop beside other work, and work itself."""

import gc
import time
from contextlib import contextmanager

import gevent

TICK_S = 0.005
TICKS = 10
MAX_TICKS = 1_000
MAX_GAP_S = 0.05
"""Longest time for which a tick may be late, seconds of this process's own."""


@contextmanager
def short_collections():
    """Keep the garbage collector from pausing for what the test runner holds."""
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()


def work(seconds):
    """Keep the processor busy."""
    end = time.process_time() + seconds
    while time.process_time() < end:
        pass


def largest_gap_s(reader, *arguments):
    """Return the processor time that passes between two ticks beside a reader.

    The reader is ended after some ticks if it does not end by itself.
    """
    return max(_gaps_s(gevent.spawn(reader, *arguments), TICKS))


def largest_gap_until_end_s(work, *arguments):
    """Return the processor time between two ticks beside work that ends."""
    return max(_gaps_s(gevent.spawn(work, *arguments), MAX_TICKS))


def _gaps_s(greenlet, max_ticks):
    with short_collections():
        return _measured_gaps_s(greenlet, max_ticks)


def _measured_gaps_s(greenlet, max_ticks):
    gaps, began_s = [], time.process_time()
    for _ in range(max_ticks):
        gevent.sleep(TICK_S)
        gaps.append(time.process_time() - began_s)
        began_s = time.process_time()
        if greenlet.ready():
            break
    greenlet.kill()
    greenlet.get()
    return gaps
