"""Tests of the division of requests between two versions at one node."""

import gevent
import pytest
from endive_core.crashes import Crash
from endive_core.rollouts import Stage, StageKind
from endive_gateway.rollout_messages import MAX_ORDERS, MAX_TOTALS
from endive_gateway.rollout_observation import MAX_CRASHED
from endive_gateway.rollouts import ISOLATED_S
from gateway_builders import SERVICE
from rollout_builders import NEW, OLD, TwoVersions, order, prove, put_server
from server_builders import answer


@pytest.fixture
def versions():
    with TwoVersions() as made:
        yield made


def test_an_unconfirmed_version_gets_nothing(versions):
    """A node that hasn't received an order takes its version for an ordinary one."""
    assert versions.send(10) == (10, 0)


def test_a_version_without_an_order_is_used_once_that_is_confirmed(versions):
    """Servers are replaced by ones of another version, which never get a request."""
    assert versions.in_use() == {"i-old"}
    prove(versions.context, margin_s=2.0)
    assert versions.in_use() == {"i-old", "i-new"}


def test_a_version_is_used_at_once_if_no_other_is_left(versions):
    """The store is silent and all old servers go; the service must not go with them."""
    versions.context.registry.drop(versions.old.id, 0.0, after_outage=False)
    versions.context.registry.notify_listeners()
    assert versions.send(3) == (0, 3)


def test_an_ordered_version_gets_nothing_without_a_stage(versions):
    """The order is known but no holder has decided; a proof must not admit it."""
    versions.begin()
    prove(versions.context, end=8, margin_s=5.0)
    assert versions.send(10) == (10, 0)


def test_a_share_of_the_requests_goes_to_the_candidate(versions):
    """A node sends a candidate more or less than its share."""
    versions.begin()
    versions.stage("small", 1, share=0.2, servers=1)
    old, new = versions.send(50)
    assert 9 <= new <= 11
    assert old + new == 50


def test_at_the_last_stage_all_requests_go_to_the_candidate(versions):
    """Requests still reach old servers when these stop."""
    versions.begin()
    versions.stage("all", 1, share=1.0)
    assert versions.send(10) == (0, 10)


def test_a_stopped_candidate_gets_nothing_more(versions):
    """A node learns of a stop from another one, but not yet of a stage."""
    versions.begin()
    versions.stage("all", 1, share=1.0)
    versions.context.rollouts.stop(SERVICE, 7, "failures", "n2")
    assert versions.send(10) == (10, 0)
    versions.stage("all", 2, share=1.0)
    assert versions.send(10) == (10, 0)


def test_an_older_stage_changes_nothing(versions):
    """A message that was late brings a stage that has been replaced."""
    versions.begin()
    versions.stage("rolled_back", 5)
    versions.stage("all", 4, share=1.0)
    assert versions.send(5) == (5, 0)


def test_a_completed_version_is_the_ordinary_one(versions):
    """Old servers stop at once; a request that is sent to one is lost."""
    versions.begin()
    versions.stage("all", 1, share=1.0)
    versions.stage("completed", 2, share=1.0)
    assert versions.send(10) == (0, 10)
    assert list(versions.context.placer.schedulers) == [SERVICE]
    third = versions.old
    versions.context.registry.drop(third.id, 0.0, after_outage=False)
    put_server(versions.context, third, NEW)
    assert versions.in_use() == {"i-old", "i-new"}


def test_a_candidate_is_used_when_the_old_servers_are_gone(versions):
    """All old servers are reclaimed while the share is small."""
    versions.begin()
    versions.stage("small", 1, share=0.1, servers=1)
    versions.context.registry.drop(versions.old.id, 0.0, after_outage=False)
    versions.context.registry.notify_listeners()
    assert versions.send(5) == (0, 5)


def test_a_candidate_without_servers_costs_no_request(versions):
    """The candidate's servers crash at the last stage."""
    versions.begin()
    versions.stage("all", 1, share=1.0)
    versions.context.registry.drop(versions.new.id, 0.0, after_outage=False)
    versions.context.registry.notify_listeners()
    assert versions.send(5) == (5, 0)


def test_a_second_order_for_another_version_replaces_the_first(versions):
    """The first candidate goes on to get requests after an order for another one."""
    versions.begin()
    versions.stage("all", 1, share=1.0)
    versions.context.rollouts.learn_order(order(9, to="v3"))
    prove(versions.context, end=10, margin_s=5.0)
    versions.context.registry.drop(versions.new.id, 0.0, after_outage=False)
    put_server(versions.context, versions.new, "v3")
    assert versions.send(5) == (5, 0)


def test_an_isolated_node_sends_nothing_to_a_candidate(versions):
    """A node that receives no messages would not learn of a stop."""
    versions.begin()
    versions.stage("all", 1, share=1.0)
    rollouts = versions.context.rollouts
    heard_at = rollouts.last_heard_at()
    rollouts.has_peers = lambda: True
    rollouts.last_heard_at = lambda: heard_at - ISOLATED_S - 0.1
    versions.context.rollout_observer.step()
    assert versions.send(5) == (5, 0)


def test_a_node_stops_by_itself_on_its_own_evidence():
    """The holder is dead; the bad version gets requests until there is another."""
    with TwoVersions(new=answer(500)) as versions:
        versions.begin()
        versions.stage("growing", 1, share=0.5, servers=1)
        for _ in range(10):
            versions.send(10)
            versions.context.rollout_observer.step()
        rollout = versions.context.rollouts.rollouts[SERVICE]
        assert "failures" in rollout.stop
        assert len(versions.new.received) <= 30
        assert versions.send(10) == (10, 0)


def test_a_failed_attempt_is_retried_at_the_old_version():
    """A request with an attempt left fails twice at a bad version."""
    with TwoVersions(new=answer(500), max_attempts=2) as versions:
        versions.begin()
        versions.stage("growing", 1, share=0.5, servers=1)
        answers = [versions.running.call().status for _ in range(10)]
        assert answers == [200] * 10
        assert versions.new.received


def test_evidence_counts_both_versions(versions):
    """A version is compared with itself, or a response is counted twice."""
    versions.begin()
    versions.stage("growing", 1, share=0.5, servers=1)
    versions.send(20)
    gevent.sleep(0.05)
    own = versions.context.rollouts.rollouts[SERVICE].evidence.own
    counts = own.routes["r"]
    assert own.requests == 20
    assert own.exposed == counts.candidate.responses == len(versions.new.received)
    assert counts.base.responses == len(versions.old.received)
    assert sum(counts.candidate.times) == counts.candidate.responses


def test_without_the_contract_nothing_is_withheld():
    """A deployment without rollouts waits for confirmations of orders."""
    with TwoVersions() as versions:
        settings = versions.context.settings
        versions.context.apply_settings(type(settings)(settings.location))
        versions.context.registry.notify_listeners()
        assert versions.in_use() == {"i-old", "i-new"}
        assert versions.context.rollouts.next_report() is None


def test_streams_of_the_old_version_stay_there(versions):
    """A stream that goes on at another version mixes the outputs of two models."""
    versions.begin()
    versions.stage("all", 1, share=1.0)
    division = versions.context.version_division
    bound = type("BoundCall", (), {"software_version": OLD})()
    (scheduler,) = division.schedulers_for(SERVICE, bound)
    assert scheduler is versions.context.placer.schedulers[SERVICE]


def test_the_newest_stage_is_reported_after_many_rollouts_of_other_services(versions):
    """Only the stages of the first dozen services that ever had an order were sent, so
    that the nodes never learned of a later one's."""
    rollouts = versions.context.rollouts
    for offset in range(MAX_ORDERS + 1):
        name = f"service-{offset}"
        rollouts.learn_order(order(offset, service=name, duration_s=0.001))
        rollouts.set_stage(name, offset, Stage(StageKind.COMPLETED, 1))
    versions.begin(offset=100)
    versions.stage("small", 1, share=0.1, offset=100)
    told = rollouts.next_report().stages
    assert (told[0].service, told[0].offset) == (SERVICE, 100)
    assert len(told) == MAX_ORDERS


def test_the_totals_of_all_running_rollouts_are_reported(versions):
    """The evidence of a third rollout reached no other node, so that a good version was
    rolled back for too few responses, and a bad one was not noticed."""
    rollouts = versions.context.rollouts
    names = {f"service-{offset}" for offset in range(4)}
    for offset, name in enumerate(sorted(names)):
        rollouts.learn_order(order(offset, service=name))
    rollouts.learn_order(order(9, service="ended", to=""))
    reports = [rollouts.next_report().totals for _ in range(60)]
    assert {totals.service for report in reports for totals in report} == names
    assert {len(report) for report in reports} == {MAX_TOTALS}


def test_crashes_are_not_remembered_for_ever(versions):
    """The table grew with each crash of any server since the node's start, also in
    deployments that never had a rollout."""
    observer = versions.context.rollout_observer
    crashes = versions.context.placer.crashes
    for number in range(MAX_CRASHED + 10):
        crashes.add(Crash("f", f"i-{number}@1", float(number)))
    assert len(observer.crashed) == MAX_CRASHED
    assert f"i-{MAX_CRASHED + 9}@1" in observer.crashed
