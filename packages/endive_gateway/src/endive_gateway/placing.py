"""Admits requests and assigns their attempts to servers, by a scheduler per service."""

import random
import time
from collections import Counter
from collections.abc import Callable, Iterator, Mapping

from endive_core.backlogs import Backlogs, largest_backlogs
from endive_core.calls import Call, Retry, Ticket
from endive_core.crashes import CrashTable
from endive_core.ejection import ClusterEjection
from endive_core.exceptions import EndiveError, ErrorKind, RetryReason
from endive_core.messages import ServerView
from endive_core.part_crashes import PartTable
from endive_core.part_trials import Judgement, PartTrials, Standing
from endive_core.policy import Policy
from endive_core.prefilling import PrefillRate
from endive_core.reachability import ConnectResults, ServerCondition
from endive_core.resting import NO_RESTS, RestTimes
from endive_core.routing import RoutingTable, Service
from endive_core.scheduler import Scheduler
from endive_core.server_limits import LimitShare
from endive_core.service_types import ServiceType
from endive_node.logs import log_event
from endive_node.scheduled_requests import ScheduledRequests, refusal_error

from endive_gateway.interfaces import ServerEntry
from endive_gateway.part_exchange import format_parts
from endive_gateway.prefix_fetching import PrefixFetching
from endive_gateway.servers import ServerRegistry

INTERLEAVING_FACTOR = 1.46
"""Ratio of the time that one prompt token adds to the time to the first token, to the
engine's own time for that token. It exceeds 1 because the engine interleaves the prompt
with other requests' tokens. On three kinds of engines the times are 25.8 and 17.7, 13.3
and 9.1, and 15.8 and 10.9 microseconds."""

FAILURES_BEFORE_PAUSE = 2
"""Consecutive failures after which a server is paused. A single lost response is weak
evidence against a server; a second consecutive one is likely a crash."""

KEY_SEPARATOR = "\x1f"
"""Ends the service's name in the key of a further scheduler of a service."""

MAX_LOGGED_CRASHES = 5
"""Servers that the line of a refusal names, at most; the last that have ended."""

GATEWAY_POLICY = Policy(
    no_server_wait_s=0.4,
    affinity_belief=1.0,
    affinity_copies=2,
    max_retry_after_s=2.0,
    retry_base_s=0.005,
    retry_max_s=0.1,
    refused_pause_s=0.02,
    failed_pause_s=0.5,
    max_failed_pause_s=4.0,
    retry_burst=1e9,
    crash_memory_s=600.0,
)
"""The policy for callers that wait a few seconds at most: a request that can't be sent
to a server within less than a second is refused. `retry_burst` does not bound retries
here; the retry budgets shared by all nodes do.

With `affinity_belief` at 1, the servers that a session hashes to are assumed to hold
all prompt parts that the session's requests share. The default of 0.5 suits prompts cut
into equal blocks. Here it gave the session's own part no weight, and nodes that don't
coordinate sent each request to the server that looked least loaded: 54 in 100 requests
of a session reached the same server, instead of all. The value 1 reduces the
recomputation of shared parts by 0.3, which is 0.015 of the value of all requests
(standard error 0.005 over 25 paired simulations).

With `affinity_copies` at 2, requests that the first server of their parts is too busy
for share one other server instead of leaving a copy at servers drawn at random:
0.0085 of the value of all requests in the messages deployment (95 % interval 0.0016
over 3 paired simulations)."""


class Placer(ScheduledRequests):
    """Admits requests and assigns a server to each of their attempts.

    Attributes
    ----------
    consecutive_failures : Counter
        By server id, the responses lost since the last complete one.
    views : dict
        By id, the servers that may get requests, as the schedulers see them.
    limit_shares : mapping of str to LimitShare
        By server id, this node's shares of the limits that servers name.
    rest_times : RestTimes
        Until when servers rest.
    on_crash : callable
        Called without arguments when a crash has been counted against a request.
    groups : callable
        Yields the key of each scheduler, its service and its servers. There is one
        scheduler for each service, and one for the servers of another version while
        that is rolled out.
    schedulers_for : callable
        Returns the schedulers to which a request for a service is offered, in order.
    scheduler_for_retry : callable
        Returns another scheduler for a ticket's next attempt, or ``None``.
    """

    def __init__(
        self,
        registry: ServerRegistry,
        policy: Policy = GATEWAY_POLICY,
        *,
        seed: int | None = None,
        try_both: Callable[[str, str], ConnectResults] = lambda *server: ConnectResults(
            directly=True, elsewhere=None
        ),
        fetching: PrefixFetching | None = None,
    ) -> None:
        super().__init__(time.monotonic)
        self.registry = registry
        self.policy = policy
        self.random = random.Random(seed)
        self.crashes = CrashTable.from_policy(policy)
        self.trials = PartTrials(PartTable(policy.crash_memory_s))
        self.crashes.listeners.append(
            lambda crash: self.trials.table.note_end(crash.server, crash.at)
        )
        self.nodes = 1
        self.services: dict[str, Service] = {}
        self.views: dict[str, ServerView] = {}
        self.limit_shares: Mapping[str, LimitShare] = {}
        self.rest_times: RestTimes = NO_RESTS
        self.consecutive_failures: Counter[str] = Counter()
        self.ejection = ClusterEjection()
        self.backlogs = Backlogs()
        self.try_both = try_both
        self.on_crash: Callable[[], None] = lambda: None
        self.groups: Callable[[], Iterator[tuple[str, Service, list[ServerEntry]]]] = (
            self._groups_by_service
        )
        self.schedulers_for: Callable[[str, Call], list[Scheduler]] = (
            self._schedulers_for
        )
        self.scheduler_for_retry: Callable[[Ticket], Scheduler | None] = _keep
        self.fetching = fetching or PrefixFetching(registry)
        registry.listeners.append(self.refresh)
        registry.restart_listeners.append(self.forget_server)

    def configure(self, table: RoutingTable) -> None:
        """Apply the services of a configuration."""
        self.services = dict(table.services)
        for gone in self.schedulers.keys() - self.services.keys():
            if service_of_key(gone) in self.services:
                continue
            scheduler = self.schedulers.pop(gone)
            scheduler.close()
            self.dispatch_queued(scheduler)
        self.refresh()

    def set_nodes(self, nodes: int) -> None:
        """Set the number of live nodes, this one included."""
        if nodes != self.nodes:
            self.nodes = self.trials.nodes = nodes
            self.fetching.set_nodes(nodes)
            for scheduler in self.schedulers.values():
                scheduler.set_nodes(nodes)

    def refresh(self) -> None:
        """Update the schedulers with the servers that may get requests."""
        used: set[str] = set()
        for key, service, entries in self.groups():
            scheduler = self.schedulers.get(key)
            if scheduler is None:
                scheduler = self.schedulers[key] = self._make_scheduler(service)
            rate = scheduler.prefill.tokens_per_s if scheduler.prefill else 1.0
            views = [self._view(entry, key, rate) for entry in entries]
            used.update(view.id for view in views)
            scheduler.set_servers(views)
            self.fetching.refresh(key, service, scheduler)
            self._set_shares(scheduler)
            scheduler.resting.set_times(self.rest_times, self.now())
            self.dispatch_queued(scheduler)
        self.fetching.settle()
        for gone in self.views.keys() - used:
            del self.views[gone]
            self.consecutive_failures.pop(gone, None)

    def forget_server(self, server_id: str) -> None:
        """Forget the earlier incarnation of a server that has started again."""
        self.views.pop(server_id, None)
        self.consecutive_failures.pop(server_id, None)
        self.ejection.forget_server(server_id, self.now())
        for scheduler in self.schedulers.values():
            scheduler.forget_server(server_id)

    def _groups_by_service(self) -> Iterator[tuple[str, Service, list[ServerEntry]]]:
        for name, service in self.services.items():
            usable = [s.entry for s in self.registry.of_service(name) if s.usable]
            yield name, service, usable

    def _make_scheduler(self, service: Service) -> Scheduler:
        scheduler = Scheduler.from_policy(
            self.policy,
            self.random,
            service_type=_service_type(service),
            crashes=self.crashes,
            trials=self.trials,
            prefill=PrefillRate() if service.engine else None,
        )
        scheduler.set_nodes(self.nodes)
        scheduler.outliers.ejection = self.ejection
        if service.engine:
            scheduler.placement.backlogs = self.backlogs
        return scheduler

    def _view(self, entry: ServerEntry, key: str, rate: float) -> ServerView:
        view = self.views.get(entry.id)
        if view is None or view.service != key:
            # A server that goes to another scheduler has no requests there yet.
            view = ServerView(entry.id, "", "", key, 1, rate, 50.0)
            self.views[entry.id] = view
        view.address = entry.address
        view.zone = entry.zone
        view.max_concurrent = max(1, entry.slots)
        view.reclaimable = entry.reclaimable
        view.software_version = entry.software_version_label
        return view

    def set_limit_shares(self, shares: Mapping[str, LimitShare]) -> None:
        """Apply this node's shares of the limits that servers name, by server."""
        self.limit_shares = shares
        for scheduler in self.schedulers.values():
            self._set_shares(scheduler)
            self.dispatch_queued(scheduler)

    def set_rests(self, times: RestTimes) -> None:
        """Apply until when servers rest."""
        self.rest_times = times
        for scheduler in self.schedulers.values():
            scheduler.resting.set_times(times, self.now())

    def _set_shares(self, scheduler: Scheduler) -> None:
        servers = scheduler.servers.servers
        shares = {s: share for s, share in self.limit_shares.items() if s in servers}
        scheduler.throttling.set_shares(shares, self.now())

    def occupied_servers(self) -> dict[str, float]:
        """Return by service how many servers' slots this node's requests fill."""
        parts: Counter[str] = Counter()
        for key, scheduler in self.schedulers.items():
            servers = scheduler.servers
            slots = servers.slots_total / max(1, len(servers.servers))
            busy = servers.own_in_flight / slots if slots else 0.0
            parts[service_of_key(key)] += busy
        return dict(parts)

    def own_backlogs(self) -> dict[str, float]:
        """Return by server the prompt tokens whose first tokens this node awaits.

        Only the entries that are worth sending to other nodes are included.
        """
        tokens = {}
        for scheduler in self.schedulers.values():
            if scheduler.prefill is not None:
                for server in scheduler.servers.servers.values():
                    tokens[server.id] = server.starting_tokens
        return largest_backlogs(tokens)

    def prefill_s(self, service: str, tokens: float) -> float:
        """Return a server's own time to prefill `tokens` prompt tokens, seconds.

        It is the mean over the times in which servers are slow and usual, also those
        after which a server that is ordered now would be ready.
        """
        scheduler = self.schedulers.get(service)
        if scheduler is None or scheduler.prefill is None:
            return 0.0
        prefill_s = tokens * scheduler.prefill.seconds_per_token / INTERLEAVING_FACTOR
        return prefill_s * scheduler.servers.speeds.mean

    # Requests

    def _schedulers_for(self, service: str, _call: Call) -> list[Scheduler]:
        scheduler = self.schedulers.get(service)
        return [] if scheduler is None else [scheduler]

    def service_of(self, ticket: Ticket) -> str | None:
        """Return the service of a ticket, or ``None`` if it is no longer declared."""
        scheduler = self.ticket_schedulers.get(ticket)
        for key, known in self.schedulers.items():
            if known is scheduler:
                return service_of_key(key)
        return None

    def move_queued(
        self,
        source: Scheduler,
        target: Scheduler,
        is_moved: Callable[[Ticket], bool] = lambda ticket: True,
    ) -> None:
        """Let queued requests that are bound to no version go to other servers."""
        moved = [t for t in source.queue.tickets() if t.version is None]
        moved = [ticket for ticket in moved if is_moved(ticket)]
        for ticket in moved:
            source.queue.remove(ticket)
            target.queue.push(ticket)
            self.ticket_schedulers[ticket] = target
        if moved:
            self.dispatch_queued(target)

    def retire(self, scheduler: Scheduler) -> None:
        """Give a scheduler that is no longer used no servers; its requests end."""
        scheduler.set_servers(())
        self.dispatch_queued(scheduler)

    def admit(self, service: str, call: Call, *, pooled: bool = False) -> Ticket:
        """Queue a request for a server of `service`; raises EndiveError.

        Parameters
        ----------
        pooled : bool
            Whether the request is not queued here, but gets its server by `assign`.
        """
        schedulers = self.schedulers_for(service, call)
        if not schedulers:
            raise EndiveError(ErrorKind.NO_SERVER, f"no service {service!r}")
        for scheduler in schedulers:
            decision = scheduler.offer(call, self.now(), pooled=pooled)
            if isinstance(decision, Ticket):
                break
        return self.add_admitted(decision, scheduler)

    def assign(self, ticket: Ticket, server_id: str) -> ServerView | None:
        """Assign a server to a pooled request; return ``None`` if it is not usable."""
        scheduler = self.ticket_schedulers[ticket]
        if not scheduler.assign(ticket, server_id, self.now()):
            return None
        return scheduler.servers.servers[server_id].view

    def leave_pool(self, ticket: Ticket) -> None:
        """Queue a pooled request here after all."""
        if ticket.pooled:
            scheduler = self.ticket_schedulers[ticket]
            scheduler.leave_pool(ticket)
            self.dispatch_queued(scheduler)

    def check_not_refused(self, call: Call) -> None:
        """Check that servers don't crash on a request; raises EndiveError if they do.

        Schedulers check it too; this is for the time before a request is admitted.
        """
        if self.crashes.is_poison(call.fingerprint, self.now()):
            raise EndiveError(
                ErrorKind.POISON_REQUEST, "servers crashed while running this request"
            )
        if self.judge_parts(call).standing is Standing.REFUSED:
            raise refusal_error(self.trials.refusal(self.policy))

    def judge_parts(self, call: Call) -> Judgement:
        """Return what the parts of a request's prompt let become of it now."""
        return self.trials.judge(call.shared_parts, self.now())

    def log_refusal(self, call: Call) -> None:
        """Log the evidence for which a request is refused."""
        judgement = self.judge_parts(call)
        if judgement.standing is not Standing.REFUSED:
            log_event(
                "request_has_crashed_servers",
                request=call.request_id,
                fingerprint=call.fingerprint,
                crashes=self.crashes.count(call.fingerprint, self.now()),
            )
            return
        evidence = self.trials.table.evidence(judgement.parts[0])
        servers = [crash.server for crash in evidence.crashes[-MAX_LOGGED_CRASHES:]]
        log_event(
            "request_has_crashing_part",
            request=call.request_id,
            part=format_parts(judgement.parts),
            crashes=judgement.crashes,
            servers=",".join(dict.fromkeys(servers)),
            age_s=round(self.now() - evidence.last_at, 3),
        )

    def has_new_suspicion(self, ticket: Ticket) -> bool:
        """Return whether a part has crashed a server since a ticket was dispatched."""
        return self.trials.is_outdated(ticket.call.shared_parts, ticket.dispatched_at)

    def report(self, server_id: str, running: int, waiting: int) -> None:
        """Record the load that a server reported with a response."""
        view = self.views.get(server_id)
        scheduler = self.schedulers.get(view.service) if view else None
        if scheduler is not None:
            scheduler.report(server_id, running, waiting, as_of=self.now())
            self.dispatch_queued(scheduler)

    def known_load(self, server_id: str) -> int:
        """Return the requests at a server, running and waiting, as this node knows."""
        view = self.views.get(server_id)
        scheduler = self.schedulers.get(view.service) if view else None
        server = scheduler.servers.servers.get(server_id) if scheduler else None
        return server.load if server else 0

    def may_go_on(self, ticket: Ticket) -> bool:
        """Return whether a server has the software version of the ticket's stream."""
        versions = self.ticket_schedulers[ticket].servers.versions
        return ticket.version is None or ticket.version in versions

    def finished(self, ticket: Ticket, tokens: int) -> None:
        """Record a complete response."""
        self.consecutive_failures.pop(ticket.server, None)
        super().finished(ticket, tokens)

    def failed(
        self, ticket: Ticket, reason: RetryReason, *, started: bool, max_attempts: int
    ) -> None:
        """Queue a ticket for a retry after a failed attempt.

        Raises
        ------
        EndiveError
            If no retry is allowed.
        """
        scheduler = self.ticket_schedulers[ticket]
        verdict = scheduler.failed(
            ticket,
            self.now(),
            self._effective_reason(ticket, reason, started=started),
            started=started,
            max_attempts=max_attempts,
        )
        self.dispatch_queued(scheduler)
        if not isinstance(verdict, Retry):
            raise refusal_error(verdict)
        other = self.scheduler_for_retry(ticket)
        if other is not None:
            self.ticket_schedulers[ticket] = other
        self.requeue(ticket, verdict.delay_s)

    def count_final_failure(
        self, ticket: Ticket, reason: RetryReason, *, started: bool
    ) -> None:
        """Record a failed attempt that is not retried."""
        scheduler = self.ticket_schedulers[ticket]
        reason = self._effective_reason(ticket, reason, started=started)
        scheduler.count_failure(ticket, self.now(), reason, started=started)

    def _effective_reason(
        self, ticket: Ticket, reason: RetryReason, *, started: bool
    ) -> RetryReason:
        """Record a failure; return the reason with which the scheduler counts it.

        A first lost response is weak evidence against a server and counts as a slow
        response only.
        """
        if started and reason in (RetryReason.SERVER_FAILED, RetryReason.SERVER_SLOW):
            self.ejection.failed(ticket.server, self.now())
        if reason is not RetryReason.SERVER_FAILED:
            return reason
        self.consecutive_failures[ticket.server] += 1
        if self.consecutive_failures[ticket.server] < FAILURES_BEFORE_PAUSE:
            return RetryReason.SERVER_SLOW
        return reason

    def pause_silent(self, server_id: str) -> None:
        """Send nothing to a server for a while that answers nobody."""
        view = self.views.get(server_id)
        scheduler = self.schedulers.get(view.service) if view else None
        if scheduler is not None:
            scheduler.pause(server_id, self.now())

    def explain_failure(
        self,
        ticket: Ticket,
        reason: RetryReason,
        *,
        through_transit: bool = False,
        on_the_way: bool = False,
    ) -> RetryReason:
        """Return the reason with which an attempt counts that may have run.

        A connection may break because its server has crashed, which counts against the
        request even if this node does not retry it, since its caller may. It may also
        break because this node, and not the server, has lost its link.

        Parameters
        ----------
        through_transit : bool
            Whether the connection went through another node.
        on_the_way : bool
            Whether it broke on the way to that node.
        """
        view = self.views.get(ticket.server)
        if reason is not RetryReason.SERVER_FAILED or view is None:
            return reason
        if on_the_way:
            return RetryReason.PATH_FAILED
        failed_at = self.now()
        results = self.try_both(view.id, view.address)
        condition = results.condition(through_transit=through_transit)
        if condition is ServerCondition.CRASHED:
            self._count_crash(ticket, failed_at)
            return reason
        request_id = ticket.call.request_id
        if condition is ServerCondition.BLOCKED:
            log_event("server_not_failed", server=view.id, request=request_id)
            return RetryReason.PATH_FAILED
        listens = condition is ServerCondition.LISTENING
        log_event(
            "server_still_listens" if listens else "server_state_unknown",
            server=view.id,
            request=request_id,
        )
        return reason

    def _count_crash(self, ticket: Ticket, failed_at: float) -> None:
        crash = self.crash_id(ticket.server)
        self.registry.mark_ended(ticket.server)
        log_event(
            "server_crashed",
            server=ticket.server,
            request=ticket.call.request_id,
            fingerprint=ticket.call.fingerprint,
            crash=crash,
            stage=ticket.stage,
            parts=format_parts(ticket.call.shared_parts),
        )
        self.ticket_schedulers[ticket].failures.attribute_crash(
            ticket, crash, self.now(), ended_at=failed_at
        )
        self.on_crash()

    def crash_id(self, server_id: str) -> str:
        """Return the id that all nodes give to the end of a server's process."""
        known = self.registry.get(server_id)
        return f"{server_id}@{known.entry.incarnation if known else 0}"


def service_of_key(key: str) -> str:
    """Return the service of a scheduler's key."""
    return key.partition(KEY_SEPARATOR)[0]


def _keep(_ticket: Ticket) -> None:
    """Keep the scheduler of a ticket."""


def _service_type(service: Service) -> ServiceType:
    return ServiceType.ENGINE if service.engine else ServiceType.PLAIN
