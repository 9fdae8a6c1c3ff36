"""End-to-end tests of the ``endivectl`` commands against a running node."""

import json
import subprocess
import sys

import builders
import pytest

RESOURCES = """
[[resources]]
kind = "priority"
name = "vip"
owner = "kerloch"
[resources.spec]
level = 10
"""


@pytest.fixture(scope="module")
def node(tmp_path_factory):
    cluster = builders.Cluster(tmp_path_factory.mktemp("endivectl"))
    try:
        cluster.with_log()
        yield cluster.add_nodes(1)[0]
    finally:
        cluster.stop()


@pytest.fixture
def file(tmp_path):
    path = tmp_path / "resources.toml"
    path.write_text(RESOURCES)
    return path


def endivectl(*arguments, node=None, token=builders.OPERATOR_TOKEN):
    server = node.operator_url if node else "http://127.0.0.1:1"
    return subprocess.run(
        [
            *(sys.executable, "-m", "endive_ctl.cli", *map(str, arguments)),
            *(f"--server={server}", f"--token={token}"),
        ],
        capture_output=True,
        text=True,
    )


@pytest.mark.processes
def test_apply_get_list_watch_delete(node, file):
    planned = endivectl("apply", "-f", file, "--dry_run", node=node)
    assert planned.stdout == "priority/vip would create\n"
    applied = endivectl("apply", "-f", file, node=node)
    assert applied.returncode == 0, applied.stderr
    got = json.loads(endivectl("get", "priority", "vip", node=node).stdout)
    assert got["spec"]["level"] == 10
    head, row = endivectl("list", "priority", node=node).stdout.splitlines()
    assert head.split()[:3] == ["KIND", "NAME", "OWNER"]
    assert row.split()[:3] == ["priority", "vip", "kerloch"]
    listed = endivectl("list", "priority", "--output=json", node=node)
    assert json.loads(listed.stdout)["items"][0]["name"] == "vip"
    assert endivectl("delete", "priority", "vip", node=node).returncode == 0
    seen = endivectl("watch", "--start=-1", "--count=2", node=node)
    applied_line, deleted_line = seen.stdout.splitlines()
    assert "applied priority/vip by admin" in applied_line
    assert "deleted priority/vip by admin" in deleted_line


@pytest.mark.processes
def test_status_prints_tables(node):
    page = endivectl("status", node=node)
    assert page.returncode == 0, page.stderr
    assert "node node-1 in brest: ready" in page.stdout
    for head in ("NODE", "SERVER", "configuration version", "requests in flight"):
        assert head in page.stdout


@pytest.mark.processes
def test_status_shows_zones_queues_and_reasons(node):
    """An operator who sees refusals needs their reasons and the queues in one place."""
    shown = json.loads(endivectl("status", "--output=json", node=node).stdout)
    assert shown["zones_under_notice"] == []
    assert {"queues", "refusals", "retries", "servers", "nodes"} <= shown.keys()
    assert node.post("/v1/completions", {}).status == 401
    service = builders.service("engines", [])
    node.operate("PUT", "/v1/resources/backend-server-service/engines", service)

    def queues():
        return node.operate("GET", "/v1/status").json()["queues"]

    builders.wait_until(lambda: queues() == {"engines": 0}, "the service's queue")


@pytest.mark.processes
def test_exit_codes_and_one_line_errors(node, file, tmp_path):
    assert endivectl("check", file).returncode == 0
    bad = tmp_path / "bad.toml"
    bad.write_text(RESOURCES.replace("level = 10", "level = 1000"))
    cases = [
        (endivectl("check", bad), 2, "level"),
        (endivectl("apply", "-f", tmp_path / "none.toml", node=node), 2, "none.toml"),
        (endivectl("list", "priority", node=node, token="wrong"), 1, "unauthenticated"),
        (endivectl("list", "colour", node=node), 1, "no kind is called"),
        (endivectl("status"), 3, "unreachable"),
    ]
    for done, exit_code, text in cases:
        assert done.returncode == exit_code, done.stderr
        (line,) = done.stderr.strip().splitlines()
        assert text in line
    endivectl("apply", "-f", file, node=node)
    lost = endivectl("apply", "-f", file, "--expected_version=0", node=node)
    assert lost.returncode == 4
