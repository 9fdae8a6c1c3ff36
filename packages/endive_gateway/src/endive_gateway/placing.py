"""Which server a request gets: a scheduler a service, and what the servers answered."""

import random
import time
from collections import Counter
from collections.abc import Callable

from endive_core.calls import Call, Retry, Ticket
from endive_core.exceptions import EndiveError, ErrorKind, RetryReason
from endive_core.messages import ServerView
from endive_core.policy import Policy
from endive_core.routing import RoutingTable, Service
from endive_core.scheduler import Scheduler, crash_table
from endive_core.service_types import ServiceType
from endive_core.suspicions import Suspicions
from endive_node.logs import log_event
from endive_node.waiters import Waiters, crash_name, refusal_error

from endive_gateway.interfaces import ServerEntry
from endive_gateway.servers import ServerRegistry

ENGINE_PREFILL_TOKENS_PER_S = 100_000.0
"""Prompt tokens that a model server reads a second, for predictions; the servers
don't tell. Measured on the users' engines: 92,000 and 110,000."""

FAILURES_PAUSE = 2
"""Failures in a row after which a server gets no work for a while. A single lost
answer says little of the server; the second in a row is likely a crash."""

GATEWAY_POLICY = Policy(
    no_server_wait_s=0.4,
    max_retry_after_s=2.0,
    retry_base_s=0.005,
    retry_max_s=0.1,
    failed_pause_s=0.5,
    max_failed_pause_s=4.0,
    retry_burst=1e9,
    crash_memory_s=600.0,
)
"""The product's policy for callers that wait for a few seconds only: what can't be
sent within less than a second is refused. Retries are bounded by the fleet's budget."""


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
        self.crashes = crash_table(policy)
        self.nodes = 1
        self.services: dict[str, Service] = {}
        self.views: dict[str, ServerView] = {}
        self.in_a_row: Counter[str] = Counter()
        self.suspicions = Suspicions()
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
                )
                scheduler.set_nodes(self.nodes)
                scheduler.outliers.suspicions = self.suspicions
            usable = [s.entry for s in self.registry.of_service(name) if s.usable]
            scheduler.set_servers([self._view(entry, service) for entry in usable])
            self.pump(scheduler)
        taking = {s.entry.id for s in self.registry.servers.values() if s.usable}
        for gone in self.views.keys() - taking:
            del self.views[gone]
            self.in_a_row.pop(gone, None)

    def _view(self, entry: ServerEntry, service: Service) -> ServerView:
        view = self.views.get(entry.id)
        engine = _type(service) is ServiceType.ENGINE
        if view is None:
            rate = ENGINE_PREFILL_TOKENS_PER_S if engine else 1.0
            view = ServerView(entry.id, "", "", service.name, 1, rate, 50.0)
            self.views[entry.id] = view
        view.address = entry.address
        view.zone = entry.zone
        view.service = service.name
        view.max_concurrent = max(1, entry.slots)
        view.reclaimable = entry.reclaimable
        return view

    def held_parts(self) -> dict[str, float]:
        """Return by service how many servers' slots this node's requests hold."""
        parts = {}
        for name, scheduler in self.schedulers.items():
            servers = scheduler.servers
            slots = servers.slots_total / max(1, len(servers.servers))
            parts[name] = servers.own_total / slots if slots else 0.0
        return parts

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
        scheduler.blame(ticket, self.now(), reason, started=started)

    def _weighed(
        self, ticket: Ticket, reason: RetryReason, *, started: bool
    ) -> RetryReason:
        """Return the reason that counts: one lost answer says little of a server."""
        if started and reason in (RetryReason.SERVER_FAILED, RetryReason.SERVER_SLOW):
            self.suspicions.failed(ticket.server, self.now())
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
        self.owners[ticket].failures.suspect(ticket, name, self.now())


def _type(service: Service) -> ServiceType:
    return ServiceType.ENGINE if service.engine else ServiceType.PLAIN
