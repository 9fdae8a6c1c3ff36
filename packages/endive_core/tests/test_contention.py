"""Decisions when demand exceeds capacity, for one node that hears of many."""

from dataclasses import replace
from random import Random

import pytest
from endive_core.backlogs import Backlogs
from endive_core.calls import Call, Refusal, Ticket
from endive_core.contention import Contention, levels_of
from endive_core.demand import DemandMeter, FleetDemand
from endive_core.exceptions import ErrorKind
from endive_core.messages import ServerView
from endive_core.policy import Policy
from endive_core.scheduler import Scheduler
from endive_core.servers import ServerSet

TARGETS = [(0, 0.5), (1, 1.2), (2, 3.0)]
NODES = 10
RATE = 50_000.0
PENDING = (2_834, 3_967, 10_200)
"""Tokens pending at each of nine nodes, with which slightly more waits than can begin
in time: 1.02 times what four servers compute in a quarter of each target."""


def make_contention(servers=4, nodes=NODES, policy=None):
    policy = policy or Policy(max_retry_after_s=2.0)
    known = ServerSet(Random(1), reserved_share=0.0, divided_share=0.0)
    views = [ServerView(f"s{n}", "", "", "s", 64, RATE, 50.0) for n in range(servers)]
    known.set_servers(views)
    for server in known.servers.values():
        known.refresh(server)
    known.nodes = nodes
    contention = Contention(policy, known)
    contention.set_levels(levels_of(TARGETS, policy.contention_target_ratio))
    return contention


def call(priority, name, organisation="o", tokens=1_000):
    return Call(
        name, organisation, level=-priority, prompt_tokens=tokens, fingerprint=name
    )


def hear(contention, offered, organisations=(), now=0.0, pending=PENDING):
    """Report the same demand and backlogs of each of the other nodes."""
    levels = [(a, b, 0) for a, b in zip(offered, pending, strict=True)]
    for node in range(NODES - 1):
        contention.fleet.receive(f"n{node}", (levels, list(organisations)), now)


def admitted(contention, priority, organisation="o", now=0.0, tokens=1_000, count=400):
    """Return the part of calls that are neither refused nor sent as late."""
    found = 0
    for number in range(count):
        made = call(priority, f"{priority}-{number}", organisation, tokens)
        refusal = contention.refusal(made, now)
        found += refusal is None and not contention.exceeds(made, now)
    return found / count


def offer_little(contention, now=0.0):
    """Let the shares be computed, with next to no demand of the node's own."""
    contention.next_update_at = now
    contention.refusal(call(2, "probe"), now)
    contention.next_update_at = float("inf")


def test_nothing_changes_where_no_kind_may_wait():
    """Existing deployments have targets that differ by less than two."""
    assert levels_of([(0, 1.0), (1, 1.2)], 2.0) == ()
    assert levels_of([(1, 0.835), (0, 0.519), (2, 0.515)], 2.0) == ()
    assert levels_of([(0, 3.0), (1, 0.5)], 2.0) == ()
    assert levels_of(TARGETS, 0.0) == ()
    assert [level.may_wait for level in levels_of(TARGETS, 2.0)] == [0, 1, 1]


def test_the_least_urgent_are_refused_first():
    """A burst of the most urgent kind must find the capacity free."""
    contention = make_contention()
    # 200,000 tokens a second; 240,000 are asked for, 150,000 of them most urgent.
    hear(contention, (15_000, 5_000, 6_000))
    offer_little(contention)
    parts = [admitted(contention, priority) for priority in (0, 1, 2)]
    assert parts[0] == parts[1] == 1.0
    assert 0.2 < parts[2] < 1.0


def test_what_may_not_wait_is_sent_as_late_instead_of_refused():
    contention = make_contention()
    hear(contention, (45_000, 100, 100))
    offer_little(contention)
    calls = [call(0, f"c{n}") for n in range(200)]
    assert all(contention.refusal(made, 0.0) is None for made in calls)
    assert 20 < sum(contention.exceeds(made, 0.0) for made in calls) < 180


def test_every_priority_keeps_its_minimum():
    """Strict priority alone would starve the least urgent kinds."""
    contention = make_contention()
    hear(contention, (80_000, 4_000, 4_000))
    offer_little(contention)
    overall = 200_000 / 792_000
    for priority in (1, 2):
        assert admitted(contention, priority) >= 0.8 * 0.25 * overall


def test_an_organisation_far_above_its_share_slows_itself_first():
    """One that sends seven times its rate must not cost the others anything."""
    contention = make_contention()
    organisations = [(0, "large", 21_000), (0, "a", 3_000), (0, "b", 3_000)]
    hear(contention, (27_000, 0, 0), organisations)
    offer_little(contention)
    assert admitted(contention, 0, "a") == admitted(contention, 0, "b") == 1.0
    assert 0.4 < admitted(contention, 0, "large") < 0.95


def test_weights_divide_what_is_short():
    contention = make_contention()
    contention.weights = {"heavy": 3.0}
    organisations = [(0, "heavy", 20_000), (0, "light", 20_000)]
    hear(contention, (40_000, 0, 0), organisations)
    offer_little(contention)
    shares = contention.shares[0].organisations
    assert shares["heavy"] == pytest.approx(3 * shares["light"], rel=0.05)


def test_long_prompts_keep_half_of_their_part():
    """The largest prompts are late first, but must not starve."""
    contention = make_contention()
    # Four prompts of the mean length, of 2,900 tokens, are being computed.
    hear(contention, (36_000, 0, 0), pending=(4_200, 3_967, 10_200))
    for number in range(500):
        tokens = 20_000 if number % 10 == 0 else 1_000
        contention.meter.offered(0, call(0, f"c{number}", tokens=tokens), -1e3)
    offer_little(contention)
    part = contention.shares[0].of("o")
    short = admitted(contention, 0, count=1_000)
    long = admitted(contention, 0, tokens=20_000, count=1_000)
    assert long >= 0.4 * part
    assert short > part


def test_a_caller_that_returns_as_told_is_served_at_any_node():
    """Nodes keep no record of refusals, so the draw must follow from the request."""
    first, second = make_contention(), make_contention()
    demand = (12_000, 4_000, 8_000)
    for contention in (first, second):
        hear(contention, demand)
        offer_little(contention)
    second.clock_offset_s = 100.0
    returned = 0
    for number in range(300):
        made = call(2, f"c{number}")
        refusal = first.refusal(made, 0.0)
        if isinstance(refusal, Refusal):
            returned += 1
            at = refusal.retry_after_s
            assert 0.2 <= at <= 2.0
            assert not second.exceeds(made, at - 100.0) or at == 2.0
    assert returned > 30


def test_a_node_that_hears_nothing_uses_its_part_and_refuses_nothing_within_it():
    contention = make_contention()
    for number in range(40):  # 10,000 tokens a second, half of its part
        made = call(2, f"c{number}", tokens=500)
        assert contention.refusal(made, number * 0.05) is None
    for number in range(400):  # four times its part, while no answer begins
        made, now = call(2, f"d{number}", tokens=2_000), 2.0 + number * 0.025
        if contention.refusal(made, now) is None:
            ticket = Ticket(made, now, 2_000.0)
            ticket.server, ticket.uncached_tokens = "s0", 2_000.0
            contention.dispatched(ticket)
    assert contention.shed > 100


def test_nothing_is_refused_or_late_while_next_to_nothing_waits():
    """The learned rate was half of the real one, and requests were refused while half
    of the engines were idle and the others had a single prompt."""
    contention = make_contention()
    for number in range(50):
        contention.meter.offered(0, call(0, f"m{number}", tokens=9_000), -1e3)
    hear(contention, (60_000, 4_000, 4_000), pending=(4_000, 0, 0))
    offer_little(contention)
    assert [admitted(contention, priority) for priority in (0, 1, 2)] == [1.0] * 3
    hear(contention, (60_000, 4_000, 4_000), pending=(8_000, 3_967, 10_200))
    offer_little(contention)
    assert all(admitted(contention, priority) < 1.0 for priority in (0, 1, 2))


def test_reports_of_a_silent_node_no_longer_count():
    """A dead node's demand would keep the others from their capacity for good."""
    contention = make_contention()
    hear(contention, (60_000, 0, 0))
    offer_little(contention)
    assert contention.shares[0].overall < 1.0
    offer_little(contention, now=5.0)
    assert contention.fleet.known.nodes == 1
    assert contention.shares[0].overall == 1.0


def test_sums_follow_replaced_and_removed_reports():
    fleet = FleetDemand()
    fleet.set_levels(3)
    own = ([(0, 0, 0)] * 3, [])
    for offered in (100, 70, 40):
        fleet.receive("a", ([(offered, 1, 2)] * 3, [(0, "o", offered)]), 0.0)
    fleet.receive("b", ([(5, 5, 5)] * 2, []), 0.0)  # knows one priority less
    total = fleet.total(own, 0.1)
    assert [level.offered for level in total.levels] == [45, 45, 40]
    assert total.organisations == {(0, "o"): 40}
    fleet.remove("a")
    fleet.remove("b")
    assert [level.offered for level in fleet.total(own, 0.1).levels] == [0, 0, 0]


def test_a_report_is_bounded():
    """A state message has to stay under one datagram with any number of names."""
    meter = DemandMeter()
    meter.set_levels(3)
    for number in range(300):
        meter.offered(number % 3, call(0, f"c{number}", f"o{number}"), 0.0)
    for number in range(20):
        meter.offered(0, call(0, f"d{number}", "large", 90_000), 0.0)
    levels, organisations = meter.report(0.0)
    assert len(levels) == 3
    assert organisations[0][1] == "large"
    assert len(organisations) <= 6


def test_priorities_at_servers_follow_from_urgency_lateness_and_excess():
    contention = make_contention()
    organisations = [(0, "large", 15_000), (0, "a", 1_000)]
    hear(contention, (16_000, 0, 0), organisations)
    offer_little(contention)

    def number(priority, organisation, *, late=False):
        ticket = Ticket(call(priority, "c", organisation), 0.0, 1.0)
        ticket.yields = late
        return contention.server_priority(ticket)

    assert number(0, "a") == 0 < number(0, "large") == 1
    assert [number(p, "a") for p in (0, 1, 2, 7)] == [0, 2, 4, 4]
    assert [number(p, "a", late=True) for p in (0, 1, 2)] == [6, 7, 8]
    assert number(0, "large", late=True) == 9


def test_less_urgent_tokens_do_not_count_as_ahead():
    """An engine admits a more urgent prompt first, so that it is in time although many
    less urgent ones wait there."""
    scheduler = Scheduler.from_policy(Policy(), Random(1))
    scheduler.contention.set_levels(levels_of(TARGETS, 2.0))
    scheduler.set_servers([ServerView("s", "", "", "s", 64, RATE, 50.0)])
    for number in range(20):
        made = call(2, f"c{number}", tokens=10_000)
        assert isinstance(scheduler.offer(made, 0.0), Ticket)
        assert scheduler.next_dispatch(0.0) is not None
    server = scheduler.servers.servers["s"]
    urgent, other = call(0, "u"), call(2, "o")
    assert scheduler.placement.wait_s(urgent, server, 0.0) < 0.1
    assert scheduler.placement.wait_s(other, server, 0.0) > 3.0


def test_a_late_request_behind_too_many_late_ones_is_refused_at_once():
    """It waited for its whole time budget, since new prompts that are in time keep the
    servers busy, and was then lost."""
    contention = make_contention()
    ticket = Ticket(call(0, "l"), 0.0, 1.0)
    levels = [(a, b, 0) for a, b in zip((40_000, 0, 0), PENDING, strict=True)]
    for late, least_s, most_s in (
        ([], 0.0, 1.5),
        ([(9_000, 0), (0, 0), (0, 0)], 4.0, 6.0),  # 81,000 tokens at a tenth of 200,000
        ([(9_000, 9_000), (0, 0), (0, 0)], 1.0, 2.5),  # at the observed 81,000 a second
        ([(0, 0), (9_000, 0), (9_000, 0)], 0.0, 1.5),  # less urgent ones come after it
    ):
        for node in range(NODES - 1):
            contention.fleet.receive(f"n{node}", (levels, []), 0.0, late)
        offer_little(contention)
        assert least_s <= contention.late_start_s(ticket) <= most_s


def test_a_late_request_that_could_not_begin_is_refused_with_a_time_to_return():
    """Only the exchanged late prompts let the node see that."""
    scheduler = Scheduler.from_policy(Policy(), Random(1))
    scheduler.contention.set_levels(levels_of(TARGETS, 2.0))
    scheduler.set_servers([ServerView("s", "", "", "s", 64, RATE, 50.0)])
    scheduler.set_nodes(2)
    scheduler.placement.backlogs = Backlogs()
    report = [(200_000, 30_000, 0), (0, 0, 0), (0, 0, 0)], []

    def outcome(name, late):
        scheduler.contention.fleet.receive("n", report, 0.0, late)
        scheduler.contention.next_update_at = 0.0
        made = replace(call(0, name, tokens=2_000), deadline=5.0, target_s=0.5)
        ticket = scheduler.offer(made, 0.0)
        assert isinstance(ticket, Ticket)
        ticket.excess = True
        return scheduler.next_dispatch(0.0), scheduler.take_expired()

    dispatch, expired = outcome("a", [])
    assert dispatch is not None
    assert not expired
    dispatch, expired = outcome("b", [(60_000, 0), (0, 0), (0, 0)])
    assert dispatch is None
    assert expired[0].refusal.kind is ErrorKind.DEADLINE_EXCEEDED
    assert expired[0].refusal.retry_after_s > 0


def test_the_prefill_rate_is_learned_within_each_priority():
    """The less urgent prompts are short and wait longer: one line over all falls, and
    the rate became twenty times too high in an overload."""
    from endive_core.prefilling import PrefillRate

    random, together, apart = Random(3), PrefillRate(), PrefillRate()
    for _ in range(400):
        rank = random.randrange(2)
        tokens = random.uniform(6_000, 12_000) if not rank else random.uniform(100, 900)
        seconds = tokens / RATE + rank * random.uniform(0.5, 1.5)
        together.learn(tokens, seconds)
        apart.learn(tokens, seconds, rank)
    assert together.tokens_per_s > 5 * RATE
    assert apart.tokens_per_s == pytest.approx(RATE, rel=0.3)


def test_a_prompt_of_many_times_the_mean_leaves_the_part_of_short_ones():
    """One prompt of many times the mean took the part of tokens in short prompts below
    zero. After one of 1,000 times, the next 400 short ones were all refused."""
    meter = DemandMeter()
    meter.set_levels(1)
    for number in range(100):
        meter.offered(0, call(0, f"short-{number}"), 0.0)
    meter.offered(0, call(0, "long", tokens=300_000), 0.0)
    assert 0.0 <= meter.small_share[0] <= 1.0
    for number in range(100):
        meter.offered(0, call(0, f"next-{number}"), 0.0)
    assert 0.2 <= meter.small_share[0] <= 1.0


def test_a_prompt_that_no_server_can_compute_leaves_room_for_others():
    """After a prompt that stated 100 million tokens, all others were refused or sent as
    late at every node for seconds."""
    contention = make_contention()
    hear(contention, (5_000, 5_000, 5_000))
    huge = replace(call(0, "huge", tokens=100_000_000), deadline=2.0)
    contention.refusal(huge, 0.0)
    offer_little(contention)
    assert contention.meter.mean_tokens[0] <= 2.0 * RATE
    assert admitted(contention, 0) == admitted(contention, 1) == 1.0
    assert admitted(contention, 2) > 0.15
