"""The table of what the users' pages state, against the decoders."""

import inspect
import re
from pathlib import Path

import pytest
from endive_platform import entries, headers

PAGE = (Path(__file__).parent.parent / "docs" / "WIRE.md").read_text()
ROWS = re.findall(r"^\| `([^`]+)` \| (\w+) \| (\w+): (.*) \|$", PAGE, re.M)


def names(place, *uses):
    """Return the names in the table at a place that have one of `uses`."""
    return {row[0].lower() for row in ROWS if row[1] == place and row[2] in uses}


def headers_in(function):
    """Return the headers that a function names, by constants or in its own code."""
    source = inspect.getsource(function)
    found = {literal.lower() for literal in re.findall(r'b"([A-Za-z-]{5,})"', source)}
    for name, value in vars(headers).items():
        if isinstance(value, bytes) and re.search(rf"\b{name}\b", source):
            found.add(value.decode().lower())
    return found


def test_each_field_of_an_entry_is_read_as_the_table_says():
    """A field that the pages state and nothing reads must have a reason."""
    fields = set(entries.ServerEntryDocument.__struct_fields__)
    assert names("entry", "read") == fields


@pytest.mark.parametrize(
    ("place", "function"),
    [("request", headers.decode_request), ("response", headers.decode_response)],
)
def test_each_header_is_read_as_the_table_says(place, function):
    """A header that the pages state and nothing reads must have a reason."""
    decoded = headers_in(function) - {"request-id"}
    assert names(place, "read") - {"request-id"} == decoded


def test_headers_that_are_set_or_removed_are_reserved():
    """A caller could otherwise set for a server what is the system's to set."""
    reserved = {name.decode() for name in headers.RESERVED_HEADERS}
    assert names("request", "set", "removed") <= reserved


def test_every_row_has_a_use():
    """A row that isn't understood would be held against nothing."""
    table = PAGE.split("<!-- wire -->\n")[1].split("<!-- end of wire -->")[0]
    assert len(ROWS) == len(table.splitlines()) - 2
    assert {row[2] for row in ROWS} <= {"read", "set", "removed", "ignored"}
