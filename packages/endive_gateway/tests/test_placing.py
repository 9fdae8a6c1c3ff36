from collections import Counter
from random import Random

import pytest
from core_builders import call, dispatch_all, view
from endive_core.prefixes import part_blocks
from endive_core.scheduler import Scheduler
from endive_gateway.placing import GATEWAY_POLICY

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
    """A prompt of an instruction that all share, a session's part and its own part."""
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
    """A session's requests come to all nodes, and no node knows what others have sent.
    Each has long prompts under way, so that some server always looks idler than the one
    that the session hashes to. Sent there, its part is computed once more: the caller
    waits for 4,870 tokens, and so do all others at that server."""
    chances = Random(3)
    most = 0
    for session in range(SESSIONS):
        taken = Counter()
        for number, node in enumerate(nodes):
            other = SESSIONS + chances.randrange(200)
            asked = session_call(number + NODES * session, session, 1_500)
            node.offer(session_call(5_000 + number, other, 3_000), 0.0)
            sent = dispatch_all(node)
            node.offer(asked, 0.0)
            sent += dispatch_all(node)
            taken[sent[-1].server] += 1
            for dispatch in sent:
                node.cancelled(dispatch.ticket, 0.1)
        most += max(taken.values())
    assert most / (NODES * SESSIONS) > 0.9
