"""The move of a stream off a backend server, shared by its mover and its driver."""

from gevent.event import Event

MOVE_TIMEOUT_S = 2.0
"""Seconds for which an attempt that was stopped waits for the result of the move."""


class PendingMove:
    """A stream that leaves its server.

    The StreamMover that stops the stream sets the result; the run's driver waits for
    it and continues elsewhere.

    Attributes
    ----------
    tokens : list of str
        The whole response so far, as the server reported it.
    stopped : bool
        Whether the server confirmed that the stream stopped.
    kv_cache : dict or None
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
        """Set the tokens and KV cache that the server returned.

        Parameters
        ----------
        tokens : list of str or None
            ``None`` if the server did not confirm that it stopped the stream.
        kv_cache : dict, optional
            The exported KV cache.
        """
        self.stopped = tokens is not None
        self.tokens = tokens or []
        self.kv_cache = kv_cache
        self.done.set()

    def wait(self) -> bool:
        """Wait for the result; return whether the server confirmed the stop."""
        return self.done.wait(MOVE_TIMEOUT_S) and self.stopped
