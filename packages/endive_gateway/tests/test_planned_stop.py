"""Requests that a stopping node can't answer whole before its end."""

import time

import gevent
import pytest
from endive_core.routing import RouteKind
from endive_gateway.gateway import ANSWERING_S
from endive_gateway.memory_budget import USUAL_BODY_BYTES
from endive_gateway.turns import Worker
from gateway_builders import (
    RunningGateway,
    count_received_requests,
    make_entry,
    make_route,
    make_table,
)
from server_builders import ScriptedServer, failing, ok

TIMEOUT_S = 4.0
TARGET_S = 0.5
SLOWEST_S = 0.4
ROUTES = {
    "unsafe": {"kind": RouteKind.NON_IDEMPOTENT},
    "safe": {"max_attempts": 3},
    "stream": {"kind": RouteKind.STREAM},
}


class StoppingGateway(RunningGateway):
    """A gateway that knows how slow its routes are, and ends after `left_s`."""

    def __init__(self, *servers, left_s, **route):
        table = make_table(make_route(timeout_s=TIMEOUT_S, target_s=TARGET_S, **route))
        super().__init__(*servers, table=table)
        stop = self.context.planned_stop
        stop.slowest.observe("r", SLOWEST_S, time.monotonic())
        stop.ends_at = time.monotonic() + left_s
        self.listener.stopping = True


def timed(caller):
    """Return the next response, and how long it took to come."""
    began_at = time.monotonic()
    response = caller.receive()
    return response, time.monotonic() - began_at


def timed_call(running):
    """Return the response to one request, and how long it took to come."""
    caller = running.caller()
    caller.send()
    return timed(caller)


@pytest.mark.parametrize("route", ROUTES)
def test_a_request_whose_body_ends_late_is_refused_and_does_not_run(route):
    """It was passed on, ran, and was cut or got 502 at the end of the grace."""
    server = ScriptedServer()
    with StoppingGateway(server, left_s=SLOWEST_S, **ROUTES[route]) as running:
        caller = running.caller()
        caller.raw(b"POST /x HTTP/1.1\r\nHost: a.example\r\nId: q\r\n")
        caller.raw(b"Content-Length: 2\r\n\r\nx")
        gevent.sleep(SLOWEST_S / 2)
        caller.raw(b"x")
        response, took_s = timed(caller)
    assert response.status == 503 and "retry-after" in response.headers
    assert took_s < TARGET_S
    assert server.received == []


def test_a_request_that_fits_into_the_time_left_is_answered():
    server = ScriptedServer()
    with StoppingGateway(server, left_s=2 * SLOWEST_S) as running:
        assert running.call().status == 200


def test_a_request_whose_deadline_comes_before_the_end_is_answered():
    server = ScriptedServer(lambda *args: gevent.sleep(0.1) or ok(*args))
    with StoppingGateway(server, left_s=SLOWEST_S - 0.05) as running:
        assert running.call(wait_ms=200).status == 200


def test_a_request_that_waits_in_a_queue_is_refused_before_the_end():
    """It was refused only at the end, with no time left to be served elsewhere."""
    server = ScriptedServer(lambda *args: gevent.sleep(0.5) or ok(*args))
    with StoppingGateway(server, left_s=10.0) as running:
        entry = make_entry(address=server.address, software_version="v1", slots=1)
        running.context.registry.put(entry)
        running.context.registry.notify_listeners()
        running.context.planned_stop.slowest.observe("r", 1.0, time.monotonic())
        first, second = running.caller(), running.caller()
        first.send()
        gevent.sleep(0.05)
        second.send()
        gevent.sleep(0.05)
        running.listener.refuse_hopeless()
        gevent.sleep(0)
        assert running.listener.busy == 2
        running.context.planned_stop.ends_at = time.monotonic() + 0.9
        running.listener.refuse_hopeless()
        response, took_s = timed(second)
        assert first.receive().status == 200
    assert response.status == 503 and took_s < TARGET_S
    assert len(server.received) == 1


def test_a_request_at_a_server_is_not_given_up_before_the_end():
    slow = ScriptedServer(lambda *args: gevent.sleep(0.3) or ok(*args))
    with StoppingGateway(slow, left_s=10.0) as running:
        caller = running.caller()
        caller.send()
        gevent.sleep(0.1)
        running.context.planned_stop.ends_at = time.monotonic() + SLOWEST_S / 2
        running.listener.refuse_hopeless()
        assert caller.receive().status == 200


def test_a_retry_that_does_not_fit_into_the_time_left_is_not_made():
    """The second attempt was cut at the end of the grace."""
    script = [lambda *args: gevent.sleep(0.2) or failing(*args)]

    def respond(*args):
        return (script.pop() if script else ok)(*args)

    servers = [ScriptedServer(server_id=name) for name in ("i-1", "i-2")]
    for server in servers:
        server.answer_rest = respond
    left_s = SLOWEST_S + 0.1
    with StoppingGateway(*servers, left_s=left_s, **ROUTES["safe"]) as running:
        response, took_s = timed_call(running)
        assert count_received_requests(running) == 1
    assert response.status == 500
    assert took_s < 0.2 + TARGET_S


@pytest.mark.parametrize(
    "part", [b"POST /x HTT", b"POST /x HTTP/1.1\r\nHost: a.example\r\n", None]
)
def test_what_is_unread_at_the_end_is_refused(part):
    """It was closed without a word, and its caller could not tell that it never ran."""
    whole_head = b"POST /x HTTP/1.1\r\nHost: a.example\r\nId: q\r\n"
    server = ScriptedServer()
    with StoppingGateway(server, left_s=ANSWERING_S) as running:
        caller, idle = running.caller(), running.caller()
        caller.raw(part or whole_head + b"Content-Length: 2\r\n\r\nx")
        gevent.sleep(0.05)
        running.listener.refuse_unanswered()
        response, took_s = timed(caller)
        assert response.status == 503 and "retry-after" in response.headers
        assert took_s < TARGET_S
        idle.sock.settimeout(0.1)
        with pytest.raises(TimeoutError):
            idle.sock.recv(1)
    assert server.received == []


def test_a_request_whose_turn_has_not_come_at_the_end_is_refused(monkeypatch):
    """A long body that was read whole was closed without a word."""
    monkeypatch.setattr(Worker, "before_long_work", lambda worker: gevent.sleep(10.0))
    server, body = ScriptedServer(), b"x" * (USUAL_BODY_BYTES + 1)
    with StoppingGateway(server, left_s=ANSWERING_S) as running:
        caller = running.caller()
        caller.raw(b"POST /x HTTP/1.1\r\nHost: a.example\r\nId: q\r\n")
        caller.raw(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
        gevent.sleep(0.05)
        running.listener.refuse_unanswered()
        response, took_s = timed(caller)
        assert running.context.request_memory.used == 0
    assert response.status == 503 and "retry-after" in response.headers
    assert took_s < TARGET_S
    assert server.received == []
