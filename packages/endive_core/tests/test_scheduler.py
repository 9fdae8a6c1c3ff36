from itertools import pairwise

from core_builders import call, dispatch_all, scheduler
from endive_core.calls import Refusal, Retry, Stage
from endive_core.exceptions import ErrorKind, RetryReason
from endive_core.retry_after import PERIOD_WINDOWS, WINDOW_S, in_window


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


def test_overload_is_refused_at_once_with_increasing_retry_times():
    """200 calls arrive at once at a node whose servers run 8 at a time. Those beyond
    what the latency target allows are refused at once with increasing retry times, each
    in its call's own window."""
    made = scheduler()
    calls = [call(number, fingerprint=f"f{number}") for number in range(200)]
    answers = [(c, made.offer(c, 0.0)) for c in calls]
    refused = [(c, a) for c, a in answers if isinstance(a, Refusal)]
    times = [refusal.retry_after_s for _, refusal in refused]
    assert len(times) > 150
    assert all(in_window(c.fingerprint, a.retry_after_s) for c, a in refused)
    period = WINDOW_S * PERIOD_WINDOWS
    assert all(later > earlier - period for earlier, later in pairwise(times))
    assert min(times[-20:]) > max(times[:20])
    assert made.refusals[ErrorKind.OVERLOADED] == len(times)


def test_no_server_is_reported_when_all_zones_are_under_notice():
    made = scheduler()
    made.leaving_zone("z0")
    made.leaving_zone("z1")
    assert made.offer(call(), 0.0).kind is ErrorKind.NO_SERVER


def test_failed_call_goes_to_another_server():
    made = scheduler()
    ticket = made.offer(call(), 0.0)
    first = made.next_dispatch(0.0).server
    decision = made.failed(ticket, 0.1, RetryReason.CONNECT_FAILED, started=False)
    assert isinstance(decision, Retry)
    made.requeue(ticket)
    assert made.next_dispatch(0.2).server != first


def test_non_idempotent_call_is_not_sent_again_after_it_may_have_run():
    """The server of a non-idempotent call dies without an answer. Running the call
    twice would do harm, such as a double booking, so the caller is told that the
    outcome is unknown."""
    made = scheduler()
    ticket = made.offer(call(non_idempotent=True), 0.0)
    made.next_dispatch(0.0)
    decision = made.failed(ticket, 0.1, RetryReason.SERVER_FAILED, started=True)
    assert decision.kind is ErrorKind.OUTCOME_UNKNOWN
