from itertools import pairwise

import pytest
from core_builders import call, dispatch_all, scheduler
from endive_core.calls import Refusal, Retry, Stage, Ticket
from endive_core.exceptions import ErrorKind, RetryReason
from endive_core.retry_after import PERIOD_WINDOWS, WINDOW_S, in_window
from endive_core.servers import MAX_REPORT_EXPIRY_S


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


def test_a_node_without_a_queue_admits_calls_after_long_waits():
    """It added its wait errors to each prediction, and went on refusing."""
    made = scheduler()
    made.admission.rate.answer_share = 0.1 / 3
    calls = [call(n, prompt_tokens=n + 1, target_s=60.0) for n in range(3)]
    sent = [made.offer(queued, 0.0) for queued in calls]
    dispatch_all(made)
    for ticket in sent:
        made.cancelled(ticket, 0.0)
    for _ in range(50):
        made.admission.waited(sent[0], 3.0)
    assert not isinstance(made.offer(call(9), 0.0), Refusal)


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


def fill_all_servers(made, now=0.0):
    for server_id in made.servers.servers:
        made.report(server_id, 6, 4, as_of=now)


@pytest.mark.parametrize("nodes", [1, 24, 195])
def test_a_node_whose_servers_were_all_full_serves_again(nodes):
    """Each server's last report shows it as full, and this node has no request there.
    Since servers report their load with their responses, it would get no other report,
    and refuse all requests for good."""
    made = scheduler(servers=3, slots=6)
    made.set_nodes(nodes)
    fill_all_servers(made)
    assert isinstance(made.offer(call(1, deadline=1.5), 0.5), Refusal)
    admitted = made.offer(call(2, deadline=9.0), MAX_REPORT_EXPIRY_S + 0.1)
    assert not isinstance(admitted, Refusal)
    assert len(dispatch_all(made, MAX_REPORT_EXPIRY_S + 0.1)) == 1


def test_a_server_that_was_full_is_tried_with_one_request():
    """If a node sent as many as the server has slots, 195 nodes would overrun it."""
    made = scheduler(servers=1, slots=6)
    made.set_nodes(195)
    fill_all_servers(made)
    now = MAX_REPORT_EXPIRY_S + 0.1
    for number in range(4):
        made.offer(call(number, deadline=now + 30.0, target_s=30.0), now)
    assert len(dispatch_all(made, now)) == 1
    assert not dispatch_all(made, now + MAX_REPORT_EXPIRY_S)


def test_a_server_that_refused_a_request_is_not_tried_again_at_once():
    """A refusal says that the server is full now, however old its last report is."""
    made = scheduler(servers=1, slots=6)
    made.report("s0", 5, 0, as_of=0.0)
    made.servers.mark_full(made.servers.servers["s0"], 100.0)
    made.offer(call(1, deadline=200.0, target_s=30.0), 100.1)
    assert not dispatch_all(made, 100.1)


def hang_all_servers(made, seconds):
    """Let each of sixty calls get its first token after `seconds`."""
    tickets = [
        made.offer(call(n, deadline=900.0, target_s=300.0), 0.0) for n in range(60)
    ]
    dispatch_all(made)
    for ticket in tickets:
        made.started(ticket, seconds)
        made.finished(ticket, seconds + 0.1)


def test_a_node_whose_servers_hung_serves_again():
    """All servers hung for 20 s. The learned time to start a call then exceeds every
    deadline; a node that refused each call because of it would never learn better."""
    made = scheduler(servers=3, slots=64)
    hang_all_servers(made, 20.0)
    assert isinstance(made.offer(call(1, deadline=24.0), 21.0), Refusal)
    admitted = made.offer(call(2, deadline=26.0), 23.0)
    assert not isinstance(admitted, Refusal)
    assert len(dispatch_all(made, 23.0)) == 1


def test_servers_that_may_still_hang_get_one_call_at_a_time():
    """If they do, each call admitted meanwhile would miss its deadline too."""
    made = scheduler(servers=3, slots=64)
    hang_all_servers(made, 20.0)
    made.offer(call(1, deadline=26.0), 23.0)
    dispatch_all(made, 23.0)
    assert isinstance(made.offer(call(2, deadline=26.0), 23.0), Refusal)


def test_a_paused_server_gets_work_again_though_all_calls_are_refused():
    """A node whose other servers were full refused each call, also long after the
    pause was over: only what is dispatched ended pauses."""
    made = scheduler(servers=2, slots=1)
    made.admission.rate.held_s = 10.0
    made.pause("s0", 0.0)
    made.report("s1", 1, 20, as_of=0.0)
    assert made.offer(call(target_s=0.3), 0.1).kind is ErrorKind.OVERLOADED
    made.report("s1", 1, 20, as_of=5.0)
    assert isinstance(made.offer(call(1, target_s=0.3), 5.1), Ticket)


def test_a_marked_server_gets_work_again_though_all_calls_are_refused():
    """The same for servers that were marked as slow or ejected."""
    made = scheduler(servers=2, slots=1)
    made.admission.rate.held_s = 10.0
    for server in made.servers.servers.values():
        made.outliers._mark(server, True, 0.0)
    assert isinstance(made.offer(call(target_s=0.3), 5.0), Ticket)
