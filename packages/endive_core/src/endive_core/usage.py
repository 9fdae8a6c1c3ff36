"""Who holds this node's slots, and what each organisation may count on.

The load this is for: one organisation's batch fills every slot. Organisations within
their share then find the reserve free, and those over it leave it alone.
"""

from collections import Counter

from endive_core.calls import Call, Tier
from endive_core.queueing import FairQueue
from endive_core.servers import ServerSet

MAX_ORGANISATION_SHARE = 0.5
"""Part of the slots up to which one organisation is within its share, also when it is
alone: beyond it, it leaves the reserve free for others who may call at any moment."""


class SlotUsage:
    """Slots held by each organisation, and its tier.

    Callers meet it as the difference between an organisation within its share, which
    is served at once, and one over it, which waits or is refused first.
    """

    def __init__(self, servers: ServerSet, queue: FairQueue) -> None:
        self.servers = servers
        self.queue = queue
        self.held: Counter[str] = Counter()

    def acquire(self, organisation: str) -> None:
        """Count a slot taken."""
        self.held[organisation] += 1

    def release(self, organisation: str) -> None:
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
        part = min(MAX_ORGANISATION_SHARE, self._current_share(call.organisation))
        if self.held[call.organisation] >= max(1.0, part * self.slots()):
            return Tier.OVER_SHARE
        return Tier.WITHIN_SHARE

    def slots_of(self, organisation: str) -> float:
        """Return how many of this node's slots `organisation` can count on.

        What the others leave, but at least its share.
        """
        slots = self.slots()
        held = self.servers.own_total - self.held[organisation]
        return max(1.0, slots - held, slots * self._current_share(organisation))

    def slots(self) -> float:
        """Return this node's part of all slots."""
        part = max(self.servers.share, 1 / self.servers.nodes)
        return max(self.servers.own_total, self.servers.slots_total * part)

    def _current_share(self, organisation: str) -> float:
        """Return the organisation's share among those that hold slots now."""
        own = self.queue.share(organisation)
        others = sum(
            self.queue.share(name)
            for name, held in self.held.items()
            if name != organisation
        )
        return own / (own + others)
