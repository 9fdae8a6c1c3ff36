"""Bounds the connections to a port, which share the descriptors of the process."""

import resource
from collections.abc import Callable
from typing import Protocol

from endive_node.refusals import RefusalLog


def soft_descriptor_limit() -> int:
    """Return how many descriptors the process may have open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


class OpenConnection(Protocol):
    """A connection that a :class:`ConnectionLimit` counts."""

    def evict(self) -> None:
        """End the connection, on which no request is in progress."""
        ...


class ConnectionLimit:
    """The connections to one port, and how many there may be.

    Beyond the limit, a new connection takes the place of the one that has waited
    longest for a request.

    Parameters
    ----------
    share : float
        Share of the descriptors of the process that the connections may take.
    name : str
        Name of the port, for the log.
    descriptors : callable
        Returns how many descriptors the process may have open.

    Attributes
    ----------
    open : set of OpenConnection
        All connections.
    waiting : dict of OpenConnection
        Those without a request in progress, the one that waits longest first.
    """

    def __init__(
        self,
        share: float,
        name: str,
        refusals: RefusalLog,
        descriptors: Callable[[], int] = soft_descriptor_limit,
    ) -> None:
        self.share = share
        self.name = name
        self.refusals = refusals
        self.descriptors = descriptors
        self.open: set[OpenConnection] = set()
        self.waiting: dict[OpenConnection, None] = {}

    @property
    def most(self) -> int:
        """Connections that may be open at once."""
        return max(1, int(self.share * self.descriptors()))

    def admit(self, connection: OpenConnection) -> bool:
        """Count a new connection; return whether there is room for it."""
        if len(self.open) >= self.most:
            oldest = next(iter(self.waiting), None)
            if oldest is None:
                self.refusals.add(f"{self.name}_refused", open=len(self.open))
                return False
            self.refusals.add(f"{self.name}_closed", open=len(self.open))
            self.ended(oldest)
            oldest.evict()
        self.open.add(connection)
        return True

    def waits(self, connection: OpenConnection) -> None:
        """Note that a connection has no request in progress, from now on."""
        if connection in self.open:
            self.waiting.pop(connection, None)
            self.waiting[connection] = None

    def received(self, connection: OpenConnection) -> None:
        """Note that a request has been received on a connection."""
        self.waiting.pop(connection, None)

    def ended(self, connection: OpenConnection) -> None:
        """Count a connection no longer."""
        self.waiting.pop(connection, None)
        self.open.discard(connection)
