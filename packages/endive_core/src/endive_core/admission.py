"""Admission: predict the first token's time, and refuse at once if it comes too late.

The load this is for: more work than the servers can do. A call that waits and then
misses its target holds a slot for an answer nobody waits for, and its caller learns
too late that it should have gone elsewhere. Refused at once, it has cost nothing, and
the time to come back is one at which it will be taken.
"""

from collections import deque
from dataclasses import dataclass, field

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

MAX_TIMES = 10_000
"""Times remembered for one organisation and rank, 1 MB; later ones are given too."""

DUE_MEMORY_S = 5.0
"""Seconds after the last time given until callers who never came back are forgotten;
until then each lets one other call in."""


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


@dataclass
class Line:
    """The times to come back given to one organisation at one rank.

    Attributes
    ----------
    last_at : float
        The latest time given.
    times : deque of float
        Times given that are not yet due, earliest first.
    due : int
        Times that have passed and whose callers have not been let in.
    """

    last_at: float = 0.0
    times: deque[float] = field(default_factory=deque)
    due: int = 0

    def pass_to(self, now: float) -> None:
        """Move the times that have passed from `times` to `due`."""
        while self.times and self.times[0] <= now:
            self.times.popleft()
            self.due += 1
        if not self.times and now - self.last_at > DUE_MEMORY_S:
            self.due = 0


class Appointments:
    """Times to come back, handed out so that not all who were refused come at once.

    The load this is for: thousands refused within one second. Told the same time,
    they would all come back in the same second, and all but a few be refused again.
    Each refused call moves its organisation's next time back by what the call costs.
    While times are outstanding, a call beyond the number now due has jumped the line:
    it is refused, or moves the line back, so that those told a time find room then.
    Callers may come back to another node; all nodes count alike, so this holds on
    average.
    """

    def __init__(self, *, min_s: float, max_s: float) -> None:
        self.min_s = min_s
        self.max_s = max_s
        self.lines: dict[tuple[str, int], Line] = {}

    def may_enter(self, key: tuple[str, int], now: float) -> bool:
        """Return whether a call may join the queue without jumping the line."""
        line = self.lines.get(key)
        if line is None:
            return True
        line.pass_to(now)
        return line.due > 0 or not line.times

    def entered(self, key: tuple[str, int], now: float, *, cost_s: float) -> None:
        """Count a call let in."""
        line = self.lines.get(key)
        if line is None:
            return
        line.pass_to(now)
        if line.due > 0:
            line.due -= 1
        elif line.times:
            line.last_at += cost_s

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
        line = self.lines.setdefault(key, Line())
        line.pass_to(now)
        earliest = now + max(self.min_s, excess_s)
        at = min(max(earliest, line.last_at + cost_s), now + self.max_s)
        line.last_at = max(line.last_at, at)
        if len(line.times) < MAX_TIMES:
            line.times.append(at)
        return at - now
