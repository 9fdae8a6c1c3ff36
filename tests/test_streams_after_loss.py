"""Streams that callers take up after all gateways were killed at once.

Their text must be of one software version, and those go on whose version still serves.
"""

import os

import gevent
import pytest
from losses import running_fleet

pytestmark = pytest.mark.processes
WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
SLOT = 90 + WORKER
"""Number of the loopback addresses that only this test worker uses."""

LEAST_SHARE = 0.9
"""Share of the streams that go on, of those whose version still serves."""

STORE_SILENT_S = 2.0
BETWEEN_LOSSES_S = 2.5


@pytest.fixture
def fleet(request):
    with running_fleet(SLOT) as started:
        yield started


def check(fleet, ends, *serving):
    """Check that no stream was joined, and that those of `serving` versions go on."""
    assert ends.joined == []
    assert fleet.fleet.checker.violations == []
    assert ends.unanswered == [], str(ends)
    for version in serving:
        assert ends.share(version) >= LEAST_SHARE, str(ends)


@pytest.mark.parametrize("named", ["first", "none"])
def test_streams_go_on_where_one_version_has_served(fleet, named):
    """Nobody knows where each stream began."""
    fleet.begin_streams()
    fleet.lose(fleet.fleet.nodes)
    check(fleet, fleet.take_up(named), "v1")


def test_streams_of_two_versions_go_on_each_at_its_own(fleet):
    """A version was guessed where nobody knew it, in a system like this one."""
    fleet.start_engines("v2")
    fleet.begin_streams()
    fleet.lose(fleet.fleet.nodes)
    check(fleet, fleet.take_up(), "v1", "v2")


def test_a_stream_that_names_no_try_is_refused_among_versions(fleet):
    """It could be any of them."""
    fleet.start_engines("v2")
    fleet.begin_streams()
    fleet.lose(fleet.fleet.nodes)
    ends = fleet.take_up("none")
    check(fleet, ends)
    assert ends.went_on == []


@pytest.mark.parametrize("named", ["first", "last"])
def test_streams_go_on_over_three_losses(fleet, named):
    """Each time a caller names the first of its tries, or the last one."""
    fleet.start_engines("v2")
    fleet.begin_streams(event_gap_s=0.9)
    fleet.lose(fleet.fleet.nodes, down_s=0.3)
    ends = fleet.begin_to_take_up(named)
    for _ in range(2):
        gevent.sleep(BETWEEN_LOSSES_S)
        fleet.lose(fleet.fleet.nodes, down_s=0.3)
    gevent.joinall(ends.greenlets)
    check(fleet, ends, "v1", "v2")


@pytest.mark.parametrize("leaves", ["before", "during", "after"])
def test_streams_of_a_version_that_has_just_left_go_on_nowhere_else(fleet, leaves):
    """Its servers left before the loss, in it, or right after the nodes returned."""
    fleet.start_engines("v2")
    fleet.begin_streams()
    if leaves == "before":
        fleet.stop_engines("v1")
        gevent.sleep(0.1)
    nodes, stop = fleet.fleet.nodes, lambda: fleet.stop_engines("v1")
    fleet.lose(nodes, meanwhile=stop if leaves == "during" else lambda: None)
    if leaves == "after":
        gevent.spawn_later(0.8, stop)
    check(fleet, fleet.take_up(), "v2")


@pytest.mark.parametrize("fault", ["silent", "slow", "stale"])
def test_no_stream_is_joined_while_the_store_does_not_tell_the_truth(fleet, fault):
    """It is silent or slow as the nodes return, or answers reads as of before the
    second version came."""
    store = fleet.fleet.store
    fleet.begin_streams(2)
    fleet.take_up()
    if fault == "stale":
        store.become_stale()
        stale_ends, store.stale_ends = store.stale_ends, None
    fleet.start_engines("v2")
    fleet.begin_streams()

    def fail():
        fleet.stop_engines("v2")
        if fault == "silent":
            store.silent = True
        elif fault == "slow":
            store.call_s = 0.05
        else:
            store.stale_ends = stale_ends

    def recover():
        store.silent, store.call_s, store.stale_ends = False, 0.0, None

    gevent.spawn_later(1.0 + STORE_SILENT_S, recover)
    fleet.lose(fleet.fleet.nodes, meanwhile=fail)
    check(fleet, fleet.take_up(), "v1")
