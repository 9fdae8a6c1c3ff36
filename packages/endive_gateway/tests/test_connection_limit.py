"""The number of connections that callers may hold."""

from collections import Counter

import gevent
import pytest
from endive_gateway import exchange
from endive_gateway.machine import Machine
from endive_gateway.refusal_reasons import RefusalReason
from endive_node.refusals import LOG_INTERVAL_S, RefusalLog
from gateway_builders import RunningGateway
from gevent.event import Event
from gevent.socket import SO_RCVBUF, SOL_SOCKET
from server_builders import ScriptedServer, ok

MOST = 3
GIVE_UP_S = 20.0
NO_ROUTE = b"GET / HTTP/1.1\r\nHost: none.example\r\nId: odd\r\n\r\n"
UNFINISHED = b"POST /x HTTP/1.1\r\nHost: a.example\r\nId: part\r\n"


class HeldServer(ScriptedServer):
    """A server that answers once it may."""

    def __init__(self):
        super().__init__()
        self.may_answer = Event()
        self.answer_rest = self.answer

    def answer(self, sock, request):
        self.may_answer.wait()
        ok(sock, request)


@pytest.fixture
def server():
    return HeldServer()


@pytest.fixture
def running(server):
    """A gateway that takes few connections."""
    with RunningGateway(server) as started:
        started.listener.most_connections = MOST
        yield started


def connected(running, data=b""):
    """Return a new connection that the gateway has accepted."""
    caller = running.caller()
    if data:
        caller.raw(data)
    gevent.sleep(0.05)
    return caller


def test_the_connection_that_is_idle_longest_is_closed_for_a_new_one(running, server):
    """Idle connections took all descriptors, and no other caller got an answer."""
    server.may_answer.set()
    used, idle, _later = (connected(running) for _ in range(MOST))
    used.send()
    assert used.receive().status == 200
    newest = connected(running)
    newest.send()
    assert newest.receive().status == 200
    assert idle.receive() is None
    used.send()
    assert used.receive().status == 200
    assert running.context.metrics.refusals == {RefusalReason.IDLE_CLOSED: 1}


def test_an_unfinished_request_is_refused_for_a_new_connection(running, server):
    """Its caller must learn that the request has not run."""
    server.may_answer.set()
    unfinished = connected(running, UNFINISHED)
    others = [connected(running) for _ in range(MOST)]
    refused = unfinished.receive()
    assert refused.status == 503
    assert float(refused.headers["retry-after"]) > 0
    others[0].send()
    assert others[0].receive().status == 200


def test_a_request_that_has_come_is_never_given_up_for_a_connection(running, server):
    served = [connected(running) for _ in range(MOST)]
    for caller in served:
        caller.send()
    gevent.sleep(0.1)
    refused = connected(running).receive()
    assert refused.status == 503
    assert float(refused.headers["retry-after"]) > 0
    server.may_answer.set()
    assert [caller.receive().status for caller in served] == [200] * MOST
    assert len(running.listener.waiting) == len(running.listener.connections) == MOST
    for caller in served:
        caller.close()
    gevent.sleep(0.1)
    assert not running.listener.waiting
    assert not running.listener.connections


def test_a_caller_that_reads_no_responses_keeps_its_connection_for_a_while_only(
    running, monkeypatch
):
    """A response that did not fit into the socket's buffer was sent without end."""
    monkeypatch.setattr(exchange, "OWN_RESPONSE_TIMEOUT_S", 0.2)
    caller = running.caller()
    caller.sock.setsockopt(SOL_SOCKET, SO_RCVBUF, 1)
    sender = gevent.spawn(caller.raw, NO_ROUTE * 50_000)
    with gevent.Timeout(GIVE_UP_S):
        while not running.context.metrics.outcomes:
            gevent.sleep(0.02)
        while running.listener.connections:
            gevent.sleep(0.02)
    sender.kill()


@pytest.mark.parametrize(
    ("memory_mb", "sockets"), [(160, 3_900), (200, 7_992), (300, 3_900), (552, 7_992)]
)
def test_connections_leave_half_of_the_sockets_to_servers(memory_mb, sockets):
    machine = Machine(memory_mb * 10**6, sockets)
    assert 1_000 < machine.caller_connections < sockets / 2
    carried = 2 * machine.carried_connections
    assert machine.caller_connections + carried < 0.75 * sockets


def test_refusals_of_a_crowd_take_a_line_a_second(caplog):
    """A line for each refused connection would leave no room for other lines."""
    now = 0.0
    log = RefusalLog(Counter(), clock=lambda: now)
    for _ in range(1_000):
        log.add(RefusalReason.CONNECTIONS)
    now = LOG_INTERVAL_S
    log.add(RefusalReason.CONNECTIONS)
    lines = [record.getMessage() for record in caplog.records]
    assert lines == [
        "event=refused reason=connections count=1",
        "event=refused reason=connections count=1000",
    ]
    assert log.counts[RefusalReason.CONNECTIONS] == 1_001
