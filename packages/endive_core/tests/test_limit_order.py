from collections import defaultdict

import pytest
from endive_core.limit_order import (
    EARLY_S,
    MAX_BACKLOG_S,
    SPREAD_S,
    WINDOW_S,
    LimitOrder,
    SpendingClaim,
)
from endive_core.shared_limits import SharedLimits, SpendingOrigin
from limit_order_simulation import KINDS, flooded
from test_limit_coordination import BURST, MOST, RATE

FINGERPRINTS = [f"f{n}" for n in range(400)]


def share_admitted_on_return(fleet):
    returned, admitted = fleet.honest()
    assert returned >= 50
    return admitted / returned


@pytest.mark.parametrize("size", [6, 30, 86])
@pytest.mark.parametrize("patient", [False, True])
def test_requests_that_return_when_told_are_admitted(size, patient):
    """Guards against times at which hundreds return for units that suffice for one, and
    against promises that admit more than the limit."""
    fleet = flooded(size, patient=patient)
    assert share_admitted_on_return(fleet) >= 0.95
    assert fleet.most_in_window() <= 0.8 * MOST
    in_order_of_arrival = flooded(size, ordered=False, patient=patient)
    assert share_admitted_on_return(in_order_of_arrival) <= 0.4


@pytest.mark.parametrize("size", [200, 375])
def test_promises_hold_among_many_nodes(size):
    """Guards against times that hold only while nodes hear of each other at once."""
    fleet = flooded(size, after_s=4.0)
    assert share_admitted_on_return(fleet) >= 0.95
    assert fleet.most_in_window() <= 0.8 * MOST


def test_each_kind_keeps_its_least_share_and_the_most_urgent_gets_more():
    """Guards against an urgent kind refused like the others, and against a kind that is
    never admitted while a more urgent one takes the limit."""
    parts = {ordered: defaultdict(float) for ordered in (False, True)}
    for ordered, seed in ((o, s) for o in (False, True) for s in (1, 2, 3)):
        for name, part in flooded(30, ordered=ordered, seed=seed).served().items():
            parts[ordered][name] += part
    assert all(parts[True][kind.name] >= parts[False][kind.name] / 4 for kind in KINDS)
    assert parts[True]["clinic"] >= 1.1 * parts[False]["clinic"]


def test_a_replaced_coordinator_leaves_the_promises_in_force():
    """Guards against promises that are lost with the node that made or counted them."""
    fleet = flooded(
        30, patient=True, fault=lambda fleet: fleet.kill(fleet.coordinator().name)
    )
    assert share_admitted_on_return(fleet) >= 0.9
    assert fleet.most_in_window() <= 0.8 * MOST


def test_nodes_that_hear_nothing_keep_to_their_even_part():
    """Guards against a node that takes the whole limit because it doesn't hear of the
    others' refusals: two of six are cut off from each other and from the rest."""
    fleet = flooded(6, fault=lambda fleet: fleet.cut_off.update(("n0", "n1")))
    assert fleet.most_in_window() <= 0.8 * MOST
    for name in ("n0", "n1"):
        assert fleet.spent_by(name, 11.0, 17.0) <= (6.0 * RATE + BURST) / 6 * 1.1


def test_all_nodes_admit_a_request_when_any_of_them_told_it_to_return():
    """Guards against a node with another clock or without the refusal that takes a
    request for a first one, up to a delay of 0.1 s."""
    for name in FINGERPRINTS:
        told, other = LimitOrder(), LimitOrder(clock_offset_s=5000.0)
        claim = SpendingClaim(name, 1.0)
        wait_s = told.return_in_s("o", claim, 9.0, 100.0, rate=RATE, earliest_s=3.0)
        assert 3.0 <= wait_s <= 7.0
        for late_s in (-0.5 * EARLY_S, 0.0, WINDOW_S - EARLY_S - SPREAD_S - 0.001):
            assert other.in_window(claim, 100.0 + wait_s + late_s - 5000.0)


def test_times_are_spread_and_those_refused_before_count():
    """Guards against a crowd at one moment, and against times before those promised."""
    order, waits = LimitOrder(), []
    for name in FINGERPRINTS:
        claim = SpendingClaim(name)
        waits.append(order.return_in_s("o", claim, 20.0, 0.0, rate=RATE, earliest_s=0))
    half = len(waits) // 2
    assert sum(waits[half:]) >= 1.5 * sum(waits[:half])
    ahead_s = max(waits)
    in_a_second = [sum(t <= w < t + 1 for w in waits) for t in range(int(ahead_s))]
    assert max(in_a_second) <= 2 * 0.5 * RATE / 20.0


def test_without_a_backlog_or_with_one_priority_the_order_is_that_of_arrival():
    """Guards against effects where no limit is short, or no route is more urgent."""
    order = LimitOrder()
    order.set_priorities([1, 1, 1])
    claims = [order.claim(name, 1) for name in FINGERPRINTS]
    assert {claim.deferral for claim in claims} == {0.0}
    order.set_priorities([0, 1, 3])
    claims = [order.claim(name, 3) for name in FINGERPRINTS]
    assert {claim.deferral for claim in claims} == {0.0, 1.0}
    assert {order.claim(name, None).deferral for name in FINGERPRINTS} == {0.0}
    assert {order.reserve_share("o", claim, 0.0) for claim in claims} == {0.0}


def test_a_backlog_ends_with_its_time_or_when_the_limit_is_full():
    """Guards against callers told long times after a long excess has ended."""
    order = LimitOrder()
    order.add("o", 1e9, 0.0)
    order.update("o", 1.0, rate=RATE, left_share=0.0)
    order.update("o", MAX_BACKLOG_S - 1.0, rate=RATE, left_share=0.5)
    assert 0.0 < order.units_ahead("o") < RATE
    order.update("o", MAX_BACKLOG_S, rate=RATE, left_share=1.0)
    assert order.units_ahead("o") == 0.0


def test_refusals_of_other_nodes_count_once():
    """Guards against a node that counts what another refused or told long before."""
    limits = SharedLimits(0.0)
    limits.terms_of = {"o": (RATE, BURST)}.get
    old, new = SpendingOrigin("p", 1, 9000, 3600.0), SpendingOrigin("q", 1, 1, 0.5)
    limits.receive(old, {}, 1.0, {"o": 1e6})
    limits.receive(new, {}, 1.0, {"o": 30.0})
    limits.receive(new, {}, 1.1, {"o": 30.0})
    limits.receive(old, {}, 1.2, {"o": 1e6 + 5.0, "removed": 5.0})
    assert limits.order.units_ahead("o") == 35.0
    assert "removed" not in limits.order.backlogs
