from endive_core.facts import MAX_FACTS, Fact, FactKind, FactTable


class FakeClock:
    def __init__(self):
        self.seconds = 0.0

    def now(self):
        return self.seconds


def make_table():
    time = FakeClock()
    return FactTable(time.now), time


def test_facts_hold_until_their_end():
    table, time = make_table()
    table.server_leaving("engine-1", until=30.0)
    table.zone_under_notice("brest", until=10.0)
    time.seconds = 20.0
    assert table.leaving_servers() == {"engine-1"}
    assert table.zones_under_notice() == set()
    table.expire()
    assert [fact.subject for fact in table.all()] == ["engine-1"]


def test_crashes_are_summed_over_nodes_and_merged_by_the_larger():
    """Two nodes have each seen the same request crash a server, and their counts arrive
    repeatedly and out of order. The sum must be two, not four."""
    table, _ = make_table()
    for node, count in (("n1", 1), ("n2", 1), ("n1", 1), ("n2", 1)):
        table.crash("abc", node, count)
    assert table.crashes("abc") == 2


def test_listener_hears_only_what_is_new():
    table, _ = make_table()
    heard = []
    table.listeners.append(heard.append)
    table.server_leaving("engine-1", until=30.0)
    table.server_leaving("engine-1", until=30.5)
    table.server_leaving("engine-1", until=20.0)
    table.server_leaving("engine-1", until=40.0)
    assert [fact.until for fact in heard] == [30.0, 40.0]


def test_fact_passed_to_and_fro_expires():
    """Two nodes send each other a zone's notice again and again, and each transit makes
    its end a little later. The zone must not stay under notice and unused for ever."""
    (first, time), (second, _) = make_table(), make_table()
    second.now = time.now
    first.zone_under_notice("brest", until=10.0)
    for _ in range(2000):
        for source, target in ((first, second), (second, first)):
            for fact in source.all():
                late = Fact(fact.kind, "brest", "", 1, fact.until + 0.02)
                target.merge(late)
        time.seconds += 0.01
    assert not first.zones_under_notice() and not second.zones_under_notice()


def test_full_kind_gives_up_what_ends_first_and_no_other_kind():
    """A caller crashes servers with ever new prompts; notices must not be evicted."""
    table, _ = make_table()
    table.server_leaving("engine-1", until=5.0)
    limit = MAX_FACTS[FactKind.CRASH]
    for number in range(limit + 10):
        fact = Fact(FactKind.CRASH, f"f{number}", "n1", 1, 100.0 + number)
        table.merge(fact)
    assert table.dropped == 10
    assert table.crashes("f9") == 0 and table.crashes(f"f{limit + 9}") == 1
    assert table.leaving_servers() == {"engine-1"}
