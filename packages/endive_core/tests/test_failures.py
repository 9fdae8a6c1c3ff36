from core_builders import call, dispatch_all, scheduler
from endive_core.calls import Refusal, Retry
from endive_core.crash_news import CrashNews
from endive_core.crashes import Crash
from endive_core.exceptions import ErrorKind, RetryReason


def start(made, count, now=0.0):
    sent = []
    for number in range(count):
        made.offer(call(number, fingerprint=f"f{number}"), now)
        sent += dispatch_all(made, now)
    return [dispatch.ticket for dispatch in sent]


def test_outage_does_not_multiply_the_load():
    """Every server fails every request. Without a retry budget each call would be sent
    four times, and the servers could not recover."""
    made = scheduler(servers=8, slots=32, retry_burst=2)
    tickets = start(made, 40)
    verdicts = [
        made.failed(t, 0.1, RetryReason.SERVER_FAILED, started=True) for t in tickets
    ]
    retried = sum(isinstance(verdict, Retry) for verdict in verdicts)
    assert 0 < retried < 0.6 * len(tickets)
    assert made.refusals[ErrorKind.RETRY_BUDGET_SPENT] > 0
    assert sum(made.refusals.values()) == len(tickets) - retried
    assert made.retries[RetryReason.SERVER_FAILED] == retried


def test_retries_are_jittered():
    made = scheduler(servers=8, slots=32)
    tickets = start(made, 10)
    delays = {
        made.failed(t, 0.1, RetryReason.CONNECT_FAILED, started=False).delay_s
        for t in tickets
    }
    assert len(delays) == len(tickets)


def test_request_that_crashed_two_servers_is_refused_wherever_it_comes():
    """A request crashes each server that runs it. Its caller sends it again to another
    node, which knows of the crashes only from the first node."""
    made = scheduler(servers=4, slots=8)
    news = CrashNews(made.crashes)
    ticket = made.offer(call(fingerprint="bad"), 0.0)
    for crash in ("s0@1", "s1@1"):
        made.next_dispatch(0.0)
        verdict = made.failed(
            ticket, 0.0, RetryReason.SERVER_FAILED, started=True, crashed=crash
        )
        if isinstance(verdict, Retry):
            made.requeue(ticket)
    assert verdict.kind is ErrorKind.POISON_REQUEST
    other = scheduler()
    other.crashes.merge(news.take(1.0, limit=10, receivers=1))
    assert other.offer(call(fingerprint="bad"), 1.0).kind is ErrorKind.POISON_REQUEST
    assert not isinstance(other.offer(call(fingerprint="good"), 1.0), Refusal)


def test_running_streams_are_not_suspected_if_another_request_was_starting():
    made = scheduler(servers=1, slots=8, admission_margin=1.0)
    streaming, starting = start(made, 2)
    made.started(streaming, 0.1)
    for ticket in (starting, streaming):
        made.failed(
            ticket, 0.2, RetryReason.SERVER_FAILED, started=True, crashed="s0@1"
        )
    assert made.crashes.count(starting.call.fingerprint, 1.0) == 1
    assert made.crashes.count(streaming.call.fingerprint, 1.0) == 0


def test_a_crash_counts_though_the_server_was_taken_for_crashed_before():
    """Only the requests that ran at the first report were ever suspected."""
    made = scheduler(servers=1, slots=8, admission_margin=1.0)
    (first,) = start(made, 1)
    made.failed(first, 0.2, RetryReason.SERVER_FAILED, started=True, crashed="s0@1")
    made.next_dispatch(5.0)
    later = made.offer(call(2, fingerprint="bad"), 5.0)
    made.next_dispatch(5.0)
    made.failed(later, 5.2, RetryReason.SERVER_FAILED, started=True, crashed="s0@1")
    assert made.crashes.count("bad", 5.3) == 1


def test_a_request_that_was_sent_before_a_crash_was_reported_is_not_suspected():
    made = scheduler(servers=1, slots=8, admission_margin=1.0)
    streaming, starting = start(made, 2)
    made.started(streaming, 0.1)
    made.failed(starting, 0.2, RetryReason.SERVER_FAILED, started=True, crashed="s0@1")
    made.failed(streaming, 0.3, RetryReason.SERVER_FAILED, started=True, crashed="s0@1")
    assert made.crashes.count(streaming.call.fingerprint, 1.0) == 0


def test_the_end_of_a_reclaimed_server_is_not_counted_as_a_crash():
    made = scheduler(servers=2, slots=8)
    (ticket,) = start(made, 1)
    made.leaving(ticket.server)
    made.failed(ticket, 0.2, RetryReason.SERVER_FAILED, started=True, crashed="s0@1")
    assert made.crashes.count(ticket.call.fingerprint, 1.0) == 0


def test_crashes_expire_and_one_crash_is_counted_once():
    made = scheduler(crash_memory_s=60.0)
    for at in (0.0, 1.0):
        made.crashes.add(Crash("f", "s0@1", at))
    assert made.crashes.count("f", 2.0) == 1
    assert made.crashes.count("f", 100.0) == 0
