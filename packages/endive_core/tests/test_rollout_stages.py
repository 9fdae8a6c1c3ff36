"""Tests of the stages of rollouts in simulated time, good versions and bad ones."""

import pytest
from endive_core.rollout_evidence import RolloutTotals
from endive_core.rollout_stages import ExposureBounds, RolloutPlan, RolloutView
from endive_core.rollouts import RolloutOrder, RolloutRecord, Stage, StageKind
from endive_core.version_comparison import Finding
from rollout_simulation import (
    PLAIN_ROUTES,
    Disturbances,
    Fault,
    engines,
    plain,
    scaled,
)

NODES = (6, 30, 200, 375)
GOOD = {
    "undisturbed": Disturbances(),
    "cold for three seconds": Disturbances(cold_s=3.0, cold_factor=2.0),
    "crash wave at the base": Disturbances(crash_s=6.0, crashed="base"),
    "crash wave at the candidate": Disturbances(crash_s=6.0, crashed="candidate"),
    "servers share their machines": Disturbances(phases=2.5),
}
BAD = {
    "failures at once": Fault(failing=0.3),
    "failures late": Fault(failing=0.3, from_s=6.0),
    "slow at once": Fault(slow=0.5),
    "slow late": Fault(slow=0.5, from_s=5.0),
    "failures under load": Fault(failing=0.4, load=0.7),
}
ROLLBACK_S = 5.0


@pytest.mark.parametrize("disturbances", GOOD.values(), ids=GOOD)
@pytest.mark.parametrize("make", [engines, plain])
def test_good_versions_are_completed(make, disturbances):
    """Something that happens to good versions too is taken for a fault of one."""
    for seed in range(5):
        rollout = make(seed, disturbances=disturbances).run()
        assert rollout.outcome is StageKind.COMPLETED, (seed, rollout.reason)
        assert rollout.outcome_at <= rollout.duration_s, seed


@pytest.mark.parametrize("nodes", NODES)
@pytest.mark.parametrize("fault", BAD.values(), ids=BAD)
@pytest.mark.parametrize("make", [engines, plain])
def test_bad_versions_are_rolled_back(make, fault, nodes):
    """A kind of fault isn't found, or is found when too many requests have met it."""
    for seed in range(2):
        rollout = make(seed, fault=fault, nodes=nodes).run()
        assert rollout.outcome is StageKind.ROLLED_BACK, (seed, rollout.reason)
        assert rollout.outcome_at <= rollout.duration_s, seed
        assert rollout.exposed <= rollout.bound, seed
        assert rollout.late_s <= ROLLBACK_S, seed


@pytest.mark.parametrize("nodes", NODES)
def test_a_fault_of_one_route_is_not_averaged_out(nodes):
    """Other routes have ten times the requests of the route that fails."""
    for seed in range(3):
        fault = Fault(failing=0.5, route="reply")
        rollout = engines(seed, fault=fault, nodes=nodes).run()
        assert rollout.outcome is StageKind.ROLLED_BACK, (seed, rollout.reason)
        assert rollout.exposed <= rollout.bound


@pytest.mark.parametrize("nodes", NODES)
def test_nodes_stop_while_the_holder_is_dead(nodes):
    """The version fails from the moment at which the holder dies."""
    for seed in range(3):
        fault = Fault(failing=0.5, from_s=5.0)
        rollout = engines(seed, fault=fault, nodes=nodes, holder_dies_s=5.0).run()
        assert rollout.outcome is StageKind.ROLLED_BACK, (seed, rollout.reason)
        assert rollout.exposed <= rollout.bound
        assert rollout.late_s <= ROLLBACK_S


@pytest.mark.parametrize("dies_s", [1.0, 4.0, 7.0])
def test_a_successor_completes_a_good_version(dies_s):
    """The holder dies at any stage, and its successor has other times in mind."""
    for seed in range(3):
        rollout = engines(seed, holder_dies_s=dies_s).run()
        assert rollout.outcome is StageKind.COMPLETED, (seed, rollout.reason)
        assert rollout.outcome_at <= rollout.duration_s


@pytest.mark.parametrize("factor", [0.01, 0.1, 10.0])
def test_services_with_few_and_many_requests_are_shifted(factor):
    """A service with one request a second never has enough responses."""
    routes = scaled(PLAIN_ROUTES, factor)
    for seed in range(3):
        rollout = plain(seed, routes=routes, nodes=6).run()
        assert rollout.outcome is StageKind.COMPLETED, (seed, rollout.reason)


def plan(duration_s=12.0):
    """Return the plan of an order."""
    return RolloutPlan(RolloutOrder("s", "v2", duration_s, 7), ExposureBounds())


def view(elapsed_s, **options):
    """Return a view with servers of both versions."""
    values = {"candidate_servers": 3, "base_servers": 3, "totals": RolloutTotals()}
    return RolloutView(elapsed_s, **(values | options))


def test_without_servers_of_the_version_nothing_begins():
    """Requests go to a version that no server has."""
    assert plan().decide(Stage(), view(5.0, candidate_servers=0)) is None
    decision = plan().decide(Stage(), view(11.5, candidate_servers=0))
    assert decision.stage.kind is StageKind.ROLLED_BACK


def test_when_all_old_servers_are_gone_the_candidate_gets_everything():
    """The service has servers, and refuses all requests."""
    decision = plan().decide(Stage(StageKind.SMALL, 1, 0.05), view(4.0, base_servers=0))
    assert decision.stage.kind is StageKind.ALL


def test_a_stop_of_any_node_is_final():
    """The holder goes on with a version that another node has stopped."""
    decision = plan().decide(Stage(StageKind.ALL, 2, 1.0), view(10.0, stopped="slow"))
    assert decision.stage.kind is StageKind.ROLLED_BACK


def test_doubts_delay_the_last_stage():
    """A version gets everything although it looks worse than the base."""
    doubtful = view(10.6, finding=Finding(4.0, "r", "failures"))
    decision = plan().decide(Stage(StageKind.GROWING, 2, 0.1), doubtful)
    assert decision is None or decision.stage.kind is not StageKind.ALL


def test_a_decision_is_made_late_if_none_could_be_made_before():
    """The store was silent until after the duration; old servers run for good."""
    late, stage = plan(), Stage(StageKind.SMALL, 1, 0.05)
    first = late.decide(stage, view(20.0))
    assert first.stage.kind is StageKind.ALL
    assert late.decide(Stage(StageKind.ALL, 2, 1.0), view(20.1)) is None
    done = late.decide(Stage(StageKind.ALL, 2, 1.0), view(21.0))
    assert done.stage.kind is StageKind.COMPLETED


def test_stages_of_a_successor_are_newer():
    """A node takes a late stage of a dead holder for newer than its successor's."""
    record = RolloutRecord(RolloutOrder("s", "v2", 12.0, 7))
    first = record
    for _ in range(5):
        first = first.advance(3, Stage(StageKind.SMALL), "")
    second = record.advance(4, Stage(StageKind.SMALL), "")
    assert second.stage.number > first.stage.number
    assert RolloutRecord.from_body(second.to_body()) == second
