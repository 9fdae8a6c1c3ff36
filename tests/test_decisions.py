"""Admission and placement under load, in separate processes."""

import re
from concurrent.futures import ThreadPoolExecutor

import builders
import pytest


def resource(kind, name, **spec):
    return {"kind": kind, "name": name, "owner": "kerloch", "spec": spec}


def declare_resources(cluster, engines, *, slots):
    servers = [
        {"id": engine.name, "address": engine.address, "zone": "brest"}
        for engine in engines
    ]
    cluster.apply(
        resource(
            "organisation",
            "kerloch",
            caller_key_hashes=[builders.sha256(builders.CALLER_KEY)],
        ),
        resource(
            "backend-server-service", "engines", servers=servers, max_concurrent=slots
        ),
        resource("deployment", "chat", model="chat", service="engines"),
    )
    for node in cluster.nodes:
        cluster.wait_in_force(node)


def counter(node, name):
    text = node.operate("GET", "/metrics").data.decode()
    return float(re.search(rf"^{name}_total(?:{{[^}}]*}})? (\S+)$", text, re.M)[1])


def wait_idle(node):
    """Wait until the servers' reports no longer include the warm-up requests."""

    def is_idle():
        servers = node.operate("GET", "/v1/status").json()["servers"]
        counts = ("in_flight", "reported_running", "reported_waiting")
        return servers and not any(s[count] for s in servers for count in counts)

    builders.wait_until(is_idle, "reports of idle servers")


@pytest.mark.processes
def test_burst_beyond_capacity_is_refused_at_once_and_counted(cluster):
    """60 requests of a second each arrive at once at servers that run 8 at a time.
    Those that can't start within the target are refused as not run, with a retry-after;
    the others get complete responses. The counter equals the refusals."""
    cluster.with_log()
    engines = [
        cluster.engine(f"engine-{i}", decode_tokens_per_s=50, max_batch=4)
        for i in (1, 2)
    ]
    (node,) = cluster.add_nodes(1)
    declare_resources(cluster, engines, slots=4)
    wait_idle(node)
    body = {"model": "chat", "prompt": "Quote Taipei to Naha.", "max_tokens": 50}
    with ThreadPoolExecutor(60) as pool:
        responses = list(
            pool.map(lambda _: node.post("/v1/completions", body), range(60))
        )
    refused = [response for response in responses if response.status != 200]
    whole = "".join(builders.expected_tokens(body["prompt"], 50))
    assert 8 <= len(responses) - len(refused) < 40
    for response in responses:
        if response.status == 200:
            assert response.json()["choices"][0]["text"] == whole
    for response in refused:
        error = response.json()["error"]
        assert (error["code"], error["executed"]) == ("overloaded", "no")
        assert error["retry_after_s"] > 0
        assert int(response.headers["Retry-After"]) >= 1
    assert counter(node, "endive_refused_overloaded") == len(refused)


@pytest.mark.processes
def test_conversation_reuses_its_cached_prefix_through_another_node(cluster):
    """The requests of a conversation reach different nodes. The second request still
    goes to the engine that has cached the first one's prefix."""
    cluster.with_log()
    engines = [cluster.engine(f"engine-{i}") for i in range(4)]
    nodes = cluster.add_nodes(2)
    declare_resources(cluster, engines, slots=16)
    for number in range(8):
        prompt = f"Club {number}. " + "Season summary of all courts. " * 60
        for node in nodes:
            body = {"model": "chat", "prompt": prompt, "max_tokens": 2}
            assert node.post("/v1/completions", body).status == 200
    cached = sum(engine.stats()["cached_tokens"] for engine in engines)
    prompt_tokens = len(prompt) // 4
    assert cached > 0.9 * 8 * prompt_tokens
