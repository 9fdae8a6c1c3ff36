import math
from random import Random

import pytest
from core_builders import call, dispatch_all, scheduler, view
from endive_core.outliers import MIN_SAMPLES, OutlierDetector
from endive_core.policy import Policy
from endive_core.prefilling import PrefillRate
from endive_core.scheduler import Scheduler
from endive_core.server_speed import MAX_SLOWDOWN, MIN_SLOWDOWN, ServerSpeeds
from endive_core.servers import ServerSet
from endive_core.service_types import ServiceType
from speed_model import SpeedPhases


def learned_speeds(*, slow_s, usual_s, servers=3, per_s=40.0, until=60.0, seed=1):
    """Return what is learned of servers from statements at random times."""
    random, speeds = Random(seed), ServerSpeeds()
    phases = [SpeedPhases(random, slow_s=slow_s, usual_s=usual_s) for _ in range(3)]
    now = 0.0
    while now < until:
        now += random.expovariate(per_s * servers)
        number = random.randrange(servers)
        speeds.state(f"s{number}", 1, phases[number].slowdown(now), now)
    return speeds


def test_a_statement_returns_to_the_mean_with_its_age():
    """Guards against decisions on a phase that is over."""
    speeds = learned_speeds(slow_s=0.6, usual_s=3.4)
    speeds.state("s0", 1, 2.5, 60.0)
    ages = (0.0, 0.2, 0.5, 1.0, 5.0)
    expected = [speeds.expected("s0", 60.0 + age) for age in ages]
    assert expected == sorted(expected, reverse=True)
    assert expected[0] == 2.5
    assert expected[-1] == pytest.approx(speeds.mean, abs=0.01)
    assert speeds.mean == pytest.approx(1.225, abs=0.1)


@pytest.mark.parametrize("slow_s", [0.15, 0.6, 3.0])
def test_it_is_learned_how_long_a_statement_holds(slow_s):
    """Guards against a constant that fits one deployment only."""
    usual_s = slow_s * 0.85 / 0.15
    speeds = learned_speeds(slow_s=slow_s, usual_s=usual_s, until=40 + 100 * slow_s)
    true_s = 1 / (1 / slow_s + 1 / usual_s)
    assert true_s / 2 <= speeds.hold.seconds <= 2 * true_s


def test_a_value_that_never_changes_holds():
    speeds = ServerSpeeds()
    for number in range(200):
        for server, slowdown in (("s0", 1.0), ("s1", 2.0), ("s2", 1.0)):
            speeds.state(server, 1, slowdown, 0.5 * number)
    assert speeds.expected("s1", 101.0) > 1.9


def test_work_that_outlasts_a_phase_tends_to_the_mean():
    """Guards against a long prompt that avoids a server for a phase of a moment."""
    speeds = learned_speeds(slow_s=0.6, usual_s=3.4)
    slow = [speeds.over(2.5, seconds) for seconds in (0.0, 0.045, 0.5, 10.0)]
    assert slow == sorted(slow, reverse=True)
    assert slow[1] > 2.3
    assert slow[-1] == pytest.approx(speeds.mean, abs=0.1)


@pytest.mark.parametrize("value", [0.0, -1.0, math.nan])
def test_impossible_values_are_ignored(value):
    speeds = ServerSpeeds()
    assert not speeds.state("s0", 1, value, 0.0)
    assert not speeds.statements


def test_extreme_values_count_within_bounds():
    """Guards against a server that attracts all work by stating 9 percent."""
    speeds = ServerSpeeds()
    speeds.state("s0", 1, 0.09, 0.0)
    speeds.state("s1", 1, 100.0, 0.0)
    assert speeds.expected("s0", 0.0) == MIN_SLOWDOWN
    assert speeds.expected("s1", 0.0) == MAX_SLOWDOWN


def test_older_statements_and_earlier_incarnations_do_not_count():
    """Guards against a relayed statement of a server that has started again since."""
    speeds = ServerSpeeds()
    assert speeds.state("s0", 2, 1.0, 5.0)
    assert not speeds.state("s0", 2, 2.5, 4.0)
    assert not speeds.state("s0", 1, 2.5, 6.0)
    assert speeds.state("s0", 3, 2.0, 7.0)
    speeds.keep({"s0": 4}, 8.0)
    assert not speeds.statements
    assert speeds.expected("s0", 8.0) == 1.0


def test_what_differs_most_and_is_newest_is_passed_on_first():
    speeds = ServerSpeeds()
    for number in range(20):
        speeds.state(f"s{number}", 1, 1.0, 9.0)
    speeds.state("s3", 1, 2.5, 9.95)
    speeds.state("s4", 1, 2.5, 9.5)
    speeds.state("s5", 1, 2.5, 9.2)
    speeds.state("s5", 1, 1.0, 9.9)
    told = speeds.next_reports(10.0, 8)
    assert [server for server, _, _ in told] == ["s3", "s4", "s5"]
    assert told[0][1:] == (2.5, pytest.approx(0.05))
    assert not speeds.next_reports(13.0, 8)


def plain_call(number, **more):
    organisation = f"org{number}"
    return call(
        number, organisation=organisation, prompt_tokens=0, max_tokens=1, **more
    )


def plain_scheduler(servers=3, **policy):
    made = Scheduler.from_policy(
        Policy(**policy), Random(2), service_type=ServiceType.PLAIN
    )
    made.set_servers(view(f"s{n}", slots=6, prefill=1.0) for n in range(servers))
    return made


def test_a_slow_server_gets_no_short_work_while_another_has_room():
    """Guards against random samples that contain the slow server alone."""
    made = plain_scheduler()
    made.state_speed("s1", 1, 2.5, at=1.0)
    for number in range(12):
        made.offer(plain_call(number), 1.0)
    sent = [dispatch.server for dispatch in dispatch_all(made, 1.0)]
    assert len(sent) == 12
    assert "s1" not in sent


def test_a_slow_server_is_used_where_no_other_has_room():
    """Guards against a slot that stands idle while requests wait."""
    made = plain_scheduler()
    made.state_speed("s1", 1, 2.5, at=1.0)
    for number in range(18):
        made.offer(plain_call(number), 1.0)
    assert len(dispatch_all(made, 1.0)) == 18


def test_without_statements_nothing_changes():
    """Guards against different decisions in deployments whose servers state none."""
    made = plain_scheduler()
    made.update_speeds(1.0)
    servers = made.servers
    assert servers.speeds.capacity == 1.0
    assert servers.speeds.work_s == 0.0
    assert {server.slowdown for server in servers.servers.values()} == {1.0}


def test_a_long_prompt_and_a_short_one_choose_by_the_time_that_they_take():
    """Guards against a prefix that is computed again to avoid a short phase."""
    made = scheduler(servers=2, slots=32)
    servers = made.servers
    for number in range(200):
        for server in ("s0", "s1"):
            slowdown = 2.5 if number % 7 == 0 else 1.0
            servers.speeds.state(server, 1, slowdown, 0.2 * number)
    servers.speeds.state("s0", 1, 2.5, 50.0)
    servers.speeds.state("s1", 1, 1.0, 50.0)
    servers.speeds.update(servers.servers, 50.0)
    costs = {}
    for tokens in (200, 40_000):
        asked = call(prompt_tokens=tokens)
        slow, usual = (
            made.placement.score(asked, servers.servers[s], 0, 50.0)
            for s in ("s0", "s1")
        )
        costs[tokens] = slow / usual
    assert costs[200] > 2.0
    assert costs[40_000] < 1.5


def observed(stated, latencies, *, samples=4 * MIN_SAMPLES):
    """Return a detector after latencies of servers that state slowdowns."""
    servers = ServerSet(Random(1), reserved_share=0.08, divided_share=0.1)
    servers.set_servers(view(f"s{n}", slots=8) for n in range(len(stated)))
    made = OutlierDetector(Policy(), servers)
    for (name, server), slowdown, latency in zip(
        servers.servers.items(), stated, latencies, strict=True
    ):
        servers.speeds.state(name, 1, slowdown, 1.0)
        servers.speeds.hold.seconds = 60.0
        servers.speeds.update(servers.servers, 1.0)
        seconds = latency / servers.speeds.over(server.slowdown, latency)
        for _ in range(samples):
            made.observe(server, seconds=seconds, expected_s=0.1)
    made.update_outliers(1.0)
    return servers.servers


def test_a_stated_phase_marks_no_server():
    servers = observed([1.0, 1.0, 2.5, 1.0], [0.1, 0.1, 0.25, 0.1])
    assert not any(server.slow for server in servers.values())


def test_a_server_that_states_the_usual_speed_and_is_slow_is_marked():
    servers = observed([1.0, 1.0, 1.0, 1.0], [0.1, 0.1, 0.4, 0.1])
    assert [name for name, server in servers.items() if server.slow] == ["s2"]


@pytest.mark.parametrize("false", [0.09, 100.0])
def test_latencies_correct_a_false_statement(false):
    """Guards against a server lost, or flooded, for a value that it states for good."""
    servers = observed([1.0, 1.0, false, 1.0], [0.1, 0.1, 0.1, 0.1])
    liar = servers["s2"]
    assert not liar.slow
    assert liar.slowness * liar.slowdown == pytest.approx(1.0, rel=0.15)


def test_slow_phases_do_not_shift_the_learned_prefill_rate():
    """Guards against twice the servers ordered for a rate learned in slow phases."""
    random = Random(4)
    made = Scheduler.from_policy(Policy(), Random(1), prefill=PrefillRate())
    made.set_servers([view("s0", slots=64)])
    phases = SpeedPhases(random, slow_s=20.0, usual_s=20.0)
    now = 0.0
    for number in range(1_500):
        now += 0.2
        tokens, slowdown = random.randrange(500, 10_000), phases.slowdown(now)
        made.state_speed("s0", 1, slowdown, at=now)
        made.offer(call(number, prompt_tokens=tokens, target_s=60.0), now)
        for dispatch in dispatch_all(made, now):
            answered_at = now + slowdown * tokens / 50_000
            made.update_speeds(answered_at)
            made.started(dispatch.ticket, answered_at)
            made.finished(dispatch.ticket, answered_at)
    assert made.prefill.tokens_per_s == pytest.approx(50_000, rel=0.15)


def test_admission_counts_the_current_speed():
    """Guards against requests that are admitted for slots that work slowly now."""
    made = plain_scheduler()
    for number in range(40):
        made.offer(plain_call(number, target_s=60.0), 1.0)
    dispatch_all(made, 1.0)
    asked = plain_call(99)
    before = made.admission.predict(asked, 1.0).wait_s
    for server in ("s0", "s1", "s2"):
        made.state_speed(server, 1, 2.5, at=1.0)
    made.update_speeds(1.0)
    assert made.admission.predict(asked, 1.0).wait_s > 2 * before


def test_a_long_wait_is_predicted_at_the_mean_speed():
    """Guards against long prompts that yield, or are given up, for a short phase."""
    made = scheduler(servers=2, slots=32)
    servers = made.servers
    servers.speeds.state("s0", 1, 2.5, 1.0)
    servers.speeds.update(servers.servers, 1.0)
    server = servers.servers["s0"]
    waits = []
    for tokens in (400.0, 100_000.0):
        server.starting_tokens = tokens
        usual_s = tokens / server.view.prefill_tokens_per_s
        waits.append(made.placement.wait_s(plain_call(0), server, 1.0) / usual_s)
    assert waits[0] > 2.3
    assert waits[1] < 1.5
