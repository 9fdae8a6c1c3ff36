from endive_core.clocks import MAX_READING_AGE_S, ClusterClock


class Clocks:
    def __init__(self):
        self.monotonic = 100.0
        self.wall_time = 1_000_000.0

    def made(self):
        return ClusterClock(lambda: self.monotonic, lambda: self.wall_time)


def test_a_clock_that_jumped_is_outvoted():
    """The time of day on this instance jumps ahead by 40 minutes. A node that used it
    would report time windows that have not come yet."""
    clocks = Clocks()
    made = clocks.made()
    for node in "abc":
        made.receive(node, 1_000_000.1)
    clocks.wall_time += 2400.0
    assert abs(made.now() - 1_000_000.1) < 0.2


def test_other_clocks_that_jumped_are_outvoted():
    clocks = Clocks()
    made = clocks.made()
    for node, wall_time in zip(
        "abc", (1_000_000.0, 1_002_400.0, 1_000_000.2), strict=True
    ):
        made.receive(node, wall_time)
    assert abs(made.now() - 1_000_000.1) < 0.2


def test_the_clock_of_a_node_that_is_gone_does_not_count():
    clocks = Clocks()
    made = clocks.made()
    made.receive("a", 5.0)
    made.receive("b", 5.0)
    clocks.monotonic += MAX_READING_AGE_S + 1
    clocks.wall_time += MAX_READING_AGE_S + 1
    assert made.now() == clocks.wall_time
