"""What an organisation spends, told at once to the node that adds it up.

It goes by UDP at a port of its own, beside the tellings: a request must not wait for
them, nor they for it. :mod:`endive_core.limit_coordination` decides who adds up and
when the others are told; what is lost here, the tellings make good for.
"""

import time
from collections import Counter
from collections.abc import Callable

import gevent
import msgspec
from endive_core.limit_coordination import (
    COORDINATOR_BACKOFF_S,
    GRANT_RETRY_AFTER_S,
    GRANT_TIMEOUT_S,
    MAX_GRANT_ATTEMPTS,
    MAX_NODES_WITHOUT_GRANTS,
    UnsentSpending,
    coordinator_for,
    may_spend_without_grant,
)
from endive_core.routing import OrganisationLimits
from endive_core.shared_limits import SpendingOrigin
from endive_node.logs import log_event
from gevent.event import AsyncResult

from endive_gateway.context import Context
from endive_gateway.datagrams import DatagramPort

MOST_ENTRIES = 20
"""Nodes' spending in one datagram, so that it stays within one frame of 1,500 bytes."""


class Spending(msgspec.Struct, array_like=True):
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
    def spender(self) -> SpendingOrigin:
        """The node as the limits know it."""
        return SpendingOrigin(self.address, self.incarnation, self.tellings, self.age_s)


class Notes(msgspec.Struct, array_like=True, tag="notes"):
    """What some nodes have spent."""

    entries: list[Spending]


class Ask(msgspec.Struct, array_like=True, tag="ask"):
    """A node's request to spend; its total holds what it asks for.

    Attributes
    ----------
    number : int
        Names the request in its answer.
    """

    number: int
    total: Spending


class Grant(msgspec.Struct, array_like=True, tag="grant"):
    """The answer to one request to spend; 0 seconds to wait let it."""

    number: int
    wait_s: float


DECODER = msgspec.msgpack.Decoder(Notes | Ask | Grant)


class SpendingNotes:
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
        others: Callable[[], list[str]],
        tellings: Callable[[], int],
    ) -> None:
        self.context = context
        self.others = others
        self.tellings = tellings
        self.address = context.settings.location.address
        self.count = UnsentSpending()
        self.counting: dict[str, tuple[list[str], str]] = {}
        self.asked = 0
        self.asked_units: Counter[str] = Counter()
        self.answers: dict[int, AsyncResult] = {}
        self.unasked_until: dict[str, float] = {}
        self.datagrams = DatagramPort("spending", DECODER, self.take_message)

    def start(self, port: int) -> None:
        """Begin to receive, and to hear of this node's own spending."""
        self.datagrams.start(self.address, port)
        self.context.take_units = self.take

    def stop(self) -> None:
        """Stop receiving and close the port."""
        self.datagrams.stop()

    def take(self, terms: OrganisationLimits, units: float) -> float:
        """Return 0 and spend `units` if a request may come, else the seconds to wait.

        See :meth:`endive_core.shared_limits.SharedLimits.wait_s`. Among many nodes,
        what is more than this node's part of the rest is asked for.
        """
        limits = self.context.limits
        for _ in range(MAX_GRANT_ATTEMPTS):
            now = time.monotonic()
            left, _ = limits.left(terms.name, now, rate=terms.rate, burst=terms.burst)
            counting = self._counting_node(terms.name)
            if counting == self.address or not self._must_ask(units, left):
                return self._take_alone(terms, units, now)
            wait_s = self._ask(counting, terms.name, units)
            if wait_s is not None:
                return wait_s
        return GRANT_RETRY_AFTER_S

    def _must_ask(self, units: float, left: float) -> bool:
        nodes = len(self.context.limits.peers) + 1
        if nodes <= MAX_NODES_WITHOUT_GRANTS or left <= 0:
            return False
        return not may_spend_without_grant(units, left=left, nodes=nodes)

    def _take_alone(self, terms: OrganisationLimits, units: float, now: float) -> float:
        wait_s = self.context.limits.wait_s(
            terms.name, units, now, rate=terms.rate, burst=terms.burst
        )
        if wait_s <= 0:
            self.spent(terms.name, units)
        return wait_s

    def _ask(self, counting: str, organisation: str, units: float) -> float | None:
        """Spend if the node that adds up lets it; return its answer, or ``None``.

        A node that was killed or hangs would be asked by each request in vain until it
        is no longer listed, up to three seconds, and the organisation's callers would
        be refused.
        """
        self.asked += 1
        number, answer = self.asked, AsyncResult()
        self.answers[number] = answer
        self.asked_units[organisation] += units
        try:
            total = self._own(organisation, self.asked_units[organisation])
            self._send(Ask(number, total), [counting])
            wait_s = answer.get(timeout=GRANT_TIMEOUT_S)
        except gevent.Timeout:
            self._pass_over(counting)
            log_event("limit_not_answered", peer=counting, organisation=organisation)
            return None
        finally:
            del self.answers[number]
            self.asked_units[organisation] -= units
        if wait_s <= 0:
            self.context.limits.spend(organisation, units)
        return wait_s

    def _pass_over(self, counting: str) -> None:
        """Let another node add up for a while."""
        now = time.monotonic()
        self.unasked_until = {n: t for n, t in self.unasked_until.items() if t > now}
        self.unasked_until[counting] = now + COORDINATOR_BACKOFF_S

    def answer(self, ask: Ask) -> None:
        """Let another node spend, or say when it may."""
        total = ask.total
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
        self._send(Grant(ask.number, wait_s), [total.address])
        if wait_s <= 0:
            self._add(total.organisation, total.address, total.units - before)

    def spent(self, organisation: str, units: float) -> None:
        """Note that this node has spent `units` more of a limit."""
        counting = self._counting_node(organisation)
        if counting == self.address:
            self._add(organisation, self.address, units)
        else:
            self._send(Notes([self._own(organisation)]), [counting])

    def receive(self, entries: list[Spending]) -> None:
        """Take over what another node notes."""
        limits = self.context.limits
        now = time.monotonic()
        for entry in entries:
            if entry.address == self.address:
                continue
            new = limits.apply_update(
                entry.spender, entry.organisation, entry.units, now
            )
            counting = self._counting_node(entry.organisation)
            if new > 0 and counting == self.address:
                self._add(entry.organisation, entry.address, new)

    def _counting_node(self, organisation: str) -> str:
        """Return who adds up; a hash a node is computed only when the nodes change."""
        now = time.monotonic()
        asked = [n for n in self.others() if self.unasked_until.get(n, 0.0) <= now]
        nodes = [self.address, *asked]
        known, counting = self.counting.get(organisation, (None, ""))
        if known != nodes:
            counting = coordinator_for(organisation, nodes)
            self.counting[organisation] = nodes, counting
        return counting

    def _add(self, organisation: str, address: str, units: float) -> None:
        """Add up, and tell all others if it is time to."""
        self.count.add(organisation, address, units)
        terms = self.context.terms(organisation)
        if terms is None:
            return
        left, most = self.context.limits.left(
            organisation, time.monotonic(), rate=terms.rate, burst=terms.burst
        )
        due = self.count.take_due(organisation, left=left, most=most)
        found = [self._entry(organisation, spender) for spender in due]
        entries = [entry for entry in found if entry is not None]
        addresses = self.others()
        for first in range(0, len(entries), MOST_ENTRIES):
            self._send(Notes(entries[first : first + MOST_ENTRIES]), addresses)

    def _entry(self, organisation: str, address: str) -> Spending | None:
        """Return what is to be told of a node; nothing if it left or started anew."""
        if address == self.address:
            return self._own(organisation)
        peer = self.context.limits.peers.get(address)
        if peer is None or organisation not in peer.last_updates:
            return None
        tellings, units = peer.last_updates[organisation]
        age_s = time.monotonic() - peer.started_at
        return Spending(address, peer.incarnation, tellings, age_s, organisation, units)

    def _own(self, organisation: str, asked: float = 0.0) -> Spending:
        units = self.context.limits.own_totals().get(organisation, 0.0) + asked
        return Spending(
            self.address,
            self.context.incarnation,
            self.tellings(),
            time.monotonic() - self.context.started_at,
            organisation,
            units,
        )

    def _send(self, message: Notes | Ask | Grant, addresses: list[str]) -> None:
        self.datagrams.send(message, addresses)

    def take_message(self, message: Notes | Ask | Grant, _address: str) -> None:
        """Take over what another node sent."""
        match message:
            case Notes(entries):
                self.receive(entries)
            case Ask():
                self.answer(message)
            case Grant(number, wait_s):
                if number in self.answers:
                    self.answers[number].set(wait_s)
