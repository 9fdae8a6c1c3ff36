"""Nodes in simulated time before servers that crash on a part of a prompt."""

import itertools

import pytest
from endive_core.crash_news import FRESH_RECEIVERS
from endive_core.part_crashes import MAX_REPORTED_PARTS, PartTable
from endive_core.part_reports import PartCrash
from endive_core.part_trials import Standing
from endive_gateway.part_exchange import MAX_ANSWERS, PartExchange
from part_simulation import KNOWN_CRASHES, PartFleet

BAD, OTHER_BAD = 0xBAD, 0xBAD2
COMMON, SYSTEM, OTHER = 0xC0, 0x51, 0x07
ANY_PARTS = range(1_000, 1_020)
MAX_LATE = 3
"""Requests with such a part that may reach servers once all nodes must know of it."""

MIN_SOUND = 0.95
TROUBLE_S = 6.0


def sound_parts(fleet, *first):
    """Return a function that makes the parts of sound requests."""
    return lambda: (*first, fleet.random.choice(ANY_PARTS))


def play(
    fleet,
    *bad,
    per_s,
    retryable=True,
    sound_per_s=40.0,
    seconds=TROUBLE_S,
    after_s=4.0,
):
    """Play a second of sound requests, then both kinds; `bad` make the bad ones' parts.

    Returns
    -------
    float
        When the bad requests began.
    """
    begins = fleet.clock.now + 1.0
    ends = begins + seconds
    fleet.send_every(1 / sound_per_s, sound_parts(fleet, COMMON), until=ends)
    fleet.run_until(begins)
    for make_parts in bad:
        fleet.send_every(
            1 / per_s, make_parts, until=ends, retryable=retryable, random=False
        )
    fleet.run_until(ends + after_s)
    return begins


def first(_fleet):
    return lambda: (BAD,)


def after_a_shared_part(_fleet):
    return lambda: (COMMON, BAD)


def among_others(fleet):
    """Other parts around it each time, of which some are in no other request."""
    fresh = itertools.count(5_000)
    choice = fleet.random.choice
    return lambda: (choice(ANY_PARTS), next(fresh), BAD, choice(ANY_PARTS))


def with_a_constant_companion(_fleet):
    return lambda: (0xA1, BAD, 0xA2)


@pytest.mark.parametrize("retryable", [True, False])
@pytest.mark.parametrize("per_s", [3, 20])
@pytest.mark.parametrize(
    "shape", [first, after_a_shared_part, among_others, with_a_constant_companion]
)
def test_requests_that_share_a_part_stop_crashing_servers(
    monkeypatch, shape, per_s, retryable
):
    """No two requests are alike, so that none is known from its own content."""
    fleet = PartFleet(monkeypatch, 6, crashing=[BAD])
    begins = play(fleet, shape(fleet), per_s=per_s, retryable=retryable)
    assert fleet.late_arrivals(BAD) <= MAX_LATE
    assert fleet.ended <= KNOWN_CRASHES + MAX_LATE
    assert fleet.sound_share(begins) >= MIN_SOUND


def test_two_parts_that_crash_servers_are_told_apart(monkeypatch):
    """Each of them is in half of the crashes, the part before them in all."""
    fleet = PartFleet(monkeypatch, 6, crashing=[BAD, OTHER_BAD])
    bad = (lambda: (COMMON, BAD)), (lambda: (COMMON, OTHER_BAD))
    begins = play(fleet, *bad, per_s=8)
    assert fleet.late_arrivals(BAD) + fleet.late_arrivals(OTHER_BAD) <= 2 * MAX_LATE
    assert fleet.ended <= 2 * (KNOWN_CRASHES + MAX_LATE)
    assert fleet.sound_share(begins) >= MIN_SOUND


@pytest.mark.parametrize("gap_s", [0.15, 0.5])
def test_a_part_that_all_share_is_not_refused_for_crashes_of_other_causes(
    monkeypatch, gap_s
):
    fleet = PartFleet(monkeypatch, 6, servers=40)
    ends = fleet.clock.now + TROUBLE_S
    fleet.send_every(1 / 40, sound_parts(fleet, SYSTEM, COMMON), until=ends)
    fleet.crash_every(gap_s, until=ends)
    fleet.run_until(ends + 4.0)
    assert fleet.ended >= TROUBLE_S / gap_s - 2
    assert not fleet.refused()


@pytest.mark.parametrize("shape", [after_a_shared_part, among_others])
@pytest.mark.parametrize("nodes", [30, 200, 375])
def test_a_crashing_part_is_known_to_all_nodes_within_a_second(
    monkeypatch, nodes, shape
):
    """A fifth of the messages is lost, and each node gets few of the requests."""
    fleet = PartFleet(monkeypatch, nodes, servers=40, loss=0.2, crashing=[BAD])
    begins = play(fleet, shape(fleet), per_s=20, seconds=3.5, after_s=0.5)
    assert fleet.ended <= KNOWN_CRASHES + MAX_LATE
    assert fleet.late_arrivals(BAD, within_s=1.0) == 0
    assert fleet.sound_share(begins) >= MIN_SOUND
    assert not fleet.refused()


@pytest.mark.parametrize("nodes", [6, 30])
def test_the_part_of_a_quiet_route_is_not_refused_in_a_wave_of_reclaims(
    monkeypatch, nodes
):
    """All its prompts share their only part, and its answers are too rare to clear it
    between two crashes."""
    fleet = PartFleet(monkeypatch, nodes, servers=40)
    ends = fleet.clock.now + 30.0
    fleet.send_every(1 / 30, sound_parts(fleet, SYSTEM), until=ends)
    fleet.send_every(1 / 2, lambda: (COMMON,), until=ends)
    fleet.crash_every(0.15, until=ends)
    fleet.run_until(ends + 4.0)
    assert fleet.ended >= 100
    assert not fleet.refused()


def test_a_loss_of_power_under_one_part_does_not_refuse_it(monkeypatch):
    """Half of the servers end at one moment, twice, and few requests come."""
    fleet = PartFleet(monkeypatch, 6, servers=24)
    ends = fleet.clock.now + 20.0
    fleet.send_every(1 / 20, lambda: (SYSTEM,), until=ends)

    def cut_power():
        for server in fleet.running()[::2]:
            server.crash()

    for after_s in (3.0, 9.0):
        fleet.at(fleet.clock.now + after_s, cut_power)
    fleet.run_until(ends + 4.0)
    assert fleet.ended >= 24
    assert not fleet.refused()


def test_a_part_that_servers_can_answer_again_comes_back(monkeypatch):
    """A new version of the servers' software is mended."""
    fleet = PartFleet(monkeypatch, 6, crashing=[BAD])
    begins = fleet.clock.now
    fleet.send_every(1 / 5, lambda: (COMMON, BAD), until=begins + 60.0)
    fleet.run_until(begins + 5.0)
    ended = fleet.ended
    fleet.crashing.clear()
    fleet.run_until(begins + 60.0)
    assert fleet.ended == ended
    later = [e for e in fleet.ends if e.sent_at > begins + 20.0]
    assert sum(e.outcome == "ok" for e in later) >= MIN_SOUND * len(later)


def test_finding_out_whether_a_part_still_crashes_costs_few_servers(monkeypatch):
    fleet = PartFleet(monkeypatch, 6, crashing=[BAD])
    begins = fleet.clock.now
    fleet.send_every(1 / 20, lambda: (COMMON, BAD), until=begins + 90.0)
    fleet.run_until(begins + 90.0)
    assert fleet.late_arrivals(BAD) <= MAX_LATE


def test_a_part_that_was_refused_beside_the_bad_one_comes_back_without_a_crash(
    monkeypatch,
):
    """Nobody had sent it alone before."""
    fleet = PartFleet(monkeypatch, 6, crashing=[BAD])
    begins = fleet.clock.now
    fleet.send_every(1 / 10, lambda: (OTHER, BAD), until=begins + 20.0)
    fleet.run_until(begins + 5.0)
    ended = fleet.ended
    fleet.send_every(1 / 5, lambda: (OTHER,), until=begins + 9.0)
    fleet.run_until(begins + 9.0)
    assert fleet.ended == ended
    assert fleet.sound_share(part=OTHER) >= MIN_SOUND


def test_a_node_that_hears_nothing_for_a_while_learns_of_a_part(monkeypatch):
    fleet = PartFleet(monkeypatch, 30, crashing=[BAD])
    cut_off = fleet.nodes[0].address
    fleet.reaches = lambda sender, receiver: cut_off not in (sender, receiver)
    begins = fleet.clock.now
    fleet.send_every(1 / 5, lambda: (COMMON, BAD), until=begins + 5.0)
    fleet.run_until(begins + 5.0)
    fleet.reaches = lambda sender, receiver: True
    fleet.run_until(begins + 6.0)
    trials = fleet.nodes[0].context.placer.trials
    standing = trials.judge((COMMON, BAD), fleet.clock.now).standing
    assert standing is Standing.REFUSED


@pytest.mark.parametrize(("nodes", "seed"), [(6, 6), (30, 1)])
def test_nodes_that_start_after_two_waves_do_not_refuse_what_was_cleared(
    monkeypatch, nodes, seed
):
    """They learn of the crashes, and not of the answers that have cleared the part
    which all requests share."""
    fleet = PartFleet(monkeypatch, nodes, seed=seed, crashing=[BAD, OTHER_BAD])
    begins = fleet.clock.now
    ends = begins + 42.0
    fleet.send_every(1 / 6, sound_parts(fleet, COMMON), until=ends)
    for starts, part in ((1.0, BAD), (9.0, OTHER_BAD)):
        fleet.run_until(begins + starts)
        fleet.send_every(1 / 2, lambda p=part: (COMMON, p), until=ends)
    fleet.run_until(begins + 23.0)
    fleet.restart(fleet.nodes[::2])
    fleet.run_until(begins + 28.0)
    fleet.restart(fleet.nodes[1::2])
    fleet.run_until(ends + 4.0)
    assert fleet.ended <= 2 * (KNOWN_CRASHES + MAX_LATE)
    assert fleet.sound_share(begins + 23.0) >= MIN_SOUND


@pytest.mark.parametrize("nodes", [6, 30])
def test_nodes_that_start_do_not_try_what_others_refuse(monkeypatch, nodes):
    """They heard of the crashes one by one, and tried each part once more."""
    parts = [BAD + number for number in range(8)]
    fleet = PartFleet(monkeypatch, nodes, servers=40, crashing=parts)
    begins = fleet.clock.now
    ends = begins + 9.0
    fleet.send_every(1 / 40, sound_parts(fleet, COMMON), until=ends)
    for part in parts:
        fleet.send_every(1 / 8, lambda p=part: (COMMON, p), until=ends)
    fleet.run_until(begins + 5.0)
    ended = fleet.ended
    fleet.restart(fleet.nodes[::2])
    fleet.run_until(begins + 7.0)
    fleet.restart(fleet.nodes[1::2])
    fleet.run_until(begins + 9.0)
    assert fleet.ended - ended <= len(parts)
    assert fleet.sound_share(begins + 5.0) >= MIN_SOUND


def make_exchange():
    return PartExchange(PartTable(memory_s=600.0), lambda: None)


def test_a_node_that_starts_later_learns_the_answers_with_the_crashes():
    """An answer was forgotten once ten nodes knew it, and the crash told for ever."""
    former, later = make_exchange(), make_exchange()
    cleared = tuple(range(10, 10 + MAX_REPORTED_PARTS - 1))
    for number in range(3):
        parts = (*cleared, BAD)
        former.table.add(PartCrash(f"i-{number}@1", number, parts, 0.9, 1.0))
    former.table.add_answers(cleared, 2.0)
    while former.news.successes:
        former.next_answers(3.0, FRESH_RECEIVERS)
    for step in range(10):
        now = 4.0 + step
        crashes = former.next_crashes(now, FRESH_RECEIVERS)
        answers = former.next_answers(now, FRESH_RECEIVERS)
        assert len(answers) <= MAX_ANSWERS
        later.learn("n", crashes, answers, now)
    assert later.table.suspected() == [BAD]


def test_an_answer_that_is_told_again_and_again_stays_before_a_later_crash():
    """Each message delays it, until a part that has become bad seems to be answered."""
    nodes = [make_exchange(), make_exchange()]
    nodes[0].table.add_answers((BAD,), 0.5)
    for number in range(5):
        at = 1.0 + number
        nodes[0].table.report(PartCrash(f"i-{number}@1", number, (BAD,), at - 0.1, at))
    for step in range(200):
        sent_at = 6.0 + 0.1 * step
        sender, receiver = nodes[step % 2], nodes[(step + 1) % 2]
        crashes = sender.next_crashes(sent_at, FRESH_RECEIVERS)
        answers = sender.next_answers(sent_at, FRESH_RECEIVERS)
        receiver.learn("n", crashes, answers, sent_at + 0.05)
    assert all(node.table.suspected() == [BAD] for node in nodes)


def test_waves_of_several_parts_each_cost_few_servers(monkeypatch):
    parts = [BAD + number for number in range(4)]
    fleet = PartFleet(monkeypatch, 6, servers=24, crashing=parts)
    begins = fleet.clock.now
    fleet.send_every(1 / 40, sound_parts(fleet, COMMON), until=begins + 24.0)
    for number, part in enumerate(parts):
        starts = begins + 1.0 + 5.0 * number
        fleet.run_until(starts)
        fleet.send_every(1 / 10, lambda p=part: (COMMON, p), until=begins + 24.0)
    fleet.run_until(begins + 26.0)
    assert all(fleet.late_arrivals(part) <= MAX_LATE for part in parts)
    assert fleet.ended <= len(parts) * (KNOWN_CRASHES + MAX_LATE)
    assert fleet.sound_share(begins) >= MIN_SOUND
