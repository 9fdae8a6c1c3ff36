import time

import gevent
import pytest
from endive_core.routing import Engine, RouteKind, RoutingTable, Service
from endive_core.server_limits import LimitShare
from endive_gateway.interfaces import GatewaySettings, ResponseMetadata
from endive_gateway.slot_messages import PoolSlotReply, PoolSlotRequest, PoolSlotReturn
from gateway_builders import (
    SERVICE,
    RunningGateway,
    connected_peers,
    make_context,
    make_entry,
    make_route,
    make_table,
)
from server_builders import ScriptedServer, at_capacity, close_connection, ok
from test_slot_leasing import free_port, wait_for

MANY_NODES = 50
SLOW_S = 0.3
ASK = {"priority": 5, "organisation": "o", "due_s": 1.0, "lease_s": 9.0}


def slow(sock, received):
    gevent.sleep(SLOW_S)
    return ok(sock, received)


class PooledGateway(RunningGateway):
    """A gateway before servers with fewer slots than there are nodes."""

    def __init__(self, *servers, slots=1, **route):
        super().__init__(*servers, table=make_table(make_route(**route)))
        for server in servers:
            entry = make_entry(server.id, address=server.address, slots=slots)
            self.context.registry.put(entry)
        self.context.registry.notify_listeners()
        self.context.set_nodes(5)
        self.pooling = self.context.slot_pooling
        self.pooling.speeds.add(SERVICE)
        self.updater = gevent.spawn(self.context.slot_leasing.run)

    def lease(self, **options):
        """Ask for a slot as another request would."""
        lease = self.pooling.ask(SERVICE, **(ASK | options))
        assert lease.server
        return lease

    def __exit__(self, *exc_info):
        self.updater.kill()
        super().__exit__(*exc_info)


def test_a_slot_is_leased_while_a_request_runs():
    with PooledGateway(ScriptedServer(slow)) as running:
        caller = running.caller()
        caller.send()
        assert wait_for(lambda: running.pooling.coordinator.leased() == 1)
        assert caller.receive().status == 200
        assert running.pooling.coordinator.leased() == 0
        assert running.context.metrics.slot_replies["pool_granted"] == 1


def test_a_request_waits_for_the_first_slot():
    """A 503 while a slot is about to be free costs its caller a second attempt."""
    with PooledGateway(ScriptedServer()) as running:
        leases = [running.lease(), running.lease()]
        caller = running.caller()
        caller.send()
        assert wait_for(lambda: running.pooling.coordinator.queued() == 1)
        assert not running.servers[0].received
        for lease in leases:
            running.pooling.release(lease)
        assert caller.receive().status == 200


def test_what_no_slot_is_free_for_is_refused_at_once():
    with PooledGateway(ScriptedServer(), target_s=0.1, timeout_s=0.5) as running:
        for _ in range(2):
            running.lease()
        started = time.monotonic()
        response = running.call()
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
        assert time.monotonic() - started < 0.1
        assert not running.servers[0].received


def test_a_caller_that_leaves_while_it_waits_leaks_no_slot():
    with PooledGateway(ScriptedServer()) as running:
        leases = [running.lease(), running.lease()]
        caller = running.caller()
        caller.send()
        assert wait_for(lambda: running.pooling.coordinator.queued() == 1)
        caller.sock.close()
        assert wait_for(lambda: running.pooling.coordinator.queued() == 0)
        for lease in leases:
            running.pooling.release(lease)
        assert running.pooling.coordinator.leased() == 0


def test_a_request_that_a_server_rejects_goes_to_another_one():
    """Nodes without pools have filled the first one."""
    servers = [
        ScriptedServer(at_capacity, server_id="i-1"),
        ScriptedServer(server_id="i-2"),
    ]
    with PooledGateway(*servers) as running:
        assert running.call().status == 200
        assert running.pooling.coordinator.leased() == 0


@pytest.mark.parametrize("retryable", [True, False])
def test_a_broken_request_is_sent_again_only_if_it_may_be(retryable):
    """A lease is no claim: what may have run must not run again."""
    kind = {} if retryable else {"kind": RouteKind.NON_IDEMPOTENT}
    servers = [ScriptedServer(close_connection, server_id=f"i-{n}") for n in (1, 2)]
    with PooledGateway(*servers, **kind) as running:
        running.call()
        received = sum(len(server.received) for server in servers)
        assert received == (2 if retryable else 1)
        assert running.pooling.coordinator.leased() == 0


def few_slots(context, *, slots=6, servers=3):
    for number in range(servers):
        context.registry.put(make_entry(f"i-{number}", slots=slots))
    context.registry.notify_listeners()


def test_pools_need_fewer_slots_than_nodes():
    """Earlier deployments with more slots than nodes are served as before."""
    context = make_context(make_table())
    few_slots(context)
    pooled = []
    for nodes in (6, 18, 19, 14, 13, 18):
        context.set_nodes(nodes)
        pooled.append(context.slot_pooling.may_pool(SERVICE))
    assert pooled == [False, False, True, True, False, False]


def test_engines_are_not_pooled():
    """Their prompts go where they are cached."""
    table = make_table()
    services = {SERVICE: Service(SERVICE, engine=Engine(slots=6))}
    context = make_context(
        RoutingTable(2, table.routes, services, table.organisations, table.keys)
    )
    few_slots(context)
    context.set_nodes(MANY_NODES)
    assert not context.slot_pooling.may_pool(SERVICE)


def test_large_services_are_not_pooled():
    """One node could not coordinate all requests."""
    context = make_context(make_table())
    few_slots(context, servers=17)
    context.set_nodes(200)
    assert not context.slot_pooling.may_pool(SERVICE)


def test_services_with_limited_servers_are_not_pooled():
    """Each node has a share of the limit, which the coordinator doesn't know."""
    context = make_context(make_table())
    few_slots(context)
    context.set_nodes(MANY_NODES)
    context.placer.set_limit_shares({"i-0": LimitShare(1.0, 1.0, 1.0, 0.0)})
    assert not context.slot_pooling.may_pool(SERVICE)


def test_leases_are_taken_where_they_pay():
    """While few slots are busy, the round trip gains nothing."""
    context = make_context(make_table())
    few_slots(context)
    context.set_nodes(MANY_NODES)
    pooling, placer = context.slot_pooling, context.placer
    pooled = [pooling.is_pooled(SERVICE)]
    for running in (6, 4, 0):
        for number in range(3):
            placer.report(f"i-{number}", running, 0)
        pooled.append(pooling.is_pooled(SERVICE))
    assert pooled == [False, True, True, False]
    pooling.states_speed("i-0")
    assert pooling.is_pooled(SERVICE)


def test_brittle_servers_have_one_coordinator_at_all_times():
    """Two would lease the same slots to different nodes, and the servers fail."""
    context = make_context(make_table())
    few_slots(context)
    context.set_nodes(MANY_NODES)
    assert not context.slot_pooling.is_pooled(SERVICE)
    brittle = ResponseMetadata(brittle_rejections=3.0)
    context.brittle_services.observe("i-1", brittle, time.monotonic())
    assert context.slot_pooling.is_pooled(SERVICE)


def test_operators_switch_pools_off():
    context = make_context(make_table())
    few_slots(context)
    context.set_nodes(MANY_NODES)
    assert context.slot_pooling.may_pool(SERVICE)
    location = context.settings.location
    context.apply_settings(GatewaySettings(location, pools_slots=False))
    assert not context.slot_pooling.may_pool(SERVICE)


def test_only_nodes_that_pool_slots_coordinate():
    """One of an earlier version would not reply."""
    first, second = connected_peers(2)
    assert first.pool_coordinators() == []
    second.send_state()
    assert first.pool_coordinators() == [second.address]
    location = second.context.settings.location
    second.context.apply_settings(GatewaySettings(location, pools_slots=False))
    second.send_state()
    assert first.pool_coordinators() == []


class TwoNodes:
    """A node that asks, and one that coordinates, by datagrams."""

    def __init__(self):
        port = free_port()
        contexts = []
        for address, other in (("127.0.0.1", "127.0.0.2"), ("127.0.0.2", "127.0.0.1")):
            context = make_context(make_table())
            few_slots(context, slots=1, servers=1)
            context.registry.is_loaded = True
            context.set_nodes(MANY_NODES)
            leasing, pooling = context.slot_leasing, context.slot_pooling
            leasing.address = address
            leasing.peer_addresses = lambda other=other: [other]
            pooling.peer_addresses = lambda other=other: [other]
            leasing.datagrams.start(address, port)
            contexts.append(context)
        chosen = contexts[0].slot_pooling.choice.coordinator(SERVICE)
        contexts.sort(key=lambda context: context.slot_leasing.address == chosen)
        self.asking, self.coordinating = (c.slot_pooling for c in contexts)

    def ask(self, **options):
        return self.asking.ask(SERVICE, **(ASK | options))

    def wait(self, lease):
        """Return the final reply, or ``None`` if there is none in time."""
        return self.asking._await(lease)

    def __enter__(self):
        return self

    def __exit__(self, *_exc_info):
        for pooling in (self.asking, self.coordinating):
            pooling.leasing.datagrams.stop()


@pytest.fixture
def two():
    with TwoNodes() as nodes:
        yield nodes


def test_another_node_leases_the_slots(two):
    lease = two.ask()
    assert two.wait(lease).server == "i-0"
    assert two.coordinating.coordinator.leased() == 1
    two.asking.release(lease)
    assert wait_for(lambda: two.coordinating.coordinator.leased() == 0)


def test_a_coordinator_that_does_not_reply_is_replaced(two):
    """It was killed, has stood still, or is cut off."""
    two.coordinating.leasing.pooling = None
    started = time.monotonic()
    lease = two.ask()
    assert two.wait(lease) is None
    assert time.monotonic() - started < 0.2
    two.asking.give_up(lease)
    lease = two.ask()
    assert lease.coordinator == two.asking.leasing.address
    assert lease.server == "i-0"


def test_a_coordinator_that_ends_after_its_first_reply_is_noticed(two):
    """The request would wait for a slot until its caller gives up."""
    leases = [two.ask() for _ in range(2)]
    assert all(two.wait(lease) for lease in leases)
    waiting = two.ask(due_s=5.0)
    started = time.monotonic()
    assert two.wait(waiting) is None
    assert 0.1 < time.monotonic() - started < 0.4


def test_a_request_that_waits_longer_is_told_so(two):
    leases = [two.ask() for _ in range(2)]
    assert all(two.wait(lease) for lease in leases)
    updater = gevent.spawn(two.coordinating.leasing.run)
    waiting = two.ask(due_s=5.0)
    gevent.spawn_later(0.5, two.asking.release, leases[0])
    assert two.wait(waiting).server == "i-0"
    updater.kill()


def test_a_grant_that_is_lost_frees_its_slot(two):
    """The asking node has given it up; the slot would be idle until the deadline."""
    handle = two.asking.receive
    two.asking.receive = lambda *message: None
    lease = two.ask()
    assert two.wait(lease) is None
    two.asking.receive = handle
    two.asking.give_up(lease)
    assert wait_for(lambda: two.coordinating.coordinator.leased() == 0)


def test_a_late_grant_is_returned(two):
    lease = two.ask()
    del two.asking.asked[lease.number]
    assert wait_for(lambda: two.coordinating.coordinator.pools)
    assert wait_for(lambda: two.coordinating.coordinator.leased() == 0)


def test_a_lost_return_is_repeated(two):
    lease = two.ask()
    assert two.wait(lease).server
    send = two.asking.leasing.datagrams.send
    two.asking.leasing.datagrams.send = lambda *message: None
    two.asking.release(lease)
    two.asking.leasing.datagrams.send = send
    assert two.coordinating.coordinator.leased() == 1
    assert two.wait(two.ask()).server
    assert wait_for(lambda: two.coordinating.coordinator.leased() == 1)


def test_a_request_is_placed_without_a_lease_if_no_coordinator_replies():
    """No node that answers must not mean that no request is served."""
    with PooledGateway(ScriptedServer()) as running:
        running.pooling.coordinator.handle_request = lambda *message: None
        assert running.call().status == 200
        assert running.context.metrics.slot_replies["pool_none"] == 2


def test_a_lease_of_a_server_that_is_not_known_here_is_returned():
    """The coordinator learns of a lost server later, or of a new one earlier."""
    with PooledGateway(ScriptedServer()) as running:
        coordinator = running.pooling.coordinator
        real = coordinator._set_servers

        def with_unknown(service, pool):
            new = real(service, pool)
            pool.set_servers({"i-9": (1, 1)})
            return new

        coordinator._set_servers = with_unknown
        assert running.call().status == 200
        assert coordinator.leased() == 0


def test_a_server_that_started_again_has_no_load_of_its_earlier_incarnation():
    """Half of its slots were not leased for a second, and it counted as slow, although
    it had just started."""
    with PooledGateway(ScriptedServer(), slots=4) as running:
        lease = running.lease()
        server = running.servers[0]
        entry = make_entry(server.id, address=server.address, slots=4, incarnation=2)
        running.context.registry.put(entry)
        running.context.registry.notify_listeners()
        pool = running.pooling.coordinator.pools[SERVICE]
        assert wait_for(lambda: pool.servers[server.id].incarnation == 2)
        lease.load, lease.slowdown = 24, 5.0
        running.pooling.release(lease)
        now = time.monotonic()
        assert pool.servers[server.id].slots.free(now) == 4
        assert pool.servers[server.id].slowdown_now(now) == 1.0


def test_messages_that_name_unknown_services_change_nothing():
    context = make_context(make_table())
    leasing = context.slot_leasing
    sent = []
    leasing.datagrams.send = lambda message, nodes: sent.append(message)
    leasing.receive(PoolSlotReturn(1, "other", "i-1", 99), "n2")
    leasing.receive(PoolSlotReply(1, "other", "i-1"), "n2")
    leasing.receive(PoolSlotRequest(2, "other", 5, "o", 0.1, 1.0), "n2")
    assert [type(message) for message in sent] == [PoolSlotReturn, PoolSlotReply]
    assert sent[1].retry_after_s >= 0
