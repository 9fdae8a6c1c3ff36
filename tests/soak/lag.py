"""Measures how long the machine holds up the soak's own process and the nodes.

Without it, delays of the machine would count as delays of the nodes.
"""

import time
from collections import deque
from pathlib import Path

import gevent

STEP_S = 0.02
MAX_SAMPLES = 500


class Lag:
    """Sums up the lag of the event loop.

    All callers, links and stand-ins run in this loop. While it is blocked, no response
    reaches its caller, however early the node sent it.

    Attributes
    ----------
    stalled_s : float
        Total lag since the start, seconds.
    """

    def __init__(self):
        self.stalled_s = 0.0
        self.samples = deque(maxlen=MAX_SAMPLES)

    def run(self):
        """Measure until killed; the body of a greenlet."""
        while True:
            before = time.monotonic()
            gevent.sleep(STEP_S)
            now = time.monotonic()
            late_s = now - before - 2 * STEP_S
            if late_s > 0:
                self.stalled_s += late_s
                self.samples.append((now, late_s))

    def stalled_within(self, seconds):
        """Return the lag within the last `seconds`, of the `MAX_SAMPLES` newest."""
        since = time.monotonic() - seconds
        return sum(late_s for at, late_s in self.samples if at > since)


def process_state(pid):
    """Return what a process does, and for how long it has waited for a processor."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()[0]
        call = Path(f"/proc/{pid}/wchan").read_text() or "no call"
    except OSError as error:
        return f"its state can't be read ({error})"
    waited_s = processor_wait_s(pid)
    return f"state {state} in {call}, waited {waited_s:.1f} s for a processor so far"


def processor_wait_s(pid):
    """Return for how long a process has waited for a processor, seconds.

    0 if the process has ended, or if the kernel does not count it.
    """
    try:
        _running, waiting_ns, _turns = (
            Path(f"/proc/{pid}/schedstat").read_text().split()
        )
    except (OSError, ValueError):
        return 0.0
    return int(waiting_ns) / 1e9
