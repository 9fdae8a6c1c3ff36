"""The order of long and short prompts, and what bounds it."""

from dataclasses import replace
from random import Random

import pytest
from endive_core.prefilling import PrefillRate
from endive_core.prompt_order import order_routes
from endive_core.prompt_work import (
    BINS,
    FleetWork,
    WorkMeter,
    bin_end,
    bin_of,
    class_limits,
)
from order_model import RATE, ROUTES, EngineModel, make_call, make_scheduler, send

LONG, SHORT = 20_000, 500
SHORTEST_TARGET_S = 0.5


def arrivals(seconds, long_per_s, short_per_s, seed=3):
    random, found = Random(seed), []
    for priority, tokens, per_s in ((1, LONG, long_per_s), (2, SHORT, short_per_s)):
        at = 0.0
        while per_s and (at := at + random.expovariate(per_s)) < seconds:
            length = round(tokens * random.uniform(0.5, 1.5))
            found.append((at, make_call(priority, length, f"{priority}-{at}")))
    return sorted(found, key=lambda pair: pair[0])


def run(share, servers=1, long_per_s=1.8, short_per_s=10.0):
    model = EngineModel(make_scheduler(servers, share))
    calls = arrivals(60.0, long_per_s * servers, short_per_s * servers)
    model.run(calls)
    return model, calls


def order_of(share=0.25):
    return make_scheduler(share=share).order


def fill(order, now=0.0, long=25, short=100):
    """Send a mix in which a short prompt has a two-hundredth of the work of ten."""
    for number in range(max(long, short)):
        for tokens, priority, count in ((LONG, 1, long), (SHORT, 2, short)):
            if number < count:
                send(order, priority, tokens, now)


@pytest.mark.parametrize(
    ("routes", "applies"),
    [
        (((0, 0.5), (1, 1.2), (2, 3.0)), False),
        (((0, 0.5), (1, 0.5)), False),
        (((3, 0.5), (3, 0.3)), False),
        (((1, 0.835), (0, 0.519), (2, 0.515)), True),
        (tuple((number, 1.0 - number / 10) for number in range(9)), False),
    ],
)
def test_only_a_shorter_target_with_less_priority_changes_the_order(routes, applies):
    """Earlier deployments keep their order, and so do those without free numbers."""
    assert (order_routes(routes) is not None) is applies
    scheduler = make_scheduler(routes=routes)
    assert scheduler.order.active is applies


def test_a_share_of_zero_disables_it():
    assert not order_of(share=0.0).active


@pytest.mark.parametrize("servers", [1, 4])
def test_short_prompts_start_sooner_and_long_ones_do_not_starve(servers):
    """Short prompts waited behind long ones; after reclaims one engine may be left."""
    usual, _ = run(0.0, servers)
    model, calls = run(0.25, servers)
    short, before = model.first_s(2), usual.first_s(2)
    assert sum(short) / len(short) < 0.6 * sum(before) / len(before)
    longest = sorted(c.prompt_tokens for _, c in calls if c.level == -1)
    tenth = longest[-len(longest) // 10]
    served = len(model.first_s(1)) / len(longest)
    of_tenth = len(model.first_s(1, tenth)) / sum(n >= tenth for n in longest)
    assert of_tenth >= 0.5 * served
    assert served >= 0.95 * len(usual.first_s(1)) / len(longest)


def test_shorter_classes_come_first_and_the_others_keep_their_order():
    order = order_of()
    fill(order)
    numbers = [send(order, p, n, 0.2) for p, n in ((2, SHORT), (1, LONG), (2, LONG))]
    assert numbers[0] < order.routes.classes
    assert numbers[1:] == [order.routes.classes, order.routes.classes + 1]


def test_what_overtakes_stays_within_its_share_when_the_mix_changes():
    """A burst of short prompts must not make the more urgent long ones late."""
    order = order_of()
    fill(order)
    assert send(order, 2, SHORT, 0.2) < order.routes.classes
    overtaking = total = 0.0
    for number in range(4_000):  # long prompts become rare within two seconds
        now = 1.0 + number / 400
        is_long = number % 400 == 0
        tokens = LONG if is_long else SHORT
        found = send(order, 1 if is_long else 2, tokens, now)
        if now > 3.0:
            total += tokens
            overtaking += tokens * (found < order.routes.classes)
    assert overtaking <= 0.25 * total


def test_the_usual_order_holds_until_something_is_observed():
    order = order_of()
    assert send(order, 2, SHORT, 0.0) == order.routes.classes + 1


def test_reports_of_others_replace_own_observations_and_expire():
    """A silent node's mix must not decide for good."""
    order = order_of()
    meter = WorkMeter()
    for tokens in (SHORT,) * 20 + (LONG,) * 10:
        prefill_s = tokens / RATE
        meter.add(bin_of(prefill_s / SHORTEST_TARGET_S), prefill_s, 0.0)
    for node in range(5):
        order.fleet.receive(f"n{node}", meter.report(0.0), 0.0)
    assert send(order, 2, SHORT, 0.0) < order.routes.classes
    assert send(order, 2, SHORT, 2.0) == order.routes.classes + 1
    assert order.fleet.reports == {}


def test_only_what_precedes_a_prompt_counts_as_ahead():
    """Short prompts were taken for late, and refused, for long ones behind them."""
    scheduler = make_scheduler()
    fill(scheduler.order)
    for number in range(5):
        patient = replace(make_call(1, LONG, f"l{number}"), target_s=9.0)
        scheduler.offer(patient, 0.1)
        scheduler.next_dispatch(0.1)
    server = scheduler.servers.servers["s0"]
    short, long = make_call(2, SHORT), make_call(1, LONG)
    assert scheduler.placement.wait_s(long, server, 0.1) > 4 * 0.33
    assert scheduler.placement.wait_s(short, server, 0.1) < 0.5


def test_the_prefill_rate_is_learned_within_each_class():
    """Long prompts wait longer, so that one line over all of them is too steep."""
    scheduler = make_scheduler(share=0.25)
    scheduler.first_tokens.prefill = rate = PrefillRate(RATE)
    fill(scheduler.order)
    random, now = Random(2), 0.1
    for number in range(300):
        priority, tokens = ((1, LONG), (2, SHORT))[number % 2]
        tokens = round(tokens * random.uniform(0.5, 1.5))
        ticket = scheduler.offer(make_call(priority, tokens, f"{number}"), now)
        scheduler.next_dispatch(now)
        waited_s = 0.5 if ticket.order >= scheduler.order.routes.classes else 0.0
        now += tokens / RATE + waited_s
        scheduler.started(ticket, now)
        scheduler.finished(ticket, now)
    assert rate.tokens_per_s == pytest.approx(RATE, rel=0.05)


def test_what_is_long_follows_from_targets_and_rate():
    """The same tokens are short for engines that are ten times faster."""
    assert bin_of(0.0) == 0
    assert bin_of(1e9) == BINS - 1
    for index in range(BINS - 1):
        assert bin_of(bin_end(index)) == index
        assert bin_of(bin_end(index) * 1.01) == index + 1


def test_classes_have_no_more_than_their_part_of_the_work():
    random = Random(5)
    for _ in range(200):
        work = [random.choice((0.0, random.random())) for _ in range(BINS)]
        limits = class_limits(work, 0.25, 5)
        assert limits == sorted(limits)
        for number, limit in enumerate(limits, 1):
            assert sum(work[:limit]) <= 0.25 * number / 5 * sum(work) + 1e-6
    assert class_limits([0.0] * BINS, 0.25, 3) == [0, 0, 0]


def test_sums_follow_reports_of_any_length():
    """Reports come from other nodes, of later versions too."""
    fleet = FleetWork()
    fleet.receive("a", [1] * (BINS + 9), 0.0)
    fleet.receive("b", [5, -7], 0.0)
    assert fleet.others == [6, 1] + [1] * (BINS - 2)
    fleet.receive("a", [], 0.0)
    fleet.remove("b")
    assert fleet.others == [0] * BINS


def test_routes_of_the_model_call_for_it():
    assert order_routes(ROUTES).classes == 5
