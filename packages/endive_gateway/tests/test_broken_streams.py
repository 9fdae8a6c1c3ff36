import pytest
from endive_core.routing import RouteKind
from gateway_builders import (
    count_received_requests,
    gateway_with_two_servers,
    list_origins,
)
from server_builders import close_connection, event, raw, whole_stream

STREAM = {"kind": RouteKind.STREAM, "max_attempts": 2}
RESUMABLE = STREAM | {"resumable": True}
CUTS = {
    "name": b"i",
    "line": b"id: 4\n",
    "second-name": b"id: 4\nda",
    "blank-line": b"id: 4\ndata: t4\n",
}
"""What a server sends of an event, by the part in or before which it breaks off."""


def events(first, last):
    """Return the bytes of the events from `first` to `last`."""
    return b"".join(event(number) for number in range(first, last + 1))


@pytest.mark.parametrize("framing", ["connection", "length", "chunked"])
@pytest.mark.parametrize("cut", CUTS.values(), ids=CUTS)
def test_a_stream_that_ends_inside_an_event_does_not_look_complete(cut, framing):
    """A server that breaks off may still end its answer in an orderly way."""
    with gateway_with_two_servers(
        whole_stream(1, 3, cut=cut, framing=framing), **STREAM
    ) as running:
        got = running.call()
        assert count_received_requests(running) == 1
    assert got.status == 200
    assert not got.whole
    assert got.body == events(1, 3)


@pytest.mark.parametrize("framing", ["connection", "length", "chunked"])
@pytest.mark.parametrize("cut", CUTS.values(), ids=CUTS)
def test_a_stream_that_ends_inside_an_event_goes_on_at_another_server(cut, framing):
    """The caller receives each event once, none of them joined from two parts."""
    with gateway_with_two_servers(
        whole_stream(1, 3, cut=cut, framing=framing), whole_stream(4, 6), **RESUMABLE
    ) as running:
        got = running.call()
        resumed = [
            r for s in running.servers for r in s.received if "after" in r.headers
        ]
    assert [request.headers["after"] for request in resumed] == ["3"]
    assert got.whole
    assert got.body == events(1, 6)


@pytest.mark.parametrize(
    "cut", [b"", b"id: 1\nda", b": hello\n"], ids=["nothing", "event", "comment"]
)
def test_an_unframed_stream_without_an_event_is_no_complete_answer(cut):
    """A server that ends before its first event has answered nothing."""
    with gateway_with_two_servers(whole_stream(1, 0, cut=cut), **STREAM) as running:
        got = running.call()
        assert count_received_requests(running) == 1
    assert got.status == 502


def test_an_unframed_stream_without_an_event_is_answered_by_another_server():
    """A server that ends before its first event has answered nothing."""
    with gateway_with_two_servers(
        whole_stream(1, 0), whole_stream(1, 3), **RESUMABLE
    ) as running:
        got = running.call()
    assert got.whole
    assert got.body == events(1, 3)


@pytest.mark.parametrize("framing", ["connection", "length", "chunked"])
@pytest.mark.parametrize(
    "rest", [b"", b": bye\n\n", b": bye"], ids=["nothing", "comment", "part"]
)
@pytest.mark.parametrize("route", [STREAM, RESUMABLE])
def test_a_stream_that_ends_between_events_is_complete(route, rest, framing):
    """A comment is no event, so a stream may end inside one."""
    with gateway_with_two_servers(
        whole_stream(1, 3, cut=rest, framing=framing), close_connection, **route
    ) as running:
        got = running.call()
        assert count_received_requests(running) == 1
    assert got.whole
    assert got.body.startswith(events(1, 3))


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_stream_that_is_resumed_after_its_last_event_may_be_empty(framing):
    """A server that declares the end of an empty answer has nothing more to send."""
    with gateway_with_two_servers(
        whole_stream(4, 3, framing=framing), **RESUMABLE
    ) as running:
        list_origins(running.context, "v1")
        got = running.call(After="3")
    assert got.whole
    assert got.body == b""


def test_the_log_says_how_a_stream_ended(caplog):
    """Whether a server broke off must be told apart from an orderly end."""
    with gateway_with_two_servers(
        whole_stream(1, 3, cut=b"id: 4"), **STREAM
    ) as running:
        running.call()
        metrics = running.context.metrics
    assert " events=3 unfinished=5 unframed=1" in caplog.text
    assert metrics.events["stream_ended_inside_event"] == 1


@pytest.mark.parametrize("head", [b"200 OK", b"204 No Content"])
@pytest.mark.parametrize("route", [STREAM, RESUMABLE])
def test_an_answer_without_a_body_on_a_streaming_route_is_complete(route, head):
    """A node that waits for events of an answer to HEAD holds it to its time-out."""
    method = "GET" if head.startswith(b"204") else "HEAD"
    answer = raw(b"HTTP/1.1 " + head + b"\r\nId: %ID\r\nSigned: yes\r\n\r\n")
    with gateway_with_two_servers(answer, **route) as running:
        caller = running.caller()
        caller.send(method=method)
        while b"\r\n\r\n" not in caller.buffer:
            assert caller._more()
        assert count_received_requests(running) == 1
    assert caller.buffer.startswith(b"HTTP/1.1 " + head)
    assert b"transfer-encoding" not in caller.buffer.lower()
