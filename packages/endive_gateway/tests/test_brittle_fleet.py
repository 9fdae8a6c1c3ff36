"""Nodes in simulated time before servers that fail if they must reject much."""

import itertools

import pytest
from brittle_simulation import TARGET_S, BrittleFleet
from endive_core.hashing import rendezvous_choice

SERVERS = 5
REJECTIONS = 5
ROOM = 2
ADJUST_S = 3.0
"""Time after the servers say that they are brittle, until they let fewer wait."""

MAX_FAILURES = 2 + SERVERS / 10
MIN_UTILISATION = 0.8


def adjusted_fleet(monkeypatch, nodes, load):
    """Return a fleet that has had its time to adjust to brittle servers."""
    fleet = BrittleFleet(monkeypatch, nodes, SERVERS)
    fleet.run(1.0, load)
    fleet.say_brittle(REJECTIONS)
    fleet.run(ADJUST_S, load)
    fleet.narrow(ROOM)
    return fleet


@pytest.mark.parametrize(
    ("nodes", "load"),
    [(6, 0.8), (6, 2.0), (30, 0.8), (30, 1.2), (30, 2.0), (200, 0.8), (375, 1.2)],
)
def test_brittle_servers_stay_up(monkeypatch, nodes, load):
    """Each node would have some requests rejected before it noticed that they are
    full."""
    fleet = adjusted_fleet(monkeypatch, nodes, load)
    since = fleet.clock.now
    fleet.run(4.0, load)
    assert fleet.failures_since(since) <= MAX_FAILURES
    capacity = min(1.0, 1 / load)
    assert fleet.served_share(since) >= MIN_UTILISATION * capacity


def check_uneven_connections(fleet):
    """Check that most requests may come to one node, and then to another one."""
    before = fleet.served_share(fleet.clock.now - 2.0)
    fleet.favoured_share = 0.9
    for node in (0, len(fleet.nodes) - 1):
        fleet.favoured = node
        fleet.run(ADJUST_S, 0.8)
        since = fleet.clock.now
        fleet.run(2.0, 0.8)
        assert fleet.served_share(since) >= 0.75 * before


@pytest.mark.parametrize("nodes", [6, 30, 200, 375])
def test_one_node_serves_what_all_did_when_it_gets_most_connections(monkeypatch, nodes):
    """It has the shares and load reports of one node among many."""
    fleet = BrittleFleet(monkeypatch, nodes, SERVERS)
    fleet.max_returns = 3
    fleet.run(1.0 + ADJUST_S, 0.8)
    check_uneven_connections(fleet)


@pytest.mark.parametrize("nodes", [6, 30, 200])
def test_one_node_gets_the_slots_of_brittle_servers_that_all_had(monkeypatch, nodes):
    """It has the leases of one node among many."""
    fleet = BrittleFleet(monkeypatch, nodes, SERVERS)
    fleet.max_returns = 3
    fleet.run(1.0, 0.8)
    fleet.say_brittle(REJECTIONS)
    fleet.run(ADJUST_S, 0.8)
    check_uneven_connections(fleet)


def test_what_brittle_servers_can_not_serve_is_refused_soon(monkeypatch):
    fleet = adjusted_fleet(monkeypatch, nodes=30, load=2.0)
    since = fleet.clock.now
    fleet.run(4.0, 2.0)
    refused = sorted(t for at, end, t in fleet.ends if at >= since and end != "ok")
    assert refused[int(0.9 * len(refused))] < TARGET_S


def test_a_coordinator_that_is_lost_is_replaced(monkeypatch):
    """Its leases are not known to the next one, and its silence holds requests up."""
    fleet = adjusted_fleet(monkeypatch, nodes=30, load=0.8)
    lost = rendezvous_choice("i-0", [node.address for node in fleet.nodes])
    fleet.reaches = lambda sender, receiver: lost not in (sender, receiver)
    since = fleet.clock.now
    fleet.run(4.0, 0.8)
    assert fleet.failures_since(since) <= MAX_FAILURES
    assert fleet.served_share(since) >= MIN_UTILISATION


def test_nodes_that_lose_contact_share_brittle_servers(monkeypatch):
    """Each half has a coordinator of its own for all slots."""
    fleet = adjusted_fleet(monkeypatch, nodes=30, load=1.2)
    half = {node.address for node in fleet.nodes[:15]}
    fleet.reaches = lambda sender, receiver: (sender in half) == (receiver in half)
    since = fleet.clock.now
    fleet.run(6.0, 1.2)
    assert fleet.failures_since(since) <= MAX_FAILURES


def test_leases_end_with_the_brittleness(monkeypatch):
    fleet = adjusted_fleet(monkeypatch, nodes=6, load=0.5)
    fleet.say_brittle(None)
    fleet.run(2.0, 0.5)
    assert not any(node.context.brittle_services.names for node in fleet.nodes)


def test_messages_about_slots_do_not_grow_with_the_nodes(monkeypatch):
    """At most a request, its reply, a load and a return for each attempt."""
    for nodes in (30, 200):
        fleet = adjusted_fleet(monkeypatch, nodes, load=0.5)
        before, since = fleet.slot_messages, fleet.clock.now
        fleet.run(2.0, 0.5)
        requests = sum(at >= since for at, _, _ in fleet.ends)
        assert fleet.slot_messages - before < 5 * requests


def test_no_node_leases_more_slots_than_a_server_has(monkeypatch):
    fleet = adjusted_fleet(monkeypatch, nodes=30, load=2.0)
    coordinated = itertools.chain.from_iterable(
        node.context.slot_leasing.coordinated.values() for node in fleet.nodes
    )
    assert all(len(slots.leases) <= slots.slots for slots in coordinated)
