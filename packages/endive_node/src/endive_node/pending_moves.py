"""A stream's move off a backend server, as mover and driver share it."""

from gevent.event import Event

MOVE_TIMEOUT_S = 2.0
"""Longest an attempt that was cut off waits to hear whether its stream has moved."""


class PendingMove:
    """A stream on its way off a server: who stops it there fills in what it had.

    Attributes
    ----------
    blob : dict or None
        The exported KV cache; without it the next server computes prompt and tokens
        again.
    """

    def __init__(self) -> None:
        self.tokens: list[str] = []
        self.kv_cache: dict | None = None
        self.done = Event()
        self.stopped = False

    def set_result(
        self, tokens: list[str] | None, kv_cache: dict | None = None
    ) -> None:
        """Note what the server gave up, or with ``None`` that it did not answer."""
        self.stopped = tokens is not None
        self.tokens = tokens or []
        self.kv_cache = kv_cache
        self.done.set()

    def wait(self) -> bool:
        """Return whether the server confirmed that the stream stopped there."""
        return self.done.wait(MOVE_TIMEOUT_S) and self.stopped
