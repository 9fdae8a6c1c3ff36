import time

import gevent
from endive_core.routing import (
    Engine,
    RouteKind,
    Service,
)
from gateway_builders import (
    SERVICE,
    RunningGateway,
    count_received_requests,
    gateway_with_two_servers,
    list_origins,
    make_route,
    make_table,
)
from server_builders import (
    ScriptedServer,
    close_connection,
    event,
    events,
)

STREAM = {"kind": RouteKind.STREAM, "max_attempts": 2}
RESUMABLE = STREAM | {"resumable": True}


def test_events_pass_as_they_come():
    route = make_route(**STREAM)
    server = ScriptedServer(events(1, 5, gap_s=0.1))
    with RunningGateway(server, table=make_table(route)) as running:
        caller = running.caller()
        caller.send()
        started = time.monotonic()
        while event(1) not in caller.buffer:
            caller._more()
        assert time.monotonic() - started < 0.09
        got = caller.receive()
    assert got.whole
    assert got.body == b"".join(event(number) for number in range(1, 6))


def test_a_broken_stream_goes_on_at_another_server_after_its_last_event():
    """A server crashes in the middle of an event. The caller must receive each event
    once, none missing and none made up of parts from two servers."""
    with gateway_with_two_servers(
        events(1, 3, cut=b"id: 4\nda", end=False), events(4, 6), **RESUMABLE
    ) as running:
        got = running.call()
        second = [s for server in running.servers for s in server.received][-1]
    assert got.whole
    assert got.body == b"".join(event(number) for number in range(1, 7))
    assert (
        "after" in second.headers
        or running.servers[0].received[-1].headers["after"] == "3"
    )


def test_a_broken_stream_that_can_not_be_resumed_does_not_look_whole():
    with gateway_with_two_servers(
        events(1, 3, end=False), events(4, 6), **STREAM
    ) as running:
        got = running.call()
        assert count_received_requests(running) == 1
    assert got.status == 200
    assert not got.whole


def test_a_stream_whose_second_server_fails_too_does_not_look_whole():
    with gateway_with_two_servers(
        events(1, 3, end=False), close_connection, **RESUMABLE
    ) as running:
        got = running.call()
    assert not got.whole
    assert got.body == b"".join(event(number) for number in range(1, 4))


def test_a_callers_own_place_in_a_stream_is_passed_on():
    server = ScriptedServer(events(8, 9))
    with RunningGateway(server, table=make_table(make_route(**RESUMABLE))) as running:
        list_origins(running.context, "v1")
        got = running.call(After="7")
    assert got.body == event(8) + event(9)
    assert server.received[0].headers["after"] == "7"


def test_a_prompt_that_will_be_late_goes_behind_the_others_at_its_server():
    """A prompt of 90,000 tokens occupies the only engine for more than a second. The
    next request misses its target anyway, and must not delay the requests that
    follow."""
    route = STREAM | {"engine": True, "target_s": 0.3, "priority": 2, "max_attempts": 1}
    table = make_table(make_route(**route))
    table.services[SERVICE] = Service(SERVICE, engine=Engine(slots=64))
    slow = events(1, 2, gap_s=0.3)

    def begin_late(sock, received):
        gevent.sleep(0.2)
        return slow(sock, received)

    with RunningGateway(
        ScriptedServer(begin_late, events(1, 1)), table=table
    ) as running:
        first, second = running.caller(), running.caller()
        first.send(method="POST", body=b"a", tokens="90000,5")
        gevent.sleep(0.05)
        second.send(method="POST", body=b"b", tokens="500,5")
        assert second.receive().status == 200
        assert first.receive().status == 200
        priorities = [
            received.headers["urgency"] for received in running.servers[0].received
        ]
    assert priorities == ["2", "9"]


def test_a_short_prompt_is_sent_as_more_urgent_than_long_ones():
    """Its route has a shorter target and less priority than that of the long ones,
    behind which it waited."""
    engine = STREAM | {"engine": True, "max_attempts": 1}
    long = make_route(**engine | {"target_s": 0.8, "priority": 0})
    short = make_route(
        **engine | {"target_s": 0.5, "priority": 1, "path_prefix": "/short/"}
    )
    table = make_table(long, short)
    table.services[SERVICE] = Service(SERVICE, engine=Engine(slots=64))
    answers = [events(1, 2)] * 8
    with RunningGateway(ScriptedServer(*answers), table=table) as running:
        order = running.context.placer.schedulers[SERVICE].order
        for number in range(7):
            order.next_update_at = 0.0
            caller = running.caller()
            target = "/short/x" if number == 6 else long.path_prefix + "x"
            tokens = "100,5" if number % 2 == 0 else "30000,5"
            caller.send(method="POST", target=target, body=b"a", tokens=tokens)
            assert caller.receive().status == 200
        priorities = [
            received.headers["urgency"] for received in running.servers[0].received
        ]
    assert priorities[0] == "5"
    assert priorities[-2:] == ["5", "0"]
