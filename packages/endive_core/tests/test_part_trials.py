import itertools
from random import Random

import pytest
from core_builders import call, dispatch_all, scheduler
from endive_core.calls import Refusal, Stage
from endive_core.exceptions import ErrorKind, RetryReason
from endive_core.part_crashes import PartTable
from endive_core.part_reports import PartCrash
from endive_core.part_trials import (
    FIRST_TRIAL_S,
    MAX_TRIAL_S,
    MAX_WAIT_S,
    REFUSED_STEP_S,
    SUSPECT_STEP_S,
    TRIAL_GROWTH,
    PartTrials,
    Standing,
    trial_delay_s,
)

BAD, COMMON = 1, 2
MEMORY_S = 600.0
servers = itertools.count()


def crash(*parts, at, server=None):
    number = next(servers)
    server = f"i-{number}@0" if server is None else server
    return PartCrash(server, number, parts, at - 0.05, at)


def make_trials(nodes=1, node="n0"):
    made = PartTrials(PartTable(MEMORY_S), node)
    made.nodes = nodes
    return made


def standing(trials, *parts, now, **options):
    return trials.judge(parts, now, **options).standing


def test_parts_without_crashes_are_sound():
    assert standing(make_trials(), COMMON, now=0.0) is Standing.SOUND


def test_a_part_is_tried_after_one_crash_and_refused_after_two():
    trials = make_trials()
    trials.table.add(crash(BAD, at=1.0))
    assert standing(trials, COMMON, BAD, now=1.1) is Standing.TRIED
    trials.table.add(crash(BAD, at=1.2))
    assert standing(trials, COMMON, BAD, now=1.3) is Standing.REFUSED
    assert standing(trials, COMMON, now=1.3) is Standing.SOUND


def test_others_wait_while_one_request_is_the_trial():
    trials = make_trials()
    trials.table.add(crash(BAD, at=1.0))
    trials.begin((BAD,))
    assert standing(trials, BAD, now=1.1) is Standing.WAITING
    trials.end((BAD,))
    assert standing(trials, BAD, now=1.1) is Standing.TRIED
    assert not trials.under_way


def test_no_request_waits_for_others_for_long():
    trials = make_trials()
    trials.table.add(crash(BAD, at=1.0))
    trials.begin((BAD,))
    assert standing(trials, BAD, now=2.1, waited_s=MAX_WAIT_S) is Standing.TRIED


@pytest.mark.parametrize("nodes", [6, 30, 200, 375])
def test_few_nodes_try_a_suspected_part_at_the_same_moment(nodes):
    fleet = [make_trials(nodes, f"n{n}") for n in range(nodes)]
    shared = crash(BAD, at=1.0)
    for trials in fleet:
        trials.table.add(shared)

    def trying(since_s):
        return sum(standing(t, BAD, now=1.0 + since_s) is Standing.TRIED for t in fleet)

    assert trying(0.0) <= 4
    assert trying(SUSPECT_STEP_S) <= 8
    assert trying(SUSPECT_STEP_S * 9) == nodes


def test_a_request_under_which_a_server_ended_is_tried_sooner():
    fleet = [make_trials(30, f"n{n}") for n in range(30)]
    shared = crash(BAD, at=1.0)
    for trials in fleet:
        trials.table.add(shared)

    def trying(**options):
        return sum(
            standing(t, BAD, now=1.0, **options) is Standing.TRIED for t in fleet
        )

    assert trying() < trying(crashed=True) <= 8


def test_amid_other_crashes_a_part_is_refused_later():
    """In a reclaim one quiet route's only part may be under two crashes by chance."""
    trials = make_trials()
    for number in range(2):
        trials.table.add(crash(BAD, at=1.0 + number))
        trials.table.add(crash(100 + number, at=1.5 + number))
    assert standing(trials, BAD, now=3.0) is Standing.TRIED
    trials.table.add(crash(BAD, at=3.0))
    assert standing(trials, BAD, now=3.1) is Standing.REFUSED


def test_a_refused_part_is_tried_again_more_and_more_rarely():
    trials = make_trials()
    times = [1.0, 1.2]
    for at in times:
        trials.table.add(crash(BAD, at=at))
    for _ in range(4):
        due = times[-1] + trial_delay_s(tuple(times))
        assert standing(trials, BAD, now=due - 0.1) is Standing.REFUSED
        assert standing(trials, BAD, now=due + 0.1) is Standing.TRIED
        times.append(due + 0.2)
        trials.table.add(crash(BAD, at=times[-1]))
    gaps = [later - sooner for sooner, later in itertools.pairwise(times[1:])]
    assert gaps[0] == pytest.approx(FIRST_TRIAL_S, abs=0.5)
    assert gaps[1] == pytest.approx(TRIAL_GROWTH * FIRST_TRIAL_S, abs=0.5)
    assert gaps[-1] <= MAX_TRIAL_S + 1.0


@pytest.mark.parametrize("times", [(10.0, 16.0), (10.0, 60.0), (0.0, 0.5, 1.0, 8.0)])
def test_a_trial_is_not_put_off_by_the_time_between_unrelated_crashes(times):
    """A part that two causes share was refused for four times the time between them."""
    assert trial_delay_s(times) == FIRST_TRIAL_S


def test_a_node_that_has_just_started_tries_no_refused_part():
    """It knows some earlier crashes and not yet that the latest trial has failed."""
    trials = make_trials()
    trials.informed_from = 31.0
    for at in (1.0, 1.2):
        trials.table.add(crash(BAD, at=at))
    assert standing(trials, BAD, now=30.9) is Standing.REFUSED
    assert standing(trials, BAD, now=31.1) is Standing.TRIED


@pytest.mark.parametrize("nodes", [6, 30, 200, 375])
def test_few_nodes_try_a_refused_part_at_the_same_moment(nodes):
    fleet = [make_trials(nodes, f"n{n}") for n in range(nodes)]
    crashes = crash(BAD, at=1.0), crash(BAD, at=1.2)
    for trials in fleet:
        for known in crashes:
            trials.table.add(known)
    due = 1.2 + FIRST_TRIAL_S

    def trying(since_s):
        return sum(standing(t, BAD, now=due + since_s) is Standing.TRIED for t in fleet)

    assert trying(-0.1) == 0
    assert trying(0.0) <= 4
    assert trying(REFUSED_STEP_S * 9) == nodes


def test_a_part_that_is_answered_again_is_sound():
    trials = make_trials()
    for at in (1.0, 1.2):
        trials.table.add(crash(BAD, at=at))
    trials.table.add_answers((BAD,), 12.0)
    assert standing(trials, BAD, now=12.1) is Standing.SOUND


def bad_call(number, *parts):
    return call(number, fingerprint=f"f{number}", shared_parts=parts, target_s=60.0)


def crash_servers(made, *times):
    for at in times:
        made.trials.table.add(crash(BAD, at=at))


def test_a_refused_part_is_refused_on_arrival_and_in_the_queue():
    made = scheduler(servers=1, slots=1)
    dispatched = made.offer(bad_call(0), 0.0)
    dispatch_all(made)
    queued = made.offer(bad_call(1, BAD), 0.0)
    crash_servers(made, 0.1, 0.2)
    made.finished(dispatched, 0.3)
    assert dispatch_all(made, 0.3) == []
    assert made.take_expired() == [queued]
    refusal = made.offer(bad_call(2, COMMON, BAD), 0.3)
    assert isinstance(refusal, Refusal) and refusal.kind is ErrorKind.POISON_REQUEST
    assert refusal.retry_after_s == made.policy.max_retry_after_s


def test_waiting_requests_hold_up_nothing_of_their_organisation():
    made = scheduler(servers=4)
    crash_servers(made, 0.1)
    tickets = [made.offer(bad_call(n, BAD), 0.2) for n in range(3)]
    sound = [made.offer(bad_call(10 + n, COMMON), 0.2) for n in range(3)]
    sent = [dispatch.ticket for dispatch in dispatch_all(made, 0.2)]
    assert sent[0] is tickets[0]
    assert set(sent) == {tickets[0], *sound}
    made.started(tickets[0], 0.3)
    assert [d.ticket for d in dispatch_all(made, 0.3)] == tickets[1:]
    assert len(made.queue) == 0


def test_a_waiting_request_whose_caller_leaves_is_forgotten():
    made = scheduler(servers=4)
    crash_servers(made, 0.1)
    first, second = (made.offer(bad_call(n, BAD), 0.2) for n in range(2))
    dispatch_all(made, 0.2)
    made.cancelled(second, 0.3)
    made.cancelled(first, 0.3)
    assert len(made.queue) == 0 and not made.trials.under_way
    assert second.stage is Stage.ENDED


def test_a_request_that_ended_a_server_is_not_repeated_once_its_part_is_refused():
    made = scheduler(servers=4)
    crash_servers(made, 0.0)
    ticket = made.offer(bad_call(0, BAD), 0.1)
    assert dispatch_all(made, 0.1)
    verdict = made.failed(
        ticket, 0.3, RetryReason.SERVER_FAILED, started=True, crashed="i-9@1"
    )
    assert isinstance(verdict, Refusal) and verdict.kind is ErrorKind.POISON_REQUEST
    assert not made.trials.under_way


def test_a_stream_that_breaks_midway_implicates_no_part():
    made = scheduler(servers=4)
    ticket = made.offer(bad_call(0, COMMON), 0.0)
    dispatch_all(made)
    made.started(ticket, 0.1)
    made.failed(ticket, 0.3, RetryReason.SERVER_FAILED, started=True, crashed="i-9@1")
    assert not made.trials.table.by_part


def test_judging_does_not_slow_down_with_what_is_known():
    """Thousands of parts, full tables, and still bounded work for each request."""
    rng = Random(1)
    trials = make_trials()
    for number in range(600):
        parts = tuple(rng.randrange(50) for _ in range(8))
        trials.table.report(crash(*parts, at=1.0 + 0.01 * number))
    asked = tuple(range(5000))
    assert standing(trials, *asked, now=8.0) is Standing.REFUSED
