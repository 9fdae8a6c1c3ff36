"""One request of a caller, and the response to it on the caller's connection."""

import json
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
from endive_core.exceptions import EndiveError
from gevent import socket as gsocket
from gevent.hub import get_hub

from endive_gateway.exceptions import CallerGoneError
from endive_gateway.http import RequestMessage, encode_head, status_line
from endive_gateway.interfaces import Headers

OWN_RESPONSE_TIMEOUT_S = 5.0
"""Longest time to send a response of this node's own, seconds. It fits into the buffer
of the socket unless the caller has left many responses unread."""


def is_never_hopeless() -> bool:
    """Return that a request may be answered before the node's end."""
    return False


class Exchange:
    """One request of a caller, and the state of its response.

    Attributes
    ----------
    received_at : float
        When its first byte came, seconds on the monotonic clock.
    response_started : bool
        Whether any byte of a response has been sent.
    is_hopeless : callable
        Returns whether the request waits and can't be answered before the node's end.
    """

    def __init__(
        self,
        sock,
        message: RequestMessage,
        received_at: float,
        is_closing: Callable[[], bool] = lambda: False,
    ) -> None:
        self.sock = sock
        self.message = message
        self.body = message.take_body()
        self.received_at = received_at
        self.response_started = False
        self.broken = False
        self.is_closing = is_closing
        self.is_hopeless: Callable[[], bool] = is_never_hopeless

    @property
    def keep_alive(self) -> bool:
        """Whether the connection may carry another request after this response."""
        return self.message.keep_alive and not self.broken and not self.is_closing()

    def send_head(self, status: int, reason: bytes, headers: Headers) -> None:
        """Send the head of a response with a chunked body; raises CallerGoneError."""
        headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        self._send(
            encode_head(
                status_line(status, reason), self._with_connection_header(headers)
            )
        )

    def send_chunk(self, data: bytes) -> None:
        """Send one chunk of the body; raises CallerGoneError."""
        if data:
            self._send(b"%x\r\n%b\r\n" % (len(data), data))

    def end(self) -> None:
        """Send the last chunk of a chunked response; raises CallerGoneError."""
        self._send(b"0\r\n\r\n")

    def send_response(
        self, status: int, reason: bytes, headers: Headers, body: bytes
    ) -> None:
        """Send a complete response; raises CallerGoneError."""
        if not (status < 200 or status in (204, 304)):
            headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        if self.message.method == b"HEAD":
            body = b""
        self._send(
            encode_head(
                status_line(status, reason), self._with_connection_header(headers)
            )
            + body
        )

    def refuse(self, error: EndiveError, status: int, headers: Headers) -> None:
        """Send an error response made by this node; raises CallerGoneError."""
        body = json.dumps(error.to_body()).encode()
        headers = [(b"Content-Type", b"application/json"), *headers]
        if error.retry_after_s is not None:
            headers.append((b"Retry-After", b"%.3f" % error.retry_after_s))
        with timeout(self.sock, OWN_RESPONSE_TIMEOUT_S):
            self.send_response(status, b"", headers, body)

    def abort(self) -> None:
        """Abandon a response that can't be completed.

        The connection closes without the last chunk, so the caller sees that the
        response is truncated.
        """
        self.broken = True

    def _with_connection_header(self, headers: Headers) -> Headers:
        if not self.keep_alive:
            return [*headers, (b"Connection", b"close")]
        return headers

    def _send(self, data: bytes) -> None:
        self.response_started = True
        try:
            self.sock.sendall(data)
        except OSError:
            self.broken = True
            raise CallerGoneError from None


class DisconnectWatcher:
    """Kills the greenlet of a request when its caller closes the connection.

    Otherwise an abandoned request would keep its slot at a server, and a queued one
    would still be sent to a server.
    """

    def __init__(self, sock, greenlet: gevent.Greenlet) -> None:
        self.sock = sock
        self.greenlet = greenlet
        self.watcher = get_hub().loop.io(sock.fileno(), 1)

    def __enter__(self) -> "DisconnectWatcher":
        self.watcher.start(self._on_readable)
        return self

    def __exit__(self, *_exc_info) -> None:
        self.watcher.stop()
        self.watcher.close()

    def _on_readable(self) -> None:
        try:
            data = self.sock._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self.watcher.stop()
        if not data:  # data would be a pipelined request, which is read later
            self.greenlet.kill(CallerGoneError, block=False)


@contextmanager
def timeout(sock: gsocket.socket, timeout_s: float) -> Iterator[None]:
    """Let the operations on a socket time out, with TimeoutError, for a while."""
    sock.settimeout(timeout_s)
    try:
        yield
    finally:
        sock.settimeout(None)
