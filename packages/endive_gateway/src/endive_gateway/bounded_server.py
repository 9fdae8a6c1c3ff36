"""A TCP server with a bounded number of connections that wait for their requests."""

import socket
from collections.abc import Callable

from endive_node.refusals import RefusalLog
from gevent import socket as gsocket
from gevent.pool import Pool
from gevent.server import StreamServer

from endive_gateway.refusal_reasons import RefusalReason

Address = tuple[str, int]

MAX_ACCEPTED = 16
"""Connections that are accepted before those accepted earlier are handled."""


class BoundedServer(StreamServer):
    """Serves connections that send one request each.

    Beyond the limit, a new connection takes the place of the one that has waited
    longest.

    Parameters
    ----------
    serve : callable
        Serves a connection, given its socket and the address of the other side. It
        calls :meth:`received` if it goes on for long after the request.
    most_waiting : callable
        Returns how many connections may wait for their requests.
    name : str
        Name of the port, for the log.
    """

    max_accept = MAX_ACCEPTED

    def __init__(
        self,
        listener: socket.socket,
        serve: Callable[[gsocket.socket, Address], None],
        most_waiting: Callable[[], int],
        refusals: RefusalLog,
        name: str,
    ) -> None:
        super().__init__(listener, self._serve_bounded, spawn=Pool())
        self.serve = serve
        self.most_waiting = most_waiting
        self.refusals = refusals
        self.name = name
        self.waiting: dict[gsocket.socket, None] = {}

    def received(self, sock: gsocket.socket) -> None:
        """Note that the request on a connection has been received."""
        self.waiting.pop(sock, None)

    def _serve_bounded(self, sock: gsocket.socket, address: Address) -> None:
        while len(self.waiting) >= self.most_waiting():
            oldest = next(iter(self.waiting))
            self.received(oldest)
            oldest.close()
            self.refusals.add(RefusalReason.PORT_CLOSED, port=self.name)
        self.waiting[sock] = None
        try:
            self.serve(sock, address)
        except OSError as error:
            self.refusals.add(RefusalReason.PORT_BROKEN, port=self.name, error=error)
        finally:
            self.received(sock)
