import heapq
import random

import pytest
from endive_core.freshness import (
    LATEST_CHECK_FRACTION,
    MAX_CONCURRENT_CHECKS,
    Freshness,
)

BOUND_S = 2.0
PEERS_PER_ROUND = 10
LARGE_FLEET_BOUND_S = 4.0
CALL_TIMEOUT_S = 1.5
SILENT_FROM_S, SILENT_UNTIL_S = 5.0, 14.0
OBSERVED_UNTIL_S = 30.0


def test_a_copy_is_as_new_as_its_newest_proof():
    freshness = Freshness(BOUND_S, started_at=10.0)
    assert freshness.age_s(11.0) is None
    freshness.prove(11.0)
    freshness.prove(10.5)
    assert freshness.age_s(12.0) == 1.0


def test_checks_are_ordered_by_rank_and_the_first_are_within_the_limit():
    freshness = Freshness(BOUND_S, started_at=0.0)
    freshness.prove(10.0)
    due = [freshness.due_at(rank) for rank in range(MAX_CONCURRENT_CHECKS + 1)]
    assert due == sorted(due)
    assert due[0] < due[1]
    assert max(due) <= 10.0 + LATEST_CHECK_FRACTION * BOUND_S < 10.0 + BOUND_S


def test_without_a_proof_checks_are_due_after_the_start():
    freshness = Freshness(BOUND_S, started_at=10.0)
    assert 10.0 < freshness.due_at(0) <= freshness.due_at(9) < 10.0 + BOUND_S


def checks_per_second(nodes, round_s, duration_s=30.0):
    """Return the checks per second of all `nodes` together.

    Each node sends its latest proof to `PEERS_PER_ROUND` others at a time, and reaches
    all of them within `round_s` seconds. Proofs that it receives are passed on too.
    """
    rng = random.Random(1)
    copies = [Freshness(BOUND_S, started_at=0.0) for _ in range(nodes)]
    others = [rng.sample(range(nodes), nodes) for _ in range(nodes)]
    step_s = round_s / max(1, -(-nodes // PEERS_PER_ROUND))
    events = [(rng.uniform(0, round_s), "tell", node, 0) for node in range(nodes)]
    events += [(copies[node].due_at(node), "ask", node, 0) for node in range(nodes)]
    heapq.heapify(events)
    checks = 0
    while events[0][0] < duration_s:
        now, action, node, first = heapq.heappop(events)
        own = copies[node]
        if action == "ask":
            if now >= own.due_at(node):
                checks += 1
                own.prove(now)
            heapq.heappush(events, (own.due_at(node), "ask", node, 0))
            continue
        if own.proven_at is not None:
            for other in others[node][first : first + PEERS_PER_ROUND]:
                copies[other].prove(own.proven_at)
        first = first + PEERS_PER_ROUND if first + PEERS_PER_ROUND < nodes else 0
        heapq.heappush(events, (now + step_s, "tell", node, first))
    return checks / duration_s


@pytest.mark.parametrize(("nodes", "round_s"), [(8, 0.2), (100, 1.0), (370, 3.7)])
def test_many_nodes_check_hardly_more_often_than_one(nodes, round_s):
    """If each node checked for itself, the store's load would grow with the nodes."""
    assert checks_per_second(nodes, round_s) <= 1.1 * checks_per_second(1, round_s)


@pytest.mark.parametrize("nodes", [8, 100, 370])
def test_check_rate_without_answers_does_not_grow_with_the_nodes(nodes):
    """Retries of every node would overload a store that is recovering."""
    due = [Freshness(BOUND_S, started_at=0.0).due_at(rank) for rank in range(nodes)]
    checks = []
    for at in due:
        while at < 30.0:
            checks.append(at)
            at += max(0.5, Freshness(BOUND_S, started_at=0.0).retry_delay_s(nodes))
    in_seconds = [sum(s <= at < s + 1 for at in checks) for s in range(30)]
    assert max(in_seconds) <= 2 * MAX_CONCURRENT_CHECKS


def test_if_the_first_nodes_cannot_read_others_check_before_the_bound():
    """The store rejects the checks of the first nodes; others must check in time."""
    due = [Freshness(BOUND_S, started_at=0.0).due_at(rank) for rank in range(100)]
    assert min(due[10:]) < BOUND_S / 2 + 0.25 * BOUND_S
    assert due[MAX_CONCURRENT_CHECKS + 10] < BOUND_S


def test_a_proof_newer_than_a_failed_check_ends_the_wait():
    """A peer's check is answered while this node still waits to repeat its own."""
    freshness = Freshness(BOUND_S, started_at=0.0)
    freshness.fail(1.0, retry_at=9.0)
    freshness.prove(0.9)
    assert freshness.due_at(0) == 9.0
    freshness.prove(1.1)
    assert 1.1 < freshness.due_at(0) < 1.1 + BOUND_S


class SilentStoreFleet:
    """Nodes that check a store which answers nothing for a while.

    Each node sends its latest proof to `PEERS_PER_ROUND` others at a time, and reaches
    all of them within `round_s` seconds.
    """

    def __init__(self, nodes, round_s):
        self.rng = random.Random(1)
        self.nodes = nodes
        self.step_s = round_s / max(1, -(-nodes // PEERS_PER_ROUND))
        self.copies = [Freshness(LARGE_FLEET_BOUND_S, 0.0) for _ in range(nodes)]
        self.others = [self.rng.sample(range(nodes), nodes) for _ in range(nodes)]
        self.oldest_s = 0.0
        self.events = []
        for node in range(nodes):
            self.add(self.rng.uniform(0, round_s), self.tell, node, 0)
            self.add(self.copies[node].due_at(node), self.check, node)

    def add(self, at, action, *about):
        heapq.heappush(self.events, (at, self.rng.random(), action, about))

    def run(self):
        """Return the age of the oldest proof that any node had after its first new one.

        A change made in that time is in force everywhere once each node has a proof
        that is newer than the change.
        """
        while self.events[0][0] < OBSERVED_UNTIL_S:
            now, _tie, action, about = heapq.heappop(self.events)
            action(now, *about)
        return self.oldest_s

    def check(self, now, node):
        copy = self.copies[node]
        if now < copy.due_at(node):
            return
        if SILENT_FROM_S <= now < SILENT_UNTIL_S:
            delay_s = copy.retry_delay_s(self.nodes) * self.rng.uniform(0.7, 1.3)
            copy.fail(now, now + max(CALL_TIMEOUT_S, delay_s))
            self.add(copy.retry_at, self.check, node)
        else:
            self.prove(now, node, now)

    def prove(self, now, node, at):
        copy = self.copies[node]
        if copy.proven_at is not None and at <= copy.proven_at:
            return
        if copy.proven_at is not None and copy.proven_at >= SILENT_UNTIL_S:
            self.oldest_s = max(self.oldest_s, now - copy.proven_at)
        copy.prove(at)
        self.add(copy.due_at(node), self.check, node)

    def tell(self, now, node, first):
        proven_at = self.copies[node].proven_at
        if proven_at is not None:
            for other in self.others[node][first : first + PEERS_PER_ROUND]:
                self.prove(now, other, proven_at)
        first = first + PEERS_PER_ROUND if first + PEERS_PER_ROUND < self.nodes else 0
        self.add(now + self.step_s, self.tell, node, first)


@pytest.mark.parametrize(
    ("nodes", "round_s"), [(8, 0.2), (30, 0.3), (200, 2.0), (375, 3.75)]
)
def test_a_change_after_a_silence_is_in_force_in_time_at_every_node(nodes, round_s):
    """The nodes that check first still wait to repeat checks that failed. The others
    leave the checks to them, and a change is found after the bound."""
    assert SilentStoreFleet(nodes, round_s).run() < LARGE_FLEET_BOUND_S
