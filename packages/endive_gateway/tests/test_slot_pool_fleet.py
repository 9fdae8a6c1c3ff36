"""Nodes in simulated time before a plain service with fewer slots than nodes."""

from dataclasses import replace

import pytest
from endive_gateway.slot_messages import PoolSlotReply, PoolSlotReturn
from simulated_servers import CATALOGUE, MESSAGES, Workload
from single_queue import SingleQueue
from slot_simulation import SlotFleet

START_S = 2.0
BOUND_SHARE = 0.95
"""Part of what a single queue serves in time that the nodes must reach."""

UNEVEN = replace(CATALOGUE, slow_share=0.15, states_speed=True)
MIXED = replace(MESSAGES, failing=1 / 7, non_idempotent=0.7)


def served(monkeypatch, workload, nodes, load, *, pools=True, seconds=5.0):
    """Return the share served in time, and the fleet."""
    fleet = SlotFleet(monkeypatch, nodes, workload)
    fleet.switch_pools(pools)
    fleet.run(START_S, min(load, 0.8))
    since = fleet.clock.now
    fleet.run(seconds, load)
    until = fleet.clock.now
    fleet.run(1.0, load)
    fleet.ends = [end for end in fleet.ends if end[0] < until]
    return fleet.served_share(since), fleet


def bound(workload, load):
    """Return the share that a single queue serves in time."""
    queue = SingleQueue(workload)
    queue.run(60.0, load)
    return queue.served_share(0.0)


@pytest.mark.parametrize(
    ("workload", "nodes", "load"),
    [
        (MESSAGES, 86, 0.3),
        (MESSAGES, 86, 0.8),
        (MESSAGES, 86, 1.2),
        (MESSAGES, 30, 2.0),
        (CATALOGUE, 120, 1.2),
        (CATALOGUE, 200, 0.8),
    ],
)
def test_nodes_serve_nearly_what_a_single_queue_does(
    monkeypatch, workload, nodes, load
):
    """By their own views they queue requests at one server beside free slots."""
    share, _ = served(monkeypatch, workload, nodes, load)
    assert share >= BOUND_SHARE * bound(workload, load)


def test_what_can_not_be_served_is_refused_at_once(monkeypatch):
    """A refusal after an eighth of the target costs more the later it comes."""
    _, fleet = served(monkeypatch, MESSAGES, 30, 2.0, seconds=3.0)
    refused = sorted(t for _, end, t in fleet.ends if end == "overloaded")
    assert refused[int(0.9 * len(refused))] < MESSAGES.target_s / 8


def test_slow_servers_get_little_while_others_have_free_slots(monkeypatch):
    """A report that reached each node a second later would be of another phase."""
    share, _ = served(monkeypatch, UNEVEN, 120, 0.3)
    without, _ = served(monkeypatch, UNEVEN, 120, 0.3, pools=False)
    assert share >= 0.985
    assert share >= without


@pytest.mark.parametrize(("servers", "nodes"), [(5, 6), (3, 30), (5, 195)])
def test_earlier_deployments_are_served_at_least_as_well(monkeypatch, servers, nodes):
    """They have 3 to 5 servers of 6 slots; those with few nodes are not pooled."""
    workload = Workload(servers)
    share, fleet = served(monkeypatch, workload, nodes, 0.8, seconds=3.0)
    without, _ = served(monkeypatch, workload, nodes, 0.8, pools=False, seconds=3.0)
    assert share >= without - 0.01
    assert bool(fleet.slot_messages) == (nodes > servers * workload.slots)


def test_messages_do_not_grow_with_the_nodes(monkeypatch):
    """At most a request, a return, and two replies for each attempt in the mean."""
    for nodes in (30, 200):
        _, fleet = served(monkeypatch, MESSAGES, nodes, 0.5, seconds=2.0)
        assert fleet.slot_messages <= 4 * len(fleet.requests)


# Failures


def fail(monkeypatch, begin, *, load=0.6, nodes=30, seconds=4.0):
    """Return the share served in time after `begin` has let something fail."""
    fleet = SlotFleet(monkeypatch, nodes, MIXED)
    fleet.run(START_S, load)
    begin(fleet)
    since = fleet.clock.now
    fleet.run(seconds, load)
    assert all(request.runs <= 1 for request in fleet.requests if not request.retryable)
    assert all(request.runs <= MIXED.max_attempts for request in fleet.requests)
    return fleet.served_share(since)


def undisturbed(fleet):
    """Let nothing fail but one in seven requests."""


def kill_coordinator(fleet):
    lost = fleet.coordinator()
    fleet.reaches = lambda sender, receiver: lost not in (sender, receiver)


def freeze_coordinator(fleet):
    """Let it receive nothing for a second, and then all at once."""
    frozen, until = fleet.coordinator(), fleet.clock.now + 1.0
    receive = fleet.receive

    def receive_later(receiver, message, sender):
        if receiver == frozen and fleet.clock.now < until:
            fleet.at(until, receive, receiver, message, sender)
        else:
            receive(receiver, message, sender)

    fleet.receive = receive_later


def divide(fleet):
    half = {node.address for node in fleet.nodes[:15]}
    fleet.reaches = lambda sender, receiver: (sender in half) == (receiver in half)


def lose(kind):
    """Return what lets one in ten messages of a kind be lost."""

    def begin(fleet):
        fleet.loses = lambda message: (
            isinstance(message, kind) and fleet.random.random() < 0.1
        )

    return begin


def restart_server(fleet):
    fleet.servers["i-0"].restart(1.0)


@pytest.mark.parametrize(
    ("begin", "least"),
    [
        (kill_coordinator, 0.9),
        (freeze_coordinator, 0.9),
        (divide, 0.85),
        (lose(PoolSlotReply), 0.9),
        (lose(PoolSlotReturn), 0.97),
        (restart_server, 0.9),
    ],
    ids=["killed", "frozen", "divided", "replies", "returns", "server"],
)
def test_failures_cost_little(monkeypatch, begin, least):
    """Each fails between two messages of many requests, and no request that may run
    only once runs twice."""
    usual = fail(monkeypatch, undisturbed)
    assert fail(monkeypatch, begin) >= least * usual


def test_a_server_that_ended_gets_few_requests(monkeypatch):
    """Its slots are free again at once after each failure."""
    fleet = SlotFleet(monkeypatch, 30, MESSAGES)
    fleet.run(START_S, 0.6)
    fleet.servers["i-0"].restart(3.0)
    since = fleet.clock.now
    fleet.run(3.0, 0.6)
    assert fleet.served_share(since) >= 0.9
