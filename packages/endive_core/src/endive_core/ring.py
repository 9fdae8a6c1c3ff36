"""Prefix affinity that all nodes compute alike: a hash ring of the servers.

Rendezvous hashing agrees as well, but hashes every server for every request: its
cost at 2,600 servers is in docs/DECISIONS.md. The ring is searched by bisection, and
a server that leaves moves only the keys it held.
"""

from bisect import bisect_left
from collections.abc import Iterable

from endive_core.hashing import rendezvous_score


class HashRing:
    """Servers at many points of a ring of 64-bit hashes."""

    def __init__(self, *, points: int) -> None:
        self.points = points
        self.hashes: list[int] = []
        self.owners: list[str] = []

    def set_members(self, members: Iterable[str]) -> None:
        """Place `members`, and no others, on the ring."""
        placed = sorted(
            (rendezvous_score(member, str(point)), member)
            for member in members
            for point in range(self.points)
        )
        self.hashes = [hashed for hashed, _ in placed]
        self.owners = [member for _, member in placed]

    def candidates(self, key: str, count: int) -> list[str]:
        """Return up to `count` distinct members for `key`, the first choice first.

        Each choice is looked up with a hash of its own, so that the keys of one full
        server overflow to all others and not to one neighbour.
        """
        found: list[str] = []
        if not self.hashes:
            return found
        for choice in range(count * 2):
            hashed = rendezvous_score(key, str(choice))
            position = bisect_left(self.hashes, hashed) % len(self.hashes)
            owner = self.owners[position]
            if owner not in found:
                found.append(owner)
                if len(found) == count:
                    break
        return found
