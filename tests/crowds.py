"""Callers that hold connections to a gateway, in a process of their own.

Started as a program, since the callers would share the event loop of the tests:

    crowds.py KIND ADDRESS COUNT

It prints a line once all connections have sent what they send, and holds them until its
standard input ends.
"""

import itertools
import os
import signal
import subprocess
import sys
from contextlib import contextmanager, suppress

import gevent
from gevent import socket as gsocket
from gevent.pool import Group

MAX_CROWD_S = 90
SEND_TIMEOUT_S = 5.0
READ_BYTES = 65_536
MAX_HEADER_BYTES = 16_384
"""Largest head of a request within the limits, bytes."""

BODY_BYTES = 1_000
PIPELINED_HEADS = 40
PIPELINED_REQUESTS = 2_000
REOPENED = 3
"""How often a caller opens its connection again when that is closed."""

END = b"\r\n"
ALPHABET = b"abcdefghijklmnopqrstuvwxyz0123456789"


def head(number, lines=b"", framing=b""):
    """Return the head of a request, without the blank line that ends it."""
    return (
        b"POST /safe/x HTTP/1.1\r\nHost: made.example\r\nDeadline-Ms: 3000\r\n"
        b"Request-Id: crowd-%d\r\n" % number + framing + lines
    )


def short_lines(count):
    """Return header lines of one letter, all with the same name."""
    return b"a:\r\n" * count


def short_names(count):
    """Return header lines without values, each with another short name."""
    names = itertools.product(ALPHABET, repeat=3)
    return b"".join(bytes(name) + b":\r\n" for name in itertools.islice(names, count))


SHORT_LINES = short_lines(3_800)
SHORT_NAMES = short_names(2_400)
BODY_TO_COME = b"Content-Length: %d\r\n" % BODY_BYTES


def pipelined_heads(number, lines):
    """Return a small request and many heads after it."""
    request = head(number, framing=b"Content-Length: 0\r\n")
    return request + END + (request + lines + END) * PIPELINED_HEADS


def pipelined_requests(number):
    """Return many small requests."""
    return (head(number, framing=b"Content-Length: 0\r\n") + END) * PIPELINED_REQUESTS


def request_of(number, lines):
    """Return a whole request."""
    return head(number, lines, framing=b"Content-Length: 0\r\n") + END


PARTS = b"Prompt-Prefix: %b\r\n" % b",".join(b"%x:1" % n for n in range(2_400))
LONG_ID = b"Last-Event-Id: %b\r\nResumes: %b\r\n" % (b"a" * 7_000, b"b" * 7_000)
HELD_KINDS = {
    "parts of prompts": lambda number: request_of(number, PARTS),
    "long ids": lambda number: request_of(number, LONG_ID),
    "short lines, held": lambda number: request_of(number, SHORT_LINES),
    "short names, held": lambda number: request_of(number, SHORT_NAMES),
}
"""Kinds for a server that answers late."""

NODE_HEAD = (
    b"POST /v1/completions HTTP/1.1\r\nHost: made.example\r\n"
    b"Authorization: Bearer demo\r\nContent-Type: application/json\r\n"
)
LONG_LINES = b"".join(b"A%d: %b\r\n" % (n, b"x" * 60_000) for n in range(90))
BODY = b'{"model": "chat", "prompt": "%b"' % (b"x" * 3_900_000)
NODE_KINDS = {
    "long lines, unfinished": lambda number: NODE_HEAD + LONG_LINES,
    "long lines": lambda number: NODE_HEAD + LONG_LINES + END,
    "long bodies, unfinished": lambda number: (
        NODE_HEAD + b"Content-Length: %d\r\n\r\n" % (len(BODY) + 1) + BODY
    ),
}
"""Kinds for the callers' port of an ``endive-node``."""

KINDS = {
    "ordinary": lambda number: request_of(number, b""),
    "idle": lambda number: b"",
    "short lines": lambda number: head(number, SHORT_LINES) + END,
    "short names": lambda number: head(number, SHORT_NAMES) + END,
    "short lines, unfinished": lambda number: head(number, SHORT_LINES),
    "short names, unfinished": lambda number: head(number, SHORT_NAMES),
    "short lines, body to come": lambda number: (
        head(number, SHORT_LINES, BODY_TO_COME) + END
    ),
    "short names, body to come": lambda number: (
        head(number, SHORT_NAMES, BODY_TO_COME) + END
    ),
    "short lines, pipelined": lambda number: pipelined_heads(number, SHORT_LINES),
    "short names, pipelined": lambda number: pipelined_heads(number, SHORT_NAMES),
    "small requests, pipelined": pipelined_requests,
    "small requests, responses unread": pipelined_requests,
}
"""By name, what the caller of a number sends on its connection."""

UNREAD_KINDS = {"small requests, responses unread"}


class Caller:
    """One connection, which is opened again a few times when it is closed."""

    def __init__(self, address, content, *, reads=True):
        host, _, port = address.rpartition(":")
        self.address = host, int(port)
        self.content = content
        self.reads = reads
        self.sent = gevent.event.Event()

    def run(self):
        """Hold the connection until killed; the body of a greenlet."""
        for _ in range(1 + REOPENED):
            try:
                self._hold()
            except OSError:
                gevent.sleep(0.1)
            finally:
                self.sent.set()

    def _hold(self):
        with gsocket.create_connection(self.address) as sock:
            sender = gevent.spawn(self._send, sock)
            try:
                if not self.reads:
                    gevent.sleep(MAX_CROWD_S)
                while sock.recv(READ_BYTES):
                    pass
            finally:
                sender.kill()

    def _send(self, sock):
        sock.settimeout(SEND_TIMEOUT_S)
        with suppress(OSError):  # closed by the gateway, or not read by it
            sock.sendall(self.content)
        sock.settimeout(None)
        self.sent.set()


@contextmanager
def crowd(kind, address, count):
    """Hold so many connections of a kind to ``IP:port`` in a process of their own.

    Yields once each has sent what it sends, or was closed.
    """
    process = subprocess.Popen(
        [sys.executable, __file__, kind, address, str(count)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        bufsize=0,
    )
    os.set_blocking(process.stdout.fileno(), False)
    try:
        while not process.stdout.read(READ_BYTES):
            gevent.sleep(0.05)
        yield
    finally:
        process.kill()
        process.wait()
        process.stdin.close()
        process.stdout.close()


def main(kind, address, count):
    """Hold the connections until the standard input ends."""
    signal.alarm(MAX_CROWD_S)
    reads = kind not in UNREAD_KINDS
    content = (KINDS | HELD_KINDS | NODE_KINDS)[kind]
    callers = [
        Caller(address, content(number), reads=reads) for number in range(int(count))
    ]
    group = Group()
    for caller in callers:
        group.spawn(caller.run)
    for caller in callers:
        caller.sent.wait()
    print("sent", flush=True)
    gevent.os.tp_read(sys.stdin.fileno(), 1)


if __name__ == "__main__":
    main(*sys.argv[1:])
