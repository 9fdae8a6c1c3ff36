"""Finds the newest snapshot of the configuration in the log."""

from collections.abc import Callable

from endive_core.exceptions import RecordError
from endive_core.records import SNAPSHOT_STREAM, Snapshot, decode

from endive_node.interfaces import LogOffsetOutOfRangeError, LogService
from endive_node.logs import log_event


def newest_snapshot(
    log: LogService, is_usable: Callable[[Snapshot], bool]
) -> Snapshot | None:
    """Return the newest usable snapshot that the log retains, or ``None``.

    Raises
    ------
    LogUnavailableError
        If the log does not respond.
    """
    try:
        page = log.read(SNAPSHOT_STREAM, 0, limit=1)
    except LogOffsetOutOfRangeError as error:
        page = log.read(SNAPSHOT_STREAM, error.first, limit=1)
    for offset in range(page.next - 1, page.first - 1, -1):
        snapshot = _snapshot_at(log, offset)
        if snapshot is not None and is_usable(snapshot):
            return snapshot
    return None


def _snapshot_at(log: LogService, offset: int) -> Snapshot | None:
    """Return the snapshot at `offset`; ``None`` if it is not kept or not understood."""
    try:
        page = log.read(SNAPSHOT_STREAM, offset, limit=1)
        record = decode(page.entries[0].body) if page.entries else None
    except (LogOffsetOutOfRangeError, RecordError) as error:
        log_event("snapshot_not_read", offset=offset, error=error)
        return None
    return record if isinstance(record, Snapshot) else None
