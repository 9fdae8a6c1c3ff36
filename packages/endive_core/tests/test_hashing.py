from endive_core.hashing import (
    fingerprint,
    rendezvous_choice,
    rendezvous_order,
    shard_of,
)


def test_hashes_take_text_beyond_ascii():
    assert fingerprint("Kerloc'h é") == fingerprint("Kerloc'h é".encode())
    assert 0 <= shard_of("clé", 16) < 16


def test_a_member_that_leaves_moves_only_its_own_keys():
    members = ["a", "b", "c", "d"]
    for number in range(100):
        before = rendezvous_order(f"k{number}", members)
        after = rendezvous_choice(f"k{number}", members[1:])
        assert after == (before[0] if before[0] != "a" else before[1])
