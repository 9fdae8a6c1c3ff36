"""Tests of the totals of all nodes, where a service has many routes."""

from random import Random

from endive_core.rollout_evidence import MAX_ROUTES, FleetEvidence, RolloutTotals
from endive_core.rollout_stages import HESITATION_SCORE


def make_totals(**routes):
    """Return totals with responses of the candidate and the base by route."""
    totals = RolloutTotals()
    for name, responses in routes.items():
        counts = totals.route(name)
        for side, count in zip((counts.candidate, counts.base), responses, strict=True):
            side.responses = side.ended = count
            side.times[1], side.times[2] = count - count // 10, count // 10
    return totals


def test_a_route_that_a_node_leaves_out_is_no_evidence():
    """A node's busiest routes change. What it had told of the one that it then left out
    was subtracted, and a good version seemed slow by its counts below zero."""
    evidence, highest = FleetEvidence(), 0.0
    for step in range(30):
        evidence.receive("a", 1, make_totals(r=(5, 40 * (step + 1))), 1)
        routes = {"r": (20, 20)} if step < 20 else {}
        evidence.receive("b", 1, make_totals(q=(step, 10), **routes), 1)
        highest = max(highest, evidence.finding(0.5 * step).score)
    assert highest < HESITATION_SCORE
    assert evidence.total().routes["r"].candidate.responses == 25


def test_the_counts_of_all_routes_reach_other_nodes():
    """Those of the seventh route and further ones, with few requests, were never sent,
    so that a version that was bad on one of them alone was completed."""
    own = make_totals(**{f"r{n}": (20 - n, 20) for n in range(MAX_ROUTES + 4)})
    random, evidence = Random(1), FleetEvidence()
    for _ in range(40):
        routes = own.reported_routes(random)
        assert len(routes) == MAX_ROUTES
        evidence.receive("a", 1, RolloutTotals(routes=dict(routes)), 1)
    assert evidence.total().routes == own.routes
