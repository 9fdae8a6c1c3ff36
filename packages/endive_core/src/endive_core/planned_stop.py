"""Which requests a stopping node can still answer whole.

A request that a node takes shortly before its end is cut, and may have run by then. So
a stopping node takes only those that it expects to answer in the time left, and refuses
the others at once, while other nodes can serve them. It expects a request to take as
long as the slowest of the recent ones on its route; where it has seen none, as long as
the request's deadline allows.
"""

from dataclasses import dataclass, field

PERIOD_S = 30.0
"""Responses of this period and of the one before count as recent, seconds."""


@dataclass
class RecentSlowest:
    """The slowest recent responses by route.

    Attributes
    ----------
    now_s, before_s : dict of str to float
        By route, the longest response of this period and of the one before, seconds.
    began_at : float
        When this period began, seconds on the clock of the calling code.
    """

    now_s: dict[str, float] = field(default_factory=dict)
    before_s: dict[str, float] = field(default_factory=dict)
    began_at: float = float("-inf")

    def observe(self, route: str, taken_s: float, now: float) -> None:
        """Record a complete response.

        Parameters
        ----------
        taken_s : float
            Time from the end of the request to the end of the response, seconds.
        """
        self._advance(now)
        self.now_s[route] = max(taken_s, self.now_s.get(route, 0.0))

    def of(self, route: str, now: float) -> float | None:
        """Return the longest recent response, seconds; ``None`` if there was none."""
        self._advance(now)
        known = [t[route] for t in (self.now_s, self.before_s) if route in t]
        return max(known, default=None)

    def _advance(self, now: float) -> None:
        if now - self.began_at < PERIOD_S:
            return
        is_next = now - self.began_at < 2 * PERIOD_S
        self.before_s = self.now_s if is_next else {}
        self.now_s, self.began_at = {}, now


@dataclass
class PlannedStop:
    """When a node ends, and what it can answer until then.

    Attributes
    ----------
    ends_at : float
        When the last response must be complete, seconds on the clock of the calling
        code; infinite unless the node stops.
    """

    slowest: RecentSlowest = field(default_factory=RecentSlowest)
    ends_at: float = float("inf")

    def can_answer(self, route: str, left_s: float, now: float) -> bool:
        """Return whether a request can be expected to be answered whole in time.

        Parameters
        ----------
        left_s : float
            Time until its deadline, seconds, by which it is answered in any case.
        """
        if now + left_s <= self.ends_at:
            return True
        slowest_s = self.slowest.of(route, now)
        return slowest_s is not None and now + slowest_s <= self.ends_at
