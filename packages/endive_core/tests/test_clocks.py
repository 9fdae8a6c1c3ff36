from endive_core.clocks import HEARD_S, ClusterClock


class Clocks:
    def __init__(self):
        self.steady = 100.0
        self.wall = 1_000_000.0

    def made(self):
        return ClusterClock(lambda: self.steady, lambda: self.wall)


def test_a_clock_that_jumped_is_outvoted():
    """The time of day on some instances jumps ahead by 40 minutes. A holder that
    followed it would report windows that have not come yet."""
    clocks = Clocks()
    made = clocks.made()
    for node in "abc":
        made.receive(node, 1_000_000.1)
    clocks.wall += 2400.0
    assert abs(made.now() - 1_000_000.1) < 0.2


def test_others_that_jumped_are_outvoted():
    clocks = Clocks()
    made = clocks.made()
    for node, wall in zip("abc", (1_000_000.0, 1_002_400.0, 1_000_000.2), strict=True):
        made.receive(node, wall)
    assert abs(made.now() - 1_000_000.1) < 0.2


def test_a_node_that_is_gone_has_no_vote():
    clocks = Clocks()
    made = clocks.made()
    made.receive("a", 5.0)
    made.receive("b", 5.0)
    clocks.steady += HEARD_S + 1
    clocks.wall += HEARD_S + 1
    assert made.now() == clocks.wall
