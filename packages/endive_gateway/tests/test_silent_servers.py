import socket

import gevent
import pytest
from endive_core.routing import RouteKind
from gateway_builders import RunningGateway, make_route, make_table
from server_builders import ScriptedServer

UNSAFE = {"kind": RouteKind.NON_IDEMPOTENT, "max_attempts": 1, "timeout_s": 10.0}
LARGE_BODY = b"x" * 4_000_000


class PausingServer(ScriptedServer):
    """A server that reads nothing for some seconds, and then goes on.

    Its receive buffer is small, so that its silence reaches the sender at once.
    """

    def __init__(self, silent_s):
        super().__init__()
        self.silent_s = silent_s
        self.server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

    def _serve(self, sock, address):
        gevent.sleep(self.silent_s)
        super()._serve(sock, address)


@pytest.mark.parametrize("silent_s", [1.2, 2.5])
def test_a_server_that_is_silent_for_some_seconds_keeps_its_request(silent_s):
    """The node closed the connection after 1.5 s, and the request was lost."""
    server = PausingServer(silent_s)
    with RunningGateway(server, table=make_table(make_route(**UNSAFE))) as running:
        assert running.call(method="POST", body=LARGE_BODY).status == 200
        assert len(server.received) == 1
