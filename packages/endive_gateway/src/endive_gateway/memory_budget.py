"""Bounds on the memory that the bodies of all requests, or of all responses, take."""

from dataclasses import dataclass

TOTAL_BYTES = 80 * 2**20
"""Memory for the bodies of all requests of a process, bytes."""

LARGE_BODIES_BYTES = 48 * 2**20
"""Part of it that large bodies may take, bytes. The rest is left to usual ones."""

USUAL_BODY_BYTES = 131_072
"""Largest body that is not a large one, bytes."""

PIECE_BYTES = 64
"""Memory that a piece of a body takes beside its bytes, bytes."""


RESPONSES_BYTES = 12 * 2**20
LARGE_RESPONSES_BYTES = 6 * 2**20
"""Memory for what is held of the responses of a process, and the part of it that large
ones may take, bytes. A response is held until it, or its next event, is complete."""

USUAL_RESPONSE_BYTES = 32_768
"""Largest part of a response that does not count as large, bytes."""


@dataclass
class MemoryBudget:
    """The memory that bodies may take, and what they take now.

    Attributes
    ----------
    total, large : int
        What all bodies may take, and up to which sum a large one may take more, bytes.
    usual : int
        Largest body that is not a large one, bytes.
    used : int
        What they take, bytes.
    """

    total: int = TOTAL_BYTES
    large: int = LARGE_BODIES_BYTES
    usual: int = USUAL_BODY_BYTES
    used: int = 0

    @classmethod
    def for_responses(cls) -> "MemoryBudget":
        """Return the budget of what is held of responses."""
        return cls(RESPONSES_BYTES, LARGE_RESPONSES_BYTES, USUAL_RESPONSE_BYTES)

    def has_room(self, held: int, size: int) -> bool:
        """Return whether a body that takes `held` bytes may take `size` more."""
        most = self.total if held + size <= self.usual else self.large
        return self.used + size <= most

    def take(self, size: int) -> None:
        """Count `size` bytes as taken."""
        self.used += size

    def give_back(self, size: int) -> None:
        """Count `size` bytes as free again."""
        self.used -= size


@dataclass
class HeldMemory:
    """The memory that one response takes.

    Attributes
    ----------
    size : int
        What it takes, bytes.
    """

    budget: MemoryBudget
    size: int = 0

    def resize(self, size: int) -> bool:
        """Hold `size` bytes from now on; return whether there is room for them."""
        more = size - self.size
        if more > 0 and not self.budget.has_room(self.size, more):
            return False
        self.budget.take(more)
        self.size = size
        return True
