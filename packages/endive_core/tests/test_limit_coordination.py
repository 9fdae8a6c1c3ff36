import heapq
import itertools

import pytest
from endive_core.limit_coordination import (
    GRANT_TIMEOUT_S,
    UnsentSpending,
    coordinator_for,
    may_spend_without_grant,
)
from endive_core.shared_limits import INITIAL_CREDIT_S, SharedLimits, SpendingOrigin

RATE, BURST, SLACK = 400.0, 400.0, 800.0
WINDOW_S = 4.0
MOST = (RATE * WINDOW_S + BURST) * 1.1 + SLACK
UNITS = 20.0
BROADCAST_INTERVAL_S = 1.0
DELAY_S = 0.005


class Node:
    def __init__(self, name, now):
        self.name = name
        self.limits = SharedLimits(now, slack=SLACK)
        self.limits.terms_of = lambda organisation: (RATE, BURST)
        self.count = UnsentSpending()
        self.sequence = 0
        self.requested = 0.0


class Fleet:
    """Simulated nodes that broadcast all of their spending once a second, one after the
    other, and report each admitted request at once to the coordinator.

    Parameters
    ----------
    updates : bool
        Whether admitted requests are reported at once.
    lost : callable
        Returns whether an update between two nodes is lost.
    grants : bool
        Whether nodes ask the coordinator for more than their even part.
    delay_s : float
        Delay of each datagram in the network and in queues.
    """

    def __init__(
        self,
        size,
        *,
        updates=True,
        lost=lambda: False,
        grants=False,
        delay_s=DELAY_S,
    ):
        self.now = 0.0
        self.nodes = {f"n{i}": Node(f"n{i}", 0.0) for i in range(size)}
        for node in self.nodes.values():
            for other in self.nodes.keys() - {node.name}:
                node.limits.add_peer(other, 0.0)
        self.updates = updates
        self.lost = lost
        self.grants = grants
        self.delay_s = delay_s
        self.admitted = []
        self.order = itertools.count()
        self.queue = []
        self.updates_sent = 0
        for index, node in enumerate(self.nodes.values()):
            self.schedule(BROADCAST_INTERVAL_S * index / size, self.broadcast, node)

    def schedule(self, delay_s, act, *arguments):
        heapq.heappush(
            self.queue, (self.now + delay_s, next(self.order), act, arguments)
        )

    def broadcast(self, node):
        node.sequence += 1
        spent = dict(node.limits.own_totals())
        for other in self.nodes.values():
            if other is not node:
                self.schedule(
                    self.delay_s, self.receive, other, node.name, spent, node.sequence
                )
        self.schedule(BROADCAST_INTERVAL_S, self.broadcast, node)

    def receive(self, node, sender, spent, sequence):
        node.limits.receive(self.origin(sender, sequence), spent, self.now)

    def origin(self, name, sequence):
        return SpendingOrigin(name, 1, sequence, age_s=self.now)

    def send_update(self, receiver, entries):
        self.updates_sent += 1
        if not self.lost():
            self.schedule(self.delay_s, self.receive_updates, receiver, entries)

    def receive_updates(self, node, entries):
        for name, units, sequence in entries:
            if name == node.name:
                continue
            origin = self.origin(name, sequence)
            new = node.limits.apply_update(origin, "o", units, self.now)
            if coordinator_for("o", self.nodes) == node.name:
                self.count_at_coordinator(node, name, new)

    def count_at_coordinator(self, coordinator, name, units):
        coordinator.count.add("o", name, units)
        left, most = coordinator.limits.left("o", self.now, rate=RATE, burst=BURST)
        if not coordinator.count.take_due("o", left=left, most=most):
            return
        for other in self.nodes.values():
            if other is not coordinator:
                self.updates_sent += 1
                if not self.lost():
                    self.schedule(self.delay_s, self.learn_left, other, left)

    def learn_left(self, node, left):
        node.limits.learn_left("o", left + node.requested, self.now)

    def entry(self, coordinator, name):
        spent = coordinator.limits.own_totals()
        if name != coordinator.name:
            spent = coordinator.limits.peers[name].spent
        return name, spent["o"], self.nodes[name].sequence

    def request(self, node):
        coordinator = self.nodes[coordinator_for("o", self.nodes)]
        left, _ = node.limits.left("o", self.now, rate=RATE, burst=BURST)
        even = may_spend_without_grant(UNITS, left=left, nodes=len(self.nodes))
        if self.grants and node is not coordinator and left > 0 and not even:
            if 2 * self.delay_s < GRANT_TIMEOUT_S and not self.lost():
                node.requested += UNITS
                self.schedule(self.delay_s, self.grant, coordinator, node)
            return
        if node.limits.wait_s("o", UNITS, self.now, rate=RATE, burst=BURST):
            return
        self.admitted.append(self.now)
        if coordinator is node:
            self.count_at_coordinator(node, node.name, UNITS)
        elif self.updates:
            self.send_update(coordinator, [self.entry(node, node.name)])

    def grant(self, coordinator, node):
        total = node.limits.own_totals().get("o", 0.0) + UNITS
        origin = self.origin(node.name, node.sequence)
        wait_s = coordinator.limits.grant(
            origin, "o", total, self.now, rate=RATE, burst=BURST
        )
        if wait_s == 0.0:
            self.count_at_coordinator(coordinator, node.name, UNITS)
        self.schedule(self.delay_s, self.replied, node, wait_s == 0.0)

    def replied(self, node, granted):
        node.requested -= UNITS
        if not granted:
            return
        node.limits.spend("o", UNITS)
        self.admitted.append(self.now)

    def flood(self, until, units_per_s):
        """Send requests to the nodes in turn; return the times of those admitted."""
        gap = UNITS / units_per_s
        nodes = itertools.cycle(self.nodes.values())
        sent_at = self.now
        while sent_at < until:
            while self.queue and self.queue[0][0] <= sent_at:
                self.now, _, act, arguments = heapq.heappop(self.queue)
                act(*arguments)
            self.now = sent_at
            self.request(next(nodes))
            sent_at += gap
        return self.admitted


def most_in_window(admitted):
    first, most = 0, 0
    for last, at in enumerate(admitted):
        while admitted[first] <= at - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most * UNITS


def test_a_flood_over_many_nodes_stays_within_the_limit():
    """One organisation sends twenty times its limit to three hundred nodes, which
    broadcast their spending once a second. Each believes that the whole allowance is
    left, and together they admit 6,000 units of 3,000 in four seconds; 1,960 if each
    request is reported to the coordinator."""
    broadcast_only = Fleet(300, updates=False).flood(6.0, 20 * RATE)
    assert most_in_window(broadcast_only) > MOST
    fleet = Fleet(300)
    admitted = fleet.flood(6.0, 20 * RATE)
    assert most_in_window(admitted) <= 0.7 * MOST
    assert len(admitted) * UNITS >= 0.95 * RATE * 6.0


@pytest.mark.parametrize("size", [6, 100])
def test_a_flood_from_the_first_moment(size):
    """All nodes have just started when the flood begins, and none has received
    another's broadcast."""
    fleet = Fleet(size)
    assert most_in_window(fleet.flood(10.0, 7 * RATE)) <= 0.7 * MOST
    assert fleet.updates_sent <= 10.0 * (RATE / UNITS + 8 * size)


def test_a_flood_while_the_coordinator_hangs():
    """A hundred nodes are flooded with seven times a limit, the coordinator hangs, and
    datagrams take 0.1 s. Without grants, 3,500 units of 3,000 were admitted in four
    seconds. With grants, each node's even part of what is left is less than a request,
    so nothing is spent unreported."""
    without_grants = Fleet(100, lost=lambda: True, delay_s=0.1)
    assert most_in_window(without_grants.flood(10.0, 7 * RATE)) > MOST
    with_grants = Fleet(100, lost=lambda: True, grants=True, delay_s=0.1)
    assert most_in_window(with_grants.flood(10.0, 7 * RATE)) <= BURST + 0.4 * SLACK


def test_a_flood_with_grants_gets_what_the_limit_allows():
    """Each datagram takes 20 ms, as on a busy machine."""
    admitted = Fleet(100, grants=True, delay_s=0.02).flood(10.0, 7 * RATE)
    assert most_in_window(admitted) <= RATE * WINDOW_S + BURST + 0.4 * SLACK
    assert len(admitted) * UNITS >= 0.95 * RATE * 10.0


def test_an_organisation_below_its_limit_causes_one_datagram_a_request():
    fleet = Fleet(100)
    admitted = fleet.flood(10.0, 0.5 * RATE)
    assert len(admitted) * UNITS >= 0.99 * 0.5 * RATE * 10.0
    assert fleet.updates_sent <= len(admitted) + 100
    assert fleet.updates_sent >= 0.9 * len(admitted)


def test_state_broadcasts_correct_for_lost_updates():
    """The coordinator is cut off, and all updates to it are lost. The limit must hold
    as well as broadcasts once a second keep it, and nothing may count twice."""
    fleet = Fleet(6, lost=lambda: True)
    admitted = fleet.flood(20.0, 2 * RATE)
    assert 0.9 * RATE * 20.0 <= len(admitted) * UNITS <= RATE * 20.0 + BURST + SLACK


def origin(*, sequence, age_s=1.0):
    return SpendingOrigin("p", 1, sequence, age_s)


def apply_one(limits, units, **options):
    return limits.apply_update(origin(**options), "o", units, 1.0)


def test_an_update_is_not_counted_again_with_the_broadcast():
    limits = SharedLimits(0.0)
    assert apply_one(limits, 20.0, sequence=1) == 20.0
    limits.receive(origin(sequence=2), {"o": 20.0}, 1.1)
    assert limits.allowances["o"].units == -20.0


def test_a_broadcast_overtaken_by_an_update_refunds_nothing():
    """A node broadcasts its spending, then admits a request and sends an update, which
    arrives first. Taken as the newest, the broadcast would refund what the update has
    charged."""
    limits = SharedLimits(0.0)
    apply_one(limits, 20.0, sequence=3)
    limits.receive(origin(sequence=3), {"o": 0.0}, 1.1)
    assert limits.allowances["o"].units == -20.0
    limits.receive(origin(sequence=4), {"o": 0.0}, 1.2)
    assert limits.allowances["o"].units == 0.0


def test_reordered_updates_count_once():
    limits = SharedLimits(0.0)
    assert apply_one(limits, 40.0, sequence=1) == 40.0
    assert apply_one(limits, 20.0, sequence=1) == 0.0
    assert apply_one(limits, 40.0, sequence=1) == 0.0


def test_an_update_of_an_unknown_old_node_waits_for_its_broadcast():
    """A restarted node receives the total that another has spent in an hour. Charged at
    once, it would have the organisation's callers refused for an hour."""
    limits = SharedLimits(0.0)
    assert apply_one(limits, 1e9, sequence=5000, age_s=3600.0) == 0.0
    assert limits.wait_s("o", 1.0, INITIAL_CREDIT_S, rate=RATE, burst=BURST) == 0.0


@pytest.mark.parametrize(("left", "due"), [(60.0, False), (40.0, True)])
def test_all_nodes_are_informed_when_little_is_left(left, due):
    count = UnsentSpending()
    count.add("o", "a", 10.0)
    count.add("o", "b", 5.0)
    assert bool(count.take_due("o", left=left, most=100.0)) is due
    assert bool(count.take_due("o", left=left, most=100.0)) is False
