from endive_core.hashing import (
    fingerprint,
    rendezvous_choice,
    rendezvous_order,
    shard_of,
)


def test_hashes_take_text_beyond_ascii():
    assert fingerprint("Kerloc'h é") != fingerprint("Kerloc'h e")
    assert 0 <= shard_of("clé", 16) < 16


def test_a_member_that_leaves_moves_only_its_own_keys():
    members = ["a", "b", "c", "d"]
    for number in range(100):
        before = rendezvous_order(f"k{number}", members)
        after = rendezvous_choice(f"k{number}", members[1:])
        assert after == (before[0] if before[0] != "a" else before[1])


def test_order_starts_with_the_choice_and_shards_are_in_range():
    members = ["a", "b", "c"]
    assert rendezvous_order("k", members)[0] == rendezvous_choice("k", members)
    assert {shard_of(f"k{i}", 4) for i in range(100)} == {0, 1, 2, 3}
