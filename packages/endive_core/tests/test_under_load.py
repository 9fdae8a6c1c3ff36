"""The real decision objects of seven nodes before the load model; outcomes for callers.

Short runs of the benchmark's loads; the benchmark's own figures stand in
docs/DECISIONS.md.
"""

from dataclasses import replace

import pytest
from baselines import RoundRobin
from bench_decisions import make_baseline, make_scheduler
from scenarios import SCENARIOS, run


def outcome(name, *, end, start=10.0, decider=make_scheduler):
    scenario = next(s for s in SCENARIOS if s.name == name)
    return run(replace(scenario, start=start, end=end), decider, 5)


def round_robin(model, number):
    return make_baseline(RoundRobin, model, number)


def test_standing_bulk_batch_leaves_interactive_calls_within_target():
    """A bulk batch of 20 times the slots stands the whole time. Members who chat must
    not notice, and the batch must still use what they leave."""
    result = outcome("saturation, bulk", end=40.0)
    assert result.within >= 0.95
    assert result.within_worst >= 0.9
    assert result.goodput >= 0.88


def test_unannounced_burst_leaves_other_organisations_within_target():
    """A broker sends 4,000 calls within a moment. Those that can't be served in time
    are refused at once; the calls of the others are answered as before."""
    result = outcome("burst", start=15.0, end=25.0)
    others = [v for (name, _), v in result.by_class.items() if name != "broker"]
    assert min(others) >= 0.9
    assert result.refused > 3000
    assert result.honest >= 0.7


@pytest.mark.parametrize("name", ["steady 70%", "slow server", "long and short"])
def test_moderate_load_is_served_within_target_with_little_recomputed(name):
    result = outcome(name, start=15.0, end=30.0)
    baseline = outcome(name, start=15.0, end=30.0, decider=round_robin)
    assert result.within >= 0.95
    assert result.refused == 0
    assert result.recomputed < 0.6 * baseline.recomputed


def test_overload_is_shared_and_what_is_admitted_is_on_time():
    result = outcome("overload 150%", end=30.0)
    assert result.within >= 0.9
    assert result.goodput >= 0.85
    smallest = result.shares["armor"] / result.offered["armor"]
    assert smallest >= 0.8


def test_loss_of_a_zone_with_a_second_under_notice_loses_no_admitted_call():
    """A zone dies without notice while a second has five seconds left. Its streams go
    on in the third zone, and nothing that was admitted is given up."""
    result = outcome("zone gone", start=20.0, end=40.0)
    assert result.within >= 0.95
    assert result.wasted == 0
