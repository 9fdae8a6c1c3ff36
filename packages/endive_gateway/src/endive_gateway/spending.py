"""Immediate exchange of organisations' spending between gateways.

Each node reports what it spends of a limit at once to the organisation's coordinator,
one of the nodes. :mod:`endive_core.limit_coordination` decides which node that is and
when it informs the others. The messages use a UDP port of their own, so that they don't
wait for the state messages, nor those for them. The totals in the state messages make
up for lost reports.
"""

import time
from collections import Counter
from collections.abc import Callable

import gevent
from endive_core.limit_coordination import (
    COORDINATOR_BACKOFF_S,
    GRANT_RETRY_AFTER_S,
    GRANT_TIMEOUT_S,
    MAX_GRANT_ATTEMPTS,
    MAX_GRANT_REQUESTS,
    MAX_NODES_WITHOUT_GRANTS,
    UnsentSpending,
    coordinator_for,
    may_spend_without_grant,
)
from endive_core.routing import OrganisationLimits
from endive_node.logs import log_event
from gevent.event import AsyncResult, Event

from endive_gateway.context import START_WAIT_S, Context
from endive_gateway.datagrams import DatagramPort
from endive_gateway.spending_messages import (
    DECODER,
    GrantDeclined,
    GrantReply,
    GrantRequest,
    NodeSpending,
    SpendingMessage,
    SpendingReport,
    UnitsLeft,
)

UNKNOWN_FLEET_S = 10.0
"""Time after its start from which on a node that still doesn't know the list of nodes
spends as the only one, seconds. The store answers its other reads, else there would be
no servers to send a request to."""

MAX_ENTRIES = 20
"""Most entries in one datagram, so that it fits one Ethernet frame of 1,500 bytes."""


DECLINED = -1.0
"""Stands for a wait where a coordinator declined to decide."""


class SpendingExchange:
    """Reports spending, requests grants, and is the coordinator of some organisations.

    Parameters
    ----------
    peer_addresses : callable
        Returns the addresses of the other nodes that are presumed to be live.
    messages_sent : callable
        Returns the number of state messages that this node has sent.
    fleet_known : Event or None
        Set once this node knows the list of nodes; ``None`` if it needs none.

    Attributes
    ----------
    unsent_spending : SpendingCount
        As coordinator, the spending of which the other nodes have not been informed.
    coordinator_cache, successor_cache : dict
        By organisation, the nodes last considered and the one chosen among them.
    requests_sent : int
        Number of grants that this node has requested.
    requested_units : Counter
        By organisation, units for which a reply is awaited.
    pending_replies : dict
        Awaited replies by request number.
    skipped_until : dict of str to float
        By address, until when a node that didn't reply is not asked.
    decided_at : dict of str to float
        By organisation, when this node last decided on another node's request.
    """

    def __init__(
        self,
        context: Context,
        peer_addresses: Callable[[], list[str]],
        messages_sent: Callable[[], int],
        fleet_known: Event | None = None,
    ) -> None:
        self.context = context
        self.fleet_known = fleet_known
        self.peer_addresses = peer_addresses
        self.messages_sent = messages_sent
        self.address = context.settings.location.address
        self.unsent_spending = UnsentSpending()
        self.coordinator_cache: dict[str, tuple[list[str], str]] = {}
        self.successor_cache: dict[str, tuple[list[str], str]] = {}
        self.requests_sent = 0
        self.requested_units: Counter[str] = Counter()
        self.pending_replies: dict[int, AsyncResult] = {}
        self.skipped_until: dict[str, float] = {}
        self.decided_at: dict[str, float] = {}
        self.datagrams = DatagramPort("spending", DECODER, self.handle_message)

    def start(self, port: int) -> None:
        """Start receiving, and take charge of this node's own spending."""
        self.datagrams.start(self.address, port)
        self.context.take_units = self.try_spend

    def stop(self) -> None:
        """Stop receiving and close the port."""
        self.datagrams.stop()

    def try_spend(self, terms: OrganisationLimits, units: float) -> float:
        """Spend `units` and return 0 if a request is allowed, else the seconds to wait.

        See :meth:`endive_core.shared_limits.SharedLimits.wait_s`. In a large fleet a
        node has to request a grant for more than its even part of the rest.

        A node that doesn't know the others yet spends nothing: it would take the whole
        limit for its own, as would each of hundreds of nodes that start together.
        """
        if not self._await_fleet():
            log_event("limit_undecided", organisation=terms.name, reason="nodes")
            return GRANT_RETRY_AFTER_S
        limits = self.context.limits
        unanswered = 0
        for _ in range(MAX_GRANT_REQUESTS):
            now = time.monotonic()
            left, _ = limits.left(terms.name, now, rate=terms.rate, burst=terms.burst)
            coordinator = self._coordinator(terms.name)
            if coordinator == self.address or not self._needs_grant(units, left):
                return self._spend_locally(terms, units, now)
            wait_s = self._request_grant(coordinator, terms.name, units)
            if wait_s is None:
                unanswered += 1
                if unanswered == MAX_GRANT_ATTEMPTS:
                    break
            elif wait_s != DECLINED:
                return wait_s
        return GRANT_RETRY_AFTER_S

    def _knows_fleet(self) -> bool:
        if self.fleet_known is None or self.fleet_known.is_set():
            return True
        return time.monotonic() - self.context.started_at >= UNKNOWN_FLEET_S

    def _await_fleet(self) -> bool:
        """Wait until the list of nodes is known, shortly after the start only.

        Returns
        -------
        bool
            Whether this node may spend.
        """
        if self._knows_fleet():
            return True
        left_s = self.context.started_at + START_WAIT_S - time.monotonic()
        return left_s > 0 and self.fleet_known.wait(left_s)

    def _needs_grant(self, units: float, left: float) -> bool:
        nodes = len(self.context.limits.peers) + 1
        if nodes <= MAX_NODES_WITHOUT_GRANTS or left <= 0:
            return False
        return not may_spend_without_grant(units, left=left, nodes=nodes)

    def _spend_locally(
        self, terms: OrganisationLimits, units: float, now: float
    ) -> float:
        wait_s = self.context.limits.wait_s(
            terms.name, units, now, rate=terms.rate, burst=terms.burst
        )
        if wait_s <= 0:
            self.report_spent(terms.name, units)
        return wait_s

    def _request_grant(
        self, coordinator: str, organisation: str, units: float
    ) -> float | None:
        """Request a grant from the coordinator, and spend if it is given.

        A coordinator that declines or doesn't reply is replaced for a while. If each
        request waited in vain for one that was killed or hangs, the organisation's
        callers would be refused until it no longer counts as live, up to three seconds.

        Returns
        -------
        float or None
            0 if the units were spent, the seconds to wait, `DECLINED`, or ``None``
            without a reply.
        """
        self.requests_sent += 1
        number, reply = self.requests_sent, AsyncResult()
        self.pending_replies[number] = reply
        self.requested_units[organisation] += units
        try:
            total = self._own_entry(organisation, self.requested_units[organisation])
            now = time.monotonic()
            skipped = [node for node, t in self.skipped_until.items() if t > now]
            self._send(GrantRequest(number, total, skipped), [coordinator])
            wait_s = reply.get(timeout=GRANT_TIMEOUT_S)
        except gevent.Timeout:
            self._skip_node(coordinator)
            log_event("limit_not_answered", peer=coordinator, organisation=organisation)
            return None
        finally:
            del self.pending_replies[number]
            self.requested_units[organisation] -= units
        if wait_s == DECLINED:
            self._skip_node(coordinator)
            log_event("limit_declined", peer=coordinator, organisation=organisation)
        elif wait_s <= 0:
            self.context.limits.spend(organisation, units)
        return wait_s

    def _skip_node(self, coordinator: str) -> None:
        """Use another coordinator for a while."""
        now = time.monotonic()
        self.skipped_until = {n: t for n, t in self.skipped_until.items() if t > now}
        self.skipped_until[coordinator] = now + COORDINATOR_BACKOFF_S

    def grant(self, request: GrantRequest) -> None:
        """Reply to another node's request for a grant.

        It is declined if the organisation is unknown, or if what the node has spent so
        far is, or if this node doesn't know the others yet.
        """
        total = request.total
        if total.address == self.address:
            return
        terms = self.context.terms(total.organisation)
        if terms is None or not self._knows_fleet():
            self._send(GrantDeclined(request.number), [total.address])
            return
        if self._forward(request):
            return
        self._note_decision(request)
        known = self.context.limits.peers.get(total.address)
        before = known.spent.get(total.organisation, 0.0) if known else 0.0
        wait_s = self.context.limits.grant(
            total.origin,
            total.organisation,
            total.units,
            time.monotonic(),
            rate=terms.rate,
            burst=terms.burst,
        )
        if wait_s is None:
            self._send(GrantDeclined(request.number), [total.address])
            return
        self._send(GrantReply(request.number, wait_s), [total.address])
        if wait_s <= 0:
            self._inform_deciders(request, [total.address])
            self._add_unsent(total.organisation, total.address, total.units - before)

    def _inform_deciders(self, request: GrantRequest, addresses: list[str]) -> None:
        """Send what nodes have spent to those that may decide instead of this one.

        These are the node that is asked if this one is silent and, if this one was
        asked because another was, that one. They would otherwise grant again what was
        granted since the nodes' last state messages.
        """
        organisation = request.total.organisation
        peers = [n for n in self.peer_addresses() if n not in request.skipped]
        receivers = {self._coordinator(organisation)}
        if peers:
            receivers.add(self._choose(self.successor_cache, organisation, peers))
        self._send_entries(organisation, addresses, list(receivers - {self.address}))

    def _send_entries(
        self, organisation: str, addresses: list[str], receivers: list[str]
    ) -> None:
        """Send what the nodes at `addresses` have spent, as far as it is known."""
        found = [self._entry_of(organisation, address) for address in addresses]
        entries = [entry for entry in found if entry is not None]
        for first in range(0, len(entries), MAX_ENTRIES):
            self._send(SpendingReport(entries[first : first + MAX_ENTRIES]), receivers)

    def _forward(self, request: GrantRequest) -> bool:
        """Pass a request on to the coordinator that this node knows of, if any.

        While many nodes start, some have not heard of the coordinator yet and ask
        another node. If that one decided, both would grant a whole allowance.

        Returns
        -------
        bool
            Whether another node decides; it replies to the requesting node.
        """
        coordinator = self._coordinator(request.total.organisation)
        if request.forwarded or coordinator in (self.address, request.total.address):
            return False
        if coordinator in request.skipped:
            return False
        request.forwarded = True
        self._send(request, [coordinator])
        return True

    def _note_decision(self, request: GrantRequest) -> None:
        """Log when this node begins to decide for others, not each decision.

        The others that may decide are then sent all that it knows of, since it may have
        been told as one of them itself.
        """
        organisation = request.total.organisation
        now = time.monotonic()
        last = self.decided_at.get(organisation, float("-inf"))
        self.decided_at[organisation] = now
        if now - last < COORDINATOR_BACKOFF_S:
            return
        log_event(
            "limit_coordinator",
            organisation=organisation,
            live=len(self.peer_addresses()) + 1,
            known=len(self.context.limits.peers) + 1,
            own_choice=self._coordinator(organisation),
        )
        self._inform_deciders(request, list(self.context.limits.peers))

    def report_spent(self, organisation: str, units: float) -> None:
        """Report that this node has spent `units` more of a limit."""
        coordinator = self._coordinator(organisation)
        if coordinator == self.address:
            self._add_unsent(organisation, self.address, units)
        else:
            self._send(SpendingReport([self._own_entry(organisation)]), [coordinator])

    def receive_report(self, entries: list[NodeSpending]) -> None:
        """Apply another node's report; as coordinator, note what is new in it."""
        limits = self.context.limits
        now = time.monotonic()
        for entry in entries:
            if entry.address == self.address:
                continue
            new = limits.apply_update(
                entry.origin, entry.organisation, entry.units, now
            )
            coordinator = self._coordinator(entry.organisation)
            if new > 0 and coordinator == self.address:
                self._add_unsent(entry.organisation, entry.address, new)

    def _coordinator(self, organisation: str) -> str:
        """Return the address of the organisation's coordinator.

        It is cached until the nodes change, since it takes one hash for each node.
        """
        now = time.monotonic()
        candidates = [
            n for n in self.peer_addresses() if self.skipped_until.get(n, 0.0) <= now
        ]
        nodes = [self.address, *candidates]
        return self._choose(self.coordinator_cache, organisation, nodes)

    @staticmethod
    def _choose(
        cache: dict[str, tuple[list[str], str]], organisation: str, nodes: list[str]
    ) -> str:
        known, chosen = cache.get(organisation, (None, ""))
        if known != nodes:
            chosen = coordinator_for(organisation, nodes)
            cache[organisation] = nodes, chosen
        return chosen

    def _add_unsent(self, organisation: str, address: str, units: float) -> None:
        """Add spending, and inform all other nodes when that is due."""
        self.unsent_spending.add(organisation, address, units)
        terms = self.context.terms(organisation)
        if terms is None:
            return
        left, most = self.context.limits.left(
            organisation, time.monotonic(), rate=terms.rate, burst=terms.burst
        )
        if self.unsent_spending.take_due(organisation, left=left, most=most):
            self._send(UnitsLeft(organisation, left), self.peer_addresses())

    def _entry_of(self, organisation: str, address: str) -> NodeSpending | None:
        """Return a node's entry for a report; ``None`` if it left or restarted."""
        if address == self.address:
            return self._own_entry(organisation)
        peer = self.context.limits.peers.get(address)
        if peer is None or organisation not in peer.last_updates:
            return None
        messages_sent, units = peer.last_updates[organisation]
        age_s = time.monotonic() - peer.started_at
        return NodeSpending(
            address, peer.incarnation, messages_sent, age_s, organisation, units
        )

    def _own_entry(self, organisation: str, requested: float = 0.0) -> NodeSpending:
        units = self.context.limits.own_totals().get(organisation, 0.0) + requested
        return NodeSpending(
            self.address,
            self.context.incarnation,
            self.messages_sent(),
            time.monotonic() - self.context.started_at,
            organisation,
            units,
        )

    def _send(self, message: SpendingMessage, addresses: list[str]) -> None:
        self.datagrams.send(message, addresses)

    def handle_message(self, message: SpendingMessage, _address: str) -> None:
        """Handle a message from another node."""
        match message:
            case SpendingReport(entries):
                self.receive_report(entries)
            case GrantRequest():
                self.grant(message)
            case GrantReply(number, wait_s):
                self._receive_reply(number, wait_s)
            case UnitsLeft(organisation, units):
                self._learn_left(organisation, units)
            case GrantDeclined(number):
                self._receive_reply(number, DECLINED)

    def _learn_left(self, organisation: str, units: float) -> None:
        """Apply the units that are left as the coordinator counts them.

        It may have counted what this node has requested, which this node deducts itself
        when it gets the reply.
        """
        units += self.requested_units[organisation]
        self.context.limits.learn_left(organisation, units, time.monotonic())

    def _receive_reply(self, number: int, wait_s: float) -> None:
        if number in self.pending_replies:
            self.pending_replies[number].set(wait_s)
