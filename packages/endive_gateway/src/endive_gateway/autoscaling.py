"""Autoscaling: orders servers at the cloud as the capacity decision requires."""

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

CALL_TIME_S = 0.4
"""Time that a call to the cloud may take, seconds. No call is started with less lease
left."""

RETRY_S = 0.7
"""Time before a failed call is retried, seconds."""

ORDER_REPEAT_S = 15.0
"""Time after which an accepted order is sent again, seconds. A change that the cloud
lost would otherwise never be noticed."""

REGISTRATION_S = 2.0
"""Time after a server's start by which it must be in the registry, seconds: it writes
its entry every 1.2 s, and the entries are read every 0.7 s. An order whose servers are
missing then is sent again."""

LOAD_WARM_UP_S = 8.0
"""Time of traffic after which the measured load is trusted, seconds. Until then the
number of servers at the start is the lower bound."""

WARM_UP_PART = 1.0
"""Part of the servers at the start that counts as the lower bound until then. The first
seconds of traffic meet cold caches; with 0.6 a third of the responses were late."""

SCALE_IN_DELAY_S = 5.0
"""Time for which fewer servers must be needed before any is released, seconds: slightly
longer than a server takes to start."""

ON_DEMAND_SCALE_IN_DELAY_S = 1.0
"""The same for on-demand servers, which are released only when reclaimable ones have
replaced them. Four on-demand servers cost as much in one second as a reclaimable server
in 22 s."""

IDLE_SCALE_IN_DELAY_S = 0.5
"""The same before the first request, when no caller can be affected."""

LIST_SETTLE_S = 2.5
"""Time after the first read of the servers' entries until the registry counts as
complete, seconds: each server writes its entry every 1.2 s."""

REGISTRATION_GAP_S = 1.5
"""Time without a newly registered on-demand server after which all count as registered,
seconds: longer than the 1.2 s between two entries of one server. The servers of a large
service do not all start within that time."""

MIN_NEEDED_SERVERS = 1.6
"""Lower bound of the needed servers at any load. With fewer, a single crash would leave
one server."""


class Autoscaler:
    """Keeps each scaled service at the size that the capacity decision gives.

    Attributes
    ----------
    load_meters : dict of str to LoadMeter
        Measured load by service.
    initial_servers : dict of str to int
        Highest number of on-demand servers of each service before the first traffic.
    traffic_since : float or None
        When load was first measured.
    accepted : dict
        By service and pool, the number of servers last ordered and the time of that.
    backoffs : dict
        By service and pool, until when the cloud is not asked again.
    reclaimed_at : dict of str to float
        By service, when a zone last lost all its reclaimable servers.
    scale_in_since : dict
        By service and pool, since when fewer servers are needed than ordered.
    list_known_since : float or None
        When the registry of servers was first known.
    last_ready : dict
        By service and pool, the number of ready servers at the last step.
    """

    def __init__(self, context: Context, peers: Peers) -> None:
        self.context = context
        self.peers = peers
        self.clock: Callable[[], float] = boot_time
        self.load_meters: dict[str, LoadMeter] = {}
        self.initial_servers: dict[str, int] = {}
        self.registered_at = float("-inf")
        self.traffic_since: float | None = None
        self.accepted: dict[tuple[str, Pool], tuple[int, float]] = {}
        self.backoffs: dict[tuple[str, Pool], PoolBackoff] = {}
        self.next_try_at = 0.0
        self.reclaimed_at: dict[str, float] = {}
        self.scale_in_since: dict[tuple[str, Pool], float] = {}
        self.list_known_since: float | None = None
        self.last_ready: dict[tuple[str, Pool], int] = {}

    def begin_tenure(self, now: float) -> None:
        """Start a tenure as holder.

        Orders of former holders are unknown, so the usable servers count as ordered. A
        node that has just started has measured no load yet; if services were sized by
        that, they would shrink right after an outage in which all nodes restarted.
        """
        self.accepted.clear()
        for known in self.context.registry.servers.values():
            entry = known.entry
            is_base = self.context.version_division.counts_as_base(entry)
            if known.usable and is_base:
                key = (entry.service, Pool(entry.zone, entry.reclaimable))
                servers, _ = self.accepted.get(key, (0, 0.0))
                self.accepted[key] = (servers + 1, now - ORDER_REPEAT_S)
        self.backoffs.clear()
        self.next_try_at = now

    def step(self, node: str, lease: Lease, now: float) -> None:
        """Send the orders that are due.

        Before all servers have had time to register, only reclaimable ones are ordered,
        as many as the servers registered so far require. They take 4 s to start while
        on-demand ones run, and more can be ordered at the next step.
        """
        if now < self.next_try_at or not self.context.registry.is_loaded:
            return
        settled = self._is_settled(now)
        for service in self._scaled_services():
            for pool, servers in self._desired(service, now).items():
                if not (settled or pool.reclaimable):
                    continue
                # Earlier orders of this step may have taken seconds at a slow cloud.
                if not lease.held(self.clock() + CALL_TIME_S):
                    return
                self._order(node, lease, service, pool, servers, now)

    def _scaled_services(self) -> list[Service]:
        table = self.context.table
        services = table.services.values() if table else ()
        return [service for service in services if service.scaling]

    def sample_load(self, now: float) -> None:
        """Add a sample of the load of all nodes.

        Every node does this, so that a new holder knows the load of the last seconds.
        """
        total: dict[str, float] = dict(self.context.work.smoothed)
        for peer in self.peers.live():
            for service, work in peer.work.items():
                total[service] = total.get(service, 0.0) + work
        for service, work in total.items():
            if work > 0 and self.traffic_since is None:
                self.traffic_since = now
            self.load_meters.setdefault(service, LoadMeter()).add(work, now)

    def needed(self, service: Service, now: float) -> float:
        """Return the number of servers that the service's load requires."""
        load = self.load_meters.get(service.name)
        needed = max(
            MIN_NEEDED_SERVERS, load.peak() / TARGET_UTILISATION if load else 0.0
        )
        needed += self._lost_to_limits(service)
        needed += self.context.server_rests.closed_servers(service.name)
        if self._is_measured(now):
            return needed
        if self.traffic_since is None:
            self._count_initial(service, now)
        return max(needed, WARM_UP_PART * self.initial_servers.get(service.name, 0))

    def _lost_to_limits(self, service: Service) -> float:
        """Return how many servers' work the limits that servers name take away."""
        request_s = self.context.work.request_s(service.name)
        if not request_s:
            return 0.0
        shares = self.context.limit_sharing.shares
        full_rate = TARGET_UTILISATION / request_s
        return sum(
            1 - min(1.0, shares[known.entry.id].limit / full_rate)
            for known in self.context.registry.of_service(service.name)
            if known.usable and known.entry.id in shares
        )

    def _is_measured(self, now: float) -> bool:
        since = self.traffic_since
        return since is not None and now - since >= LOAD_WARM_UP_S

    def _is_settled(self, now: float) -> bool:
        """Return whether the running servers have had time to register.

        If a service were sized by the first few entries, it would shrink before the
        first request.
        """
        if self.list_known_since is None:
            self.list_known_since = now
        return self.traffic_since is not None or (
            now - self.list_known_since >= LIST_SETTLE_S
            and now - self.registered_at >= REGISTRATION_GAP_S
        )

    def _count_initial(self, service: Service, now: float) -> None:
        """Record how many on-demand servers the operators started."""
        servers = self.context.registry.of_service(service.name)
        first = sum(s.usable and not s.entry.reclaimable for s in servers)
        if first > self.initial_servers.get(service.name, 0):
            self.initial_servers[service.name] = first
            self.registered_at = now

    def _pool_states(self, service: Service) -> dict[Pool, PoolState]:
        """Count the registered servers by pool."""
        pools: dict[Pool, PoolState] = {}
        for known in self.context.registry.of_service(service.name):
            if not self.context.version_division.counts_as_base(known.entry):
                continue
            pool = Pool(known.entry.zone, known.entry.reclaimable)
            state = pools.setdefault(pool, PoolState())
            if known.usable and not known.is_last:
                state.ready += 1
            else:
                state.leaving += 1
        return pools

    def _desired(self, service: Service, now: float) -> dict[Pool, int]:
        pools = self._pool_states(service)
        self._detect_reclaims(service, pools, now)
        backoffs = {
            pool: backoff.until
            for (name, pool), backoff in self.backoffs.items()
            if name == service.name
        }
        return desired_servers(
            CapacityView(
                service.scaling,
                pools,
                self.needed(service, now),
                now,
                backoffs,
                self._ordered_servers(service, pools),
                self.reclaimed_at.get(service.name, float("-inf")),
            )
        )

    def _ordered_servers(
        self, service: Service, pools: dict[Pool, PoolState]
    ) -> dict[Pool, int]:
        """Return the servers on order by pool.

        Where this node has ordered nothing, the ready servers count.
        """
        ordered = {pool: state.ready for pool, state in pools.items()}
        for (name, pool), (servers, _) in self.accepted.items():
            if name == service.name:
                ordered[pool] = servers
        return ordered

    def _detect_reclaims(
        self, service: Service, pools: dict[Pool, PoolState], now: float
    ) -> None:
        """Detect zones that lost all their reclaimable servers though some are ordered.

        Some servers never report that they leave, so the notice itself can be missed.
        """
        zones = {pool.zone for pool in pools}
        for pool in (Pool(zone, True) for zone in zones):
            key = (service.name, pool)
            state = pools.get(pool, PoolState())
            ready, accepted = state.ready, self.accepted.get(key)
            # A new holder may see only leaving servers of a zone, never ready ones.
            last_ready = self.last_ready.get(key, state.leaving)
            if last_ready and not ready and (not accepted or accepted[0]):
                self.reclaimed_at[service.name] = now
                self.accepted.pop(key, None)
                log_event("zone_reclaimed", service=service.name, zone=pool.zone)
            self.last_ready[key] = ready

    def _may_scale_in(
        self, key: tuple[str, Pool], servers: int, accepted: int, now: float
    ) -> bool:
        """Return whether fewer servers have been needed for long enough.

        The number of reclaimable servers changes within seconds during a reclaim, and a
        server released meanwhile would have to be started again.
        """
        if servers >= accepted:
            self.scale_in_since.pop(key, None)
            return True
        if self.context.rollouts.is_running(key[0]):
            return False
        since = self.scale_in_since.setdefault(key, now)
        if self.traffic_since is None:
            return now - since >= IDLE_SCALE_IN_DELAY_S
        after_s = SCALE_IN_DELAY_S if key[1].reclaimable else ON_DEMAND_SCALE_IN_DELAY_S
        return self._is_measured(now) and now - since >= after_s

    def _order(
        self, node: str, lease: Lease, service: Service, pool: Pool, servers: int, now
    ) -> None:
        key = (service.name, pool)
        backoff = self.backoffs.get(key)
        if backoff is not None and now < backoff.until:
            return
        accepted = self.accepted.get(key)
        if accepted is not None and not self._may_scale_in(
            key, servers, accepted[0], now
        ):
            return
        if accepted is not None and accepted[0] == servers:
            repeat_s = self._repeat_delay_s(service, pool, servers)
            if now - accepted[1] < repeat_s:
                return
        order = Order(service.name, pool.zone, servers, pool.reclaimable)
        try:
            self.context.cloud.order(node, lease.fence, order)
        except CloudCapacityError:
            self._note_refusal(key, backoff, now)
            return
        except CloudError as error:
            if error.sent:
                lease.unanswered_at = self.clock()
            log_event("order_failed", order=order, error=error)
            self.next_try_at = now + RETRY_S
            return
        self.backoffs.pop(key, None)
        self.accepted[key] = (servers, now)
        log_event(
            "ordered",
            service=service.name,
            zone=pool.zone,
            servers=servers,
            reclaimable=pool.reclaimable,
            needed=self.needed(service, now),
            ready=self.last_ready.get(key, 0),
        )

    def _repeat_delay_s(self, service: Service, pool: Pool, servers: int) -> float:
        """Return the time after which an unchanged order is sent again, seconds."""
        if self._pool_states(service).get(pool, PoolState()).ready >= servers:
            return ORDER_REPEAT_S
        return min(ORDER_REPEAT_S, service.scaling.boot_s + REGISTRATION_S)

    def _note_refusal(self, key, backoff: PoolBackoff | None, now: float) -> None:
        pause = RECLAIMED_BACKOFF_S
        if backoff is not None:
            pause = min(MAX_BACKOFF_S, 2 * backoff.pause_s)
        self.backoffs[key] = PoolBackoff(now + pause, pause)
        self.accepted.pop(key, None)
        log_event("order_refused", service=key[0], pool=key[1], pause_s=pause)
