"""How many servers to order where, and of which kind.

The load this is for: most servers are reclaimable, and a zone's worth of them goes at
once, often one zone after another, while no new ones are to be had. The decision is
the cheapest mix that still carries the load when the zone with most reclaimable
servers is gone, and that replaces what is under notice with on-demand servers at
once, for those are to be had always and need some seconds to start.

It is a desired state, not a step: repeated or late orders do no harm.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from endive_core.routing import Scaling

RECLAIMED_BACKOFF_S = 3.0
"""Time before reclaimable servers are asked for again where they were refused, doubled
up to :data:`MAX_BACKOFF_S`. They were refused for 12 to 15 s after a reclaim."""

MAX_BACKOFF_S = 8.0


@dataclass(frozen=True, slots=True)
class Pool:
    """The servers of one kind in one availability zone."""

    zone: str
    reclaimable: bool


@dataclass
class PoolState:
    """What is known of one pool.

    Attributes
    ----------
    ready : int
        Servers that take work and are not under notice.
    leaving : int
        Servers under notice or draining.
    """

    ready: int = 0
    leaving: int = 0


@dataclass
class Refused:
    """A pool that had nothing to give when it was last asked."""

    until: float
    pause_s: float


@dataclass
class CapacityView:
    """All that the decision looks at.

    Attributes
    ----------
    needed : float
        Servers that carry the load at the latency target, a fraction included.
    refused : mapping of Pool to float
        Pools that refused, with the time until which not to ask them.
    """

    scaling: Scaling
    pools: Mapping[Pool, PoolState]
    needed: float
    now: float
    refused: Mapping[Pool, float] = field(default_factory=dict)

    def ready(self, zone: str, reclaimable: bool) -> int:
        """Return the ready servers of one pool."""
        state = self.pools.get(Pool(zone, reclaimable))
        return state.ready if state else 0

    def price(self, pool: Pool) -> float:
        """Return the price of one server of `pool` for a second."""
        price = self.scaling.zone_prices.get(pool.zone, 1.0)
        return price * (self.scaling.reclaimable_price if pool.reclaimable else 1.0)


def desired_servers(view: CapacityView) -> dict[Pool, int]:
    """Return the number of servers to order of each pool.

    Reclaimable servers are spread evenly over the zones, so many that any one zone may
    go; what is not there of them now (refused, under notice, still starting) is made
    up by on-demand servers in the cheapest zones with room, until they are.
    """
    scaling = view.scaling
    zones = sorted(scaling.zone_prices)
    spread = _spread(view.needed, len(zones), scaling)
    wanted = {Pool(zone, True): spread for zone in zones}
    for pool in wanted:
        if view.refused.get(pool, 0.0) > view.now:
            wanted[pool] = view.ready(pool.zone, True)
    on_demand = _on_demand(view, zones, wanted)
    for zone in zones:
        wanted[Pool(zone, False)] = on_demand.get(zone, 0)
        short = scaling.min_servers - sum(
            wanted[Pool(zone, kind)] for kind in (True, False)
        )
        if short > 0:
            wanted[Pool(zone, False)] += short
    return wanted


def _spread(needed: float, zones: int, scaling: Scaling) -> int:
    """Return the reclaimable servers of each zone that carry the load without one."""
    left = max(1, zones - 1)
    spread = math.ceil(needed / left)
    return max(scaling.min_servers, 1, min(spread, scaling.max_servers))


def _on_demand(
    view: CapacityView, zones: list[str], wanted: Mapping[Pool, int]
) -> dict[str, int]:
    """Return the on-demand servers by zone that make up for missing reclaimable ones.

    Counted are the reclaimable ones that are ready, less the zone that has most of
    them: it may get its notice next.
    """
    ready = {zone: view.ready(zone, True) for zone in zones}
    sure = sum(ready.values()) - max(ready.values(), default=0)
    missing = max(0, math.ceil(view.needed - sure - 1e-9))
    placed = dict.fromkeys(zones, 0)
    by_price = sorted(zones, key=lambda zone: view.price(Pool(zone, False)))
    while missing > 0:
        open_zones = [
            zone
            for zone in by_price
            if placed[zone] + max(wanted[Pool(zone, True)], ready[zone])
            < view.scaling.max_servers
        ]
        if not open_zones:
            break
        best = min(open_zones, key=lambda z: (placed[z], view.price(Pool(z, False))))
        placed[best] += 1
        missing -= 1
    return placed
