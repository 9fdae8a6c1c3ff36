"""The memory that the bodies of callers' requests take."""

import time
import tracemalloc
from contextlib import contextmanager

import gevent
import pytest
from endive_core.routing import RouteKind
from gateway_builders import Caller, RunningGateway, make_route, make_table
from server_builders import ScriptedServer, encoded, event

MIB = 2**20
BODY = b"x" * 4_190_208
PROMPT = b"y" * 110_000
LARGE_BODIES = 40
PIECE = 65_536
LINK_BYTES_PER_S = 125_000_000
"""What the callers of large bodies send together."""

MAX_MEMORY = 160 * MIB
"""Half of the memory of a process, which also holds everything else."""

HOLD_S = 0.4
MAX_PAUSE_S = 0.5
STREAM_EVENTS = 30


class DiscardingServer(ScriptedServer):
    """A server that keeps nothing of a request's body, and answers after a while.

    Requests to ``/stream/`` get a stream of events instead.
    """

    def _serve(self, sock, _address):
        with sock:
            while head := self._read_request(sock):
                fields = [line.split(": ", 1) for line in head.split("\r\n")[1:]]
                headers = {name.lower(): value for name, value in fields}
                self.received.append(headers)
                if " /stream/" in head:
                    self._stream(sock, headers)
                    return
                gevent.sleep(HOLD_S)
                answered = type("Answered", (), {"headers": headers})
                sock.sendall(encoded(answered))

    def _read_request(self, sock):
        data = b""
        while b"\r\n\r\n" not in data:
            received = sock.recv(65_536)
            if not received:
                return ""
            data += received
        head, _, rest = data.partition(b"\r\n\r\n")
        left = int(head.lower().partition(b"content-length: ")[2].split(b"\r")[0] or 0)
        left -= len(rest)
        while left > 0 and (received := sock.recv(65_536)):
            left -= len(received)
        return head.decode()

    def _stream(self, sock, headers):
        names = f"Id: {headers['id']}\r\nSigned: yes\r\nConnection: close\r\n"
        kind = "Content-Type: text/event-stream\r\n\r\n"
        sock.sendall(f"HTTP/1.1 200 OK\r\n{names}{kind}".encode())
        for number in range(1, STREAM_EVENTS + 1):
            sock.sendall(event(number))
            gevent.sleep(0.05)


@contextmanager
def gateway():
    """Start a gateway in front of a server that discards bodies."""
    stream = make_route(
        name="stream", path_prefix="/stream/", kind=RouteKind.STREAM, timeout_s=10.0
    )
    plain = make_route(kind=RouteKind.NON_IDEMPOTENT, timeout_s=10.0, target_s=8.0)
    server = DiscardingServer()
    with RunningGateway(server, table=make_table(plain, stream)) as running:
        yield running


def post(running, body, *, chunk_bytes=0):
    """Return the response to a request, also if it comes before the body was sent."""
    caller = running.caller()
    framing = (
        "Transfer-Encoding: chunked" if chunk_bytes else f"Content-Length: {len(body)}"
    )
    head = f"POST /x HTTP/1.1\r\nHost: a.example\r\nId: q{id(caller)}\r\n"
    caller.raw(f"{head}{framing}\r\n\r\n".encode())
    view = memoryview(body)
    pieces = [view[at : at + PIECE] for at in range(0, len(body), PIECE)]
    if chunk_bytes:
        chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"z" * chunk_bytes)
        pieces = [chunk * (PIECE // len(chunk))] * (len(body) // PIECE) + [b"0\r\n\r\n"]
    try:
        for piece in pieces:
            caller.raw(piece)
            gevent.sleep(PIECE * LARGE_BODIES / LINK_BYTES_PER_S)
    except OSError:
        pass
    response = caller.receive()
    caller.close()
    return response


class Stream:
    """A stream whose pauses are measured."""

    def __init__(self, running):
        self.caller = Caller(running.listener.port)
        self.pauses = []
        self.data = b""
        self.greenlet = gevent.spawn(self.follow)

    def follow(self):
        self.caller.send("/stream/x", method="POST", body=PROMPT)
        last = time.monotonic()
        while data := self.caller.sock.recv(65_536):
            self.pauses.append(time.monotonic() - last)
            last += self.pauses[-1]
            self.data += data
            if self.data.endswith(b"0\r\n\r\n"):
                return


def held(running):
    """Return the bytes of requests that the gateway holds."""
    return running.listener.request_memory.used


@pytest.mark.parametrize("chunk_bytes", [0, 32_768], ids=["length", "chunked"])
def test_long_prompts_at_once_do_not_take_the_memory_of_the_process(chunk_bytes):
    """Forty bodies within the limits ended the process and others' streams."""
    with gateway() as running:
        streams = [Stream(running) for _ in range(8)]
        gevent.sleep(0.3)
        tracemalloc.start()
        calls = [
            gevent.spawn(post, running, BODY, chunk_bytes=chunk_bytes)
            for _ in range(LARGE_BODIES)
        ]
        gevent.joinall(calls, timeout=20)
        memory = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        gevent.joinall([stream.greenlet for stream in streams], timeout=10)
        statuses = [call.value.status for call in calls]
        refused = [call.value for call in calls if call.value.status != 200]
        assert memory < MAX_MEMORY
        assert post(running, BODY).status == 200
        gevent.sleep(0.1)
        assert held(running) == 0
    assert set(statuses) <= {200, 503}
    assert statuses.count(200) >= 8
    assert all("retry-after" in got.headers and "id" in got.headers for got in refused)
    for stream in streams:
        assert stream.data.endswith(b"0\r\n\r\n")
        assert stream.data.count(b"id: ") == STREAM_EVENTS
        assert max(stream.pauses) < MAX_PAUSE_S


def test_usual_prompts_find_room_beside_long_ones():
    """Callers with long prompts must not take all that the others need."""
    with gateway() as running:
        large = [gevent.spawn(post, running, BODY) for _ in range(LARGE_BODIES)]
        gevent.sleep(0.1)
        usual = [gevent.spawn(post, running, PROMPT) for _ in range(LARGE_BODIES)]
        gevent.joinall([*large, *usual], timeout=20)
    assert [call.value.status for call in usual] == [200] * LARGE_BODIES


def test_bodies_in_tiny_chunks_take_no_more_than_others():
    """Each piece of a body takes more than its bytes."""
    with gateway() as running:
        tracemalloc.start()
        calls = [gevent.spawn(post, running, BODY, chunk_bytes=2) for _ in range(10)]
        gevent.joinall(calls, timeout=30)
        memory = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
    assert memory < MAX_MEMORY


def test_a_trailer_without_end_is_not_collected():
    """The parser keeps the value of a header until it ends."""
    with gateway() as running:
        caller = running.caller()
        caller.raw(b"POST /x HTTP/1.1\r\nHost: a.example\r\nId: q1\r\n")
        caller.raw(b"Transfer-Encoding: chunked\r\n\r\n0\r\nA: ")
        piece = b"x" * 65_536
        tracemalloc.start()
        with gevent.Timeout(3, False):
            try:
                for _ in range(128):
                    caller.raw(piece)
            except OSError:
                pass
        memory = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        got = caller.receive()
    assert got is not None and got.status == 431
    assert memory < MIB


def test_a_caller_that_goes_gives_back_the_memory_of_its_body():
    """Memory that is never given back leaves no room for any request."""
    with gateway() as running:
        for body in (BODY, BODY[: len(BODY) // 2]):
            caller = running.caller()
            head = f"POST /x HTTP/1.1\r\nHost: a.example\r\nId: q{len(body)}\r\n"
            caller.raw(f"{head}Content-Length: {len(BODY)}\r\n\r\n".encode() + body)
            gevent.sleep(0.1)
            assert held(running) >= len(body)
            caller.close()
            gevent.sleep(0.1)
            assert held(running) == 0
