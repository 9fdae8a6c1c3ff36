"""Counts what is refused for want of room, and logs it at a bounded rate."""

import time
from collections import Counter
from collections.abc import Callable

from endive_node.logs import log_event

LOG_INTERVAL_S = 1.0
"""Least time between two log lines for one reason, seconds."""


class RefusalLog:
    """Refusals by reason.

    Parameters
    ----------
    counts : Counter of str
        Refusals since the start, by reason.
    """

    def __init__(
        self, counts: Counter[str], clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.counts = counts
        self.clock = clock
        self.unlogged: Counter[str] = Counter()
        self.next_log_at: dict[str, float] = {}

    def add(self, reason: str, **fields: object) -> None:
        """Count one refusal; log it with those since the last line for its reason."""
        self.counts[reason] += 1
        self.unlogged[reason] += 1
        now = self.clock()
        if now < self.next_log_at.get(reason, now):
            return
        self.next_log_at[reason] = now + LOG_INTERVAL_S
        count = self.unlogged.pop(reason)
        log_event("refused", reason=reason, count=count, **fields)
