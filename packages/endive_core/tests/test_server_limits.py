import math
from random import Random

import pytest
from core_builders import call, dispatch_all, view
from endive_core.exceptions import ErrorKind, RetryReason
from endive_core.policy import Policy
from endive_core.scheduler import Scheduler
from endive_core.server_limits import (
    ENDED_MEMORY_S,
    LimitReport,
    LimitShare,
    ServerLimits,
    share_of,
    sharers,
)


@pytest.mark.parametrize("limit", [0.0, 0.5, 1.0, 5.0, 50.0])
@pytest.mark.parametrize("count", [1, 6, 30, 375, 3000])
def test_shares_add_up_to_the_limit(count, limit):
    """What all nodes may send in four seconds stays within what a server tolerates."""
    nodes = [f"10.0.{n // 250}.{n % 250}" for n in range(count)]
    report = LimitReport("i-1", limit, 0.0, 1)
    sharing = sharers("i-1", limit, nodes)
    shares = [share_of(node, sharing, report) for node in sharing]
    assert sum(share.rate for share in shares) == pytest.approx(max(0.1, limit))
    in_four_s = sum(share.burst + 4 * share.rate for share in shares)
    assert in_four_s <= 1.5 * 4 * limit + 5
    others = [n for n in nodes if n not in sharing]
    assert all(share_of(node, sharing, report).rate == 0 for node in others[:5])


def test_the_newest_report_counts():
    limits = ServerLimits()
    assert limits.learn(LimitReport("s", 2.0, 1.0, 1))
    assert not limits.learn(LimitReport("s", None, 0.5, 2))
    assert limits.limit("s") == 2.0
    assert limits.learn(LimitReport("s", None, 1.5, 3))
    assert limits.limit("s") is None


def test_a_report_that_nodes_send_back_and_forth_does_not_outlive_the_end():
    """Each message arrives a little later, which made the report look newer."""
    limits = ServerLimits()
    limits.learn(LimitReport("s", 2.0, 1.2, 1))
    limits.learn(LimitReport("s", 2.0, 1.0, 1))
    assert limits.learn(LimitReport("s", None, 1.1, 2))
    assert limits.limit("s") is None


def test_every_report_has_its_turn_and_changes_go_first():
    limits = ServerLimits()
    for number in range(6):
        limits.learn(LimitReport(f"s{number}", 1.0, 0.0, number))
    taken = [report.server for _ in range(3) for report in limits.take(2)]
    assert sorted(taken) == [f"s{number}" for number in range(6)]
    limits.learn(LimitReport("s3", 2.0, 1.0, 9))
    assert limits.take(1)[0].server == "s3"


def test_ended_limits_and_servers_that_are_gone_are_forgotten():
    limits = ServerLimits()
    limits.learn(LimitReport("ended", None, 0.0, 1))
    limits.learn(LimitReport("gone", 1.0, 0.0, 2))
    limits.learn(LimitReport("there", 1.0, 0.0, 3))
    limits.forget({"ended", "there"}, 1.0)
    assert set(limits.reports) == {"ended", "there"}
    limits.forget({"ended", "there"}, ENDED_MEMORY_S + 1)
    assert set(limits.reports) == {"there"}


def limited_scheduler(rates, servers=2, slots=64):
    """Return a scheduler of which some servers have limits, by name."""
    made = Scheduler.from_policy(Policy(), Random(1))
    made.set_servers(view(f"s{number}", slots=slots) for number in range(servers))
    shares = {
        name: LimitShare(max(rate, 1.0), rate, 1.0 if rate else 0.0, 0.0)
        for name, rate in rates.items()
    }
    made.throttling.set_shares(shares, 0.0)
    return made


def offer(made, number, now):
    return made.offer(call(number, deadline=now + 2.0, target_s=1.0), now)


def test_calls_go_elsewhere_while_a_servers_limit_is_used_up():
    made = limited_scheduler({"s0": 0.5})
    for number in range(20):
        offer(made, number, number / 10)
        (dispatch,) = dispatch_all(made, number / 10)
        made.finished(dispatch.ticket, number / 10)
        assert dispatch.server == "s1"
    offer(made, 30, 2.1)
    assert dispatch_all(made, 2.1)[0].server == "s0"


def test_a_node_without_a_share_refuses_at_once():
    made = limited_scheduler({"s0": 0.0, "s1": 0.0})
    refusal = offer(made, 1, 0.0)
    assert refusal.kind is ErrorKind.OVERLOADED
    assert 0 < refusal.retry_after_s <= 0.5


def test_queued_calls_that_a_new_limit_keeps_waiting_are_refused():
    made = limited_scheduler({}, servers=1, slots=2)
    for number in range(6):
        made.take_over(call(number, deadline=2.0), 0.0)
    dispatch_all(made, 0.0)
    queued = len(made.queue)
    assert queued
    made.throttling.set_shares({"s0": LimitShare(1.0, 0.1, 1.0, 0.0)}, 0.0)
    dispatch_all(made, 0.1)
    refusals = [ticket.refusal for ticket in made.take_expired()]
    assert len(refusals) == queued
    assert {refusal.kind for refusal in refusals} == {ErrorKind.OVERLOADED}


def test_a_server_that_names_no_limit_any_more_is_open_again():
    made = limited_scheduler({"s0": 0.0, "s1": 0.0})
    made.throttling.set_shares({}, 1.0)
    assert made.throttling.wait_s(1.0) == 0.0
    offer(made, 1, 1.0)
    assert dispatch_all(made, 1.0)


def test_the_wait_for_limited_servers_grows_with_the_queue():
    made = limited_scheduler({"s0": 1.0, "s1": 1.0})
    assert made.throttling.wait_s(0.0) == pytest.approx(1.0)
    assert made.throttling.wait_s(0.0, 2) == pytest.approx(2.0)
    assert limited_scheduler({"s0": 0.0, "s1": 0.0}).throttling.wait_s(0) == math.inf


def test_a_limited_server_that_was_silent_is_preferred():
    """Without a request nobody would notice the end of its limit."""
    made = limited_scheduler({"s0": 1.0}, servers=4)
    offer(made, 1, 5.0)
    assert dispatch_all(made, 5.0)[0].server == "s0"


def test_callers_refused_for_limits_get_times_as_far_apart_as_the_limits_allow():
    """They were all told to come back at once, and refused again."""
    made = limited_scheduler({"s0": 1.0, "s1": 1.0})
    ends = []
    for number in range(4):
        refused = call(number, prompt_tokens=0, target_s=0.3)
        made.offer(refused, 0.0)
        ends.append(made.admission.retry_windows.ends_at["org", refused.rank])
    gaps = [later - earlier for earlier, later in zip(ends, ends[1:], strict=False)]
    assert gaps == pytest.approx([0.5] * 3)


def test_a_limited_server_that_failed_is_not_preferred():
    """It would get every call until it answers one."""
    made = limited_scheduler({"s0": 1.0}, servers=4)
    failed = made.servers.servers["s0"]
    made.failures.penalise_server(failed, RetryReason.SERVER_FAILED, 5.0)
    offer(made, 1, 5.0)
    assert dispatch_all(made, 5.0)[0].server != "s0"
