import time

import pytest
from endive_gateway.events import MAX_COMMENT_BYTES, EventSplitter
from flooding import PIECE_BYTES, events_of_lines, repeated, small_events

MAX_BLOCK_S = 0.005
"""Processor time that 64 KiB of any events may take, seconds."""


def processor_s(data, piece_bytes):
    """Return the least processor time that some data takes a splitter, seconds."""
    times = []
    for _ in range(5):
        splitter = EventSplitter()
        began_s = time.process_time()
        for at in range(0, len(data), piece_bytes):
            splitter.feed(data[at : at + piece_bytes])
        times.append(time.process_time() - began_s)
    return min(times)


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


@pytest.mark.parametrize(
    "data",
    [
        repeated(b": a\n\n"),
        next(small_events())[:PIECE_BYTES],
        next(events_of_lines())[:PIECE_BYTES],
        next(small_events()).replace(b"\n", b"\r\n")[:PIECE_BYTES],
        b"id: 1\ndata: " + b"x" * PIECE_BYTES,
        next(small_events())[: PIECE_BYTES // 2] + b"id: 1\ndata:\n\n",
    ],
    ids=["comments", "small", "lines", "CRLF", "one event", "a wrong id at the end"],
)
def test_no_kind_of_events_takes_long_to_check(data):
    """Small events and comments cost so much that their stream held up all others."""
    assert processor_s(data, 16_384) < MAX_BLOCK_S


@pytest.mark.parametrize("piece_bytes", [5, 16_384])
def test_a_stream_of_comments_only_is_a_violation_in_the_end(piece_bytes):
    """A server that sent comments without end kept its request until the deadline."""
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\n")
    comments = b": a\n\n" * (MAX_COMMENT_BYTES // 5)
    for at in range(0, len(comments), piece_bytes):
        assert splitter.feed(comments[at : at + piece_bytes])
    assert not splitter.violation
    splitter.feed(b": a\n\n")
    assert "comments" in splitter.violation


def test_comments_between_events_are_no_violation():
    splitter = EventSplitter()
    comments = b": a\n\n" * (MAX_COMMENT_BYTES // 5)
    for number in range(1, 4):
        splitter.feed(b"id: %d\ndata: a\n\n" % number)
        splitter.feed(comments)
    assert not splitter.violation and splitter.count == 3
