"""Bounds on the memory that callers' requests and servers' responses take.

They follow from the memory of the machine.
"""

from dataclasses import dataclass

from endive_gateway.machine import Machine

REQUESTS_SHARE = 0.4
RESPONSES_SHARE = 0.055
"""Shares of the memory for traffic that go to requests, and to what is held of
responses. The rest is left to connections, and to copies that are made while a request
is handled."""

BODIES_SHARE = 0.85
LARGE_BODIES_SHARE = 0.55
LONG_HEADS_SHARE = 0.25
"""Shares of the memory for requests: up to which usual bodies and long heads, and up to
which large bodies may fill it, and what long heads may take of it together. The rest is
left to smaller requests."""

USUAL_BODY_BYTES = 131_072
"""Largest body that is not a large one, bytes."""

SMALL_HEAD_BYTES = 4_096
"""Memory that the head of a request may take without counting as long, bytes."""

MESSAGE_BYTES = 1_024
"""Memory that a request takes beside its head and its body, bytes."""

PIECE_BYTES = 64
"""Memory that a piece of a body takes beside its bytes, bytes."""

LARGE_RESPONSES_SHARE = 0.5
"""Share of the memory for responses up to which large ones may fill it."""

UNCOUNTED_HEAD_BYTES = 4_096
"""Part of a response's head that does not count, so that usual ones always have room,
bytes."""

HEADER_BYTES = 150
"""Memory that a header of a response takes beside its name and value, bytes."""

USUAL_RESPONSE_BYTES = 32_768
"""Largest part of a response that does not count as large, bytes."""


@dataclass
class RequestMemory:
    """The memory that callers' requests may take, and what they take now.

    Attributes
    ----------
    total : int
        What all requests may take together, bytes.
    used : int
        What they take, bytes.
    long_heads : int
        What long heads take of it, and requests that wait behind another one on their
        connection, bytes.
    """

    total: int
    used: int = 0
    long_heads: int = 0

    @classmethod
    def from_machine(cls, machine: Machine) -> "RequestMemory":
        """Return the memory for requests on a machine."""
        return cls(int(REQUESTS_SHARE * machine.traffic_bytes))

    def resize(self, machine: Machine) -> None:
        """Follow a change of the machine's limits."""
        self.total = self.from_machine(machine).total

    def fits(self, size: int, share: float = 1.0) -> bool:
        """Return whether there is room for `size` bytes in a share of the memory."""
        return self.used + size <= share * self.total

    def fits_long_heads(self, size: int) -> bool:
        """Return whether long heads may take `size` bytes more."""
        is_within_share = self.long_heads + size <= LONG_HEADS_SHARE * self.total
        return is_within_share and self.fits(size, BODIES_SHARE)


@dataclass
class HeldRequest:
    """The memory that one request takes.

    Attributes
    ----------
    head, body : int
        What its head and its body take, bytes.
    is_long : bool
        Whether its head counts as a long one.
    """

    memory: RequestMemory
    is_long: bool = False
    head: int = 0
    body: int = 0

    def grow_head(self, size: int) -> bool:
        """Hold `size` bytes more of the head; return whether there is room for them."""
        memory, head = self.memory, self.head + size
        if self.is_long:
            if not memory.fits_long_heads(size):
                return False
            memory.long_heads += size
        elif head > SMALL_HEAD_BYTES:
            # What the head already takes counts in the sum of long heads from now on.
            if not memory.fits_long_heads(head):
                return False
            self.is_long = True
            memory.long_heads += head
        elif not memory.fits(size):
            return False
        memory.used += size
        self.head = head
        return True

    def fits_body(self, size: int) -> bool:
        """Return whether there is room for `size` bytes more of the body."""
        is_usual = self.body + size <= USUAL_BODY_BYTES
        share = BODIES_SHARE if is_usual else LARGE_BODIES_SHARE
        return self.memory.fits(size, share)

    def grow_body(self, size: int) -> bool:
        """Hold `size` bytes more of the body; return whether there is room for them."""
        if not self.fits_body(size):
            return False
        self.memory.used += size
        self.body += size
        return True

    def release_body(self) -> None:
        """Give the body's memory back."""
        self.memory.used -= self.body
        self.body = 0

    def release(self) -> None:
        """Give all memory back."""
        self.release_body()
        self.memory.used -= self.head
        if self.is_long:
            self.memory.long_heads -= self.head
        self.head = 0


@dataclass
class ResponseMemory:
    """The memory that may be held of responses, and what is held now.

    A response is held until it, or its next event, is complete.

    Attributes
    ----------
    total : int
        What may be held of all responses together, bytes.
    used : int
        What is held, bytes.
    """

    total: int
    used: int = 0

    @classmethod
    def from_machine(cls, machine: Machine) -> "ResponseMemory":
        """Return the memory for responses on a machine."""
        return cls(int(RESPONSES_SHARE * machine.traffic_bytes))

    def resize(self, machine: Machine) -> None:
        """Follow a change of the machine's limits."""
        self.total = self.from_machine(machine).total

    def has_room(self, held: int, size: int) -> bool:
        """Return whether a response that takes `held` bytes may take `size` more."""
        is_usual = held + size <= USUAL_RESPONSE_BYTES
        share = 1.0 if is_usual else LARGE_RESPONSES_SHARE
        return self.used + size <= share * self.total


@dataclass
class HeldMemory:
    """The memory that one response takes.

    Attributes
    ----------
    size : int
        What it takes, bytes.
    """

    budget: ResponseMemory
    size: int = 0

    def resize(self, size: int) -> bool:
        """Hold `size` bytes from now on; return whether there is room for them."""
        more = size - self.size
        if more > 0 and not self.budget.has_room(self.size, more):
            return False
        self.budget.used += more
        self.size = size
        return True
