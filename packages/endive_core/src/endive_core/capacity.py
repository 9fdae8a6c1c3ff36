"""Decides how many servers of which kind to order in each availability zone.

Most servers are reclaimable. All reclaimable servers of a zone are reclaimed at once,
often one zone after another within seconds, and no new ones are available for some
twenty seconds. They cost a fifth of the price of on-demand servers and take as long to
start. So enough of them are held that any two zones may be lost and the rest still
carries the load. On-demand servers are ordered only for what reclaimable ones cannot
provide, and, in a wave of reclaims, for a part of the load in case more zones are lost.

The result is a desired state, not a change, so repeated or late orders do no harm.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from endive_core.routing import Scaling

RECLAIMED_BACKOFF_S = 3.0
"""Time before reclaimable servers are ordered again from a pool that refused them,
seconds, doubled up to :data:`MAX_BACKOFF_S`. Pools refuse orders for 12 to 15 s after a
reclaim."""

MAX_BACKOFF_S = 4.0

ROUNDING_TOLERANCE = 0.05
"""Part of a server by which the number may be rounded down, since the measured load is
no more accurate than that."""

RECLAIM_WAVE_S = 10.0
"""Time after a reclaim during which further zones are expected to be reclaimed,
seconds. Reclaims of the zones follow each other 5 to 6 s apart."""

TOLERATED_ZONE_LOSSES = 2
"""Zones whose reclaimable servers may be lost while the rest still carries the load.
Servers ordered at the first notice need 4 s to start, and a second zone is reclaimed
within 5 to 6 s, when the cloud has no reclaimable servers available."""

ZONES_AT_RISK = 2
COVERED_FRACTION = 0.5
"""Further zones that may be lost in a wave of reclaims, and the fraction of the load
that on-demand servers must then carry together with the remaining ones. On-demand
servers need 4 s to start, and two zones may be reclaimed within 0.1 s of each other."""


@dataclass(frozen=True, slots=True)
class Pool:
    """The servers of one kind in one availability zone."""

    zone: str
    reclaimable: bool


@dataclass
class PoolState:
    """Numbers of servers of one pool.

    Attributes
    ----------
    ready : int
        Servers that accept work and are not under a reclaim notice.
    leaving : int
        Servers that are under a reclaim notice or draining.
    """

    ready: int = 0
    leaving: int = 0


@dataclass
class PoolBackoff:
    """Back-off of a pool that refused the last order.

    Attributes
    ----------
    until : float
        Clock time until which no further order is sent, seconds.
    pause_s : float
        Length of the back-off, doubled at the next refusal.
    """

    until: float
    pause_s: float


@dataclass
class CapacityView:
    """Input of the decision.

    Attributes
    ----------
    needed : float
        Servers needed to carry the load within the latency target, not rounded.
    now : float
        Clock time, seconds.
    refused : mapping of Pool to float
        Pools that refused an order, with the clock time until which none is sent.
    ordered : mapping of Pool to int
        Number of servers that the last order asks for.
    reclaimed_at : float
        Clock time at which reclaimable servers of a zone were last seen reclaimed.
    """

    scaling: Scaling
    pools: Mapping[Pool, PoolState]
    needed: float
    now: float
    refused: Mapping[Pool, float] = field(default_factory=dict)
    ordered: Mapping[Pool, int] = field(default_factory=dict)
    reclaimed_at: float = float("-inf")

    def ready(self, zone: str, reclaimable: bool) -> int:
        """Return the ready servers of one pool."""
        state = self.pools.get(Pool(zone, reclaimable))
        return state.ready if state else 0

    def reclaimable_room(self, zone: str) -> int:
        """Return how many reclaimable servers a zone may have beside on-demand ones.

        The cloud accepts an order for more but does not complete it: of twelve servers
        six were started, and the others only when they were ordered again 15 s later.
        The result is never less than what is on order, since a smaller order would stop
        servers that are starting.
        """
        pool = Pool(zone, False)
        leaving = self.pools.get(pool, PoolState()).leaving
        on_demand = self.ordered.get(pool, 0) + leaving
        beside = self.scaling.max_servers - on_demand
        return max(beside, self.ordered.get(Pool(zone, True), 0))

    @property
    def in_reclaim_wave(self) -> bool:
        """Whether further zones may be reclaimed soon, with no new servers available.

        Orders to the reclaimed zones are repeated; the wave lasts as long as any zone
        refuses them.
        """
        recent = self.now - self.reclaimed_at < RECLAIM_WAVE_S
        return recent or bool(self.refusing_zones())

    def refusing_zones(self) -> set[str]:
        """Return the zones that have no reclaimable servers available."""
        return {pool.zone for pool, until in self.refused.items() if until > self.now}


def desired_servers(view: CapacityView) -> dict[Pool, int]:
    """Return the number of servers to order of each pool."""
    scaling = view.scaling
    zones = sorted(scaling.zone_prices, key=lambda z: (scaling.zone_prices[z], z))
    refusing = view.refusing_zones()
    per_zone = _reclaimable_per_zone(view.needed, len(zones), scaling)
    desired = {
        Pool(zone, True): (
            view.ready(zone, True)
            if zone in refusing
            else min(per_zone, view.reclaimable_room(zone))
        )
        for zone in zones
    }
    on_demand = _on_demand(view, zones, desired)
    for zone in zones:
        minimum = scaling.min_servers - desired[Pool(zone, True)]
        if zone in refusing:
            minimum = 0  # reclaimable servers will make up the minimum again
        desired[Pool(zone, False)] = max(on_demand[zone], minimum)
    return desired


def _reclaimable_per_zone(needed: float, zones: int, scaling: Scaling) -> int:
    """Return the reclaimable servers per zone that tolerate the loss of zones."""
    servers = max(1, math.ceil(needed - ROUNDING_TOLERANCE))
    per_zone = math.ceil(servers / max(1, zones - TOLERATED_ZONE_LOSSES))
    return max(scaling.min_servers, min(per_zone, scaling.max_servers))


def _on_demand(
    view: CapacityView, zones: list[str], desired: Mapping[Pool, int]
) -> dict[str, int]:
    """Return the on-demand servers by zone that make up for missing reclaimable ones.

    More are ordered only for what the desired reclaimable servers do not cover, since
    those that are starting are ready as soon as on-demand ones ordered now would be.
    Fewer are ordered only once reclaimable servers that replace them are ready.

    Servers on order stay in their zones: a server moved to a cheaper zone would have to
    start again.
    """
    ready = {zone: view.ready(zone, True) for zone in zones}
    expected = {zone: max(desired[Pool(zone, True)], ready[zone]) for zone in zones}
    placed = {zone: view.ordered.get(Pool(zone, False), 0) for zone in zones}
    minimum = _shortfall(view, expected.values())
    maximum = max(minimum, _shortfall(view, ready.values()))
    while sum(placed.values()) > maximum:
        most_expensive = [zone for zone in zones if placed[zone]][-1]
        placed[most_expensive] -= 1
    while sum(placed.values()) < minimum:
        max_per_zone = view.scaling.max_servers
        open_zones = [z for z in zones if placed[z] + expected[z] < max_per_zone]
        if not open_zones:
            break
        placed[min(open_zones, key=lambda zone: placed[zone])] += 1
    return placed


def _shortfall(view: CapacityView, by_zone: Iterable[int]) -> int:
    """Return the on-demand servers needed beside the reclaimable ones of each zone."""
    counts = list(by_zone)
    total = sum(counts)
    shortfall = view.needed - total
    if view.in_reclaim_wave:
        remaining = total - sum(sorted(counts)[-ZONES_AT_RISK:])
        shortfall = max(shortfall, COVERED_FRACTION * view.needed - remaining)
    return max(0, math.ceil(shortfall - ROUNDING_TOLERANCE))
