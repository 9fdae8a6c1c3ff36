"""Leases slots of brittle servers from the nodes that coordinate them.

For each request to a brittle server two datagrams are exchanged with one other node
before it, and two are sent there after it, however many nodes there are. All nodes with
the same view of the cluster choose the same coordinator for a server, by hashing.
"""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import gevent
from endive_core.messages import ServerView
from endive_core.slot_leases import LeaseKey, ServerSlots
from endive_node.logs import log_event
from gevent.event import AsyncResult

from endive_gateway.brittle_services import BrittleServices
from endive_gateway.coordinators import CoordinatorChoice
from endive_gateway.datagrams import DatagramPort
from endive_gateway.exceptions import SlotDeclinedError
from endive_gateway.placing import Placer, service_of_key
from endive_gateway.slot_messages import (
    DECODER,
    LoadReport,
    PoolSlotReply,
    PoolSlotRequest,
    PoolSlotReturn,
    SlotMessage,
    SlotReply,
    SlotRequest,
    SlotReturn,
)

REPLY_MARGIN_S = 0.1
"""Time for the coordinator's reply beyond the wait that is asked for, seconds."""

MAX_LEASE_S = 60.0
"""Longest time for which a slot is leased, seconds, should its return be lost."""

UPDATE_INTERVAL_S = 0.02
"""Time between two checks for requests that have waited too long, seconds."""

WITHDRAW_INTERVAL_S = 0.5
"""Time between two checks for leases of nodes that are gone, seconds."""


@dataclass(eq=False)
class SlotLease:
    """A lease that was asked for.

    Attributes
    ----------
    number : int
        This node's number for it.
    coordinator : str
        IP address of the node that leases it.
    incarnation : int
        The start of that node that was known when it was asked.
    granted : AsyncResult
        Whether it was granted, once the coordinator has replied.
    """

    number: int
    server: str
    coordinator: str
    incarnation: int
    granted: AsyncResult = field(default_factory=AsyncResult)


class PoolMessages(Protocol):
    """Handles the messages about slots of whole services."""

    def receive(
        self, message: PoolSlotRequest | PoolSlotReply | PoolSlotReturn, address: str
    ) -> None:
        """Handle another node's message, or one of this node to itself."""

    def update(self, now: float) -> None:
        """End what has waited too long, and the leases of nodes that are gone."""


class SlotLeasing:
    """Asks for leases, and coordinates those of some servers.

    Attributes
    ----------
    coordinated : dict of str to ServerSlots
        By server, the leases that this node coordinates.
    asked : dict of int to SlotLease
        Leases without a reply, by number.
    choice : CoordinatorChoice
        The node that coordinates each server.
    pooling : PoolMessages or None
        Leases slots of whole services, by the same port.
    replies : Counter
        Replies that this node got, by kind.
    peer_addresses : callable
        Returns the addresses of the other nodes that are presumed to be live.
    """

    def __init__(
        self,
        address: str,
        placer: Placer,
        brittle_services: BrittleServices,
        replies: Counter[str],
    ) -> None:
        self.address = address
        self.placer = placer
        self.brittle_services = brittle_services
        self.coordinated: dict[str, ServerSlots] = {}
        self.asked: dict[int, SlotLease] = {}
        self.sent = 0
        self.withdraw_at = 0.0
        self.replies = replies
        self.peer_addresses: Callable[[], list[str]] = list
        self.choice = CoordinatorChoice(
            lambda: self.address, lambda: self.peer_addresses()
        )
        self.pooling: PoolMessages | None = None
        self.datagrams = DatagramPort("slots", DECODER, self.receive)

    # Asking for leases

    def acquire(
        self, view: ServerView, *, priority: int, wait_s: float, lease_s: float
    ) -> SlotLease | None:
        """Wait for a slot of a server, if it is brittle.

        Raises
        ------
        SlotDeclinedError
            If none is leased in time.
        """
        lease = self.ask(view, priority=priority, wait_s=wait_s, lease_s=lease_s)
        if lease is None:
            return None
        try:
            granted = lease.granted.get(timeout=wait_s + REPLY_MARGIN_S)
        except gevent.Timeout:
            self.give_up(lease)
            raise SlotDeclinedError("the server's coordinator did not reply") from None
        except BaseException:
            self._abandon(lease)
            raise
        self.replies["granted" if granted else "declined"] += 1
        if not granted:
            raise SlotDeclinedError("all of the server's slots are leased")
        return lease

    def give_up(self, lease: SlotLease) -> None:
        """Ask another node for a while in place of one that has not replied."""
        self._abandon(lease)
        self.choice.skip(lease.coordinator, lease.incarnation)
        self.replies["none"] += 1
        log_event("slot_not_answered", server=lease.server, peer=lease.coordinator)

    def _abandon(self, lease: SlotLease) -> None:
        """Return a lease if it has been granted, or else when it will be."""
        self.asked.pop(lease.number, None)
        if lease.granted.ready() and lease.granted.get():
            self.release(lease)

    def ask(
        self, view: ServerView, *, priority: int, wait_s: float, lease_s: float
    ) -> SlotLease | None:
        """Ask for a slot of a server; return ``None`` if it is not brittle."""
        if service_of_key(view.service) not in self.brittle_services.names:
            return None
        self.sent += 1
        coordinator = self._coordinator(view.id)
        incarnation = self.choice.incarnation(coordinator)
        lease = SlotLease(self.sent, view.id, coordinator, incarnation)
        self.asked[lease.number] = lease
        lease_s = min(lease_s, MAX_LEASE_S)
        request = SlotRequest(lease.number, view.id, priority, wait_s, lease_s)
        self.send(request, lease.coordinator)
        return lease

    def release(self, lease: SlotLease | None) -> None:
        """Return a lease."""
        if lease is not None:
            self.send(SlotReturn(lease.number, lease.server), lease.coordinator)

    def report(self, lease: SlotLease | None, load: int) -> None:
        """Pass on the load that a server has stated with its response."""
        if lease is not None:
            self.send(LoadReport(lease.server, load), lease.coordinator)

    def _coordinator(self, server: str) -> str:
        """Return the node that leases the slots of a server."""
        return self.choice.coordinator(server)

    # Messages

    def send(self, message: SlotMessage, node: str) -> None:
        """Send a message to the node with an IP address, which may be this one."""
        if node == self.address:
            self.receive(message, node)
        else:
            self.datagrams.send(message, [node])

    def receive(self, message: SlotMessage, address: str) -> None:
        """Handle another node's message, or one of this node to itself."""
        if isinstance(message, PoolSlotRequest | PoolSlotReply | PoolSlotReturn):
            if self.pooling is not None:
                self.pooling.receive(message, address)
        elif isinstance(message, SlotReply):
            self._handle_reply(message, address)
        elif isinstance(message, SlotReturn):
            slots = self.coordinated.get(message.server)
            if slots is not None:
                slots.release((address, message.number), time.monotonic())
        elif isinstance(message, LoadReport):
            slots = self.coordinated.get(message.server)
            if slots is not None:
                slots.report(message.load, time.monotonic())
        else:
            self._handle_request(message, address)

    def _handle_reply(self, reply: SlotReply, address: str) -> None:
        lease = self.asked.pop(reply.number, None)
        if lease is not None:
            lease.granted.set(reply.granted)
        elif reply.granted:
            self.send(SlotReturn(reply.number, reply.server), address)

    # Coordinating

    def _handle_request(self, request: SlotRequest, address: str) -> None:
        view = self.placer.views.get(request.server)
        if view is None:
            self.send(SlotReply(request.number, request.server, False), address)
            return
        slots = self.coordinated.get(request.server) or self._coordinate(view)
        slots.slots = view.max_concurrent
        slots.request(
            (address, request.number),
            request.priority,
            request.wait_s,
            request.lease_s,
            time.monotonic(),
        )

    def _coordinate(self, view: ServerView) -> ServerSlots:
        """Begin to coordinate a server's leases."""

        def reply(key: LeaseKey, granted: bool) -> None:
            node, number = key
            self.send(SlotReply(number, view.id, granted), node)

        slots = self.coordinated[view.id] = ServerSlots(view.max_concurrent, reply)
        load = self.placer.known_load(view.id)
        slots.report(load, time.monotonic())
        nodes = len(self.peer_addresses()) + 1
        if nodes > 1:
            slots.take_over(time.monotonic())
        log_event("slot_coordinator", server=view.id, load=load, nodes=nodes)
        return slots

    def run(self) -> None:
        """Decline requests that have waited too long, and end lost leases.

        The leases of a node that is gone end too.
        """
        while True:
            gevent.sleep(UPDATE_INTERVAL_S)
            self.update()

    def update(self) -> None:
        """See :meth:`run`."""
        now = time.monotonic()
        for server, slots in list(self.coordinated.items()):
            slots.update(now)
            if slots.is_idle and not self._is_brittle(server):
                del self.coordinated[server]
        if self.pooling is not None:
            self.pooling.update(now)
        if self.coordinated and now >= self.withdraw_at:
            self.withdraw_at = now + WITHDRAW_INTERVAL_S
            live = {self.address, *self.peer_addresses()}
            for slots in self.coordinated.values():
                slots.withdraw(live, now)

    def _is_brittle(self, server: str) -> bool:
        view = self.placer.views.get(server)
        if view is None:
            return False
        return service_of_key(view.service) in self.brittle_services.names

    def leased(self) -> int:
        """Return how many slots this node has leased to requests."""
        return sum(len(slots.leases) for slots in self.coordinated.values())
