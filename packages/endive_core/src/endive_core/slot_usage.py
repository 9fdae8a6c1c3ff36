"""Server slots held by each organisation, and the tier that follows from them.

If one organisation's batch fills every other slot, organisations within their share
still find the reserved slots free, because those over their share must not use them.
"""

from collections import Counter

from endive_core.calls import Call, Tier
from endive_core.queueing import FairQueue
from endive_core.servers import ServerSet

MAX_ORGANISATION_SHARE = 0.5
"""Share of the slots up to which one organisation is within its share, even if no other
is active. Beyond it, the reserved slots stay free for others that may call any time."""


class SlotUsage:
    """Slots held by each organisation, and the tier of its next call.

    Callers of an organisation within its share are served at once; those of one over
    its share wait, or are refused first.
    """

    def __init__(self, servers: ServerSet, queue: FairQueue) -> None:
        self.servers = servers
        self.queue = queue
        self.held: Counter[str] = Counter()

    def acquire(self, organisation: str) -> None:
        """Count a slot taken."""
        self.held[organisation] += 1

    def release(self, organisation: str) -> None:
        """Count a slot released."""
        self.held[organisation] -= 1
        if not self.held[organisation]:
            del self.held[organisation]

    def tier(self, call: Call) -> Tier:
        """Return how much of the servers' slots `call` must leave free.

        Bulk leaves the most free, organisations over their share some. A call of an
        organisation within its share thus finds a slot at once while a batch runs, and
        one over its share goes before bulk, even bulk of other nodes.
        """
        if call.bulk:
            return Tier.BULK
        share = min(MAX_ORGANISATION_SHARE, self._current_share(call.organisation))
        if self.held[call.organisation] >= max(1.0, share * self.slots()):
            return Tier.OVER_SHARE
        return Tier.WITHIN_SHARE

    def slots_of(self, organisation: str) -> float:
        """Return how many of this node's slots `organisation` can use.

        That is what the others leave free, but at least its share.
        """
        slots = self.slots()
        held = self.servers.own_in_flight - self.held[organisation]
        return max(1.0, slots - held, slots * self._current_share(organisation))

    def slots(self) -> float:
        """Return this node's part of all slots."""
        node_share = max(self.servers.share, 1 / self.servers.nodes)
        return max(self.servers.own_in_flight, self.servers.slots_total * node_share)

    def _current_share(self, organisation: str) -> float:
        """Return the organisation's share among those that hold slots now."""
        own = self.queue.share(organisation)
        others = sum(
            self.queue.share(name)
            for name, held in self.held.items()
            if name != organisation
        )
        return own / (own + others)
