"""How long ago a copy was known to be the newest, and when to ask again.

A read that waits for a change says nothing until there is one, and as little when its
connection is dead. So only an answer proves that a copy is the newest, as of the moment
at which it was asked for.
"""

from dataclasses import dataclass

FIRST_CHECK_FRACTION = 0.4
"""Part of the bound after which the first node asks."""

RANK_DELAY_FRACTION = 0.1
"""Part of the bound by which each further node waits longer. One of them asks, and the
others hear of it before it is their turn."""

LATEST_CHECK_FRACTION = 0.6
"""Part of the bound after which any of a few nodes asks; the rest is for the answer."""

MAX_CONCURRENT_CHECKS = 20
"""Nodes that may all ask by then. While nobody gets an answer, each node that asks for
itself only adds to what the store has to turn away."""

EXTRA_RANK_DELAY_FRACTION = 0.025
"""Part of the bound by which each node beyond those waits longer, and by which all wait
longer for each node when they ask again: at most twenty ask within half of the bound.
If any of them gets an answer the others hear of it."""


@dataclass
class Freshness:
    """What a node knows of how new its copy is.

    Times are seconds on one clock, which must go on while the machine is suspended.

    Attributes
    ----------
    bound_s : float
        Time within which a change must have reached the copy.
    started_at : float
        When there was no copy yet; the first proof is awaited from then on.
    proven_at : float or None
        When the copy was last known to be the newest.
    """

    bound_s: float
    started_at: float
    proven_at: float | None = None

    def prove(self, at: float) -> None:
        """Take that the copy was the newest at `at`."""
        if self.proven_at is None or at > self.proven_at:
            self.proven_at = at

    def age_s(self, now: float) -> float | None:
        """Return the seconds since the copy was known to be the newest."""
        return None if self.proven_at is None else now - self.proven_at

    def due_at(self, rank: int) -> float:
        """Return when a node asks that `rank` others may ask before."""
        part = min(
            LATEST_CHECK_FRACTION, FIRST_CHECK_FRACTION + RANK_DELAY_FRACTION * rank
        )
        part += EXTRA_RANK_DELAY_FRACTION * max(0, rank - MAX_CONCURRENT_CHECKS)
        since = self.started_at if self.proven_at is None else self.proven_at
        return since + part * self.bound_s

    def turns_s(self, nodes: int) -> float:
        """Return after how long a node asks again that got no answer, among `nodes`."""
        return EXTRA_RANK_DELAY_FRACTION * nodes * self.bound_s
