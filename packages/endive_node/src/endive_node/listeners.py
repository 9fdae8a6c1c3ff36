"""HTTP listeners: WSGI applications on gevent's server, with TCP_NODELAY set."""

from gevent.pywsgi import WSGIHandler, WSGIServer

from endive_node.sockets import listen_tcp


class CountingHandler(WSGIHandler):
    """Handler that counts the calls whose responses are not yet written."""

    def handle_one_response(self) -> None:
        """Handle one call and count it while it is in progress."""
        self.server.calls_in_progress += 1
        try:
            super().handle_one_response()
        finally:
            self.server.calls_in_progress -= 1


class HttpListener:
    """One WSGI application on one port."""

    def __init__(self, app, address: str, port: int) -> None:
        self.socket = listen_tcp(address, port)
        self.port = self.socket.getsockname()[1]
        self.server = WSGIServer(
            self.socket, app, log=None, handler_class=CountingHandler
        )
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
