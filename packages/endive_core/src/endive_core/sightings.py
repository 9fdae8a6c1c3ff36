"""Times of events that nodes pass on to each other, on this node's clock.

A message says how old an event is, but not how long the message itself takes. If each
node converted the age of one event again and again, the event would grow older more
slowly than time passes, the more so the more nodes pass it on: among 85 nodes at a
quarter of that speed. An event therefore has an identity, and its earliest time counts.
"""

from dataclasses import dataclass, field

KEPT_S = 10.0
"""Time before the newest event for which older ones are kept, seconds. One that was
forgotten is too old to be of use."""

EVENT_BITS = 48
"""Bits of an event's identity, which its origin draws at random."""


@dataclass
class Sightings:
    """When each event happened, as the least delayed message says.

    Attributes
    ----------
    times : dict of int to float
        Time by identity, seconds on this node's clock.
    newest : int
        Identity of the newest event; 0 if there is none.
    """

    times: dict[int, float] = field(default_factory=dict)
    newest: int = 0

    def observe(self, event: int, at: float) -> float:
        """Record that `event` happened at `at` or earlier; return its time."""
        known = self.times.get(event)
        if known is not None and known <= at:
            return known
        self.times[event] = at
        self._find_newest()
        return at

    def newest_at(self) -> float | None:
        """Return the time of the newest event, or ``None`` without one."""
        return self.times.get(self.newest)

    def _find_newest(self) -> None:
        self.newest = max(self.times, key=self.times.__getitem__)
        oldest_kept = self.times[self.newest] - KEPT_S
        if min(self.times.values()) < oldest_kept:
            self.times = {e: t for e, t in self.times.items() if t >= oldest_kept}
