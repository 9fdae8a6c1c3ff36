"""Servers that send what is no response of HTTP/1.1."""

import time

import gevent
import pytest
from endive_core.routing import RouteKind
from endive_gateway.connections import Connection
from endive_gateway.exceptions import ConnectionBrokenError
from endive_gateway.tcp import TcpStream
from gateway_builders import RunningGateway, make_route, make_table
from path_builders import CutOffGateway
from server_builders import ScriptedServer, event, ok, open_pair, raw, whole_stream

PATHS = {"direct": RunningGateway, "transit": CutOffGateway}
ROUTES = {
    "safe": {},
    "unsafe": {"kind": RouteKind.NON_IDEMPOTENT},
    "resumable": {"kind": RouteKind.STREAM, "resumable": True},
}
TIMEOUT_S = 3.0
AT_ONCE_S = 1.0
BODY = event(1) + event(2)
FIELDS = (
    b"Id: %ID\r\nSigned: yes\r\nContent-Type: text/event-stream\r\n"
    b"Content-Length: %LENGTH\r\n"
)
REST = FIELDS + b"\r\n" + BODY
LINE = b"HTTP/1.1 200 OK\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\n"
LATE = b"HTTP/1.1 200 OK\r\nId: other\r\nSigned: yes\r\nContent-Length: 4\r\n\r\nfine"

INVALID = {
    "status 000": b"HTTP/1.1 000 OK\r\n" + REST,
    "status 099": b"HTTP/1.1 099 OK\r\n" + REST,
    "status 100 with a body": b"HTTP/1.1 100 Continue\r\n" + REST,
    "status 101": b"HTTP/1.1 101 Switching Protocols\r\nId: %ID\r\n\r\n",
    "status 101 with a body": b"HTTP/1.1 101 Switching Protocols\r\n" + REST,
    "status 199 with a body": b"HTTP/1.1 199 OK\r\n" + REST,
    "status 600": b"HTTP/1.1 600 OK\r\n" + REST,
    "status 999": b"HTTP/1.1 999 OK\r\n" + REST,
    "status of two digits": b"HTTP/1.1 20 OK\r\n" + REST,
    "status of four digits": b"HTTP/1.1 2000 OK\r\n" + REST,
    "status with a letter": b"HTTP/1.1 2x0 OK\r\n" + REST,
    "status with a sign": b"HTTP/1.1 +20 OK\r\n" + REST,
    "two blanks before the status": b"HTTP/1.1  200 OK\r\n" + REST,
    "a tab before the status": b"HTTP/1.1\t200 OK\r\n" + REST,
    "a control byte in the reason": b"HTTP/1.1 200 O\x01K\r\n" + REST,
    "NUL in the reason": b"HTTP/1.1 200 O\0K\r\n" + REST,
    "DEL in the reason": b"HTTP/1.1 200 O\x7fK\r\n" + REST,
    "HTTP/2.0": b"HTTP/2.0 200 OK\r\n" + REST,
    "HTTP/0.9": b"HTTP/0.9 200 OK\r\n" + REST,
    "HTTP/1.0 in chunks": (
        b"HTTP/1.0 200 OK\r\nId: %ID\r\nSigned: yes\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"
    ),
    "RTSP/1.0": b"RTSP/1.0 200 OK\r\n" + REST,
    "ICE/1.1": b"ICE/1.1 200 OK\r\n" + REST,
    "empty lines and ICE/1.1": b"\r\n\r\nICE/1.1 200 OK\r\n" + REST,
    "ICE/1.1 after an interim response": INTERIM + b"\r\nICE/1.1 200 OK\r\n" + REST,
    "ICE/1.1 after another request's": LATE + b"ICE/1.1 200 OK\r\n" + REST,
    "status 600 after an interim response": (
        INTERIM + b"\r\nHTTP/1.1 600 OK\r\n" + REST
    ),
    "a blank in a name": LINE + b"A B: c\r\n" + REST,
    "a blank before the colon": LINE + b"A : c\r\n" + REST,
    "a blank before a name": LINE + b" A: c\r\n" + REST,
    "a tab in a name": LINE + b"A\tB: c\r\n" + REST,
    "NUL in a name": LINE + b"A\0B: c\r\n" + REST,
    "a control byte in a name": LINE + b"A\x01B: c\r\n" + REST,
    "DEL in a name": LINE + b"A\x7fB: c\r\n" + REST,
    "a byte over 127 in a name": LINE + b"A\xe4B: c\r\n" + REST,
    "no name": LINE + b": c\r\n" + REST,
    "a line without a colon": LINE + b"A\r\n" + REST,
    "CR in a value": LINE + b"A: b\rc\r\n" + REST,
    "NUL in a value": LINE + b"A: b\0c\r\n" + REST,
    "a folded line": LINE + b"A: b\r\n c\r\n" + REST,
    "a blank in an interim name": INTERIM + b"A B: c\r\n\r\n" + LINE + REST,
    "a control byte in an interim name": INTERIM + b"A\x01: c\r\n\r\n" + LINE + REST,
}
"""By name, what a server sends. None is a response."""

HTTP_1_0 = b"HTTP/1.0 200 OK\r\n" + REST


def sent(data):
    """Return a script entry that sends `data` and keeps the connection open."""
    return raw(data.replace(b"%LENGTH", b"%d" % len(BODY)))


def call_before_two_servers(data, path, sound=ok, **route):
    """Return a response, how long it took, and how many requests servers received.

    The server that the request reaches first answers with `data`, the other soundly.
    """
    script = [sent(data)]

    def respond(sock, received):
        return (script.pop() if script else sound)(sock, received)

    servers = [ScriptedServer(server_id=name) for name in ("i-1", "i-2")]
    for server in servers:
        server.answer_rest = respond
    table = make_table(make_route(timeout_s=TIMEOUT_S, **route))
    with PATHS[path](*servers, table=table) as running:
        caller = running.caller()
        began_at = time.monotonic()
        caller.send(method="POST", body=b"{}")
        got = caller.receive()
        took_s = time.monotonic() - began_at
        return got, took_s, sum(len(server.received) for server in servers)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("kind", INVALID)
def test_what_is_no_response_is_left_at_once(kind, route, path):
    """Callers got it as an answer, or nothing until their deadline."""
    sound = whole_stream(1, 2, framing="length") if route == "resumable" else ok
    got, took_s, received = call_before_two_servers(
        INVALID[kind], path, sound, **ROUTES[route]
    )
    assert took_s < AT_ONCE_S
    if route == "unsafe":
        assert (got.status, received) == (502, 1)
    else:
        assert (got.status, got.whole, received) == (200, True, 2)


@pytest.mark.parametrize("path", PATHS)
def test_a_response_of_an_older_version_is_the_last_on_its_connection(path):
    """The connection was used again, and the next request got 502 after it had run."""
    server = ScriptedServer(*[sent(HTTP_1_0)] * 4)
    with PATHS[path](server) as running:
        caller = running.caller()
        for _ in range(4):
            caller.send()
            assert caller.receive().status == 200
    assert len(server.received) == server.connections == 4


def test_the_name_of_another_protocol_may_stand_in_a_body():
    body = b"\r\n\r\nICE/1.1 200 OK\r\nPRICE/RTSP/1.0 I" * 3
    data = LINE + b"Id: %ID\r\nSigned: yes\r\nContent-Length: %LENGTH\r\n\r\n"
    server = ScriptedServer(raw(data.replace(b"%LENGTH", b"%d" % len(body)) + body))
    with RunningGateway(server) as running:
        assert running.call().body == body


def test_the_platforms_interim_responses_are_skipped():
    """An append whose final response followed was taken for one without effect."""
    ours, theirs = open_pair()
    theirs.sendall(INTERIM + b"\r\n" + LINE + b"Content-Length: 4\r\n\r\nfine")
    connection = Connection(TcpStream(ours))
    message = connection.next_message()
    assert message.status == 200
    assert connection.read_all(message) == b"fine"
    assert connection.finish(message)


@pytest.mark.parametrize("kind", INVALID)
def test_what_is_no_response_of_the_platform_is_an_unknown_outcome(kind):
    ours, theirs = open_pair()
    theirs.sendall(INVALID[kind].replace(b"%LENGTH", b"%d" % len(BODY)))
    connection = Connection(TcpStream(ours))
    with gevent.Timeout(AT_ONCE_S), pytest.raises(ConnectionBrokenError) as caught:
        while True:
            connection.read_all(connection.next_message())
            connection.parser.messages.popleft()
    assert caught.value.sent
