"""Installations in three zones, callers and reclaim notices."""

import contextlib
import json
import subprocess
import sys
from pathlib import Path

import builders

FLEET = Path(__file__).with_name("fleet.py")


@contextlib.contextmanager
def running_installation(
    folder,
    nodes=3,
    engines=2,
    nodes_with_cloud=None,
    list_lag_s=None,
    max_concurrent=None,
    **engine,
):
    """Run a cloud, engines and nodes in three zones, with one deployment.

    Only the first `nodes_with_cloud` nodes have the cloud's address, all by default.
    """
    cluster = builders.Cluster(folder)
    slots = {} if max_concurrent is None else {"max_concurrent": max_concurrent}
    try:
        cluster.with_log()
        cluster.with_cloud()
        options = {"decode_tokens_per_s": 40, "max_batch": 32} | engine
        servers = [cluster.engine(f"engine-{i}", **options) for i in range(engines)]
        sections = {"node": {"drain_settle_s": 0.5}}
        if list_lag_s is not None:
            cluster.list = cluster.standin("instances", "list", lag_s=list_lag_s)
            sections["platform"] = {"instances": cluster.list.url}
        for server in [cluster.cloud, *servers]:
            builders.wait_until(server.is_ready, server.name)
        add_nodes(
            cluster,
            nodes,
            nodes if nodes_with_cloud is None else nodes_with_cloud,
            sections,
        )
        cluster.apply(
            builders.organisation(),
            builders.service("engines", servers, **slots),
            builders.resource("model-version", "chat-1", model="chat", weights="w"),
            # A target so long that admission doesn't refuse the burst of requests.
            builders.deployment(version="chat-1", latency={"first_token_s": 600}),
        )
        for node in cluster.nodes:
            cluster.wait_in_force(node)
        yield cluster, servers
    finally:
        cluster.stop()


def add_nodes(cluster, nodes, nodes_with_cloud, sections):
    """Start nodes, the first `nodes_with_cloud` of them with the cloud's address."""
    cluster.add_nodes(nodes_with_cloud, **sections)
    if nodes > nodes_with_cloud:
        cloud, cluster.cloud = cluster.cloud, None
        cluster.add_nodes(nodes - nodes_with_cloud, **sections)
        cluster.cloud = cloud


def start_callers(cluster, requests, max_tokens, **options):
    """Start callers in a separate process; return the process."""
    urls = ",".join(node.url for node in cluster.nodes)
    flags = [f"--{key}={value}" for key, value in options.items()]
    return subprocess.Popen(
        [
            sys.executable,
            str(FLEET),
            f"--nodes={urls}",
            f"--requests={requests}",
            f"--max_tokens={max_tokens}",
            *flags,
        ],
        stdout=subprocess.PIPE,
        text=True,
    )


def callers_result(fleet):
    output, _ = fleet.communicate(timeout=60)
    return json.loads(output.splitlines()[-1])


def metric(node, name):
    """Return the sum of the metrics of `node` whose names begin with `name`."""
    page = node.operate("GET", "/metrics").data.decode()
    values = [line.split()[-1] for line in page.splitlines() if line.startswith(name)]
    return sum(float(value) for value in values)


def wait_accepted(nodes, count, timeout_s=builders.START_TIMEOUT_S):
    """Wait until `nodes` have accepted `count` requests of callers.

    Each node has accepted one request before, from ``wait_in_force``.
    """
    before = len(nodes)
    builders.wait_until(
        lambda: (
            sum(metric(n, "endive_requests_accepted") for n in nodes) >= count + before
        ),
        "all requests accepted",
        timeout_s,
    )


def reclaim(cluster, zone=None, seconds=3.0, instance=None):
    """Announce the reclaim of a zone or of one instance, `seconds` from now."""
    order = {"zone": zone, "instance": instance, "seconds": seconds}
    given = {key: value for key, value in order.items() if value is not None}
    response = builders.call("POST", f"{cluster.cloud.url}/notices", given)
    assert response.status == 200, response.data


def assert_all_complete(result, requests):
    """Check that each caller got the complete, expected response exactly once."""
    counts = result["counts"]
    assert counts.get("whole") == requests, result
    assert "changed" not in counts
    assert "foreign" not in counts


def text_of(response):
    """Return the text of a response, streamed or not."""
    if not response.headers["Content-Type"].startswith("text/event-stream"):
        return response.json()["choices"][0]["text"]
    lines = [line for line in response.data.split(b"\n") if line.startswith(b"data: {")]
    events = [json.loads(line.removeprefix(b"data: ")) for line in lines]
    return "".join(event["choices"][0]["text"] for event in events)


def nodes_in_zone(cluster, zone):
    return [node for node in cluster.nodes if node.zone == zone]
