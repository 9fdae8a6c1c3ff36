"""Soak runs with faults of single servers, in a file of their own so that they run
beside those of test_soak.py."""

import os

import pytest
from soak.mixes import (
    DEMAND,
    DEPARTING,
    ENDLESS,
    FETCHES,
    FEW_SLOTS,
    FLOODS,
    FOREIGN_BYTES,
    LIMITED_SERVERS,
    LONG_PROMPTS,
    ODD_ENTRIES,
    ODD_VERSIONS,
    RESTS,
    SERVERS_CUT,
    SILENT,
    SPEEDS,
    STARTED_AGAIN,
    UNFRAMED,
)
from soak.play import run_seed

WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
SLOT = 60 + WORKER
"""Number of the loopback addresses that only this test worker uses."""


@pytest.mark.parametrize("kinds", [LIMITED_SERVERS, ("server_limited", "restart")])
def test_limits_that_servers_name_are_kept(kinds):
    """Servers ask for a few requests a second, and nodes restart meanwhile."""
    outcome = run_seed(1, slot=SLOT, kinds=kinds)
    assert outcome.violations == [], outcome.directory


@pytest.mark.parametrize("kinds", [RESTS, RESTS + ("server_crash", "restart")])
def test_servers_that_ask_for_rest_get_it(kinds):
    """One server of a service, or all, turn everybody away; nodes restart meanwhile."""
    outcome = run_seed(1, slot=SLOT, kinds=kinds)
    assert outcome.violations == [], outcome.directory


@pytest.mark.parametrize("kinds", [DEPARTING, DEPARTING + ("server_rests", "restart")])
def test_servers_that_say_they_leave_get_nothing_more(kinds):
    """Their entries say that they are ready, or the store is silent."""
    outcome = run_seed(1, slot=SLOT, kinds=kinds)
    assert outcome.violations == [], outcome.directory


def test_departures_beside_unreadable_entries_are_seen():
    """Another writer leaves entries at which all nodes ended their reads."""
    outcome = run_seed(3, slot=SLOT, kinds=ODD_ENTRIES + ("restart", "kill_all"))
    assert outcome.violations == [], outcome.directory


def test_streams_that_servers_break_off_do_not_look_complete():
    """Answers end with their connection, and some of them inside an event."""
    outcome = run_seed(1, slot=SLOT, kinds=UNFRAMED)
    assert outcome.violations == [], outcome.directory


def test_bodies_without_end_take_little_memory():
    """Servers send them in place of their answers, and none is an answer."""
    outcome = run_seed(1, slot=SLOT, kinds=ENDLESS, faults_s=6.0)
    assert outcome.violations == [], outcome.directory


def test_callers_that_send_without_end_hold_up_no_others():
    """One that pipelined requests stopped a node: no probe had an answer."""
    outcome = run_seed(1, slot=SLOT, kinds=FLOODS, faults_s=6.0)
    assert outcome.violations == [], outcome.directory


def test_callers_that_expect_a_version_of_no_server_cost_others_nothing():
    """One caller's header took all servers of the service out of use."""
    outcome = run_seed(1, slot=SLOT, kinds=ODD_VERSIONS, faults_s=6.0)
    assert outcome.violations == [], outcome.directory


def test_long_prompts_at_once_do_not_end_a_process():
    """Bodies within the limits took more memory than a process may have."""
    outcome = run_seed(1, slot=SLOT, kinds=LONG_PROMPTS, faults_s=6.0)
    assert outcome.violations == [], outcome.directory


def test_callers_hold_no_bytes_that_no_run_made():
    """Servers write other data into the bodies of their streams, framed in all ways."""
    outcome = run_seed(1, slot=SLOT, kinds=FOREIGN_BYTES)
    assert outcome.violations == [], outcome.directory


@pytest.mark.parametrize("rule", ["joined text", ""], ids=["text", "all_rules"])
def test_no_stream_is_joined_where_servers_start_again_under_their_id(rule):
    """They have other software, and their former entries stand for a moment."""
    outcome = run_seed(1, slot=SLOT, kinds=STARTED_AGAIN, faults_s=6.0, only=rule)
    assert outcome.violations == [], outcome.directory


def test_fetches_that_hang_lose_no_request():
    """No engine reaches another one while prompts name them as sources."""
    outcome = run_seed(1, slot=SLOT, kinds=FETCHES)
    assert outcome.violations == [], outcome.directory


@pytest.mark.parametrize("kinds", [SPEEDS, SPEEDS + ("restart", "server_crash")])
def test_servers_that_state_to_be_slow_get_little(kinds):
    """Servers become slow in turn and state it, while nodes restart and servers end."""
    outcome = run_seed(1, slot=SLOT, kinds=kinds)
    assert outcome.violations == [], outcome.directory


@pytest.mark.parametrize("kinds", [FEW_SLOTS, FEW_SLOTS + ("kill", "server_crash")])
def test_requests_take_the_slots_that_are_free(kinds):
    """A service has fewer slots than there are nodes, and coordinators are killed."""
    outcome = run_seed(1, slot=SLOT, kinds=kinds)
    assert outcome.violations == [], outcome.directory


@pytest.mark.parametrize("kinds", [DEMAND, DEMAND + ("kill",)])
def test_the_most_urgent_requests_are_in_time_as_often_as_the_least_urgent(kinds):
    """A burst of the least urgent kind asks for more than all engines compute."""
    outcome = run_seed(1, slot=SLOT, kinds=kinds)
    assert outcome.violations == [], outcome.directory


def test_requests_outlast_a_servers_silence():
    """Sound servers fall silent for a second or two, and go on."""
    outcome = run_seed(1, slot=SLOT, kinds=SILENT)
    assert outcome.violations == [], outcome.directory


@pytest.mark.parametrize("kinds", [SERVERS_CUT, SERVERS_CUT + ("server_crash",)])
def test_nodes_that_reach_no_server_serve_their_callers(kinds):
    """Links of some or most nodes to all servers are cut, in different ways."""
    outcome = run_seed(1, slot=SLOT, kinds=kinds)
    assert outcome.violations == [], outcome.directory
