"""The administration API over separate processes."""

import json

import builders
import pytest

PRIORITY = "/v1/resources/priority"
TOKENS = {"kerloch": "token-kerloch", "yunhai": "token-yunhai"}


@pytest.fixture(scope="module")
def installation(tmp_path_factory):
    cluster = builders.Cluster(tmp_path_factory.mktemp("operators"))
    cluster.operators = [
        {
            "name": f"ann-{name}",
            "token_hash": builders.sha256(token),
            "organisation": name,
        }
        for name, token in TOKENS.items()
    ]
    try:
        cluster.with_log()
        cluster.add_nodes(2)
        yield cluster
    finally:
        cluster.stop()


def priority(owner="kerloch", **spec):
    return {"owner": owner, "spec": spec}


def code(response):
    return response.json()["error"]["code"]


def watch(node, start, count, token=builders.OPERATOR_TOKEN, **headers):
    """Return the data of the next `count` changes after version `start`."""
    response = builders.call(
        "GET",
        f"{node.operator_url}/v1/watch?from={start}",
        headers={"Authorization": f"Bearer {token}"} | headers,
        preload_content=False,
    )
    assert response.status == 200, response.read()
    changes, buffer = [], b""
    for data in response.stream(65536, decode_content=False):
        *blocks, buffer = (buffer + data).split(b"\n\n")
        for block in blocks:
            lines = dict(line.split(": ", 1) for line in block.decode().split("\n"))
            if lines["event"] == "change":
                changes.append(json.loads(lines["data"]))
        if len(changes) >= count:
            break
    response.close()
    return changes[:count]


@pytest.mark.processes
def test_without_a_valid_token_nothing_is_shown(installation):
    node = installation.nodes[0]
    paths = (PRIORITY, f"{PRIORITY}/x", "/v1/status", "/v1/watch", "/metrics")
    for path in paths:
        response = node.operate("GET", path, token="wrong")
        assert (response.status, code(response)) == (401, "unauthenticated")


@pytest.mark.processes
def test_conflict_names_the_winning_version(installation):
    """Two operators change the same version. The second gets a version conflict that
    names the current version, so that it can read that one before it retries."""
    first, second = installation.nodes
    created = first.operate("PUT", f"{PRIORITY}/raced", priority(level=1)).json()
    seen = created["version"]
    path = f"{PRIORITY}/raced?expected_version={seen}"
    won = first.operate("PUT", path, priority(level=2))
    lost = second.operate("PUT", path, priority(level=3))
    assert (won.status, lost.status) == (200, 409)
    assert lost.json()["error"]["version"] == won.json()["version"]
    again = first.operate("PUT", f"{PRIORITY}/raced?expected_version=-1", priority())
    assert code(again) == "version_conflict"


@pytest.mark.processes
def test_change_sent_again_with_its_id_is_applied_once(installation):
    """An operator's connection breaks before the response. The same change, sent again
    to another node, must not undo a later change by another operator."""
    first, second = installation.nodes
    path = f"{PRIORITY}/again?change_id=c-17"
    created = first.operate("PUT", path, priority(level=1)).json()
    other = first.operate("PUT", f"{PRIORITY}/again", priority(level=5)).json()
    repeated = second.operate("PUT", path, priority(level=1)).json()
    assert repeated["version"] == created["version"]
    assert (
        first.operate("GET", f"{PRIORITY}/again").json()["version"]
        == (other["version"])
    )


@pytest.mark.processes
def test_dry_run_checks_and_changes_nothing(installation):
    node = installation.nodes[0]
    response = node.operate("PUT", f"{PRIORITY}/dry?dry_run=true", priority(level=4))
    assert response.json()["after"]["spec"]["level"] == 4
    assert node.operate("GET", f"{PRIORITY}/dry").status == 404
    bad = node.operate("PUT", f"{PRIORITY}/dry?dry_run=true", priority(level=4000))
    (field,) = bad.json()["error"]["fields"]
    assert field["field"] == "level"


@pytest.mark.processes
def test_organisations_see_and_change_only_their_own(installation):
    node = installation.nodes[0]
    mine = node.operate("PUT", f"{PRIORITY}/own", priority(), token=TOKENS["kerloch"])
    assert mine.status == 200
    theirs = TOKENS["yunhai"]
    assert node.operate("GET", f"{PRIORITY}/own", token=theirs).status == 404
    assert node.operate("DELETE", f"{PRIORITY}/own", token=theirs).status == 404
    listed = node.operate("GET", PRIORITY, token=theirs).json()["items"]
    assert all(item["owner"] == "yunhai" for item in listed)
    taken = node.operate("PUT", f"{PRIORITY}/own", priority("yunhai"), token=theirs)
    assert (taken.status, code(taken)) == (403, "forbidden")
    foreign = node.operate("PUT", f"{PRIORITY}/new", priority(), token=theirs)
    assert foreign.status == 403
    version = mine.json()["version"]
    node.operate("PUT", f"{PRIORITY}/theirs", priority("yunhai"), token=theirs)
    (event,) = watch(node, version - 1, 1, token=theirs)
    assert event["name"] == "theirs"


@pytest.mark.processes
def test_watch_resumes_at_another_node(installation):
    first, second = installation.nodes
    start = first.operate("GET", PRIORITY).json()["version"]
    for level in range(4):
        first.operate("PUT", f"{PRIORITY}/watched", priority(level=level))
    first.operate("DELETE", f"{PRIORITY}/watched")
    head = watch(first, start, 2)
    tail = watch(second, start, 3, **{"Last-Event-ID": str(head[-1]["version"])})
    levels = [e["body"] and e["body"]["spec"]["level"] for e in head + tail]
    assert levels == [0, 1, 2, 3, None]
    assert tail[-1]["type"] == "deleted"


@pytest.mark.processes
def test_status_shows_on_how_many_nodes_a_resource_is_in_force(installation):
    first, _ = installation.nodes
    body = builders.deployment("quotes", service="missing")
    first.operate("PUT", "/v1/resources/deployment/quotes", body)

    def status():
        path = "/v1/resources/deployment/quotes"
        return first.operate("GET", path).json()["status"]

    builders.wait_until(lambda: status()["nodes_in_force"] == 2, "both nodes")
    shown = status()
    assert shown["nodes_live"] == 2
    assert shown["in_force"] is False
    assert shown["reasons"] == ["there is no backend server service 'missing'"]
    assert shown["changed_by"] == "admin"


@pytest.mark.processes
def test_explain_shows_a_refused_request_at_any_node(installation):
    """An operator looks up a refused request by its id at a node other than the one
    that refused it."""
    first, second = installation.nodes
    first.operate("PUT", "/v1/resources/organisation/kerloch", builders.organisation())
    builders.wait_until(
        lambda: first.post("/v1/completions", {}).status == 400, "the caller's key"
    )
    response = first.post("/v1/completions", {"model": "none", "prompt": "x"})
    request_id = response.json()["error"]["request_id"]
    path = f"/v1/requests/{request_id}"
    shown = second.operate("GET", path).json()
    assert shown["node"] == "node-1"
    assert (shown["state"], shown["executed"]) == ("refused", "no")
    assert "unknown_model" in shown["notes"][-1]["text"]
    assert second.operate("GET", path, token=TOKENS["yunhai"]).status == 404
