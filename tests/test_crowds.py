"""Crowds of callers that send odd requests, or nothing, to one gateway process."""

import os
import resource

import builders
import crowds
import gevent
import pytest
import urllib3
from crowds import END, MAX_HEADER_BYTES, SHORT_LINES, SHORT_NAMES, crowd, head
from small_machines import SmallMachine, peak_memory_bytes

pytestmark = pytest.mark.crowd

SLOT = 211
MEMORY_MB = 70
DESCRIPTORS = 1_000
CONNECTIONS = 250
HELD_S = 2.0
FEW_DESCRIPTORS = 500
MORE_CONNECTIONS = 700
PORTS = ("callers", "readiness", "metrics", "bootstrap", "configuration", "transit")
NODE_DESCRIPTORS = 300
NODE_CONNECTIONS = 60
NODE_MEMORY_BYTES = 200 * 10**6
NODE_PORTS = ("port", "operator_port", "peer_port")
MEMORY_KINDS = sorted(set(crowds.KINDS) - {"idle", "ordinary"})
HEADER_LINES = b"".join(b"A%d: %b\r\n" % (n, b"x" * 500) for n in range(250))
LARGE_HEADS = {
    "lines": b"HTTP/1.1 200 OK\r\n" + HEADER_LINES,
    "a value": b"HTTP/1.1 200 OK\r\nA: " + b"x" * 130_000,
    "interim": (b"HTTP/1.1 102 Wait\r\n" + HEADER_LINES + b"\r\n") * 20,
}
"""Parts of responses with the largest heads that a gateway reads."""


def started_node(cluster, **sections):
    """Return an ``endive-node`` process that serves a model."""
    cluster.with_log()
    engine = cluster.engine("engine-1", decode_tokens_per_s=2000)
    (node,) = cluster.add_nodes(1, **sections)
    service = builders.service("engines", [engine])
    cluster.apply(builders.organisation(), service, builders.deployment())
    cluster.wait_in_force(node)
    return node


def completion_status(node):
    """Return the status of the answer to an ordinary call; 0 without one."""
    body = {"model": "chat", "prompt": "x", "max_tokens": 1}
    builders.http.clear()
    try:
        return node.post("/v1/completions", body).status
    except urllib3.exceptions.HTTPError:
        return 0


@pytest.fixture
def machine(tmp_path):
    """A machine with little memory."""
    with SmallMachine(
        tmp_path, SLOT, memory_mb=MEMORY_MB, descriptors=DESCRIPTORS
    ) as started:
        yield started


@pytest.mark.parametrize("kind", MEMORY_KINDS)
def test_a_crowd_does_not_take_the_memory_of_the_machine(machine, kind):
    """Heads of many short lines took twenty times their bytes and ended the process."""
    with crowd(kind, machine.address, CONNECTIONS):
        gevent.sleep(1.0)  # until the process has read what was sent
    assert machine.lives
    assert machine.peak_memory_bytes() <= machine.memory_bytes
    assert machine.most_sockets <= machine.sockets_limit
    assert machine.ordinary_status() == 200


@pytest.mark.parametrize("kind", sorted(crowds.HELD_KINDS))
def test_requests_in_progress_do_not_take_the_memory_of_the_machine(machine, kind):
    """What was decoded of a head took many times its bytes until the request ended."""
    machine.server.work_s = HELD_S
    with crowd(kind, machine.address, CONNECTIONS):
        gevent.sleep(1.0)  # until the process has read what was sent
    machine.server.work_s = 0.0
    assert machine.lives
    assert machine.peak_memory_bytes() <= machine.memory_bytes
    assert machine.most_sockets <= machine.sockets_limit
    assert machine.ordinary_status() == 200


@pytest.mark.parametrize("kind", LARGE_HEADS)
def test_heads_of_responses_do_not_take_the_memory_of_the_machine(machine, kind):
    """A head of a response could have 128 KB, once for each request in progress."""
    machine.server.work_s, machine.server.first_bytes = HELD_S, LARGE_HEADS[kind]
    with crowd("ordinary", machine.address, CONNECTIONS):
        gevent.sleep(1.0)  # until the process has read what was sent
        machine.server.work_s, machine.server.first_bytes = 0.0, b""
    assert machine.lives
    assert machine.peak_memory_bytes() <= machine.memory_bytes
    assert machine.most_sockets <= machine.sockets_limit
    assert machine.ordinary_status() == 200


@pytest.mark.parametrize("lines", [SHORT_LINES, SHORT_NAMES], ids=["lines", "names"])
def test_a_single_head_within_the_limits_is_served(machine, lines):
    """A head below the limit was refused with 431 for its number of lines."""
    request = head(1, lines, b"Content-Length: 0\r\nConnection: close\r\n") + END
    assert len(request) <= MAX_HEADER_BYTES
    assert machine.status(request) == 200
    assert machine.server.heads[-1].count(b":") >= lines.count(b":")


@pytest.mark.parametrize("port", PORTS)
def test_idle_connections_leave_descriptors_for_others(tmp_path, port):
    """Idle connections took all descriptors, and no other caller got an answer."""
    with SmallMachine(
        tmp_path, SLOT, memory_mb=MEMORY_MB, descriptors=FEW_DESCRIPTORS
    ) as machine:
        with crowd("idle", machine.ports[port], MORE_CONNECTIONS):
            assert machine.ordinary_status() == 200
        assert machine.lives
        assert machine.peak_memory_bytes() <= machine.memory_bytes
        assert machine.most_sockets <= machine.sockets_limit
        assert machine.ordinary_status() == 200


@pytest.mark.parametrize("kind", sorted(crowds.NODE_KINDS))
def test_a_crowd_does_not_take_the_memory_of_a_nodes_machine(cluster, kind):
    """Heads of 90 long lines, and bodies, were held whatever they took together."""
    node = started_node(cluster, limits={"memory_mb": NODE_MEMORY_BYTES / 10**6})
    with crowd(kind, node.address, NODE_CONNECTIONS):
        gevent.sleep(1.0)  # until the process has read what was sent
    node.assert_running()
    assert peak_memory_bytes(node.process.pid) <= NODE_MEMORY_BYTES
    assert completion_status(node) == 200


@pytest.mark.parametrize("port", NODE_PORTS)
def test_idle_connections_leave_a_node_descriptors(cluster, port):
    """Idle connections took all descriptors of a node, and no call was answered."""
    node = started_node(cluster)
    limit = (NODE_DESCRIPTORS, NODE_DESCRIPTORS)
    resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, limit)
    address = f"127.0.0.1:{getattr(node, port)}"
    with crowd("idle", address, MORE_CONNECTIONS):
        assert completion_status(node) == 200
        assert len(os.listdir(f"/proc/{node.process.pid}/fd")) < NODE_DESCRIPTORS
    node.assert_running()
    assert completion_status(node) == 200
