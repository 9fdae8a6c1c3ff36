"""Who holds this node's slots, and what each organisation may count on.

The load this is for: one organisation's batch fills every slot. Organisations within
their share then find the reserve free, and those over it leave it alone.
"""

from collections import Counter

from endive_core.calls import Call, Tier
from endive_core.queueing import FairQueue
from endive_core.servers import ServerSet

MOST_WITHIN_SHARE = 0.5
"""Part of the slots up to which one organisation is within its share, also when it is
alone: beyond it, it leaves the reserve free for others who may call at any moment."""


class Usage:
    """Slots held by each organisation, and its tier.

    Callers meet it as the difference between an organisation within its share, which
    is served at once, and one over it, which waits or is refused first.
    """

    def __init__(self, servers: ServerSet, queue: FairQueue) -> None:
        self.servers = servers
        self.queue = queue
        self.held: Counter[str] = Counter()

    def take(self, organisation: str) -> None:
        """Count a slot taken."""
        self.held[organisation] += 1

    def give_back(self, organisation: str) -> None:
        """Count a slot given back."""
        self.held[organisation] -= 1
        if not self.held[organisation]:
            del self.held[organisation]

    def tier(self, call: Call) -> Tier:
        """Return how much of the servers' slots `call` must leave free.

        Bulk leaves the most, organisations over their share of the slots some, so
        that a call of an organisation within its share finds a slot at once while a
        batch runs, and one over its share goes before bulk even of other nodes.
        """
        if call.bulk:
            return Tier.BULK
        part = min(MOST_WITHIN_SHARE, self._share_now(call.organisation))
        if self.held[call.organisation] >= max(1.0, part * self.slots()):
            return Tier.OVER_SHARE
        return Tier.WITHIN_SHARE

    def slots_of(self, organisation: str) -> float:
        """Return how many of this node's slots `organisation` can count on.

        What the others leave, but at least its share.
        """
        slots = self.slots()
        held = self.servers.own_in_flight - self.held[organisation]
        return max(1.0, slots - held, slots * self._share_now(organisation))

    def slots(self) -> float:
        """Return this node's part of all slots."""
        part = max(self.servers.share, 1 / self.servers.nodes)
        return max(self.servers.own_in_flight, self.servers.slots_total * part)

    def _share_now(self, organisation: str) -> float:
        """Return the organisation's share among those that hold slots now."""
        own = self.queue.share(organisation)
        others = sum(
            self.queue.share(name)
            for name, held in self.held.items()
            if name != organisation
        )
        return own / (own + others)
