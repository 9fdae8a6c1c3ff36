"""Coordinates the slots of plain services with few of them, for all gateways."""

import time
from collections.abc import Callable

from endive_core.pooled_servers import Outcome, PooledServer
from endive_core.slot_pool import SlotPool
from endive_core.slot_pool import SlotReply as PoolDecision
from endive_core.slot_queue import LeaseKey, PoolRequest
from endive_node.logs import log_event

from endive_gateway.brittle_services import BrittleServices
from endive_gateway.placing import Placer
from endive_gateway.slot_messages import (
    PoolSlotReply,
    PoolSlotRequest,
    PoolSlotReturn,
    SlotMessage,
)

REPORT_INTERVAL_S = 10.0
"""Time between two log lines of what a pool has done, seconds."""

IDLE_S = 10.0
"""Time without a request after which a pool is forgotten, seconds."""


class PoolCoordinator:
    """The pools that this node coordinates.

    Attributes
    ----------
    pools : dict of str to SlotPool
        By service.
    send : callable
        Sends a message to the node with an IP address.
    """

    def __init__(
        self,
        placer: Placer,
        brittle_services: BrittleServices,
        send: Callable[[SlotMessage, str], None],
    ) -> None:
        self.placer = placer
        self.brittle_services = brittle_services
        self.send = send
        self.pools: dict[str, SlotPool] = {}
        self.requested_at: dict[str, float] = {}
        self.report_at = 0.0

    def handle_request(self, message: PoolSlotRequest, node: str, nodes: int) -> None:
        """Decide on another node's request for a slot, or one of this node's own.

        Parameters
        ----------
        nodes : int
            Number of nodes that may coordinate, this one included.
        """
        now = time.monotonic()
        pool = self.pools.get(message.service) or self._begin(message.service, nodes)
        self.requested_at[message.service] = now
        for number in message.returned:
            if (node, number) in pool.leased_at:
                pool.release((node, number), Outcome.UNUSED, now)
        pool.request(
            PoolRequest(
                (node, message.number),
                message.priority,
                message.organisation,
                now + message.due_s,
                message.lease_s,
                frozenset(message.avoid),
            ),
            now,
        )

    def handle_return(self, message: PoolSlotReturn, node: str) -> None:
        """Take a lease back with what the server has stated.

        A lease that is not known any more may be of the server's earlier incarnation,
        which says nothing of the present one.
        """
        pool = self.pools.get(message.service)
        if pool is None:
            return
        now = time.monotonic()
        key = (node, message.number)
        if message.server and pool.leased_at.get(key) == message.server:
            pool.report(message.server, message.load, message.slowdown, now)
        try:
            outcome = Outcome(message.outcome)
        except ValueError:
            outcome = Outcome.UNUSED
        pool.release(key, outcome, now)

    def _begin(self, service: str, nodes: int) -> SlotPool:
        """Begin to coordinate a service's slots."""

        def reply(key: LeaseKey, decision: PoolDecision) -> None:
            node, number = key
            retry_after_s = decision.retry_after_s
            message = PoolSlotReply(number, service, decision.server, decision.wait_s)
            if retry_after_s is not None:
                message.retry_after_s = retry_after_s
            self.send(message, node)

        now = time.monotonic()
        pool = self.pools[service] = SlotPool(reply)
        for server in self._set_servers(service, pool):
            server.slots.report(self.placer.known_load(server.id), now)
            if nodes > 1:
                server.slots.take_over(now)
        log_event(
            "pool_coordinator",
            service=service,
            servers=len(pool.servers),
            slots=pool.slots,
            nodes=nodes,
        )
        return pool

    def _set_servers(self, service: str, pool: SlotPool) -> list[PooledServer]:
        """Apply the servers that accept work; return the new ones."""
        scheduler = self.placer.schedulers.get(service)
        loads = scheduler.servers.servers if scheduler else {}
        new = pool.set_servers(
            {
                load.id: (self._incarnation(load.id), load.view.max_concurrent)
                for load in loads.values()
                if not load.view.leaving
            }
        )
        for server in pool.servers.values():
            load = loads[server.id]
            server.is_brittle = service in self.brittle_services.names
            server.is_suspect = server.id in scheduler.outliers.ejected
            server.usual_slowdown = getattr(load, "slowdown", 1.0) or 1.0
        return new

    def _incarnation(self, server: str) -> int:
        known = self.placer.registry.get(server)
        return known.entry.incarnation if known else 0

    def update(self, now: float) -> None:
        """Decline requests that have waited too long, and end lost leases."""
        for service, pool in list(self.pools.items()):
            self._set_servers(service, pool)
            pool.update(now)
            if pool.is_idle and now - self.requested_at[service] > IDLE_S:
                del self.pools[service]
        if now >= self.report_at:
            self.report_at = now + REPORT_INTERVAL_S
            self._report(now)

    def _report(self, now: float) -> None:
        """Log what the pools have done since the last report."""
        for service, pool in self.pools.items():
            log_event(
                "slot_pool",
                service=service,
                slots=pool.slots,
                leased=len(pool.leased_at),
                waiting=len(pool.queue),
                granted=pool.granted,
                declined=pool.declined,
                paused=",".join(
                    s.id for s in pool.servers.values() if now < s.paused_until
                ),
                slow=",".join(
                    s.id for s in pool.servers.values() if s.slowdown_now(now) > 1.5
                ),
            )
            pool.granted = pool.declined = 0

    def withdraw(self, live: set[str], now: float) -> None:
        """End the leases and requests of nodes that are gone."""
        for pool in self.pools.values():
            pool.withdraw(live, now)

    def leased(self) -> int:
        """Return how many slots this node has leased to requests."""
        return sum(len(pool.leased_at) for pool in self.pools.values())

    def queued(self) -> int:
        """Return how many requests wait for a slot here."""
        return sum(len(pool.queue) for pool in self.pools.values())
