"""Estimates that admission learns from finished calls."""

from dataclasses import dataclass

from endive_core.service_types import ServiceType

INITIAL_TOKENS_PER_SLOT_S = 50.0
INITIAL_HELD_S = 4.0
"""Initial estimates until calls have finished: an engine's decode rate in tokens per
second, and the time of 200 tokens at that rate."""

PLAIN_CALLS_PER_SLOT_S = 20.0
PLAIN_HELD_S = 0.05
"""Initial estimates for a plain service, whose calls cost one token each."""

RATE_SMOOTHING = 0.05
"""Weight of the newest finished call in the learned rates. They average about the last
20 calls, so they follow a change of the request mix within seconds of full load."""

ERROR_SMOOTHING = 0.1
"""Weight of the newest prediction error. A burst must be noticed within ten calls,
because that many are late until then."""


@dataclass
class ServiceRate:
    """Throughput of one server slot, learned from finished calls.

    Attributes
    ----------
    tokens_per_slot_s : float
        Tokens charged for each second that a slot was held.
    held_s : float
        Mean seconds for which a call holds its slot.
    start_s : float
        Mean seconds from dispatch to the first token, without the call's own prefill.
    answer_share : float
        Mean length of answers as a share of the ``max_tokens`` allowed.
    started_at : float
        Clock time of the last first token, seconds.
    """

    tokens_per_slot_s: float
    held_s: float
    start_s: float = 0.0
    answer_share: float = 1.0
    started_at: float = float("-inf")

    @classmethod
    def for_service(cls, service_type: ServiceType) -> "ServiceRate":
        """Return the initial estimate for a service without finished calls."""
        if service_type is ServiceType.PLAIN:
            return cls(PLAIN_CALLS_PER_SLOT_S, PLAIN_HELD_S)
        return cls(INITIAL_TOKENS_PER_SLOT_S, INITIAL_HELD_S)

    def learn(self, *, tokens: float, held_s: float) -> None:
        """Update the estimates with one finished call."""
        if held_s > 0:
            self.held_s += RATE_SMOOTHING * (held_s - self.held_s)
            self.tokens_per_slot_s += RATE_SMOOTHING * (
                tokens / held_s - self.tokens_per_slot_s
            )

    def learn_start(self, start_s: float, now: float) -> None:
        """Update the estimate with the start time of one call."""
        self.started_at = now
        self.start_s += RATE_SMOOTHING * (max(0.0, start_s) - self.start_s)

    def learn_answer(self, tokens: int, max_tokens: int) -> None:
        """Update the estimate with the length of one answer."""
        self.answer_share += RATE_SMOOTHING * (
            tokens / max(1, max_tokens) - self.answer_share
        )


@dataclass
class WaitErrorEstimate:
    """Error of the predicted waits, estimated like a TCP round-trip time.

    A prediction from the mean rate is too short for half of the calls. With the mean
    error and some mean deviations added, few admitted calls are late.

    Attributes
    ----------
    mean_s, deviation_s : float
        Smoothed error (observed less predicted) and its absolute deviation, seconds.
    """

    mean_s: float = 0.0
    deviation_s: float = 0.0

    def learn(self, error_s: float) -> None:
        """Update the estimate with one call's observed wait less the predicted one."""
        deviation = error_s - self.mean_s
        self.mean_s += ERROR_SMOOTHING * deviation
        self.deviation_s += ERROR_SMOOTHING * (abs(deviation) - self.deviation_s)

    def allowance_s(self, deviations: float) -> float:
        """Return the seconds to add to a prediction so that few calls wait longer."""
        return max(0.0, self.mean_s + deviations * self.deviation_s)
