"""A backend server under notice gets no new requests after a few seconds."""

import threading
import time

import builders
import pytest
from reclaims import metric, reclaim, running_installation

NO_NEW_WORK_AFTER_S = 3.0


def call_steadily(node, running):
    """Send short requests to one node, one after the other, until cleared."""
    body = {"model": "chat", "max_tokens": 1}
    number = 0
    while running.is_set():
        number += 1
        prompt = f"{node.name} {number}"
        assert node.post("/v1/completions", body | {"prompt": prompt}).status == 200


def executions(server):
    return sum(server.stats()["executions"].values())


@pytest.mark.processes
def test_nodes_that_hear_only_from_peers_stop_sending_to_a_leaving_server(tmp_path):
    """One node of three receives the cloud's notice; the instance list lags by 30 s.

    The other nodes would send to the server until the list shows its state, or until it
    is killed with their requests. They learn of the notice from heartbeats.
    """
    with running_installation(tmp_path, nodes_with_cloud=1, list_lag_s=30) as (
        cluster,
        servers,
    ):
        for node in cluster.nodes:
            builders.wait_until(
                lambda node=node: metric(node, "endive_members_live") == 3, "members"
            )
        running = threading.Event()
        running.set()
        threads = [
            threading.Thread(target=call_steadily, args=(node, running))
            for node in cluster.nodes
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        before = executions(servers[0])
        entry = {"address": servers[0].address, "zone": "brest", "state": "leaving"}
        builders.call("PUT", f"{cluster.list.url}/instances/engine-0", entry)
        reclaim(cluster, instance="engine-0", seconds=30.0)
        time.sleep(NO_NEW_WORK_AFTER_S)
        at_limit = executions(servers[0])
        others = executions(servers[1])
        time.sleep(1.5)
        running.clear()
        for thread in threads:
            thread.join()
        assert before > 0
        assert executions(servers[0]) == at_limit
        assert executions(servers[1]) > others
