import socket
import time

import gevent
import pytest
from endive_core.server_limits import LimitReport
from endive_gateway.exceptions import SlotDeclinedError
from endive_gateway.interfaces import ResponseMetadata
from endive_gateway.slot_leasing import REPLY_MARGIN_S, SlotReply, SlotReturn
from gateway_builders import (
    SERVICE,
    RunningGateway,
    connected_peers,
    make_context,
    make_entry,
    make_table,
)
from server_builders import ScriptedServer, answer, unresponsive

BRITTLE = answer(extra="Brittle: 3\r\n")
TARGET_S = 1.0
ASK = {"priority": 5, "wait_s": 0.1, "lease_s": 9.0}


class BrittleGateway(RunningGateway):
    """A gateway that knows that its server is brittle."""

    def __init__(self, *script, slots=1):
        super().__init__(ScriptedServer(*script))
        self.server = self.servers[0]
        entry = make_entry(self.server.id, address=self.server.address, slots=slots)
        self.context.registry.put(entry)
        self.context.registry.notify_listeners()
        self.leasing = self.context.slot_leasing
        report = LimitReport(self.server.id, 3.0, time.monotonic(), 1)
        self.context.brittle_services.learn("n2", [report])
        self.loop = gevent.spawn(self.leasing.run)

    def lease(self):
        """Return a lease of a slot, as another request would hold it."""
        view = self.context.placer.views[self.server.id]
        return self.leasing.acquire(view, **ASK)

    def __exit__(self, *exc_info):
        self.loop.kill()
        super().__exit__(*exc_info)


def wait_for(condition, seconds=2.0):
    end = time.monotonic() + seconds
    while time.monotonic() < end and not condition():
        gevent.sleep(0.005)
    return condition()


def test_a_request_holds_a_slot_while_its_server_runs_it():
    with BrittleGateway(unresponsive) as running:
        caller = running.caller()
        caller.send()
        assert wait_for(lambda: running.server.received)
        assert running.leasing.leased() == 1
        caller.sock.close()
        assert wait_for(lambda: running.leasing.leased() == 0)


def test_a_request_waits_for_a_slot():
    with BrittleGateway(BRITTLE) as running:
        lease = running.lease()
        caller = running.caller()
        caller.send()
        gevent.sleep(0.1)
        assert not running.server.received
        running.leasing.release(lease)
        assert caller.receive().status == 200
        assert running.leasing.leased() == 0


def test_a_request_without_a_slot_is_refused_in_time(caplog):
    """A server that must reject it would come closer to its failure."""
    with BrittleGateway() as running:
        running.lease()
        started = time.monotonic()
        response = running.call()
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
        assert time.monotonic() - started < TARGET_S + 0.2
        assert not running.server.received
        assert running.context.metrics.slot_replies["declined"] >= 2
    assert "server=i-1 attempt=1 reason=slot_declined started=False" in caplog.text
    assert "all of the server's slots are leased" in caplog.text


def test_a_declined_slot_is_no_refusal_by_the_server():
    """Counted as one, it paused the server and limited it to the requests in flight."""
    with BrittleGateway() as running:
        running.lease()
        assert running.call().status == 503
        scheduler = running.context.placer.schedulers[SERVICE]
        server = scheduler.servers.servers[running.server.id]
        assert (server.refusals, server.ramp, server.resting) == (0, None, False)


def test_a_caller_that_leaves_while_it_waits_leaks_no_slot():
    with BrittleGateway() as running:
        lease = running.lease()
        caller = running.caller()
        caller.send()
        assert wait_for(lambda: running.leasing.asked)
        caller.sock.close()
        assert wait_for(lambda: not running.leasing.asked)
        running.leasing.release(lease)
        assert running.leasing.leased() == 0


def test_a_server_that_is_not_brittle_needs_no_lease():
    with RunningGateway(ScriptedServer()) as running:
        assert running.call().status == 200
        assert not running.context.slot_leasing.coordinated


def test_a_server_says_that_it_is_brittle_and_that_it_is_sound_again():
    with RunningGateway(ScriptedServer(BRITTLE)) as running:
        assert running.call().status == 200
        assert running.context.brittle_services.names == {SERVICE}
        assert running.call().status == 200
        assert not running.context.brittle_services.names


def test_an_earlier_or_failed_response_does_not_end_the_brittleness():
    context = make_context(make_table())
    context.registry.put(make_entry("i-1"))
    services, now = context.brittle_services, time.monotonic()
    services.observe("i-1", ResponseMetadata(brittle_rejections=3.0), now)
    services.observe("i-1", ResponseMetadata(), now - 0.1)
    later = time.monotonic() + 1
    services.observe("i-1", ResponseMetadata(), later, is_success=False)
    invalid = ResponseMetadata(invalid_brittleness="very")
    services.observe("i-1", invalid, later)
    assert services.names == {SERVICE}


def test_one_brittle_server_makes_its_service_brittle():
    """A server that has just started has not said so yet."""
    context = make_context(make_table())
    for number in (1, 2):
        context.registry.put(make_entry(f"i-{number}"))
    brittle = ResponseMetadata(brittle_rejections=3.0)
    context.brittle_services.observe("i-1", brittle, time.monotonic())
    assert context.brittle_services.names == {SERVICE}
    context.registry.drop("i-1", time.monotonic(), after_outage=False)
    context.brittle_services.refresh()
    assert not context.brittle_services.names


def test_a_node_learns_of_brittle_servers_before_it_sends_a_request():
    first, second = connected_peers(2)
    for node in (first, second):
        node.context.registry.put(make_entry("i-1"))
    brittle = ResponseMetadata(brittle_rejections=3.0)
    first.context.brittle_services.observe("i-1", brittle, time.monotonic())
    first.send_state()
    assert second.context.brittle_services.names == {SERVICE}


def free_port():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class TwoNodes:
    """A node that asks, and one that coordinates, by datagrams."""

    def __init__(self):
        port = free_port()
        self.nodes = []
        for address, other in (("127.0.0.1", "127.0.0.2"), ("127.0.0.2", "127.0.0.1")):
            context = make_context(make_table())
            context.registry.put(make_entry("i-1", slots=1))
            context.registry.is_loaded = True
            context.registry.notify_listeners()
            brittle = ResponseMetadata(brittle_rejections=3.0)
            context.brittle_services.observe("i-1", brittle, time.monotonic())
            leasing = context.slot_leasing
            leasing.address = address
            leasing.peer_addresses = lambda other=other: [other]
            leasing.datagrams.start(address, port)
            self.nodes.append(context)
        coordinator = self.nodes[0].slot_leasing._coordinator("i-1")
        self.nodes.sort(key=lambda node: node.slot_leasing.address == coordinator)
        self.asking, self.coordinating = (node.slot_leasing for node in self.nodes)
        self.view = self.nodes[0].placer.views["i-1"]

    def __enter__(self):
        return self

    def __exit__(self, *_exc_info):
        for node in (self.asking, self.coordinating):
            node.datagrams.stop()


@pytest.fixture
def two():
    with TwoNodes() as nodes:
        yield nodes


def test_slots_are_leased_from_another_node(two):
    lease = two.asking.acquire(two.view, **ASK)
    assert two.coordinating.leased() == 1
    with pytest.raises(SlotDeclinedError):
        two.asking.acquire(two.view, priority=5, wait_s=0.02, lease_s=9.0)
    two.asking.release(lease)
    assert wait_for(lambda: two.coordinating.leased() == 0)


def test_a_coordinator_that_does_not_reply_is_replaced(two):
    two.coordinating.datagrams.receiver.kill()
    started = time.monotonic()
    with pytest.raises(SlotDeclinedError):
        two.asking.acquire(two.view, **ASK)
    assert time.monotonic() - started < ASK["wait_s"] + REPLY_MARGIN_S + 0.1
    assert two.asking.acquire(two.view, **ASK).coordinator == two.asking.address
    assert two.asking.replies == {"none": 1, "granted": 1}


def test_a_slot_that_is_granted_too_late_is_returned(two):
    lease = two.asking.ask(two.view, **ASK)
    two.asking.give_up(lease)
    assert wait_for(lambda: two.coordinating.coordinated)
    assert wait_for(lambda: two.coordinating.leased() == 0)


def test_a_slot_that_is_granted_as_the_request_is_given_up_is_returned(two):
    lease = two.asking.ask(two.view, **ASK)
    assert wait_for(lease.granted.ready)
    two.asking.give_up(lease)
    assert wait_for(lambda: two.coordinating.leased() == 0)


def test_slots_of_a_node_that_is_gone_are_leased_again(two):
    two.asking.acquire(two.view, **ASK)
    two.coordinating.peer_addresses = list
    two.coordinating.update()
    assert two.coordinating.leased() == 0


def test_messages_about_unknown_servers_and_leases_change_nothing(two):
    two.coordinating.receive(SlotReturn(7, "i-9"), "127.0.0.9")
    two.coordinating.receive(SlotReply(7, "i-9", False), "127.0.0.9")
    two.nodes[1].registry.drop("i-1", time.monotonic(), after_outage=False)
    two.nodes[1].registry.notify_listeners()
    with pytest.raises(SlotDeclinedError):
        two.asking.acquire(two.view, **ASK)
    assert not two.coordinating.coordinated
