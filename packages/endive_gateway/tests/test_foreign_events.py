"""Servers that write into the body of a stream what is no event of it."""

import pytest
from endive_core.routing import RouteKind
from gateway_builders import (
    count_received_requests,
    gateway_with_two_servers,
    list_origins,
)
from server_builders import event, whole_stream

STREAM = {"kind": RouteKind.STREAM, "max_attempts": 2}
RESUMABLE = STREAM | {"resumable": True}
FOREIGN = {
    "binary data with blank lines": b"\x80\x03\n\n\xff\x00\n\n",
    "text with blank lines": b"out of memory\n\nrestarting\n\n",
    "blank lines": b"\n\n\n\n",
    "an empty id": b"id: \ndata: x\n\n",
    "no id": b"data: x\n\n",
    "an id without data": b"id: 4\n\n",
    "an id of letters": b"id: x4\ndata: x\n\n",
    "an id with a sign": b"id: +4\ndata: x\n\n",
    "an id in digits of another script": "id: ٤\ndata: x\n\n".encode(),
    "an endless id": b"id: " + b"4" * 400 + b"\ndata: x\n\n",
    "a NUL in the id": b"id: 4\x00\ndata: x\n\n",
    "an id with a leading zero": b"id: 04\ndata: x\n\n",
    "two ids": b"id: 4\nid: 5\ndata: x\n\n",
    "a repeated id": event(3),
    "a lower id": event(1),
    "an id too far": event(9),
    "an unknown field": b"id: 4\nnode: x\ndata: x\n\n",
    "text that is not UTF-8": b"id: 4\ndata: \xff\xfe\n\n",
    "a head": b"HTTP/1.1 200 OK\nContent-Length: 2\n\nok\n\n",
    "a head of another server": b"HTTP/1.1 200 OK\r\nSigned: yes\r\n\r\nid: 4\n\n",
    "other line ends": b"id: 4\rdata: x\r\r",
    "other line ends before an event": b"id: 4\rdata: x\r\r" + event(4),
    "a binary comment": b":\xff\xfe\n\n",
}
"""By name, bytes that are no event after the one with id 3."""


def events(first, last):
    """Return the bytes of the events from `first` to `last`."""
    return b"".join(event(number) for number in range(first, last + 1))


@pytest.mark.parametrize("framing", ["connection", "length", "chunked"])
@pytest.mark.parametrize("foreign", FOREIGN.values(), ids=FOREIGN)
def test_bytes_that_are_no_event_do_not_reach_the_caller(foreign, framing):
    """Callers got pieces that no run had made, from a server in trouble."""
    with gateway_with_two_servers(
        whole_stream(1, 3, cut=foreign, framing=framing), **STREAM
    ) as running:
        got = running.call()
        assert count_received_requests(running) == 1
    assert got.status == 200
    assert not got.whole
    assert got.body == events(1, 3)


@pytest.mark.parametrize("framing", ["connection", "length", "chunked"])
@pytest.mark.parametrize("foreign", FOREIGN.values(), ids=FOREIGN)
def test_a_stream_goes_on_elsewhere_after_bytes_that_are_no_event(foreign, framing):
    """The server is left as if its connection had broken off there."""
    with gateway_with_two_servers(
        whole_stream(1, 3, cut=foreign, framing=framing),
        whole_stream(4, 6),
        **RESUMABLE,
    ) as running:
        got = running.call()
        resumed = [
            r for s in running.servers for r in s.received if "after" in r.headers
        ]
    assert [request.headers["after"] for request in resumed] == ["3"]
    assert got.whole
    assert got.body == events(1, 6)


@pytest.mark.parametrize("foreign", FOREIGN.values(), ids=FOREIGN)
def test_a_stream_that_begins_with_foreign_bytes_is_answered_elsewhere(foreign):
    """Nothing of the first server has been sent, so its head isn't either."""
    if foreign in (event(3), event(1), event(9)):
        foreign = event(7)
    with gateway_with_two_servers(
        whole_stream(1, 0, cut=foreign, framing="chunked"),
        whole_stream(1, 3, framing="chunked"),
        **RESUMABLE,
    ) as running:
        got = running.call()
    assert got.whole
    assert got.body == events(1, 3)


@pytest.mark.parametrize("first", [3, 4, 6], ids=["repeated", "resumed", "skipped"])
def test_a_resumed_stream_goes_on_with_the_event_that_follows(first):
    """A server that takes up a stream elsewhere repeats events, or leaves some out."""
    with gateway_with_two_servers(
        whole_stream(first, 6, framing="chunked"),
        whole_stream(4, 6, framing="chunked"),
        **RESUMABLE,
    ) as running:
        list_origins(running.context, "v1")
        got = running.call(After="3")
    assert got.whole
    assert got.body == events(4, 6)
