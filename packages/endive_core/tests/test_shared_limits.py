from endive_core.shared_limits import (
    FORGOTTEN_S,
    HEAD_START_S,
    SILENCE_TIMEOUT_S,
    SharedLimits,
    SpendingOrigin,
)

RATE, BURST = 1000.0, 1000.0
TELL_S = 0.2


class Fleet:
    """Nodes that keep one limit and tell each other, some of them cut off."""

    def __init__(self, count):
        self.nodes = [SharedLimits(0.0) for _ in range(count)]
        self.sides = [set(range(count))]
        self.tellings = 0
        for index, node in enumerate(self.nodes):
            for other in range(count):
                if other != index:
                    node.add_peer(str(other), 0.0)

    def tell(self, now):
        self.tellings += 1
        for side in self.sides:
            for sender in side:
                for receiver in side - {sender}:
                    self.nodes[receiver].receive(
                        SpendingOrigin(str(sender), 1, self.tellings, age_s=now),
                        dict(self.nodes[sender].own_totals()),
                        now,
                    )

    def play(self, start, end, asked_per_s, size):
        """Ask all nodes evenly; return the units admitted."""
        admitted, step = 0.0, size / asked_per_s
        now, told, turn = start, start, 0
        while now < end:
            if now - told >= TELL_S:
                self.tell(now)
                told = now
            node = self.nodes[turn % len(self.nodes)]
            if not node.wait_s("o", size, now, rate=RATE, burst=BURST):
                admitted += size
            turn += 1
            now += step
        return admitted


def test_a_flood_to_all_nodes_gets_one_limit():
    """One organisation sends eight times its limit, spread over eight nodes. Had each
    node its own limit, all of it would pass, and other organisations would wait."""
    fleet = Fleet(8)
    fleet.tell(0.0)
    admitted = fleet.play(0.0, 8.0, 8 * RATE, 20.0)
    assert admitted <= (8 * RATE + BURST) * 1.1
    assert admitted >= 8 * RATE * 0.95


def test_few_large_requests_below_the_limit_all_pass():
    """An organisation sends half of its limit, in requests that are each larger than a
    node's even part of the burst. Refusing any of them would be worth lost."""
    fleet = Fleet(8)
    fleet.tell(0.0)
    admitted = fleet.play(2.0, 10.0, 0.5 * RATE, 300.0)
    assert admitted >= 0.5 * RATE * 8.0


def test_a_cut_fleet_stays_within_the_limit():
    """Two of eight nodes are cut off from the others and go on serving. Neither side
    hears what the other spends; together they must stay within the limit."""
    fleet = Fleet(8)
    fleet.tell(0.0)
    fleet.play(0.0, 4.0, 8 * RATE, 20.0)
    fleet.sides = [set(range(6)), {6, 7}]
    fleet.play(4.0, 4.0 + SILENCE_TIMEOUT_S, 8 * RATE, 20.0)
    admitted = fleet.play(
        4.0 + SILENCE_TIMEOUT_S, 12.0 + SILENCE_TIMEOUT_S, 8 * RATE, 20.0
    )
    assert admitted <= (8 * RATE + BURST) * 1.1


def test_a_node_that_is_gone_for_good_gives_its_part_back():
    made = SharedLimits(0.0)
    made.add_peer("other", 0.0)
    assert made.reachable_share(0.1 + SILENCE_TIMEOUT_S) == 0.5
    made.remove_silent_peers(FORGOTTEN_S + SILENCE_TIMEOUT_S + 1.0)
    assert made.reachable_share(FORGOTTEN_S + 2.0) == 1.0


def test_a_node_that_said_it_stopped_gives_its_part_back_at_once():
    made = SharedLimits(0.0)
    made.receive(SpendingOrigin("other", 1, 1, 1.0), {}, 1.0)
    made.remove_peer("other")
    assert made.reachable_share(5.0) == 1.0


def test_what_an_old_peer_spent_before_is_not_taken_again():
    """A node starts anew and hears what the others have spent in an hour. Taken off at
    once, it would refuse the organisation's callers for an hour."""
    made = SharedLimits(0.0)
    made.receive(SpendingOrigin("old", 1, 18_000, 3600.0), {"o": 1e9}, 1.0)
    assert made.wait_s("o", 1.0, 1.0, rate=RATE, burst=BURST) == 0.0


def test_all_that_a_peer_spent_counts_if_it_started_together_with_this_node():
    """A hundred nodes start together, and each hears some of the others only two
    seconds later, when they have told a part of their rounds thirty times. Were what
    these had spent not counted, it would be let through twice."""
    made = SharedLimits(0.0)
    made.receive(SpendingOrigin("p", 1, 30, 2.5), {"o": 600.0}, 2.2)
    assert made.allowances["o"].units == -600.0


def test_a_restarted_peer_counts_from_zero():
    made = SharedLimits(0.0)
    made.receive(SpendingOrigin("p", 1, 100, 20.0), {"o": 5000.0}, 1.0)
    made.receive(SpendingOrigin("p", 2, 1, 0.1), {"o": 10.0}, 1.5)
    made.receive(SpendingOrigin("p", 2, 2, 0.3), {"o": 10.0}, 1.7)
    assert made.allowances["o"].units == -10.0


def test_a_refused_caller_is_told_when_the_debt_is_paid():
    made = SharedLimits(0.0)
    start = HEAD_START_S
    assert made.wait_s("o", 3000.0, start, rate=RATE, burst=BURST) == 0.0
    wait = made.wait_s("o", 20.0, start, rate=RATE, burst=BURST)
    assert 1.9 < wait < 2.6
    assert made.wait_s("o", 20.0, start + wait + 0.01, rate=RATE, burst=BURST) == 0.0


def test_what_was_not_run_is_given_back():
    made = SharedLimits(0.0)
    made.wait_s("o", 500.0, 1.0, rate=RATE, burst=BURST)
    before = made.allowances["o"].units
    made.refund("o", 500.0)
    assert made.allowances["o"].units == before + 500.0
    assert made.own_totals()["o"] == 0.0


def test_callers_who_return_after_a_power_loss_are_not_refused_below_the_limit():
    """All nodes lose power and start again within a second. An organisation that sends
    half of its limit comes back to them at once; none has heard the others yet."""
    fleet = Fleet(8)
    admitted = fleet.play(0.0, 1.0, 0.5 * RATE, 50.0)
    assert admitted >= 0.45 * RATE


def play_prompts_and_bookings(fleet, seconds):
    """Flood with prompts of a tenth of the burst, and ask for ten bookings a second.

    Returns the units admitted and the part of the bookings that passed.
    """
    admitted, passed, asked = 0.0, 0, 0
    for step in range(int(seconds * 40)):
        now = step / 40
        if step % 8 == 0:
            fleet.tell(now)
        node = fleet.nodes[step % len(fleet.nodes)]
        if not node.wait_s("o", 0.1 * BURST, now, rate=RATE, burst=BURST):
            admitted += 0.1 * BURST
        if step % 4 == 0:
            asked += 1
            node = fleet.nodes[step // 4 % len(fleet.nodes)]
            booked = not node.wait_s("o", 5.0, now, rate=RATE, burst=BURST)
            passed += booked
            admitted += 5.0 * booked
    return admitted, passed / asked


def test_bookings_pass_behind_the_prompts_of_a_flood():
    """One organisation sends four times its limit in long prompts. Each that passes
    takes the limit far below zero, and until that is paid back its bookings would be
    refused, though they are 5 in 100 of the limit."""
    fleet = Fleet(8)
    fleet.tell(0.0)
    admitted, passed = play_prompts_and_bookings(fleet, 8.0)
    assert passed >= 0.8
    assert admitted <= (8 * RATE + BURST) * 1.1


def test_a_flood_of_small_requests_gets_one_limit():
    """What is kept for small requests is charged to the limit. Were it on top, an
    organisation that sends only small ones would have more than its limit."""
    fleet = Fleet(8)
    fleet.tell(0.0)
    admitted = fleet.play(0.0, 16.0, 8 * RATE, 5.0)
    assert admitted <= (16 * RATE + BURST) * 1.05
    assert admitted >= 16 * RATE * 0.95


def test_the_part_kept_for_small_requests_is_divided_among_the_nodes():
    """A hundred nodes are flooded before they have heard of each other's spending. Each
    with a whole part kept for small requests would let through five times the limit."""
    fleet = Fleet(100)
    for node in fleet.nodes:
        node.spend("o", 2 * BURST)
    admitted = fleet.play(0.0, 1.0, 100 * RATE, 1.0)
    assert admitted <= 100 + 0.1 * RATE
