import time

import gevent
import pytest
from endive_core.exceptions import RetryReason
from endive_core.routing import RouteKind
from endive_gateway.interfaces import Bounds, ResponseMetadata, ServerState
from endive_gateway.leaving_servers import LAST_SERVER_MARGIN_S, MAX_DEPARTURES
from endive_gateway.peers import (
    BROADCAST_INTERVAL_PER_NODE_S,
    BROADCAST_INTERVAL_S,
    DATAGRAMS_PER_STEP,
)
from gateway_builders import (
    RunningGateway,
    connected_peers,
    make_context,
    make_entry,
    make_route,
    make_table,
)
from server_builders import ScriptedServer, answer, event, ok, raw

DRAIN_S = 2.0
LEAVING = ResponseMetadata(leaving=True)
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: yes\r\nLeaving: 1\r\n"
    b"Content-Type: text/event-stream\r\n"
)


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


@pytest.mark.parametrize(
    "response",
    [
        STREAM_HEAD + b"Content-Length: %d\r\n\r\n" % len(event(1)) + event(1),
        STREAM_HEAD + b"Content-Length: 99\r\n\r\n" + event(1),
    ],
    ids=["whole", "broken"],
)
def test_a_server_that_says_so_in_a_streams_head_gets_no_further_request(response):
    leaving = ScriptedServer(raw(response, close=True), server_id="i-1")
    staying = ScriptedServer(server_id="i-2")
    route = make_route(kind=RouteKind.STREAM, max_attempts=1)
    with RunningGateway(leaving, staying, table=make_table(route)) as running:
        for _ in range(12):
            running.call()
    assert len(leaving.received) == 1


def context_with(*entries, drain_s=DRAIN_S):
    context = make_context(make_table(), bounds=Bounds(drain_s=drain_s))
    for entry in entries:
        context.registry.put(entry)
    context.registry.notify_listeners()
    return context


def say(context, server="i-1", status=200, metadata=LEAVING, through=""):
    context.leaving_servers.observe(server, status, metadata, through)


def is_used(context, server="i-1"):
    known = context.registry.get(server)
    return known is not None and known.usable and server in context.placer.views


def test_an_entry_that_still_says_ready_does_not_undo_a_servers_word():
    context = context_with(make_entry("i-1", sequence=1), make_entry("i-2"))
    say(context)
    context.registry.put(make_entry("i-1", sequence=2))
    assert not is_used(context)
    context.registry.drop("i-1", 0.0, after_outage=False)
    context.registry.put(make_entry("i-1", sequence=3))
    context.registry.notify_listeners()
    assert not is_used(context)


def test_a_restart_under_the_same_id_undoes_a_servers_word():
    context = context_with(make_entry("i-1", incarnation=1), make_entry("i-2"))
    say(context)
    context.registry.put(make_entry("i-1", incarnation=2))
    context.registry.notify_listeners()
    assert is_used(context)
    context.leaving_servers.learn("n2", [("i-1", 1, 0.5)])
    context.leaving_servers.refresh()
    assert is_used(context)


def test_the_word_of_another_server_at_the_address_is_that_servers():
    context = context_with(make_entry("i-1"), make_entry("i-2"), make_entry("i-3"))
    say(context, status=421)
    assert is_used(context)
    say(context, status=421, metadata=ResponseMetadata(leaving=True, server_id="i-2"))
    assert is_used(context)
    assert not is_used(context, "i-2")


def test_an_invalid_word_is_logged_once_and_changes_nothing(caplog):
    context = context_with(make_entry("i-1"), make_entry("i-2"))
    for _ in range(3):
        say(context, metadata=ResponseMetadata(invalid_leaving="yes"))
    assert caplog.text.count("event=server_leaving_invalid") == 1
    assert is_used(context)


def test_a_request_that_was_chosen_before_the_word_is_not_sent():
    """It waited for its connection while another response told of the leaving."""
    servers = [ScriptedServer(server_id="i-1"), ScriptedServer(server_id="i-2")]
    with RunningGateway(*servers) as running:
        pool, real_acquire = running.context.pool, running.context.pool.acquire

        def acquire(server, address, request_id):
            connection = real_acquire(server, address, request_id)
            say(running.context)
            return connection

        pool.acquire = acquire
        assert [running.call().status for _ in range(6)] == [200] * 6
        assert servers[0].received == []
        assert running.context.metrics.retries[RetryReason.SERVER_LEAVING] <= 1


def test_the_last_server_of_a_service_is_used_while_it_may_be():
    """Without it all callers would be refused although it still answers."""
    context = context_with(
        make_entry("i-1"), make_entry("i-2"), drain_s=LAST_SERVER_MARGIN_S + 0.1
    )
    say(context, "i-1")
    say(context, "i-2")
    assert (is_used(context, "i-1"), is_used(context, "i-2")) == (False, True)
    gevent.sleep(0.2)
    assert not is_used(context, "i-2")


def test_the_last_server_is_not_used_once_another_one_is_there():
    context = context_with(make_entry("i-1"))
    say(context)
    assert is_used(context)
    context.registry.put(make_entry("i-2"))
    context.registry.notify_listeners()
    assert (is_used(context, "i-1"), is_used(context, "i-2")) == (False, True)


def test_a_last_server_is_not_used_once_its_entry_says_that_it_leaves():
    context = context_with(make_entry("i-1"))
    say(context)
    context.registry.put(make_entry("i-1", sequence=5, state=ServerState.LEAVING))
    context.registry.notify_listeners()
    assert not is_used(context)


def test_the_node_that_carried_the_answer_is_told_at_once():
    nodes = connected_peers(40)
    for node in nodes:
        node.context.registry.put(make_entry("i-1"))
        node.context.registry.put(make_entry("i-2"))
    carrying = nodes[23]
    say(nodes[0].context, through=carrying.address)
    assert not carrying.context.registry.get("i-1").usable


@pytest.mark.parametrize(
    ("count", "leaving"), [(6, 1), (6, 30), (30, 30), (200, 40), (375, 20)]
)
def test_all_nodes_learn_which_servers_say_that_they_leave(monkeypatch, count, leaving):
    """The store may be silent, and most nodes never get such a response."""
    nodes = connected_peers(count)
    clock = [time.monotonic()]
    monkeypatch.setattr("time.monotonic", lambda: clock[0])
    servers = [f"i-{number}" for number in range(leaving)]
    for node in nodes:
        for server in [*servers, "staying"]:
            node.context.registry.put(make_entry(server))
    for number, server in enumerate(servers):
        say(nodes[number % count].context, server)
    began_at = clock[0]
    interval_s = max(BROADCAST_INTERVAL_S, BROADCAST_INTERVAL_PER_NODE_S * count)
    steps = -(-(count - 1) // DATAGRAMS_PER_STEP)
    for step in range(int(DRAIN_S * steps / interval_s)):
        if all(
            len(node.context.leaving_servers.departures) == leaving for node in nodes
        ):
            break
        clock[0] += interval_s / steps
        for number, node in enumerate(nodes):
            first = (step + number) % steps * DATAGRAMS_PER_STEP
            node.send_state(list(node.known.values())[first:][:DATAGRAMS_PER_STEP])
    assert all(
        len(node.context.leaving_servers.departures) == leaving for node in nodes
    )
    assert clock[0] - began_at < DRAIN_S


@pytest.mark.parametrize("peer_is_first", [True, False])
def test_a_report_of_a_start_that_never_was_hides_no_departure(peer_is_first):
    """The server that left went on getting requests: its own word came second."""
    context = make_context(make_table())
    context.registry.put(make_entry("i-1", incarnation=5))
    context.registry.put(make_entry("i-2"))
    leaving = context.leaving_servers

    def hear_peer():
        leaving.learn("n2", [("i-1", 2**50, 0.1)])

    if peer_is_first:
        hear_peer()
    leaving.observe("i-1", 200, LEAVING, "")
    hear_peer()
    context.registry.put(make_entry("i-1", incarnation=5, sequence=9))
    assert not context.registry.get("i-1").usable
    assert leaving.next_departures()[0][:2] == ("i-1", 5)


def test_a_departure_of_a_later_start_counts_as_soon_as_its_entry_is_read():
    """What is kept of an earlier start must not hide a later departure."""
    context = make_context(make_table())
    context.registry.put(make_entry("i-1", incarnation=5))
    context.registry.put(make_entry("i-2"))
    leaving = context.leaving_servers
    leaving.observe("i-1", 200, LEAVING, "")
    leaving.learn("n2", [("i-1", 6, 0.1)])
    context.registry.put(make_entry("i-1", incarnation=6))
    assert not context.registry.get("i-1").usable


def test_reports_of_impossible_servers_are_not_passed_on():
    """A peer could fill the memory of all nodes, and their messages, with any names."""
    context = make_context(make_table())
    odd = [("i 1", 1, 0.1), ("", 1, 0.1), ("i" * 300, 1, 0.1), ("i-\x00", 1, 0.1)]
    context.leaving_servers.learn("n2", odd)
    context.leaving_servers.learn("n2", [(f"i-{n}", 1, 0.1) for n in range(100)])
    assert len(context.leaving_servers.departures) == MAX_DEPARTURES
