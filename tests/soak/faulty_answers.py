"""Answers that are cut by a reset, that are none, or that come twice."""

import zlib
from contextlib import suppress

from soak.network import reset

LONG_BODY_BYTES = 100_000
"""Length of the bodies of requests that are answered before they are read."""

TURN_AWAY = 0.5
"""Share of its requests that a server refuses once while it sends refusals twice."""

REST = b"Request-Id: %b\r\nResponse-Seal: made\r\nContent-Length: 4\r\n\r\nnone"
OK = b"HTTP/1.1 200 OK\r\n"
INVALID = (
    b"HTTP/1.1 000 OK\r\n" + REST,
    b"HTTP/1.1 600 OK\r\n" + REST,
    b"HTTP/1.1 100 OK\r\n" + REST,
    b"HTTP/1.1 200 O\x01K\r\n" + REST,
    b"HTTP/2.0 200 OK\r\n" + REST,
    b"ICE/1.1 200 OK\r\n" + REST,
    OK + b"A B: c\r\n" + REST,
    OK + b"A\x01: c\r\n" + REST,
)
"""What a server sends in place of an answer; the id is filled in."""


def send_invalid(sock, request_id):
    """Send what is no answer, and keep the connection open."""
    kind = INVALID[zlib.crc32(request_id.encode()) % len(INVALID)]
    with suppress(OSError):  # the node may have closed the connection
        sock.sendall(kind % request_id.encode())
    return []


def send_half(sock, headers, body):
    """Send half of an answer without a length, and reset the connection."""
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "Connection: close"])
    with suppress(OSError):  # the node may have closed the connection
        sock.sendall(head.encode() + b"\r\n\r\n" + body)
    reset(sock)
    return []


class SecondCopies:
    """Refusals that a server sends again where the next answer is due.

    Attributes
    ----------
    refused : set of str
        Ids of the requests that were refused; each is once.
    pending : dict of socket to bytes
        The copies to send.
    """

    def __init__(self):
        self.refused = set()
        self.pending = {}

    def send_pending(self, sock):
        """Send the copy that is due on a connection, if there is one."""
        copy = self.pending.pop(sock, b"")
        if copy:
            sock.sendall(copy)

    def refuses(self, request_id, sock, headers):
        """Return whether to refuse a request, and note the copy to send."""
        draw = zlib.crc32(f"{request_id}/refused".encode()) % 100
        if request_id in self.refused or draw >= TURN_AWAY * 100:
            return False
        self.refused.add(request_id)
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["HTTP/1.1 503 Busy", *lines, "Content-Length: 0"])
        self.pending[sock] = head.encode() + b"\r\n\r\n"
        return True
