"""What admission learns from the calls that went before."""

from dataclasses import dataclass

from endive_core.service_types import ServiceType

FIRST_TOKENS_PER_SLOT_S = 50.0
FIRST_HELD_S = 4.0
"""Guesses until calls have finished: an engine's decode rate, and 200 tokens at it."""

PLAIN_CALLS_PER_SLOT_S = 20.0
PLAIN_HELD_S = 0.05
"""The same for a plain service, whose calls cost one token each."""

RATE_MEMORY = 0.05
"""Weight of the newest finished call in the learned rates; about the last 20 calls,
so that a change of the mix is followed within seconds of full load."""

ERROR_MEMORY = 0.1
"""Weight of the newest error of a prediction: a burst must be noticed within ten
calls, for that many are late until then."""


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

    @classmethod
    def for_service(cls, service_type: ServiceType) -> "ServiceRate":
        """Return the guess for a service of which nothing is known yet."""
        if service_type is ServiceType.PLAIN:
            return cls(PLAIN_CALLS_PER_SLOT_S, PLAIN_HELD_S)
        return cls(FIRST_TOKENS_PER_SLOT_S, FIRST_HELD_S)

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
