from endive_core.response_times import MAX_TIMEOUT_S, ResponseTimes

LEAST_S = 1.5


def test_quick_responses_leave_the_least_timeout():
    times = ResponseTimes()
    times.record(0.004)
    assert times.timeout_s(LEAST_S) == LEAST_S


def test_a_slow_response_extends_the_timeout_until_quick_ones_follow():
    """Otherwise every call to a service that is slower than that would be given up."""
    times = ResponseTimes()
    times.record(1.6)
    assert times.timeout_s(LEAST_S) > 3.0
    times.record(0.004)
    assert times.timeout_s(LEAST_S) == LEAST_S


def test_the_timeout_stays_bounded():
    """A service that falls silent never responds, and is asked again in time."""
    times = ResponseTimes()
    times.record(60.0)
    assert times.timeout_s(LEAST_S) == MAX_TIMEOUT_S
