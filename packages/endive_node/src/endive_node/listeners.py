"""HTTP listeners: bottle applications on gevent's server, without Nagle's delay."""

import socket

from gevent.pywsgi import WSGIHandler, WSGIServer

BACKLOG = 1024


def listen_tcp(address: str, port: int) -> socket.socket:
    """Return a listening socket with ``TCP_NODELAY``, which accepted ones inherit.

    Without it Nagle's algorithm holds a small event back until the receiver's delayed
    ACK comes, 40 ms later: a stream's tokens arrive in bursts.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((address, port))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


class CountingHandler(WSGIHandler):
    """Handler that counts the calls whose answers are not yet written out."""

    def handle_one_response(self) -> None:
        """Answer one call."""
        self.server.calls += 1
        try:
            super().handle_one_response()
        finally:
            self.server.calls -= 1


class HttpListener:
    """One bottle application on one port, started and stopped as a whole."""

    def __init__(self, app, address: str, port: int) -> None:
        self.socket = listen_tcp(address, port)
        self.port = self.socket.getsockname()[1]
        self.server = WSGIServer(
            self.socket, app, log=None, handler_class=CountingHandler
        )
        self.server.calls = 0

    @property
    def calls(self) -> int:
        """Number of calls that are being answered."""
        return self.server.calls

    def start(self) -> None:
        """Begin to accept calls."""
        self.server.start()

    def stop_accepting(self) -> None:
        """Close the port; calls under way go on."""
        self.server.stop_accepting()
        self.server.close()

    def stop(self, timeout_s: float) -> None:
        """Close the port and wait up to `timeout_s` seconds for calls under way."""
        self.server.stop(timeout=timeout_s)
