"""How many servers to order where, and of which kind.

The load this is for: most servers are reclaimable, and a zone's worth of them goes at
once, often one zone after another within seconds, while no new ones are to be had.
The decision is the cheapest mix that still carries the load when the zone with most
reclaimable servers is gone. At the first notice on-demand servers are ordered for the
load of two more zones: they are to be had always, but need some seconds to start, and
other zones may go within that time.

It is a desired state, not a step: repeated or late orders do no harm.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from endive_core.routing import Scaling

RECLAIMED_BACKOFF_S = 3.0
"""Time before reclaimable servers are asked for again where they were refused, doubled
up to :data:`MAX_BACKOFF_S`. They were refused for 12 to 15 s after a reclaim."""

MAX_BACKOFF_S = 4.0

ROUNDED = 0.05
"""Part of a server that may be missing: measured load is no more exact than that."""

WAVE_S = 10.0
"""Time after a reclaim in which the other zones are expected to follow, seconds:
waves came 5 to 6 s apart."""

WAVE_ZONES = 2
"""Zones that may follow in a wave before on-demand servers ordered at the next notice
are there: those need 4 s, and at most two zones went within that time. With four zones
that leaves one that counts; had none counted, a wave would take a third more on-demand
servers (16 instead of 26 for a load of 26 and ten servers a zone)."""


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
    ordered : mapping of Pool to int
        What is on order now.
    reclaimed_at : float
        When a zone's reclaimable servers were last seen to be taken.
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

    def refusing_zones(self) -> set[str]:
        """Return the zones that have no reclaimable servers to give."""
        return {pool.zone for pool, until in self.refused.items() if until > self.now}


def desired_servers(view: CapacityView) -> dict[Pool, int]:
    """Return the number of servers to order of each pool.

    Reclaimable servers are spread over the zones, so many that any one zone may go;
    what is not there of them now (refused, under notice, still starting) is made up by
    on-demand servers until they are.
    """
    scaling = view.scaling
    zones = sorted(scaling.zone_prices, key=lambda z: (scaling.zone_prices[z], z))
    spread = _spread(view.needed, zones, scaling)
    wanted = {Pool(zone, True): spread[zone] for zone in zones}
    for pool in wanted:
        if view.refused.get(pool, 0.0) > view.now:
            wanted[pool] = view.ready(pool.zone, True)
    on_demand = _on_demand(view, zones, wanted)
    for zone in zones:
        least = scaling.min_servers - wanted[Pool(zone, True)]
        if zone in view.refusing_zones():
            least = 0  # what is missing comes back, and makes up for it
        wanted[Pool(zone, False)] = max(on_demand[zone], least)
    return wanted


def _spread(needed: float, zones: list[str], scaling: Scaling) -> dict[str, int]:
    """Return the reclaimable servers of each zone that carry the load without one.

    With the largest zone gone, the rest must be enough; the cheapest zones get one
    more than the others where the number doesn't divide.
    """
    servers = max(1, math.ceil(needed - ROUNDED))
    largest = math.ceil(servers / max(1, len(zones) - 1))
    total = servers + largest if len(zones) > 1 else servers
    spread = {}
    for position, zone in enumerate(zones):
        share = total // len(zones) + (position < total % len(zones))
        spread[zone] = max(scaling.min_servers, min(share, scaling.max_servers))
    return spread


def _on_demand(
    view: CapacityView, zones: list[str], wanted: Mapping[Pool, int]
) -> dict[str, int]:
    """Return the on-demand servers by zone that make up for missing reclaimable ones.

    Counted are the reclaimable ones that are ready, less the zone that has most of
    them: it may get its notice next. In a wave of reclaims more than one may.

    What is ordered stays where it is: moved to a cheaper zone, it would have to start
    again.
    """
    ready = {zone: view.ready(zone, True) for zone in zones}
    in_wave = view.now - view.reclaimed_at < WAVE_S
    at_risk = sorted(ready.values(), reverse=True)[: WAVE_ZONES if in_wave else 1]
    sure = sum(ready.values()) - sum(at_risk)
    placed = {zone: view.ordered.get(Pool(zone, False), 0) for zone in zones}
    missing = math.ceil(view.needed - sure - ROUNDED)
    while sum(placed.values()) > max(0, missing):
        dearest = [zone for zone in zones if placed[zone]][-1]
        placed[dearest] -= 1
    while sum(placed.values()) < missing:
        open_zones = [
            zone
            for zone in zones
            if placed[zone] + max(wanted[Pool(zone, True)], ready[zone])
            < view.scaling.max_servers
        ]
        if not open_zones:
            break
        placed[min(open_zones, key=lambda zone: placed[zone])] += 1
    return placed
