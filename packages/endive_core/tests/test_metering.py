from endive_core.metering import WINDOWS_KEPT, UsageMeter


def test_all_nodes_counts_add_up_also_those_of_a_node_that_died():
    made = UsageMeter(5.0)
    made.begin("o", 51.0)
    made.begin("o", 54.9)
    made.begin("p", 55.0)
    made.receive("dead", 1, {10: {"o": 3}})
    made.receive("dead", 2, {10: {"o": 1}})
    assert made.total(10) == {"o": 6}
    assert made.total(11) == {"p": 1}


def test_a_later_telling_replaces_an_earlier_one():
    made = UsageMeter(5.0)
    made.receive("a", 1, {10: {"o": 3}})
    made.receive("a", 1, {10: {"o": 5}})
    assert made.total(10) == {"o": 5}


def test_old_windows_are_forgotten():
    made = UsageMeter(5.0)
    for window in range(100):
        made.begin("o", window * 5.0)
        made.receive("a", 1, {window: {"o": 1}})
    assert len(made.own) == WINDOWS_KEPT
    assert len(made.others["a", 1]) == WINDOWS_KEPT
