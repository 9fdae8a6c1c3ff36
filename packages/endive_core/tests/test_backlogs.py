import heapq
from random import Random

import pytest
from core_builders import call, dispatch_all, view
from endive_core.backlogs import (
    MAX_SERVERS_SENT,
    PEER_EXPIRY_S,
    Backlogs,
    largest_backlogs,
)
from endive_core.calls import Call
from endive_core.policy import Policy
from endive_core.scheduler import Scheduler

RATE = 39_000.0
NODES, SERVERS = 7, 12
BROADCAST_INTERVAL_S = 0.2
REQUESTS_PER_S = 38.0
LONG_TOKENS = 40_000
SHORT_TARGET_S = 0.4


def test_a_reported_backlog_shrinks_as_the_server_computes():
    backlogs = Backlogs()
    backlogs.receive("a", {"s1": 30_000.0}, 10.0)
    backlogs.receive("b", {"s1": 9_000.0, "s2": 2_000.0}, 10.0)
    assert backlogs.tokens("s1", 10.0, RATE) == 39_000.0
    assert backlogs.tokens("s1", 10.5, RATE) == pytest.approx(19_500.0)
    assert backlogs.tokens("s1", 11.5, RATE) == 0.0
    assert backlogs.tokens("s3", 10.0, RATE) == 0.0


def test_the_newest_broadcast_of_a_node_replaces_its_last():
    backlogs = Backlogs()
    backlogs.receive("a", {"s1": 5_000.0, "s2": 1_000.0}, 10.0)
    backlogs.receive("a", {"s1": 2_000.0}, 10.2)
    assert backlogs.tokens("s1", 10.2, RATE) == 2_000.0
    assert backlogs.tokens("s2", 10.2, RATE) == 0.0
    backlogs.receive("a", {}, 10.4)
    assert not backlogs.by_server


def test_the_backlog_of_a_silent_node_expires():
    """A node is killed in the middle of a long prompt. Without expiry, the server would
    look busy for good."""
    backlogs = Backlogs()
    backlogs.receive("a", {"s1": 1e9}, 10.0)
    assert backlogs.tokens("s1", 10.0 + PEER_EXPIRY_S, RATE) == 0.0


def test_a_prompt_reported_at_once_counts_until_the_next_broadcast():
    backlogs = Backlogs()
    backlogs.receive("a", {"s1": 2_000.0}, 10.0)
    backlogs.add("a", "s1", 50_000.0, 10.1)
    backlogs.add("b", "s2", 20_000.0, 10.1)
    assert backlogs.tokens("s1", 10.1, RATE) == 52_000.0
    assert backlogs.tokens("s2", 10.1, RATE) == 20_000.0
    backlogs.receive("a", {"s1": 40_000.0}, 10.3)
    backlogs.receive("b", {}, 10.3)
    assert backlogs.tokens("s1", 10.3, RATE) == 40_000.0
    assert backlogs.tokens("s2", 10.3, RATE) == 0.0


def test_only_the_largest_backlogs_are_sent():
    own = {f"s{n}": 1_000.0 + n for n in range(100)} | {"small": 10.0}
    largest = largest_backlogs(own)
    assert len(largest) == MAX_SERVERS_SENT
    assert min(largest.values()) == 1_000.0 + 100 - MAX_SERVERS_SENT
    assert largest_backlogs({"small": 10.0}) == {}


def late_share(*, broadcasting: bool, seconds: float = 60.0) -> float:
    """Simulate and return the late short prompts as a share of all prompts.

    The servers compute one prompt after the other. Prompt lengths have a heavy tail: a
    mean of 4,000 tokens, and one in thirty of 40,000.
    """
    rng = Random(11)
    nodes = [Scheduler.from_policy(Policy(), Random(n)) for n in range(NODES)]
    backlogs = [Backlogs() for _ in nodes]
    for node, backlog in zip(nodes, backlogs, strict=True):
        node.set_nodes(NODES)
        node.set_servers(view(f"s{i}", slots=64, prefill=RATE) for i in range(SERVERS))
        node.placement.backlogs = backlog
    free_at = {f"s{i}": 0.0 for i in range(SERVERS)}
    events = [
        (BROADCAST_INTERVAL_S * n / NODES, n, "broadcast", n) for n in range(NODES)
    ]
    events.append((0.0, NODES, "request", 0))
    heapq.heapify(events)
    order, late, asked = NODES, 0, 0
    while events:
        now, _, act, payload = heapq.heappop(events)
        order += 1
        if act == "request" and now < seconds:
            gap_s = rng.expovariate(REQUESTS_PER_S)
            heapq.heappush(events, (now + gap_s, order, "request", 0))
            node = nodes[rng.randrange(NODES)]
            tokens = rng.randrange(5_600)
            if rng.random() < 1 / 30:
                tokens = LONG_TOKENS
            node.offer(prompt_call(asked, tokens), now)
            asked += 1
            for sent in dispatch_all(node, now):
                begins = max(now, free_at[sent.server])
                first_at = begins + sent.ticket.call.prompt_tokens / RATE
                free_at[sent.server] = first_at
                is_short = sent.ticket.call.prompt_tokens < LONG_TOKENS
                late += is_short and first_at - now > SHORT_TARGET_S
                heapq.heappush(
                    events, (first_at, order, "first_token", (node, sent.ticket))
                )
        elif act == "first_token":
            payload[0].started(payload[1], now)
            payload[0].finished(payload[1], now)
        elif act == "broadcast" and now < seconds:
            heapq.heappush(
                events, (now + BROADCAST_INTERVAL_S, order, "broadcast", payload)
            )
            loads = nodes[payload].servers.servers.values()
            own = {load.id: load.starting_tokens for load in loads}
            for other in range(NODES):
                if broadcasting and other != payload:
                    backlogs[other].receive(str(payload), largest_backlogs(own), now)
    return late / asked


def prompt_call(number: int, tokens: int) -> Call:
    return call(number, prompt_tokens=tokens, max_tokens=1, target_s=100.0)


def test_shared_backlogs_keep_short_prompts_away_from_long_ones():
    """Seven nodes send 38 prompts a second to twelve servers, one in thirty of them so
    long that its server needs a second for it. If no node knows what the others have
    sent, short prompts are placed behind long ones while other servers idle: 7.4% of
    the short prompts are later than 0.4 s without broadcasts, 3.0% with them."""
    alone, shared = late_share(broadcasting=False), late_share(broadcasting=True)
    assert shared < 0.5 * alone
