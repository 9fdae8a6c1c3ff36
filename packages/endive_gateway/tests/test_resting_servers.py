import time

import gevent
import pytest
from gateway_builders import RunningGateway
from server_builders import ScriptedServer, answer, ok

REST_S = 1.2
CALLERS = 12


def turn_away(rest_s=REST_S):
    """Return a script entry that turns a request away and asks for rest."""
    return answer(503, b"", extra=f"Refused: 1\r\nRest: {rest_s}\r\n")


def ok_after(seconds):
    """Return a script entry that answers after some time."""

    def send(sock, received):
        gevent.sleep(seconds)
        return ok(sock, received)

    return send


def call_for(running, seconds):
    """Let callers send one request after the other, and return the responses."""
    responses, end = [], time.monotonic() + seconds

    def call_on():
        while time.monotonic() < end:
            responses.append(running.call())
            gevent.sleep(0.01)

    gevent.joinall([gevent.spawn(call_on) for _ in range(CALLERS)])
    return responses


def test_a_server_that_asked_for_rest_gets_no_request_before_its_time():
    """It got more as soon as its last report expired."""
    first = ScriptedServer(*[turn_away()] * 99, server_id="i-1")
    second = ScriptedServer(*[ok_after(0.05)] * 999, server_id="i-2")
    with RunningGateway(first, second) as running:
        running.call()
        running.call()
        responses = call_for(running, 0.75 * REST_S)
        assert len(first.received) == 1
        assert {response.status for response in responses} == {200}


def test_servers_that_all_rest_get_no_request_before_their_time():
    """Each got as many as came, and every caller was turned away by two of them."""
    servers = [
        ScriptedServer(*[turn_away()] * 999, server_id=f"i-{n}") for n in range(3)
    ]
    with RunningGateway(*servers) as running:
        running.call()
        running.call()
        responses = call_for(running, 0.75 * REST_S)
    assert [len(server.received) for server in servers] == [1, 1, 1]
    assert {response.status for response in responses} == {503}


@pytest.mark.parametrize("status", [200, 404, 421, 500, 503])
def test_a_server_that_says_it_leaves_gets_no_further_request(status):
    """It got as many as the others until its entry in the store said so."""
    extra = "Leaving: 1\r\n" + ("Refused: 1\r\n" if status in (421, 503) else "")
    leaving = ScriptedServer(*[answer(status, b"", extra=extra)] * 99, server_id="i-1")
    staying = ScriptedServer(*[ok] * 99, server_id="i-2")
    with RunningGateway(leaving, staying) as running:
        for _ in range(30):
            running.call()
    assert len(leaving.received) <= 1
