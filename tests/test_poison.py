"""A request that crashes the servers that run it."""

import time

import builders
import pytest
from reclaims import metric, running_installation


def alive(servers):
    return [server for server in servers if server.process.poll() is None]


@pytest.mark.processes
def test_a_request_that_crashes_servers_takes_down_two_at_most(tmp_path):
    """A request crashes each server that runs it, and its caller sends it again.

    Nodes that retried it would crash one server after the other, with all requests that
    run there. After the second crash every node refuses it at once, and other requests
    are served.
    """
    with running_installation(tmp_path, engines=5) as (cluster, servers):
        for node in cluster.nodes:
            builders.wait_until(
                lambda node=node: metric(node, "endive_members_live") == 3, "members"
            )
        for server in servers:
            server.faults(crash_on="crash")
        body = {"model": "chat", "prompt": "please crash", "max_tokens": 5}
        responses = []
        for turn in range(9):
            responses.append(cluster.nodes[turn % 3].post("/v1/completions", body))
            time.sleep(0.05)
        assert len(alive(servers)) >= 3
        codes = [response.json()["error"]["code"] for response in responses]
        assert set(codes[1:]) == {"poison_request"}, codes
        started_at = time.monotonic()
        cluster.nodes[1].post("/v1/completions", body)
        assert time.monotonic() - started_at < 1.0
        good = body | {"prompt": "a quote"}
        for node in cluster.nodes:
            assert node.post("/v1/completions", good).status == 200
        assert len(alive(servers)) >= 3
