"""Which server a request gets: a scheduler a service, and what the servers answered."""

import random
import time
from collections import Counter
from collections.abc import Callable

from endive_core.backlogs import Backlogs, largest_backlogs
from endive_core.calls import Call, Retry, Ticket
from endive_core.crashes import CrashTable
from endive_core.ejection import ClusterEjection
from endive_core.exceptions import EndiveError, ErrorKind, RetryReason
from endive_core.messages import ServerView
from endive_core.policy import Policy
from endive_core.prefilling import PrefillRate
from endive_core.routing import RoutingTable, Service
from endive_core.scheduler import Scheduler
from endive_core.service_types import ServiceType
from endive_node.logs import log_event
from endive_node.waiters import Waiters, crash_name, refusal_error

from endive_gateway.interfaces import ServerEntry
from endive_gateway.servers import ServerRegistry

INTERLEAVING_FACTOR = 1.46
"""Time by which a prompt's token delays its first token, as a multiple of the server's
own time for it: the server takes turns with other requests' tokens. Measured 25.8 by
17.7, 13.3 by 9.1 and 15.8 by 10.9 microseconds on three kinds of engines."""

FAILURES_PAUSE = 2
"""Failures in a row after which a server gets no work for a while. A single lost
answer says little of the server; the second in a row is likely a crash."""

GATEWAY_POLICY = Policy(
    no_server_wait_s=0.4,
    affinity_belief=1.0,
    max_retry_after_s=2.0,
    retry_base_s=0.005,
    retry_max_s=0.1,
    failed_pause_s=0.5,
    max_failed_pause_s=4.0,
    retry_burst=1e9,
    crash_memory_s=600.0,
)
"""The product's policy for callers that wait for a few seconds only: what can't be
sent within less than a second is refused. Retries are bounded by the fleet's budget.

The servers that a session hashes to are taken to hold all that its requests share. With
half of it believed, as the product has it for prompts cut into equal blocks, the part
that is the session's own counted for nothing, and nodes that knew nothing of each other
sent it to whichever server looked idlest: 54 in 100 to one server instead of all of
them. Shared parts computed again fell by 0.3, 0.015 of a day's worth (standard error
0.005, 25 paired plays)."""


class Placer(Waiters):
    """Admits each request and gives each of its attempts a server."""

    def __init__(
        self,
        registry: ServerRegistry,
        policy: Policy = GATEWAY_POLICY,
        *,
        seed: int | None = None,
        is_listening: Callable[[str], bool] = lambda address: True,
    ) -> None:
        super().__init__(time.monotonic)
        self.registry = registry
        self.policy = policy
        self.random = random.Random(seed)
        self.crashes = CrashTable.from_policy(policy)
        self.nodes = 1
        self.services: dict[str, Service] = {}
        self.views: dict[str, ServerView] = {}
        self.in_a_row: Counter[str] = Counter()
        self.ejection = ClusterEjection()
        self.backlogs = Backlogs()
        self.is_listening = is_listening
        self.wall_time = time.time
        registry.listeners.append(self.refresh)

    def configure(self, table: RoutingTable) -> None:
        """Take over the services in force."""
        self.services = dict(table.services)
        for gone in self.schedulers.keys() - self.services.keys():
            scheduler = self.schedulers.pop(gone)
            scheduler.close()
            self.pump(scheduler)
        self.refresh()

    def set_nodes(self, nodes: int) -> None:
        """Take over the number of live nodes, this one included."""
        if nodes != self.nodes:
            self.nodes = nodes
            for scheduler in self.schedulers.values():
                scheduler.set_nodes(nodes)

    def refresh(self) -> None:
        """Take over the servers that may get requests."""
        for name, service in self.services.items():
            scheduler = self.schedulers.get(name)
            if scheduler is None:
                scheduler = self.schedulers[name] = Scheduler.from_policy(
                    self.policy,
                    self.random,
                    service_type=_type(service),
                    crashes=self.crashes,
                    prefill=PrefillRate() if service.engine else None,
                )
                scheduler.set_nodes(self.nodes)
                scheduler.outliers.ejection = self.ejection
                if service.engine:
                    scheduler.placement.backlogs = self.backlogs
            usable = [s.entry for s in self.registry.of_service(name) if s.usable]
            rate = scheduler.prefill.tokens_per_s if scheduler.prefill else 1.0
            views = [self._view(entry, service, rate) for entry in usable]
            scheduler.set_servers(views)
            self.pump(scheduler)
        taking = {s.entry.id for s in self.registry.servers.values() if s.usable}
        for gone in self.views.keys() - taking:
            del self.views[gone]
            self.in_a_row.pop(gone, None)

    def _view(self, entry: ServerEntry, service: Service, rate: float) -> ServerView:
        view = self.views.get(entry.id)
        if view is None:
            view = ServerView(entry.id, "", "", service.name, 1, rate, 50.0)
            self.views[entry.id] = view
        view.address = entry.address
        view.zone = entry.zone
        view.service = service.name
        view.max_concurrent = max(1, entry.slots)
        view.reclaimable = entry.reclaimable
        return view

    def occupied_servers(self) -> dict[str, float]:
        """Return by service how many servers' slots this node's requests hold."""
        parts = {}
        for name, scheduler in self.schedulers.items():
            servers = scheduler.servers
            slots = servers.slots_total / max(1, len(servers.servers))
            parts[name] = servers.own_in_flight / slots if slots else 0.0
        return parts

    def own_backlogs(self) -> dict[str, float]:
        """Return the prompt tokens by server that this node waits for."""
        tokens = {}
        for scheduler in self.schedulers.values():
            if scheduler.prefill is not None:
                for server in scheduler.servers.servers.values():
                    tokens[server.id] = server.starting_tokens
        return largest_backlogs(tokens)

    def server_s(self, service: str, tokens: float) -> float:
        """Return a server's time for `tokens` of a prompt, seconds."""
        scheduler = self.schedulers.get(service)
        if scheduler is None or scheduler.prefill is None:
            return 0.0
        return tokens * scheduler.prefill.seconds_per_token / INTERLEAVING_FACTOR

    # One request's way

    def admit(self, service: str, call: Call) -> Ticket:
        """Queue a request for a server of `service`; raises EndiveError."""
        scheduler = self.schedulers.get(service)
        if scheduler is None:
            raise EndiveError(ErrorKind.NO_SERVER, f"no service {service!r}")
        return self.enter(scheduler.offer(call, self.now()), scheduler)

    def report(self, server_id: str, running: int, waiting: int) -> None:
        """Take over the load that a server's answer told."""
        view = self.views.get(server_id)
        scheduler = self.schedulers.get(view.service) if view else None
        if scheduler is not None:
            scheduler.report(server_id, running, waiting, as_of=self.now())
            self.pump(scheduler)

    def finished(self, ticket: Ticket, tokens: int) -> None:
        """Note a whole answer."""
        self.in_a_row.pop(ticket.server, None)
        super().finished(ticket, tokens)

    def failed(
        self, ticket: Ticket, reason: RetryReason, *, started: bool, max_attempts: int
    ) -> None:
        """Queue a ticket again after a failed attempt.

        Raises
        ------
        EndiveError
            If there must be no further attempt.
        """
        scheduler = self.owners[ticket]
        verdict = scheduler.failed(
            ticket,
            self.now(),
            self._weighed(ticket, reason, started=started),
            started=started,
            max_attempts=max_attempts,
        )
        self.pump(scheduler)
        if not isinstance(verdict, Retry):
            raise refusal_error(verdict)
        self.queue_again(ticket, verdict.delay_s)

    def gave_up(self, ticket: Ticket, reason: RetryReason, *, started: bool) -> None:
        """Count a failed attempt after which there is no further one."""
        scheduler = self.owners[ticket]
        reason = self._weighed(ticket, reason, started=started)
        scheduler.count_failure(ticket, self.now(), reason, started=started)

    def _weighed(
        self, ticket: Ticket, reason: RetryReason, *, started: bool
    ) -> RetryReason:
        """Return the reason that counts: one lost answer says little of a server."""
        if started and reason in (RetryReason.SERVER_FAILED, RetryReason.SERVER_SLOW):
            self.ejection.failed(ticket.server, self.now())
        if reason is not RetryReason.SERVER_FAILED:
            return reason
        self.in_a_row[ticket.server] += 1
        if self.in_a_row[ticket.server] < FAILURES_PAUSE:
            return RetryReason.SERVER_SLOW
        return reason

    def note_break(self, ticket: Ticket, reason: RetryReason) -> None:
        """Count a crash against a request that a server broke off, if it was one.

        A connection may break for many reasons; only a server that no longer listens
        crashed. It counts also where the request is not sent again by this node: its
        caller will.
        """
        view = self.views.get(ticket.server)
        if reason is not RetryReason.SERVER_FAILED or view is None:
            return
        if self.is_listening(view.address):
            return
        log_event("server_crashed", server=view.id, request=ticket.call.request_id)
        name = crash_name(view.id, self.wall_time())
        self.owners[ticket].failures.attribute_crash(ticket, name, self.now())


def _type(service: Service) -> ServiceType:
    return ServiceType.ENGINE if service.engine else ServiceType.PLAIN
