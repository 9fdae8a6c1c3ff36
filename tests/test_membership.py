"""Membership and shared facts over separate processes."""

import builders
import pytest


def nodes_seen(node):
    status = node.operate("GET", "/v1/status").json()
    return sorted(entry["id"] for entry in status["nodes"])


@pytest.mark.processes
def test_killed_node_is_no_longer_listed_and_comes_back(cluster):
    """A node is killed without an announcement and restarted some time later."""
    cluster.with_log()
    nodes = cluster.add_nodes(3, membership={"suspect_after_s": 3.0})
    builders.wait_until(lambda: len(nodes_seen(nodes[0])) == 3, "three nodes listed")
    nodes[2].kill()
    builders.wait_until(
        lambda: nodes_seen(nodes[0]) == nodes_seen(nodes[1]) == ["node-1", "node-2"],
        "node-3 is no longer listed",
    )
    cluster.restart(nodes[2])
    builders.wait_until(
        lambda: len(nodes_seen(nodes[0])) == 3, "node-3 is listed again"
    )


@pytest.mark.processes
def test_request_that_crashed_servers_elsewhere_is_refused(cluster):
    """A request crashes each server that runs it, and its caller sends it to another
    node each time. If each node counted alone, it would crash two servers per node."""
    cluster.with_log()
    engines = [cluster.engine(f"engine-{i}") for i in range(4)]
    nodes = cluster.add_nodes(3)
    for engine in engines:
        builders.wait_until(engine.is_ready, engine.name)
        engine.faults(crash_on="poison")
    cluster.apply(
        builders.organisation(),
        builders.service("engines", engines),
        builders.deployment(),
    )
    for node in nodes:
        cluster.wait_in_force(node)
    body = {"model": "chat", "prompt": "poison", "max_tokens": 4}
    assert nodes[0].post("/v1/completions", body).status != 200

    def is_refused(node):
        response = node.post("/v1/completions", body)
        return response.json()["error"]["code"] == "poison_request"

    builders.wait_until(lambda: is_refused(nodes[2]), "the refusal by another node")
    alive = [e for e in engines if e.process.poll() is None]
    assert len(alive) >= 2
