"""Orders of servers, from the capacity decision to the cloud's calls."""

from collections.abc import Callable

from endive_core.capacity import (
    MAX_BACKOFF_S,
    RECLAIMED_BACKOFF_S,
    CapacityView,
    Pool,
    PoolBackoff,
    PoolState,
    desired_servers,
)
from endive_core.leases import Lease
from endive_core.load_sizing import TARGET_UTILISATION, LoadMeter
from endive_core.routing import Service
from endive_node.logs import log_event

from endive_gateway.clocks import boot_time
from endive_gateway.context import Context
from endive_gateway.exceptions import CloudCapacityError, CloudError
from endive_gateway.interfaces import Order
from endive_gateway.peers import Peers

CALL_S = 0.4
"""Time that a call to the cloud needs, seconds; none is begun with less lease left."""

RETRY_S = 0.7
"""Time before a call that failed is tried again, seconds."""

REPEAT_S = 15.0
"""Time after which an order is sent again though it was taken, seconds: a lost change
at the cloud would otherwise never be noticed."""

STARTED_S = 2.0
"""Time beyond a server's start by which it must be in the list, seconds: it writes once
in 1.2 s, and the list is read each 0.7 s. An order whose servers are missing then is
sent again."""

LOAD_WARM_UP_S = 8.0
"""Time of traffic after which the measured load is trusted, seconds. Until then the
servers that are there at the start say how many are needed."""

UNMEASURED_PART = 1.0
"""Part of the servers at the start that is taken to be needed at least until then. The
first seconds of traffic find all caches cold; with 0.6 a third of them came late."""

LOWER_AFTER_S = 5.0
"""Time for which fewer servers must be wanted before any is given back, seconds: a
little more than one takes to start."""

LOWER_ON_DEMAND_S = 1.0
"""The same for on-demand servers, which go only when reclaimable ones are ready in
their place: each second of four of them costs as much as 22 s of a reclaimable one."""

LOWER_IDLE_S = 0.5
"""The same before the first request of all: nothing is lost by it."""

SETTLED_S = 2.5
"""Time after the list of servers was first read until it is taken to be whole,
seconds: each server writes once in 1.2 s."""

MIN_NEEDED_SERVERS = 1.6
"""Servers needed at the least, whatever the load: with fewer, one crash leaves one."""


class Ordering:
    """Keeps each scaled service at the size that the decision wants."""

    def __init__(self, context: Context, peers: Peers) -> None:
        self.context = context
        self.peers = peers
        self.clock: Callable[[], float] = boot_time
        self.loads: dict[str, LoadMeter] = {}
        self.begun_with: dict[str, int] = {}
        self.traffic_since: float | None = None
        self.taken: dict[tuple[str, Pool], tuple[int, float]] = {}
        self.refused: dict[tuple[str, Pool], PoolBackoff] = {}
        self.next_try_at = 0.0
        self.reclaimed_at: dict[str, float] = {}
        self.lower_since: dict[tuple[str, Pool], float] = {}
        self.known_at: float | None = None
        self.had_ready: dict[tuple[str, Pool], int] = {}

    def begin(self, now: float) -> None:
        """Start a tenure: what others ordered isn't known, so what is there counts.

        A node that has only just started, with all others perhaps, has measured no
        load yet. Sized by that, a service would shrink right after an outage.
        """
        self.taken.clear()
        for known in self.context.registry.servers.values():
            if known.usable:
                entry = known.entry
                key = (entry.service, Pool(entry.zone, entry.reclaimable))
                servers, _ = self.taken.get(key, (0, 0.0))
                self.taken[key] = (servers + 1, now - REPEAT_S)
        self.refused.clear()
        self.next_try_at = now

    def step(self, node: str, lease: Lease, now: float) -> None:
        """Send the orders that are due.

        Before all servers have registered only reclaimable ones are ordered, so many as
        the servers seen so far call for: they take 4 s to start, on-demand ones run
        meanwhile, and more can be ordered at the next step.
        """
        if now < self.next_try_at or not self.context.registry.is_loaded:
            return
        settled = self._settled(now)
        for service in self._scaled():
            for pool, servers in self._wanted(service, now).items():
                if not (settled or pool.reclaimable):
                    continue
                # The orders before this one may have taken seconds at a slow cloud.
                if not lease.held(self.clock() + CALL_S):
                    return
                self._order(node, lease, service, pool, servers, now)

    def _scaled(self) -> list[Service]:
        table = self.context.table
        services = table.services.values() if table else ()
        return [service for service in services if service.scaling]

    def measure(self, now: float) -> None:
        """Take in the fleet's load; every node does, to know it when it takes over."""
        total: dict[str, float] = dict(self.context.work.smoothed)
        for peer in self.peers.live():
            for service, work in peer.work.items():
                total[service] = total.get(service, 0.0) + work
        for service, work in total.items():
            if work > 0 and self.traffic_since is None:
                self.traffic_since = now
            self.loads.setdefault(service, LoadMeter()).add(work, now)

    def needed(self, service: Service, now: float) -> float:
        """Return the servers that carry the service's load."""
        load = self.loads.get(service.name)
        needed = max(
            MIN_NEEDED_SERVERS, load.peak() / TARGET_UTILISATION if load else 0.0
        )
        if self._is_measured(now):
            return needed
        if self.traffic_since is None:
            self._count_first(service)
        return max(needed, UNMEASURED_PART * self.begun_with.get(service.name, 0))

    def _is_measured(self, now: float) -> bool:
        since = self.traffic_since
        return since is not None and now - since >= LOAD_WARM_UP_S

    def _settled(self, now: float) -> bool:
        """Return whether the servers there are have had time to register.

        Sized by the first few that wrote their entries, a service would shrink before
        the first request comes.
        """
        if self.known_at is None:
            self.known_at = now
        return self.traffic_since is not None or now - self.known_at >= SETTLED_S

    def _count_first(self, service: Service) -> None:
        """Count the servers that the operators started with."""
        servers = self.context.registry.of_service(service.name)
        first = sum(s.usable and not s.entry.reclaimable for s in servers)
        self.begun_with[service.name] = max(first, self.begun_with.get(service.name, 0))

    def _pools(self, service: Service) -> dict[Pool, PoolState]:
        """Count the servers that are there."""
        pools: dict[Pool, PoolState] = {}
        for known in self.context.registry.of_service(service.name):
            pool = Pool(known.entry.zone, known.entry.reclaimable)
            state = pools.setdefault(pool, PoolState())
            if known.usable:
                state.ready += 1
            else:
                state.leaving += 1
        return pools

    def _wanted(self, service: Service, now: float) -> dict[Pool, int]:
        pools = self._pools(service)
        self._see_reclaims(service, pools, now)
        refused = {
            pool: refusal.until
            for (name, pool), refusal in self.refused.items()
            if name == service.name
        }
        return desired_servers(
            CapacityView(
                service.scaling,
                pools,
                self.needed(service, now),
                now,
                refused,
                self._ordered(service, pools),
                self.reclaimed_at.get(service.name, float("-inf")),
            )
        )

    def _ordered(
        self, service: Service, pools: dict[Pool, PoolState]
    ) -> dict[Pool, int]:
        """Return what is on order, or what is there where this node ordered nothing."""
        ordered = {pool: state.ready for pool, state in pools.items()}
        for (name, pool), (servers, _) in self.taken.items():
            if name == service.name:
                ordered[pool] = servers
        return ordered

    def _see_reclaims(
        self, service: Service, pools: dict[Pool, PoolState], now: float
    ) -> None:
        """Note a zone that lost all its reclaimable servers though some were ordered.

        Some servers never say that they leave, so the notice itself can be missed.
        """
        zones = {pool.zone for pool in pools}
        for pool in (Pool(zone, True) for zone in zones):
            key = (service.name, pool)
            state = pools.get(pool, PoolState())
            ready, taken = state.ready, self.taken.get(key)
            # Who has just taken over sees the zone's servers leave, and never saw them.
            had_ready = self.had_ready.get(key, state.leaving)
            if had_ready and not ready and (not taken or taken[0]):
                self.reclaimed_at[service.name] = now
                self.taken.pop(key, None)
                log_event("zone_reclaimed", service=service.name, zone=pool.zone)
            self.had_ready[key] = ready

    def _may_lower(
        self, key: tuple[str, Pool], servers: int, taken: int, now: float
    ) -> bool:
        """Return whether fewer servers have been wanted for long enough.

        Reclaimable ones come and go within seconds of a reclaim; what is given back in
        between has to start again.
        """
        if servers >= taken:
            self.lower_since.pop(key, None)
            return True
        since = self.lower_since.setdefault(key, now)
        if self.traffic_since is None:
            return now - since >= LOWER_IDLE_S
        after_s = LOWER_AFTER_S if key[1].reclaimable else LOWER_ON_DEMAND_S
        return self._is_measured(now) and now - since >= after_s

    def _order(
        self, node: str, lease: Lease, service: Service, pool: Pool, servers: int, now
    ) -> None:
        key = (service.name, pool)
        refusal = self.refused.get(key)
        if refusal is not None and now < refusal.until:
            return
        taken = self.taken.get(key)
        if taken is not None and not self._may_lower(key, servers, taken[0], now):
            return
        if taken is not None and taken[0] == servers:
            repeat_s = self._repeat_s(service, pool, servers)
            if now - taken[1] < repeat_s:
                return
        order = Order(service.name, pool.zone, servers, pool.reclaimable)
        try:
            self.context.cloud.order(node, lease.fence, order)
        except CloudCapacityError:
            self._note_refusal(key, refusal, now)
            return
        except CloudError as error:
            log_event("order_failed", order=order, error=error)
            self.next_try_at = now + RETRY_S
            return
        self.refused.pop(key, None)
        self.taken[key] = (servers, now)
        log_event(
            "ordered",
            service=service.name,
            zone=pool.zone,
            servers=servers,
            reclaimable=pool.reclaimable,
            needed=self.needed(service, now),
            ready=self.had_ready.get(key, 0),
        )

    def _repeat_s(self, service: Service, pool: Pool, servers: int) -> float:
        """Return the time after which the same order is sent again, seconds."""
        if self._pools(service).get(pool, PoolState()).ready >= servers:
            return REPEAT_S
        return min(REPEAT_S, service.scaling.boot_s + STARTED_S)

    def _note_refusal(self, key, refusal: PoolBackoff | None, now: float) -> None:
        pause = RECLAIMED_BACKOFF_S
        if refusal is not None:
            pause = min(MAX_BACKOFF_S, 2 * refusal.pause_s)
        self.refused[key] = PoolBackoff(now + pause, pause)
        self.taken.pop(key, None)
        log_event("order_refused", service=key[0], pool=key[1], pause_s=pause)
