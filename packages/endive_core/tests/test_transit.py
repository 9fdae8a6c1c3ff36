from collections import Counter
from random import Random

import pytest
from endive_core.transit import AVOID_S, TransitChoice


def choice_of(*carried):
    """Return a choice among nodes that carry the given numbers of connections."""
    choice = TransitChoice(Random(1))
    for number, count in enumerate(carried):
        choice.offers.set(f"n{number}", count)
    return choice


def test_no_node_is_chosen_that_carries_none():
    choice = choice_of(-1, -1, 0, -1)
    assert {choice.choose(0.0) for _ in range(50)} == {"n2"}
    assert choice_of(-1, -1).choose(0.0) is None
    assert choice_of().choose(0.0) is None


def test_a_node_that_withdraws_is_not_chosen_any_more():
    choice = choice_of(0, 0, 0)
    choice.offers.set("n0", -1)
    choice.offers.discard("n2")
    assert {choice.choose(0.0) for _ in range(50)} == {"n1"}
    choice.offers.set("n0", 3)
    assert {choice.choose(0.0) for _ in range(50)} == {"n0", "n1"}


def test_a_node_that_was_asked_is_not_asked_again_at_once():
    choice = choice_of(0, 0)
    assert choice.choose(0.0, tried={"n0"}) == "n1"
    choice.avoid("n1", 0.0)
    assert choice.choose(0.1, tried={"n0"}) is None
    assert choice.choose(AVOID_S, tried={"n0"}) == "n1"


def test_of_two_nodes_the_less_loaded_one_is_chosen():
    choice = choice_of(5, 3)
    chosen = Counter(choice.choose(0.0) for _ in range(400))
    assert chosen["n1"] > 250


def test_a_nodes_own_connections_count_before_the_next_message():
    choice = choice_of(0, 0)
    for _ in range(9):
        choice.open("n0")
    chosen = Counter(choice.choose(0.0) for _ in range(400))
    assert chosen["n1"] > 250
    for _ in range(9):
        choice.close("n0")
    assert not choice.opened


def test_a_node_refers_others_to_the_less_loaded_of_those_it_uses():
    choice = choice_of(9, 1, 0, 0)
    assert choice.referral() is None
    for address in ("n0", "n1", "n9"):
        choice.open(address)
    referrals = Counter(choice.referral() for _ in range(400))
    assert referrals.keys() == {"n0", "n1"}
    assert referrals["n1"] > 250


class CountedAddresses(list):
    """A list that counts how many of its items are looked at."""

    looked_at = 0

    def __getitem__(self, index):
        self.looked_at += 1
        return super().__getitem__(index)

    def __iter__(self):
        self.looked_at += len(self)
        return super().__iter__()


@pytest.mark.parametrize("nodes", [6, 30, 200, 375])
def test_the_work_of_a_choice_does_not_grow_with_the_nodes(nodes):
    """A choice draws a few nodes and looks at no other."""
    choice = choice_of(*[0] * nodes)
    choice.offers.addresses = CountedAddresses(choice.offers.addresses)
    for _ in range(200):
        assert choice.choose(0.0, tried={"n0"}) is not None
    assert choice.offers.addresses.looked_at < 200 * 4
