import math

from endive_core.planned_stop import PERIOD_S, PlannedStop, RecentSlowest


def stop_in(seconds, **slowest):
    stop = PlannedStop(ends_at=100.0 + seconds)
    for route, taken_s in slowest.items():
        stop.slowest.observe(route, taken_s, 100.0)
    return stop


def test_a_node_that_does_not_stop_takes_all():
    assert PlannedStop().ends_at == math.inf
    assert PlannedStop().can_answer("r", 1e6, 100.0)


def test_a_request_is_taken_if_the_slowest_recent_response_would_fit():
    stop = stop_in(2.0, quick=0.5, slow=2.5)
    assert stop.can_answer("quick", 10.0, 100.0)
    assert stop.can_answer("quick", 10.0, 101.5)
    assert not stop.can_answer("quick", 10.0, 101.6)
    assert not stop.can_answer("slow", 10.0, 100.0)


def test_a_request_is_taken_if_its_deadline_comes_first():
    stop = stop_in(2.0, slow=2.5)
    assert stop.can_answer("slow", 2.0, 100.0)
    assert stop.can_answer("unknown", 2.0, 100.0)
    assert not stop.can_answer("unknown", 2.1, 100.0)


def test_old_responses_count_no_more():
    """A single slow response would have a stopping node refuse a route for ever."""
    slowest = RecentSlowest()
    slowest.observe("r", 9.0, 0.0)
    assert slowest.of("r", PERIOD_S + 1) == 9.0
    slowest.observe("r", 1.0, PERIOD_S + 1)
    assert slowest.of("r", 2 * PERIOD_S + 2) == 1.0
    assert slowest.of("r", 9 * PERIOD_S) is None
