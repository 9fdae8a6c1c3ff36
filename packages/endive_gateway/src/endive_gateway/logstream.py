"""Where log lines go: standard output, bounded, and never waited for.

A reader of the logs may stall, and a flood of requests may bring a line each. Written
as usual, the first would stop every request of the process in the middle of a line, and
the second would cost more than the requests themselves.
"""

import logging
import os
import time

from endive_node.logs import logger

LINE_FORMAT = (
    "%(levelname).1s%(asctime)s.%(msecs)03d %(process)d "
    "%(filename)s:%(lineno)d] %(message)s"
)
TIME_FORMAT = "%m%d %H:%M:%S"
"""Lines begin as those of ``absl.logging`` do, which operators' tools read already."""

LINES_PER_S = 400.0
BURST_LINES = 2000.0
"""Lines written each second, and at once beyond that. The busiest node of the users
writes 60 a second; a line costs 40 us."""

MAX_PENDING_BYTES = 65_536
"""Most bytes kept for a reader that is slow: what a pipe holds once more."""


class LogStream:
    """A text stream over a descriptor that drops lines instead of waiting.

    Attributes
    ----------
    dropped : int
        Lines not written since the last line that says so.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        os.set_blocking(descriptor, False)
        self.pending = b""
        self.dropped = 0
        self.tokens = BURST_LINES
        self.refilled_at = time.monotonic()

    def write(self, text: str) -> int:
        """Write a line, or drop it."""
        if not text.strip():
            return len(text)
        if not self._take_token():
            self.dropped += 1
            return len(text)
        line = text if text.endswith("\n") else text + "\n"
        if self.dropped:
            line = f"event=logs_dropped lines={self.dropped}\n{line}"
        if len(self.pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            self.flush()
            return len(text)
        self.dropped = 0
        self.pending += line.encode("utf-8", "replace")
        self.flush()
        return len(text)

    def _take_token(self) -> bool:
        now = time.monotonic()
        self.tokens += (now - self.refilled_at) * LINES_PER_S
        self.tokens = min(BURST_LINES, self.tokens)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def flush(self) -> None:
        """Hand over as much as the reader takes at once."""
        while self.pending:
            try:
                written = os.write(self.descriptor, self.pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good; there is nobody left to tell.
                self.pending = b""
                return
            self.pending = self.pending[written:]

    def close(self) -> None:
        """Hand over what is left; the descriptor stays open for the process's end."""
        self.flush()


def log_to(descriptor: int) -> None:
    """Let all log lines of this process go to a descriptor."""
    handler = logging.StreamHandler(LogStream(descriptor))
    handler.setFormatter(logging.Formatter(LINE_FORMAT, TIME_FORMAT))
    logger.addHandler(handler)
    logger.propagate = False
