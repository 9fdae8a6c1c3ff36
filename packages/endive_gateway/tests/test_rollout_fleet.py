"""Tests of rollouts in a fleet, with the product's messages, duties and placement."""

import pytest
from endive_core.rollouts import StageKind
from gateway_builders import SERVICE, make_entry
from rollout_builders import NEW
from rollout_simulation_fleet import DURATION_S, OrderedFleet

RATE = 200.0
ROLLBACK_S = 5.0


@pytest.mark.parametrize("nodes", [6, 30, 200, 375])
def test_a_bad_version_stops_at_all_nodes(monkeypatch, nodes):
    """The stages, the evidence or the stop don't reach nodes in time, or at all."""
    fleet = OrderedFleet(monkeypatch, nodes, failing=0.4)
    fleet.order()
    fleet.run(8.0, RATE)
    assert fleet.statuses() == [f"serving {NEW}", f"rolled_back {NEW}"]
    assert fleet.sent[NEW]
    assert fleet.exposed() <= fleet.bound()
    assert fleet.late_s() <= ROLLBACK_S
    assert fleet.sent[NEW][-1] < fleet.clock.now - fleet.ordered_at - 1.0
    assert fleet.stages() == {StageKind.ROLLED_BACK}


@pytest.mark.parametrize("nodes", [1, 6, 30])
def test_a_good_version_is_completed_at_all_nodes(monkeypatch, nodes):
    """Old servers stop at the outcome, and some nodes still send to them."""
    fleet = OrderedFleet(monkeypatch, nodes)
    fleet.order()
    fleet.run(DURATION_S, RATE)
    assert fleet.statuses() == [f"serving {NEW}", f"completed {NEW}"]
    fleet.run(1.0, RATE)
    assert fleet.stages() == {StageKind.COMPLETED}
    before = {version: len(times) for version, times in fleet.sent.items()}
    fleet.run(1.0, RATE)
    assert {v for v, t in fleet.sent.items() if len(t) > before[v]} == {NEW}


def test_the_share_holds_for_all_nodes_together(monkeypatch):
    """Each of 200 nodes rounds its share of one or two requests up, or down."""
    fleet = OrderedFleet(monkeypatch, 200)
    fleet.order()
    fleet.run(4.0, RATE)
    share = fleet.nodes[0].context.rollouts.stage(SERVICE).share
    assert fleet.stages() == {StageKind.SMALL}
    before = len(fleet.sent[NEW])
    fleet.run(1.0, 10 * RATE)
    expected = share * 10 * RATE
    assert 0.8 * expected < len(fleet.sent[NEW]) - before < 1.2 * expected


def test_no_request_reaches_the_version_before_a_node_knows_the_order(monkeypatch):
    """Servers of the version appear at nodes that have not received the order."""
    fleet = OrderedFleet(monkeypatch, 30)
    fleet.start_servers()
    fleet.run(2.0, RATE)
    assert fleet.sent[NEW] == []


def test_servers_without_an_order_are_used_once_a_reader_has_confirmed(monkeypatch):
    """Only readers read the store; the others never use servers of another version."""
    fleet = OrderedFleet(monkeypatch, 30)
    fleet.start_servers()
    fleet.run(1.0, RATE)
    fleet.nodes[0].context.rollouts.prove(0, fleet.clock.now)
    fleet.run(2.0, RATE)
    assert fleet.sent[NEW]


def test_a_node_that_starts_in_the_middle_applies_the_stage(monkeypatch):
    """It knows neither the order nor the stage, and both versions' servers."""
    fleet = OrderedFleet(monkeypatch, 30)
    fleet.order()
    fleet.run(4.0, RATE)
    late = OrderedFleet(monkeypatch, 1).nodes[0]
    late.context.registry.put(
        make_entry("new-0", slots=64, software_version=NEW, incarnation=2)
    )
    late.context.registry.notify_listeners()
    assert "new-0" in late.context.version_division.divisions[SERVICE].withheld
    told = fleet.nodes[0].context.rollouts.next_report()
    late.context.rollouts.learn("10.0.0.0", 1, "n0", told)
    stage = fleet.nodes[0].context.rollouts.stage(SERVICE)
    assert late.context.rollouts.rollouts[SERVICE].stage == stage
    assert "new-0" in late.context.version_division.divisions[SERVICE].candidates
