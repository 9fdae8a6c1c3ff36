"""How far one request has come, and what its time went into.

Kept for its last log line: an engineer who reads that a caller got its answer late has
to see whether it waited for a server, for its first token, or between two events.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class Progress:
    """Times of one request, in seconds on the clock of `received_at`.

    Attributes
    ----------
    received_at : float
        When its first byte came.
    queued_s : float
        Time spent in this node's queue, over all attempts.
    prompt_tokens, uncached_tokens : float
        Length of the prompt, and what placement expected the server to compute.
    yielded : bool
        Whether it went behind the other prompts at its server, being late anyway.
    first_s : float or None
        Time from `received_at` to the first byte of the answer.
    gap_s : float
        Longest time between two pieces of the answer.
    """

    received_at: float
    queued_s: float = 0.0
    prompt_tokens: float = 0.0
    uncached_tokens: float = 0.0
    yielded: bool = False
    first_byte_s: float | None = None
    max_gap_s: float = 0.0
    last_sent_at: float = 0.0

    def dispatched(
        self, queued_s: float, uncached_tokens: float, *, yielded: bool = False
    ) -> None:
        """Note that the request goes to a server."""
        self.queued_s += queued_s
        self.uncached_tokens = uncached_tokens
        self.yielded = yielded

    def chunk_forwarded(self, now: float) -> None:
        """Note that a piece of the answer goes to the caller."""
        if self.first_byte_s is None:
            self.first_byte_s = now - self.received_at
        else:
            self.max_gap_s = max(self.max_gap_s, now - self.last_sent_at)
        self.last_sent_at = now

    def fields(self) -> dict[str, int]:
        """Return what a log line shows: milliseconds and tokens, no zeros."""
        values = {
            "queued_ms": self.queued_s * 1000,
            "first_ms": (self.first_byte_s or 0.0) * 1000,
            "gap_ms": self.max_gap_s * 1000,
            "prompt": self.prompt_tokens,
            "uncached": self.uncached_tokens,
            "yielded": self.yielded,
        }
        return {name: round(value) for name, value in values.items() if value >= 0.5}
