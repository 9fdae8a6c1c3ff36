import time

import gevent
import pytest
from endive_core.exceptions import ErrorKind
from endive_core.server_limits import LimitReport
from endive_gateway.interfaces import ResponseMetadata
from gateway_builders import (
    RunningGateway,
    connected_peers,
    make_context,
    make_entry,
    make_table,
)
from limit_simulation import LimitedFleet
from server_builders import ScriptedServer, answer, ok

CONTACT_S = 3.0
FOUR_SERVERS = ("i-1", "i-2", "i-3", "i-4")


def most_allowed(limit):
    """Return the requests that a server may get in four seconds."""
    return 1.5 * 4 * limit + 5


def test_a_server_that_names_a_limit_gets_no_more_requests():
    """It got as many as all others, though it had asked for one a second."""
    limited = answer(extra="Limit: 1\r\n")
    first = ScriptedServer(*[limited] * 100, server_id="i-1")
    second = ScriptedServer(*[ok] * 100, server_id="i-2")
    with RunningGateway(first, second) as running:
        statuses = []
        for _ in range(60):
            statuses.append(running.call().status)
            gevent.sleep(0.01)
        assert statuses == [200] * 60
        assert len(first.received) <= 1.5 * 4 + 5


@pytest.mark.parametrize(
    ("nodes", "limit"), [(6, 0.5), (6, 5.0), (30, 1.0), (200, 0.5), (375, 1.0)]
)
def test_all_nodes_together_keep_a_servers_limit(monkeypatch, nodes, limit):
    """Nodes that each keep the limit alone send it many times over."""
    fleet = LimitedFleet(monkeypatch, nodes, dict.fromkeys(FOUR_SERVERS))
    fleet.run(1.0, per_s=150)
    fleet.limits["i-1"] = limit
    fleet.run(CONTACT_S, per_s=150)
    since = fleet.clock.now
    fleet.run(8.0, per_s=150)
    assert fleet.most_in_window("i-1", since) <= most_allowed(limit)
    assert len(fleet.received_since("i-1", since)) >= 0.5 * limit * 8.0
    assert not fleet.refused


def test_the_end_of_a_limit_is_noticed(monkeypatch):
    fleet = LimitedFleet(monkeypatch, 30, dict.fromkeys(FOUR_SERVERS))
    fleet.limits["i-1"] = 0.5
    fleet.run(6.0, per_s=40)
    fleet.limits["i-1"] = None
    fleet.run(6.0, per_s=40)
    since = fleet.clock.now
    fleet.run(3.0, per_s=40)
    assert len(fleet.received_since("i-1", since)) >= 0.5 * 3.0 * 40 / 4


@pytest.mark.parametrize(("nodes", "per_s"), [(6, 75), (30, 150)])
def test_what_limited_servers_cannot_serve_is_refused_at_once(
    monkeypatch, nodes, per_s
):
    """All servers name a limit far below the load."""
    limit = 5.0
    fleet = LimitedFleet(monkeypatch, nodes, dict.fromkeys(FOUR_SERVERS, limit))
    fleet.run(CONTACT_S, per_s=per_s)
    since = fleet.clock.now
    fleet.run(8.0, per_s=per_s)
    for server in FOUR_SERVERS:
        assert fleet.most_in_window(server, since) <= most_allowed(limit)
        assert len(fleet.received_since(server, since)) >= 0.7 * limit * 8.0
    refused = [error for at, error, _ in fleet.refused if at >= since]
    assert {error.kind for error in refused} <= {
        ErrorKind.OVERLOADED,
        ErrorKind.DEADLINE_EXCEEDED,
    }
    assert all(error.retry_after_s > 0 for error in refused)
    held = [held_s for at, _, held_s in fleet.refused if at >= since]
    assert sum(held_s > 0.05 for held_s in held) < 0.02 * len(held)


def test_a_limit_holds_while_half_of_the_nodes_are_cut_off(monkeypatch):
    """Each half takes the other one for gone and could send the whole limit."""
    limit = 5.0
    fleet = LimitedFleet(monkeypatch, 8, dict.fromkeys(FOUR_SERVERS))
    fleet.limits["i-1"] = limit
    fleet.run(CONTACT_S, per_s=150)
    half = {node.address for node in fleet.nodes[:4]}
    fleet.reaches = lambda sender, receiver: (sender in half) == (receiver in half)
    since = fleet.clock.now
    fleet.run(10.0, per_s=150)
    assert fleet.most_in_window("i-1", since) <= most_allowed(limit)


def test_a_node_learns_a_limit_before_it_sends_a_request():
    first, second = connected_peers(2)
    for node in (first, second):
        node.context.limit_sharing.address = node.address
        node.context.registry.put(make_entry("i-1"))
    named = ResponseMetadata(request_limit=1.0)
    first.context.limit_sharing.observe("i-1", named, time.monotonic())
    first.send_state()
    assert second.context.limit_sharing.reports.limit("i-1") == 1.0


def test_a_late_response_does_not_end_a_limit():
    """Its server began it before it named the limit."""
    context = make_context(make_table())
    context.registry.put(make_entry("i-1"))
    sharing, now = context.limit_sharing, time.monotonic()
    sharing.observe("i-1", ResponseMetadata(request_limit=1.0), now - 0.1)
    sharing.observe("i-1", ResponseMetadata(), now - 0.2)
    assert sharing.reports.limit("i-1") == 1.0
    sharing.observe("i-1", ResponseMetadata(), time.monotonic())
    assert sharing.reports.limit("i-1") is None


def test_a_failure_without_a_limit_does_not_end_it():
    """A server in need may fail a request before it gets to name its limit."""
    limited, failed = answer(extra="Limit: 1\r\n"), answer(500, b"failed")
    server = ScriptedServer(limited, failed, *[limited] * 9)
    with RunningGateway(server) as running:
        statuses = []
        while len(server.received) < 2:
            statuses.append(running.call().status)
            gevent.sleep(0.1)
        assert running.context.limit_sharing.reports.limit("i-1") == 1.0


def test_an_invalid_limit_changes_nothing():
    context = make_context(make_table())
    context.registry.put(make_entry("i-1"))
    sharing = context.limit_sharing
    sharing.observe("i-1", ResponseMetadata(request_limit=1.0), time.monotonic())
    sharing.observe("i-1", ResponseMetadata(invalid_limit="soon"), time.monotonic())
    assert sharing.reports.limit("i-1") == 1.0


def test_a_value_that_cannot_be_read_is_logged_once_by_server(caplog):
    """Each response of such a server wrote a line."""
    context = make_context(make_table())
    bad = ResponseMetadata(invalid_limit="soon", invalid_brittleness="very")
    for server in ("i-1", "i-2"):
        context.registry.put(make_entry(server))
        for _ in range(3):
            context.limit_sharing.observe(server, bad, time.monotonic())
            context.brittle_services.observe(server, bad, time.monotonic())
    assert caplog.text.count("event=server_limit_invalid") == 2
    assert caplog.text.count("event=server_brittle_invalid") == 2


def test_the_limit_of_an_unknown_server_is_not_kept():
    """Any node can send a message, and reports of servers that are gone pile up."""
    context = make_context(make_table())
    sharing = context.limit_sharing
    sharing.learn("n2", [LimitReport("i-9", 1.0, time.monotonic(), 1)])
    assert not sharing.reports.reports
    context.registry.put(make_entry("i-1"))
    sharing.learn("n2", [LimitReport("i-1", 1.0, time.monotonic(), 2)])
    context.registry.drop("i-1", time.monotonic(), after_outage=False)
    sharing.refresh()
    assert not sharing.reports.reports
    assert not sharing.shares
