"""What an organisation spends, told at once to the node that adds it up.

It goes by UDP at a port of its own, beside the tellings: a request must not wait for
them, nor they for it. :mod:`endive_core.counting` decides who adds up and when the
others are told; what is lost here, the tellings make good for.
"""

import time
from collections import Counter
from collections.abc import Callable

import gevent
import msgspec
from endive_core.counting import (
    ASK_AGAIN_S,
    ASK_S,
    ASKING_NODES,
    MOST_ASKED,
    UNASKED_S,
    SpendingCount,
    counting_node,
    may_spend_unasked,
)
from endive_core.routing import OrganisationTerms
from endive_core.sharing import Spender
from endive_node.logs import log_event
from gevent.event import AsyncResult

from endive_gateway.context import Context
from endive_gateway.datagrams import DatagramPort

MAX_ENTRIES = 20
"""Nodes' spending in one datagram, so that it stays within one frame of 1,500 bytes."""


class NodeSpending(msgspec.Struct, array_like=True):
    """What one node has spent of one organisation's limit since it started.

    Attributes
    ----------
    address : str
        The node that spent it.
    tellings : int
        How often that node had told all of its spending by then.
    age_s : float
        Seconds since that node started.
    """

    address: str
    incarnation: int
    tellings: int
    age_s: float
    organisation: str
    units: float

    @property
    def spender(self) -> Spender:
        """The node as the limits know it."""
        return Spender(self.address, self.incarnation, self.tellings, self.age_s)


class SpendingReport(msgspec.Struct, array_like=True, tag="notes"):
    """What some nodes have spent."""

    entries: list[NodeSpending]


class SpendRequest(msgspec.Struct, array_like=True, tag="ask"):
    """A node's request to spend; its total holds what it asks for.

    Attributes
    ----------
    number : int
        Names the request in its answer.
    """

    number: int
    total: NodeSpending


class SpendReply(msgspec.Struct, array_like=True, tag="grant"):
    """The answer to one request to spend; 0 seconds to wait let it."""

    number: int
    wait_s: float


DECODER = msgspec.msgpack.Decoder(SpendingReport | SpendRequest | SpendReply)


class SpendingExchange:
    """Single requests' spending: noted to others, asked for, and passed on.

    Parameters
    ----------
    others : callable
        Returns the addresses of the other nodes that are believed to be there.
    tellings : callable
        Returns how often this node has told all of its spending.
    """

    def __init__(
        self,
        context: Context,
        peer_addresses: Callable[[], list[str]],
        tellings: Callable[[], int],
    ) -> None:
        self.context = context
        self.peer_addresses = peer_addresses
        self.tellings = tellings
        self.address = context.settings.place.address
        self.count = SpendingCount()
        self.counting_cache: dict[str, tuple[list[str], str]] = {}
        self.requests_sent = 0
        self.requested_units: Counter[str] = Counter()
        self.pending_replies: dict[int, AsyncResult] = {}
        self.skipped_until: dict[str, float] = {}
        self.datagrams = DatagramPort("spending", DECODER, self.handle_message)

    def start(self, port: int) -> None:
        """Begin to receive, and to hear of this node's own spending."""
        self.datagrams.start(self.address, port)
        self.context.take_units = self.try_spend

    def stop(self) -> None:
        """Stop receiving and close the port."""
        self.datagrams.stop()

    def try_spend(self, terms: OrganisationTerms, units: float) -> float:
        """Return 0 and spend `units` if a request may come, else the seconds to wait.

        See :meth:`endive_core.sharing.SharedLimits.wait_s`. Among many nodes, what is
        more than this node's part of the rest is asked for.
        """
        limits = self.context.limits
        for _ in range(MOST_ASKED):
            now = time.monotonic()
            left, _ = limits.left(terms.name, now, rate=terms.rate, burst=terms.burst)
            counter = self._counting_node(terms.name)
            if counter == self.address or not self._must_request(units, left):
                return self._spend_locally(terms, units, now)
            wait_s = self._request(counter, terms.name, units)
            if wait_s is not None:
                return wait_s
        return ASK_AGAIN_S

    def _must_request(self, units: float, left: float) -> bool:
        nodes = len(self.context.limits.peers) + 1
        if nodes <= ASKING_NODES or left <= 0:
            return False
        return not may_spend_unasked(units, left=left, nodes=nodes)

    def _spend_locally(
        self, terms: OrganisationTerms, units: float, now: float
    ) -> float:
        wait_s = self.context.limits.wait_s(
            terms.name, units, now, rate=terms.rate, burst=terms.burst
        )
        if wait_s <= 0:
            self.report_spent(terms.name, units)
        return wait_s

    def _request(self, counter: str, organisation: str, units: float) -> float | None:
        """Spend if the node that adds up lets it; return its answer, or ``None``.

        A node that was killed or hangs would be asked by each request in vain until it
        is no longer listed, up to three seconds, and the organisation's callers would
        be refused.
        """
        self.requests_sent += 1
        number, reply = self.requests_sent, AsyncResult()
        self.pending_replies[number] = reply
        self.requested_units[organisation] += units
        try:
            total = self._own_entry(organisation, self.requested_units[organisation])
            self._send(SpendRequest(number, total), [counter])
            wait_s = reply.get(timeout=ASK_S)
        except gevent.Timeout:
            self._skip_node(counter)
            log_event("limit_not_answered", peer=counter, organisation=organisation)
            return None
        finally:
            del self.pending_replies[number]
            self.requested_units[organisation] -= units
        if wait_s <= 0:
            self.context.limits.spend(organisation, units)
        return wait_s

    def _skip_node(self, counter: str) -> None:
        """Let another node add up for a while."""
        now = time.monotonic()
        self.skipped_until = {n: t for n, t in self.skipped_until.items() if t > now}
        self.skipped_until[counter] = now + UNASKED_S

    def handle_request(self, request: SpendRequest) -> None:
        """Let another node spend, or say when it may."""
        total = request.total
        terms = self.context.terms(total.organisation)
        if terms is None or total.address == self.address:
            return
        known = self.context.limits.peers.get(total.address)
        before = known.spent.get(total.organisation, 0.0) if known else 0.0
        wait_s = self.context.limits.grant(
            total.spender,
            total.organisation,
            total.units,
            time.monotonic(),
            rate=terms.rate,
            burst=terms.burst,
        )
        if wait_s is None:
            return
        self._send(SpendReply(request.number, wait_s), [total.address])
        if wait_s <= 0:
            self._count(total.organisation, total.address, total.units - before)

    def report_spent(self, organisation: str, units: float) -> None:
        """Note that this node has spent `units` more of a limit."""
        counter = self._counting_node(organisation)
        if counter == self.address:
            self._count(organisation, self.address, units)
        else:
            self._send(SpendingReport([self._own_entry(organisation)]), [counter])

    def receive_report(self, entries: list[NodeSpending]) -> None:
        """Take over what another node notes."""
        limits = self.context.limits
        now = time.monotonic()
        for entry in entries:
            if entry.address == self.address:
                continue
            new = limits.note(entry.spender, entry.organisation, entry.units, now)
            counter = self._counting_node(entry.organisation)
            if new > 0 and counter == self.address:
                self._count(entry.organisation, entry.address, new)

    def _counting_node(self, organisation: str) -> str:
        """Return who adds up; a hash a node is computed only when the nodes change."""
        now = time.monotonic()
        candidates = [
            n for n in self.peer_addresses() if self.skipped_until.get(n, 0.0) <= now
        ]
        nodes = [self.address, *candidates]
        known, counter = self.counting_cache.get(organisation, (None, ""))
        if known != nodes:
            counter = counting_node(organisation, nodes)
            self.counting_cache[organisation] = nodes, counter
        return counter

    def _count(self, organisation: str, address: str, units: float) -> None:
        """Add up, and tell all others if it is time to."""
        self.count.add(organisation, address, units)
        terms = self.context.terms(organisation)
        if terms is None:
            return
        left, most = self.context.limits.left(
            organisation, time.monotonic(), rate=terms.rate, burst=terms.burst
        )
        due = self.count.take_due(organisation, left=left, most=most)
        found = [self._entry_of(organisation, spender) for spender in due]
        entries = [entry for entry in found if entry is not None]
        addresses = self.peer_addresses()
        for first in range(0, len(entries), MAX_ENTRIES):
            self._send(SpendingReport(entries[first : first + MAX_ENTRIES]), addresses)

    def _entry_of(self, organisation: str, address: str) -> NodeSpending | None:
        """Return what is to be told of a node; nothing if it left or started anew."""
        if address == self.address:
            return self._own_entry(organisation)
        peer = self.context.limits.peers.get(address)
        if peer is None or organisation not in peer.noted:
            return None
        tellings, units = peer.noted[organisation]
        age_s = time.monotonic() - peer.born_at
        return NodeSpending(
            address, peer.incarnation, tellings, age_s, organisation, units
        )

    def _own_entry(self, organisation: str, requested: float = 0.0) -> NodeSpending:
        units = self.context.limits.tell().get(organisation, 0.0) + requested
        return NodeSpending(
            self.address,
            self.context.incarnation,
            self.tellings(),
            time.monotonic() - self.context.started_at,
            organisation,
            units,
        )

    def _send(
        self, message: SpendingReport | SpendRequest | SpendReply, addresses: list[str]
    ) -> None:
        self.datagrams.send(message, addresses)

    def handle_message(
        self, message: SpendingReport | SpendRequest | SpendReply, _address: str
    ) -> None:
        """Take over what another node sent."""
        match message:
            case SpendingReport(entries):
                self.receive_report(entries)
            case SpendRequest():
                self.handle_request(message)
            case SpendReply(number, wait_s):
                if number in self.pending_replies:
                    self.pending_replies[number].set(wait_s)
