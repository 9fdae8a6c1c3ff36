import pytest
from endive_core.leases import Lease
from endive_core.routing import Scaling, Service
from endive_gateway.autoscaling import LOWER_AFTER_S, SETTLED_S, STARTED_S, Ordering
from endive_gateway.interfaces import ServerState
from endive_gateway.peers import Peers
from gateway_builders import make_context, make_entry, make_table
from store_builders import RecordingCloud

SCALING = Scaling(1, 6, 4.0, 0.22, {"a": 0.85, "b": 1.2, "c": 1.0})


class Fleet:
    """Orders of one holder against a cloud that starts servers at once."""

    def __init__(self):
        self.cloud = RecordingCloud()
        table = make_table()
        table.services["s"] = Service("s", scaling=SCALING)
        self.context = make_context(table, cloud=self.cloud)
        self.context.registry.is_loaded = True
        self.ordering = Ordering(self.context, Peers(self.context))
        self.now = 1000.0
        self.ordering.clock = lambda: self.now
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

    def play(self, seconds, work=1.0):
        """Step for `seconds`; return the orders given, newest by pool."""
        before = len(self.cloud.orders)
        end = self.now + seconds
        while self.now < end:
            self.context.work.smoothed = {"s": work}
            self.ordering.measure(self.now)
            self.ordering.step("n1", self.lease, self.now)
            self.now += 0.25
        return {
            (order.zone, order.reclaimable): order.servers
            for _, _, order in self.cloud.orders[before:]
        }


@pytest.fixture
def fleet():
    return Fleet()


def test_nothing_is_given_back_before_the_servers_have_registered(fleet):
    """A holder that has just started sees the first two servers of nine. Sized by
    them, the service would shrink before the first request comes."""
    fleet.add("a", 2, reclaimable=False)
    orders = fleet.play(SETTLED_S - 0.5, work=0.0)
    assert all(reclaimable for _, reclaimable in orders)
    assert set(orders.values()) == {2}


def test_reclaimable_servers_are_ordered_at_once_and_more_as_more_register(fleet):
    """On-demand servers run at the start, at five times the price, until reclaimable
    ones are there. Each second before those are ordered is paid for."""
    fleet.add("a", 2, reclaimable=False)
    assert fleet.play(0.25, work=0.0) == {(zone, True): 2 for zone in "abc"}
    fleet.add("b", 2, reclaimable=False)
    assert fleet.play(0.25, work=0.0) == {(zone, True): 4 for zone in "abc"}


def test_an_order_whose_servers_do_not_come_is_sent_again(fleet):
    """The cloud took an order and forgot half of it. Sent again only after a quarter of
    a minute, callers would meet half of the servers until then."""
    for zone in "abc":
        fleet.add(zone, 2)
    assert fleet.play(1.0, work=3.0)[("a", True)] == 4
    wait_s = SCALING.boot_s + STARTED_S
    assert not fleet.play(wait_s - 1.5, work=3.0)
    assert fleet.play(1.0, work=3.0)[("a", True)] == 4
    for zone in "abc":
        fleet.add(zone, 2)
    assert not fleet.play(wait_s, work=3.0)


def test_nothing_is_ordered_before_any_server_is_known(fleet):
    fleet.context.registry.is_loaded = False
    assert not fleet.play(2.0, work=0.0)


def test_an_order_is_not_repeated_while_nothing_changes(fleet):
    for zone in "abc":
        fleet.add(zone, 2)
    fleet.play(12.0)
    assert not fleet.play(2.0)


def on_demand(orders):
    return sum(count for (_, reclaimable), count in orders.items() if not reclaimable)


def test_a_reclaimed_zone_is_made_up_at_once_and_given_back_later(fleet):
    """A zone's servers are taken and the cloud has no others of the kind. If the last
    zones go too before it has, callers must meet some server."""
    for zone in "abc":
        fleet.add(zone, 2)
    fleet.play(10.0)
    fleet.reclaim("b")
    fleet.cloud.empty = {"a", "b", "c"}
    assert on_demand(fleet.play(0.5)) == 1
    fleet.cloud.empty = set()
    fleet.add("b", 2)
    assert on_demand(fleet.play(30.0)) == 0


def test_a_holder_that_takes_over_in_a_reclaim_covers_most_of_the_load(fleet):
    """The holder dies, and a zone gets its notice before the next one acts. It never
    saw that zone's servers ready; taken for a zone that has none, the loss of the
    others would leave callers without a server."""
    for zone in "abc":
        fleet.add(zone, 2)
    fleet.reclaim("b")
    fleet.cloud.empty = {"a", "b", "c"}
    fleet.ordering.traffic_since = fleet.now - 60.0
    fleet.ordering.begin(fleet.now)
    assert on_demand(fleet.play(0.5, work=2.5)) == 2


def test_a_pool_that_refused_is_asked_again_with_growing_pauses(fleet):
    fleet.cloud.empty = {"a", "b", "c"}
    asked = []
    order = fleet.cloud.order

    def count(holder, fence, given):
        if given.reclaimable and given.zone == "a":
            asked.append(fleet.now)
        order(holder, fence, given)

    fleet.cloud.order = count
    fleet.play(30.0)
    gaps = [later - earlier for earlier, later in zip(asked, asked[1:], strict=False)]
    assert 3 <= len(asked) <= 8
    assert gaps == sorted(gaps)


def test_servers_are_given_back_only_after_a_while(fleet):
    for zone in "abc":
        fleet.add(zone, 2)
    fleet.play(12.0, work=3.0)
    fleet.ordering.loads["s"].samples.clear()
    early = fleet.play(LOWER_AFTER_S - 1.0, work=0.1)
    assert not any(reclaimable for _, reclaimable in early)
    late = fleet.play(LOWER_AFTER_S, work=0.1)
    assert any(reclaimable for _, reclaimable in late)


def test_no_order_is_begun_without_enough_lease(fleet):
    """A holder's lease ends while its order is on the way, and the successor has given
    another one. The platform would see the older holder last."""
    fleet.lease.until = fleet.now + 0.1
    fleet.play(0.2)
    assert not fleet.cloud.orders


def test_a_cloud_that_is_down_is_asked_again(fleet):
    fleet.cloud.down = True
    fleet.play(3.0)
    fleet.cloud.down = False
    assert fleet.play(2.0)


def test_a_holder_that_just_started_does_not_shrink_the_service(fleet):
    """All nodes lost power and start again. The new holder has measured no load yet; if
    it gave servers back, the returning callers would meet half of them."""
    for zone in "abc":
        fleet.add(zone, 3)
    fleet.ordering.begin(fleet.now)
    orders = fleet.play(6.0, work=0.3)
    assert all(count >= 3 for (_, spot), count in orders.items() if spot)


def test_a_slow_cloud_does_not_carry_orders_past_the_lease(fleet):
    """Each call to the cloud takes half a second. Checked only before the first, the
    later orders of one round would go out when the successor holds the duties."""
    given = []

    def slow(holder, fence, order):
        given.append(fleet.now)
        fleet.now += 0.5

    fleet.cloud.order = slow
    fleet.play(SETTLED_S, work=1.0)
    del given[:]
    fleet.ordering.taken.clear()
    fleet.lease.until = fleet.now + 1.6
    fleet.ordering.step("n1", fleet.lease, fleet.now)
    assert 1 <= len(given) <= 3
    assert all(at + 0.4 <= fleet.lease.until for at in given)
