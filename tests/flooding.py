"""Servers and callers that send without end, in a process of their own.

Started as a program, since a sender in the tests' process would share their event loop:

    flooding.py server KIND               prints its address
    flooding.py sink                      prints its address; it answers each request
    flooding.py caller KIND ADDRESS COUNT
    flooding.py requests ADDRESS COUNT    prints the times of requests, in seconds
    flooding.py probe ADDRESS COUNT       prints the times of readiness probes
"""

import itertools
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from functools import partial
from http.client import parse_headers
from pathlib import Path

MAX_FLOOD_S = 20
PIECE_BYTES = 65_536
READ_BYTES = 65_536
LONG_BODY_BYTES = 4_190_208
LAST_BYTE_LATE_S = 1.0

OK_HEAD = b"HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: yes\r\n"
EVENTS_HEAD = OK_HEAD + b"Content-Type: text/event-stream\r\n"
REQUEST_HEAD = b"POST /x/a HTTP/1.1\r\nHost: a.example\r\nId: flood\r\n"
LONG_REQUEST_HEAD = REQUEST_HEAD.replace(b"/x/", b"/f/")
REQUEST = (
    b"GET /f/a HTTP/1.1\r\nHost: a.example\r\nId: flooded\r\nConnection: close\r\n\r\n"
)
PROBE = b"GET /ready HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n"
PROBE_GAP_S = 0.05
PROBE_TIMEOUT_S = 0.5
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def repeated(data):
    """Return about `PIECE_BYTES` of repeated data."""
    return data * (PIECE_BYTES // len(data))


def chunks(size):
    """Return about `PIECE_BYTES` of chunks of `size` bytes."""
    return repeated(b"%x\r\n%b\r\n" % (size, b"x" * size))


def pieces_of(data):
    """Return a function that returns the same piece without end."""
    return partial(itertools.repeat, data)


def small_events():
    """Yield pieces of the smallest events that a sound server may send."""
    for first in itertools.count(1, 4_000):
        numbers = range(first, first + 4_000)
        yield b"".join(b"id: %d\ndata:\n\n" % number for number in numbers)


def events_of_lines():
    """Yield pieces of events with several lines of data."""
    for first in itertools.count(1, 2_000):
        numbers = range(first, first + 2_000)
        yield b"".join(b"id: %d\ndata:\ndata:\n\n" % number for number in numbers)


def long_bodies():
    """Yield requests with bodies of the largest size, the last byte of each late."""
    while True:
        yield LONG_REQUEST_HEAD + b"Content-Length: %d\r\n\r\n" % LONG_BODY_BYTES
        yield b"x" * (LONG_BODY_BYTES - 1)
        time.sleep(LAST_BYTE_LATE_S)
        yield b"x"


SERVERS = {
    "comments": (EVENTS_HEAD + b"\r\n", pieces_of(repeated(b": a\n\n"))),
    "blank lines": (
        EVENTS_HEAD + b"\r\nid: 1\ndata: a\n\n",
        pieces_of(repeated(b"\n")),
    ),
    "small events": (EVENTS_HEAD + b"\r\n", small_events),
    "events of lines": (EVENTS_HEAD + b"\r\n", events_of_lines),
    "one event": (EVENTS_HEAD + b"\r\nid: 1\ndata: ", pieces_of(b"x" * PIECE_BYTES)),
    "chunks of one byte": (OK_HEAD + CHUNKED, pieces_of(chunks(1))),
    "skipped chunks of one byte": (
        b"HTTP/1.1 200 OK\r\nId: none\r\n" + CHUNKED,
        pieces_of(chunks(1)),
    ),
    "a large body": (OK_HEAD + b"\r\n", pieces_of(b"x" * PIECE_BYTES)),
    "header lines": (OK_HEAD, pieces_of(repeated(b"A: b\r\n"))),
    "trailers": (
        EVENTS_HEAD + CHUNKED + b"0\r\n",
        pieces_of(repeated(b"A: b\r\n")),
    ),
    "interim responses": (b"", pieces_of(repeated(b"HTTP/1.1 102 Wait\r\n\r\n"))),
}
"""By name, what a server sends first, and a function of its pieces without end."""

CALLERS = {
    "pipelined requests without a route": (
        b"",
        pieces_of(
            repeated(b"GET / HTTP/1.1\r\nHost: none.example\r\nId: flood\r\n\r\n")
        ),
    ),
    "pipelined requests with a route": (
        b"",
        pieces_of(
            repeated(b"GET /x/a HTTP/1.1\r\nHost: a.example\r\nId: flood\r\n\r\n")
        ),
    ),
    "chunks of one byte": (REQUEST_HEAD + CHUNKED, pieces_of(chunks(1))),
    "empty headers, pipelined": (
        b"",
        pieces_of(
            b"GET / HTTP/1.1\r\nHost: none.example\r\nId: flood\r\n"
            + b"A:\r\n" * 3_500
            + b"\r\n"
        ),
    ),
    "long bodies": (b"", long_bodies),
    "empty lines": (b"", pieces_of(repeated(b"\r\n"))),
    "trailers": (REQUEST_HEAD + CHUNKED + b"0\r\n", pieces_of(repeated(b"A: b\r\n"))),
}


def send_all(sock, first, pieces):
    """Send until the other side closes the connection."""
    try:
        sock.sendall(first)
        for piece in pieces():
            sock.sendall(piece)
    except OSError:
        pass
    sock.close()


def listen(handle, *arguments):
    """Handle each connection in a thread of its own."""
    listener = socket.create_server(("127.0.0.1", 0))
    print(f"127.0.0.1:{listener.getsockname()[1]}", flush=True)
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=handle, args=(sock, *arguments), daemon=True).start()


def take_all(sock):
    """Read requests whole, and answer each of them."""
    with sock, sock.makefile("rb") as received:
        while received.readline():
            head = parse_headers(received)
            received.read(int(head["Content-Length"] or 0))
            answer_head = OK_HEAD.replace(b"%ID", head["Id"].encode())
            sock.sendall(answer_head + b"Content-Length: 4\r\n\r\nfine")


def answer(sock, kind):
    """Read one request, and answer it with bytes without end."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = sock.recv(READ_BYTES)
        if not data:
            return
        received += data
    request_id = received.partition(b"Id: ")[2].partition(b"\r\n")[0]
    first, pieces = SERVERS[kind]
    send_all(sock, first.replace(b"%ID", request_id), pieces)


def connect(address, timeout_s=None):
    """Return a new connection to ``IP:port``, which waits for so long at most."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout_s)


def call(kind, address):
    """Send without end on a new connection to a gateway, and read all answers."""
    sock = connect(address)
    threading.Thread(target=send_all, args=(sock, *CALLERS[kind]), daemon=True).start()
    try:
        while sock.recv(READ_BYTES):
            pass
    except OSError:
        pass


def request(address, content=None, pause_s=0.0, timeout_s=None):
    """Send requests to a gateway one after the other, and print how long each takes."""
    while True:
        time.sleep(pause_s)
        began_s = runnable_s()
        try:
            with connect(address, timeout_s) as sock:
                sock.sendall(content or REQUEST)
                while sock.recv(READ_BYTES):
                    pass
        except ConnectionRefusedError:
            continue
        except (ConnectionResetError, TimeoutError):
            pass
        sys.stdout.write(f"{runnable_s() - began_s}\n")
        sys.stdout.flush()


def probe(address):
    """Ask a gateway whether it is ready, again and again, and print the times."""
    request(address, PROBE, PROBE_GAP_S, PROBE_TIMEOUT_S)


def runnable_s():
    """Return the time so far in which this thread ran or had nothing to run, seconds.

    The time in which it waited for a processor, because of other load on the machine,
    does not count.
    """
    waited_ns = int(Path("/proc/thread-self/schedstat").read_text("ascii").split()[1])
    return time.monotonic() - waited_ns / 1e9


class Flood:
    """This program beside a test; a context manager."""

    def __init__(self, *arguments):
        self.process = subprocess.Popen(
            [sys.executable, __file__, *map(str, arguments)],
            stdout=subprocess.PIPE,
            bufsize=0,
        )
        self.partial_line = b""

    def __enter__(self):
        self.address = self.process.stdout.readline().decode().strip()
        os.set_blocking(self.process.stdout.fileno(), False)
        return self

    def __exit__(self, *_exc_info):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()

    def times_s(self):
        """Return the times that it has printed since the last call, seconds."""
        *lines, self.partial_line = (self.partial_line + self._read()).split(b"\n")
        return [float(line) for line in lines]

    def _read(self):
        data = b""
        while more := self.process.stdout.read(READ_BYTES):
            data += more
        return data


def main(role, *arguments):
    """Run as a server or as callers until the test ends."""
    signal.alarm(MAX_FLOOD_S)
    if role == "server":
        listen(answer, *arguments)
    if role == "sink":
        listen(take_all)
    *kind, address, count = arguments
    print(address, flush=True)
    target = {"caller": call, "requests": request, "probe": probe}[role]
    for _ in range(int(count)):
        threading.Thread(target=target, args=(*kind, address)).start()


if __name__ == "__main__":
    main(*sys.argv[1:])
