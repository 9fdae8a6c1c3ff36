"""Timing of one request, for its final log line.

The log line of a late response must show whether the time passed in the queue, before
the first byte, or between two events.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class Progress:
    """Timing of one request, in seconds on the clock of `received_at`.

    Attributes
    ----------
    received_at : float
        When the first byte of the request was received.
    queued_s : float
        Total time in this node's queue before all attempts.
    prompt_tokens, uncached_tokens : float
        Tokens of the prompt, and those that placement expected the server to compute.
    yielded : bool
        Whether it had the lowest priority at its server, as it would be late anyway.
    first_byte_s : float or None
        Time from `received_at` to the first byte of the response.
    max_gap_s : float
        Longest time between two chunks of the response.
    last_sent_at : float
        When the latest chunk was sent to the caller.
    events : int
        Complete events of the stream.
    unfinished_bytes : int
        Bytes received after the last complete event, when the stream ended.
    ends_with_connection : bool
        Whether the response has neither a length nor chunks.
    """

    received_at: float
    queued_s: float = 0.0
    prompt_tokens: float = 0.0
    uncached_tokens: float = 0.0
    yielded: bool = False
    first_byte_s: float | None = None
    max_gap_s: float = 0.0
    last_sent_at: float = 0.0
    events: int = 0
    unfinished_bytes: int = 0
    ends_with_connection: bool = False

    def dispatched(
        self, queued_s: float, uncached_tokens: float, *, yielded: bool = False
    ) -> None:
        """Record that the request is sent to a server."""
        self.queued_s += queued_s
        self.uncached_tokens = uncached_tokens
        self.yielded = yielded

    def chunk_forwarded(self, now: float) -> None:
        """Record that a chunk of the response is sent to the caller."""
        if self.first_byte_s is None:
            self.first_byte_s = now - self.received_at
        else:
            self.max_gap_s = max(self.max_gap_s, now - self.last_sent_at)
        self.last_sent_at = now

    def fields(self) -> dict[str, int]:
        """Return the non-zero fields of the log line.

        They are in milliseconds, tokens, events and bytes.
        """
        values = {
            "queued_ms": self.queued_s * 1000,
            "first_ms": (self.first_byte_s or 0.0) * 1000,
            "gap_ms": self.max_gap_s * 1000,
            "prompt": self.prompt_tokens,
            "uncached": self.uncached_tokens,
            "yielded": self.yielded,
            "events": self.events,
            "unfinished": self.unfinished_bytes,
            "unframed": self.ends_with_connection,
        }
        return {name: round(value) for name, value in values.items() if value >= 0.5}
