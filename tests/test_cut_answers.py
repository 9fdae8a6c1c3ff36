"""Servers that stop in the middle of an answer's head, or with nothing after it."""

import socket
import struct

import pytest
from endive_core.routing import RouteKind
from endive_platform.wire import PlatformWire
from gateway_builders import (
    PlainWire,
    RunningGateway,
    count_received_requests,
    make_route,
    make_table,
)
from path_builders import CutOffGateway
from server_builders import ScriptedServer, event

RESET_AT_CLOSE = struct.pack("ii", 1, 0)
WIRES = {
    "plain": (PlainWire, b"Id", b"Signed"),
    "platform": (PlatformWire, b"Request-Id", b"Response-Seal"),
}
"""By name, the wire and its names for a response's id and signature."""

PATHS = {"direct": RunningGateway, "transit": CutOffGateway}
ROUTES = {
    "plain": {},
    "stream": {"kind": RouteKind.STREAM},
    "resumable": {"kind": RouteKind.STREAM, "resumable": True},
}
STATUS = b"HTTP/1.1 200 OK\r\n"
NAMED = STATUS + b"%ID: %id\r\n%SEAL: yes\r\n"
EVENTS = NAMED + b"Content-Type: text/event-stream\r\n"
CUT_HEADS = {
    "nothing": b"",
    "inside the status": b"HTTP/1.1 20",
    "status line": STATUS,
    "after the id": STATUS + b"%ID: %id\r\n",
    "inside a name": EVENTS + b"Content-Le",
    "inside a length": EVENTS + b"Content-Length: 1",
    "before a length": EVENTS + b"Content-Length:",
    "before the empty line": EVENTS + b"Content-Length: 4\r\n",
    "inside the empty line": EVENTS + b"Content-Length: 4\r\n\r",
    "inside a coding": EVENTS + b"Transfer-Encoding: chun",
    "a line feed alone": EVENTS + b"\n",
    "two line feeds": EVENTS[:-2] + b"\n\n",
    "a cut name and an empty line": EVENTS + b"Content-Le\r\n\r\n",
    "a cut coding and an empty line": EVENTS + b"Transfer-Encoding: chun\r\n\r\n",
    "no length's value and an empty line": EVENTS + b"Content-Length:\r\n\r\n",
    "status line and an empty line": STATUS + b"\r\n",
    "id and an empty line": STATUS + b"%ID: %id\r\n\r\n",
    "interim, and nothing": b"HTTP/1.1 100 Continue\r\n%ID: %id\r\n\r\n",
    "interim, and a cut head": b"HTTP/1.1 103 Early Hints\r\n\r\n" + STATUS,
    "names and an empty line": NAMED + b"\r\n",
    "all but a length": EVENTS + b"\r\n",
    "another length's body cut": NAMED + b"Content-Length: 9\r\n\r\nabc",
}
"""By name, what a server sends before its connection ends. None is an answer."""

NO_EVENTS = {
    "length 0": NAMED + b"Content-Length: 0\r\n\r\n",
    "chunked": NAMED + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "events of length 0": EVENTS + b"Content-Length: 0\r\n\r\n",
    "chunked events": EVENTS + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "a body that is no events": NAMED + b"Content-Length: 3\r\n\r\nabc",
    "an event that is not declared": NAMED + b"\r\n" + event(1),
}
"""By name, what a server sends as the whole of a new stream."""


class CutAnswers:
    """Servers of one wire that send the same bytes and then end the connection."""

    def __init__(self, wire, data, *, reset=False):
        self.wire, self.id_name, self.seal = WIRES[wire]
        self.data = data.replace(b"%ID", self.id_name).replace(b"%SEAL", self.seal)
        self.reset = reset

    def send(self, sock, received):
        """Send the bytes; see :class:`ScriptedServer`."""
        sock.sendall(self.data.replace(b"%id", received.headers["id"].encode()))
        if self.reset:
            option = (socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            sock.setsockopt(*option)
        return False

    def call(self, path="direct", method="GET", **route):
        """Return the response to one request, and how many the servers received."""
        servers = [ScriptedServer(server_id=name) for name in ("i-1", "i-2")]
        for server in servers:
            server.answer_rest = self.send
        table = make_table(make_route(timeout_s=1.0, target_s=0.5, **route))
        gateway = PATHS[path](*servers, table=table, wire=self.wire())
        with gateway as running:
            caller = running.caller()
            caller.send(method=method, request_id="q7", Request_Id="q7")
            return caller.receive(), count_received_requests(running)


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("wire", WIRES)
@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("cut", CUT_HEADS)
def test_an_answer_that_ends_in_its_head_is_no_success(cut, route, wire, path, reset):
    """Callers got a 200 with an empty or short body, framed as whole."""
    answers = CutAnswers(wire, CUT_HEADS[cut], reset=reset)
    got, received = answers.call(path, **ROUTES[route])
    assert got.status in (502, 503, 504)
    assert received


@pytest.mark.parametrize("wire", WIRES)
@pytest.mark.parametrize("route", ["stream", "resumable"])
@pytest.mark.parametrize("answer", NO_EVENTS)
def test_a_new_stream_without_events_is_no_success(answer, route, wire):
    """Callers got a 200 with an empty or short body, framed as whole."""
    got, _ = CutAnswers(wire, NO_EVENTS[answer]).call(**ROUTES[route])
    assert got.status in (502, 503, 504)
