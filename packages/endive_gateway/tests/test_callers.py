import time

import gevent
import pytest
from endive_core.routing import (
    CallerLimits,
)
from gateway_builders import (
    RunningGateway,
    count_received_requests,
    make_table,
)
from server_builders import (
    ScriptedServer,
    answer,
)


def limited(**limits):
    return make_table(limits=CallerLimits(**limits))


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /x HTTP/1.1\r\nHost: a.example\r\nX: " + b"a" * 2000 + b"\r\n\r\n", 431),
        (b"POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5000\r\n\r\n", 413),
        (b"GET /x HTTP/1.1\r\nHost: a.ex", 408),
        (b"GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n", 400),
        (b"no request\r\n\r\n", 400),
    ],
)
def test_a_bad_request_gets_a_clear_answer(data, status):
    table = limited(max_header_bytes=1000, max_body_bytes=1000, header_timeout_s=0.2)
    with RunningGateway(ScriptedServer(), table=table) as running:
        caller = running.caller()
        caller.raw(data)
        got = caller.receive()
        assert count_received_requests(running) == 0
    assert got.status == status
    assert got.json["error"]["message"]


def test_a_caller_that_expects_to_be_asked_is_asked():
    with RunningGateway(ScriptedServer()) as running:
        caller = running.caller()
        caller.raw(
            b"POST /x HTTP/1.1\r\nHost: a.example\r\nId: q\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        assert caller.receive().status == 100
        caller.raw(b"ab")
        assert caller.receive().status == 200
        assert "expect" not in running.servers[0].received[0].headers


def test_an_idle_connection_is_closed_only_after_its_time():
    with RunningGateway(ScriptedServer(), table=limited(idle_timeout_s=0.3)) as running:
        caller = running.caller()
        caller.send()
        caller.receive()
        gevent.sleep(0.2)
        caller.send()
        assert caller.receive().status == 200
        started = time.monotonic()
        assert caller.ended()
        assert time.monotonic() - started > 0.2


def test_a_stopping_node_says_so_and_closes_quiet_connections_only():
    """A node stops while a caller sends on a persistent connection. A request that was
    read must be answered before the connection closes."""
    with RunningGateway(ScriptedServer(answer(body=b"one"))) as running:
        busy, idle = running.caller(), running.caller()
        running.listener.stopping = True
        busy.send()
        running.listener.close_idle()
        got = busy.receive()
        assert got.body == b"one"
        assert got.headers["connection"] == "close"
        assert busy.ended()
        gevent.sleep(0.05)
        running.listener.close_idle()
        assert idle.ended()


def test_a_stopping_node_waits_for_a_request_that_has_come_and_is_not_read_yet():
    """It counted as idle, so the process could exit after sending it to a server."""
    with RunningGateway(ScriptedServer()) as running:
        caller = running.caller()
        gevent.sleep(0.05)
        caller.send()
        time.sleep(0.01)  # the bytes have arrived, but no greenlet has run
        running.listener.stop_accepting()
        assert running.listener.busy == 1
        assert caller.receive().status == 200


def test_a_request_that_just_came_survives_the_closing_of_idle_connections():
    """A request arrives on an idle connection at the moment when those are closed. If
    the greenlet were killed, it could send the request to a server first and then drop
    it."""
    with RunningGateway(ScriptedServer()) as running:
        caller = running.caller()
        gevent.sleep(0.05)
        caller.send()
        time.sleep(0.01)  # the bytes have arrived, but no greenlet has run
        running.listener.close_idle()
        assert caller.receive().status == 200
