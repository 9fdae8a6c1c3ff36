"""Tests of which servers are ordinary, candidates, or withheld."""

from dataclasses import replace
from itertools import permutations

import pytest
from endive_core.rollouts import NO_STAGE, OrderBook, RolloutOrder, Stage, StageKind
from endive_core.version_admission import (
    PROOF_MARGIN_S,
    VERSION_MEMORY_S,
    VersionAdmission,
    VersionedServer,
)

OLD = [VersionedServer(f"old-{n}", "v1", 100 + n) for n in range(3)]
NEW = [VersionedServer(f"new-{n}", "v2", 200 + n) for n in range(3)]


class Node:
    """A node's admission, whose old servers have been confirmed as ordinary."""

    def __init__(self):
        self.book = OrderBook()
        self.admission = VersionAdmission(self.book)
        self.now = 10.0
        self.divide(OLD)
        self.now += 1.0
        self.book.prove(self.now)
        self.divide(OLD)

    def divide(self, servers, kind=None, **options):
        stage = NO_STAGE if kind is None else Stage(kind, 1)
        return self.admission.divide("s", servers, stage, self.now, **options)

    def order(self, to="v2", offset=7, at=0.0):
        self.book.put(RolloutOrder("s", to, 10.0, offset, at))


def ids(servers):
    return {server.id for server in servers}


@pytest.fixture
def node():
    return Node()


def test_a_new_version_waits_for_a_proof_after_it_was_learned(node):
    """A proof from just before the server was learned may be from before its order."""
    node.now += 1.0
    assert node.divide(OLD + NEW).withheld == ids(NEW)
    node.book.prove(node.now)
    assert node.divide(OLD + NEW).withheld == ids(NEW)
    node.book.prove(node.now + PROOF_MARGIN_S)
    division = node.divide(OLD + NEW)
    assert division.ordinary == ids(OLD + NEW)


def test_a_server_that_starts_again_with_another_version_waits(node):
    """A server restarts under its id with the ordered version."""
    node.now += 5.0
    node.book.prove(node.now)
    again = VersionedServer("old-0", "v2", 300)
    assert node.divide([again, *OLD[1:]]).withheld == {"old-0"}


def test_further_servers_of_an_ordinary_version_do_not_wait(node):
    """The store is silent, and servers of the same version replace lost ones."""
    node.now += 5.0
    more = VersionedServer("old-9", "v1", 400)
    assert node.divide([*OLD, more]).ordinary == ids([*OLD, more])


def test_a_version_that_was_gone_waits_again(node):
    """After v1 was replaced by v2, an order leads back to v1."""
    node.now += 1.0
    node.divide(NEW)
    node.now += VERSION_MEMORY_S + 0.1
    node.book.prove(node.now)
    node.divide(NEW)
    node.now += 1.0
    back = [VersionedServer("back", "v1", 500)]
    assert node.divide(NEW + back).withheld == {"back"}


def test_a_starting_node_uses_the_version_that_started_first():
    """A node starts in the middle of a rollout and can't reach the store."""
    admission = VersionAdmission(OrderBook())
    division = admission.divide("s", NEW + OLD, NO_STAGE, 1.0)
    assert division.ordinary == ids(OLD)
    assert division.withheld == ids(NEW)


def test_servers_without_a_readable_version_are_used_at_the_start():
    """Each is unlike any other, and only one of them gets requests."""
    unreadable = [VersionedServer(f"u-{n}", f"?{n}", n, False) for n in range(3)]
    division = VersionAdmission(OrderBook()).divide("s", unreadable, NO_STAGE, 1.0)
    assert division.ordinary == ids(unreadable)


def test_a_completed_version_replaces_the_others(node):
    """Old servers stop without notice, and get requests until their entries lapse."""
    node.order()
    assert node.divide(OLD + NEW).candidates == ids(NEW)
    division = node.divide(OLD + NEW, StageKind.COMPLETED)
    assert division.ordinary == ids(NEW)
    assert division.withheld == ids(OLD)


def test_after_a_completed_rollout_servers_are_replaced_as_before(node):
    """A version that comes without an order later is withheld for good."""
    node.order()
    node.divide(OLD + NEW, StageKind.COMPLETED)
    node.now += 5.0
    third = VersionedServer("third", "v3", 600)
    assert node.divide([*NEW, third], StageKind.COMPLETED).withheld == {"third"}
    node.book.prove(node.now + 1.0)
    assert "third" in node.divide([*NEW, third], StageKind.COMPLETED).ordinary


def test_a_rolled_back_version_stays_out_after_the_next_order(node):
    """Servers of a bad version that still drain become ordinary ones."""
    node.order()
    node.divide(OLD + NEW, StageKind.ROLLED_BACK)
    node.now += 5.0
    node.order("v3", 9, 20.0)
    node.book.prove(node.now + 5.0)
    assert node.divide(OLD + NEW).withheld == ids(NEW)


def test_a_rolled_back_version_is_used_if_nothing_else_is_left(node):
    """The service goes down although servers run."""
    node.order()
    assert node.divide(NEW, StageKind.ROLLED_BACK).candidates == ids(NEW)


def test_orders_that_arrive_in_any_order_are_the_same():
    """A late relay of an old order replaces the newest one."""
    first = RolloutOrder("s", "v2", 10.0, 7, 1.0)
    second = RolloutOrder("s", "v3", 10.0, 9, 2.0)
    for orders in ([first, second], [second, first]):
        book = OrderBook()
        for order in orders:
            book.put(order)
        assert book.orders["s"] == replace(second, after=7)


def test_a_repeated_order_is_the_same_rollout():
    """An operator's retry begins the rollout anew, with a new bound on exposure."""
    first = RolloutOrder("s", "v2", 10.0, 7, 1.0)
    again = RolloutOrder("s", "v2", 10.0, 9, 4.0)
    later = RolloutOrder("s", "v2", 10.0, 11, 30.0)
    for orders in ([first, again], [again, first]):
        book = OrderBook()
        for order in orders:
            book.put(order)
        assert book.orders["s"] == replace(first, repeated=9)
    book.put(later)
    assert book.orders["s"] == later


def test_a_repetition_that_a_node_reads_late_begins_no_rollout():
    """A node that started after the rollout had ended took the record of an operator's
    retry for a new order, and all others took it from there."""
    fleet, started = OrderBook(), OrderBook()
    for book, orders in ((fleet, ((7, 1.0), (9, 4.0))), (started, ((9, 60.0),))):
        for offset, at in orders:
            book.put(RolloutOrder("s", "v2", 10.0, offset, at))
    told = fleet.orders["s"], started.orders["s"]
    assert not fleet.put(told[1])
    started.put(told[0])
    assert fleet.orders == started.orders
    assert fleet.orders["s"].offset == 7


def test_an_order_that_was_replaced_and_repeated_settles():
    """Nodes that told each other three orders changed theirs again and again, and the
    rollout began anew each time."""
    orders = [
        RolloutOrder("s", to, 10.0, offset, float(offset))
        for offset, to in ((7, "v2"), (8, ""), (9, "v2"))
    ]
    read = OrderBook()
    for order in orders:
        read.put(order)
    for sequence in permutations((*orders, read.orders["s"])):
        book = OrderBook()
        for order in sequence * 2:
            book.put(order)
        for order in (*sequence, read.orders["s"]):
            assert not book.put(order)
    assert not read.put(orders[0])
    assert read.orders["s"].offset == 9


def test_a_list_of_orders_that_ends_earlier_proves_nothing():
    """Another node's proof is of a list without the newest order."""
    book = OrderBook()
    book.put(RolloutOrder("s", "v2", 10.0, 7, 1.0))
    book.merge([], 5, 100.0)
    assert not book.is_proven_since(50.0)
    book.merge([], 8, 100.0)
    assert book.is_proven_since(50.0)
