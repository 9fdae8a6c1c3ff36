import random
import time

import gevent
import pytest
from endive_core.crash_news import FRESH_RECEIVERS
from endive_core.crashes import Crash
from endive_gateway.peers import (
    BROADCAST_INTERVAL_PER_NODE_S,
    BROADCAST_INTERVAL_S,
    CRASH_ANNOUNCEMENT_DELAY_S,
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


def seconds_until_all_refuse(nodes, fingerprint, limit_s, loss=0.0):
    """Exchange state messages until all nodes refuse `fingerprint`.

    Returns
    -------
    float
        Simulated seconds; infinite if it takes longer than `limit_s`.
    """
    chance = random.Random(1)
    interval_s = max(BROADCAST_INTERVAL_S, BROADCAST_INTERVAL_PER_NODE_S * len(nodes))
    steps = -(-(len(nodes) - 1) // DATAGRAMS_PER_STEP)
    for step in range(int(limit_s * steps / interval_s)):
        if all(refuses(node, fingerprint) for node in nodes):
            return step * interval_s / steps
        for number, node in reversed(list(enumerate(nodes))):
            first = (step + number) % steps * DATAGRAMS_PER_STEP
            receivers = list(node.known.values())[first : first + DATAGRAMS_PER_STEP]
            node.send_state([r for r in receivers if chance.random() >= loss])
    return float("inf")


@pytest.mark.parametrize("count", [6, 30, 200, 375])
def test_news_of_crashes_is_not_displaced_by_crashes_that_all_nodes_know(count):
    """Each message has room for a few crashes, and old ones filled all of them."""
    nodes = connected_peers(count)
    for node in nodes:
        crash_servers([node], "earlier", ["i-1", "i-2"])
    crash_servers(nodes, "guilty", ["i-3", "i-4"])
    assert seconds_until_all_refuse(nodes, "guilty", CONTACT_S) < CONTACT_S


def test_a_crash_that_a_node_sees_is_announced_at_once():
    """Its caller sends the request to another node before the next broadcast."""
    nodes = connected_peers(30)
    placer = nodes[0].context.placer
    for server in ("i-1", "i-2"):
        add_crash(nodes[0], "guilty", server)
        placer.on_crash()
    gevent.sleep(2 * CRASH_ANNOUNCEMENT_DELAY_S)
    assert sum(refuses(node, "guilty") for node in nodes) == 1 + FRESH_RECEIVERS
    assert nodes[0].sequence == 1
