"""Admission: predict the first token's time, and refuse at once if it comes too late.

The load this is for: more work than the servers can do. A call that waits and then
misses its target holds a slot for an answer nobody waits for, and its caller learns
too late that it should have gone elsewhere. Refused at once, it has cost nothing, and
the time to come back is one at which it will be taken.
"""

from dataclasses import dataclass

from endive_core.calls import Call
from endive_core.hashing import shard_of

FLOOR_PART = 0.25
"""Part of the target that a call may always wait. A prompt whose own computation takes
longer than the target can never meet it, and to send its caller away for later would
be no honest answer; it is admitted while the wait is short."""

RATE_MEMORY = 0.05
"""Weight of the newest finished call in the learned rates; about the last 20 calls,
so that a change of the mix is followed within seconds of full load."""

ERROR_MEMORY = 0.1
"""Weight of the newest error of a prediction: a burst must be noticed within ten
calls, for that many are late until then."""

TURN_S = 0.5
"""Length of the window in which a refused call has its turn, seconds: longer than
clocks differ and networks delay."""

TURN_PERIOD = 8
"""Windows between two turns of one call: a caller waits 2 s longer on average than the
line demands, and one first call in eight comes in its turn by chance."""

LATE_PART = 0.5
"""Part of the next window in which a caller who is late still has its turn."""


@dataclass
class ServiceRate:
    """What one slot does a second, learned from finished calls.

    Attributes
    ----------
    tokens_per_slot_s : float
        Tokens charged for each second that a slot was held.
    held_s : float
        Mean seconds for which a call holds its slot.
    start_s : float
        Mean time from sending to the first token, without the call's own prefill.
    answer_part : float
        Part of the most tokens allowed that answers really have.
    """

    tokens_per_slot_s: float
    held_s: float
    start_s: float = 0.0
    answer_part: float = 1.0

    def learn(self, *, tokens: float, held_s: float) -> None:
        """Take in one finished call."""
        if held_s > 0:
            self.held_s += RATE_MEMORY * (held_s - self.held_s)
            self.tokens_per_slot_s += RATE_MEMORY * (
                tokens / held_s - self.tokens_per_slot_s
            )

    def learn_start(self, start_s: float) -> None:
        """Take in one first token's time."""
        self.start_s += RATE_MEMORY * (max(0.0, start_s) - self.start_s)

    def learn_answer(self, tokens: int, max_tokens: int) -> None:
        """Take in one answer's length."""
        self.answer_part += RATE_MEMORY * (
            tokens / max(1, max_tokens) - self.answer_part
        )


@dataclass
class WaitError:
    """How far predictions of the wait have been off, like a round-trip estimator.

    A prediction from the mean rate is too short for half of the calls. With the mean
    error and some mean deviations on top, few admitted calls are late.

    Attributes
    ----------
    mean_s, deviation_s : float
        Smoothed error (observed less predicted) and its absolute deviation, seconds.
    """

    mean_s: float = 0.0
    deviation_s: float = 0.0

    def learn(self, error_s: float) -> None:
        """Take in one call's observed wait less the predicted one."""
        off = error_s - self.mean_s
        self.mean_s += ERROR_MEMORY * off
        self.deviation_s += ERROR_MEMORY * (abs(off) - self.deviation_s)

    def allowance_s(self, deviations: float) -> float:
        """Return the seconds to add to a prediction so that few calls wait longer."""
        return max(0.0, self.mean_s + deviations * self.deviation_s)


@dataclass(frozen=True)
class Prediction:
    """When a call's first token is expected, in seconds from now.

    Attributes
    ----------
    wait_s : float
        Mean time in the node's queue.
    allowance_s : float
        What to add to `wait_s` so that few calls wait longer.
    service_s : float
        Time at the server until the first token.
    drain_s : float
        Time by which the wait grows for each further token queued.
    """

    wait_s: float
    allowance_s: float
    service_s: float
    drain_s: float

    @property
    def first_token_s(self) -> float:
        """Mean seconds from now to the first token."""
        return self.wait_s + self.service_s

    @property
    def long_wait_s(self) -> float:
        """Seconds in the queue that few calls exceed."""
        return self.wait_s + self.allowance_s


def allowed_wait_s(
    call: Call, prediction: Prediction, *, margin: float, max_bulk_wait_s: float
) -> float:
    """Return the longest wait in the queue with which `call` is still admitted."""
    if call.bulk:
        return max_bulk_wait_s
    left = call.target_s * margin - prediction.service_s
    return max(left, call.target_s * FLOOR_PART)


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
