from collections import Counter
from random import Random

import pytest
from endive_core.transit import AVOID_S, TransitChoice, TransitOffer


def offers(*carried):
    return [TransitOffer(f"n{number}", count) for number, count in enumerate(carried)]


def test_no_node_is_chosen_that_carries_none():
    choice = TransitChoice(Random(1))
    chosen = {choice.choose(offers(-1, -1, 0, -1), 0.0) for _ in range(50)}
    assert chosen == {"n2"}
    assert choice.choose(offers(-1, -1), 0.0) is None
    assert choice.choose([], 0.0) is None


def test_a_node_that_was_asked_is_not_asked_again_at_once():
    choice = TransitChoice(Random(1))
    assert choice.choose(offers(0, 0), 0.0, tried={"n0"}) == "n1"
    choice.avoid("n1", 0.0)
    assert choice.choose(offers(0, 0), 0.1, tried={"n0"}) is None
    assert choice.choose(offers(0, 0), AVOID_S, tried={"n0"}) == "n1"


def test_of_two_nodes_the_less_loaded_one_is_chosen():
    choice = TransitChoice(Random(1))
    chosen = Counter(choice.choose(offers(5, 3), 0.0) for _ in range(400))
    assert chosen["n1"] > 250


def test_a_nodes_own_connections_count_before_the_next_message():
    choice = TransitChoice(Random(1))
    for _ in range(9):
        choice.open("n0")
    chosen = Counter(choice.choose(offers(0, 0), 0.0) for _ in range(400))
    assert chosen["n1"] > 250
    for _ in range(9):
        choice.close("n0")
    assert not choice.opened


@pytest.mark.parametrize("nodes", [6, 30, 200, 375])
def test_the_work_of_a_choice_does_not_grow_with_the_nodes(nodes):
    """Nearly every choice draws a few nodes and looks at no other."""

    class CountedOffers(list):
        looked_at = 0

        def __getitem__(self, index):
            self.looked_at += 1
            return super().__getitem__(index)

        def __iter__(self):
            self.looked_at += len(self)
            return super().__iter__()

    made = CountedOffers(offers(*[-1 if n % 3 == 0 else 0 for n in range(nodes)]))
    choice = TransitChoice(Random(1))
    for _ in range(200):
        assert choice.choose(made, 0.0) is not None
    assert made.looked_at < 200 * 4
