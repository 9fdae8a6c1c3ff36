"""A bound on the memory that the bodies of callers' requests take together."""

from dataclasses import dataclass

TOTAL_BYTES = 80 * 2**20
"""Memory for the bodies of all requests of a process, bytes."""

LARGE_BODIES_BYTES = 48 * 2**20
"""Part of it that large bodies may take, bytes. The rest is left to usual ones."""

USUAL_BODY_BYTES = 131_072
"""Largest body that is not a large one, bytes."""

PIECE_BYTES = 64
"""Memory that a piece of a body takes beside its bytes, bytes."""


@dataclass
class MemoryBudget:
    """The memory that bodies may take, and what they take now.

    Attributes
    ----------
    total, large : int
        What all bodies may take, and up to which sum a large one may take more, bytes.
    used : int
        What they take, bytes.
    """

    total: int = TOTAL_BYTES
    large: int = LARGE_BODIES_BYTES
    used: int = 0

    def has_room(self, held: int, size: int) -> bool:
        """Return whether a body that takes `held` bytes may take `size` more."""
        most = self.total if held + size <= USUAL_BODY_BYTES else self.large
        return self.used + size <= most

    def take(self, size: int) -> None:
        """Count `size` bytes as taken."""
        self.used += size

    def give_back(self, size: int) -> None:
        """Count `size` bytes as free again."""
        self.used -= size
