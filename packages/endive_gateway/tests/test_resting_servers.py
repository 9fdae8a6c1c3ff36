import time

import gevent
import pytest
from endive_core.calls import Tier
from endive_gateway.interfaces import ResponseMetadata
from gateway_builders import (
    SERVICE,
    RunningGateway,
    connected_peers,
    make_context,
    make_entry,
    make_table,
)
from path_builders import CutOffGateway
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


def call_for(running, seconds, **headers):
    """Let callers send one request after the other, and return the responses."""
    responses, end = [], time.monotonic() + seconds

    def call_on():
        while time.monotonic() < end:
            responses.append(running.call(**headers))
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
        running.call(wait_ms=200)
        running.call(wait_ms=200)
        responses = call_for(running, 0.75 * REST_S, wait_ms=200)
    assert [len(server.received) for server in servers] == [1, 1, 1]
    assert {response.status for response in responses} == {503}


def two_servers(first):
    """Return a server with a script of one entry, and one that answers."""
    return (
        ScriptedServer(first, server_id="i-1"),
        ScriptedServer(*[ok] * 99, server_id="i-2"),
    )


def ask_for_rest(context, server="i-1", rest_s=REST_S, through=""):
    context.server_rests.observe(
        server, 503, ResponseMetadata(rest_s=rest_s, not_run=True), through
    )


def context_with(*entries):
    context = make_context(make_table())
    for entry in entries:
        context.registry.put(entry)
    context.registry.notify_listeners()
    return context


@pytest.mark.parametrize("status", [200, 429, 500])
def test_only_a_503_asks_for_rest(status):
    said = answer(status, b"", extra=f"Rest: {REST_S}\r\n")
    with RunningGateway(*two_servers(said)) as running:
        running.call()
        running.call()
        assert running.context.server_rests.rests == {}


def test_a_request_that_was_chosen_before_the_rest_began_is_not_sent():
    """It waited for its connection while another one was turned away."""
    with RunningGateway(*two_servers(ok)) as running:
        pool, real_acquire = running.context.pool, running.context.pool.acquire

        def acquire(server, address, request_id):
            connection = real_acquire(server, address, request_id)
            ask_for_rest(running.context)
            return connection

        pool.acquire = acquire
        first, second = running.servers
        responses = [running.call() for _ in range(6)]
        assert [response.status for response in responses] == [200] * 6
        assert (len(first.received), len(second.received)) == (0, 6)
        assert running.context.metrics.retries["server_resting"] <= 1


def test_a_request_that_waits_for_a_slot_of_a_brittle_server_is_not_sent():
    with RunningGateway(*two_servers(ok)) as running:
        leasing = running.context.slot_leasing

        def acquire(view, **options):
            ask_for_rest(running.context)

        leasing.acquire = acquire
        for _ in range(4):
            assert running.call().status == 200
        assert running.servers[0].received == []


def test_a_request_that_is_turned_away_is_counted_as_a_retry_elsewhere():
    with RunningGateway(*two_servers(turn_away())) as running:
        responses = [running.call() for _ in range(4)]
        assert {response.status for response in responses} == {200}
        assert running.context.metrics.retries["server_resting"] == 1
        assert running.context.placer.ejection.own_counts(time.monotonic()) == {}


def test_a_restart_of_the_server_ends_its_rest():
    context = context_with(make_entry("i-1", incarnation=1))
    ask_for_rest(context)
    assert context.server_rests.is_resting("i-1")
    context.registry.put(make_entry("i-1", incarnation=2))
    assert not context.server_rests.is_resting("i-1")
    context.registry.notify_listeners()
    server = context.placer.schedulers[SERVICE].servers.servers["i-1"]
    assert (server.resting, server.ramp) == (False, None)


def test_an_entry_that_lapses_and_returns_does_not_end_a_rest():
    context = context_with(make_entry("i-1"), make_entry("i-2"))
    ask_for_rest(context)
    context.registry.drop("i-1", 0.0, after_outage=False)
    context.registry.notify_listeners()
    context.registry.put(make_entry("i-1", sequence=7))
    context.registry.notify_listeners()
    servers = context.placer.schedulers[SERVICE].servers
    assert context.server_rests.is_resting("i-1")
    assert not servers.has_room(servers.servers["i-1"], Tier.WITHIN_SHARE)


def test_a_shorter_rest_does_not_end_a_longer_one():
    context = context_with(make_entry("i-1"))
    ask_for_rest(context, rest_s=9.0)
    ask_for_rest(context, rest_s=0.1)
    assert context.server_rests.rests["i-1"].ends_at > time.monotonic() + 8.0


def test_an_invalid_rest_is_logged_once_and_changes_nothing(caplog):
    context = context_with(make_entry("i-1"))
    for _ in range(3):
        metadata = ResponseMetadata(invalid_rest="-1")
        context.server_rests.observe("i-1", 503, metadata, "")
    assert caplog.text.count("event=server_rest_invalid") == 1
    assert not context.server_rests.is_resting("i-1")


def test_nodes_learn_which_servers_turn_others_away():
    """One node's word is not enough; that of two is passed on by all."""
    nodes = connected_peers(5)
    for node in nodes:
        node.context.server_rests.address = node.address
        node.context.registry.put(make_entry("i-1"))
    ask_for_rest(nodes[0].context)
    nodes[0].send_state()
    assert not nodes[2].context.server_rests.shedding
    ask_for_rest(nodes[1].context)
    nodes[1].send_state([nodes[2].known[nodes[3].address]])
    nodes[3].send_state()
    for node in nodes[2:]:
        assert "i-1" in node.context.server_rests.shedding
        assert not node.context.server_rests.is_resting("i-1")


def test_what_nodes_pass_on_to_each_other_does_not_prolong_it(monkeypatch):
    nodes = connected_peers(4)
    clock = [time.monotonic()]
    monkeypatch.setattr("time.monotonic", lambda: clock[0])
    for node in nodes:
        node.context.registry.put(make_entry("i-1"))
    for node in nodes[:2]:
        ask_for_rest(node.context, rest_s=1.0)
        node.send_state()
    for _ in range(30):
        clock[0] += 0.05
        for node in nodes:
            node.context.server_rests.refresh()
            node.send_state()
    assert not any(node.context.server_rests.shedding for node in nodes)


def test_a_rest_asked_for_through_another_node_is_kept_by_both():
    """To the server, a request that another node carries is that node's."""
    asking, carrying = connected_peers(2)
    for node in (asking, carrying):
        node.context.server_rests.address = node.address
        node.context.registry.put(make_entry("i-1"))
    ask_for_rest(asking.context, through=carrying.address)
    assert asking.context.server_rests.is_resting("i-1")
    assert carrying.context.server_rests.is_resting("i-1")


def test_a_node_carries_nothing_to_a_server_that_rests_for_it():
    server = ScriptedServer(server_id="i-1")
    with CutOffGateway(server, cut="refused") as running:
        assert running.call().status == 200
        ask_for_rest(running.node.context)
        running.node.port.is_resting = running.node.context.server_rests.is_resting
        rests = running.node.context.server_rests.next_rests()
        running.context.server_rests.learn("127.0.0.1", rests, is_transit=True)
        running.call(wait_ms=300)
        assert len(server.received) == 1
        assert running.node.context.metrics.transit_replies["resting"] >= 1


def test_orders_count_a_server_that_rests_for_several_nodes_as_no_room():
    context = context_with(make_entry("i-1"), make_entry("i-2"))
    context.set_nodes(3)
    rests = context.server_rests
    ask_for_rest(context)
    assert rests.closed_servers(SERVICE) == 0
    rests.learn("10.0.0.2", [("i-1", 1.0, "")], is_transit=False)
    assert rests.closed_servers(SERVICE) == 1
    assert rests.closed_servers("other") == 0
