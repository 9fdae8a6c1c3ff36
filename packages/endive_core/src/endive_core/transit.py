"""Chooses the node through which connections to backend servers go.

A node that can't connect to a server opens the connection through another node that
can, a transit node. Each node states how many connections it carries for others. Of two
that are drawn at random the less loaded one is chosen, since the figures are as old as
the last messages: nodes that all went to the least loaded one would overload it.
"""

from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Protocol

DRAWN = 2
MAX_DRAWS = 12
"""Nodes that are compared, and draws after which all are looked at: most nodes usually
carry connections, so that few draws miss."""

AVOID_S = 2.0
"""Time for which a node that did not answer or declined is not asked again, seconds."""


class Random(Protocol):
    """The source of randomness."""

    def randrange(self, stop: int) -> int:
        """Return an integer from 0 up to, and without, `stop`."""
        ...


@dataclass(frozen=True, slots=True)
class TransitOffer:
    """What a node has said of the connections that it carries for others.

    Attributes
    ----------
    address : str
        The node's IP address.
    carried : int
        Number of connections that it carries; negative if it carries none at all.
    """

    address: str
    carried: int


class TransitChoice:
    """Chooses transit nodes, and keeps what this node knows of them itself.

    Attributes
    ----------
    opened : Counter of str
        This node's own connections through each node.
    avoided : dict of str to float
        Until when a node is not asked, clock time in seconds.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.opened: Counter[str] = Counter()
        self.avoided: dict[str, float] = {}

    def choose(
        self, offers: Sequence[TransitOffer], now: float, tried: Collection[str] = ()
    ) -> str | None:
        """Return the address of a node, or ``None`` if none carries connections.

        Parameters
        ----------
        tried : collection of str
            Nodes that have already been asked for this connection.
        """
        drawn = self._draw(offers, now, tried)
        if not drawn:
            return None
        return min(drawn, key=lambda o: o.carried + self.opened[o.address]).address

    def _draw(
        self, offers: Sequence[TransitOffer], now: float, tried: Collection[str]
    ) -> list[TransitOffer]:
        drawn: list[TransitOffer] = []
        for _ in range(MAX_DRAWS if offers else 0):
            offer = offers[self.random.randrange(len(offers))]
            if self._is_eligible(offer, now, tried):
                drawn.append(offer)
                if len(drawn) == DRAWN:
                    return drawn
        return drawn or [o for o in offers if self._is_eligible(o, now, tried)]

    def _is_eligible(
        self, offer: TransitOffer, now: float, tried: Collection[str]
    ) -> bool:
        if offer.carried < 0 or offer.address in tried:
            return False
        return self.avoided.get(offer.address, now) <= now

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
