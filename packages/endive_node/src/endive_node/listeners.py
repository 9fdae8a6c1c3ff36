"""HTTP listeners: bottle applications on gevent's server, without Nagle's delay."""

from gevent.pywsgi import WSGIHandler, WSGIServer

from endive_node.sockets import listen_tcp


class CountingHandler(WSGIHandler):
    """Handler that counts the calls whose answers are not yet written out."""

    def handle_one_response(self) -> None:
        """Answer one call."""
        self.server.calls_in_progress += 1
        try:
            super().handle_one_response()
        finally:
            self.server.calls_in_progress -= 1


class HttpListener:
    """One bottle application on one port, started and stopped as a whole."""

    def __init__(self, app, address: str, port: int) -> None:
        self.socket = listen_tcp(address, port)
        self.port = self.socket.getsockname()[1]
        self.server = WSGIServer(
            self.socket, app, log=None, handler_class=CountingHandler
        )
        self.server.calls_in_progress = 0

    @property
    def calls_in_progress(self) -> int:
        """Number of calls that are being answered."""
        return self.server.calls_in_progress

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
