"""Chooses a server from which another one fetches cached parts of a prompt.

A copy of a part's KV cache takes a small part of the time of its prefill. A request
that is placed at a server without a shared part of its prompt therefore names another
server that presumably has it. Nodes exchange nothing for this: a node knows which
servers answered its own requests, and to which server a part hashes, where the requests
of all nodes go. A wrong belief costs the set-up of a transfer that copies nothing, or a
prefill that a fetch would have saved.
"""

from collections.abc import Callable, Iterable, Mapping

from endive_core.calls import Call, Ticket
from endive_core.part_holders import PartHolders
from endive_core.ring import HashRing
from endive_core.servers import ServerLoad, ServerSet
from endive_core.source_trust import SourceTrust
from endive_core.transfers import (
    ByteBudget,
    Fetch,
    FetchSource,
    Offer,
    TransferCosts,
)

COST_SHARE = 0.3
"""Cost of a fetch over that of the prefill of the same tokens."""

MIN_GAIN_SHARE = 0.01
"""Least gain of a fetch, as a share of the call's target to its first token."""

MIN_SAVED_TOKENS = 512
"""Prefill tokens for which a fetch is made even if the gain in time is smaller: it
relieves the server by some 10 ms of work."""

RING_DELAY_S = 2.0
"""Time after the start or loss of a server after which the servers to which parts hash
since then are taken to hold them, seconds: by then the requests of all nodes go
there."""

OVERDUE_SHARE = 0.5
MIN_OVERDUE_SHARE = 0.1
"""Part of the time left until the target, after the predicted first token, in which the
first token may come before the source is suspected, and least such time as a share of
the target."""

LATE_RESEND_SHARE = 0.5
"""Part of the time budget after which a request whose fetch may hang is sent elsewhere
if it is late there too. In an overload most requests begin late without any hanging
source, and each that is sent again adds its prefill to the overload."""


class Ring:
    """A hash ring whose members are compared before it is rebuilt."""

    def __init__(self, points: int) -> None:
        self.ring = HashRing(points=points)
        self.members: set[str] = set()

    def set_members(self, members: set[str]) -> None:
        """Replace the members."""
        if members != self.members:
            added, removed = members - self.members, self.members - members
            self.ring.change_members(sorted(added), removed)
            self.members = members

    def owner(self, block: int) -> str:
        """Return the member to which a part hashes; empty if there is none."""
        return next(iter(self.ring.candidates(str(block), 1)), "")


class FetchPlanner:
    """Plans the fetches of the calls of one service at one node.

    Parameters
    ----------
    servers : ServerSet
        The servers that get calls, with their states.
    ring_points, ring_depths : int
        Points of a server on the ring, and number of longest shared prefixes whose
        hashes are followed, both as for placement.

    Attributes
    ----------
    sources : dict of str to FetchSource
        The servers that may be named, those that leave included.
    ring, old_ring : Ring
        The ring that placement has used for a while, and that of the servers which have
        been there for so long that no part stays longer: what hashes to a server that
        started after these may still be where it hashed before.
    trust : SourceTrust
        Which sources delay their requests.
    is_silent : callable
        Returns whether the server with an id answers nobody.
    on_distrust : callable
        Called when a source is paused, with the ticket, whether its first token was
        ``late`` or its attempt ``failed``, and the delay in seconds.
    fetched_tokens, fetches : int
        Totals, for metrics.
    """

    def __init__(
        self,
        costs: TransferCosts,
        servers: ServerSet,
        budget: ByteBudget,
        *,
        ring_points: int,
        ring_depths: int,
    ) -> None:
        self.costs = costs
        self.servers = servers
        self.budget = budget
        self.ring_depths = ring_depths
        self.holders = PartHolders()
        self.trust = SourceTrust()
        self.sources: dict[str, FetchSource] = {}
        self.ring, self.old_ring = Ring(ring_points), Ring(ring_points)
        self.gone_at: dict[str, float] = {}
        self.next_ring_change_at = float("-inf")
        self.is_silent: Callable[[str], bool] = lambda server: False
        self.on_distrust: Callable[[Ticket, str, float], None] = lambda *found: None
        self.fetches = 0
        self.fetched_tokens = 0

    # Sources

    def set_sources(self, sources: Mapping[str, FetchSource], now: float) -> None:
        """Replace the servers that may be named, by id."""
        if sources == self.sources:
            return
        for gone in self.ring.members - sources.keys():
            self.gone_at.setdefault(gone, now)
        for server_id, source in sources.items():
            before = self.sources.get(server_id)
            if before is not None and before.incarnation != source.incarnation:
                self.trust.sources.pop(server_id, None)
                self.trust.reports.pop(server_id, None)
            self.gone_at.pop(server_id, None)
        self.sources = dict(sources)
        self.trust.keep(set(sources))
        self._update_rings(now)

    @property
    def prefill_tokens_per_s(self) -> float:
        """Prefill rate of the servers, which they all share."""
        for server in self.servers.servers.values():
            return server.view.prefill_tokens_per_s
        return 1.0

    def _update_rings(self, now: float) -> None:
        hold_s = self.costs.hold_s(self.prefill_tokens_per_s)
        ages = {source.id: now - source.since for source in self.sources.values()}
        lost = {name: now - at for name, at in self.gone_at.items()}
        for name, age_s in lost.items():
            if age_s >= RING_DELAY_S:
                del self.gone_at[name]
        recent = {name for name, age_s in lost.items() if age_s < RING_DELAY_S}
        self.ring.set_members(
            recent | {name for name, age_s in ages.items() if age_s >= RING_DELAY_S}
        )
        self.old_ring.set_members(
            {name for name, age_s in ages.items() if age_s >= hold_s}
        )
        waits = [RING_DELAY_S - age_s for age_s in (*ages.values(), *lost.values())]
        waits += [hold_s - age_s for age_s in ages.values()]
        self.next_ring_change_at = now + min(
            (wait_s for wait_s in waits if wait_s > 0), default=float("inf")
        )

    # Decisions

    def offers(self, ticket: Ticket, now: float) -> list[Offer]:
        """Return the servers that presumably hold shared parts of a ticket's prompt.

        It includes those that may not be sources now, since they need no fetch. A call
        that may have crashed a server fetches nothing: the cause may be a part that its
        server must compute for this to show.
        """
        call = ticket.call
        if (
            not ticket.may_fetch
            or ticket.suspect
            or not call.block_ends
            or len(call.blocks) < 2
        ):
            return []
        if now >= self.next_ring_change_at:
            self._update_rings(now)
        since = now - self.costs.hold_s(self.prefill_tokens_per_s)
        shared = call.blocks[:-1]
        found: dict[str, Offer] = {}
        seen_depth = 0
        for depth in range(len(shared), 0, -1):
            for server, holding in self.holders.of(shared[depth - 1]).items():
                if max(holding.sent_at, holding.answered_at) >= since:
                    seen_depth = max(seen_depth, depth)
                source = self.sources.get(server)
                if source is None or source.incarnation != holding.incarnation:
                    continue
                if holding.answered_at >= since and server not in found:
                    found[server] = Offer(source, depth, is_known=True)
        for depth in range(len(shared), max(0, len(shared) - self.ring_depths), -1):
            for ring in (self.ring, self.old_ring):
                source = self.sources.get(ring.owner(shared[depth - 1]))
                if source is not None and source.id not in found:
                    found[source.id] = Offer(
                        source, depth, is_known=depth <= seen_depth
                    )
        return list(found.values())

    def plan(
        self, call: Call, server: ServerLoad, offers: Iterable[Offer], now: float
    ) -> Fetch | None:
        """Return the best fetch for a call at `server`, or ``None`` if none is."""
        offers = list(offers)
        if not offers or not self.budget.is_open(now):
            return None
        held = self._held_depth(call, server, offers, now)
        held_tokens = call.cached_tokens(held)
        best, best_rank = None, (False, 0.0)
        for offer in offers:
            if offer.depth <= held or not self._is_usable(offer.source, server, now):
                continue
            fetch = self._fetch(call, server, offer, held_tokens)
            gain_s = self._gain_s(fetch, server)
            rank = (offer.is_known, gain_s)
            if self._is_worth(fetch, gain_s, call, now) and rank > best_rank:
                best, best_rank = fetch, rank
        return best

    def _held_depth(
        self, call: Call, server: ServerLoad, offers: Iterable[Offer], now: float
    ) -> int:
        """Return how many shared parts `server` presumably holds itself."""
        held = max((o.depth for o in offers if o.source.id == server.id), default=0)
        since = now - self.costs.hold_s(server.view.prefill_tokens_per_s)
        source = self.sources.get(server.id)
        for depth in range(len(call.blocks) - 1, held, -1):
            holding = self.holders.of(call.blocks[depth - 1]).get(server.id)
            if (
                holding is not None
                and source is not None
                and holding.incarnation == source.incarnation
                and holding.sent_at >= since
            ):
                return depth
        return held

    def _is_usable(self, source: FetchSource, server: ServerLoad, now: float) -> bool:
        if source.id == server.id or source.address == server.view.address:
            return False
        if source.software_version != server.view.software_version:
            return False
        load = self.servers.servers.get(source.id)
        if load is not None and (load.paused or load.failures):
            return False
        if self.is_silent(source.id):
            return False
        return now < source.until and self.trust.may_name(source.id, now)

    def _fetch(
        self, call: Call, server: ServerLoad, offer: Offer, held_tokens: int
    ) -> Fetch:
        end = call.cached_tokens(offer.depth)
        tokens = end - held_tokens
        same_zone = offer.source.zone == server.view.zone
        return Fetch(
            offer.source,
            tokens,
            end if offer.is_known else 0,
            self.costs.transfer_s(tokens, same_zone=same_zone),
            tokens * self.costs.bytes_per_token,
        )

    def _gain_s(self, fetch: Fetch, server: ServerLoad) -> float:
        read_s = fetch.tokens / server.view.prefill_tokens_per_s
        delay_s = self.trust.expected_delay_s(fetch.source.id)
        return read_s - fetch.transfer_s - delay_s

    def _is_worth(self, fetch: Fetch, gain_s: float, call: Call, now: float) -> bool:
        if now + fetch.transfer_s > fetch.source.until or gain_s <= 0:
            return False
        is_large = fetch.tokens >= MIN_SAVED_TOKENS
        return is_large or gain_s > MIN_GAIN_SHARE * call.target_s

    # Outcomes

    def dispatched(
        self, ticket: Ticket, server: ServerLoad, wait_s: float, now: float
    ) -> None:
        """Record that a ticket is sent to a server where its prefill waits `wait_s`."""
        rate = server.view.prefill_tokens_per_s
        predicted_s = wait_s + ticket.uncached_tokens / rate
        fetch = ticket.fetch
        if fetch is not None:
            predicted_s += fetch.transfer_s
            self.budget.take(fetch.size)
            self.fetches += 1
            self.fetched_tokens += fetch.tokens
            left_s = ticket.accepted_at + ticket.call.target_s - now - predicted_s
            grace_s = max(
                OVERDUE_SHARE * left_s,
                MIN_OVERDUE_SHARE * ticket.call.target_s,
                self.trust.unusual_s,
            )
            ticket.fetch_due_at = now + predicted_s + grace_s
            ticket.fetch_resend_at = _resend_at(ticket, predicted_s, now)
            self.trust.begin(fetch.source.id, ticket, ticket.fetch_due_at)
        ticket.predicted_start_s = predicted_s
        self.holders.sent(
            server.id, self._incarnation(server.id), ticket.call.blocks[:-1], now
        )

    def started(self, ticket: Ticket, now: float) -> None:
        """Learn from the first token of a ticket's attempt."""
        server = ticket.server
        blocks = ticket.call.blocks[:-1]
        self.holders.answered(server, self._incarnation(server), blocks, now)
        delay_s = now - ticket.dispatched_at - ticket.predicted_start_s
        fetch = ticket.fetch
        if fetch is None:
            if not ticket.yields:
                self.trust.learn_unfetched(delay_s)
            return
        if ticket.yields:
            self.trust.end(fetch.source.id, ticket)
            return
        target_s = ticket.call.target_s
        if self.trust.started(fetch.source.id, ticket, delay_s, target_s, now):
            self.on_distrust(ticket, "late", delay_s)

    def ended(self, ticket: Ticket, now: float, *, failed: bool = False) -> None:
        """Record that a ticket's attempt ended before its first token.

        Parameters
        ----------
        failed : bool
            Whether it failed after its server may have begun to fetch.
        """
        fetch = ticket.fetch
        if fetch is None or not self.trust.awaits(fetch.source.id, ticket):
            return
        if failed or now >= ticket.fetch_due_at:
            self.trust.failed(fetch.source.id, ticket, now)
            delay_s = now - ticket.dispatched_at - ticket.predicted_start_s
            self.on_distrust(ticket, "failed", delay_s)
        else:
            self.trust.end(fetch.source.id, ticket)

    def _incarnation(self, server: str) -> int:
        source = self.sources.get(server)
        return source.incarnation if source else 0


def _resend_at(ticket: Ticket, predicted_s: float, now: float) -> float:
    """Return when a request whose fetch may hang is sent to another server.

    Parameters
    ----------
    predicted_s : float
        Predicted time from its dispatch to its first token, seconds.
    """
    call, due_at = ticket.call, ticket.fetch_due_at
    if due_at + predicted_s <= ticket.accepted_at + call.target_s:
        return due_at
    if call.deadline is None:
        return due_at + call.target_s
    return max(due_at, now + LATE_RESEND_SHARE * (call.deadline - now))
