"""Splits streams of server-sent events into events."""

import re

from endive_gateway.exceptions import BadMessageError

LINE_END = rb"(?>\r\n|\r|\n)"
EVENT_END = re.compile(LINE_END + LINE_END)
MAX_EVENT_END_BYTES = 4
EVENT_ID = re.compile(rb"(?:\A|[\r\n])id:[ ]?([^\r\n]*)")


MAX_EVENT_BYTES = 262_144
"""Largest event that is read as a whole, bytes."""


class EventSplitter:
    """Returns complete events only, and keeps the last event's id.

    A server may fail in the middle of an event. If the partial event had been sent to
    the caller, the events of the server that resumes the stream would be appended to
    it, and a caller that resumes the stream would get a part of it twice.

    Attributes
    ----------
    pending : bytes
        The incomplete event at the end of the data so far.
    last_id : str
        Id of the last complete event that has one.
    count : int
        Number of complete events.
    unnumbered : int
        Number of those without an id.
    """

    def __init__(self) -> None:
        self.pending = b""
        self.last_id = ""
        self.count = 0
        self.unnumbered = 0

    def feed(self, data: bytes) -> bytes:
        """Return the events that `data` completes.

        Raises
        ------
        BadMessageError
            If an event is too large.
        """
        searched = max(0, len(self.pending) - MAX_EVENT_END_BYTES)
        self.pending += data
        end, count_before = 0, self.count
        for match in EVENT_END.finditer(self.pending, searched):
            end = match.end()
            self.count += 1
        whole, self.pending = self.pending[:end], self.pending[end:]
        if len(self.pending) > MAX_EVENT_BYTES:
            raise BadMessageError("an event is too large")
        ids = [match[1] for match in EVENT_ID.finditer(whole)]
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        numbered = sum(map(bool, ids))
        self.unnumbered += max(0, self.count - count_before - numbered)
        return whole

    @property
    def is_inside_event(self) -> bool:
        """Whether the data so far ends inside an event; comments are not events."""
        return any(
            line and not line.startswith(b":") for line in self.pending.splitlines()
        )

    def rest(self) -> bytes:
        """Return what follows the last complete event of a stream that has ended."""
        rest, self.pending = self.pending, b""
        return rest

    def discard_partial(self) -> None:
        """Discard an incomplete event, which the next server sends again."""
        self.pending = b""
