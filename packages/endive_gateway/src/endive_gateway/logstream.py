"""Non-blocking, rate-limited output of log lines.

A log reader may stall, and a burst of requests may log a line each. With blocking
writes, a stalled reader would stop all requests of the process. Without a rate limit,
logging a burst would cost more than processing its requests.
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
"""Lines have the prefix of ``absl.logging``, which operators' tools already parse."""

LINES_PER_S = 400.0
BURST_LINES = 2000.0
"""Rate and burst of the token bucket that limits lines. The busiest known node writes
60 lines a second, and each costs 40 us."""

MAX_PENDING_BYTES = 65_536
"""Most bytes buffered for a slow reader: as many as the buffer of a pipe holds."""


class LogStream:
    """A text stream over a file descriptor that drops lines instead of blocking.

    Attributes
    ----------
    dropped : int
        Lines dropped since the last line that reported dropped ones.
    tokens : float
        Tokens left in the bucket that limits lines.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        os.set_blocking(descriptor, False)
        self.pending = b""
        self.dropped = 0
        self.tokens = BURST_LINES
        self.refilled_at = time.monotonic()

    def write(self, text: str) -> int:
        """Write a line, or drop it if it exceeds the rate or the buffer."""
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
        """Write as much as the descriptor takes without blocking."""
        while self.pending:
            try:
                written = os.write(self.descriptor, self.pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end and can't return.
                self.pending = b""
                return
            self.pending = self.pending[written:]

    def close(self) -> None:
        """Flush the buffer; the descriptor stays open until the process ends."""
        self.flush()


def log_to(descriptor: int) -> None:
    """Send all log lines of this process to a file descriptor."""
    handler = logging.StreamHandler(LogStream(descriptor))
    handler.setFormatter(logging.Formatter(LINE_FORMAT, TIME_FORMAT))
    logger.addHandler(handler)
    logger.propagate = False
