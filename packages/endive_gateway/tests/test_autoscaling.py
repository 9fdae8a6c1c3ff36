import time

import pytest
from endive_core.leases import DutyLog, Lease
from endive_core.rollouts import Stage, StageKind
from endive_core.routing import Scaling, Service
from endive_gateway.autoscaling import (
    LIST_SETTLE_S,
    REGISTRATION_GAP_S,
    REGISTRATION_S,
    SCALE_IN_DELAY_S,
    Autoscaler,
)
from endive_gateway.interfaces import ResponseMetadata, ServerState
from endive_gateway.peers import Peers
from gateway_builders import make_context, make_entry, make_table
from rollout_builders import NEW, allow_rollouts, order
from store_builders import RecordingCloud, call_without_answer

SCALING = Scaling(1, 6, 4.0, 0.22, {"a": 0.85, "b": 1.2, "c": 1.0})


class Fleet:
    """The autoscaler of one holder, with a cloud that accepts orders at once."""

    def __init__(self):
        self.cloud = RecordingCloud()
        table = make_table()
        self.service = table.services["s"] = Service("s", scaling=SCALING)
        self.context = make_context(table, cloud=self.cloud)
        self.context.registry.is_loaded = True
        self.autoscaler = Autoscaler(self.context, Peers(self.context))
        self.now = 1000.0
        self.autoscaler.clock = lambda: self.now
        self.lease = Lease(7, 1e9)
        self.numbers = iter(range(1, 1000))

    def add(self, zone, count, *, reclaimable=True):
        for _ in range(count):
            entry = make_entry(
                f"i-{next(self.numbers)}", zone=zone, reclaimable=reclaimable
            )
            self.context.registry.put(entry)

    def reclaim(self, zone):
        for known in list(self.context.registry.servers.values()):
            entry = known.entry
            if entry.zone == zone and entry.reclaimable:
                leaving = make_entry(
                    entry.id,
                    zone=zone,
                    reclaimable=True,
                    state=ServerState.LEAVING,
                    sequence=9,
                )
                self.context.registry.put(leaving)

    def run_for(self, seconds, work=1.0):
        """Step for `seconds` at a load of `work` servers; return new orders by pool.

        Only the newest order of each pool is returned.
        """
        before = len(self.cloud.orders)
        end = self.now + seconds
        while self.now < end:
            self.context.work.smoothed = {"s": work}
            self.autoscaler.sample_load(self.now)
            self.autoscaler.step("n1", self.lease, self.now)
            self.now += 0.25
        return {
            (order.zone, order.reclaimable): order.servers
            for _, _, order in self.cloud.orders[before:]
        }


@pytest.fixture
def fleet():
    return Fleet()


def test_nothing_is_released_before_the_servers_have_registered(fleet):
    """A holder that has just started sees the first two of nine servers. If it sized
    the service by them, the service would shrink before the first request."""
    fleet.add("a", 2, reclaimable=False)
    orders = fleet.run_for(LIST_SETTLE_S - 0.5, work=0.0)
    assert all(reclaimable for _, reclaimable in orders)
    assert set(orders.values()) == {2}


def test_servers_that_register_late_count_before_any_is_released(fleet):
    """The servers of a large service register over three seconds. If the holder sized
    it by those of the first 2.5 s, a third of the load would have no server when
    traffic begins."""
    for _ in range(8):
        fleet.add("a", 1, reclaimable=False)
        orders = fleet.run_for(0.5, work=0.0)
        assert all(reclaimable for _, reclaimable in orders)
    orders = fleet.run_for(REGISTRATION_GAP_S + 0.5, work=0.0)
    assert fleet.autoscaler.needed(fleet.context.table.services["s"], fleet.now) >= 8
    assert not all(reclaimable for _, reclaimable in orders)


def test_reclaimable_servers_are_ordered_at_once_and_more_as_more_register(fleet):
    """On-demand servers run at the start, at five times the price, until reclaimable
    ones replace them. Each second before those are ordered costs money."""
    fleet.add("a", 2, reclaimable=False)
    assert fleet.run_for(0.25, work=0.0) == {(zone, True): 2 for zone in "abc"}
    fleet.add("b", 2, reclaimable=False)
    assert fleet.run_for(0.25, work=0.0) == {(zone, True): 4 for zone in "abc"}


def test_an_order_whose_servers_do_not_appear_is_sent_again(fleet):
    """The cloud accepted an order and lost half of it. If it were sent again only after
    15 s, half of the servers would be missing until then."""
    for zone in "abc":
        fleet.add(zone, 2)
    assert fleet.run_for(1.0, work=3.0)[("a", True)] == 4
    wait_s = SCALING.boot_s + REGISTRATION_S
    assert not fleet.run_for(wait_s - 1.5, work=3.0)
    assert fleet.run_for(1.0, work=3.0)[("a", True)] == 4
    for zone in "abc":
        fleet.add(zone, 2)
    assert not fleet.run_for(wait_s, work=3.0)


def test_nothing_is_ordered_before_any_server_is_known(fleet):
    fleet.context.registry.is_loaded = False
    assert not fleet.run_for(2.0, work=0.0)


def test_an_order_is_not_repeated_while_nothing_changes(fleet):
    for zone in "abc":
        fleet.add(zone, 2)
    fleet.run_for(12.0)
    assert not fleet.run_for(2.0)


def on_demand(orders):
    return sum(count for (_, reclaimable), count in orders.items() if not reclaimable)


def test_a_reclaimed_zone_is_replaced_at_once_and_released_later(fleet):
    """A zone's servers are reclaimed and the cloud has no other reclaimable ones. If
    the other zones are reclaimed too, some server must still be running."""
    for zone in "abc":
        fleet.add(zone, 2)
    fleet.run_for(10.0)
    fleet.reclaim("b")
    fleet.cloud.empty = {"a", "b", "c"}
    assert on_demand(fleet.run_for(0.5)) == 1
    fleet.cloud.empty = set()
    fleet.add("b", 2)
    assert on_demand(fleet.run_for(30.0)) == 0


def test_a_new_holder_during_a_reclaim_covers_most_of_the_load(fleet):
    """The holder dies, and a zone gets its reclaim notice before the next holder acts.
    That node never saw the zone's servers ready. If it counted the zone as one without
    servers, losing the other zones would leave callers without any server."""
    for zone in "abc":
        fleet.add(zone, 2)
    fleet.reclaim("b")
    fleet.cloud.empty = {"a", "b", "c"}
    fleet.autoscaler.traffic_since = fleet.now - 60.0
    fleet.autoscaler.begin_tenure(fleet.now)
    assert on_demand(fleet.run_for(0.5, work=2.5)) == 2


def test_refused_orders_are_retried_with_backoff(fleet):
    fleet.cloud.empty = {"a", "b", "c"}
    asked = []
    order = fleet.cloud.order

    def count(holder, fence, given):
        if given.reclaimable and given.zone == "a":
            asked.append(fleet.now)
        order(holder, fence, given)

    fleet.cloud.order = count
    fleet.run_for(30.0)
    gaps = [later - earlier for earlier, later in zip(asked, asked[1:], strict=False)]
    assert 3 <= len(asked) <= 8
    assert gaps == sorted(gaps)


def test_servers_are_released_only_after_a_delay(fleet):
    for zone in "abc":
        fleet.add(zone, 2)
    fleet.run_for(12.0, work=3.0)
    fleet.autoscaler.load_meters["s"].samples.clear()
    early = fleet.run_for(SCALE_IN_DELAY_S - 1.0, work=0.1)
    assert not any(reclaimable for _, reclaimable in early)
    late = fleet.run_for(SCALE_IN_DELAY_S, work=0.1)
    assert any(reclaimable for _, reclaimable in late)


def test_no_order_is_sent_without_enough_lease(fleet):
    """A holder's lease ends while its order is on the way, and the successor has sent
    another one. The platform would receive the older holder's order last."""
    fleet.lease.until = fleet.now + 0.1
    fleet.run_for(0.2)
    assert not fleet.cloud.orders


def test_orders_are_retried_while_the_cloud_is_down(fleet):
    fleet.cloud.down = True
    fleet.run_for(3.0)
    fleet.cloud.down = False
    assert fleet.run_for(2.0)


def test_a_holder_that_has_just_started_does_not_shrink_the_service(fleet):
    """All nodes lost power and restart. The new holder has measured no load yet; if it
    released servers, only half of them would be left when the callers reconnect."""
    for zone in "abc":
        fleet.add(zone, 3)
    fleet.autoscaler.begin_tenure(fleet.now)
    orders = fleet.run_for(6.0, work=0.3)
    assert all(count >= 3 for (_, spot), count in orders.items() if spot)


def test_no_order_is_sent_after_the_lease_when_the_cloud_is_slow(fleet):
    """Each call to the cloud takes half a second. If the lease were checked only before
    the first, later orders of a step would be sent when a successor is the holder."""
    given = []

    def slow(holder, fence, order):
        given.append(fleet.now)
        fleet.now += 0.5

    fleet.cloud.order = slow
    fleet.run_for(LIST_SETTLE_S, work=1.0)
    del given[:]
    fleet.autoscaler.accepted.clear()
    fleet.lease.until = fleet.now + 1.6
    fleet.autoscaler.step("n1", fleet.lease, fleet.now)
    assert 1 <= len(given) <= 3
    assert all(at + 0.4 <= fleet.lease.until for at in given)


def test_an_order_without_an_answer_may_still_arrive(fleet):
    """A call that timed out arrives after the successor's, with a lower token."""
    fleet.add("a", 3)
    fleet.cloud.on_call = call_without_answer
    log = DutyLog(lease_s=2.4, margin_s=0.5)
    assert fleet.lease.is_settled(fleet.now, log)
    fleet.run_for(5.0, work=4.0)
    assert not fleet.lease.is_settled(fleet.now, log)


def test_servers_that_name_limits_count_for_what_they_take(fleet):
    """The others got their load, and were overloaded."""
    for zone in "abc":
        fleet.add(zone, 3)
    fleet.context.work.averages = {"s": 2.0}
    fleet.context.work.rates = {"s": 40.0}
    fleet.run_for(12.0, work=2.0)
    needed = fleet.autoscaler.needed(fleet.service, fleet.now)
    for server, limit in (("i-1", 1.7), ("i-2", 100.0)):
        named = ResponseMetadata(request_limit=limit)
        fleet.context.limit_sharing.observe(server, named, time.monotonic())
    with_limits = fleet.autoscaler.needed(fleet.service, fleet.now)
    assert with_limits - needed == pytest.approx(0.9)
    assert sum(fleet.run_for(2.0, work=2.0).values()) > 0


def begin_rollout(fleet, kind=StageKind.SMALL):
    """Let servers of another version run beside the old ones, at some stage."""
    allow_rollouts(fleet.context)
    for number in range(3):
        fleet.context.registry.put(
            make_entry(
                f"new-{number}",
                zone="a",
                reclaimable=True,
                software_version=NEW,
                incarnation=9,
            )
        )
    fleet.context.rollouts.learn_order(order())
    fleet.context.rollouts.set_stage("s", 7, Stage(kind, 1, 0.05, 1))
    fleet.context.registry.notify_listeners()


def test_no_server_is_released_while_a_rollout_runs():
    """The base loses servers that it needs if the candidate is rolled back."""
    fleet = Fleet()
    fleet.add("a", 4)
    fleet.context.registry.notify_listeners()
    fleet.run_for(20.0, work=3.0)
    begin_rollout(fleet)
    before = dict(fleet.autoscaler.accepted)
    fleet.run_for(30.0, work=0.1)
    for key, (servers, _) in before.items():
        assert fleet.autoscaler.accepted[key][0] >= servers


@pytest.mark.parametrize("kind", [StageKind.SMALL, StageKind.ROLLED_BACK])
def test_a_candidates_servers_are_no_capacity(kind):
    """The holder takes the service for twice as large as it is."""
    fleet = Fleet()
    fleet.add("a", 2)
    fleet.context.registry.notify_listeners()
    begin_rollout(fleet, kind)
    pools = fleet.autoscaler._pool_states(fleet.service)
    assert sum(state.ready for state in pools.values()) == 2
