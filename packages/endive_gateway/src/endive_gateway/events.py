"""Splits streams of server-sent events into events, and checks each of them.

A server in trouble may write anything into the body of a stream. What is not an event
in the service's format must not reach the caller, who could take it for a part of the
response.
"""

import re

from endive_gateway.interfaces import EventFormat

FIRST_LINE_END = re.compile(rb"\r\n|\n|\r(?=[^\n])")
"""The end of the first line. A carriage return at the end of the data so far may be the
first half of a longer line end."""

MAX_EVENT_BYTES = 262_144
"""Largest event that is read as a whole, bytes."""

MAX_ID_DIGITS = 18
MAX_BLANK_LINE_BYTES = 4

EVENT_ID = re.compile(rb"0|[1-9][0-9]{0,17}")
USUAL_EVENT = re.compile(rb"id: ?(0|[1-9][0-9]{0,17})\ndata:[^\r\n\0]*")
"""An event with an id and one line of data, which needs no closer look."""


class EventSplitter:
    """Returns sound and complete events only, and keeps the last event's id.

    A server may fail in the middle of an event. If the partial event had been sent to
    the caller, the events of the server that resumes the stream would be appended to
    it, and a caller that resumes the stream would get a part of it twice.

    Parameters
    ----------
    event_format : EventFormat
        What an event may hold.
    after : str
        Id of the event after which the caller takes the stream up; empty if it begins.

    Attributes
    ----------
    pending : bytes
        The data after the last sound event.
    last_id : str
        Id of the last sound event; empty if there was none.
    next_number : int or None
        The only id that the next event may have; ``None`` if that is unknown.
    line_end : bytes
        Line end of the present server; empty until its first line has ended.
    violation : str
        Why the data after the last sound event is no event; empty if it may be one.
    count : int
        Number of sound events.
    """

    def __init__(
        self, event_format: EventFormat | None = None, after: str = ""
    ) -> None:
        self.format = event_format or EventFormat()
        self.pending = b""
        self.last_id = ""
        self.next_number = self.format.first_id
        if after:
            known = after.isascii() and after.isdigit() and len(after) <= MAX_ID_DIGITS
            self.next_number = int(after) + 1 if known else None
        self.line_end = b""
        self.violation = ""
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Return the sound events that `data` completes.

        Nothing is returned from the first violation on; see :attr:`violation`.
        """
        searched = max(0, len(self.pending) - MAX_BLANK_LINE_BYTES + 1)
        self.pending += data
        if not self.line_end:
            found = FIRST_LINE_END.search(self.pending, searched)
            self.line_end = found[0] if found else b""
        sound_end = self._find_sound_end(searched) if self.line_end else 0
        sound, self.pending = self.pending[:sound_end], self.pending[sound_end:]
        if not self.violation and len(self.pending) > MAX_EVENT_BYTES:
            self.violation = "an event is too large"
        return sound

    def _find_sound_end(self, searched: int) -> int:
        """Return the length of the sound events that the pending data begins with."""
        blank_line = 2 * self.line_end
        start = 0
        while not self.violation:
            end = self.pending.find(blank_line, max(start, searched))
            if end < 0:
                break
            self.violation = self._check(self.pending[start:end])
            if not self.violation:
                start = end + len(blank_line)
        return start

    def _check(self, block: bytes) -> str:
        """Return why a block of lines is no event or comment; empty if it is one."""
        usual = USUAL_EVENT.fullmatch(block)
        if usual and _is_text(block):
            return self._accept(usual[1])
        if not _is_text(block):
            return "an event is not text"
        ids, has_data, has_field = [], False, False
        for line in block.split(self.line_end):
            if b"\r" in line or b"\n" in line:
                return "line ends differ within the stream"
            if line.startswith(b":"):
                continue
            name, _, value = line.partition(b":")
            if name not in self.format.fields:
                return "an event has an unknown field"
            has_field = True
            has_data |= name == b"data"
            if name == b"id":
                ids.append(value.removeprefix(b" "))
        if not has_field:
            return ""
        if len(ids) != 1 or not has_data:
            return "an event has no data, or not one id"
        return self._accept(ids[0])

    def _accept(self, event_id: bytes) -> str:
        """Count an event unless its id is wrong; return why it is."""
        if not EVENT_ID.fullmatch(event_id):
            return "the id of an event is not a number"
        number = int(event_id)
        if self.next_number not in (None, number):
            return f"the event with id {number} is not that with id {self.next_number}"
        self.next_number = number + 1
        self.last_id = event_id.decode()
        self.count += 1
        return ""

    @property
    def is_inside_event(self) -> bool:
        """Whether the data so far ends inside an event; comments are not events."""
        lines = self.pending.splitlines()
        is_comment = all(not line or line.startswith(b":") for line in lines)
        return not (is_comment and _is_text(self.pending))

    def rest(self) -> bytes:
        """Return what follows the last complete event of a stream that has ended."""
        rest, self.pending = self.pending, b""
        return rest

    def discard_partial(self) -> None:
        """Discard what is no sound event; the next server sends that event again."""
        self.pending = b""
        self.violation = ""
        self.line_end = b""


def _is_text(data: bytes) -> bool:
    """Return whether data is text as the event-stream format allows it."""
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return b"\0" not in data
