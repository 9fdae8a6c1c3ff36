import pytest
from endive_core.crash_news import FRESH_RECEIVERS, CrashNews
from endive_core.crashes import (
    MAX_SUCCESSES,
    SUCCESS_VALID_S,
    Crash,
    CrashTable,
    Success,
)


@pytest.fixture
def table():
    return CrashTable(refused_from=2, memory_s=60.0, max_fingerprints=100)


def sent(news, now=0.0, limit=4, receivers=FRESH_RECEIVERS):
    crashes = news.take(now, limit=limit, receivers=receivers)
    return [(crash.fingerprint, crash.server) for crash in crashes]


def test_a_crash_is_sent_again_until_enough_nodes_have_received_it(table):
    news = CrashNews(table)
    table.add(Crash("a", "s1", 0.0))
    table.add(Crash("b", "s1", 0.0))
    half = FRESH_RECEIVERS // 2
    assert sent(news, limit=1, receivers=half) == [("b", "s1")]
    assert sent(news, limit=1, receivers=half) == [("b", "s1")]
    assert sent(news, limit=1, receivers=half) == [("a", "s1")]


def test_own_crashes_go_before_learned_ones(table):
    news = CrashNews(table)
    assert news.learn(Crash("learned", "s1", 0.0))
    assert not news.learn(Crash("learned", "s1", 0.0))
    table.add(Crash("own", "s1", 0.0))
    assert sent(news, limit=1) == [("own", "s1")]


def test_every_crash_has_its_turn_though_it_is_heard_of_again(table):
    """Repeats from other nodes used to keep the same few in every message."""
    news = CrashNews(table)
    for number in range(9):
        table.add(Crash(f"f{number}", "s1", 0.0))
    for _ in range(3):
        sent(news)
    found = set()
    for _ in range(3):
        for number in range(4):
            news.learn(Crash(f"f{number}", "s1", 0.0))
        found.update(sent(news))
    assert len(found) == 9


def test_a_message_has_no_crash_twice(table):
    news = CrashNews(table)
    for server in ("s1", "s2"):
        table.add(Crash("refused", server, 0.0))
    table.add(Crash("other", "s1", 0.0))
    for _ in range(5):
        crashes = sent(news)
        assert len(crashes) == len(set(crashes)) == 3


def test_crashes_of_refused_requests_take_most_turns(table):
    news = CrashNews(table)
    for server in ("s1", "s2", "s3"):
        table.add(Crash("refused", server, 0.0))
    for number in range(20):
        table.add(Crash(f"f{number}", "s1", 0.0))
    for _ in range(12):
        sent(news)
    for _ in range(4):
        assert sum(fingerprint == "refused" for fingerprint, _ in sent(news)) == 3


def test_expired_crashes_are_not_sent(table):
    news = CrashNews(table)
    table.add(Crash("a", "s1", 0.0))
    assert sent(news, now=61.0) == []
    assert len(news) == 0


def test_a_crash_that_nodes_send_back_and_forth_expires(table):
    """Each message makes a crash look a little younger, which kept it for ever."""
    table.add(Crash("a", "s1", 0.0))
    table.add(Crash("a", "s1", 50.0))
    assert table.count("a", 61.0) == 0


def test_content_that_was_answered_is_not_refused_for_crashes(table):
    """Many callers send the same content, and several servers crash at once."""
    for server in ("s1", "s2"):
        table.add(Crash("popular", server, 10.0))
    assert table.is_poison("popular", 10.0)
    assert table.add_success(Success("popular", 11.0))
    assert not table.is_poison("popular", 11.0)
    for server in ("s3", "s4"):
        table.add(Crash("popular", server, 11.0 + SUCCESS_VALID_S))
    assert not table.is_poison("popular", 17.0)


def test_content_that_crashes_servers_long_after_a_response_is_refused(table):
    """A new version of a server may crash on what the last one answered."""
    table.add_success(Success("f", 0.0))
    for server in ("s1", "s2"):
        table.add(Crash("f", server, 0.1 + SUCCESS_VALID_S))
    assert table.is_poison("f", 6.0)


def test_a_success_is_sent_until_enough_nodes_have_received_it(table):
    news = CrashNews(table)
    table.add_success(Success("unknown", 0.0))
    table.add(Crash("f", "s1", 1.0))
    table.add_success(Success("f", 2.0))
    for _ in range(2):
        taken = news.take_successes(limit=4, receivers=FRESH_RECEIVERS // 2)
        assert [success.fingerprint for success in taken] == ["f"]
    assert news.take_successes(limit=4, receivers=1) == []
    assert sent(news, now=2.0) == []


def test_a_node_that_knows_of_a_success_answers_news_of_a_crash_with_it(table):
    news = CrashNews(table)
    table.add_success(Success("f", 2.0))
    news.learn(Crash("f", "s1", 1.0))
    assert news.take_successes(limit=4, receivers=1) == [Success("f", 2.0)]


def test_few_successes_are_remembered(table):
    for number in range(MAX_SUCCESSES + 10):
        table.add_success(Success(f"f{number}", float(number)))
    assert len(table.successes) == MAX_SUCCESSES


def test_cleared_content_stays_cleared_after_many_other_responses(table):
    """It was refused again once its response was forgotten."""
    for server in ("s1", "s2"):
        table.add(Crash("popular", server, 0.0))
    table.add_success(Success("popular", 1.0))
    table.add_success(Success("early", 1.0))
    table.add(Crash("early", "s1", 2.0))
    table.add(Crash("early", "s2", 2.0))
    for number in range(MAX_SUCCESSES + 1):
        table.add_success(Success(f"f{number}", 2.0))
    assert not table.is_poison("popular", 3.0)
    assert not table.is_poison("early", 3.0)
