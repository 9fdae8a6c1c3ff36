"""Pace of a node's calls to a service that has become slow, or has fallen silent.

A call that got no response in time is sent again, while the service may still work on
the first one. If all nodes do that at once, a queue that is longer than the time-out
stays so for ever. Each node therefore reduces its calls when one times out, and
increases them again with each response, as TCP does with its window. A service that
has fallen silent is probed, less and less often, so that its return is noticed soon.
"""

from dataclasses import dataclass

MAX_WINDOW = 10
"""Largest number of concurrent calls."""

MIN_PROBE_GAP_S = 0.4
MAX_PROBE_GAP_S = 3.0
PROBE_GAP_GROWTH = 1.5
"""Time between the starts of two calls while none is answered, seconds: first, longest,
and its growth. The longest gap delays the first call after the service's return."""


@dataclass
class CallPacing:
    """Decides when a call may start.

    Times are seconds on the caller's clock.

    Attributes
    ----------
    window : int
        Calls that may be under way at the same time.
    active : int
        Calls under way.
    probes : int
        Calls that have timed out one after the other since the last response.
    started_at : float
        When the last call started.
    timed_out_at : float
        When a call last timed out that had started after the time-out before it.
    """

    window: int = MAX_WINDOW
    active: int = 0
    probes: int = 0
    started_at: float = float("-inf")
    timed_out_at: float = float("-inf")

    @property
    def is_probing(self) -> bool:
        """Whether no call has been answered since the last one that timed out."""
        return self.probes > 0

    def may_start(self, now: float) -> bool:
        """Return whether a call may start now."""
        if self.is_probing:
            return now - self.started_at >= self.probe_gap_s()
        return self.active < self.window

    def probe_gap_s(self) -> float:
        """Return the time between two calls while none is answered, seconds."""
        gap_s = MIN_PROBE_GAP_S * PROBE_GAP_GROWTH ** (self.probes - 1)
        return min(MAX_PROBE_GAP_S, gap_s)

    def start(self, now: float) -> None:
        """Count a call that starts."""
        self.active += 1
        self.started_at = now

    def end(self) -> None:
        """Count a call that ended otherwise than by a response or a time-out."""
        self.active -= 1

    def answer(self) -> None:
        """Count a call that was answered in time."""
        self.active -= 1
        self.probes = 0
        self.window = min(MAX_WINDOW, self.window + 1)

    def answer_late(self) -> None:
        """Record that a call that had timed out was answered after all.

        The service is slow rather than silent, so probing would only add calls.
        """
        self.probes = 0

    def time_out(self, started_at: float, now: float) -> None:
        """Count a call that timed out.

        Calls that were under way together count as one probe.
        """
        self.active -= 1
        self.window = 1
        if started_at >= self.timed_out_at:
            self.probes += 1
            self.timed_out_at = now
