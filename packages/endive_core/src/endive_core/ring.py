"""A consistent-hash ring of the servers, for prefix affinity that all nodes agree on.

Rendezvous hashing gives the same agreement, but hashes every server for every request;
docs/DECISIONS.md has its cost with 2,600 servers. The ring is searched by bisection,
and the removal of a server moves only the keys that it held.
"""

from bisect import bisect_left
from collections.abc import Collection, Iterable

from endive_core.hashing import rendezvous_score


class HashRing:
    """A hash ring with several points per member.

    Parameters
    ----------
    points : int
        Number of points of each member on the ring of 64-bit hashes.
    """

    def __init__(self, *, points: int) -> None:
        self.points = points
        self.hashes: list[int] = []
        self.owners: list[str] = []

    def set_members(self, members: Iterable[str]) -> None:
        """Replace the members of the ring."""
        placed = sorted(
            (rendezvous_score(member, str(point)), member)
            for member in members
            for point in range(self.points)
        )
        self.hashes = [hashed for hashed, _ in placed]
        self.owners = [member for _, member in placed]

    def change_members(self, added: Iterable[str], removed: Collection[str]) -> None:
        """Add and remove some members, at less cost than that of a new ring."""
        if removed:
            kept = [
                (hashed, owner)
                for hashed, owner in zip(self.hashes, self.owners, strict=True)
                if owner not in removed
            ]
            self.hashes = [hashed for hashed, _ in kept]
            self.owners = [owner for _, owner in kept]
        for member in added:
            for point in range(self.points):
                hashed = rendezvous_score(member, str(point))
                position = bisect_left(self.hashes, hashed)
                self.hashes.insert(position, hashed)
                self.owners.insert(position, member)

    def candidates(self, key: str, count: int) -> list[str]:
        """Return up to `count` distinct members for `key` in order of preference.

        Each choice is looked up with a separate hash, so that the keys of a full server
        overflow to all others instead of to its successor on the ring.
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
