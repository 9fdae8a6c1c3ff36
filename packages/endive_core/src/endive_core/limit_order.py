"""Order of requests within a shared limit that is short, and when refused ones return.

Refused requests form a backlog, in units, that all nodes count: each node's state
messages carry the total that it has refused. A refused request is told a time behind
the backlog. Part of the limit's rate is promised in this way; the rest is for requests
that come for the first time.

No node keeps a record of a refused request. The times that a request may be told follow
from its fingerprint and the clock that all nodes share: one window in each period. A
request in its window may take all that is left of the limit. Any other one leaves a
reserve for those that return, and a less urgent one leaves more.
"""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, field

from endive_core.hashing import shard_of

WINDOW_S = 0.2
"""Length of the window in which a refused request may return, seconds."""

PERIOD_WINDOWS = 20
"""Windows from one of a request's windows to its next. One first request in twenty
arrives in its own window by chance: at seven times a limit these take a third of it."""

EARLY_S = 0.04
"""Time after a window's start at which the first requests are told to return, seconds.
It allows for differences between the nodes' clocks."""

SPREAD_S = 0.06
"""Time over which the returns within one window are spread, seconds. The rest of the
window allows for the delays of callers and the network."""

NEAR_S = 5.0
"""Time for which less of the rate is promised, seconds. Callers' deadlines are 3 to 15
s, and the longest target is 3 s."""

NEAR_RATE_SHARE = 0.1
"""Share of a limit's rate that is promised to requests that return within that time.
Most have missed their target by then, while first requests can still be in time: with
half of the rate, simulated callers got 0.40 of the value instead of 0.46."""

LATER_RATE_SHARE = 0.5
"""Share of a limit's rate that is promised beyond `NEAR_S`. The other half is for first
requests, also where the excess lasts until then."""

RETURN_RESERVE = 0.2
"""Share of a limit's capacity that first requests leave while refused ones are awaited,
so that the largest requests and uneven arrivals don't take what was promised."""

PRIORITY_RESERVE = 0.3
"""Share of a limit's capacity that the least urgent first requests leave besides."""

EVEN_SHARES = 4
"""One request in so many of each kind is treated as the most urgent kind is, chosen by
its fingerprint. Each kind then gets at least this part of what it would get in order of
arrival, as the most urgent kind gets no less than that."""

MAX_BACKLOG_S = 60.0
"""Longest time that the backlog is counted for, seconds. Callers of a longer excess
would be told times for which they don't wait, and would be told so long after it."""

FULL_SHARE = 0.9
"""Share of the capacity left from which on the limit is not short. Those that were
refused have then been admitted, or don't return."""


@dataclass(frozen=True, slots=True)
class SpendingClaim:
    """What decides on a request's turn within its organisation's limit.

    Attributes
    ----------
    fingerprint : str
        The same for each attempt of a caller, at any node.
    deferral : float
        Part of the reserve for more urgent requests that it leaves, 0 to 1.
    """

    fingerprint: str
    deferral: float = 0.0


@dataclass
class RefusedBacklog:
    """Units that were refused and are awaited.

    Attributes
    ----------
    updated_at : float
        When what was due to return was last deducted.
    """

    units: float = 0.0
    updated_at: float = 0.0


@dataclass
class LimitOrder:
    """The backlogs of refused requests as one node counts them, by organisation.

    Attributes
    ----------
    refused : dict of str to float
        Units that this node has refused since it started.
    priorities : list of int
        Priorities of the routes, the most urgent first.
    clock_offset_s : float
        The clock that all nodes share minus this node's.
    """

    backlogs: dict[str, RefusedBacklog] = field(default_factory=dict)
    refused: dict[str, float] = field(default_factory=dict)
    priorities: list[int] = field(default_factory=list)
    clock_offset_s: float = 0.0

    def set_priorities(self, priorities: Iterable[int]) -> None:
        """Apply the priorities of the routes in force."""
        self.priorities = sorted(set(priorities))

    def claim(self, fingerprint: str, priority: int | None) -> SpendingClaim:
        """Return the claim of a request.

        Parameters
        ----------
        priority : int or None
            Priority of its route, 0 the most urgent; ``None`` if all requests of the
            organisation have one priority.
        """
        last = len(self.priorities) - 1
        is_even = shard_of(f"even {fingerprint}", EVEN_SHARES) == 0
        if priority is None or last < 1 or is_even:
            return SpendingClaim(fingerprint)
        rank = min(last, bisect_left(self.priorities, priority))
        return SpendingClaim(fingerprint, rank / last)

    def update(
        self, organisation: str, now: float, *, rate: float, left_share: float
    ) -> None:
        """Deduct what was due to return by `now`; all of it if the limit isn't short.

        Parameters
        ----------
        rate : float
            Units a second of the limit.
        left_share : float
            Part of the limit's capacity that is left.
        """
        backlog = self.backlogs.get(organisation)
        if backlog is None:
            return
        if left_share >= FULL_SHARE:
            del self.backlogs[organisation]
            return
        passed_s = max(0.0, now - backlog.updated_at)
        left_s = min(MAX_BACKLOG_S, _time_of(backlog.units / rate)) - passed_s
        backlog.units = rate * _rate_seconds_of(max(0.0, left_s))
        backlog.updated_at = max(now, backlog.updated_at)

    def add(self, organisation: str, units: float, now: float) -> None:
        """Count units that were refused, at this node or another."""
        backlog = self.backlogs.setdefault(organisation, RefusedBacklog(0.0, now))
        backlog.units += units

    def units_ahead(self, organisation: str) -> float:
        """Return the units that were refused and are awaited."""
        backlog = self.backlogs.get(organisation)
        return backlog.units if backlog is not None else 0.0

    def reserve_share(
        self, organisation: str, claim: SpendingClaim | None, now: float
    ) -> float:
        """Return the part of the limit's capacity that a request leaves to others."""
        if claim is None or organisation not in self.backlogs:
            return 0.0
        if self.in_window(claim, now):
            return 0.0
        return RETURN_RESERVE + PRIORITY_RESERVE * claim.deferral

    def return_in_s(
        self,
        organisation: str,
        claim: SpendingClaim,
        units: float,
        now: float,
        *,
        rate: float,
        earliest_s: float,
    ) -> float:
        """Count a refused request; return the seconds after which it is admitted.

        One that is refused in its window was told to return then, and callers return
        once, so it is not awaited again.

        Parameters
        ----------
        rate : float
            Units a second of the limit.
        earliest_s : float
            Seconds until units are left.
        """
        ahead_s = _time_of(self.units_ahead(organisation) / rate)
        earliest_s = max(earliest_s, min(ahead_s, MAX_BACKLOG_S))
        awaited = 0.0 if self.in_window(claim, now) else units
        self.add(organisation, awaited, now)
        self.refused[organisation] = self.refused.get(organisation, 0.0) + awaited
        clock = now + self.clock_offset_s
        return next_return(claim.fingerprint, clock + earliest_s) - clock

    def in_window(self, claim: SpendingClaim, now: float) -> bool:
        """Return whether a request may have been told to return now."""
        window = int((now + self.clock_offset_s) // WINDOW_S)
        return window % PERIOD_WINDOWS == shard_of(claim.fingerprint, PERIOD_WINDOWS)


def next_return(fingerprint: str, start: float) -> float:
    """Return the first time from `start` on at which a request may be told to return.

    Parameters
    ----------
    start : float
        Seconds on the clock that all nodes share.
    """
    period_s = PERIOD_WINDOWS * WINDOW_S
    own = shard_of(fingerprint, PERIOD_WINDOWS) * WINDOW_S
    spread = shard_of(f"spread {fingerprint}", 1024) / 1024
    phase = own + EARLY_S + spread * SPREAD_S
    return start + (phase - start) % period_s


def _time_of(rate_seconds: float) -> float:
    """Return the time for which a backlog of so many seconds of the rate is promised.

    What is promised at a moment follows from the backlog when it was promised, so the
    promises for any moment are within the shares above.
    """
    later = rate_seconds - NEAR_S * NEAR_RATE_SHARE
    if later <= 0:
        return rate_seconds / NEAR_RATE_SHARE
    return NEAR_S + later / LATER_RATE_SHARE


def _rate_seconds_of(time_s: float) -> float:
    """Return the backlog that is promised for so long, in seconds of the rate."""
    if time_s <= NEAR_S:
        return time_s * NEAR_RATE_SHARE
    return NEAR_S * NEAR_RATE_SHARE + (time_s - NEAR_S) * LATER_RATE_SHARE
