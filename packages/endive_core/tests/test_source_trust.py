from random import Random

import pytest
from endive_core.source_trust import (
    FIRST_PAUSE_S,
    MAX_PAUSE_S,
    MIN_REPORTERS,
    SourceTrust,
)

TARGET_S = 0.5


def trained(deviation_s=0.02):
    """Return trust that has seen requests without a fetch."""
    trust, random = SourceTrust(), Random(1)
    for _ in range(200):
        trust.learn_unfetched(random.uniform(-deviation_s, deviation_s))
    return trust


def test_a_source_that_delays_a_request_by_half_its_target_is_paused():
    """Each further request would miss its target as well."""
    trust = trained()
    assert trust.started("a", 1, 0.3, TARGET_S, 10.0)
    assert not trust.may_name("a", 10.0 + FIRST_PAUSE_S - 0.1)
    assert trust.may_name("a", 10.0 + FIRST_PAUSE_S)
    assert trust.may_name("b", 10.0)


def test_the_usual_delays_pause_nothing():
    """Under load all first tokens come late, fetched or not."""
    trust, random = trained(0.2), Random(2)
    for number in range(200):
        assert not trust.started("a", number, random.uniform(-0.2, 0.2), TARGET_S, 0.0)


def test_small_delays_in_a_row_add_up():
    """A congested link delays each request by less than half of its target."""
    trust = trained()
    paused = [trust.started("a", n, 0.11, TARGET_S, float(n)) for n in range(3)]
    assert paused == [False, False, True]


def test_pauses_grow_up_to_a_bound_and_end_with_a_good_fetch():
    """A dead source costs one late request for each pause."""
    trust, now, pauses = trained(), 0.0, []
    for number in range(8):
        trust.failed("a", number, now)
        until = trust.sources["a"].paused_until
        pauses.append(until - now)
        now = until
    assert pauses[:3] == [FIRST_PAUSE_S, 2 * FIRST_PAUSE_S, 4 * FIRST_PAUSE_S]
    assert pauses[-1] == MAX_PAUSE_S
    trust.started("a", 9, 0.0, TARGET_S, now)
    trust.failed("a", 10, now)
    assert trust.sources["a"].paused_until == now + FIRST_PAUSE_S


def test_requests_that_failed_together_pause_once():
    """One death of a source would count as five."""
    trust = trained()
    for number in range(5):
        trust.failed("a", number, 1.0)
    assert trust.sources["a"].paused_until == 1.0 + FIRST_PAUSE_S


def test_a_source_that_two_other_nodes_report_is_not_named():
    """Each of hundreds of nodes had to find a silent source by a late request."""
    trust = trained()
    trust.report("a", "n1", 5.0)
    assert trust.may_name("a", 4.0)
    trust.report("a", "n2", 5.0)
    assert not trust.may_name("a", 4.0)
    assert trust.may_name("a", 5.0)


def test_reports_of_many_nodes_are_not_all_kept():
    """The table grew with each node that ever reported a source, and each placement
    counted all of them."""
    trust = trained()
    for number in range(400):
        trust.report("a", f"n{number}", 5.0 + number % 7)
    assert len(trust.reports["a"]) == MIN_REPORTERS
    assert not trust.may_name("a", 10.9)
    assert trust.may_name("a", 11.0)


class FleetNode:
    """A node whose requests name one source, and their first tokens to come."""

    def __init__(self, name):
        self.name = name
        self.trust = trained()
        self.hung = 0


def hung_requests(nodes, *, exchange, seconds=10.0, per_s=3.0, hang_s=2.0):
    """Return how many requests hang on a silent source, by a Poisson process.

    Nodes send each other state messages as often as gateways do.
    """
    random = Random(nodes)
    fleet = [FleetNode(f"n{number}") for number in range(nodes)]
    interval_s = max(0.2, 0.01 * nodes)
    sent = [random.uniform(0.0, interval_s) for _ in fleet]
    now, ends = 0.0, []
    while now < seconds:
        now += random.expovariate(per_s)
        while ends and ends[0][0] <= now:
            at, node, number = ends.pop(0)
            node.trust.started("a", number, hang_s, TARGET_S, at)
        for index, node in enumerate(fleet):
            if exchange and now - sent[index] >= interval_s:
                sent[index] = now
                left_s = node.trust.left_s("a", now)
                for other in fleet if left_s else ():
                    if other is not node:
                        other.trust.report("a", node.name, now + left_s)
        node = random.choice(fleet)
        if node.trust.may_name("a", now):
            node.hung += 1
            node.trust.begin("a", node.hung, now + TARGET_S / 2)
            ends.append((now + hang_s, node, node.hung))
    return sum(node.hung for node in fleet)


@pytest.mark.parametrize("nodes", [6, 30, 200, 375])
def test_a_silent_source_delays_few_requests_of_the_fleet(nodes):
    """Three requests a second name it over ten seconds. Where each node learns alone,
    nearly all of them hang among hundreds of nodes."""
    alone = hung_requests(nodes, exchange=False)
    told = hung_requests(nodes, exchange=True)
    assert told < alone
    assert told <= 5 + 1.5 * 3.0 * 0.01 * nodes
