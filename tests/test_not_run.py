"""Compares each "not run" response with the executions on the backend servers."""

import signal
import time

import builders
import pytest
from endive_core.exceptions import ERROR_RESPONSES, ErrorKind, Executed
from test_claims import PATH, BackgroundCall, BookingCluster, code

pytestmark = pytest.mark.processes

OPERATORS_ONLY = {
    ErrorKind.FORBIDDEN,
    ErrorKind.INVALID_RESOURCE,
    ErrorKind.VERSION_CONFLICT,
    ErrorKind.WATCH_TOO_OLD,
}
"""Kinds of the administration API, which sends no requests to backend servers."""

NOT_TRIGGERED = {ErrorKind.BACKEND_REJECTED}
GATEWAYS_ONLY = {ErrorKind.STREAM_NOT_RESUMABLE}
"""Kinds that only a gateway answers with, tested in test_stream_affinity."""
"""The engine stand-in rejects no request that the node's own validation accepts;
packages/endive_node/tests/test_serving.py tests this kind with a fake engine."""

COMPLETION = "/v1/completions"
BODY = {"model": "chat", "prompt": "x", "max_tokens": 2}


def by_body(booking):
    node = booking.nodes[0]
    headers = {"Authorization": f"Bearer {builders.CALLER_KEY}"}
    url = node.url + COMPLETION
    yield builders.http.request("POST", url, body=b"{", headers=headers)
    yield node.post(COMPLETION, BODY | {"colour": 1})
    yield node.post(COMPLETION, BODY | {"max_tokens": 0})
    yield node.post(COMPLETION, BODY | {"prompt": "x" * 4_100_000})
    yield node.post(COMPLETION, BODY | {"model": "none"})
    yield node.post("/services/none/x", {})
    yield node.post(COMPLETION, BODY, Authorization="Bearer wrong")
    yield node.post(PATH, {}, Endive_Non_Idempotent="true")


def by_limits(booking):
    node = booking.nodes[0]
    small = builders.organisation("small", "small", tokens_per_s=1.0)
    booking.cluster.apply(small)
    key = "Bearer small"
    builders.wait_until(
        lambda: node.post(COMPLETION, BODY, Authorization=key).status != 401, "small"
    )
    booking.before = booking.runs_now()
    yield node.post(COMPLETION, BODY | {"max_tokens": 5000}, Authorization=key)
    yield node.post(COMPLETION, BODY, Endive_Deadline_S="0.0001")
    dead = builders.resource(
        "backend-server-service",
        "dead",
        type="plain",
        servers=[
            {
                "id": "gone",
                "address": f"127.0.0.1:{builders.free_port()}",
                "zone": "brest",
            }
        ],
    )
    booking.cluster.apply(dead)
    builders.wait_until(
        lambda: code(node.post("/services/dead/x", {})) != "not_found", "dead"
    )
    yield node.post("/services/dead/x", {})


def by_log(booking):
    booking.cluster.log.faults(outage_s=2.0)
    yield booking.book(booking.nodes[0], "outage")
    time.sleep(2.0)


def by_stopping(booking):
    node = booking.nodes[1]
    running = BackgroundCall(node.post, COMPLETION, BODY | {"max_tokens": 400})
    time.sleep(0.5)
    node.signal(signal.SIGTERM)
    builders.wait_until(
        lambda: code(node.post(COMPLETION, BODY | {"model": "none"})) == "stopping",
        "stopping",
    )
    booking.before = booking.runs_now()
    yield node.post(COMPLETION, BODY)
    assert code(running.result()) == "ok"
    booking.before = booking.runs_now()


def test_no_server_ran_a_request_reported_as_not_run(cluster):
    """A caller that is told "not run" sends its request again. For each error kind that
    says so, no server may have run the request."""
    booking = BookingCluster(cluster, nodes=2)
    assert code(booking.book(booking.nodes[0], "reused")) == "ok"
    seen = set()
    for cause in (by_body, by_limits, by_log, by_stopping):
        booking.before = booking.runs_now()
        for response in cause(booking):
            error = response.json()["error"]
            assert error["executed"] == "no", error
            assert booking.runs == 0, error
            seen.add(ErrorKind(error["code"]))
    reused = booking.quote(booking.nodes[0], "reused").json()["error"]
    assert (reused["executed"], booking.runs) == ("no", 0)
    seen.add(ErrorKind(reused["code"]))
    not_run_kinds = {
        k for k, response in ERROR_RESPONSES.items() if response.executed is Executed.NO
    }
    tested_below = {ErrorKind.OVERLOADED, ErrorKind.NOT_READY}
    assert (
        seen
        == not_run_kinds - OPERATORS_ONLY - GATEWAYS_ONLY - NOT_TRIGGERED - tested_below
    )


def test_requests_refused_as_overloaded_reach_no_server(cluster):
    """Far more requests arrive than there is room for. Each is refused or gets a
    complete response, and the servers ran exactly the latter."""
    cluster.with_log()
    engine = cluster.engine("slow", decode_tokens_per_s=20, max_batch=2)
    cluster.add_nodes(1)
    cluster.apply(
        builders.organisation(),
        builders.service("engines", [engine], max_concurrent=2, decode_tokens_per_s=20),
        builders.deployment(),
    )
    node = cluster.nodes[0]
    cluster.wait_in_force(node)
    before = set(engine.stats()["executions"])
    body = BODY | {"max_tokens": 20}
    calls = [BackgroundCall(node.post, COMPLETION, body) for _ in range(60)]
    responses = [call.result() for call in calls]
    ran = set(engine.stats()["executions"]) - before
    whole = {a.headers["X-Request-Id"] for a in responses if a.status == 200}
    refused = [a.json()["error"] for a in responses if a.status != 200]
    assert refused, "nothing was refused"
    assert {(e["code"], e["executed"]) for e in refused} == {("overloaded", "no")}
    assert all("retry_after_s" in e for e in refused)
    assert ran == whole


def test_node_without_configuration_says_not_run(cluster):
    """A node without peers starts while the log is down."""
    cluster.with_log()
    builders.wait_until(cluster.log.is_ready, "log")
    cluster.log.faults(outage_s=30.0)
    (node,) = cluster.add_nodes(1, ready=False)
    builders.wait_until(lambda: listens(node), "node")
    response = node.post(COMPLETION, BODY)
    error = response.json()["error"]
    assert (error["code"], error["executed"]) == ("not_ready", "no")
    assert int(response.headers["Retry-After"]) >= 1


def listens(node):
    try:
        return node.post(COMPLETION, BODY).status > 0
    except builders.urllib3.exceptions.HTTPError:
        return False
