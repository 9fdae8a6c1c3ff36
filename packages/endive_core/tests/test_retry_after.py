from endive_core.retry_after import (
    PERIOD_WINDOWS,
    WINDOW_S,
    RetryWindows,
    in_window,
    next_window_time,
)

KEY = ("batch", 0)


def assign_times(count, *, cost_s=0.5):
    windows = RetryWindows(min_s=0.2, max_s=900.0)
    assigned = [
        windows.assign(KEY, f"f{n}", 0.0, excess_s=0.1, cost_s=cost_s)
        for n in range(count)
    ]
    return windows, assigned


def test_retry_times_are_as_far_apart_as_the_servers_need():
    """A thousand calls are refused within one second. Given the same time, all would
    retry together, and nearly all would be refused once more."""
    _, assigned = assign_times(1000)
    in_any_10_s = max(sum(s <= t < s + 10 for t in assigned) for s in range(0, 500, 5))
    assert in_any_10_s < 10 / 0.5 * 1.5


def test_caller_that_keeps_its_time_is_admitted_at_any_node():
    """A refused caller retries at the time it was given, at a node that has refused
    calls of its own and does not know this caller."""
    _, assigned = assign_times(200)
    other, _ = assign_times(2000)
    for number, at in enumerate(assigned):
        assert other.may_enqueue(KEY, f"f{number}", at + 0.1)


def test_first_calls_are_seldom_admitted_before_refused_ones():
    windows, _ = assign_times(1000)
    entered = sum(windows.may_enqueue(KEY, f"first-{n}", 3.0) for n in range(1000))
    assert entered < 1000 * 2.5 / PERIOD_WINDOWS
    assert windows.may_enqueue(("other", 0), "first", 3.0)


def test_a_call_has_one_window_in_a_period():
    for number in range(100):
        start = number * 0.7
        at = next_window_time(f"f{number}", start)
        assert start <= at < start + WINDOW_S * PERIOD_WINDOWS
        assert in_window(f"f{number}", at)
