"""Bounds the memory that the calls to a node take until they are answered."""

import os
from dataclasses import dataclass

PROCESS_BYTES = 70_000_000
PROCESS_SHARE = 0.1
"""Memory that a process takes beside its calls: bytes, and a share of all."""

CALLS_SHARE = 0.5
"""Share of the other memory for calls. The rest is left to responses, which are kept
for a while, and to copies."""

COPIES = 4
"""Times its bytes that a head or a body takes while it is decoded."""

USUAL_CALL_BYTES = 524_288
LARGE_CALLS_SHARE = 0.6
"""Largest memory of a call that does not count as large, bytes, and the share up to
which large ones may fill the memory for calls."""

MACHINE_SHARE = 0.5
"""Share of the machine's memory that a process takes if nothing else is set."""


@dataclass
class CallMemory:
    """The memory that all calls may take, and what they take now.

    Attributes
    ----------
    total, used : int
        Bytes.
    """

    total: int
    used: int = 0

    @classmethod
    def from_config(cls, memory_mb: float) -> "CallMemory":
        """Return the memory for calls of a process that may take `memory_mb`.

        With 0, it may take half of the machine's memory.
        """
        memory_bytes = memory_mb * 1_000_000 or MACHINE_SHARE * machine_bytes()
        free = (1 - PROCESS_SHARE) * memory_bytes - PROCESS_BYTES
        return cls(max(0, int(CALLS_SHARE * free)))


@dataclass
class HeldCall:
    """The memory that one call takes.

    Attributes
    ----------
    size : int
        What it takes, bytes.
    """

    memory: CallMemory
    size: int = 0

    def grow(self, received: int) -> bool:
        """Hold what so many bytes take; return whether there is room for them."""
        size = COPIES * received
        is_usual = self.size + size <= USUAL_CALL_BYTES
        share = 1.0 if is_usual else LARGE_CALLS_SHARE
        if self.memory.used + size > share * self.memory.total:
            return False
        self.memory.used += size
        self.size += size
        return True

    def shrink(self, missing: int) -> None:
        """Give back what was held for bytes that did not come."""
        size = COPIES * missing
        self.memory.used -= size
        self.size -= size

    def release(self) -> None:
        """Give all memory back."""
        self.memory.used -= self.size
        self.size = 0


def machine_bytes() -> int:
    """Return the memory of the machine, bytes."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
