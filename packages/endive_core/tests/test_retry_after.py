from endive_core.retry_after import TURN_PERIOD, TURN_S, ReturnTimes, is_turn, next_turn

KEY = ("broker", 0)


def times(count, *, cost_s=0.5):
    line = ReturnTimes(min_s=0.2, max_s=900.0)
    told = [
        line.give(KEY, f"f{n}", 0.0, excess_s=0.1, cost_s=cost_s) for n in range(count)
    ]
    return line, told


def test_callers_are_told_times_as_far_apart_as_the_servers_need():
    """A thousand calls are refused within one second. Told one time, all would come
    back together and nearly all be refused once more."""
    _, told = times(1000)
    in_any_10_s = max(sum(s <= t < s + 10 for t in told) for s in range(0, 500, 5))
    assert in_any_10_s < 10 / 0.5 * 1.5


def test_caller_who_keeps_its_time_may_enter_at_any_node():
    """A refused caller comes back when it was told to, to a node that has a line of its
    own and has never heard of it."""
    _, told = times(200)
    other, _ = times(2000)
    for number, at in enumerate(told):
        assert other.may_enter(KEY, f"f{number}", at + 0.1)


def test_first_calls_seldom_jump_the_line():
    line, _ = times(1000)
    entered = sum(line.may_enter(KEY, f"first-{n}", 3.0) for n in range(1000))
    assert entered < 1000 * 2.5 / TURN_PERIOD
    assert line.may_enter(("kerloch", 0), "first", 3.0)


def test_turn_comes_once_in_a_period():
    for number in range(100):
        start = number * 0.7
        turn = next_turn(f"f{number}", start)
        assert start <= turn < start + TURN_S * TURN_PERIOD
        assert is_turn(f"f{number}", turn)
