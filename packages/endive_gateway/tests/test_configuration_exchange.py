import time
from dataclasses import dataclass

import gevent
import pytest
from endive_gateway.configuration_exchange import (
    SERVED_AT_ONCE,
    DocumentExchange,
    receive_document,
)
from gateway_builders import make_context, make_table
from gevent import socket as gsocket
from gevent.server import StreamServer

PORT = 17_631


@dataclass
class MadeHolder:
    address: str
    node: str = "b"
    version: int = 9


@pytest.fixture
def serving():
    context = make_context()
    context.configure(make_table(version=9), b"9", "test")
    exchange = DocumentExchange(context, list)
    exchange.start("127.0.0.1", PORT)
    yield exchange
    exchange.stop()


def pulled(context, exchange, *, within_s):
    started = time.monotonic()
    exchange.pull(PORT, alone=False)
    while context.version != 9 and time.monotonic() - started < within_s:
        gevent.sleep(0.01)
    return time.monotonic() - started


def test_a_node_that_can_serve_is_found_behind_one_that_cannot(serving):
    """After a power loss all nodes hear first of the same one that has the
    configuration, and its link is full. A node that waits for it turns its callers
    away a second longer than one that asks another."""
    silent = StreamServer(("127.0.0.2", PORT), lambda sock, _address: sock.close())
    silent.start()
    context = make_context()
    holders = [MadeHolder("127.0.0.2"), MadeHolder("127.0.0.1")]
    exchange = DocumentExchange(context, lambda: holders)
    taken_s = pulled(context, exchange, within_s=2.0)
    silent.stop(0)
    assert context.version == 9
    assert taken_s < 0.6


def test_a_busy_node_turns_others_away_at_once(serving):
    """Forty nodes ask one at the same time. Were all served, each would get a fortieth
    of its link, and none would have the configuration within a second."""
    serving.serving = SERVED_AT_ONCE
    started = time.monotonic()
    with pytest.raises(OSError):
        receive_document("127.0.0.1", PORT)
    assert time.monotonic() - started < 0.2
    serving.serving = 0
    assert receive_document("127.0.0.1", PORT) == b"9"


def test_a_caller_that_does_not_read_frees_its_place(serving):
    """Nodes ask and lose power. Were their places kept, a few of them would keep all
    others from the configuration."""
    socks = [
        gsocket.create_connection(("127.0.0.1", PORT)) for _ in range(SERVED_AT_ONCE)
    ]
    gevent.sleep(0.05)
    for sock in socks:
        sock.close()
    gevent.sleep(0.05)
    assert serving.serving == 0
    assert receive_document("127.0.0.1", PORT) == b"9"
