"""How many servers to order where, and of which kind.

The load this is for: most servers are reclaimable, and a zone's worth of them goes at
once, often one zone after another within seconds, while no new ones are to be had for
some twenty seconds. Reclaimable servers cost a fifth of the others and take as long to
start. So they are held in such number that two zones may go and the rest still carries
the load; on-demand ones are ordered only for what reclaimable ones can't give, and, in
a wave of reclaims, for a part of the load in case a further zone goes.

It is a desired state, not a step: repeated or late orders do no harm.
"""

import math
from collections.abc import Iterable, Mapping
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

ZONES_LOST = 2
"""Zones whose reclaimable servers may go with the rest still enough. Servers ordered at
the first notice need 4 s and the second zone goes within 5 to 6 s, at a time at which
the cloud has none to give. With one zone only, a fleet of six servers served 0.83 of
what was owed instead of 0.90 at the same cost of servers (15 plays of five days), and
one of 45 served 0.67 instead of 0.80 (one play each)."""

ZONES_AT_RISK = 2
COVERED_PART = 0.5
"""Zones more that may go in a wave, and the part of the load that on-demand servers
must then carry with what is left. They need 4 s to start, and two zones have gone
within 0.1 s of each other. Compared with one zone at risk, half of the load covered
both times, fleets of five to nine servers earned 0.01, 0.01 and 0.04 more (10 plays
each). Against 0.6, two fifths covered earned 0.02 less where three zones went, 0.01
more where two did, and 0.03 more with 45 servers (10, 10 and 2 plays); half lies
between."""


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
class PoolBackoff:
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

    def room(self, zone: str) -> int:
        """Return how many reclaimable servers a zone may have beside on-demand ones.

        An order for more is taken and not carried out: of twelve servers six came, and
        the others only when they were ordered again a quarter of a minute later. What
        is ordered stays: a smaller order would take servers that are starting.
        """
        pool = Pool(zone, False)
        leaving = self.pools.get(pool, PoolState()).leaving
        on_demand = self.ordered.get(pool, 0) + leaving
        beside = self.scaling.max_servers - on_demand
        return max(beside, self.ordered.get(Pool(zone, True), 0))

    @property
    def in_wave(self) -> bool:
        """Whether further zones may be reclaimed soon, with no new servers to be had.

        The zones that were reclaimed are asked again and again; while any refuses, the
        wave has not passed.
        """
        recent = self.now - self.reclaimed_at < WAVE_S
        return recent or bool(self.refusing_zones())

    def refusing_zones(self) -> set[str]:
        """Return the zones that have no reclaimable servers to give."""
        return {pool.zone for pool, until in self.refused.items() if until > self.now}


def desired_servers(view: CapacityView) -> dict[Pool, int]:
    """Return the number of servers to order of each pool."""
    scaling = view.scaling
    zones = sorted(scaling.zone_prices, key=lambda z: (scaling.zone_prices[z], z))
    refusing = view.refusing_zones()
    each = _reclaimable_each(view.needed, len(zones), scaling)
    wanted = {
        Pool(zone, True): (
            view.ready(zone, True) if zone in refusing else min(each, view.room(zone))
        )
        for zone in zones
    }
    on_demand = _on_demand(view, zones, wanted)
    for zone in zones:
        least = scaling.min_servers - wanted[Pool(zone, True)]
        if zone in refusing:
            least = 0  # what is missing comes back, and makes up for it
        wanted[Pool(zone, False)] = max(on_demand[zone], least)
    return wanted


def _reclaimable_each(needed: float, zones: int, scaling: Scaling) -> int:
    """Return the reclaimable servers of each zone that carry the load without some."""
    servers = max(1, math.ceil(needed - ROUNDED))
    each = math.ceil(servers / max(1, zones - ZONES_LOST))
    return max(scaling.min_servers, min(each, scaling.max_servers))


def _on_demand(
    view: CapacityView, zones: list[str], wanted: Mapping[Pool, int]
) -> dict[str, int]:
    """Return the on-demand servers by zone that make up for missing reclaimable ones.

    More are ordered only for what reclaimable ones won't give: those that are starting
    are there as soon as on-demand ones ordered now would be. Those on order are given
    back only for reclaimable ones that are ready.

    What is ordered stays where it is: moved to a cheaper zone, it would have to start
    again.
    """
    ready = {zone: view.ready(zone, True) for zone in zones}
    coming = {zone: max(wanted[Pool(zone, True)], ready[zone]) for zone in zones}
    placed = {zone: view.ordered.get(Pool(zone, False), 0) for zone in zones}
    least = _missing(view, coming.values())
    most = max(least, _missing(view, ready.values()))
    while sum(placed.values()) > most:
        dearest = [zone for zone in zones if placed[zone]][-1]
        placed[dearest] -= 1
    while sum(placed.values()) < least:
        most_each = view.scaling.max_servers
        open_zones = [z for z in zones if placed[z] + coming[z] < most_each]
        if not open_zones:
            break
        placed[min(open_zones, key=lambda zone: placed[zone])] += 1
    return placed


def _missing(view: CapacityView, by_zone: Iterable[int]) -> int:
    """Return the servers missing beside reclaimable ones, so many in each zone."""
    counts = list(by_zone)
    there = sum(counts)
    missing = view.needed - there
    if view.in_wave:
        left = there - sum(sorted(counts)[-ZONES_AT_RISK:])
        missing = max(missing, COVERED_PART * view.needed - left)
    return max(0, math.ceil(missing - ROUNDED))
