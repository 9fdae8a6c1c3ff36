import heapq
import itertools

import pytest
from endive_core.limit_coordination import (
    GRANT_TIMEOUT_S,
    UnsentSpending,
    coordinator_for,
    may_spend_without_grant,
)
from endive_core.shared_limits import HEAD_START_S, SharedLimits, SpendingOrigin

RATE, BURST, SLACK = 400.0, 400.0, 800.0
WINDOW_S = 4.0
MOST = (RATE * WINDOW_S + BURST) * 1.1 + SLACK
UNITS = 20.0
TELL_S = 1.0
DELAY_S = 0.005


class Node:
    def __init__(self, name, now):
        self.name = name
        self.limits = SharedLimits(now, slack=SLACK)
        self.count = UnsentSpending()
        self.tellings = 0


class Fleet:
    """Nodes that tell each other all of their spending once a second, one after the
    other, and each admitted request at once to the counting node.

    Parameters
    ----------
    lost : callable
        Says whether a note between two nodes is lost.
    asking : bool
        Whether nodes ask the counting node for more than their even part.
    delay_s : float
        Time of each datagram on its way and in queues.
    """

    def __init__(
        self,
        size,
        *,
        counting=True,
        lost=lambda: False,
        asking=False,
        delay_s=DELAY_S,
    ):
        self.now = 0.0
        self.nodes = {f"n{i}": Node(f"n{i}", 0.0) for i in range(size)}
        for node in self.nodes.values():
            for other in self.nodes.keys() - {node.name}:
                node.limits.add_peer(other, 0.0)
        self.counting = counting
        self.lost = lost
        self.asking = asking
        self.delay_s = delay_s
        self.admitted = []
        self.order = itertools.count()
        self.queue = []
        self.notes = 0
        for index, node in enumerate(self.nodes.values()):
            self.later(TELL_S * index / size, self.tell, node)

    def later(self, delay_s, act, *arguments):
        heapq.heappush(
            self.queue, (self.now + delay_s, next(self.order), act, arguments)
        )

    def tell(self, node):
        node.tellings += 1
        spent = dict(node.limits.own_totals())
        for other in self.nodes.values():
            if other is not node:
                self.later(
                    self.delay_s, self.receive, other, node.name, spent, node.tellings
                )
        self.later(TELL_S, self.tell, node)

    def receive(self, node, sender, spent, tellings):
        node.limits.receive(self.spender(sender, tellings), spent, self.now)

    def spender(self, name, tellings):
        return SpendingOrigin(name, 1, tellings, age_s=self.now)

    def note(self, receiver, entries):
        self.notes += 1
        if not self.lost():
            self.later(self.delay_s, self.hear_notes, receiver, entries)

    def hear_notes(self, node, entries):
        for name, units, tellings in entries:
            if name == node.name:
                continue
            spender = self.spender(name, tellings)
            new = node.limits.apply_update(spender, "o", units, self.now)
            if coordinator_for("o", self.nodes) == node.name:
                self.counted(node, name, new)

    def counted(self, counter, name, units):
        counter.count.add("o", name, units)
        left, most = counter.limits.left("o", self.now, rate=RATE, burst=BURST)
        due = counter.count.take_due("o", left=left, most=most)
        entries = [self.entry(counter, name) for name in due]
        for other in self.nodes.values():
            if entries and other is not counter:
                self.note(other, entries)

    def entry(self, counter, name):
        spent = counter.limits.own_totals()
        if name != counter.name:
            spent = counter.limits.peers[name].spent
        return name, spent["o"], self.nodes[name].tellings

    def request(self, node):
        counter = self.nodes[coordinator_for("o", self.nodes)]
        left, _ = node.limits.left("o", self.now, rate=RATE, burst=BURST)
        even = may_spend_without_grant(UNITS, left=left, nodes=len(self.nodes))
        if self.asking and node is not counter and left > 0 and not even:
            if 2 * self.delay_s < GRANT_TIMEOUT_S and not self.lost():
                self.later(self.delay_s, self.grant, counter, node)
            return
        if node.limits.wait_s("o", UNITS, self.now, rate=RATE, burst=BURST):
            return
        self.admitted.append(self.now)
        if counter is node:
            self.counted(node, node.name, UNITS)
        elif self.counting:
            self.note(counter, [self.entry(node, node.name)])

    def grant(self, counter, node):
        total = node.limits.own_totals().get("o", 0.0) + UNITS
        spender = self.spender(node.name, node.tellings)
        wait_s = counter.limits.grant(
            spender, "o", total, self.now, rate=RATE, burst=BURST
        )
        if wait_s == 0.0:
            self.counted(counter, node.name, UNITS)
            self.later(self.delay_s, self.granted, node)

    def granted(self, node):
        node.limits.spend("o", UNITS)
        self.admitted.append(self.now)

    def flood(self, until, asked_per_s):
        """Ask the nodes in turn; return the times of what was admitted."""
        gap = UNITS / asked_per_s
        nodes = itertools.cycle(self.nodes.values())
        asked_at = self.now
        while asked_at < until:
            while self.queue and self.queue[0][0] <= asked_at:
                self.now, _, act, arguments = heapq.heappop(self.queue)
                act(*arguments)
            self.now = asked_at
            self.request(next(nodes))
            asked_at += gap
        return self.admitted


def most_in_window(admitted):
    first, most = 0, 0
    for last, at in enumerate(admitted):
        while admitted[first] <= at - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most * UNITS


def test_a_flood_over_many_nodes_stays_within_the_limit():
    """One organisation sends twenty times its limit to three hundred nodes, which hear
    of each other's spending once a second. Each believes that the whole allowance is
    left, and others' requests wait behind what they let through together: 6,000 units
    in four seconds before, 1,960 after, of 3,000."""
    told_once_a_second = Fleet(300, counting=False).flood(6.0, 20 * RATE)
    assert most_in_window(told_once_a_second) > MOST
    fleet = Fleet(300)
    admitted = fleet.flood(6.0, 20 * RATE)
    assert most_in_window(admitted) <= 0.7 * MOST
    assert len(admitted) * UNITS >= 0.95 * RATE * 6.0


@pytest.mark.parametrize("size", [6, 100])
def test_a_flood_from_the_first_moment(size):
    """All nodes have just started when the flood comes; none has heard another."""
    fleet = Fleet(size)
    assert most_in_window(fleet.flood(10.0, 7 * RATE)) <= 0.7 * MOST
    assert fleet.notes <= 10.0 * (RATE / UNITS + 8 * size)


def test_a_flood_while_the_counting_node_hangs():
    """A hundred nodes, a flood of seven times a limit, and the node that adds up has
    stopped; datagrams take 0.1 s. 3,500 units in four seconds were let through, of
    3,000. Each node's even part of what is left is less than a request, so nothing
    goes unheard."""
    noted = Fleet(100, lost=lambda: True, delay_s=0.1)
    assert most_in_window(noted.flood(10.0, 7 * RATE)) > MOST
    asked = Fleet(100, lost=lambda: True, asking=True, delay_s=0.1)
    assert most_in_window(asked.flood(10.0, 7 * RATE)) <= BURST + 0.4 * SLACK


def test_a_flood_that_asks_gets_what_the_limit_allows():
    """Each datagram takes 20 ms, as on a busy machine."""
    admitted = Fleet(100, asking=True, delay_s=0.02).flood(10.0, 7 * RATE)
    assert most_in_window(admitted) <= RATE * WINDOW_S + BURST + 0.4 * SLACK
    assert len(admitted) * UNITS >= 0.95 * RATE * 10.0


def test_an_organisation_below_its_limit_causes_one_datagram_a_request():
    fleet = Fleet(100)
    admitted = fleet.flood(10.0, 0.5 * RATE)
    assert len(admitted) * UNITS >= 0.99 * 0.5 * RATE * 10.0
    assert fleet.notes <= len(admitted) + 100
    assert fleet.notes >= 0.9 * len(admitted)


def test_lost_datagrams_are_made_good_by_the_tellings():
    """The counting node is cut off: all that is noted to it is lost. The limit is then
    kept as well as tellings once a second keep it, and nothing is counted twice."""
    fleet = Fleet(6, lost=lambda: True)
    admitted = fleet.flood(20.0, 2 * RATE)
    assert 0.9 * RATE * 20.0 <= len(admitted) * UNITS <= RATE * 20.0 + BURST + SLACK


def spender(*, tellings, age_s=1.0):
    return SpendingOrigin("p", 1, tellings, age_s)


def noted(limits, units, **options):
    return limits.apply_update(spender(**options), "o", units, 1.0)


def test_what_was_noted_is_not_counted_again_with_the_telling():
    limits = SharedLimits(0.0)
    assert noted(limits, 20.0, tellings=1) == 20.0
    limits.receive(spender(tellings=2), {"o": 20.0}, 1.1)
    assert limits.allowances["o"].units == -20.0


def test_a_telling_that_a_note_overtook_takes_nothing_back():
    """A node tells all of its spending, admits a request and notes it; the note comes
    first. Taken as the newest, the telling would give back what the note had taken."""
    limits = SharedLimits(0.0)
    noted(limits, 20.0, tellings=3)
    limits.receive(spender(tellings=3), {"o": 0.0}, 1.1)
    assert limits.allowances["o"].units == -20.0
    limits.receive(spender(tellings=4), {"o": 0.0}, 1.2)
    assert limits.allowances["o"].units == 0.0


def test_notes_that_overtake_each_other_count_once():
    limits = SharedLimits(0.0)
    assert noted(limits, 40.0, tellings=1) == 40.0
    assert noted(limits, 20.0, tellings=1) == 0.0
    assert noted(limits, 40.0, tellings=1) == 0.0


def test_a_note_of_an_old_node_that_is_not_known_waits_for_its_telling():
    """A node starts anew and is noted a total that another has spent in an hour. Taken
    off at once, it would refuse the organisation's callers for an hour."""
    limits = SharedLimits(0.0)
    assert noted(limits, 1e9, tellings=5000, age_s=3600.0) == 0.0
    assert limits.wait_s("o", 1.0, HEAD_START_S, rate=RATE, burst=BURST) == 0.0


@pytest.mark.parametrize(("left", "due"), [(60.0, False), (40.0, True)])
def test_others_are_told_when_little_is_left(left, due):
    count = UnsentSpending()
    count.add("o", "a", 10.0)
    count.add("o", "b", 5.0)
    assert bool(count.take_due("o", left=left, most=100.0)) is due
    assert bool(count.take_due("o", left=left, most=100.0)) is False
