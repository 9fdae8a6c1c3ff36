"""What the machine lets a process take, and how that is divided."""

from dataclasses import dataclass

PROCESS_BYTES = 40_000_000
PROCESS_SHARE = 0.1
"""Memory that a process takes beside what callers and servers send: bytes, and a
further share of the machine's memory."""

CONNECTIONS_SHARE = 0.2
"""Share of the other memory for callers' connections."""

CONNECTION_BYTES = 16_384
"""Memory that a caller's connection takes beside its requests, bytes."""

OWN_SOCKETS = 96
"""Sockets of the process itself: its ports and what they serve, and connections to the
platform's services and to other nodes."""

CARRIED_SHARE = 0.125
MAX_CARRIED = 400
"""Share of the sockets up to which connections of other nodes to servers are carried,
two sockets each, and the most of them."""


@dataclass(frozen=True)
class Machine:
    """What a process may take of its machine.

    Attributes
    ----------
    memory_bytes : int
        Memory, bytes.
    sockets : int
        Sockets that it may have open at once.
    """

    memory_bytes: int = 300_000_000
    sockets: int = 3_900

    @classmethod
    def from_limits(cls, memory_bytes: float, sockets: int) -> "Machine":
        """Return a machine; limits that are not positive count as not known."""
        known = {"memory_bytes": int(memory_bytes), "sockets": sockets}
        return cls(**{name: limit for name, limit in known.items() if limit > 0})

    @property
    def traffic_bytes(self) -> int:
        """Memory for requests, responses and connections, bytes."""
        free = (1 - PROCESS_SHARE) * self.memory_bytes - PROCESS_BYTES
        return max(0, int(free))

    @property
    def caller_connections(self) -> int:
        """Most connections of callers.

        Each may have a request that takes another socket, to its server.
        """
        by_sockets = (self.sockets - OWN_SOCKETS) // 2
        by_memory = int(CONNECTIONS_SHARE * self.traffic_bytes / CONNECTION_BYTES)
        return max(1, min(by_sockets, by_memory))

    @property
    def carried_connections(self) -> int:
        """Most connections to servers that are carried for other nodes."""
        return max(1, min(MAX_CARRIED, int(CARRIED_SHARE * self.sockets)))
