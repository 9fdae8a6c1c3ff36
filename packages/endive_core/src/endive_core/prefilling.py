"""Estimates the prefill rate of model servers from times to first token.

The rate of an engine may not be declared. If it is assumed to be twice as high as it
is, half of the servers that the load needs are ordered, and placement hardly prefers a
server that has a prompt's prefix cached to one that must compute it.

The estimate is the slope of a regression line of the time to first token over the
prompt tokens to compute. Waits that do not depend on a prompt's length shift the line
without changing its slope, so the estimate does not depend on the load. A prompt takes
about 1.45 times as long as the engine alone needs for it, since prefill is interleaved
with the tokens of other requests; the estimate includes this, as it is what a caller
waits for.

Where servers admit by priority, prompts of different priorities wait for different
times. If the urgent prompts are the long ones, the line over all of them falls in an
overload, since the short ones wait longer: in simulations the estimate then rose to 20
times the rate. The slope is therefore that within each group of prompts, whose samples
count from the group's own means. The same holds where short prompts overtake long ones,
since the line over all lengths then rises with the wait, too.
"""

from dataclasses import dataclass

PRIOR_TOKENS_PER_S = 60_000.0
"""Prior estimate, tokens per second, about the median of three kinds of engines with
39,000, 63,000 and 75,000. Until the rate is learned, too low a prior orders more
servers than needed, and too high a one makes callers wait."""

SMOOTHING = 0.01
"""Weight of the newest sample. About the last hundred samples count, which is twenty
seconds of a node with 5 requests per second, so that the long waits during a wave of
reclaims are not taken for slower engines."""

PRIOR_SAMPLES = 5
PRIOR_DEVIATION_TOKENS = 3_000.0
"""Weight of the prior: the number of samples, and the standard deviation of their
prompt lengths, that weigh as much as the prior. After ten seconds of a node with 5
requests per second the learned rate outweighs it."""

MAX_TIMES_EXPECTED = 2.0
MIN_BOUND_S = 1.0
"""Upper bound of a sample: the larger of this multiple of the expected time and this
number of seconds. A server that hangs for ten seconds says nothing about prefill."""

MAX_FACTOR_FROM_PRIOR = 20.0
"""Greatest factor by which the learned rate may differ from the prior."""


@dataclass(slots=True)
class GroupMeans:
    """Moving averages of the prompts of one group."""

    samples: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0

    def add(self, tokens: float, seconds: float) -> tuple[float, float]:
        """Add a sample; return its deviations from the means before it."""
        self.samples = min(self.samples + 1, 1 / SMOOTHING)
        weight = 1 / self.samples
        deviations = tokens - self.tokens, seconds - self.seconds
        self.tokens += weight * deviations[0]
        self.seconds += weight * deviations[1]
        return deviations


class PrefillRate:
    """Online estimate of the prefill rate, by exponentially weighted regression.

    Parameters
    ----------
    tokens_per_s : float
        Prior estimate, tokens per second.
    """

    def __init__(self, tokens_per_s: float = PRIOR_TOKENS_PER_S) -> None:
        self.prior_s = 1 / tokens_per_s
        self.samples = 0.0
        self.means: dict[int, GroupMeans] = {}
        self.variance = 0.0
        self.covariance = 0.0

    def learn(self, tokens: float, seconds: float, group: int = 0) -> None:
        """Add the time to first token of a prompt with `tokens` to compute.

        Parameters
        ----------
        group : int
            Prompts of one group wait for the same time on average.
        """
        means = self.means.setdefault(group, GroupMeans())
        if means.samples:
            expected = means.seconds + (tokens - means.tokens) * self.seconds_per_token
            bound = max(MIN_BOUND_S, MAX_TIMES_EXPECTED * expected)
            seconds = min(seconds, bound)
        self.samples = min(self.samples + 1, 1 / SMOOTHING)
        deviation_tokens, deviation_s = means.add(tokens, seconds)
        weight = 1 / self.samples
        decay = 1 - weight
        self.variance = decay * (self.variance + weight * deviation_tokens**2)
        self.covariance = decay * (
            self.covariance + weight * deviation_tokens * deviation_s
        )

    @property
    def seconds_per_token(self) -> float:
        """Seconds by which each further token to compute delays the first token."""
        prior = PRIOR_SAMPLES * PRIOR_DEVIATION_TOKENS**2
        learned = self.samples * self.covariance + prior * self.prior_s
        slope = learned / (self.samples * self.variance + prior)
        return min(
            max(slope, self.prior_s / MAX_FACTOR_FROM_PRIOR),
            self.prior_s * MAX_FACTOR_FROM_PRIOR,
        )

    @property
    def tokens_per_s(self) -> float:
        """Estimated prefill rate, tokens per second."""
        return 1 / self.seconds_per_token
