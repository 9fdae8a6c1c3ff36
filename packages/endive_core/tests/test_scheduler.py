from itertools import pairwise

from core_builders import call, dispatch_all, scheduler
from endive_core.calls import Refusal, Retry, Stage
from endive_core.exceptions import ErrorKind, RetryReason
from endive_core.retry_after import TURN_PERIOD, TURN_S, is_turn


def test_call_is_sent_to_a_server_with_room():
    made = scheduler()
    ticket = made.offer(call(), 0.0)
    (dispatch,) = dispatch_all(made)
    assert dispatch.ticket is ticket
    assert dispatch.server in made.servers.servers
    made.started(ticket, 0.1)
    made.finished(ticket, 1.1, tokens=50)
    assert ticket.stage is Stage.ENDED
    assert made.servers.own_in_flight == 0


def test_overload_is_refused_at_once_with_growing_times_to_come_back():
    """A broker sends 200 calls at once to a node whose servers run 8 at a time. Those
    beyond what the target allows are refused now, and are told times that move back
    with each of them, every one in its caller's own turn."""
    made = scheduler()
    calls = [call(number, fingerprint=f"f{number}") for number in range(200)]
    answers = [(c, made.offer(c, 0.0)) for c in calls]
    refused = [(c, a) for c, a in answers if isinstance(a, Refusal)]
    times = [refusal.retry_after_s for _, refusal in refused]
    assert len(times) > 150
    assert all(is_turn(c.fingerprint, a.retry_after_s) for c, a in refused)
    period = TURN_S * TURN_PERIOD
    assert all(later > earlier - period for earlier, later in pairwise(times))
    assert min(times[-20:]) > max(times[:20])
    assert made.refusals[ErrorKind.OVERLOADED] == len(times)


def test_no_server_is_said_when_all_zones_are_under_notice():
    made = scheduler()
    made.leaving_zone("z0")
    made.leaving_zone("z1")
    assert made.offer(call(), 0.0).kind is ErrorKind.NO_SERVER


def test_failed_call_goes_to_another_server():
    made = scheduler()
    ticket = made.offer(call(), 0.0)
    first = made.next_dispatch(0.0).server
    verdict = made.failed(ticket, 0.1, RetryReason.CONNECT_FAILED, started=False)
    assert isinstance(verdict, Retry)
    made.requeue(ticket)
    assert made.next_dispatch(0.2).server != first


def test_non_idempotent_call_is_not_sent_again_after_it_may_have_run():
    """The server of a court confirmation dies without an answer. A second confirmation
    would book twice, so the caller is told that the outcome is unknown."""
    made = scheduler()
    ticket = made.offer(call(non_idempotent=True), 0.0)
    made.next_dispatch(0.0)
    verdict = made.failed(ticket, 0.1, RetryReason.SERVER_FAILED, started=True)
    assert verdict.kind is ErrorKind.OUTCOME_UNKNOWN
