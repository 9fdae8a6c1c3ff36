import pytest
from core_builders import call, dispatch_all, scheduler
from endive_core.backlogs import Backlogs
from endive_core.calls import Stage
from endive_core.exceptions import ErrorKind


def hold_all_slots(made):
    made.offer(call(1), 0.0)
    assert len(dispatch_all(made)) == 1


def test_queued_calls_are_given_up_when_no_server_is_left():
    made = scheduler(servers=1, slots=1, max_bulk_wait_s=1e6)
    hold_all_slots(made)
    waiting = made.offer(call(9, bulk=True), 0.0)
    made.leaving("s0")
    assert made.next_dispatch(1.0) is None
    assert made.take_expired() == []
    made.next_dispatch(7.0)
    assert made.take_expired() == [waiting]
    assert waiting.refusal.kind is ErrorKind.NO_SERVER


def test_a_queued_call_is_given_up_once_its_deadline_has_passed():
    made = scheduler(servers=1, slots=1, max_bulk_wait_s=1e6)
    hold_all_slots(made)
    waiting = made.offer(call(9, bulk=True, deadline=5.0), 0.0)
    made.next_dispatch(4.9)
    assert made.take_expired() == []
    made.next_dispatch(5.0)
    assert made.take_expired() == [waiting]
    assert waiting.refusal.kind is ErrorKind.DEADLINE_EXCEEDED
    assert waiting.stage is Stage.ENDED


def test_a_service_that_is_deleted_gives_up_its_queue_at_once():
    made = scheduler(servers=1, slots=1, max_bulk_wait_s=1e6)
    hold_all_slots(made)
    waiting = made.offer(call(9, bulk=True), 0.0)
    made.close()
    assert made.take_expired() == [waiting]
    assert made.take_expired() == []
    assert made.refusals[ErrorKind.NO_SERVER] == 1


def behind(seconds):
    """Return a scheduler whose two servers have others' work for `seconds`."""
    made = scheduler(servers=2, slots=64)
    made.placement.backlogs = Backlogs()
    tokens = 20_000.0 * seconds
    made.placement.backlogs.receive("other", {"s0": tokens, "s1": tokens}, 0.0)
    return made


def test_a_prompt_that_no_server_can_begin_in_time_is_refused_at_once():
    """After reclaims the servers that are left have three seconds of prompts before
    them. A caller with two seconds would wait them out, get nothing, and hold up the
    next ones with a prompt that nobody waits for."""
    made = behind(3.0)
    waiting = made.offer(call(deadline=2.0), 0.0)
    assert made.next_dispatch(0.0) is None
    assert made.take_expired() == [waiting]
    assert waiting.refusal.kind is ErrorKind.DEADLINE_EXCEEDED
    assert waiting.refusal.retry_after_s == pytest.approx(1.0, abs=0.1)


def test_a_prompt_that_can_be_begun_in_time_is_sent_though_it_waits():
    made = behind(3.0)
    made.offer(call(deadline=3.5), 0.0)
    assert made.next_dispatch(0.0) is not None


def test_a_prompt_is_not_refused_while_any_server_can_begin_it_in_time():
    """All servers but one are three seconds behind, and that one is none of the few
    that a call is compared at. Its caller would be refused though a server is idle."""
    made = scheduler(servers=40, slots=64)
    made.placement.backlogs = Backlogs()
    tokens = {f"s{number}": 60_000.0 for number in range(40) if number != 17}
    made.placement.backlogs.receive("other", tokens, 0.0)
    for number in range(20):
        made.offer(call(number, deadline=2.0), 0.0)
    assert {dispatch.server for dispatch in dispatch_all(made)} == {"s17"}
    assert made.take_expired() == []


def test_what_was_sent_before_is_not_refused_for_a_late_server():
    """A server broke off an answer that had begun. Whoever waits for the rest of it
    gets it late rather than never."""
    made = behind(0.0)
    waiting = made.offer(call(deadline=2.0), 0.0)
    dispatch_all(made)
    made.moved(waiting, 0.5, tokens=3)
    made.placement.backlogs.receive("other", {"s0": 1e6, "s1": 1e6}, 0.5)
    assert made.next_dispatch(0.5) is not None
