import pytest
from endive_gateway.events import EventSplitter


def test_only_whole_events_pass():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert splitter.last_id == "1"
    assert splitter.feed(b"ta: b\n\n") == b"id: 2\ndata: b\n\n"
    assert splitter.last_id == "2"
    assert splitter.count == 2


def test_the_half_of_a_broken_event_is_dropped_before_a_new_run():
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    splitter.discard_partial()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"], ids=["LF", "CRLF", "CR"])
def test_line_ends_of_all_kinds_are_known(line_end):
    stream = b"id: 7\ndata: a\n\nid: 8\ndata: b\n\n".replace(b"\n", line_end)
    splitter = EventSplitter()
    assert splitter.feed(stream) == stream
    assert splitter.last_id == "8"
    assert splitter.count == 2


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"], ids=["LF", "CRLF", "CR"])
def test_events_that_arrive_byte_by_byte_are_the_same(line_end):
    """A pause between the bytes of a line end must not end an event sooner."""
    stream = b"id: 7\ndata: a\n\nid: 8\ndata: b\n\n".replace(b"\n", line_end)
    splitter = EventSplitter()
    passed = b"".join(splitter.feed(stream[at : at + 1]) for at in range(len(stream)))
    assert passed + splitter.rest() == stream
    assert not splitter.is_inside_event
    assert splitter.last_id == "8"
    assert splitter.count == 2


@pytest.mark.parametrize(
    ("rest", "inside"),
    [
        (b"", False),
        (b"\n", False),
        (b": comment", False),
        (b": comment\n", False),
        (b"d", True),
        (b"id: 8\n", True),
        (b": comment\ndata: b", True),
    ],
)
def test_a_comment_is_no_event(rest, inside):
    splitter = EventSplitter()
    splitter.feed(b"id: 7\ndata: a\n\n" + rest)
    assert splitter.is_inside_event is inside


def test_an_id_inside_data_is_no_id():
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: id: 9\n\n")
    assert splitter.last_id == "1"


def test_what_follows_the_last_event_is_not_lost():
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\n: end")
    assert splitter.rest() == b": end"
