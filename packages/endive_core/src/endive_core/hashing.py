"""Stable hashes, equal on every node: fingerprints, rendezvous hashing and shards."""

from collections.abc import Iterable, Sequence

import xxhash


def fingerprint(text: str) -> str:
    """Return a 128-bit hexadecimal fingerprint of `text`."""
    return xxhash.xxh3_128_hexdigest(text.encode())


def short_hash(text: str) -> int:
    """Return a 64-bit hash of `text`."""
    return xxhash.xxh3_64_intdigest(text.encode())


def part_key(name: str) -> int:
    """Return the 64-bit key of the part of a prompt that callers call `name`.

    Names are hexadecimal numbers, which may be spelled in several ways.
    """
    try:
        number = int(name, 16)
    except ValueError:
        return short_hash(name.lower())
    if 0 <= number < 2**64:
        return number
    return short_hash(f"{number:x}")


def rendezvous_score(key: str, member: str) -> int:
    """Return the weight of `member` for `key`; the highest weight wins."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Return `members` from the best to the worst choice for `key`.

    Nodes that know the same members compute the same order without communication, and
    the removal of a member moves only the keys that it held.
    """
    return sorted(members, key=lambda m: (rendezvous_score(key, m), m), reverse=True)


def rendezvous_choice(key: str, members: Sequence[str]) -> str:
    """Return the best member for `key`.

    Raises
    ------
    ValueError
        If there is no member.
    """
    return max(members, key=lambda m: (rendezvous_score(key, m), m))


def shard_of(key: str, shards: int) -> int:
    """Return the shard, 0 to `shards` - 1, that holds `key`."""
    return xxhash.xxh3_64_intdigest(key.encode()) % shards
