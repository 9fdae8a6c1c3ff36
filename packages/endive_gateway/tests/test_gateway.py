from dataclasses import replace

import gevent
import pytest
from endive_gateway.gateway import Gateway
from endive_gateway.interfaces import Bounds, GatewaySettings, NodeLocation
from gateway_builders import Caller, PlainWire, make_entry, make_table
from server_builders import ScriptedServer
from store_builders import MemoryStore, RecordingCloud

PLACE = NodeLocation("n1", "127.0.0.1", "z", 0, 0, 17_621)


@pytest.fixture
def gateway():
    made = Gateway(GatewaySettings(PLACE), PlainWire(), MemoryStore(), RecordingCloud())
    made.readiness.start()
    yield made
    made.readiness.stop(0)


def probe(gateway):
    caller = Caller(gateway.readiness.server_port)
    caller.raw(b"GET /any HTTP/1.1\r\nHost: x\r\n\r\n")
    return caller.receive().status


def test_a_node_is_ready_once_it_has_routes_and_servers(gateway):
    assert probe(gateway) == 503
    gateway.context.configure(make_table(), b"", "test")
    assert probe(gateway) == 503
    gateway.context.registry.is_loaded = True
    assert probe(gateway) == 200


def test_a_stopping_node_is_not_ready_at_once(gateway):
    gateway.context.configure(make_table(), b"", "test")
    gateway.context.registry.is_loaded = True
    gateway.stopping_at = 1.0
    assert probe(gateway) == 503


def test_changed_bounds_are_applied_and_addresses_kept(gateway):
    """The platform rewrites the settings file while the node runs, with or without a
    signal. The node keeps running, and keeps what only a restart can change."""
    moved = replace(PLACE, caller_port=9999)
    gateway.reload(GatewaySettings(moved, Bounds(grace_s=20)))
    assert gateway.settings.location == PLACE
    assert gateway.context.settings.bounds.grace_s == 20


@pytest.mark.parametrize(
    ("slots", "statuses", "received"), [(2, [502, 502], 2), (1, [502, 503], 1)]
)
def test_a_node_answers_what_its_servers_do_not_before_it_exits(
    gateway, slots, statuses, received
):
    """The process exited in the middle of late requests, which got no answer."""
    silent = [lambda _sock, _received: gevent.sleep(10)] * slots
    server = ScriptedServer(*silent)
    gateway.reload(GatewaySettings(PLACE, Bounds(grace_s=1.0)))
    gateway.context.configure(make_table(), b"", "test")
    gateway.context.registry.put(make_entry(address=server.address, slots=slots))
    gateway.context.registry.is_loaded = True
    gateway.context.registry.notify_listeners()
    gateway.callers.start()
    queues = gevent.spawn(gateway.context.placer.poll_queues)
    callers = [Caller(gateway.callers.port) for _ in statuses]
    for caller in callers:
        caller.send()
        gevent.sleep(0.05)
    gateway.drain()
    responses = [caller.receive() for caller in callers]
    queues.kill()
    server.stop()
    assert [response.status for response in responses] == statuses
    assert len(server.received) == received
    assert gateway.callers.busy == 0
