import time
from collections import Counter
from random import Random

import pytest
from core_builders import call, dispatch_all, view
from endive_core.exceptions import RetryReason
from endive_core.prefixes import part_blocks
from endive_core.reachability import ConnectResults
from endive_core.scheduler import Scheduler
from endive_gateway.placing import GATEWAY_POLICY
from gateway_builders import SERVICE, make_context, make_entry, make_table

NODES = 7
SESSIONS = 40
SERVERS = 12


@pytest.fixture
def nodes():
    made = []
    for seed in range(NODES):
        scheduler = Scheduler.from_policy(GATEWAY_POLICY, Random(seed))
        scheduler.set_servers(
            view(f"s{i}", slots=64, prefill=39_000.0) for i in range(SERVERS)
        )
        scheduler.set_nodes(NODES)
        made.append(scheduler)
    return made


def session_call(number, session, own_tokens):
    """Return a call whose prompt has a common, a session's and an own part."""
    parts = [(1, 512), (1_000 + session, 4_870), (10_000 + number, own_tokens)]
    blocks, ends = part_blocks("m", parts)
    return call(
        number,
        prompt_tokens=ends[-1],
        target_s=1.0,
        blocks=blocks,
        block_ends=ends,
    )


def test_nodes_send_a_session_to_one_server_without_talking(nodes):
    """A session's requests arrive at all nodes, which don't share what they have sent.
    Each node has long prompts in progress, so some server always looks less loaded than
    the one that the session hashes to. Sent there, the session's part is recomputed:
    the caller and all others at that server wait for 4,870 tokens."""
    rng = Random(3)
    most = 0
    for session in range(SESSIONS):
        by_server = Counter()
        for number, node in enumerate(nodes):
            other = SESSIONS + rng.randrange(200)
            asked = session_call(number + NODES * session, session, 1_500)
            node.offer(session_call(5_000 + number, other, 3_000), 0.0)
            sent = dispatch_all(node)
            node.offer(asked, 0.0)
            sent += dispatch_all(node)
            by_server[sent[-1].server] += 1
            for dispatch in sent:
                node.cancelled(dispatch.ticket, 0.1)
        most += max(by_server.values())
    assert most / (NODES * SESSIONS) > 0.9


def count_crash(context, request_id="q1"):
    """Count the crash of server ``i-1`` against a request with the content ``f``."""
    placer = context.placer
    placer.try_both = lambda *server: ConnectResults(directly=False, elsewhere=False)
    ticket = placer.admit(SERVICE, call(request_id, fingerprint="f"))
    placer.explain_failure(ticket, RetryReason.SERVER_FAILED)


def test_a_crash_counts_once_whenever_nodes_see_it(monkeypatch):
    """Nodes' clocks differ, and a request must not be refused after a single crash."""
    context = make_context(make_table())
    context.registry.put(make_entry("i-1", incarnation=7))
    context.registry.notify_listeners()
    for wall_time in (1_000.0, 1_010.0):
        monkeypatch.setattr(time, "time", lambda at=wall_time: at)
        count_crash(context)
    assert context.placer.crashes.count("f", time.monotonic()) == 1


def test_a_server_that_crashes_again_counts_twice():
    context = make_context(make_table())
    for incarnation in (7, 8):
        context.registry.put(make_entry("i-1", incarnation=incarnation))
        context.registry.notify_listeners()
        count_crash(context)
    assert context.placer.crashes.count("f", time.monotonic()) == 2
