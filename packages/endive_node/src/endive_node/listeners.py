"""HTTP listeners: WSGI applications on gevent's server, with TCP_NODELAY set."""

import socket
from collections.abc import Callable
from contextlib import suppress

from endive_core.exceptions import EndiveError, ErrorKind
from gevent.pywsgi import Input, WSGIHandler, WSGIServer
from msgspec import json

from endive_node.connection_limit import ConnectionLimit
from endive_node.sockets import listen_tcp

RETRY_AFTER_S = 1
"""Time after which a caller without a connection may come back, seconds."""


class ReceivedBody:
    """The body of a request, whose reading is noted."""

    def __init__(self, body: Input, on_read: Callable[[], None]) -> None:
        self.body = body
        self.on_read = on_read

    def read(self, length: int | None = None) -> bytes:
        """Return up to `length` bytes of the body, or all of it."""
        data = self.body.read(length)
        self.on_read()
        return data


class BoundedHandler(WSGIHandler):
    """Handler of a connection that gives way while no request is in progress.

    It also counts the calls whose responses are not yet written.
    """

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
            connections.ended(self)

    def handle_one_request(self):
        """Handle the next request; until it has come, the connection gives way."""
        self.server.connections.waits(self)
        return super().handle_one_request()

    def get_environ(self) -> dict:
        """Return the environment of a request, which has come with its body."""
        environ = super().get_environ()
        connections = self.server.connections
        if self.content_length or self.wsgi_input.chunked_input:
            body = ReceivedBody(self.wsgi_input, lambda: connections.received(self))
            environ["wsgi.input"] = body
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

    def give_way(self) -> None:
        """See :meth:`endive_node.connection_limit.OpenConnection.give_way`."""
        if self.socket is not None:
            with suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)

    def _refuse(self) -> None:
        """Tell the caller when to come back, as far as the socket's buffer takes it."""
        error = EndiveError(
            ErrorKind.OVERLOADED, "too many connections", retry_after_s=RETRY_AFTER_S
        )
        body = json.encode(error.to_body())
        head = (
            "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nRetry-After: {RETRY_AFTER_S}\r\n"
            "Connection: close\r\n\r\n"
        )
        with suppress(OSError):
            self.socket._sock.send(head.encode() + body)


class HttpListener:
    """One WSGI application on one port."""

    def __init__(
        self, app, address: str, port: int, connections: ConnectionLimit
    ) -> None:
        self.socket = listen_tcp(address, port)
        self.port = self.socket.getsockname()[1]
        self.server = WSGIServer(
            self.socket, app, log=None, handler_class=BoundedHandler
        )
        self.server.connections = connections
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
