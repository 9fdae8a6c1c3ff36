"""The memory that servers' unfinished responses take."""

import tracemalloc

import gevent
import pytest
from endive_core.routing import RouteKind
from gateway_builders import RunningGateway, make_entry, make_route, make_table
from server_builders import ScriptedServer, chunk

MIB = 2**20
MOST_OF_ONE = MIB
MOST_OF_A_HUNDRED = 16 * MIB
TIMEOUT_S = 3.0
STREAM = {"kind": RouteKind.STREAM, "resumable": True}

LARGE = b"x" * 262_000
OK_HEAD = b"HTTP/1.1 200 OK\r\nId: %ID\r\nSigned: yes\r\n"
EVENTS_HEAD = OK_HEAD + b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
TINY = chunk(b"x") * (262_000 // 2)

HELD = {
    "a body": ({}, OK_HEAD + b"Content-Length: 262144\r\n\r\n" + LARGE),
    "a body in tiny chunks": ({}, OK_HEAD + CHUNKED + TINY),
    "a body without a length": ({}, OK_HEAD + b"\r\n" + LARGE),
    "a large body": ({}, OK_HEAD + b"Content-Length: 9000000\r\n\r\n" + 4 * LARGE),
    "an error's body": (
        {},
        b"HTTP/1.1 500 No\r\nId: %ID\r\nContent-Length: 262144\r\n\r\n" + LARGE,
    ),
    "a refusal's body": (
        {},
        b"HTTP/1.1 503 No\r\nRefused: 1\r\nContent-Length: 9000000\r\n\r\n" + LARGE,
    ),
    "the body of no answer": ({}, b"HTTP/1.1 200 OK\r\n" + CHUNKED + 3 * chunk(LARGE)),
    "a header": ({}, OK_HEAD + b"A: " + LARGE[:130_000]),
    "headers": ({}, OK_HEAD + b"A: b\r\n" * 250),
    "interim responses": ({}, b"HTTP/1.1 102 No\r\n" + b"A: b\r\n" * 200 + b"\r\n"),
    "an event": (STREAM, EVENTS_HEAD + CHUNKED + chunk(b"id: 1\ndata: " + LARGE)),
    "a comment": (STREAM, EVENTS_HEAD + CHUNKED + chunk(b": " + LARGE)),
    "a trailer": (STREAM, EVENTS_HEAD + CHUNKED + b"0\r\nA: " + LARGE[:130_000]),
    "a chunk's size": (STREAM, EVENTS_HEAD + CHUNKED + b"5;a=" + LARGE[:130_000]),
}
"""By name, options of the route, and what a server sends before it falls silent."""


def memory_of(kind, requests):
    """Return the memory that requests take whose server has fallen silent, bytes."""
    route, data = HELD[kind]

    def send(sock, received):
        gevent.sleep(0.3)
        sock.sendall(data.replace(b"%ID", received.headers["id"].encode()))
        gevent.sleep(TIMEOUT_S)
        return False

    server = ScriptedServer()
    server.answer_rest = send
    options = {"timeout_s": TIMEOUT_S, "target_s": 1.0, "max_attempts": 1} | route
    with RunningGateway(server, table=make_table(make_route(**options))) as running:
        entry = make_entry(
            server.id, address=server.address, slots=2 * requests, sequence=1
        )
        running.context.registry.put(entry)
        running.context.registry.notify_listeners()
        callers = [running.caller() for _ in range(requests)]
        for caller in callers:
            caller.send()
        gevent.sleep(0.25)
        tracemalloc.start()
        gevent.sleep(1.2)
        memory = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        for caller in callers:
            caller.close()
        gevent.sleep(0.1)
    return memory


@pytest.mark.parametrize("kind", HELD)
def test_what_servers_send_without_an_end_takes_bounded_memory(kind):
    """A server in trouble takes the memory of the process, and all its streams."""
    assert memory_of(kind, 1) < MOST_OF_ONE
    assert memory_of(kind, 100) < MOST_OF_A_HUNDRED


def test_large_responses_that_are_forwarded_leave_room_for_an_event():
    """Streams broke off for want of memory that downloads had long given back."""
    route = make_route(timeout_s=TIMEOUT_S, target_s=1.0, max_attempts=1)
    server = ScriptedServer()
    with RunningGateway(server, table=make_table(route)) as running:
        server.answer_rest = endless_body
        callers = [running.caller() for _ in range(6)]
        for caller in callers:
            caller.send()
        for caller in callers:
            read_bytes(caller, 300_000)
        assert running.context.pool.response_memory.used == 0
        for caller in callers:
            caller.close()


def endless_body(sock, received):
    """Send a body of 9 MB as slowly as it is read, and stop after 400 KB."""
    head = OK_HEAD.replace(b"%ID", received.headers["id"].encode())
    sock.sendall(head + b"Content-Length: 9000000\r\n\r\n" + b"x" * 400_000)
    gevent.sleep(TIMEOUT_S)
    return False


def read_bytes(caller, size):
    """Read as many bytes of a response."""
    while len(caller.buffer) < size:
        assert caller._more()
