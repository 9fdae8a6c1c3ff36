import itertools
import math

import pytest
from endive_core.crash_news import FRESH_RECEIVERS, CrashNews
from endive_core.part_crashes import (
    MAX_ANSWERS,
    MAX_CRASHES,
    MAX_CRASHES_PER_PART,
    MAX_REPORTED_PARTS,
    VOUCHED_ROUNDS,
    VOUCHED_S,
    PartTable,
)
from endive_core.part_reports import PartAnswer, PartCrash

BAD, COMMON, OTHER = 1, 2, 3
MEMORY_S = 600.0
RUN_S = 0.05
prompts = itertools.count(100)


@pytest.fixture
def table():
    return PartTable(MEMORY_S)


def crash(number, *parts, at, sent_at=None, prompt=None):
    """Return a crash of server `number`; by default its request was just sent."""
    prompt = next(prompts) if prompt is None else prompt
    sent_at = at - RUN_S if sent_at is None else sent_at
    return PartCrash(f"i-{number}@0", prompt, parts, sent_at, at)


def rounds(table, part):
    return len(table.evidence(part).rounds)


def test_a_part_is_implicated_by_prompts_that_share_nothing_else(table):
    for number in range(3):
        table.add(crash(number, 100 + number, BAD, at=float(number)))
    assert rounds(table, BAD) == 3
    assert rounds(table, 100) == 1
    found = table.unexplained(BAD, frozenset({BAD}))
    assert len(found.rounds) == 3


def test_an_answer_clears_its_parts_of_earlier_crashes(table):
    table.add(crash(1, COMMON, BAD, at=1.0))
    table.add_answers((COMMON,), 1.5)
    assert not table.is_implicated(COMMON)
    assert table.is_implicated(BAD)


def test_servers_that_end_at_one_moment_count_once(table):
    """A power failure ends many servers under a part that a whole route shares."""
    for number in range(6):
        table.add(crash(number, COMMON, at=1.0 + 0.01 * number, sent_at=0.9))
    assert rounds(table, COMMON) == 1


def test_one_crash_seen_by_many_nodes_counts_once(table):
    for number in range(4):
        table.add(crash(7, COMMON, at=1.0 + 0.1 * number, sent_at=0.9 + 0.01 * number))
    assert rounds(table, COMMON) == 1


def test_a_recent_answer_vouches_for_the_next_crashes_only(table):
    """A part that becomes bad was answered just before."""
    table.add_answers((COMMON,), 1.0)
    for number in range(VOUCHED_ROUNDS):
        table.add(crash(number, COMMON, at=1.1 + 0.1 * number))
    assert not table.is_implicated(COMMON)
    table.add(crash(9, COMMON, at=1.0 + VOUCHED_S / 2))
    assert rounds(table, COMMON) == 1


def test_an_old_answer_does_not_vouch_for_a_part(table):
    table.add_answers((COMMON,), 1.0)
    table.add(crash(1, COMMON, at=1.1 + VOUCHED_S))
    assert table.is_implicated(COMMON)


def test_a_part_beside_the_cause_is_not_taken_for_it(table):
    """Two parts that always come together look the same until one comes alone."""
    for number in range(3):
        table.add(crash(number, COMMON, BAD, at=float(number)))
    assert not table.unexplained(COMMON, frozenset({COMMON})).rounds
    assert table.unexplained(BAD, frozenset({COMMON, BAD})).rounds


def test_a_part_beside_two_causes_is_not_taken_for_one(table):
    """All prompts of a route share it, and each cause is in half of the crashes."""
    for number in range(3):
        table.add(crash(number, COMMON, BAD, at=float(number)))
        table.add(crash(10 + number, COMMON, OTHER, at=10.0 + number))
    assert not table.unexplained(COMMON, frozenset({COMMON})).rounds
    assert len(table.unexplained(BAD, frozenset({COMMON, BAD})).rounds) == 3
    table.add(crash(20, COMMON, at=20.0))
    assert len(table.unexplained(COMMON, frozenset({COMMON})).rounds) == 7


def test_a_cause_is_not_excused_by_a_part_for_each_of_its_crashes(table):
    """Many callers send it, each with parts of its own."""
    for number in range(6):
        table.add(crash(number, 100 + number, BAD, at=float(number)))
        table.add(crash(10 + number, 100 + number, at=20.0 + number))
    assert len(table.unexplained(BAD, frozenset({BAD})).rounds) == 6


def test_what_only_one_prompt_has_explains_no_others_crash(table):
    for number in range(2):
        table.add(crash(number, 100, BAD, at=float(number), prompt=5))
    table.add(crash(3, 101, BAD, at=3.0))
    assert len(table.unexplained(BAD, frozenset({BAD})).rounds) == 3


def test_crashes_are_forgotten_after_their_time(table):
    table.add(crash(1, BAD, at=1.0))
    table.expire(2.0 + MEMORY_S)
    assert not table.crashes and not table.by_part and not table.by_server


def test_memory_is_bounded_whatever_callers_send(table):
    table.add_answers(tuple(range(10_000)), 0.0)
    for number in range(2 * MAX_CRASHES):
        parts = tuple(range(1000 * number, 1000 * number + 1000))
        table.report(crash(number, BAD, *parts, at=1.0 + number))
        table.add_answers(tuple(range(10**9 + number, 10**9 + number + 50)), 0.5)
    assert len(table.crashes) <= MAX_CRASHES
    assert len(table.answers) <= MAX_ANSWERS
    assert len(table.by_part[BAD]) <= MAX_CRASHES_PER_PART
    assert len(table.by_part) <= MAX_CRASHES * MAX_REPORTED_PARTS
    assert len(table.by_server) <= MAX_CRASHES
    assert len(table.cached) <= len(table.by_part)


def test_a_report_of_thousands_of_parts_names_those_that_matter(table):
    table.add(crash(1, BAD, at=1.0))
    answered = tuple(range(10, 60))
    table.add_answers(answered, 1.0)
    unanswered = tuple(range(1000, 1005))
    named = table.reported_parts((*answered, *unanswered, BAD), 1.1)
    assert len(named) == MAX_REPORTED_PARTS
    assert {BAD, *unanswered} <= set(named)


def test_a_report_that_was_dropped_is_not_taken_for_news(table):
    """Two nodes would tell each other of it for ever."""
    crashes = [crash(n, BAD, at=float(n)) for n in range(MAX_CRASHES_PER_PART + 5)]
    for known in crashes:
        table.add(known)
    assert not any(table.add(known) for known in crashes)


def test_news_of_an_answer_goes_with_the_crash_that_it_vouches_for(table):
    news = CrashNews(table)
    table.add_answers((COMMON,), 1.0)
    table.report(crash(1, COMMON, BAD, at=1.2))
    told = news.take_successes(limit=4, receivers=FRESH_RECEIVERS)
    assert told == [PartAnswer(COMMON, 1.0)]


def test_an_earlier_time_of_a_known_crash_replaces_the_later_one(table):
    """Each message delays the news."""
    table.add(crash(1, BAD, at=1.2, prompt=5))
    assert not table.add(crash(1, BAD, at=1.0, prompt=5))
    assert table.evidence(BAD).last_at == 1.0
    assert math.isinf(-table.answers.get(BAD, -math.inf))
