"""When a refused call should come back, and that it is let in then.

The load this is for: thousands refused within one second, or more work than capacity
for minutes. A caller who comes back when it was told to, and is refused again, has
waited for nothing and loads the node once more.
"""

from endive_core.hashing import shard_of

TURN_S = 0.5
"""Length of the window in which a refused call has its turn, seconds: longer than
clocks differ and networks delay."""

TURN_PERIOD = 8
"""Windows between two turns of one call: a caller waits 2 s longer on average than the
line demands, and one first call in eight comes in its turn by chance."""

LATE_PART = 0.5
"""Part of the next window in which a caller who is late still has its turn."""


class ReturnTimes:
    """Times to come back, handed out so that those who keep them are let in.

    The load this is for: thousands refused within one second, or more work than
    capacity for minutes. Told the same time, all would come back in the same second;
    and callers who come for the first time would take the room that those who waited
    were told of. So each refused call moves its organisation's line back by what it
    costs, and while the line is not empty a call may join the queue only in its turn.

    A caller may come back to another node, which has not heard of it. So its turns
    follow from its fingerprint: one window in `TURN_PERIOD`, the same on every node.
    Nobody has to remember or to be told anything, and only one first call in a few
    comes in its turn by chance.
    """

    def __init__(self, *, min_s: float, max_s: float) -> None:
        self.min_s = min_s
        self.max_s = max_s
        self.ends_at: dict[tuple[str, int], float] = {}

    def may_enter(self, key: tuple[str, int], fingerprint: str, now: float) -> bool:
        """Return whether a call may join the queue without jumping the line."""
        if self.ends_at.get(key, 0.0) <= now:
            return True
        return is_turn(fingerprint, now)

    def jumped(self, key: tuple[str, int], now: float, *, cost_s: float) -> None:
        """Move the line back for a call that found room out of its turn."""
        if self.ends_at.get(key, 0.0) > now:
            self.ends_at[key] += cost_s

    def give(
        self,
        key: tuple[str, int],
        fingerprint: str,
        now: float,
        *,
        excess_s: float,
        cost_s: float,
    ) -> float:
        """Return the seconds after which the refused call should come back.

        Parameters
        ----------
        key : tuple of str and int
            Organisation and rank.
        fingerprint : str
            The call's fingerprint, which decides its turns.
        excess_s : float
            Time until the queue is short enough for one more call.
        cost_s : float
            Time the organisation's share needs for this call.
        """
        earliest = now + max(self.min_s, excess_s)
        end = max(earliest, self.ends_at.get(key, 0.0) + cost_s)
        self.ends_at[key] = min(end, now + self.max_s)
        return min(next_turn(fingerprint, end) - now, self.max_s)


def is_turn(fingerprint: str, now: float) -> bool:
    """Return whether a call with `fingerprint` has its turn at `now`."""
    window = int(now // TURN_S)
    offset = int(now % TURN_S < TURN_S * LATE_PART)
    turn = _turn(fingerprint)
    return turn in (window % TURN_PERIOD, (window - offset) % TURN_PERIOD)


def next_turn(fingerprint: str, start: float) -> float:
    """Return the first time from `start` on at which a call has its turn.

    Spread over the window, so that not all of one turn come at its start.
    """
    window = int(start // TURN_S)
    if (_turn(fingerprint) - window) % TURN_PERIOD == 0:
        return start
    window += (_turn(fingerprint) - window) % TURN_PERIOD
    return (window + start % TURN_S / TURN_S) * TURN_S


def _turn(fingerprint: str) -> int:
    return shard_of(fingerprint, TURN_PERIOD)
