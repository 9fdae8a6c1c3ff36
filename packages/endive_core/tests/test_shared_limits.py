from endive_core.shared_limits import (
    INITIAL_CREDIT_S,
    PEER_EXPIRY_S,
    SILENCE_TIMEOUT_S,
    SharedLimits,
    SpendingOrigin,
)

RATE, BURST = 1000.0, 1000.0
BROADCAST_INTERVAL_S = 0.2


class Fleet:
    """Simulated nodes that share one limit; those on one side exchange broadcasts."""

    def __init__(self, count):
        self.nodes = [SharedLimits(0.0) for _ in range(count)]
        self.sides = [set(range(count))]
        self.sequence = 0
        for index, node in enumerate(self.nodes):
            for other in range(count):
                if other != index:
                    node.add_peer(str(other), 0.0)

    def broadcast(self, now):
        self.sequence += 1
        for side in self.sides:
            for sender in side:
                for receiver in side - {sender}:
                    self.nodes[receiver].receive(
                        SpendingOrigin(str(sender), 1, self.sequence, age_s=now),
                        dict(self.nodes[sender].own_totals()),
                        now,
                    )

    def flood(self, start, end, units_per_s, size):
        """Send requests to all nodes in index; return the units admitted."""
        admitted, step = 0.0, size / units_per_s
        now, broadcast_at, index = start, start, 0
        while now < end:
            if now - broadcast_at >= BROADCAST_INTERVAL_S:
                self.broadcast(now)
                broadcast_at = now
            node = self.nodes[index % len(self.nodes)]
            if not node.wait_s("o", size, now, rate=RATE, burst=BURST):
                admitted += size
            index += 1
            now += step
        return admitted


def test_a_flood_to_all_nodes_gets_one_limit():
    """One organisation sends eight times its limit, spread over eight nodes. If each
    node enforced the limit alone, all of it would be admitted, and other organisations
    would wait."""
    fleet = Fleet(8)
    fleet.broadcast(0.0)
    admitted = fleet.flood(0.0, 8.0, 8 * RATE, 20.0)
    assert admitted <= (8 * RATE + BURST) * 1.1
    assert admitted >= 8 * RATE * 0.95


def test_few_large_requests_below_the_limit_all_pass():
    """An organisation sends half of its limit in requests that are each larger than a
    node's even part of the burst. None of them may be refused."""
    fleet = Fleet(8)
    fleet.broadcast(0.0)
    admitted = fleet.flood(2.0, 10.0, 0.5 * RATE, 300.0)
    assert admitted >= 0.5 * RATE * 8.0


def test_a_partitioned_fleet_stays_within_the_limit():
    """Two of eight nodes are cut off from the others and go on serving. Neither side
    receives the other's spending; together they must stay within the limit."""
    fleet = Fleet(8)
    fleet.broadcast(0.0)
    fleet.flood(0.0, 4.0, 8 * RATE, 20.0)
    fleet.sides = [set(range(6)), {6, 7}]
    fleet.flood(4.0, 4.0 + SILENCE_TIMEOUT_S, 8 * RATE, 20.0)
    admitted = fleet.flood(
        4.0 + SILENCE_TIMEOUT_S, 12.0 + SILENCE_TIMEOUT_S, 8 * RATE, 20.0
    )
    assert admitted <= (8 * RATE + BURST) * 1.1


def test_the_part_of_a_node_that_is_gone_is_divided():
    limits = SharedLimits(0.0)
    limits.add_peer("other", 0.0)
    assert limits.reachable_share(0.1 + SILENCE_TIMEOUT_S) == 0.5
    limits.remove_silent_peers(PEER_EXPIRY_S + SILENCE_TIMEOUT_S + 1.0)
    assert limits.reachable_share(PEER_EXPIRY_S + 2.0) == 1.0


def test_the_part_of_a_node_that_announced_its_stop_is_divided_at_once():
    limits = SharedLimits(0.0)
    limits.receive(SpendingOrigin("other", 1, 1, 1.0), {}, 1.0)
    limits.remove_peer("other")
    assert limits.reachable_share(5.0) == 1.0


def test_earlier_spending_of_an_old_peer_is_not_charged():
    """A restarted node receives what the others have spent in an hour. Charged at once,
    it would have the organisation's callers refused for an hour."""
    limits = SharedLimits(0.0)
    limits.receive(SpendingOrigin("old", 1, 18_000, 3600.0), {"o": 1e9}, 1.0)
    assert limits.wait_s("o", 1.0, 1.0, rate=RATE, burst=BURST) == 0.0


def test_a_starting_node_earns_nothing_before_it_hears_of_nodes_that_ran_before():
    """Two nodes restarted while the store was silent, and heard of the others after
    2.5 s. Each had earned the whole rate of that time, which the others had spent."""
    limits = SharedLimits(0.0)
    limits.receive(SpendingOrigin("old", 1, 300, 60.0), {"o": 1e6}, 2.5)
    left, _ = limits.left("o", 2.5, rate=RATE, burst=10 * RATE)
    assert left <= INITIAL_CREDIT_S * RATE


def test_nodes_that_start_together_have_earned_what_nobody_spent():
    """After a loss of power no node has run before."""
    limits = SharedLimits(0.0)
    limits.receive(SpendingOrigin("new", 1, 10, 2.0), {"o": 100.0}, 2.5)
    left, _ = limits.left("o", 2.5, rate=RATE, burst=10 * RATE)
    assert left == (INITIAL_CREDIT_S + 2.5) * RATE - 100.0


def test_a_node_that_was_idle_or_frozen_earns_no_more_than_the_limit_holds():
    """It charged what others had spent first and earned the rate of the whole time
    after that, so it took the limit for full while the others had used it up."""
    limits = SharedLimits(0.0)
    limits.terms_of = lambda organisation: (RATE, BURST)
    limits.receive(SpendingOrigin("p", 1, 1, 0.0), {"o": 0.0}, 0.0)
    limits.left("o", 0.0, rate=RATE, burst=BURST)
    limits.receive(SpendingOrigin("p", 1, 2, 10.0), {"o": 2.0 * BURST}, 10.0)
    left, _ = limits.left("o", 10.0, rate=RATE, burst=BURST)
    assert left == -BURST


def test_all_spending_of_a_peer_counts_if_it_started_with_this_node():
    """A hundred nodes start together, and each receives the first broadcast of some
    others only two seconds later, when these have sent thirty. If their spending until
    then did not count, it would be admitted twice."""
    limits = SharedLimits(0.0)
    limits.receive(SpendingOrigin("p", 1, 30, 2.5), {"o": 600.0}, 2.2)
    assert limits.allowances["o"].units == -600.0


def test_a_restarted_peer_counts_from_zero():
    limits = SharedLimits(0.0)
    limits.receive(SpendingOrigin("p", 1, 100, 20.0), {"o": 5000.0}, 1.0)
    limits.receive(SpendingOrigin("p", 2, 1, 0.1), {"o": 10.0}, 1.5)
    limits.receive(SpendingOrigin("p", 2, 2, 0.3), {"o": 10.0}, 1.7)
    assert limits.allowances["o"].units == -10.0


def test_the_retry_time_is_when_the_debt_is_paid():
    limits = SharedLimits(0.0)
    start = INITIAL_CREDIT_S
    assert limits.wait_s("o", 3000.0, start, rate=RATE, burst=BURST) == 0.0
    wait = limits.wait_s("o", 20.0, start, rate=RATE, burst=BURST)
    assert 1.9 < wait < 2.6
    assert limits.wait_s("o", 20.0, start + wait + 0.01, rate=RATE, burst=BURST) == 0.0


def test_units_of_a_request_that_did_not_run_are_refunded():
    limits = SharedLimits(0.0)
    limits.wait_s("o", 500.0, 1.0, rate=RATE, burst=BURST)
    before = limits.allowances["o"].units
    limits.refund("o", 500.0)
    assert limits.allowances["o"].units == before + 500.0
    assert limits.own_totals()["o"] == 0.0


def test_callers_who_return_after_a_power_loss_are_not_refused_below_the_limit():
    """All nodes lose power and start again within a second. An organisation that sends
    half of its limit returns at once, when no node has received another's broadcast."""
    fleet = Fleet(8)
    admitted = fleet.flood(0.0, 1.0, 0.5 * RATE, 50.0)
    assert admitted >= 0.45 * RATE


def flood_with_prompts_and_small_requests(fleet, seconds):
    """Flood with prompts of a tenth of the burst, and send ten small requests a second.

    Returns the units admitted and the share of the small requests admitted.
    """
    admitted, passed, sent = 0.0, 0, 0
    for step in range(int(seconds * 40)):
        now = step / 40
        if step % 8 == 0:
            fleet.broadcast(now)
        node = fleet.nodes[step % len(fleet.nodes)]
        if not node.wait_s("o", 0.1 * BURST, now, rate=RATE, burst=BURST):
            admitted += 0.1 * BURST
        if step % 4 == 0:
            sent += 1
            node = fleet.nodes[step // 4 % len(fleet.nodes)]
            admits_small = not node.wait_s("o", 5.0, now, rate=RATE, burst=BURST)
            passed += admits_small
            admitted += 5.0 * admits_small
    return admitted, passed / sent


def test_small_requests_are_admitted_during_a_flood_of_prompts():
    """One organisation sends four times its limit in long prompts. Each admitted prompt
    takes the limit far below zero, and until the debt is paid back its small requests
    would be refused, although they are 5% of the limit."""
    fleet = Fleet(8)
    fleet.broadcast(0.0)
    admitted, passed = flood_with_prompts_and_small_requests(fleet, 8.0)
    assert passed >= 0.8
    assert admitted <= (8 * RATE + BURST) * 1.1


def test_a_flood_of_small_requests_gets_one_limit():
    """The reserve for small requests is charged to the limit. If it came on top, an
    organisation that sends only small requests would exceed its limit."""
    fleet = Fleet(8)
    fleet.broadcast(0.0)
    admitted = fleet.flood(0.0, 16.0, 8 * RATE, 5.0)
    assert admitted <= (16 * RATE + BURST) * 1.05
    assert admitted >= 16 * RATE * 0.95


def test_the_reserve_for_small_requests_is_divided_among_the_nodes():
    """A hundred nodes are flooded before they have received each other's spending. If
    each had the whole reserve, they would admit five times the limit."""
    fleet = Fleet(100)
    for node in fleet.nodes:
        node.spend("o", 2 * BURST)
    admitted = fleet.flood(0.0, 1.0, 100 * RATE, 1.0)
    assert admitted <= 100 + 0.1 * RATE
