"""The memory that the heads of callers' requests take."""

import gevent
import pytest
from endive_gateway.http import RequestParser
from endive_gateway.machine import Machine
from endive_gateway.memory_budget import (
    BODIES_SHARE,
    LONG_HEADS_SHARE,
    MESSAGE_BYTES,
    SMALL_HEAD_BYTES,
    HeldRequest,
    RequestMemory,
)
from gateway_builders import RunningGateway
from server_builders import ScriptedServer

TOTAL = 100_000
HEAD = b"POST /x HTTP/1.1\r\nHost: a.example\r\nId: long\r\n"
SHORT_LINES = b"a:\r\n" * 3_000


@pytest.fixture
def running():
    """A gateway with little memory for requests."""
    with RunningGateway(ScriptedServer()) as started:
        started.context.request_memory.total = TOTAL
        yield started


def hold_long_heads(running, count):
    """Return connections on which unfinished long heads were sent."""
    callers = [running.caller() for _ in range(count)]
    for caller in callers:
        caller.raw(HEAD + SHORT_LINES)
    gevent.sleep(0.1)
    return callers


def test_a_long_head_without_room_is_refused_and_an_ordinary_one_served(running):
    """Heads were in no budget, so a crowd of long ones took all memory."""
    holders, others = hold_long_heads(running, 2), hold_long_heads(running, 8)
    memory = running.context.request_memory
    assert 0 < memory.used <= LONG_HEADS_SHARE * TOTAL
    for caller in others:
        refused = caller.receive()
        assert refused.status == 503
        assert float(refused.headers["retry-after"]) > 0
    assert running.call().status == 200
    for caller in holders:
        caller.close()
    gevent.sleep(0.1)
    assert (memory.used, memory.long_heads) == (0, 0)


def test_a_request_before_one_without_room_is_answered_first(running):
    """A refusal must not answer an earlier request on the connection."""
    holders = hold_long_heads(running, 2)
    caller = running.caller()
    request = HEAD + b"Content-Length: 0\r\n"
    caller.raw(request + b"\r\n" + request + SHORT_LINES + b"\r\n")
    assert caller.receive().status == 200
    assert caller.receive().status == 503
    for holder in holders:
        holder.close()


def test_pipelined_requests_do_not_take_the_room_of_small_heads(running):
    """Hundreds of requests fit into one read of a connection."""
    caller = running.caller()
    request = HEAD + b"Content-Length: 0\r\n\r\n"
    caller.raw(request * 200)
    gevent.sleep(0)
    assert running.context.request_memory.long_heads <= LONG_HEADS_SHARE * TOTAL
    assert running.call().status == 200


def test_a_head_takes_about_its_bytes():
    """A line of four bytes took 150."""
    memory = RequestMemory(10 * TOTAL)
    parser = RequestParser(20_000, 0, memory)
    parser.feed(HEAD + SHORT_LINES)
    (message,) = parser.messages
    lines = bytes(message.headers.lines)
    # The parser tells of a line once the next one begins.
    assert lines.count(b"a:\n") == SHORT_LINES.count(b"a:") - 1
    assert len(lines) <= len(HEAD + SHORT_LINES)
    assert message.held.head >= len(lines)
    parser.release()
    assert memory.used == 0


@pytest.mark.parametrize("head", [SMALL_HEAD_BYTES, SMALL_HEAD_BYTES + 1])
def test_only_small_heads_take_the_last_room(head):
    memory = RequestMemory(TOTAL, used=int(BODIES_SHARE * TOTAL))
    assert HeldRequest(memory).grow_head(head) is (head <= SMALL_HEAD_BYTES)


def test_a_head_that_becomes_long_counts_as_one_from_its_first_byte():
    memory = RequestMemory(TOTAL)
    held = HeldRequest(memory)
    assert held.grow_head(MESSAGE_BYTES)
    assert memory.long_heads == 0
    assert held.grow_head(SMALL_HEAD_BYTES)
    assert memory.long_heads == memory.used == MESSAGE_BYTES + SMALL_HEAD_BYTES
    held.release()
    assert (memory.used, memory.long_heads) == (0, 0)


def test_the_memory_for_requests_follows_from_the_machine():
    sizes = [RequestMemory.from_machine(Machine(mb * 10**6)).total for mb in (20, 200)]
    assert sizes[0] == 0
    assert 0 < sizes[1] < 200 * 10**6
