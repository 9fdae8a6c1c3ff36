import pytest
from core_builders import call
from endive_core.calls import Stage, Ticket
from endive_core.queueing import FairQueue


def ticket(number, organisation="org", *, tokens=100, **more):
    return Ticket(
        call(number, organisation=organisation, **more), 0.0, cost=float(tokens)
    )


def drain(queue):
    order = []
    while (head := next(queue.heads(1), None)) is not None:
        queue.pop(head)
        order.append(head)
    return order


def test_batch_does_not_delay_another_organisation():
    """One organisation has 1,000 calls queued when another sends a single one. A
    first-come, first-served queue would serve that one last."""
    queue = FairQueue()
    for number in range(1000):
        queue.push(ticket(number, "batch"))
    queue.pop(next(queue.heads(1)))
    lone_call = ticket(1000, "single")
    queue.push(lone_call)
    assert lone_call in drain(queue)[:2]


def test_tokens_not_calls_are_shared():
    queue = FairQueue({"long": 1.0, "short": 1.0})
    for number in range(40):
        queue.push(ticket(number, "long", tokens=400))
        queue.push(ticket(number, "short", tokens=100))
    first = drain(queue)[:25]
    assert sum(t.call.organisation == "short" for t in first) == 20


def test_higher_priority_goes_first_and_bulk_last():
    queue = FairQueue()
    bulk, normal = ticket(0, level=100, bulk=True), ticket(1)
    high = ticket(2, level=10)
    for queued in (bulk, normal, high):
        queue.push(queued)
    assert drain(queue) == [high, normal, bulk]


def test_idle_time_is_not_saved_up():
    queue = FairQueue()
    for number in range(10):
        queue.push(ticket(number, "busy"))
    drain(queue)
    for number in range(10):
        queue.push(ticket(number, "late"))
        queue.push(ticket(number, "busy"))
    first = [t.call.organisation for t in drain(queue)[:10]]
    assert first.count("busy") >= 4


def test_cancelled_ticket_is_skipped_and_forgotten():
    queue = FairQueue()
    gone, kept = ticket(0), ticket(1)
    queue.push(gone)
    queue.push(kept)
    queue.cancel(gone)
    gone.stage = Stage.ENDED
    assert queue.tokens_ahead(0, "org") == 100
    assert drain(queue) == [kept]
    assert len(queue) == 0


def test_tokens_ahead_of_a_newcomer_leave_out_the_batch():
    queue = FairQueue()
    for number in range(1000):
        queue.push(ticket(number, "batch"))
    assert queue.tokens_ahead(0, "single") == 0
    assert queue.tokens_ahead(0, "batch") == 100_000


@pytest.mark.parametrize("cancelled", [False, True])
def test_an_empty_queue_holds_up_no_call(cancelled):
    """A node refused prompts for good: a rest of 1e-11 tokens counted as a queue."""
    queue = FairQueue()
    tickets = [
        ticket(number, tokens=cost) for number, cost in enumerate((0.1, 0.7, 0.3))
    ]
    for queued in tickets:
        queue.push(queued)
    if cancelled:
        for queued in tickets:
            queue.cancel(queued)
    else:
        drain(queue)
    assert queue.tokens_ahead(0, "org") == 0
    assert queue.tokens_ahead(0, "other") == 0
    assert queue.tokens_ahead(-1, "org") == 0
