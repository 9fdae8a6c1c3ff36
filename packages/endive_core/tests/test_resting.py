import pytest
from core_builders import call, dispatch_all, scheduler
from endive_core.calls import Refusal, Tier
from endive_core.exceptions import ErrorKind, RetryReason
from endive_core.resting import RestTimes

REST_S = 3.0


def rest(made, servers, until=REST_S, others=()):
    made.resting.set_times(
        RestTimes(dict.fromkeys(servers, until), dict.fromkeys(others, until)), 0.0
    )


def offer(made, number, now, **options):
    """Offer a call and return it with the servers to which calls are sent then."""
    offered = made.offer(call(number, **options), now)
    return offered, [dispatch.server for dispatch in dispatch_all(made, now)]


def test_a_resting_server_gets_nothing_and_the_others_all():
    made = scheduler(servers=3, slots=8)
    rest(made, ["s0"])
    sent = [offer(made, n, 0.1)[1] for n in range(12)]
    assert {server for servers in sent for server in servers} == {"s1", "s2"}


def test_no_probe_is_sent_to_a_resting_server():
    """A slow server gets a probe from time to time, past the usual choice."""
    made = scheduler(servers=3, slots=8)
    slow = made.servers.servers["s0"]
    made.outliers._mark(slow, True, 0.0)
    rest(made, ["s0"])
    sent = [offer(made, n, 2.9) for n in range(6)]
    assert all(servers != ["s0"] for _, servers in sent)


def test_after_a_rest_one_request_is_sent_and_more_as_they_are_answered():
    made = scheduler(servers=1, slots=8)
    rest(made, ["s0"])
    tickets, counts = [], []
    for number in range(12):
        tickets.append(made.offer(call(number, target_s=30.0), 2.9))
    now = REST_S
    for _ in range(4):
        sent = [dispatch.ticket for dispatch in dispatch_all(made, now)]
        counts.append(len(sent))
        for ticket in sent:
            made.started(ticket, now)
            made.finished(ticket, now)
        now += 0.01
    assert counts[:3] == [1, 2, 4]
    assert made.servers.servers["s0"].ramp is None


def test_a_call_that_cannot_wait_for_the_rest_is_refused_at_once():
    made = scheduler(servers=2)
    rest(made, ["s0", "s1"])
    refused, _ = offer(made, 1, 0.5, target_s=0.4)
    assert isinstance(refused, Refusal)
    assert refused.kind is ErrorKind.OVERLOADED
    assert refused.retry_after_s >= REST_S - 0.5


def test_refused_callers_are_not_all_told_the_same_time():
    made = scheduler(servers=1)
    rest(made, ["s0"])
    told = [
        offer(made, n, 0.5, target_s=0.4, fingerprint=f"f{n}")[0].retry_after_s
        for n in range(60)
    ]
    limit_s = REST_S - 0.5 + made.policy.max_retry_after_s
    assert all(REST_S - 0.5 <= at <= limit_s for at in told)
    assert max(told) - min(told) > 0.5


def test_callers_whose_deadline_comes_before_the_end_are_not_told_the_same_time():
    """All were told the end of the rest, and would have returned in one moment."""
    made = scheduler(servers=2)
    rest(made, ["s0", "s1"])
    refusals = [
        offer(made, n, 0.5, deadline=2.0, fingerprint=f"f{n}")[0] for n in range(20)
    ]
    assert {refusal.kind for refusal in refusals} == {ErrorKind.OVERLOADED}
    told = [refusal.retry_after_s for refusal in refusals]
    assert min(told) >= REST_S - 0.5
    assert len(set(told)) == len(told)


def test_a_call_that_can_wait_is_sent_when_the_rest_is_over():
    made = scheduler(servers=1)
    rest(made, ["s0"], until=0.3)
    ticket, sent = offer(made, 1, 0.1, target_s=1.0)
    assert sent == []
    assert [dispatch.ticket for dispatch in dispatch_all(made, 0.31)] == [ticket]


def test_a_queued_call_expires_at_once_when_all_servers_begin_to_rest():
    made = scheduler(servers=1, slots=1, max_bulk_wait_s=1e6)
    offer(made, 1, 0.0)
    waiting, _ = offer(made, 2, 0.0, bulk=True, deadline=20.0)
    rest(made, ["s0"], until=21.0)
    made.next_dispatch(0.1)
    assert made.take_expired() == [waiting]
    assert waiting.refusal.retry_after_s >= 20.9


def test_a_rest_teaches_nothing_about_the_queue():
    """Errors of predicted waits would keep calls from being admitted after it."""
    made = scheduler(servers=1, slots=1, max_bulk_wait_s=1e6)
    offer(made, 1, 0.0)
    waiting, _ = offer(made, 2, 0.0, target_s=9.0)
    rest(made, ["s0"])
    made.next_dispatch(0.1)
    (running,) = made.running["s0"]
    made.finished(running, 1.0)
    before = made.admission.wait_errors[Tier.WITHIN_SHARE].allowance_s(1.0)
    assert [d.ticket for d in dispatch_all(made, REST_S)] == [waiting]
    assert made.admission.wait_errors[Tier.WITHIN_SHARE].allowance_s(1.0) == before


def test_being_turned_away_for_a_rest_counts_as_no_failure():
    made = scheduler(servers=2)
    ticket, (server,) = offer(made, 1, 0.0)
    made.failed(ticket, 0.0, RetryReason.SERVER_RESTING, started=False)
    load = made.servers.servers[server]
    assert (load.failures, load.paused, load.samples) == (0, False, 0)
    assert ticket.avoid == set()
    assert load.has_free_slots(Tier.WITHIN_SHARE)


def test_the_last_resting_server_does_not_close_the_service():
    made = scheduler(servers=2)
    rest(made, ["s0", "s1"], until=0.2)
    made.next_dispatch(0.1)
    assert made.expiry.no_server_since is None


@pytest.mark.parametrize("others_full", [False, True])
def test_a_server_that_turns_other_nodes_away_is_used_only_without_another(
    others_full,
):
    made = scheduler(servers=3, slots=2)
    rest(made, [], others=["s0"])
    sent = [offer(made, n, 0.1)[1] for n in range(6 if others_full else 3)]
    assert (["s0"] in sent) is others_full


def test_a_rest_that_is_forgotten_when_it_is_over_still_ends_bit_by_bit():
    """The node may forget it before the scheduler has seen its end."""
    made = scheduler(servers=1, slots=8)
    rest(made, ["s0"])
    made.resting.set_times(RestTimes({}, {}), REST_S + 0.1)
    sent = [offer(made, n, REST_S + 0.1, target_s=30.0)[1] for n in range(4)]
    assert sent == [["s0"], [], [], []]


def test_a_server_that_is_removed_and_added_again_still_rests():
    made = scheduler(servers=2)
    rest(made, ["s0"])
    views = [server.view for server in made.servers.servers.values()]
    made.set_servers(views[1:])
    made.set_servers(views)
    made.resting.set_times(made.resting.times, 0.5)
    assert not made.servers.has_room(made.servers.servers["s0"], Tier.WITHIN_SHARE)
