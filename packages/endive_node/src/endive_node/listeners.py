"""HTTP listeners: WSGI applications on gevent's server, with TCP_NODELAY set."""

import socket
from collections.abc import Callable
from contextlib import suppress
from http.client import HTTPException

from endive_core.exceptions import EndiveError, ErrorKind
from gevent.pywsgi import Input, WSGIHandler, WSGIServer
from msgspec import json

from endive_node.call_memory import CallMemory, HeldCall
from endive_node.connection_limit import ConnectionLimit
from endive_node.sockets import listen_tcp

BAD_REQUEST = "400 Bad Request"

PIECE_BYTES = 4_096
"""Bytes of a line that are read before they count."""

RETRY_AFTER_S = 1
"""Time after which a caller without a connection may come back, seconds."""


class HeadTooLargeError(ValueError):
    """The head of a request exceeds the limit."""


class NoCallMemoryError(ValueError):
    """There is no memory for a request's head."""


class HeadReader:
    """The connection's stream, in which the heads of requests are bounded.

    Attributes
    ----------
    is_in_head : bool
        Whether a head is read.
    left : int
        Bytes that the head of the present request may still have.
    """

    def __init__(self, stream, held: HeldCall, max_head_bytes: int) -> None:
        self.stream = stream
        self.held = held
        self.max_head_bytes = max_head_bytes
        self.is_in_head = False
        self.left = 0

    def begin(self) -> None:
        """Begin the head of the next request."""
        self.is_in_head = True
        self.left = self.max_head_bytes

    def end(self) -> None:
        """Note that the head of the request has been read."""
        self.is_in_head = False

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line, or `limit` bytes of it.

        Raises
        ------
        HeadTooLargeError
            If the head is larger than it may be.
        NoCallMemoryError
            If there is no memory for it.
        """
        if not self.is_in_head:
            return self.stream.readline(limit)
        pieces, size = [], 0
        while size != limit:
            most = PIECE_BYTES if limit < 0 else min(PIECE_BYTES, limit - size)
            piece = self.stream.readline(most)
            pieces.append(piece)
            size += len(piece)
            self._count(len(piece))
            if not piece or piece.endswith(b"\n"):
                break
        return b"".join(pieces)

    def _count(self, size: int) -> None:
        self.left -= size
        if self.left < 0:
            raise HeadTooLargeError(
                f"the head of the request is larger than {self.max_head_bytes} bytes"
            )
        if not self.held.grow(size):
            raise NoCallMemoryError("there is no memory for the request's head")

    def __getattr__(self, name: str):
        return getattr(self.stream, name)


class BoundedBody:
    """The body of a request, which is read if there is memory for it.

    Parameters
    ----------
    on_read : callable
        Called once a part of it has been read.
    """

    def __init__(
        self, body: Input, held: HeldCall, on_read: Callable[[], None]
    ) -> None:
        self.body = body
        self.held = held
        self.on_read = on_read

    def read(self, length: int | None = None) -> bytes:
        """Return up to `length` bytes of the body, or all of it.

        Raises
        ------
        EndiveError
            ``overloaded`` if there is no memory for it, ``malformed_body`` if the
            caller has gone.
        """
        expected = (self.body.content_length if length is None else length) or 0
        if not self.held.grow(expected):
            raise EndiveError(
                ErrorKind.OVERLOADED, "there is no memory for the request's body"
            )
        try:
            data = self.body.read(length)
        except OSError as error:
            raise EndiveError(ErrorKind.MALFORMED_BODY, str(error)) from None
        self.held.shrink(max(0, expected - len(data)))
        self.on_read()
        return data


class BoundedHandler(WSGIHandler):
    """Handler of a connection that is evicted only while no request is in progress.

    The memory that its requests take is bounded, and the calls are counted whose
    responses are not yet written.
    """

    def __init__(self, sock, address, server, rfile=None) -> None:
        super().__init__(sock, address, server, rfile)
        self.held = HeldCall(server.memory)
        self.rfile = HeadReader(self.rfile, self.held, server.max_header_bytes)

    def handle(self) -> None:
        """Handle the connection, or refuse it if there are too many."""
        connections = self.server.connections
        if not connections.admit(self):
            self._refuse()
            self.rfile.close()
            self.socket.close()
            return
        try:
            super().handle()
        finally:
            self.held.release()
            connections.ended(self)

    def handle_one_request(self):
        """Handle the next request; until it has come, the connection may be evicted."""
        self.server.connections.waits(self)
        self.held.release()
        self.rfile.begin()
        try:
            return super().handle_one_request()
        except (HeadTooLargeError, NoCallMemoryError) as error:
            return self._handle_client_error(error)

    def get_environ(self) -> dict:
        """Return the environment of a request, which has come with its body."""
        self.rfile.end()
        environ = super().get_environ()
        connections = self.server.connections
        if self.content_length or self.wsgi_input.chunked_input:
            environ["wsgi.input"] = BoundedBody(
                self.wsgi_input, self.held, lambda: connections.received(self)
            )
        else:
            connections.received(self)
        return environ

    def handle_one_response(self) -> None:
        """Handle one call and count it while it is in progress."""
        self.server.calls_in_progress += 1
        try:
            super().handle_one_response()
        finally:
            self.server.calls_in_progress -= 1

    def evict(self) -> None:
        """See :meth:`endive_node.connection_limit.OpenConnection.evict`."""
        if self.socket is not None:
            with suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)

    def _refuse(self) -> None:
        """Tell the caller when to come back, as far as the socket's buffer takes it."""
        with suppress(OSError):
            self.socket._sock.send(overloaded_response("too many connections"))

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        """Return status and response for a request that can't be read."""
        limit = self.server.connections
        limit.refusals.add(f"{limit.name}_unread", error=ex)
        if isinstance(ex, NoCallMemoryError):
            return "503", overloaded_response(str(ex))
        is_too_large = isinstance(ex, (HeadTooLargeError, HTTPException))
        status = "431 Request Header Fields Too Large" if is_too_large else BAD_REQUEST
        error = EndiveError(ErrorKind.INVALID_FIELD, str(ex) or "not a request")
        return status[:3], encode_response(status, error)


def encode_response(status: str, error: EndiveError, headers: str = "") -> bytes:
    """Return a response with an error, after which the connection closes."""
    body = json.encode(error.to_body())
    head = (
        f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n{headers}"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


def overloaded_response(message: str) -> bytes:
    """Return a response that tells a caller when to come back."""
    error = EndiveError(ErrorKind.OVERLOADED, message, retry_after_s=RETRY_AFTER_S)
    headers = f"Retry-After: {RETRY_AFTER_S}\r\n"
    return encode_response("503 Service Unavailable", error, headers)


class HttpListener:
    """One WSGI application on one port."""

    def __init__(
        self,
        app,
        address: str,
        port: int,
        connections: ConnectionLimit,
        memory: CallMemory,
        max_header_bytes: int,
    ) -> None:
        self.socket = listen_tcp(address, port)
        self.port = self.socket.getsockname()[1]
        self.server = WSGIServer(
            self.socket, app, log=None, handler_class=BoundedHandler
        )
        self.server.connections = connections
        self.server.memory = memory
        self.server.max_header_bytes = max_header_bytes
        self.server.calls_in_progress = 0

    @property
    def calls_in_progress(self) -> int:
        """Number of calls whose responses are not yet written."""
        return self.server.calls_in_progress

    def start(self) -> None:
        """Start to accept calls."""
        self.server.start()

    def stop_accepting(self) -> None:
        """Close the port; calls in progress continue."""
        self.server.stop_accepting()
        self.server.close()

    def stop(self, timeout_s: float) -> None:
        """Close the port and wait up to `timeout_s` seconds for calls in progress."""
        self.server.stop(timeout=timeout_s)
