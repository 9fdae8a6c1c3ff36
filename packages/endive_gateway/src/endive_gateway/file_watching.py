"""Detects changes of the settings file that no signal announces."""

import os
from collections.abc import Callable

import gevent

FILE_CHECK_INTERVAL_S = 5.0
"""Interval between two checks of the settings file, seconds; no setting is urgent."""


class FileWatcher:
    """Detects changes of one file.

    Attributes
    ----------
    last_stamp : tuple of int or None
        Modification time in nanoseconds and size in bytes, as last seen; ``None`` if
        there was no file yet.
    """

    def __init__(self, path: str) -> None:
        self.path = path
        self.last_stamp = self._file_stamp()

    def _file_stamp(self) -> tuple[int, int] | None:
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size

    def has_changed(self) -> bool:
        """Return whether the file was written since the last call.

        A missing file does not count as a change.
        """
        stamp = self._file_stamp()
        if stamp is None or stamp == self.last_stamp:
            return False
        self.last_stamp = stamp
        return True

    def watch(self, reload: Callable[[], None]) -> None:
        """Call `reload` after each change, without end; the body of a greenlet."""
        while True:
            gevent.sleep(FILE_CHECK_INTERVAL_S)
            if self.has_changed():
                reload()
