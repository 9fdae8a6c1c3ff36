"""Retry-after times for refused calls, and admission at the times given.

A caller that retries at the time it was given and is refused again has waited for
nothing and loads the node once more. Thousands may be refused within one second, or
load may exceed capacity for minutes.
"""

from endive_core.hashing import shard_of

WINDOW_S = 0.5
"""Length of the window in which a refused call may retry, seconds: longer than clock
differences and network delays."""

PERIOD_WINDOWS = 8
"""Windows from one of a call's windows to its next. A caller waits 2 s longer on
average than the backlog of refused calls demands, and one first call in eight arrives
in its own window by chance."""

LATE_WINDOW_SHARE = 0.5
"""Share of the following window in which a late caller is still admitted."""


class RetryWindows:
    """Assigns refused calls a time to retry and admits those that keep to it.

    If all refused calls were given the same time, they would all return in the same
    second, and first calls would take the capacity promised to those that waited. Each
    refused call therefore extends its organisation's backlog of refused calls by its
    cost. While that backlog is not empty, a call may join the queue only in its own
    window.

    A caller may retry at another node, which does not know of the refusal. Its windows
    therefore follow from its fingerprint: one window in `PERIOD_WINDOWS`, the same on
    every node. No node keeps or sends any record of the caller, and only one first call
    in `PERIOD_WINDOWS` arrives in its own window by chance.

    Parameters
    ----------
    min_s, max_s : float
        Shortest and longest time to retry, seconds.

    Attributes
    ----------
    ends_at : dict
        For each organisation and rank the clock time at which its backlog of refused
        calls is worked off.
    """

    def __init__(self, *, min_s: float, max_s: float) -> None:
        self.min_s = min_s
        self.max_s = max_s
        self.ends_at: dict[tuple[str, int], float] = {}

    def may_enqueue(self, key: tuple[str, int], fingerprint: str, now: float) -> bool:
        """Return whether a call may join the queue: no backlog, or its own window."""
        if self.ends_at.get(key, 0.0) <= now:
            return True
        return in_window(fingerprint, now)

    def enqueued_early(
        self, key: tuple[str, int], now: float, *, cost_s: float
    ) -> None:
        """Extend the backlog by a call that was admitted outside its own window."""
        if self.ends_at.get(key, 0.0) > now:
            self.ends_at[key] += cost_s

    def assign(
        self,
        key: tuple[str, int],
        fingerprint: str,
        now: float,
        *,
        excess_s: float,
        cost_s: float,
        closed_s: float = 0.0,
    ) -> float:
        """Return the seconds after which the refused call should retry.

        Parameters
        ----------
        key : tuple of str and int
            Organisation and rank.
        fingerprint : str
            The call's fingerprint, which determines its windows.
        excess_s : float
            Time until the queue is short enough for one more call.
        cost_s : float
            Time in which the organisation's share of capacity serves this call.
        closed_s : float
            Time during which no call can be served; `max_s` counts from its end.
        """
        latest = now + closed_s + self.max_s
        earliest = now + max(self.min_s, excess_s, closed_s)
        end = max(earliest, self.ends_at.get(key, 0.0) + cost_s)
        self.ends_at[key] = min(end, latest)
        return min(next_window_time(fingerprint, end), latest) - now


def in_window(fingerprint: str, now: float) -> bool:
    """Return whether `now` is in a window of the call with `fingerprint`."""
    window = int(now // WINDOW_S)
    offset = int(now % WINDOW_S < WINDOW_S * LATE_WINDOW_SHARE)
    own_window = _window_of(fingerprint)
    return own_window in (window % PERIOD_WINDOWS, (window - offset) % PERIOD_WINDOWS)


def next_window_time(fingerprint: str, start: float) -> float:
    """Return the first time from `start` on that is in a window of the call.

    The times are spread over the window, so that not all its calls come at its start.
    """
    window = int(start // WINDOW_S)
    if (_window_of(fingerprint) - window) % PERIOD_WINDOWS == 0:
        return start
    window += (_window_of(fingerprint) - window) % PERIOD_WINDOWS
    return (window + start % WINDOW_S / WINDOW_S) * WINDOW_S


def _window_of(fingerprint: str) -> int:
    return shard_of(fingerprint, PERIOD_WINDOWS)
