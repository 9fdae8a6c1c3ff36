"""How long the soak's own process was held up, so that nodes aren't blamed for it."""

import time

import gevent

STEP_S = 0.02


class Lag:
    """Adds up the time by which the event loop came late.

    All callers, links and stand-ins run in this one loop: while it stands still, no
    answer gets through, however soon a node gave it.

    Attributes
    ----------
    lost_s : float
        Seconds lost since the start.
    """

    def __init__(self):
        self.lost_s = 0.0

    def run(self):
        """Measure until killed; the body of a greenlet."""
        while True:
            before = time.monotonic()
            gevent.sleep(STEP_S)
            self.lost_s += max(0.0, time.monotonic() - before - 2 * STEP_S)
