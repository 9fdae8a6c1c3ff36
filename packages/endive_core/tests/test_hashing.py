from endive_core.hashing import rendezvous_choice, rendezvous_order, shard_of


def test_a_member_that_leaves_moves_only_its_own_keys():
    members = [f"node-{i}" for i in range(8)]
    keys = [f"key-{i}" for i in range(500)]
    before = {key: rendezvous_choice(key, members) for key in keys}
    after = {key: rendezvous_choice(key, members[1:]) for key in keys}
    moved = [key for key in keys if before[key] != after[key]]
    assert moved
    assert all(before[key] == "node-0" for key in moved)


def test_order_starts_with_the_choice_and_shards_are_in_range():
    members = ["a", "b", "c"]
    assert rendezvous_order("k", members)[0] == rendezvous_choice("k", members)
    assert {shard_of(f"k{i}", 4) for i in range(100)} == {0, 1, 2, 3}
