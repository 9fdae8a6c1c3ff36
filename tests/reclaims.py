"""Installations in three zones, callers and reclaims, for tests and benchmarks."""

import contextlib
import json
import subprocess
import sys
from pathlib import Path

import builders

FLEET = Path(__file__).with_name("fleet.py")


@contextlib.contextmanager
def started(folder, nodes=3, engines=2, **engine):
    """Run a cloud, engines and nodes in three zones, with one deployment."""
    cluster = builders.Cluster(folder)
    try:
        cluster.with_log()
        cluster.with_cloud()
        options = {"decode_tokens_per_s": 40, "max_batch": 32} | engine
        servers = [cluster.engine(f"engine-{i}", **options) for i in range(engines)]
        for server in [cluster.cloud, *servers]:
            builders.wait_until(server.is_ready, server.name)
        cluster.add_nodes(nodes, node={"drain_settle_s": 0.5})
        cluster.apply(
            builders.organisation(),
            builders.service("engines", servers),
            builders.resource("model-version", "chat-1", model="chat", weights="w"),
            # Admission must not refuse the burst that these tests reclaim under.
            builders.deployment(version="chat-1", latency={"first_token_s": 60}),
        )
        for node in cluster.nodes:
            cluster.wait_in_force(node)
        yield cluster, servers
    finally:
        cluster.stop()


def start_fleet(cluster, requests, max_tokens, **options):
    """Start callers in a process of their own."""
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


def result_of(fleet):
    output, _ = fleet.communicate(timeout=60)
    return json.loads(output.splitlines()[-1])


def metric(node, name):
    """Return a counter of `node`."""
    page = node.operate("GET", "/metrics").data.decode()
    values = [line.split()[-1] for line in page.splitlines() if line.startswith(name)]
    return sum(float(value) for value in values)


def wait_accepted(nodes, count):
    """Wait until `nodes` have accepted `count` requests of the fleet."""
    before = len(nodes)
    builders.wait_until(
        lambda: (
            sum(metric(n, "endive_requests_accepted") for n in nodes) >= count + before
        ),
        "all requests accepted",
    )


def reclaim(cluster, zone=None, seconds=3.0, instance=None):
    """Announce the reclaim of a zone, or of one instance."""
    order = {"zone": zone, "instance": instance, "seconds": seconds}
    given = {key: value for key, value in order.items() if value is not None}
    answer = builders.call("POST", f"{cluster.cloud.url}/notices", given)
    assert answer.status == 200, answer.data


def assert_all_whole(result, requests):
    """Check that each caller got the one right answer, whole and once."""
    counts = result["counts"]
    assert counts.get("whole") == requests, result
    assert "changed" not in counts
    assert "foreign" not in counts


def text_of(answer):
    """Return the text of an answer, streamed or whole."""
    if not answer.headers["Content-Type"].startswith("text/event-stream"):
        return answer.json()["choices"][0]["text"]
    lines = [line for line in answer.data.split(b"\n") if line.startswith(b"data: {")]
    events = [json.loads(line.removeprefix(b"data: ")) for line in lines]
    return "".join(event["choices"][0]["text"] for event in events)


def in_zone(cluster, zone):
    return [node for node in cluster.nodes if node.zone == zone]
