"""Splits streams of server-sent events into events, and checks each of them.

A server in trouble may write anything into the body of a stream. What is not an event
in the service's format must not reach the caller, who could take it for a part of the
response.
"""

import re
from functools import cache

from endive_gateway.interfaces import EventFormat

FIRST_LINE_END = re.compile(rb"\r\n|\n|\r(?=[^\n])")
"""The end of the first line. A carriage return at the end of the data so far may be the
first half of a longer line end."""

MAX_EVENT_BYTES = 262_144
"""Largest event that is read as a whole, bytes."""

MAX_ID_DIGITS = 18
MAX_BLANK_LINE_BYTES = 4

MAX_COMMENT_BYTES = 65_536
"""Comments between two events, bytes. Servers send one of a few bytes a second at most
to keep a connection open."""

EVENT_ID = re.compile(rb"0|[1-9][0-9]{0,17}")
USUAL_EVENT = re.compile(rb"id: ?(0|[1-9][0-9]{0,17})\ndata:[^\r\n\0]*")
"""An event with an id and one line of data, which needs no closer look."""


class SoundBlocks:
    """Patterns of sound blocks of lines: events and comments.

    Attributes
    ----------
    run : Pattern
        Events with one id and data, and comments, one after the other.
    event_ids : Pattern
        Finds the ids of the events in such a run.
    """

    def __init__(self, fields: frozenset[bytes], line_end: bytes) -> None:
        # Possessive quantifiers: a long run takes no memory for backtracking.
        text = rb"[^\r\n\0]*+"
        number = rb"(?:0|[1-9][0-9]{0,17}+)"
        names = b"|".join(map(re.escape, sorted(fields - {b"id"})))
        comment = rb":%b%b" % (text, line_end)
        event_id = rb"id: ?%b%b" % (number, line_end)
        other = rb"(?:(?:(?:%b)(?::%b)?+%b)|%b)*+" % (names, text, line_end, comment)
        has_data = rb"(?=(?:(?!data[:\r\n])[^\r\n\0]++%b)*+data[:\r\n])" % line_end
        blocks = (
            rb"(?:%b)++%b" % (comment, line_end),
            rb"%bdata:%b%b%b" % (event_id, text, line_end, line_end),
            rb"%b%b%b%b%b" % (has_data, other, event_id, other, line_end),
        )
        self.run = re.compile(rb"(?:%b)++" % b"|".join(blocks))
        # With "id" ahead of the check that a line begins there, the search is fast.
        at_line = rb"id(?<![^\r\n]id)"
        self.event_ids = re.compile(rb"%b: ?(%b)%b" % (at_line, number, line_end))


@cache
def sound_blocks(fields: frozenset[bytes], line_end: bytes) -> SoundBlocks:
    """Return the patterns for some names of fields and one kind of line ends."""
    return SoundBlocks(fields, line_end)


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
    comment_bytes : int
        Bytes of comments since the last sound event.
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
        self.comment_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Return the sound events that `data` completes.

        Nothing is returned from the first violation on; see :attr:`violation`.
        """
        searched = max(0, len(self.pending) - MAX_BLANK_LINE_BYTES + 1)
        self.pending += data
        if not self.line_end:
            found = FIRST_LINE_END.search(self.pending, searched)
            self.line_end = found[0] if found else b""
        count = self.count
        sound_end = self._find_sound_end(searched) if self.line_end else 0
        sound, self.pending = self.pending[:sound_end], self.pending[sound_end:]
        if self.count == count:
            self.comment_bytes += len(sound)
        else:
            self.comment_bytes = 0
        if not self.violation:
            self.violation = self._check_sizes()
        return sound

    def _check_sizes(self) -> str:
        """Return what there is too much of; empty if nothing."""
        if len(self.pending) > MAX_EVENT_BYTES:
            return "an event is too large"
        if self.comment_bytes > MAX_COMMENT_BYTES:
            return "there are too many comments between two events"
        return ""

    def _find_sound_end(self, searched: int) -> int:
        """Return the length of the sound events that the pending data begins with."""
        blank_line = 2 * self.line_end
        start = unsound_until = 0
        while not self.violation:
            end = self.pending.find(blank_line, max(start, searched))
            if end < 0:
                break
            block_end = end + len(blank_line)
            if start >= unsound_until and block_end < len(self.pending):
                unsound_until = self._find_run_end(start)
                if unsound_until and self._accept_run(start, unsound_until):
                    start = unsound_until
                    continue
            self.violation = self._check(self.pending[start:end])
            if not self.violation:
                start = block_end
        return start

    def _find_run_end(self, start: int) -> int:
        """Return where the run of blocks at `start` ends; 0 if there is none."""
        blocks = sound_blocks(self.format.fields, self.line_end)
        run = blocks.run.match(self.pending, start)
        return run.end() if run else 0

    def _accept_run(self, start: int, end: int) -> bool:
        """Accept a run of blocks if it is text and has the ids that it may have."""
        if not _is_text(self.pending[start:end]):
            return False
        blocks = sound_blocks(self.format.fields, self.line_end)
        ids = blocks.event_ids.findall(self.pending, start, end)
        if not ids:
            return True
        first = int(ids[0]) if self.next_number is None else self.next_number
        next_number = first + len(ids)
        if ids != [b"%d" % number for number in range(first, next_number)]:
            return False
        self.next_number = next_number
        self.last_id = ids[-1].decode()
        self.count += len(ids)
        return True

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
        self.comment_bytes = 0


def _is_text(data: bytes) -> bool:
    """Return whether data is text as the event-stream format allows it."""
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return b"\0" not in data
