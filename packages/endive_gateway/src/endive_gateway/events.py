"""Where the events of a stream begin and end."""

import re

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)\r?$", re.MULTILINE)


class EventSplitter:
    """Passes on whole events only, and remembers the last one's id.

    A server that breaks off may do so in the middle of an event. Had its first half
    gone to the caller, the run that goes on elsewhere would begin with an event that
    can't be told from the rest of it.
    """

    def __init__(self) -> None:
        self.pending = b""
        self.last_id = ""
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that `data` completes."""
        self.pending += data
        end = 0
        for match in EVENT_END.finditer(self.pending):
            end = match.end()
            self.count += 1
        whole, self.pending = self.pending[:end], self.pending[end:]
        for match in EVENT_ID.finditer(whole):
            self.last_id = match[1].decode("latin-1")
        return whole

    def rest(self) -> bytes:
        """Return what follows the last whole event of a stream that has ended."""
        rest, self.pending = self.pending, b""
        return rest

    def discard_partial(self) -> None:
        """Forget the broken event: another server sends it again."""
        self.pending = b""
