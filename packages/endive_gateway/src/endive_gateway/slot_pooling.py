"""Gets slots of plain services with few of them from the nodes that coordinate them.

A request takes the first slot that is free at any of the service's servers. Two
datagrams are exchanged with one other node before it, or three if it must wait, and one
is sent there after it, however many nodes there are.
"""

import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import gevent
from endive_core.calls import Ticket
from endive_core.exceptions import EndiveError, ErrorKind, RetryReason
from endive_core.messages import ServerView
from endive_core.pooled_servers import Outcome
from endive_core.slot_scarcity import SlotScarcity
from endive_node.logs import log_event
from gevent.event import AsyncResult

from endive_gateway.coordinators import CoordinatorChoice
from endive_gateway.placing import Placer
from endive_gateway.pool_coordination import PoolCoordinator
from endive_gateway.slot_leasing import (
    MAX_LEASE_S,
    WITHDRAW_INTERVAL_S,
    SlotLeasing,
)
from endive_gateway.slot_messages import (
    PoolSlotReply,
    PoolSlotRequest,
    PoolSlotReturn,
)
from endive_gateway.version_division import CANDIDATE_SUFFIX

MAX_POOL_SLOTS = 96
"""Most slots of a service that one node coordinates. At 45 ms for which each is held it
handles 6,000 datagrams a second at most, a fifth of a core."""

END_FRACTION = 0.75
"""Nodes over slots below which a service's slots are pooled no more, so that a node
that joins or leaves does not change it again and again."""

REPLY_FRACTION = 0.25
MAX_REPLY_S = 0.1
"""Time for which a coordinator's reply is awaited, seconds, and as a part of the time
until the route's target: another one can then still be asked in time."""

MAX_COORDINATORS = 2
"""Coordinators that are asked for one attempt. After that the request is placed without
a lease: its own node's view is still better than no server."""

REPEATED_RETURNS = 4
"""Latest returns that are repeated with each request for a slot. A slot whose return is
lost would else stay leased until the request's deadline."""

MAX_UNKNOWN_SERVERS = 2
"""Leases of servers that are not known here, or no longer, after which a request is
placed without one."""

OUTCOMES = {
    RetryReason.CONNECT_FAILED: Outcome.NOT_REACHED,
    RetryReason.SERVER_FAILED: Outcome.BROKEN,
    RetryReason.SERVER_BUSY: Outcome.REJECTED,
    RetryReason.SERVER_SLOW: Outcome.ANSWERED,
}
"""How failed attempts count for their servers; others say nothing."""


@dataclass(eq=False)
class PoolLease:
    """A slot of any server of a service that was asked for.

    Attributes
    ----------
    coordinator : str
        IP address of the node that was asked.
    incarnation : int
        The start of that node that was known when it was asked.
    reply_by : float
        Until when its next reply is awaited, seconds on the monotonic clock.
    granted : AsyncResult
        Its final reply, a :class:`PoolSlotReply`.
    server : str
        The server whose slot is leased; empty before.
    outcome : Outcome
        How the request ended there.
    load, slowdown : int, float or None
        What the server has stated with its response.
    """

    number: int
    service: str
    coordinator: str
    incarnation: int
    reply_by: float
    granted: AsyncResult = field(default_factory=AsyncResult)
    server: str = ""
    outcome: Outcome = Outcome.UNUSED
    load: int = -1
    slowdown: float | None = None

    def failed(self, reason: RetryReason) -> None:
        """Record that the attempt failed."""
        self.outcome = OUTCOMES.get(reason, Outcome.UNUSED)


class PooledRequest(Protocol):
    """The state of a request for which a slot is asked for."""

    ticket: Ticket
    service: str
    organisation: str
    server_priority: int

    def left_s(self) -> float:
        """Return the time left until the request's deadline, seconds."""

    def target_left_s(self) -> float:
        """Return the time left until the route's target, seconds."""


class SlotPooling:
    """Knows which services are pooled, and gets slots of their servers.

    Attributes
    ----------
    is_enabled : callable
        Returns whether the operators let slots be pooled.
    coordinator : PoolCoordinator
        The pools that this node coordinates itself.
    asked : dict of int to PoolLease
        Requests without a final reply, by number.
    pooled : set of str
        The services whose slots could be leased when last asked.
    speeds : set of str
        The services whose servers state how fast they are.
    scarcity : SlotScarcity
        The services whose slots are scarce.
    returned : deque of (int, str)
        The latest returns and their coordinators.
    replies : Counter
        Replies that this node got, by kind.
    peer_addresses : callable
        Returns the addresses of the other nodes that coordinate pools.
    """

    def __init__(
        self,
        leasing: SlotLeasing,
        placer: Placer,
        replies: Counter[str],
        is_enabled: Callable[[], bool],
    ) -> None:
        self.leasing = leasing
        self.placer = placer
        self.replies = replies
        self.is_enabled = is_enabled
        self.coordinator = PoolCoordinator(
            placer, leasing.brittle_services, leasing.send
        )
        self.asked: dict[int, PoolLease] = {}
        self.returned: deque[tuple[int, str]] = deque(maxlen=REPEATED_RETURNS)
        self.pooled: set[str] = set()
        self.speeds: set[str] = set()
        self.scarcity = SlotScarcity()
        self.sent = 0
        self.peer_addresses: Callable[[], list[str]] = list
        self.choice = CoordinatorChoice(
            lambda: leasing.address, lambda: self.peer_addresses()
        )
        self.withdraw_at = 0.0
        leasing.pooling = self

    # Which services are pooled

    def is_pooled(self, service: str) -> bool:
        """Return whether a new request to a service takes a slot from its coordinator.

        It does where slots are scarce, or where servers state how fast they are: the
        coordinator knows that from each response, and a node a second later. Brittle
        servers have one coordinator at all times.
        """
        if not self.may_pool(service):
            return False
        is_brittle = service in self.leasing.brittle_services.names
        if is_brittle or service in self.speeds:
            return True
        servers = self.placer.schedulers[service].servers
        slots = servers.slots_total // len(servers.servers)
        return self.scarcity.is_scarce(service, servers.mean_utilisation, slots)

    def states_speed(self, server: str) -> None:
        """Note that a server states how fast it is."""
        view = self.placer.views.get(server)
        if view is not None:
            self.speeds.add(view.service)

    def may_pool(self, service: str) -> bool:
        """Return whether the slots of a service can be leased from a coordinator."""
        pooled = self.is_enabled() and self._has_few_slots(service)
        if pooled != (service in self.pooled):
            self.pooled ^= {service}
            log_event(
                "slots_pooled", service=service, pooled=pooled, nodes=self.placer.nodes
            )
        return pooled

    def _has_few_slots(self, service: str) -> bool:
        """Return whether a plain service has fewer slots than there are nodes.

        While a rollout divides its servers, each node keeps to the shares by itself.
        """
        spec = self.placer.services.get(service)
        scheduler = self.placer.schedulers.get(service)
        if spec is None or spec.engine is not None or scheduler is None:
            return False
        if service + CANDIDATE_SUFFIX in self.placer.schedulers:
            return False
        servers = scheduler.servers
        if not servers.accepting or scheduler.throttling.throttles:
            return False
        if scheduler.resting.wait_s(self.placer.now()):
            return False
        slots = servers.slots_total
        nodes = self.placer.nodes / (END_FRACTION if service in self.pooled else 1.0)
        return slots <= MAX_POOL_SLOTS and slots < nodes

    # Asking for slots

    def acquire(self, request: PooledRequest) -> tuple[ServerView, PoolLease | None]:
        """Wait for a slot, and assign its server to the request.

        Without a coordinator that replies, the request is placed by this node's view.

        Raises
        ------
        EndiveError
            If no slot is free in time.
        """
        ticket = request.ticket
        silent = unknown = 0
        bound = ticket.version is not None or ticket.suspect
        while not bound and self.may_pool(request.service):
            lease = self.ask(
                request.service,
                priority=request.server_priority,
                organisation=request.organisation,
                due_s=request.target_left_s(),
                lease_s=request.left_s(),
                avoid=ticket.avoid,
            )
            try:
                reply = self._await(lease)
            except BaseException:
                self.release(lease)
                raise
            if reply is None:
                self.give_up(lease)
                silent += 1
            elif not lease.server:
                raise self.declined(reply)
            else:
                view = self.placer.assign(ticket, lease.server)
                if view is not None:
                    return view, lease
                self.release(lease)
                unknown += 1
            if silent == MAX_COORDINATORS or unknown == MAX_UNKNOWN_SERVERS:
                break
        self.placer.leave_pool(ticket)
        return self.placer.acquire(ticket), None

    def ask(
        self,
        service: str,
        *,
        priority: int,
        organisation: str,
        due_s: float,
        lease_s: float,
        avoid: set[str] = frozenset(),
    ) -> PoolLease:
        """Ask the service's coordinator for a slot."""
        self.sent += 1
        reply_s = min(MAX_REPLY_S, max(0.02, REPLY_FRACTION * due_s))
        coordinator = self.choice.coordinator(service)
        lease = PoolLease(
            self.sent,
            service,
            coordinator,
            self.choice.incarnation(coordinator),
            time.monotonic() + reply_s,
        )
        self.asked[lease.number] = lease
        message = PoolSlotRequest(
            lease.number,
            service,
            priority,
            organisation,
            due_s,
            min(max(lease_s, 0.1), MAX_LEASE_S),
            list(avoid),
            [number for number, to in self.returned if to == lease.coordinator],
        )
        self.leasing.send(message, lease.coordinator)
        return lease

    def _await(self, lease: PoolLease) -> PoolSlotReply | None:
        """Return the final reply, or ``None`` if the coordinator is silent."""
        while not lease.granted.ready():
            left_s = lease.reply_by - time.monotonic()
            if left_s <= 0:
                return None
            try:
                lease.granted.get(timeout=left_s)
            except gevent.Timeout:
                continue
        return lease.granted.get()

    def declined(self, reply: PoolSlotReply) -> EndiveError:
        """Return the refusal of a request that no slot is free for in time."""
        policy = self.placer.policy
        retry_after_s = max(policy.min_retry_after_s, reply.retry_after_s)
        return EndiveError(
            ErrorKind.OVERLOADED,
            "no slot of the service's servers is free in time",
            retry_after_s=min(policy.max_retry_after_s, retry_after_s),
        )

    def give_up(self, lease: PoolLease) -> None:
        """Ask another node for a while in place of one that has not replied."""
        self.release(lease)
        self.choice.skip(lease.coordinator, lease.incarnation)
        self.replies["pool_none"] += 1
        log_event("pool_not_answered", service=lease.service, peer=lease.coordinator)

    def release(self, lease: PoolLease | None) -> None:
        """Return a lease, or end a request for one."""
        if lease is None:
            return
        self.asked.pop(lease.number, None)
        self.returned.append((lease.number, lease.coordinator))
        message = PoolSlotReturn(
            lease.number,
            lease.service,
            lease.server,
            int(lease.outcome),
            lease.load,
            lease.slowdown,
        )
        self.leasing.send(message, lease.coordinator)

    # Coordinating

    def update(self, now: float) -> None:
        """End what has waited too long, and the leases of nodes that are gone."""
        if not self.coordinator.pools:
            return
        self.coordinator.update(now)
        if now >= self.withdraw_at:
            self.withdraw_at = now + WITHDRAW_INTERVAL_S
            live = {self.leasing.address, *self.leasing.peer_addresses()}
            self.coordinator.withdraw(live, now)

    # Messages

    def receive(
        self, message: PoolSlotRequest | PoolSlotReply | PoolSlotReturn, address: str
    ) -> None:
        """Handle another node's message, or one of this node to itself."""
        if isinstance(message, PoolSlotReply):
            self._handle_reply(message, address)
        elif isinstance(message, PoolSlotReturn):
            self.coordinator.handle_return(message, address)
        else:
            nodes = len(self.peer_addresses()) + 1
            self.coordinator.handle_request(message, address, nodes)

    def _handle_reply(self, reply: PoolSlotReply, address: str) -> None:
        lease = self.asked.get(reply.number)
        if lease is None:
            if reply.server:
                returned = PoolSlotReturn(reply.number, reply.service, reply.server)
                self.leasing.send(returned, address)
            return
        if not reply.server and reply.retry_after_s < 0:
            lease.reply_by = time.monotonic() + reply.wait_s + MAX_REPLY_S
            self.replies["pool_queued"] += 1
            return
        del self.asked[reply.number]
        lease.server = reply.server
        self.replies["pool_granted" if reply.server else "pool_declined"] += 1
        lease.granted.set(reply)
