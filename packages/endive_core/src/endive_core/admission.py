"""Admission: predict the first token's time, and refuse at once if it comes too late.

The load this is for: more work than the servers can do. A call that waits and then
misses its target holds a slot for an answer nobody waits for, and its caller learns
too late that it should have gone elsewhere. Refused at once, it has cost nothing, and
the time to come back is one at which it will be taken.
"""

from dataclasses import dataclass

from endive_core.calls import Call

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

DEVIATIONS = 2.0
"""Mean deviations added to a prediction; about 95 in 100 waits lie below."""


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
    error and twice the mean deviation on top, few admitted calls are late.

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

    @property
    def allowance_s(self) -> float:
        """Seconds to add to a prediction so that few calls wait longer."""
        return max(0.0, self.mean_s + DEVIATIONS * self.deviation_s)


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


class Appointments:
    """Times to come back, handed out so that not all who were refused come at once.

    The load this is for: thousands refused within one second. Told the same time,
    they would all come back in the same second, and all but a few be refused again.
    Each refused call moves its organisation's next time back by what the call costs.
    """

    def __init__(self, *, min_s: float, max_s: float) -> None:
        self.min_s = min_s
        self.max_s = max_s
        self.next_at: dict[tuple[str, int], float] = {}

    def give(
        self, key: tuple[str, int], now: float, *, excess_s: float, cost_s: float
    ) -> float:
        """Return the seconds after which the refused call should come back.

        Parameters
        ----------
        key : tuple of str and int
            Organisation and rank.
        excess_s : float
            Time until the queue is short enough for one more call.
        cost_s : float
            Time the organisation's share needs for this call.
        """
        earliest = now + max(self.min_s, excess_s)
        at = max(earliest, self.next_at.get(key, 0.0) + cost_s)
        at = min(at, now + self.max_s)
        self.next_at[key] = at
        return at - now
