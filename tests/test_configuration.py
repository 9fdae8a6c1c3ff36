"""Configuration over separate processes: it reaches all nodes and never goes back.

The tests change priorities, since these are small and any node shows them at once.
"""

import threading
import time

import builders
import pytest

PRIORITY = "/v1/resources/priority"
IN_FORCE_WITHIN_S = 13.0
OPERATORS = 4


def put(node, name, level, query=""):
    body = {"owner": "kerloch", "spec": {"level": level}}
    return node.operate("PUT", f"{PRIORITY}/{name}{query}", body)


def level(node, name="vip"):
    response = node.operate("GET", f"{PRIORITY}/{name}")
    return response.json()["spec"]["level"] if response.status == 200 else None


def snapshots(cluster):
    streams = builders.call("GET", f"{cluster.log.url}/streams").json()["streams"]
    return streams.get("configuration-snapshots", {"next": 0})["next"]


def refusal(node):
    response = node.post("/v1/completions", {"model": "chat", "prompt": "x"})
    return response.status, response.json()["error"]["code"]


@pytest.mark.processes
def test_change_is_in_force_on_eight_nodes_within_seconds(cluster):
    cluster.with_log()
    nodes = cluster.add_nodes(8)
    version = put(nodes[3], "vip", 7).json()["version"]
    started = time.monotonic()
    while not all(level(node) == 7 for node in nodes):
        assert time.monotonic() - started < IN_FORCE_WITHIN_S

    def counted():
        status = nodes[0].operate("GET", f"{PRIORITY}/vip").json()["status"]
        return (status["nodes_live"], status["nodes_in_force"]) == (8, 8)

    builders.wait_until(counted, "all nodes counted", IN_FORCE_WITHIN_S)
    assert put(nodes[5], "vip", 8, f"?expected_version={version}").status == 200


@pytest.mark.processes
def test_racing_operators_are_each_told_who_won(cluster):
    """Operators at different nodes change the same version of a resource at the same
    time. One change takes effect, and the other operators get a version conflict."""
    cluster.with_log()
    nodes = cluster.add_nodes(OPERATORS)
    for race in range(3):
        query = f"?expected_version={put(nodes[0], 'vip', 50).json()['version']}"
        builders.wait_until(
            lambda: all(level(node) == 50 for node in nodes), "the start of the race"
        )
        responses = [None] * OPERATORS

        def run(index, query=query, responses=responses):
            responses[index] = put(nodes[index], "vip", index, query)

        if race == 1:
            cluster.log.faults(lose_answers=2)
        if race == 2:
            cluster.log.faults(late_appends={"count": 2, "delay_s": 1.0})
        threads = [threading.Thread(target=run, args=(i,)) for i in range(OPERATORS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        won = [i for i, response in enumerate(responses) if response.status == 200]
        assert len(won) == 1, [response.data for response in responses]
        version = responses[won[0]].json()["version"]
        for index, response in enumerate(responses):
            if index not in won:
                error = response.json()["error"]
                assert (error["code"], error["version"]) == (
                    "version_conflict",
                    version,
                )
        time.sleep(1.2 if race == 2 else 0.0)
        builders.wait_until(
            lambda won=won: all(level(node) == won[0] for node in nodes),
            "the winner everywhere",
        )


@pytest.mark.processes
def test_nodes_started_in_an_outage_serve_what_their_peers_hold(cluster):
    """A node is replaced during a long outage of the log. The new node must not serve
    without a configuration, nor with one older than that of its peers."""
    cluster.with_log()
    nodes = cluster.add_nodes(3)
    for number in range(5):
        assert put(nodes[0], "vip", number).status == 200
    builders.wait_until(lambda: all(level(n) == 4 for n in nodes), "the last change")
    cluster.log.faults(outage_s=120)
    nodes[2].kill()
    cluster.restart(nodes[2])
    assert level(nodes[2]) == 4
    refused = put(nodes[2], "vip", 9)
    assert refused.json()["error"]["code"] == "log_unavailable"


@pytest.mark.processes
def test_node_without_log_and_peers_is_not_ready(cluster):
    """All nodes restart while the log is down. A node that served without a
    configuration would refuse every caller as unknown."""
    cluster.with_log()
    builders.wait_until(cluster.log.is_ready, "the log")
    cluster.log.faults(outage_s=120)
    (node,) = cluster.add_nodes(1, ready=False)
    builders.wait_until(
        lambda: "event=node_started" in node.output.read_text(), "the node to listen"
    )
    assert builders.call("GET", node.url + "/healthz").status == 503
    assert refusal(node) == (503, "not_ready")
    cluster.log.faults(outage_s=0)
    cluster.wait_ready()


@pytest.mark.processes
def test_restart_after_the_log_forgot_the_changes(cluster):
    """The log's retention has dropped changes that only a snapshot still contains. A
    restarted node must neither begin with an empty configuration nor miss changes."""
    cluster.with_log()
    nodes = cluster.add_nodes(2, configuration={"snapshot_every_records": 10})
    for count in (1, 2):
        for number in range(12):
            assert put(nodes[0], "vip", number + 12 * count).status == 200
        builders.wait_until(lambda c=count: snapshots(cluster) >= c, "a snapshot")
    assert put(nodes[0], "other", 3).status == 200
    for node in nodes:
        node.kill()
    cluster.log.faults(forget_before={"stream": "configuration", "offset": 20})
    for node in nodes:
        cluster.restart(node)
    assert [level(node) for node in nodes] == [35, 35]
    assert [level(node, "other") for node in nodes] == [3, 3]
    version = put(nodes[1], "vip", 60).json()["version"]
    assert version > 25


@pytest.mark.processes
def test_retention_past_the_last_snapshot_skips_nothing(cluster):
    """No snapshot was written, and the log has dropped some changes. A node that
    applied only the remaining ones would silently serve an incomplete configuration. It
    takes its peers' configuration instead; without a peer it stays not ready."""
    cluster.with_log()
    nodes = cluster.add_nodes(2)
    assert put(nodes[0], "early", 1).status == 200
    assert put(nodes[0], "late", 2).status == 200
    builders.wait_until(lambda: level(nodes[1], "late") == 2, "both changes")
    cluster.log.faults(forget_before={"stream": "configuration", "offset": 1})
    nodes[1].kill()
    cluster.restart(nodes[1])
    assert (level(nodes[1], "early"), level(nodes[1], "late")) == (1, 2)
    for node in nodes:
        node.kill()
    nodes[0].output.write_text("")
    cluster.start_stopped(nodes[0])
    builders.wait_until(
        lambda: "event=configuration_gap" in nodes[0].output.read_text(), "the gap"
    )
    assert refusal(nodes[0]) == (503, "not_ready")
