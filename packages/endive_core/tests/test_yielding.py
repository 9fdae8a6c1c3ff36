"""Prompts that miss their target anyway yield to those that can still meet it."""

from collections import deque

import pytest
from core_builders import call, dispatch_all, scheduler
from endive_core.backlogs import Backlogs
from endive_core.exceptions import RetryReason

TARGET_S = 0.4


def single_server(**limits):
    """Return a scheduler with one server that computes 20,000 tokens a second."""
    made = scheduler(servers=1, slots=256, admission_margin=1.0, **limits)
    made.placement.backlogs = Backlogs()
    return made


@pytest.fixture
def made():
    return single_server()


def send(made, tokens, number=0, now=0.0, **more):
    made.offer(call(number, prompt_tokens=tokens, target_s=TARGET_S, **more), now)
    return dispatch_all(made, now)[0].ticket


def test_no_prompt_yields_at_an_idle_server(made):
    """A prompt whose own computation takes two seconds misses its target in any case.
    If it yielded, its caller would wait longest of all, on every call."""
    assert not send(made, 40_000).yields


def test_a_prompt_behind_a_long_one_yields(made):
    """A long prompt occupies the only server for a second. What arrives now is late,
    and should not make further prompts late."""
    send(made, 20_000)
    assert send(made, 1_000, number=1).yields


def test_a_yielding_prompt_delays_no_other(made):
    """After a reclaim one server has work for seconds. If the late prompts yield, a new
    one is in time as soon as the others are computed."""
    first = send(made, 14_000)
    late = [send(made, 10_000, number=n) for n in range(1, 6)]
    assert all(ticket.yields for ticket in late)
    made.started(first, 0.7)
    assert not send(made, 2_000, number=9, now=0.7).yields


def simulate_overload(made):
    """Send twice what the server can do for four seconds; return callers in time.

    The server computes the prompts that don't yield in order, 0.1 s each.
    """
    computing, in_time = deque(), 0
    free_at = 0.0
    for number in range(80):
        now = number * 0.05
        ticket = send(made, 2_000, number=number, now=now)
        if not ticket.yields:
            computing.append((now, ticket))
        while computing and max(free_at, computing[0][0]) + 0.1 <= now + 0.05:
            arrived_at, running = computing.popleft()
            free_at = max(free_at, arrived_at) + 0.1
            made.started(running, free_at)
            in_time += free_at - arrived_at <= TARGET_S
    return in_time


def test_in_overload_half_of_the_callers_are_in_time():
    """For four seconds one server gets twice the work it can do. In order of arrival
    all but the first callers are late: seven of 80 are in time. If those that will be
    late yield, 39 are."""
    in_order, with_yielding = (
        simulate_overload(single_server(yield_wait_part=limit)) for limit in (1e9, 0.25)
    )
    assert in_order <= 8
    assert with_yielding >= 34


def test_a_retried_prompt_does_not_yield(made):
    """Its caller has lost one server already, and is late by that alone."""
    first = send(made, 20_000)
    again = send(made, 1_000, number=1)
    assert again.yields
    made.failed(again, 0.1, RetryReason.SERVER_BUSY, started=False)
    made.report("s0", 1, 0, as_of=0.1)
    made.requeue(again)
    (sent,) = dispatch_all(made, 5.0)
    assert sent.ticket is again
    assert not again.yields
    for ticket in (first, again):
        made.cancelled(ticket, 5.0)
    server = made.servers.servers["s0"]
    assert (server.starting_tokens, server.yielding_tokens) == (0.0, 0.0)


def test_started_prompts_leave_no_tokens_counted(made):
    tickets = [send(made, 9_000, number=n) for n in range(4)]
    server = made.servers.servers["s0"]
    assert server.yielding_tokens == sum(t.uncached_tokens for t in tickets if t.yields)
    for ticket in tickets:
        made.started(ticket, 1.0)
    assert (server.starting_tokens, server.yielding_tokens) == (0.0, 0.0)


def test_the_wait_of_a_yielding_prompt_does_not_count_as_server_latency(made):
    """Long prompts yield and wait for seconds. Counted as the engine's own latency,
    this would make the server look slow, and servers would be ordered without need."""
    send(made, 20_000)
    late = send(made, 8_000, number=1)
    before = made.admission.rate.start_s
    made.started(late, 9.0)
    assert late.yields
    assert made.admission.rate.start_s == before
    assert made.servers.servers["s0"].samples == 0


def test_a_prompt_that_would_miss_its_deadline_behind_the_others_is_refused(made):
    """Yielding prompts are still work. Sent behind ten seconds of them, a caller would
    disconnect before the first token."""
    send(made, 20_000)
    for number in range(1, 11):
        send(made, 20_000, number=number)
    made.offer(
        call(99, prompt_tokens=1_000, target_s=TARGET_S, deadline=3.0),
        0.0,
    )
    assert not dispatch_all(made, 0.0)
    (refused,) = made.take_expired()
    assert refused.refusal.retry_after_s > 0


def test_no_prompt_yields_if_backlogs_are_not_shared():
    one = scheduler(servers=1, slots=64)
    send(one, 20_000)
    assert not send(one, 1_000, number=1).yields


def test_yielding_tokens_are_scaled_to_a_nodes_part():
    """Eighty nodes share forty servers. If a node multiplied its one yielding prompt at
    a server by eighty, it would refuse the next callers, although the server is free
    within a second."""
    many = scheduler(servers=40, slots=64)
    many.placement.backlogs = Backlogs()
    many.set_nodes(80)
    for server in many.servers.servers.values():
        many.servers.adjust_prefill_backlog(server, 1, 20_000.0, yields=False)
    late = send(many, 10_000)
    assert late.yields
    server = many.servers.servers[late.server]
    assert 10_000 < many.servers.yielding_tokens_at(server) < 40_000


def test_yielding_prompts_of_a_removed_server_do_not_count(made):
    """The server at which all yielding prompts wait is reclaimed. If they still
    counted, callers would be refused for work that is gone."""
    send(made, 20_000)
    late = send(made, 10_000, number=1)
    made.set_servers([])
    made.cancelled(late, 1.0)
    assert made.servers.yielding_total == 0.0
