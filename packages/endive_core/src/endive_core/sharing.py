"""Limits over all nodes together: each node spends a share that follows its demand.

The load this is for: an organisation sends many times what it may, to all nodes at
once. A limit kept at each node alone would let it have the limit once a node; asking
one place for each request would cost a round trip. So the nodes tell each other what
is asked of them, and each spends the part of the limit that its demand is of all.
"""

from dataclasses import dataclass, field

FLOOR_PART = 0.25
"""Part of the limit that is divided evenly among the nodes, whatever they were asked
for. A node whose callers have only just arrived starts from it; the other three
quarters follow demand within a few tellings."""

DEMAND_MEMORY_S = 2.0
"""Time constant of the demand told to others, seconds: short against the windows in
which limits are counted (8 s), long against the bunching of single requests."""

SILENT_S = 1.5
"""A node unheard for longer may be cut off and go on spending. Its part is left to it,
so that the sides of a cut together stay within the limit."""

FORGOTTEN_S = 30.0
"""A node unheard for longer is taken to be gone for good, and its part is divided.
Longer than any cut the platform's figures speak of."""


@dataclass
class Demand:
    """What one organisation asks of this node, in units a second."""

    rate: float = 0.0
    updated_at: float = 0.0
    units: float = 0.0

    def add(self, units: float) -> None:
        """Count a request, served or not."""
        self.units += units

    def settle(self, now: float) -> float:
        """Return the smoothed rate up to `now`."""
        passed = now - self.updated_at
        if passed > 0:
            weight = min(1.0, passed / DEMAND_MEMORY_S)
            self.rate += weight * (self.units / passed - self.rate)
            self.units = 0.0
            self.updated_at = now
        return self.rate


@dataclass
class PeerDemand:
    """What another node was asked for, as it last said."""

    rates: dict[str, float] = field(default_factory=dict)
    heard_at: float = 0.0


@dataclass
class Allowance:
    """Units that one organisation may still spend at this node.

    It may go below zero by one request, which the next seconds pay back: a large
    request would otherwise never fit a small node's share.

    It starts empty: after a restart nobody knows what was spent a moment before.
    """

    units: float = 0.0
    updated_at: float | None = None

    def refill(self, now: float, *, rate: float, burst: float) -> None:
        """Add what `rate` has given since the last time, up to `burst`."""
        if self.updated_at is not None:
            self.units += rate * max(0.0, now - self.updated_at)
        self.units = min(self.units, burst)
        self.updated_at = now

    def wait_s(self, rate: float) -> float:
        """Return 0 if a request may come now, else the seconds until one may."""
        if self.units > 0:
            return 0.0
        return -self.units / rate + 0.001 if rate > 0 else 1.0


class SharedLimits:
    """A node's part of every organisation's limit.

    Callers meet it as 429 with the time to come back.
    """

    def __init__(self) -> None:
        self.demands: dict[str, Demand] = {}
        self.told: dict[str, float] = {}
        self.peers: dict[str, PeerDemand] = {}
        self.allowances: dict[str, Allowance] = {}

    def tell(self, now: float) -> dict[str, float]:
        """Return the demand by organisation that the other nodes are to hear.

        This node computes its own part from the same figures, so that all nodes'
        parts add up to one.
        """
        self.told = {name: demand.settle(now) for name, demand in self.demands.items()}
        return self.told

    def hear(self, node: str, rates: dict[str, float], now: float) -> None:
        """Take over what another node was asked for."""
        self.peers[node] = PeerDemand(rates, now)

    def expect(self, node: str, now: float) -> None:
        """Count a node that is known to be there, though it was not heard yet."""
        self.peers.setdefault(node, PeerDemand({}, now - SILENT_S))

    def leave(self, node: str) -> None:
        """Divide the part of a node that said it stops."""
        self.peers.pop(node, None)

    def forget_silent(self, now: float) -> None:
        """Divide the parts of nodes that are gone for good."""
        for node, peer in list(self.peers.items()):
            if now - peer.heard_at > FORGOTTEN_S:
                del self.peers[node]

    def share(self, organisation: str, now: float) -> float:
        """Return the part of the organisation's limit that is this node's."""
        nodes = len(self.peers) + 1
        own = self.told.get(organisation, 0.0)
        others = silent = 0.0
        for peer in self.peers.values():
            if now - peer.heard_at > SILENT_S:
                silent += 1
            else:
                others += peer.rates.get(organisation, 0.0)
        heard_part = (nodes - silent) / nodes
        even = 1.0 / (nodes - silent)
        total = own + others
        by_demand = own / total if total > 0 else even
        return heard_part * (FLOOR_PART * even + (1 - FLOOR_PART) * by_demand)

    def wait_s(
        self, organisation: str, units: float, now: float, *, rate: float, burst: float
    ) -> float:
        """Return 0 and spend `units` if a request may come, else the seconds to wait.

        Parameters
        ----------
        rate, burst : float
            The whole limit, of all nodes together.
        """
        demand = self.demands.setdefault(organisation, Demand(updated_at=now))
        demand.add(units)
        share = self.share(organisation, now)
        allowance = self.allowances.setdefault(organisation, Allowance())
        allowance.refill(now, rate=rate * share, burst=burst * share)
        wait = allowance.wait_s(rate * share)
        if wait == 0.0:
            allowance.units -= units
        return wait

    def give_back(self, organisation: str, units: float) -> None:
        """Return what a request took that was not run after all."""
        if organisation in self.allowances:
            self.allowances[organisation].units += units
