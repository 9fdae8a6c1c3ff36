from endive_core.metering import WINDOWS_KEPT, UsageMeter


def test_counts_of_all_nodes_add_up_including_those_of_a_dead_one():
    meter = UsageMeter(5.0)
    meter.begin("o", 51.0)
    meter.begin("o", 54.9)
    meter.begin("p", 55.0)
    meter.receive("dead", 1, {10: {"o": 3}})
    meter.receive("dead", 2, {10: {"o": 1}})
    assert meter.total(10) == {"o": 6}
    assert meter.total(11) == {"p": 1}


def test_a_later_broadcast_replaces_an_earlier_one():
    meter = UsageMeter(5.0)
    meter.receive("a", 1, {10: {"o": 3}})
    meter.receive("a", 1, {10: {"o": 5}})
    assert meter.total(10) == {"o": 5}


def test_old_windows_are_dropped():
    meter = UsageMeter(5.0)
    for window in range(100):
        meter.begin("o", window * 5.0)
        meter.receive("a", 1, {window: {"o": 1}})
    assert len(meter.own_counts) == WINDOWS_KEPT
    assert len(meter.peer_counts["a", 1]) == WINDOWS_KEPT
