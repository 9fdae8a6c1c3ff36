"""Fetches of cached prompt parts: which servers are sources, and what comes of it."""

import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import gevent
from endive_core.calls import Ticket
from endive_core.prefix_fetch import FetchPlanner
from endive_core.routing import Route, Service
from endive_core.scheduler import Scheduler
from endive_core.source_trust import MAX_PAUSE_S
from endive_core.transfers import ByteBudget, FetchSource, TransferCosts
from endive_node.logs import log_event

from endive_gateway.exceptions import FetchOverdueError
from endive_gateway.interfaces import ServerEntry, ServerState
from endive_gateway.servers import KnownServer, ServerRegistry

NEWS_AGE_S = 0.7
"""Time that may pass until this node reads a server's entry, seconds. A server under
notice is named until its stated end less this time."""

DRAINING_SOURCE_S = 1.0
"""Time for which a server that leaves without a stated end is named, seconds: its last
requests take at least as long."""

MAX_START_AGE_S = 30 * 86_400.0
"""Largest age that a server's stated start may give it, seconds. Starts that are not
times, as in installations that count them, give a larger one."""


MAX_REPORTS = 8
"""Sources in one state message, those paused for longest; about 120 bytes."""

SourceReport = tuple[str, int, float]
"""A server, its incarnation, and the time for which it isn't to be named, seconds."""


class FetchingRequest(Protocol):
    """The state of a request that decides on the time-out of its fetch."""

    context: Any
    route: Route
    service: str
    ticket: Ticket
    max_attempts: int
    now: float


class FetchTimer:
    """Raises FetchOverdueError in the greenlet that started it once a fetch hangs.

    It doesn't if the retry budget is used up by then: the request would be lost.
    """

    def __init__(self, request: FetchingRequest) -> None:
        self.request = request
        self.greenlet = gevent.getcurrent()
        left_s = max(0.0, request.ticket.fetch_resend_at - request.now)
        self.timer = gevent.get_hub().loop.timer(left_s)
        self.timer.start(self._expire)

    def _expire(self) -> None:
        request, context = self.request, self.request.context
        budget = context.retry_budget(request.service)
        if budget.has_retry(request.now, nodes=context.nodes):
            self.greenlet.throw(FetchOverdueError())

    def close(self) -> None:
        """Stop the timer."""
        self.timer.stop()
        self.timer.close()


class PrefixFetching:
    """The fetch planners of all services, and the servers that they may name.

    Attributes
    ----------
    first_seen : dict of (str, int) to float
        When this node first knew a server's incarnation, or when that started, seconds
        on the monotonic clock.
    ends_at : dict of (str, int) to float
        When an incarnation that leaves ends, on that clock.
    is_silent : callable
        Returns whether the server with an id answers nobody.
    outcomes : Counter
        Fetches by what became of them: ``asked``, ``late`` and ``failed``.
    """

    def __init__(self, registry: ServerRegistry) -> None:
        self.registry = registry
        self.outcomes: Counter[str] = Counter()
        self.is_silent: Callable[[str], bool] = lambda server: False
        self.total_bytes_per_s = float("inf")
        self.nodes = 1
        self.budget = ByteBudget()
        self.planners: dict[str, FetchPlanner] = {}
        self.first_seen: dict[tuple[str, int], float] = {}
        self.ends_at: dict[tuple[str, int], float] = {}
        self.has_listed = False

    def set_total(self, bytes_per_s: float) -> None:
        """Set the bound on the bytes that all nodes may fetch, per second."""
        self.total_bytes_per_s = bytes_per_s
        self.budget.set_rate(bytes_per_s / self.nodes)

    def set_nodes(self, nodes: int) -> None:
        """Set the number of live nodes, this one included."""
        self.nodes = max(1, nodes)
        self.set_total(self.total_bytes_per_s)

    # Servers

    def refresh(self, key: str, service: Service, scheduler: Scheduler) -> None:
        """Enable fetches for a service if its servers make them; set its sources.

        Servers of a version under rollout fetch nothing: it is judged by its own work.

        Parameters
        ----------
        key : str
            Key of the scheduler; another one than the service's name for the servers
            of a version under rollout.
        """
        engine, name = service.engine, service.name
        if engine is None or not engine.can_fetch or key != name:
            scheduler.placement.fetching = None
            self.planners.pop(key, None)
            return
        costs = TransferCosts(
            engine.kv_bytes_per_token,
            engine.link_bytes_per_s,
            engine.kv_capacity_tokens,
        )
        planner = scheduler.placement.fetching
        if planner is None:
            planner = FetchPlanner(
                costs,
                scheduler.servers,
                self.budget,
                ring_points=scheduler.policy.ring_points,
                ring_depths=scheduler.policy.affinity_candidates,
            )
            planner.on_distrust = self._log_distrust
            planner.is_silent = lambda server: self.is_silent(server)
            scheduler.placement.fetching = self.planners[name] = planner
        planner.costs = costs
        now = time.monotonic()
        planner.set_sources(self._sources(name, now), now)

    def settle(self) -> None:
        """Forget servers that are gone, after all services have been refreshed."""
        present = {
            (known.entry.id, known.entry.incarnation)
            for known in self.registry.servers.values()
        }
        for times in (self.first_seen, self.ends_at):
            for gone in times.keys() - present:
                del times[gone]
        self.has_listed |= self.registry.is_loaded

    def _sources(self, service: str, now: float) -> dict[str, FetchSource]:
        """Return the servers of a service that may be named, those that leave included.

        Of several at one address only the one that started last is there.
        """
        by_address: dict[str, KnownServer] = {}
        for known in self.registry.servers.values():
            other = by_address.get(known.entry.address)
            if other is None or other.entry.incarnation < known.entry.incarnation:
                by_address[known.entry.address] = known
        sources = {}
        for known in by_address.values():
            entry = known.entry
            if entry.service != service or known.contradicted or known.drop_at:
                continue
            sources[entry.id] = FetchSource(
                entry.id,
                entry.address,
                entry.zone,
                entry.incarnation,
                self._since(entry, now),
                self._until(known, now),
                entry.software_version_label,
            )
        return sources

    def _since(self, entry: ServerEntry, now: float) -> float:
        """Return since when a server has been there, seconds on the monotonic clock."""
        key = (entry.id, entry.incarnation)
        if key not in self.first_seen:
            age_s = time.time() - entry.incarnation / 1000
            if 0 <= age_s < MAX_START_AGE_S:
                self.first_seen[key] = now - age_s
            else:
                self.first_seen[key] = now if self.has_listed else float("-inf")
        return self.first_seen[key]

    def _until(self, known: KnownServer, now: float) -> float:
        """Return until when a server surely stays, seconds on the monotonic clock."""
        entry = known.entry
        key = (entry.id, entry.incarnation)
        if key not in self.ends_at:
            if entry.leaves_in_s is not None:
                self.ends_at[key] = now + entry.leaves_in_s - NEWS_AGE_S
            elif entry.state is ServerState.LEAVING or known.departure is not None:
                self.ends_at[key] = now + DRAINING_SOURCE_S
        return self.ends_at.get(key, float("inf"))

    # Requests

    def source_address(self, ticket: Ticket) -> str:
        """Return the address that a ticket's request names; empty for none."""
        return ticket.fetch.source.address if ticket.fetch else ""

    def sent(self, request: FetchingRequest) -> FetchTimer | None:
        """Count and log the fetch of a request that is sent to its server, if any.

        Returns
        -------
        FetchTimer or None
            A started timer that ends the attempt if its first event doesn't come and
            the request may then be sent to another server.
        """
        ticket = request.ticket
        fetch = ticket.fetch
        if fetch is None:
            return None
        self.outcomes["asked"] += 1
        log_event(
            "prefix_fetch",
            request=ticket.call.request_id,
            server=ticket.server,
            source=fetch.source.id,
            tokens=fetch.tokens,
            known=fetch.end > 0,
            ms=round(fetch.transfer_s * 1000, 1),
        )
        if not request.route.retryable or ticket.attempt >= request.max_attempts:
            return None
        return FetchTimer(request)

    def _log_distrust(self, ticket: Ticket, outcome: str, delay_s: float) -> None:
        self.outcomes[outcome] += 1
        planner = self.planners.get(ticket.server_load.view.service)
        source = ticket.fetch.source.id
        record = planner.trust.sources.get(source) if planner else None
        pause_s = record.paused_until - time.monotonic() if record else 0.0
        log_event(
            "fetch_source_paused",
            source=source,
            request=ticket.call.request_id,
            server=ticket.server,
            cause=outcome,
            late_ms=round(delay_s * 1000),
            pause_s=round(max(0.0, pause_s), 3),
        )

    # Exchange with other nodes

    def next_reports(self) -> list[SourceReport]:
        """Return the sources that this node's own requests forbid, for a message."""
        now = time.monotonic()
        found = [
            (source, planner.sources[source].incarnation, left_s)
            for planner in self.planners.values()
            for source in planner.trust.sources.keys() & planner.sources.keys()
            if (left_s := planner.trust.left_s(source, now)) > 0
        ]
        found.sort(key=lambda report: report[2], reverse=True)
        return found[:MAX_REPORTS]

    def receive(self, node: str, reports: Iterable[SourceReport]) -> None:
        """Record which sources another node doesn't name."""
        now = time.monotonic()
        for server, incarnation, left_s in reports:
            for planner in self.planners.values():
                source = planner.sources.get(server)
                if source is not None and source.incarnation == incarnation:
                    until = now + min(left_s, MAX_PAUSE_S)
                    planner.trust.report(server, node, until)

    def fetches(self) -> int:
        """Return the fetches asked for, of all services."""
        return sum(planner.fetches for planner in self.planners.values())

    def fetched_tokens(self) -> int:
        """Return the tokens that these fetches were to copy."""
        return sum(planner.fetched_tokens for planner in self.planners.values())

    def paused_sources(self) -> int:
        """Return the number of servers that aren't named now since they delayed."""
        now = time.monotonic()
        return sum(len(p.trust.paused(now)) for p in self.planners.values())
