"""Servers' connections that are reset, where another call than a read is told first."""

from contextlib import suppress

import gevent
import pytest
from endive_core.routing import RouteKind
from endive_gateway.tcp import TcpStream
from gateway_builders import RunningGateway, make_route, make_table
from gevent import socket as gsocket
from path_builders import CutOffGateway
from server_builders import (
    LONG_UPLOAD,
    ScriptedServer,
    event,
    half_then_end,
    half_then_reset,
    open_pair,
    refuse_then_reset,
    reset,
)

PATHS = {"direct": RunningGateway, "transit": CutOffGateway}
ROUTES = {
    "safe": {},
    "unsafe": {"kind": RouteKind.NON_IDEMPOTENT},
    "stream": {"kind": RouteKind.STREAM},
    "resumable": {"kind": RouteKind.STREAM, "resumable": True},
}
TAKERS = {
    "a peek": lambda stream: stream.is_idle(),
    "a send": lambda stream: stream.sendall(b"more"),
}
"""By name, the calls that may be told of a reset in place of a read."""

UPLOADS = 5
SMALL_BUFFER = 4096


def take(taker, stream):
    """Let another call than a read be told of a failure."""
    with suppress(OSError):
        TAKERS[taker](stream)


def read_rest(stream):
    """Return what can be read until the end; raises OSError if it is not orderly."""
    received = b""
    while data := stream.recv(4096):
        received += data
    return received


@pytest.mark.parametrize("taker", TAKERS)
def test_a_reset_that_another_call_was_told_of_is_no_orderly_end(taker):
    """The next read returned nothing, and half of a body passed for all of it."""
    ours, theirs = open_pair()
    stream = TcpStream(ours)
    reset(theirs)
    gsocket.wait_read(ours.fileno())
    take(taker, stream)
    with pytest.raises(ConnectionResetError):
        stream.recv(4096)
    with pytest.raises(ConnectionResetError):
        stream.recv(4096)


def test_an_end_that_came_before_a_failed_send_stays_orderly():
    """A server that answers a long body early may end its own bytes and then reset."""
    ours, theirs = open_pair()
    stream = TcpStream(ours)
    theirs.sendall(b"whole")
    theirs.shutdown(gsocket.SHUT_WR)
    gsocket.wait_read(ours.fileno())
    gevent.sleep(0.05)
    reset(theirs)
    gevent.sleep(0.05)
    with pytest.raises(BrokenPipeError):
        stream.sendall(b"more")
    assert read_rest(stream) == b"whole"


class PeekedStream(TcpStream):
    """A connection at which another greenlet peeks whenever something has come."""

    def recv(self, size):
        gsocket.wait_read(self.sock.fileno())
        self.is_idle()
        return super().recv(size)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("route", ROUTES)
def test_an_answer_whose_reset_a_peek_was_told_of_is_not_whole(
    route, path, monkeypatch
):
    """Callers got half of a body without a length, framed as complete."""
    monkeypatch.setattr("endive_gateway.tcp.TcpStream", PeekedStream)
    got = call_through(path, half_then_reset, **ROUTES[route])
    assert got is None or got.status == 502 or not got.whole


class LateReadStream(TcpStream):
    """A connection whose body is still being sent when its next read begins."""

    def __init__(self, sock):
        super().__init__(sock)
        sock.setsockopt(gsocket.SOL_SOCKET, gsocket.SO_SNDBUF, SMALL_BUFFER)

    def recv(self, size):
        gsocket.wait_read(self.sock.fileno())
        gevent.sleep(0.01)
        return super().recv(size)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("route", ROUTES)
def test_an_answer_that_is_reset_amid_a_long_upload_is_not_whole(
    route, path, monkeypatch
):
    """Sending the body took the error, and callers got half of the answer as whole."""
    monkeypatch.setattr("endive_gateway.tcp.TcpStream", LateReadStream)
    for _ in range(UPLOADS):
        got = call_through(path, half_then_reset, LONG_UPLOAD, **ROUTES[route])
        assert got is None or got.status == 502 or not got.whole


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("route", ["safe", "stream"])
def test_an_early_answer_that_ends_in_an_orderly_way_is_whole(route, path):
    got = call_through(path, half_then_end, LONG_UPLOAD, **ROUTES[route])
    assert got.status == 200 and got.whole
    assert got.body == event(1) + event(2)


@pytest.mark.parametrize("path", PATHS)
def test_an_early_refusal_of_a_long_upload_reaches_its_caller(path, monkeypatch):
    """A transit node dropped the refusal as soon as the server took no more bytes."""
    monkeypatch.setattr("endive_gateway.tcp.TcpStream", LateReadStream)
    got = call_through(path, refuse_then_reset, LONG_UPLOAD, **ROUTES["unsafe"])
    assert got.status == 503


def call_through(path, script, body=None, **route):
    """Return the response to one request that a server answers by `script`."""
    server = ScriptedServer(script, script)
    server.reads_bodies = False
    table = make_table(make_route(timeout_s=3.0, max_attempts=1, **route))
    with PATHS[path](server, table=table) as running:
        method = "GET" if body is None else "POST"
        return running.call(method=method, body=body)
