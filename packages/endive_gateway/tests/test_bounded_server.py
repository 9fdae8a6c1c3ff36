"""Ports for one request a connection."""

from collections import Counter

import gevent
import pytest
from endive_gateway.bounded_server import BoundedServer
from endive_gateway.refusal_reasons import RefusalReason
from endive_node.refusals import RefusalLog
from endive_node.sockets import listen_tcp
from gateway_builders import Caller

MOST = 4


@pytest.fixture
def server():
    """A server that answers what it gets."""

    def serve(sock, _address):
        sock.sendall(sock.recv(100))

    started = BoundedServer(
        listen_tcp("127.0.0.1", 0),
        serve,
        lambda: MOST,
        RefusalLog(Counter()),
        "test",
    )
    started.start()
    yield started
    started.stop(0)


def test_the_connection_that_waits_longest_is_closed_for_a_new_one(server):
    """Idle connections to the readiness port took all descriptors."""
    idle = [Caller(server.server_port) for _ in range(3 * MOST)]
    gevent.sleep(0.1)
    assert len(server.waiting) == MOST
    assert idle[0].sock.recv(1) == b""
    newest = Caller(server.server_port)
    newest.raw(b"a")
    assert newest.sock.recv(1) == b"a"
    assert server.refusals.counts[RefusalReason.PORT_CLOSED] == 2 * MOST + 1


def test_a_connection_that_breaks_prints_no_traceback(server, capfd):
    """A crowd that resets its connections would fill the log."""
    caller = Caller(server.server_port)
    gevent.sleep(0.05)
    next(iter(server.waiting)).close()
    assert caller.sock.recv(1) == b""
    gevent.sleep(0.05)
    assert "Traceback" not in capfd.readouterr().err
    assert server.refusals.counts[RefusalReason.PORT_BROKEN] == 1
