import time

import gevent
import pytest
from endive_core.routing import (
    OrganisationLimits,
    RouteKind,
)
from endive_gateway.interfaces import ServerState
from gateway_builders import (
    HOST,
    RunningGateway,
    authenticated_table,
    count_received_requests,
    gateway_with_two_servers,
    make_entry,
    make_route,
    make_table,
)
from server_builders import (
    ScriptedServer,
    answer,
    at_capacity,
    close_connection,
    encoded,
    failing,
    misdirected,
    ok,
    raw,
    unresponsive,
)

UNSAFE = {"kind": RouteKind.NON_IDEMPOTENT, "max_attempts": 1}
STREAM = {"kind": RouteKind.STREAM, "max_attempts": 2}
RESUMABLE = STREAM | {"resumable": True}


def test_method_target_body_and_headers_arrive_unchanged():
    body = bytes(range(256)) * 300
    with RunningGateway(ScriptedServer()) as running:
        got = running.call("/x/%2e%2e/y?q=a%20b&c", method="PATCH", body=body, X_A="ä")
        received = running.servers[0].received[0]
    assert got.status == 200
    assert got.body == b"fine"
    assert (received.method, received.target, received.body) == (
        "PATCH",
        "/x/%2e%2e/y?q=a%20b&c",
        body,
    )
    assert received.headers["host"] == HOST


def test_a_chunked_body_arrives_with_a_length():
    with RunningGateway(ScriptedServer()) as running:
        caller = running.caller()
        caller.raw(
            b"POST /x HTTP/1.1\r\nHost: a.example\r\nId: q\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        assert caller.receive().status == 200
        received = running.servers[0].received[0]
    assert received.body == b"abcde"
    assert received.headers["content-length"] == "5"
    assert "transfer-encoding" not in received.headers


def test_a_smuggled_request_never_reaches_a_server():
    """Request smuggling: a second request is hidden in the body of one with an
    ambiguous length. A server would run it with another caller's identity."""
    with RunningGateway(ScriptedServer()) as running:
        caller = running.caller()
        caller.raw(
            b"POST /x HTTP/1.1\r\nHost: a.example\r\nId: q\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            b"GET /y HTTP/1.1\r\nHost: a.example\r\nId: z\r\n\r\n"
        )
        assert caller.receive().status == 400
        assert caller.ended()
        assert count_received_requests(running) == 0


def test_what_a_caller_may_not_set_is_replaced():
    with RunningGateway(ScriptedServer(), table=authenticated_table()) as running:
        got = running.call(Key="k", Organisation="other", Meant="i-9", Wait_Ms="5000")
        received = running.servers[0].received[0]
    assert got.status == 200
    assert received.headers["organisation"] == "o"
    assert received.headers["meant"] == "i-1"
    assert int(received.headers["wait-ms"]) <= 2000
    assert "key" not in received.headers


@pytest.mark.parametrize(
    ("options", "status"),
    [({"Key": "other"}, 401), ({}, 401), ({"target": "/none", "Key": "k"}, 404)],
)
def test_what_the_configuration_does_not_allow_is_refused(options, status):
    table = authenticated_table(path_prefix="/x/")
    with RunningGateway(ScriptedServer(), table=table) as running:
        options = {"target": "/x/", **options}
        assert running.call(**options).status == status
        assert count_received_requests(running) == 0


def test_without_a_configuration_nothing_is_denied_for_good():
    """A node starts while the store is unavailable. With 404 or 401, callers would take
    their request or key for invalid and not retry."""
    with RunningGateway(ScriptedServer()) as running:
        running.context.table = None
        got = running.call()
    assert got.status == 503
    assert float(got.headers["retry-after"]) > 0


def test_kept_connections_carry_one_request_after_another():
    with RunningGateway(ScriptedServer()) as running:
        caller = running.caller()
        for _ in range(5):
            caller.send()
            assert caller.receive().status == 200
        assert running.servers[0].connections == 1


def test_pipelined_requests_are_answered_in_order():
    with RunningGateway(ScriptedServer()) as running:
        caller = running.caller()
        for number in range(3):
            caller.send(request_id=f"p{number}")
        got = [caller.receive().headers["id"] for _ in range(3)]
    assert got == ["p0", "p1", "p2"]


def test_an_idempotent_request_goes_to_a_second_server_after_a_failure():
    for first in (
        failing,
        close_connection,
        at_capacity,
        raw(b"junk\r\n\r\n", close=True),
    ):
        with gateway_with_two_servers(first) as running:
            assert running.call().status == 200
            assert count_received_requests(running) == 2


def test_a_request_that_may_have_run_is_not_sent_again():
    """A server resets the connection after it received a non-idempotent request.
    Retried at another server, the request could run twice; answered as not run, the
    caller would retry it."""
    with gateway_with_two_servers(
        close_connection, **UNSAFE | {"max_attempts": 3}
    ) as running:
        got = running.call(method="POST", body=b"{}")
        assert count_received_requests(running) == 1
    assert got.status == 502
    assert got.json["error"]["executed"] == "unknown"
    assert "retry-after" not in got.headers


def test_a_server_that_did_not_run_a_request_lets_another_run_it():
    with gateway_with_two_servers(
        at_capacity, **UNSAFE | {"max_attempts": 2}
    ) as running:
        assert running.call(method="POST", body=b"{}").status == 200
        assert count_received_requests(running) == 2


def test_not_run_is_said_with_a_time_to_come_back():
    with RunningGateway(
        ScriptedServer(at_capacity), table=make_table(make_route(**UNSAFE))
    ) as running:
        got = running.call(method="POST", body=b"{}")
    assert got.status == 503
    assert got.json["error"]["executed"] == "no"
    assert float(got.headers["retry-after"]) > 0
    assert "signed" not in got.headers


def test_a_servers_503_that_promises_nothing_is_not_passed_as_a_promise():
    """A server answers 503 after it began the request. Forwarded as it is, the status
    would mean "not run" to the caller, who would send a non-idempotent request
    again."""
    with gateway_with_two_servers(answer(503, b"oops"), **UNSAFE) as running:
        got = running.call(method="POST", body=b"{}")
    assert got.status == 502
    assert "signed" not in got.headers


def test_a_servers_own_failure_is_passed_on_unchanged():
    with gateway_with_two_servers(failing, **UNSAFE) as running:
        got = running.call(method="POST", body=b"{}")
    assert (got.status, got.body, got.headers["signed"]) == (500, b"failed", "yes")


def test_a_server_that_fails_what_is_not_sent_again_gets_little_more():
    """One of three servers answers each request with 500 immediately, so it looks idle,
    and no request may be retried. If only retried requests counted against a server, it
    would keep getting a third of all requests and fail them."""
    servers = [ScriptedServer(server_id=f"i-{number}") for number in range(3)]
    servers[1].script = [failing] * 90
    got = []
    with RunningGateway(*servers, table=make_table(make_route(**UNSAFE))) as running:
        for _ in range(90):
            got.append(running.call(method="POST", body=b"{}").status)
            gevent.sleep(0.02)
    assert got.count(500) <= 15
    assert got.count(500) + got.count(200) == 90


def test_a_server_at_anothers_address_is_not_asked_again():
    """A server's address now belongs to another server, which refuses requests for the
    first with 421. Each further request to it would waste a round trip."""
    with gateway_with_two_servers(misdirected, **UNSAFE) as running:
        for _ in range(3):
            assert running.call(method="POST", body=b"{}").status == 200
        assert count_received_requests(running) == 4


@pytest.mark.parametrize(
    "garbled",
    [
        answer(signed=False),
        answer(extra="Content-Encoding: gzip\r\n"),
        answer(request_id="other"),
        raw(
            b"HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: y\r\nContent-Length: 9\r\n\r\nabc",
            close=True,
        ),
        raw(
            b"HTTP/1.1 200 OK\r\nSigned: y\r\nContent-Length: 3\r\n\r\nabc", close=True
        ),
        raw(
            b"HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: y\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            close=True,
        ),
    ],
)
def test_a_success_that_is_not_the_servers_whole_answer_never_passes(garbled):
    with RunningGateway(
        ScriptedServer(garbled), table=make_table(make_route(**UNSAFE, timeout_s=0.5))
    ) as running:
        got = running.call(method="POST", body=b"{}")
    assert got.status in (502, 504)


def test_an_answer_that_ends_with_its_connection_is_whole():
    data = b"HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: y\r\n\r\nabc"
    with RunningGateway(ScriptedServer(raw(data, close=True))) as running:
        got = running.call()
    assert (got.status, got.body, got.whole) == (200, b"abc", True)


def test_a_late_extra_answer_is_nobodys():
    """A server answers one request twice. The second response arrives where the next
    request's is expected, and that request's caller would get another caller's data."""

    def twice(sock, received):
        sock.sendall(encoded(received) + encoded(received, body=b"again"))

    with RunningGateway(ScriptedServer(twice, answer(body=b"second"))) as running:
        caller = running.caller()
        caller.send()
        assert caller.receive().body == b"fine"
        caller.send()
        assert caller.receive().body == b"second"


def test_an_extra_answer_after_the_next_request_went_out_is_skipped():
    def late(sock, received):
        sock.sendall(encoded(received, body=b"stale", request_id="q-before"))
        gevent.sleep(0.02)
        sock.sendall(encoded(received, body=b"mine"))

    with RunningGateway(ScriptedServer(late)) as running:
        assert running.call().body == b"mine"


def test_an_early_answer_to_a_long_body_spoils_no_other_request():
    """A server rejects a large request before it has read the body, and keeps the
    connection. It would read the next request's head as a part of that body."""

    with RunningGateway(ScriptedServer()) as running:
        server = running.servers[0]

        def early(sock, received):
            sock.sendall(encoded(received, 400, b"too long"))

        server.script.append(early)
        assert running.call(method="POST", body=b"x" * 1_000_000).status == 400
        assert running.call(method="POST", body=b"y").status == 200
        assert [len(received.body) for received in server.received] == [1_000_000, 1]


def test_a_caller_that_leaves_ends_its_request_at_the_server():
    """Otherwise an abandoned request would keep its slot at the server."""
    with RunningGateway(ScriptedServer(unresponsive)) as running:
        caller = running.caller()
        caller.send()
        gevent.sleep(0.1)
        caller.close()
        gevent.sleep(0.1)
        (scheduler,) = running.context.placer.schedulers.values()
        assert scheduler.servers.own_in_flight == 0
        assert not running.context.placer.ticket_schedulers
        assert not running.context.pool.idle["i-1"]


def test_the_routes_timeout_ends_a_request_with_a_true_answer():
    with gateway_with_two_servers(unresponsive, timeout_s=0.3, **UNSAFE) as running:
        started = time.monotonic()
        got = running.call(method="POST", body=b"{}")
    assert got.status == 504
    assert got.json["error"]["executed"] == "unknown"
    assert time.monotonic() - started < 0.8


def test_servers_are_given_no_more_time_than_is_left():
    with RunningGateway(ScriptedServer()) as running:
        running.call(Wait_Ms="500")
        running.call(Wait_Ms="50000")
        left = [
            int(received.headers["wait-ms"]) for received in running.servers[0].received
        ]
    assert left[0] <= 500
    assert left[1] <= 2000


def test_a_request_without_time_for_an_answer_reaches_no_server():
    """A caller waits 60 ms at most where answers take a second. Sent anyway, the
    request would occupy a slot at a server for no result."""
    with RunningGateway(ScriptedServer()) as running:
        got = running.call(Wait_Ms="60")
        assert count_received_requests(running) == 0
    assert got.status == 503
    assert got.json["error"]["executed"] == "no"


def test_a_servers_failure_is_passed_on_when_no_time_is_left_for_another():
    """The first server fails 0.25 s into the route's time-out of 0.3 s. A second server
    could not answer in time, and the first server's error response would be lost."""

    def late_failure(sock, received):
        gevent.sleep(0.25)
        return failing(sock, received)

    with gateway_with_two_servers(late_failure, timeout_s=0.3) as running:
        got = running.call()
        assert count_received_requests(running) == 1
    assert (got.status, got.body) == (500, b"failed")


def test_a_limit_is_told_as_not_run_and_costs_no_server():
    terms = OrganisationLimits("o", rate=1.0, burst=1.0)
    table = make_table(
        make_route(public=False), organisations={"o": terms}, keys={"k": "o"}
    )
    with RunningGateway(ScriptedServer(), table=table) as running:
        got = [running.call(Key="k") for _ in range(3)]
        assert count_received_requests(running) == sum(
            answer.status == 200 for answer in got
        )
    assert got[-1].status == 429
    assert float(got[-1].headers["retry-after"]) > 0


def crash(sock, received):
    """Close the connection and tell the scripted server to stop serving it."""
    sock.close()
    return False


def test_a_request_that_crashes_servers_is_refused_from_the_second_crash_on():
    """One request crashes each server that runs it, and its caller retries it.
    Forwarded each time, it would take down all servers one by one with the streams on
    them."""
    with RunningGateway(
        *(ScriptedServer(server_id=f"i-{n}") for n in range(4))
    ) as running:
        for server in running.servers:

            def crash_server(sock, received, server=server):
                server.stop()
                return crash(sock, received)

            server.script.append(crash_server)
        first = running.call(method="POST", body=b"poison", request_id="p1")
        again = running.call(method="POST", body=b"poison", request_id="p2")
        assert count_received_requests(running) == 2
        other = running.call(method="POST", body=b"fine", request_id="p3")
    assert first.status == 502
    assert again.status == 503
    assert other.status != 200  # the third server crashed on it, and no further one


def test_no_server_is_told_at_once():
    with RunningGateway(table=make_table()) as running:
        started = time.monotonic()
        got = running.call()
    assert got.status == 503
    assert time.monotonic() - started < 0.2


def test_a_leaving_server_gets_nothing_new():
    with gateway_with_two_servers(ok) as running:
        leaving = running.servers[0]
        running.context.registry.put(
            make_entry(
                leaving.id,
                address=leaving.address,
                state=ServerState.LEAVING,
                sequence=5,
            )
        )
        running.context.registry.notify_listeners()
        for _ in range(2):
            running.servers[1].script.clear()
            assert running.call().status == 200
        assert not leaving.received


def test_the_log_says_why_a_node_refuses(caplog):
    """The outcome alone does not tell apart what admission predicted."""
    with RunningGateway(table=make_table(make_route())) as running:
        running.call()
    assert 'outcome=no_server servers="" ' in caplog.text
    assert 'error="no server takes work"' in caplog.text
