"""The real schedulers of seven nodes against the simulated load model.

Short runs of the benchmark's scenarios; docs/DECISIONS.md has the benchmark's figures.
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
    """A bulk batch of 20 times the slots is queued all the time. Interactive calls must
    stay within their target, and the batch must still use what they leave."""
    result = outcome("saturation, bulk", end=40.0)
    assert result.within >= 0.95
    assert result.within_worst >= 0.9
    assert result.goodput >= 0.88


def test_unannounced_burst_leaves_other_organisations_within_target():
    """One organisation sends 4,000 calls at once. Those that can't be served in time
    are refused at once, and the calls of the others are answered as before."""
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
    """One zone fails without notice while a second has five seconds left. Its streams
    continue in the third zone, and no admitted call is lost."""
    result = outcome("zone gone", start=20.0, end=40.0)
    assert result.within >= 0.95
    assert result.wasted == 0
