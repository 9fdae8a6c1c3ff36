import pytest
from core_builders import call, dispatch_all, scheduler
from endive_core.backlogs import Backlogs
from endive_core.calls import Stage
from endive_core.crashes import Crash
from endive_core.exceptions import ErrorKind


def hold_all_slots(made):
    made.offer(call(1), 0.0)
    assert len(dispatch_all(made)) == 1


def test_queued_calls_expire_when_no_server_is_left():
    made = scheduler(servers=1, slots=1, max_bulk_wait_s=1e6)
    hold_all_slots(made)
    waiting = made.offer(call(9, bulk=True), 0.0)
    made.leaving("s0")
    assert made.next_dispatch(1.0) is None
    assert made.take_expired() == []
    made.next_dispatch(7.0)
    assert made.take_expired() == [waiting]
    assert waiting.refusal.kind is ErrorKind.NO_SERVER


def test_a_queued_call_expires_once_its_deadline_has_passed():
    made = scheduler(servers=1, slots=1, max_bulk_wait_s=1e6)
    hold_all_slots(made)
    waiting = made.offer(call(9, bulk=True, deadline=5.0), 0.0)
    made.next_dispatch(4.9)
    assert made.take_expired() == []
    made.next_dispatch(5.0)
    assert made.take_expired() == [waiting]
    assert waiting.refusal.kind is ErrorKind.DEADLINE_EXCEEDED
    assert waiting.stage is Stage.ENDED


def test_the_queue_of_a_deleted_service_expires_at_once():
    made = scheduler(servers=1, slots=1, max_bulk_wait_s=1e6)
    hold_all_slots(made)
    waiting = made.offer(call(9, bulk=True), 0.0)
    made.close()
    assert made.take_expired() == [waiting]
    assert made.take_expired() == []
    assert made.refusals[ErrorKind.NO_SERVER] == 1


def scheduler_with_backlog(seconds):
    """Return a scheduler whose two servers have work from other nodes for `seconds`."""
    made = scheduler(servers=2, slots=64)
    made.placement.backlogs = Backlogs()
    tokens = 20_000.0 * seconds
    made.placement.backlogs.receive("other", {"s0": tokens, "s1": tokens}, 0.0)
    return made


def test_a_prompt_that_no_server_can_begin_in_time_is_refused_at_once():
    """After reclaims the remaining servers have three seconds of prompts queued. A
    caller with a deadline of two seconds would wait in vain, and its prompt would delay
    the next callers."""
    made = scheduler_with_backlog(3.0)
    waiting = made.offer(call(deadline=2.0), 0.0)
    assert made.next_dispatch(0.0) is None
    assert made.take_expired() == [waiting]
    assert waiting.refusal.kind is ErrorKind.DEADLINE_EXCEEDED
    assert waiting.refusal.retry_after_s == pytest.approx(1.0, abs=0.1)


def test_a_prompt_that_can_be_begun_in_time_is_sent_though_it_waits():
    made = scheduler_with_backlog(3.0)
    made.offer(call(deadline=3.5), 0.0)
    assert made.next_dispatch(0.0) is not None


def test_a_prompt_is_not_refused_while_any_server_can_begin_it_in_time():
    """All servers but one have three seconds of work, and that one is not among the few
    candidates of a call. Its caller would be refused although a server is idle."""
    made = scheduler(servers=40, slots=64)
    made.placement.backlogs = Backlogs()
    tokens = {f"s{number}": 60_000.0 for number in range(40) if number != 17}
    made.placement.backlogs.receive("other", tokens, 0.0)
    for number in range(20):
        made.offer(call(number, deadline=2.0), 0.0)
    assert {dispatch.server for dispatch in dispatch_all(made)} == {"s17"}
    assert made.take_expired() == []


def test_a_call_sent_before_is_not_refused_for_a_late_server():
    """A server breaks off an answer that has begun. The caller that waits for the rest
    must get it late rather than never."""
    made = scheduler_with_backlog(0.0)
    waiting = made.offer(call(deadline=2.0), 0.0)
    dispatch_all(made)
    made.moved(waiting, 0.5, tokens=3)
    made.placement.backlogs.receive("other", {"s0": 1e6, "s1": 1e6}, 0.5)
    assert made.next_dispatch(0.5) is not None


def test_a_queued_call_that_has_crashed_two_servers_meanwhile_is_refused():
    """Its caller sent it to several nodes. Otherwise it crashes a third server as soon
    as one has room."""
    made = scheduler(servers=1, slots=1, max_bulk_wait_s=1e6)
    hold_all_slots(made)
    queued = made.offer(call(9, bulk=True, fingerprint="f"), 0.0)
    for crash in ("s0@1", "s1@1"):
        made.crashes.add(Crash("f", crash, 0.5))
    assert made.next_dispatch(1.0) is None
    assert made.take_expired() == [queued]
    assert queued.refusal.kind is ErrorKind.POISON_REQUEST
    assert len(made.queue) == 0
