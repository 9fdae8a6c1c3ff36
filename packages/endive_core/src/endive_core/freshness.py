"""Freshness of a node's copy of stored data, and the schedule of checks.

A read that waits for a change returns nothing until there is one, and also returns
nothing if its connection is dead. So only the answer to a check proves that a copy is
the newest, as of the time at which the check was sent.

The schedule keeps the number of checks nearly independent of the number of nodes: one
node checks, and tells the result to the others before they check themselves.
"""

from dataclasses import dataclass

FIRST_CHECK_FRACTION = 0.4
"""Fraction of the bound after which the node of rank 0 checks."""

RANK_DELAY_FRACTION = 0.1
"""Fraction of the bound by which each further rank waits longer, so that other nodes
learn the result of one node's check before their own check is due."""

LATEST_CHECK_FRACTION = 0.6
"""Fraction of the bound by which each of the first nodes checks at the latest; the rest
is time for the answer."""

MAX_CONCURRENT_CHECKS = 20
"""Number of nodes that may check by then. While no node gets an answer, each further
check only adds to the requests that the store has to reject."""

EXTRA_RANK_DELAY_FRACTION = 0.025
"""Fraction of the bound by which each node beyond those waits longer. A node whose
check got no answer repeats it after this fraction times the number of nodes. So at most
20 nodes check within half of the bound; if one gets an answer, the others learn of
it."""


@dataclass
class Freshness:
    """How recent a node's copy is known to be, and when to check it again.

    Times are seconds on one clock, which must keep running while the machine is
    suspended.

    Attributes
    ----------
    bound_s : float
        Time within which a change must reach the copy, in seconds.
    started_at : float
        Start of the schedule while there is no proof yet.
    proven_at : float or None
        Latest time at which the copy is known to have been the newest.
    failed_at : float or None
        When the last check was sent that got no answer.
    retry_at : float
        Earliest time of the next check while no proof is newer than that check.
    """

    bound_s: float
    started_at: float
    proven_at: float | None = None
    failed_at: float | None = None
    retry_at: float = 0.0

    @property
    def is_retrying(self) -> bool:
        """Whether the last check got no answer and no proof is newer than it."""
        if self.failed_at is None:
            return False
        return self.proven_at is None or self.proven_at <= self.failed_at

    def prove(self, at: float) -> None:
        """Record that the copy was the newest at time `at`."""
        if self.proven_at is None or at > self.proven_at:
            self.proven_at = at

    def fail(self, sent_at: float, retry_at: float) -> None:
        """Record that the check sent at `sent_at` got no answer."""
        self.failed_at = sent_at
        self.retry_at = retry_at

    def age_s(self, now: float) -> float | None:
        """Return the seconds since the latest proof, or ``None`` without one."""
        return None if self.proven_at is None else now - self.proven_at

    def due_at(self, rank: int) -> float:
        """Return when a node checks, if `rank` other nodes check before it."""
        if self.is_retrying:
            return self.retry_at
        part = min(
            LATEST_CHECK_FRACTION, FIRST_CHECK_FRACTION + RANK_DELAY_FRACTION * rank
        )
        part += EXTRA_RANK_DELAY_FRACTION * max(0, rank - MAX_CONCURRENT_CHECKS)
        since = self.started_at if self.proven_at is None else self.proven_at
        return since + part * self.bound_s

    def retry_delay_s(self, nodes: int) -> float:
        """Return after how long a node repeats a check that got no answer.

        Parameters
        ----------
        nodes : int
            Number of nodes that check.
        """
        return EXTRA_RANK_DELAY_FRACTION * nodes * self.bound_s
