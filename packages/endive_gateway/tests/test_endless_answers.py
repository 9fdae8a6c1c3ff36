"""Servers that send bytes without end, in a head or in a body."""

import time
import tracemalloc

import gevent
import pytest
from endive_core.routing import RouteKind
from gateway_builders import RunningGateway, make_route, make_table
from server_builders import ScriptedServer, ok, whole_stream

pytestmark = pytest.mark.timing
TIMEOUT_S = 2.0
TARGET_S = 0.5
REQUESTS = 20
MAX_MEMORY = 16 * 2**20
PIECE = 16_384
READ = 65_536
ENOUGH = 16
OK_HEAD = b"HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: yes\r\n"
EVENTS_HEAD = OK_HEAD + b"Content-Type: text/event-stream\r\n"
CHUNK = b"%x\r\n%b\r\n" % (PIECE, b"x" * PIECE)

IN_HEAD = {
    "header lines": (OK_HEAD, b"A: b\r\n" * 2_000),
    "a header's value": (OK_HEAD + b"A: ", b"x" * PIECE),
    "a status line": (b"HTTP/1.1 200 ", b"x" * PIECE),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 500),
    "other requests' answers": (
        b"",
        b"HTTP/1.1 200 OK\r\nId: none\r\nContent-Length: 0\r\n\r\n" * 200,
    ),
    "an error's body": (
        b"HTTP/1.1 500 No\r\nId: %ID\r\nTransfer-Encoding: chunked\r\n\r\n",
        CHUNK,
    ),
    "a refusal's body": (
        b"HTTP/1.1 503 No\r\nRefused: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        CHUNK,
    ),
    "the body of no answer, in chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        CHUNK,
    ),
    "the body of another request's answer": (
        b"HTTP/1.1 200 OK\r\nId: none\r\nContent-Length: 99999999999\r\n\r\n",
        b"x" * PIECE,
    ),
}
"""By name, what a server sends first, and then without end. None is an answer."""

IN_BODY = {
    "chunks": (OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "a body without a length": (OK_HEAD + b"\r\n", b"x" * PIECE),
    "a long body": (OK_HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x" * PIECE),
}

IN_STREAM = {
    "one event": (
        EVENTS_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        CHUNK,
    ),
    "a chunk's size": (
        EVENTS_HEAD + b"Transfer-Encoding: chunked\r\n\r\n5;a=",
        b"x" * PIECE,
    ),
    "trailers": (
        EVENTS_HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"A: b\r\n" * 2_000,
    ),
}


def endless(first, piece):
    """Return a script entry that sends `first`, then `piece` until it is closed."""

    def send(sock, received):
        sock.sendall(first.replace(b"%ID", received.headers["id"].encode()))
        end = time.monotonic() + 4 * TIMEOUT_S
        while time.monotonic() < end:
            sock.sendall(piece)
        return False

    return send


def read(caller):
    """Return the next bytes; empty at the end of the connection."""
    try:
        return caller.sock.recv(READ)
    except ConnectionResetError:
        return b""


class Ends:
    """Statuses and times of requests, and the memory that they took."""

    def __init__(self, running, requests):
        self.statuses, self.times, self.whole = [], [], []
        tracemalloc.start()
        greenlets = []
        for _ in range(requests):
            greenlets.append(gevent.spawn(self.call, running))
            gevent.sleep(0.02)
        gevent.joinall(greenlets, timeout=4 * TIMEOUT_S)
        self.memory = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()

    def call(self, running):
        began_at = time.monotonic()
        caller = running.caller()
        caller.send(wait_ms=int(TIMEOUT_S * 1000), Connection="close")
        first = last = caller.sock.recv(READ)
        while data := read(caller):
            last = last[-ENOUGH:] + data
        self.times.append(time.monotonic() - began_at)
        self.statuses.append(int(first.split()[1]) if first else None)
        self.whole.append(last.endswith((b"fine", b"0\r\n\r\n")))


def gateway_before(faulty, sound, **route):
    """Return a gateway before a server that sends without end, and a sound one."""
    bad = ScriptedServer(server_id="i-1")
    bad.answer_rest = endless(*faulty)
    good = ScriptedServer(server_id="i-2")
    good.answer_rest = sound
    table = make_table(
        make_route(timeout_s=TIMEOUT_S, target_s=TARGET_S, max_attempts=3, **route)
    )
    return RunningGateway(bad, good, table=table)


@pytest.mark.parametrize("kind", IN_HEAD)
def test_a_head_without_end_is_left_and_its_request_goes_on_elsewhere(kind):
    """It took memory without end, and the other requests' time."""
    with gateway_before(IN_HEAD[kind], ok) as running:
        ends = Ends(running, REQUESTS)
    assert ends.statuses == [200] * REQUESTS
    assert max(ends.times) < TARGET_S
    assert ends.memory < MAX_MEMORY


@pytest.mark.parametrize("kind", IN_STREAM)
def test_a_stream_without_an_end_of_its_event_goes_on_elsewhere(kind):
    stream = {"kind": RouteKind.STREAM, "resumable": True}
    sound = whole_stream(1, 3, framing="chunked")
    with gateway_before(IN_STREAM[kind], sound, **stream) as running:
        ends = Ends(running, REQUESTS)
    assert ends.statuses == [200] * REQUESTS and all(ends.whole)
    assert max(ends.times) < TARGET_S
    assert ends.memory < MAX_MEMORY


@pytest.mark.parametrize("kind", IN_BODY)
def test_a_body_without_end_is_passed_on_and_never_collected(kind):
    """Whether a body ends can't be told before it does; it must hold up no other."""
    with gateway_before(IN_BODY[kind], ok) as running:
        ends = Ends(running, REQUESTS)
    assert ends.statuses == [200] * REQUESTS
    sound = [t for t, whole in zip(ends.times, ends.whole, strict=True) if whole]
    assert len(sound) >= REQUESTS / 4
    assert max(sound) < TARGET_S
    assert max(ends.times) < TIMEOUT_S + 0.5
    assert ends.memory < MAX_MEMORY


def refuse_and(rest):
    """Return a script entry that refuses a request and does not end its body soon."""
    head = (
        b"HTTP/1.1 503 No\r\nId: %ID\r\nRefused: 1\r\nContent-Length: 9999999\r\n\r\n"
    )

    def send(sock, received):
        sock.sendall(head.replace(b"%ID", received.headers["id"].encode()))
        return rest(sock)

    return send


def trickle(sock):
    """Send a body byte by byte."""
    for _ in range(200):
        sock.sendall(b"x")
        gevent.sleep(0.01)


def flood(sock):
    """Send a body as fast as it is read."""
    sock.sendall(b"x" * 9_999_999)


REFUSAL_BODIES = {
    "a body without end": flood,
    "a slow body": trickle,
    "no body": lambda sock: gevent.sleep(2 * TIMEOUT_S),
    "a cut body": lambda sock: False,
}


@pytest.mark.parametrize("attempts", [1, 2])
@pytest.mark.parametrize("rest", REFUSAL_BODIES)
def test_a_refusal_counts_whatever_follows_its_head(rest, attempts):
    """Requests that had not run got 502, or waited for the rest of the refusal."""
    script = [refuse_and(REFUSAL_BODIES[rest])]

    def respond(*args):
        return (script.pop() if script else ok)(*args)

    servers = [ScriptedServer(server_id=name) for name in ("i-1", "i-2")]
    for server in servers:
        server.answer_rest = respond
    table = make_table(
        make_route(
            kind=RouteKind.NON_IDEMPOTENT,
            timeout_s=TIMEOUT_S,
            target_s=TARGET_S,
            max_attempts=attempts,
        )
    )
    with RunningGateway(*servers, table=table) as running:
        began_at = time.monotonic()
        got = running.call()
        took_s = time.monotonic() - began_at
    assert got.status == (200 if attempts == 2 else 503)
    assert took_s < TARGET_S


def test_a_large_body_arrives_whole():
    body = bytes(range(256)) * 4_000
    large = ScriptedServer()
    head = b"HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: yes\r\nContent-Length: %d\r\n\r\n"

    def send(sock, received):
        request_id = received.headers["id"].encode()
        sock.sendall(head.replace(b"%ID", request_id) % len(body) + body)

    large.answer_rest = send
    with RunningGateway(large) as running:
        responses = [running.call() for _ in range(2)]
    assert [response.body for response in responses] == [body, body]
    assert all(response.whole for response in responses)
