"""Reads of the store that take several calls."""

from endive_gateway.exceptions import StoreConflictError, StoreError
from endive_gateway.interfaces import Page, Store, Topic

NO_OFFSET = 2**53 - 1
"""An offset that no topic reaches."""


def end_of(store: Store, topic: Topic) -> int:
    """Return where a topic ends now; raises StoreError.

    Reads may be out of date for some seconds, conditional appends are not. One at an
    offset that no topic reaches changes nothing.
    """
    try:
        return store.put(topic, "end", b"", at=NO_OFFSET)
    except StoreConflictError as error:
        return error.end


def read_to_end(store: Store, topic: Topic, start: int, *, wait_s: float = 0.0) -> Page:
    """Read all records from offset `start` to the end that the store states.

    One page may hold fewer: pages have a largest size, and a response may be truncated
    between two records. What is known from such a page alone is not the newest.

    Raises
    ------
    StoreError
        If the store does not answer, or returns no records before the end.
    """
    page = store.read(topic, start, wait_s=wait_s)
    records = list(page.records)
    while start + len(records) < page.end:
        if not page.records:
            raise StoreError(f"no records before offset {page.end}")
        page = store.read(topic, start + len(records))
        records += page.records
    return Page(page.first, page.end, records)
