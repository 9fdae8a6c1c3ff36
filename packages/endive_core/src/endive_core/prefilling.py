"""How long a prompt's tokens take at a model server, learned from first tokens.

The load this is for: engines of a kind that nobody declared. Taken for twice as fast as
they are, half of the servers that the load needs are ordered, and a server that holds a
prompt's parts looks hardly better than one that must compute them.

What is learned is the slope of a line through the times to the first token over the
prompt tokens to compute. Waits that have nothing to do with a prompt's length shift the
line but don't turn it, so a busy hour looks no different from a quiet one. On three
kinds of engines a prompt took 1.45 to 1.46 times as long as the engine alone needs for
it, since it takes turns with other requests' tokens; that is what a caller waits for.
"""

PRIOR_TOKENS_PER_S = 60_000.0
"""Guess until first tokens have come: the middle of three kinds of engines measured,
39,000, 63,000 and 75,000. Too low a guess costs some servers more for as long as it
takes to learn, too high a one callers' time."""

MEMORY = 0.01
"""Weight of the newest first token: about the last hundred count, some twenty seconds
of a node with 5 requests a second, so that a wave of reclaims, with its long waits, is
not mistaken for slower engines."""

PRIOR_SAMPLES = 5
PRIOR_DEVIATION_TOKENS = 3_000.0
"""First tokens, and how far their prompts differ in length, that weigh as much as the
guess: after ten seconds of such a node the learned rate counts for most."""

MOST_TIMES_EXPECTED = 2.0
LEAST_BOUND_S = 1.0
"""A first token counts as no later than so many times what was expected, or this: a
server that hangs for ten seconds says nothing of prompts."""

FARTHEST = 20.0
"""Factor by which the learned rate may differ from the guess."""


class PrefillRate:
    """Prompt tokens a second, as a caller waits for them.

    Parameters
    ----------
    tokens_per_s : float
        Guess until something is learned.
    """

    def __init__(self, tokens_per_s: float = PRIOR_TOKENS_PER_S) -> None:
        self.prior_s = 1 / tokens_per_s
        self.samples = 0.0
        self.mean_tokens = 0.0
        self.mean_s = 0.0
        self.variance = 0.0
        self.covariance = 0.0

    def learn(self, tokens: float, seconds: float) -> None:
        """Take in the time to a first token of a prompt with `tokens` to compute."""
        if self.samples:
            expected = (
                self.mean_s + (tokens - self.mean_tokens) * self.seconds_per_token
            )
            bound = max(LEAST_BOUND_S, MOST_TIMES_EXPECTED * expected)
            seconds = min(seconds, bound)
        self.samples = min(self.samples + 1, 1 / MEMORY)
        weight = 1 / self.samples
        off_tokens, off_s = tokens - self.mean_tokens, seconds - self.mean_s
        self.mean_tokens += weight * off_tokens
        self.mean_s += weight * off_s
        kept = 1 - weight
        self.variance = kept * (self.variance + weight * off_tokens**2)
        self.covariance = kept * (self.covariance + weight * off_tokens * off_s)

    @property
    def seconds_per_token(self) -> float:
        """Seconds by which one more token to compute delays the first token."""
        prior = PRIOR_SAMPLES * PRIOR_DEVIATION_TOKENS**2
        learned = self.samples * self.covariance + prior * self.prior_s
        slope = learned / (self.samples * self.variance + prior)
        return min(max(slope, self.prior_s / FARTHEST), self.prior_s * FARTHEST)

    @property
    def tokens_per_s(self) -> float:
        """The same as a rate."""
        return 1 / self.seconds_per_token
