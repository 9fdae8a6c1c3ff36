import time
from dataclasses import dataclass

import gevent
import pytest
from endive_gateway.configuration_exchange import (
    MAX_CONCURRENT_SENDS,
    ConfigurationExchange,
    receive_document,
)
from gateway_builders import make_context, make_table
from gevent import socket as gsocket
from gevent.server import StreamServer

PORT = 17_650


@dataclass
class FakeSource:
    address: str
    node: str = "b"
    version: int = 9


@pytest.fixture
def serving():
    context = make_context()
    context.configure(make_table(version=9), b"9", "test")
    exchange = ConfigurationExchange(context, list)
    exchange.start("127.0.0.1", PORT)
    yield exchange
    exchange.stop()


def pulled(context, exchange, *, within_s):
    started = time.monotonic()
    exchange.pull(PORT, reads_store=False)
    while context.version != 9 and time.monotonic() - started < within_s:
        gevent.sleep(0.01)
    return time.monotonic() - started


def test_another_source_is_tried_after_one_that_fails(serving):
    """After a power loss all nodes first hear of the same source, whose link is
    saturated. A node that waits for it refuses its callers for a second longer than one
    that tries another source."""
    silent = StreamServer(("127.0.0.2", PORT), lambda sock, _address: sock.close())
    silent.start()
    context = make_context()
    sources = [FakeSource("127.0.0.2"), FakeSource("127.0.0.1")]
    exchange = ConfigurationExchange(context, lambda: sources)
    taken_s = pulled(context, exchange, within_s=2.0)
    silent.stop(0)
    assert context.version == 9
    assert taken_s < 0.6


def test_a_busy_node_refuses_at_once(serving):
    """Forty nodes pull from one at the same time. If all were served, each would get a
    fortieth of its link, and none would have the configuration within a second."""
    serving.active_sends = MAX_CONCURRENT_SENDS
    started = time.monotonic()
    with pytest.raises(OSError):
        receive_document("127.0.0.1", PORT)
    assert time.monotonic() - started < 0.2
    serving.active_sends = 0
    assert receive_document("127.0.0.1", PORT) == b"9"


def test_a_closed_connection_frees_its_slot(serving):
    """Nodes lose power while they pull. If their slots stayed occupied, a few such
    nodes would keep all others from the configuration."""
    socks = [
        gsocket.create_connection(("127.0.0.1", PORT))
        for _ in range(MAX_CONCURRENT_SENDS)
    ]
    gevent.sleep(0.05)
    for sock in socks:
        sock.close()
    gevent.sleep(0.05)
    assert serving.active_sends == 0
    assert receive_document("127.0.0.1", PORT) == b"9"
