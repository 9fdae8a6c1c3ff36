import time

import gevent
import pytest
from endive_core.crash_news import FRESH_RECEIVERS
from endive_core.crashes import Crash, Success
from endive_gateway.crash_exchange import ANNOUNCEMENT_DELAY_S
from endive_gateway.peers import (
    BROADCAST_INTERVAL_PER_NODE_S,
    BROADCAST_INTERVAL_S,
    DATAGRAMS_PER_STEP,
)
from gateway_builders import connected_peers

CONTACT_S = 3.0
"""Time within which all nodes in contact must have heard of a crash, seconds."""

INNOCENT_PER_SERVER = 10


def crash_servers(nodes, guilty, servers):
    """Count crashes of `servers` against `guilty` and those that ran beside it.

    The first node dispatched `guilty` to all of them, the innocent requests are spread
    over all nodes.
    """
    for server in servers:
        add_crash(nodes[0], guilty, server)
        for number in range(INNOCENT_PER_SERVER):
            node = nodes[(7 * number + 1) % len(nodes)]
            add_crash(node, f"{server}-{number}", server)


def add_crash(node, fingerprint, server):
    node.context.placer.crashes.add(Crash(fingerprint, server, time.monotonic()))


def refuses(node, fingerprint):
    return node.context.placer.crashes.is_poison(fingerprint, time.monotonic())


def seconds_until(nodes, holds, limit_s=CONTACT_S):
    """Exchange state messages until `holds` is true of all nodes.

    Returns
    -------
    float
        Simulated seconds; infinite if it takes longer than `limit_s`.
    """
    interval_s = max(BROADCAST_INTERVAL_S, BROADCAST_INTERVAL_PER_NODE_S * len(nodes))
    steps = -(-(len(nodes) - 1) // DATAGRAMS_PER_STEP)
    for step in range(int(limit_s * steps / interval_s)):
        if all(holds(node) for node in nodes):
            return step * interval_s / steps
        for number, node in reversed(list(enumerate(nodes))):
            first = (step + number) % steps * DATAGRAMS_PER_STEP
            receivers = list(node.known.values())[first : first + DATAGRAMS_PER_STEP]
            node.send_state(receivers)
    return float("inf")


@pytest.mark.parametrize("count", [6, 30, 200, 375])
def test_news_of_crashes_is_not_displaced_by_crashes_that_all_nodes_know(count):
    """Each message has room for a few crashes, and old ones filled all of them."""
    nodes = connected_peers(count)
    for node in nodes:
        crash_servers([node], "earlier", ["i-1", "i-2"])
    crash_servers(nodes, "guilty", ["i-3", "i-4"])
    assert seconds_until(nodes, lambda node: refuses(node, "guilty")) < CONTACT_S


def test_a_crash_that_a_node_sees_is_announced_at_once():
    """Its caller sends the request to another node before the next broadcast."""
    nodes = connected_peers(30)
    placer = nodes[0].context.placer
    for server in ("i-1", "i-2"):
        add_crash(nodes[0], "guilty", server)
        placer.on_crash()
    gevent.sleep(2 * ANNOUNCEMENT_DELAY_S)
    assert sum(refuses(node, "guilty") for node in nodes) == 1 + FRESH_RECEIVERS
    assert nodes[0].sequence == 1


@pytest.mark.parametrize("count", [6, 30, 200, 375])
def test_content_that_one_node_saw_answered_is_refused_by_no_node(count):
    """Servers crash while they run content that many callers send."""
    nodes = connected_peers(count)
    crash_servers(nodes, "popular", ["i-1", "i-2"])
    assert seconds_until(nodes, lambda node: refuses(node, "popular")) < CONTACT_S
    success = Success("popular", time.monotonic())
    nodes[-1].context.placer.crashes.add_success(success)
    assert seconds_until(nodes, lambda node: not refuses(node, "popular")) < CONTACT_S
