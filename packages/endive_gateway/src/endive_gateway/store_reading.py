"""Reads of the store that take several calls, and records as it returns them."""

import base64

from endive_gateway.exceptions import StoreConflictError, StoreError
from endive_gateway.interfaces import Page, Record, Store, Topic

NO_OFFSET = 2**53 - 1
"""An offset that no topic reaches."""

MAX_PAGE_BYTES = 33_554_432
"""Largest page that is read, bytes. The largest configuration that is accepted takes
two thirds of it, in Base64."""

UNREADABLE = b"\xff"
"""Value of a record that can't be read. No document can be decoded from it. Without any
value, the record would delete its key."""


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


def read_item(offset: int, key: str, value: str) -> Record:
    """Return the record of a key and its value in Base64; no value if that is empty."""
    try:
        decoded = base64.b64decode(value, validate=True)
    except ValueError:
        decoded = UNREADABLE
    return Record(offset, key, decoded or None)


def read_keyed(offset: int, content: bytes) -> Record:
    """Return the record that begins with the length of its key, one byte, and the key.

    One that is shorter than its key belongs to no key: the beginning of a key may be
    another one.
    """
    end = 1 + content[0] if content else 1
    if len(content) < end:
        return Record(offset, "", UNREADABLE)
    key = content[1:end].decode("utf-8", "replace")
    return Record(offset, key, content[end:] or None)
