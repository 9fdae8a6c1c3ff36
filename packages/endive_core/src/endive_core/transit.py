"""Chooses the node through which connections to backend servers go.

A node that can't connect to a server opens the connection through another node that
can, a transit node. Each node states how many connections it carries for others. Of two
that are drawn at random the less loaded one is chosen, since the figures are as old as
the last messages: nodes that all went to the least loaded one would overload it.
"""

from collections import Counter
from collections.abc import Collection
from typing import Protocol

DRAWN = 2
MAX_DRAWS = 12
"""Nodes that are compared, and draws after which all are looked at: few draws miss,
unless most nodes have been asked already."""

AVOID_S = 2.0
"""Time for which a node that did not answer or declined is not asked again, seconds."""


class Random(Protocol):
    """The source of randomness."""

    def randrange(self, stop: int) -> int:
        """Return an integer from 0 up to, and without, `stop`."""
        ...


class TransitOffers:
    """The nodes that carry connections for others, as they have said last.

    A node is found, changed or drawn at random in constant time.

    Attributes
    ----------
    addresses : list of str
        The nodes' IP addresses, in no order.
    carried : dict of str to int
        Number of connections that each of them carries.
    """

    def __init__(self) -> None:
        self.addresses: list[str] = []
        self.carried: dict[str, int] = {}
        self.positions: dict[str, int] = {}

    def set(self, address: str, carried: int) -> None:
        """Record what a node says: a negative number if it carries none at all."""
        if carried < 0:
            self.discard(address)
            return
        self.carried[address] = carried
        if address not in self.positions:
            self.positions[address] = len(self.addresses)
            self.addresses.append(address)

    def discard(self, address: str) -> None:
        """Remove a node if it is there."""
        position = self.positions.pop(address, None)
        if position is None:
            return
        del self.carried[address]
        last = self.addresses.pop()
        if last != address:
            self.addresses[position] = last
            self.positions[last] = position


class TransitChoice:
    """Chooses transit nodes, and keeps what this node knows of them itself.

    Attributes
    ----------
    offers : TransitOffers
        The nodes to choose from.
    opened : Counter of str
        This node's own connections through each node.
    avoided : dict of str to float
        Until when a node is not asked, clock time in seconds.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.offers = TransitOffers()
        self.opened: Counter[str] = Counter()
        self.avoided: dict[str, float] = {}

    def choose(self, now: float, tried: Collection[str] = ()) -> str | None:
        """Return the address of a node, or ``None`` if none carries connections.

        Parameters
        ----------
        tried : collection of str
            Nodes that have already been asked for this connection.
        """
        drawn = self._draw(now, tried)
        return min(drawn, key=self._load, default=None)

    def _load(self, address: str) -> int:
        """Return the connections of a node; its own count may lack this node's."""
        return self.offers.carried[address] + self.opened[address]

    def _draw(self, now: float, tried: Collection[str]) -> list[str]:
        addresses = self.offers.addresses
        drawn: list[str] = []
        for _ in range(MAX_DRAWS if addresses else 0):
            address = addresses[self.random.randrange(len(addresses))]
            if self._may_ask(address, now, tried):
                drawn.append(address)
                if len(drawn) == DRAWN:
                    return drawn
        return drawn or [a for a in addresses if self._may_ask(a, now, tried)]

    def _may_ask(self, address: str, now: float, tried: Collection[str]) -> bool:
        return address not in tried and self.avoided.get(address, now) <= now

    def referral(self) -> str | None:
        """Return the less loaded of two nodes through which this one goes itself."""
        used = [address for address in self.opened if address in self.offers.carried]
        if not used:
            return None
        drawn = [used[self.random.randrange(len(used))] for _ in range(DRAWN)]
        return min(drawn, key=self._load)

    def avoid(self, address: str, now: float) -> None:
        """Ask a node again only after some time."""
        self.avoided[address] = now + AVOID_S

    def open(self, address: str) -> None:
        """Count a connection that goes through a node."""
        self.opened[address] += 1
        self.avoided.pop(address, None)

    def close(self, address: str) -> None:
        """Uncount a connection that went through a node."""
        self.opened[address] -= 1
        if self.opened[address] <= 0:
            del self.opened[address]
