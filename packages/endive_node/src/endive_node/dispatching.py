"""Queueing of requests, and placement of their attempts on backend servers.

The decisions are made by :mod:`endive_core.scheduler`; this module supplies it with
time, random numbers and the declared configuration.
"""

import random
import time
from collections.abc import Callable

from endive_core.calls import Call, Refusal, Ticket
from endive_core.catalogue import Catalogue
from endive_core.crashes import CrashTable
from endive_core.exceptions import EndiveError, ErrorKind, RetryReason
from endive_core.messages import Endpoint, Request, ServerView
from endive_core.policy import Policy
from endive_core.prefixes import prefix_blocks
from endive_core.resources import (
    BackendServer,
    BackendServerService,
    Deployment,
    ServiceType,
)
from endive_core.scheduler import Scheduler
from endive_core.stream_moves import StreamMove
from gevent.event import AsyncResult

from endive_node.interfaces import BackendError, Clock
from endive_node.logs import log_event
from endive_node.scheduled_requests import ScheduledRequests, crash_id, refusal_error
from endive_node.telemetry import Metrics


class Dispatcher(ScheduledRequests):
    """Admits requests, and assigns a server to each of their attempts.

    A request calls :meth:`admit` on arrival; `acquire`, `started` and then `finished`
    or :meth:`failed` for each attempt; and `end` in every case.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        clock: Clock,
        metrics: Metrics,
        policy: Policy | None = None,
        *,
        seed: int | None = None,
        max_attempts: int = 4,
        is_listening: Callable[[str], bool] = lambda address: True,
    ) -> None:
        super().__init__(clock.now)
        self.catalogue = catalogue
        self.clock = clock
        self.metrics = metrics
        self.policy = policy or Policy()
        self.max_attempts = max_attempts
        self.is_listening = is_listening
        self.wall_time = time.time
        self.random = random.Random(seed)
        self.crashes = CrashTable.from_policy(self.policy)
        self.nodes = 1
        self.servers: dict[str, dict[str, ServerView]] = {}

    # Configuration and membership

    def refresh(self) -> None:
        """Apply the services and servers that the configuration now declares."""
        services = self.catalogue.services
        for removed in self.schedulers.keys() - services.keys():
            scheduler = self.schedulers.pop(removed)
            scheduler.close()
            self.dispatch_queued(scheduler)
            del self.servers[removed]
        for name in services:
            self._refresh_service(name)

    def _refresh_service(self, name: str) -> None:
        service = self.catalogue.services[name]
        known = self.servers.get(name, {})
        self.servers[name] = {
            server.id: _view(name, service, server, known.get(server.id))
            for server in service.servers
        }
        if name not in self.schedulers:
            self.schedulers[name] = Scheduler.from_policy(
                self.policy,
                self.random,
                service_type=service.type,
                crashes=self.crashes,
            )
        scheduler = self.schedulers[name]
        scheduler.set_servers(self.servers[name].values())
        scheduler.set_nodes(self.nodes)
        scheduler.set_organisations(self.catalogue.organisations)
        scheduler.set_deployments(
            {d: s for d, s in self.catalogue.deployments.items() if s.service == name}
        )

    def set_nodes(self, nodes: int) -> None:
        """Set the number of live nodes, this one included."""
        self.nodes = nodes
        for scheduler in self.schedulers.values():
            scheduler.set_nodes(nodes)

    def exclude_server(self, server_id: str) -> None:
        """Assign no further attempts to a server that is being reclaimed."""
        for scheduler in self.schedulers.values():
            scheduler.leaving(server_id)

    def service_of(self, request: Request) -> str:
        """Return the backend server service that serves `request`.

        Raises
        ------
        EndiveError
            ``not_found`` if no such service is declared.
        """
        if request.endpoint is Endpoint.SERVICE:
            if request.model not in self.catalogue.services:
                raise EndiveError(
                    ErrorKind.NOT_FOUND,
                    f"no service named {request.model!r} is declared",
                )
            return request.model
        return self.catalogue.deployment_for(request.model)[1].service

    # Requests

    def admit(self, request: Request) -> Ticket:
        """Admit `request` into its service's queue.

        Raises
        ------
        EndiveError
            If it is refused, with a realistic retry-after time where there is one.
        """
        service = self.service_of(request)
        scheduler = self.schedulers.get(service)
        if scheduler is None:
            raise EndiveError(
                ErrorKind.NO_SERVER, f"no server of service {service!r} is known"
            )
        decision = scheduler.offer(self._call(request, service), self.clock.now())
        return self.add_admitted(decision, scheduler)

    def take_over(self, request: Request) -> Ticket:
        """Queue a request that this node or another one has already accepted.

        Raises
        ------
        EndiveError
            If its service is not declared here, or the request has crashed servers.
        """
        service = self.service_of(request)
        scheduler = self.schedulers.get(service)
        if scheduler is None:
            raise EndiveError(
                ErrorKind.NO_SERVER, f"no server of service {service!r} is known"
            )
        call = self._call(request, service)
        decision = scheduler.take_over(call, self.clock.now())
        return self.add_admitted(decision, scheduler)

    def _call(self, request: Request, service: str) -> Call:
        priority = self.catalogue.priority(request.priority)
        engine = self.catalogue.services[service].type is ServiceType.ENGINE
        name, deployment = "", Deployment(model="plain", service=service)
        if request.endpoint is not Endpoint.SERVICE:
            name, deployment = self.catalogue.deployment_for(request.model)
        return Call(
            request_id=request.request_id,
            organisation=request.organisation,
            deployment=name,
            level=priority.level,
            bulk=priority.bulk,
            prompt_tokens=request.prompt_tokens if engine else 0,
            max_tokens=request.max_tokens if engine else 1,
            blocks=prefix_blocks(request.prompt) if engine else (),
            target_s=deployment.latency.first_token_s,
            deadline=request.deadline,
            weights=deployment.weights,
            fingerprint=request.fingerprint,
            non_idempotent=request.non_idempotent,
        )

    def failed(self, ticket: Ticket, error: BackendError) -> None:
        """Queue the ticket again after a delay, or raise the final error.

        Raises
        ------
        EndiveError
            If no further attempt is allowed.
        """
        scheduler = self.ticket_schedulers[ticket]
        decision = scheduler.failed(
            ticket,
            self.clock.now(),
            error.reason,
            started=error.started,
            crashed=self._crash_id(ticket, error),
            max_attempts=self.max_attempts,
        )
        self.dispatch_queued(scheduler)
        if isinstance(decision, Refusal):
            raise refusal_error(decision, f"{decision.message}; last error: {error}")
        self.metrics.count_retry(error.reason)
        self.requeue(ticket, decision.delay_s)

    def plan_moves(
        self, server: ServerView, *, seconds_left: float
    ) -> list[StreamMove]:
        """Return how each stream at `server` leaves it, in the order to move them.

        Parameters
        ----------
        seconds_left : float
            Seconds until the server is reclaimed.
        """
        scheduler = self.schedulers[server.service]
        return scheduler.plan_moves(server.id, seconds_left=seconds_left)

    def requeue_moved(self, ticket: Ticket, tokens: int) -> None:
        """Queue a stream again that was stopped at its server in order to move.

        Parameters
        ----------
        tokens : int
            Number of tokens that were generated so far.
        """
        scheduler = self.ticket_schedulers[ticket]
        self.waiting[ticket] = AsyncResult()
        scheduler.moved(ticket, self.clock.now(), tokens=tokens)
        self.metrics.count_retry(RetryReason.SERVER_LEAVING)
        self.dispatch_queued(scheduler)

    def _crash_id(self, ticket: Ticket, error: BackendError) -> str:
        """Return the id of the crash that ended an attempt; empty if none did.

        A connection may break for many reasons; a server counts as crashed only if it
        no longer listens. Nodes that detect the crash within the same few seconds give
        it the same id.
        """
        if not error.started or error.reason is not RetryReason.SERVER_FAILED:
            return ""
        server = self.ticket_schedulers[ticket].servers.servers.get(ticket.server)
        if server is None:
            return ""
        request_id = ticket.call.request_id
        if self.is_listening(server.view.address):
            log_event("server_still_listens", request_id=request_id, server=server.id)
            return ""
        crash = crash_id(server.id, self.wall_time())
        log_event("server_crashed", request_id=request_id, crash=crash)
        return crash


def _view(
    name: str,
    service: BackendServerService,
    server: BackendServer,
    known: ServerView | None,
) -> ServerView:
    """Return the view of a declared server, with its previous state if known."""
    view = known or ServerView(server.id, "", "", name, 1, 1.0, 1.0)
    view.address = server.address
    view.zone = server.zone
    view.reclaimable = server.reclaimable
    view.max_concurrent = service.max_concurrent
    view.prefill_tokens_per_s = service.prefill_tokens_per_s
    view.decode_tokens_per_s = service.decode_tokens_per_s
    return view
