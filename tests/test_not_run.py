"""Every answer that says "not run", held against what the backend servers saw."""

import signal
import time

import builders
import pytest
from endive_core.exceptions import ERROR_RESPONSES, ErrorKind, Executed
from test_claims import PATH, Background, Booking, code

pytestmark = pytest.mark.processes

OPERATORS_ONLY = {
    ErrorKind.FORBIDDEN,
    ErrorKind.INVALID_RESOURCE,
    ErrorKind.VERSION_CONFLICT,
    ErrorKind.WATCH_TOO_OLD,
}
"""Kinds of the operators' API, from which no request reaches a backend server."""

NOT_CAUSED = {ErrorKind.BACKEND_REJECTED}
"""The engine stand-in rejects no request that the node's own checks let through;
packages/endive_node/tests/test_serving.py holds this kind with a fake engine."""

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
    running = Background(node.post, COMPLETION, BODY | {"max_tokens": 400})
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


def test_no_server_ran_what_was_told_as_not_run(cluster):
    """A caller that reads "not run" sends its booking again. For each error kind that
    says so, no server may have seen the request."""
    booking = Booking(cluster, nodes=2)
    assert code(booking.book(booking.nodes[0], "reused")) == "ok"
    seen = set()
    for cause in (by_body, by_limits, by_log, by_stopping):
        booking.before = booking.runs_now()
        for answer in cause(booking):
            error = answer.json()["error"]
            assert error["executed"] == "no", error
            assert booking.runs == 0, error
            seen.add(ErrorKind(error["code"]))
    reused = booking.quote(booking.nodes[0], "reused").json()["error"]
    assert (reused["executed"], booking.runs) == ("no", 0)
    seen.add(ErrorKind(reused["code"]))
    says_no = {
        k for k, answer in ERROR_RESPONSES.items() if answer.executed is Executed.NO
    }
    elsewhere = {ErrorKind.OVERLOADED, ErrorKind.NOT_READY}
    assert seen == says_no - OPERATORS_ONLY - NOT_CAUSED - elsewhere


def test_overloaded_requests_are_seen_by_no_server(cluster):
    """Far more requests come than fit. Each is answered at once or whole, and the
    servers ran exactly those that were answered whole."""
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
    calls = [Background(node.post, COMPLETION, body) for _ in range(60)]
    answers = [call.result() for call in calls]
    ran = set(engine.stats()["executions"]) - before
    whole = {a.headers["X-Request-Id"] for a in answers if a.status == 200}
    refused = [a.json()["error"] for a in answers if a.status != 200]
    assert refused, "nothing was refused"
    assert {(e["code"], e["executed"]) for e in refused} == {("overloaded", "no")}
    assert all("retry_after_s" in e for e in refused)
    assert ran == whole


def test_node_without_configuration_says_not_run(cluster):
    """A new node starts while the log is down and has no peer to ask."""
    cluster.with_log()
    builders.wait_until(cluster.log.is_ready, "log")
    cluster.log.faults(outage_s=30.0)
    (node,) = cluster.add_nodes(1, ready=False)
    builders.wait_until(lambda: listens(node), "node")
    answer = node.post(COMPLETION, BODY)
    error = answer.json()["error"]
    assert (error["code"], error["executed"]) == ("not_ready", "no")
    assert int(answer.headers["Retry-After"]) >= 1


def listens(node):
    try:
        return node.post(COMPLETION, BODY).status > 0
    except builders.urllib3.exceptions.HTTPError:
        return False
