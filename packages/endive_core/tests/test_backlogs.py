import heapq
from random import Random

import pytest
from core_builders import call, dispatch_all, view
from endive_core.backlogs import FORGOTTEN_S, MOST_TOLD, Backlogs, largest_backlogs
from endive_core.calls import Call
from endive_core.policy import Policy
from endive_core.scheduler import Scheduler

RATE = 39_000.0
NODES, SERVERS = 7, 12
TELL_S = 0.2
ASKED_PER_S = 38.0
LONG_TOKENS = 40_000
SHORT_TARGET_S = 0.4


def test_what_a_node_told_is_taken_off_as_the_server_computes():
    made = Backlogs()
    made.receive("a", {"s1": 30_000.0}, 10.0)
    made.receive("b", {"s1": 9_000.0, "s2": 2_000.0}, 10.0)
    assert made.tokens("s1", 10.0, RATE) == 39_000.0
    assert made.tokens("s1", 10.5, RATE) == pytest.approx(19_500.0)
    assert made.tokens("s1", 11.5, RATE) == 0.0
    assert made.tokens("s3", 10.0, RATE) == 0.0


def test_the_newest_telling_of_a_node_replaces_its_last():
    made = Backlogs()
    made.receive("a", {"s1": 5_000.0, "s2": 1_000.0}, 10.0)
    made.receive("a", {"s1": 2_000.0}, 10.2)
    assert made.tokens("s1", 10.2, RATE) == 2_000.0
    assert made.tokens("s2", 10.2, RATE) == 0.0
    made.receive("a", {}, 10.4)
    assert not made.by_server


def test_a_node_that_fell_silent_is_forgotten():
    """It was killed in the middle of a long prompt. Its server would look busy for as
    long as nobody says otherwise."""
    made = Backlogs()
    made.receive("a", {"s1": 1e9}, 10.0)
    assert made.tokens("s1", 10.0 + FORGOTTEN_S, RATE) == 0.0


def test_a_prompt_told_at_once_counts_until_the_next_telling():
    made = Backlogs()
    made.receive("a", {"s1": 2_000.0}, 10.0)
    made.add("a", "s1", 50_000.0, 10.1)
    made.add("b", "s2", 20_000.0, 10.1)
    assert made.tokens("s1", 10.1, RATE) == 52_000.0
    assert made.tokens("s2", 10.1, RATE) == 20_000.0
    made.receive("a", {"s1": 40_000.0}, 10.3)
    made.receive("b", {}, 10.3)
    assert made.tokens("s1", 10.3, RATE) == 40_000.0
    assert made.tokens("s2", 10.3, RATE) == 0.0


def test_few_and_large_ones_are_told():
    own = {f"s{n}": 1_000.0 + n for n in range(100)} | {"small": 10.0}
    told = largest_backlogs(own)
    assert len(told) == MOST_TOLD
    assert min(told.values()) == 1_000.0 + 100 - MOST_TOLD
    assert largest_backlogs({"small": 10.0}) == {}


def late_part(*, telling: bool, seconds: float = 60.0) -> float:
    """Return the part of short prompts whose first token came late.

    Nodes stand before servers that compute one prompt after the other. Prompts have a
    heavy tail: a mean of 4,000 tokens, one in thirty of 40,000.
    """
    chances = Random(11)
    nodes = [Scheduler.from_policy(Policy(), Random(n)) for n in range(NODES)]
    backlogs = [Backlogs() for _ in nodes]
    for node, backlog in zip(nodes, backlogs, strict=True):
        node.set_nodes(NODES)
        node.set_servers(view(f"s{i}", slots=64, prefill=RATE) for i in range(SERVERS))
        node.placement.backlogs = backlog
    free_at = {f"s{i}": 0.0 for i in range(SERVERS)}
    events = [(TELL_S * n / NODES, n, "tell", n) for n in range(NODES)]
    events.append((0.0, NODES, "ask", 0))
    heapq.heapify(events)
    order, late, asked = NODES, 0, 0
    while events:
        now, _, act, given = heapq.heappop(events)
        order += 1
        if act == "ask" and now < seconds:
            gap_s = chances.expovariate(ASKED_PER_S)
            heapq.heappush(events, (now + gap_s, order, "ask", 0))
            node = nodes[chances.randrange(NODES)]
            tokens = chances.randrange(5_600)
            if chances.random() < 1 / 30:
                tokens = LONG_TOKENS
            node.offer(asked_for(asked, tokens), now)
            asked += 1
            for sent in dispatch_all(node, now):
                begins = max(now, free_at[sent.server])
                first_at = begins + sent.ticket.call.prompt_tokens / RATE
                free_at[sent.server] = first_at
                is_short = sent.ticket.call.prompt_tokens < LONG_TOKENS
                late += is_short and first_at - now > SHORT_TARGET_S
                heapq.heappush(events, (first_at, order, "first", (node, sent.ticket)))
        elif act == "first":
            given[0].started(given[1], now)
            given[0].finished(given[1], now)
        elif act == "tell" and now < seconds:
            heapq.heappush(events, (now + TELL_S, order, "tell", given))
            loads = nodes[given].servers.servers.values()
            own = {load.id: load.starting_tokens for load in loads}
            for other in range(NODES):
                if telling and other != given:
                    backlogs[other].receive(str(given), largest_backlogs(own), now)
    return late / asked


def asked_for(number: int, tokens: int) -> Call:
    return call(number, prompt_tokens=tokens, max_tokens=1, target_s=100.0)


def test_short_prompts_wait_behind_few_long_ones():
    """Seven nodes send 38 prompts a second to twelve servers, one in thirty of them so
    long that its server needs a second for it. No node sees what the others have sent;
    who comes to such a server gets the first token late, while others idle: 7.4 in 100
    short prompts later than 0.4 s before, 3.0 after."""
    alone, told = late_part(telling=False), late_part(telling=True)
    assert told < 0.5 * alone
