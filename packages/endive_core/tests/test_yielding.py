"""Prompts that come late anyway go behind those that can still be in time."""

from collections import deque

import pytest
from core_builders import call, dispatch_all, scheduler
from endive_core.backlogs import Backlogs
from endive_core.exceptions import RetryReason

TARGET_S = 0.4


def lone_server(**limits):
    """Return the scheduler of one server that reads 20,000 tokens a second."""
    made = scheduler(servers=1, slots=256, admission_margin=1.0, **limits)
    made.placement.backlogs = Backlogs()
    return made


@pytest.fixture
def made():
    return lone_server()


def send(made, tokens, number=0, now=0.0, **more):
    made.offer(call(number, prompt_tokens=tokens, target_s=TARGET_S, **more), now)
    return dispatch_all(made, now)[0].ticket


def test_an_idle_server_puts_no_prompt_back(made):
    """A prompt whose own computation takes two seconds misses its target whatever is
    done. Behind all others its caller would wait for the longest, each time."""
    assert not send(made, 40_000).yields


def test_a_prompt_behind_a_long_one_yields(made):
    """A long prompt holds the only server for a second. What comes now is late, and
    whoever waits with it should not be made late too."""
    send(made, 20_000)
    assert send(made, 1_000, number=1).yields


def test_what_yields_holds_nobody_up(made):
    """After a reclaim one server has work for seconds. Once the late ones stand back, a
    caller who comes when the others are read is in time."""
    first = send(made, 14_000)
    late = [send(made, 10_000, number=n) for n in range(1, 6)]
    assert all(ticket.yields for ticket in late)
    made.started(first, 0.7)
    assert not send(made, 2_000, number=9, now=0.7).yields


def play_overload(made):
    """Send twice what the server can do for four seconds; return callers in time.

    The server reads the prompts that don't give way in turn, 0.1 s each.
    """
    reading, in_time = deque(), 0
    free_at = 0.0
    for number in range(80):
        now = number * 0.05
        ticket = send(made, 2_000, number=number, now=now)
        if not ticket.yields:
            reading.append((now, ticket))
        while reading and max(free_at, reading[0][0]) + 0.1 <= now + 0.05:
            came, begun = reading.popleft()
            free_at = max(free_at, came) + 0.1
            made.started(begun, free_at)
            in_time += free_at - came <= TARGET_S
    return in_time


def test_in_overload_half_of_the_callers_are_in_time():
    """Twice the work that one server can do comes for four seconds. Taken in turn, all
    but the first callers are late: seven of 80 are in time. Where those that will be
    late stand back, 39 are."""
    in_turn, with_way = (
        play_overload(lone_server(yield_wait_part=limit)) for limit in (1e9, 0.25)
    )
    assert in_turn <= 8
    assert with_way >= 34


def test_a_further_attempt_does_not_give_way(made):
    """Its caller has lost one server already and is late by that alone."""
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


def test_what_is_counted_is_taken_off_again(made):
    tickets = [send(made, 9_000, number=n) for n in range(4)]
    server = made.servers.servers["s0"]
    assert server.yielding_tokens == sum(t.uncached_tokens for t in tickets if t.yields)
    for ticket in tickets:
        made.started(ticket, 1.0)
    assert (server.starting_tokens, server.yielding_tokens) == (0.0, 0.0)


def test_a_wait_behind_others_says_nothing_of_the_server(made):
    """Long prompts give way and wait for seconds. Taken for the engine's own time, they
    would make it look slow, and servers would be ordered that nobody needs."""
    send(made, 20_000)
    late = send(made, 8_000, number=1)
    before = made.admission.rate.start_s
    made.started(late, 9.0)
    assert late.yields
    assert made.admission.rate.start_s == before
    assert made.servers.servers["s0"].samples == 0


def test_what_would_come_after_its_deadline_behind_the_others_is_refused(made):
    """Late prompts stand back, but are work all the same. Sent behind ten seconds of
    them, a caller would hang up before the first token."""
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


def test_nodes_that_tell_nothing_put_nothing_back():
    one = scheduler(servers=1, slots=64)
    send(one, 20_000)
    assert not send(one, 1_000, number=1).yields


def test_many_nodes_take_their_part_of_what_yields_elsewhere():
    """Eighty nodes share forty servers. Taken for eighty times as much, the one late
    prompt that a node has at a server would have it refuse whoever comes next, though
    the server is free within a second."""
    many = scheduler(servers=40, slots=64)
    many.placement.backlogs = Backlogs()
    many.set_nodes(80)
    for server in many.servers.servers.values():
        many.servers.adjust_prefill_backlog(server, 1, 20_000.0, yields=False)
    late = send(many, 10_000)
    assert late.yields
    server = many.servers.servers[late.server]
    assert 10_000 < many.servers.yielding_tokens_at(server) < 40_000


def test_what_yielded_at_a_server_that_left_counts_no_more(made):
    """The server that all late prompts stood at is reclaimed. If they still counted,
    callers would be refused for work that is gone."""
    send(made, 20_000)
    late = send(made, 10_000, number=1)
    made.set_servers([])
    made.cancelled(late, 1.0)
    assert made.servers.yielding_total == 0.0
