"""Acceptance, deduplication, handover and expiry of one node's requests."""

import uuid

import gevent
from endive_core.catalogue import Catalogue
from endive_core.exceptions import EndiveError, ErrorKind
from endive_core.handover import request_id_for
from endive_core.hashing import fingerprint
from endive_core.messages import Request

from endive_node.backends import BackendClients
from endive_node.contexts import RunContext
from endive_node.dispatching import Dispatcher
from endive_node.interfaces import Claims, Clock, RequestLocator
from endive_node.request_registry import RequestRecord, RequestRegistry
from endive_node.request_traces import TraceStore
from endive_node.runs import Run
from endive_node.settings import LimitsSection
from endive_node.telemetry import Metrics

EXPIRY_INTERVAL_S = 1.0


class Serving:
    """All requests of one node, from acceptance to the end of the response.

    The caller API creates a :class:`Run` here for each call and reads its tokens.
    """

    def __init__(
        self,
        node_id: str,
        catalogue: Catalogue,
        dispatcher: Dispatcher,
        clients: BackendClients,
        limits: LimitsSection,
        metrics: Metrics,
        clock: Clock,
        claims: Claims,
    ) -> None:
        self.node_id = node_id
        self.catalogue = catalogue
        self.dispatcher = dispatcher
        self.limits = limits
        self.metrics = metrics
        self.clock = clock
        self.registry = RequestRegistry(limits.keep_finished_s)
        self.traces = TraceStore(clock, limits.explained_requests)
        self.context = RunContext(
            node_id, dispatcher, clients, metrics, clock, claims, self.traces
        )
        self.stopping = False
        self.leaving = False
        self.handing_over = False
        self.request_locator: RequestLocator | None = None

    def new_request_id(self, organisation: str = "", key: str = "") -> str:
        """Return an id from which any node can derive where the response is held."""
        unique = uuid.uuid4().hex[:12]
        return request_id_for(self.node_id, organisation, key, unique)

    def accept(self, request: Request) -> "Run":
        """Accept `request`; return the run to read the response from.

        A request that repeats the idempotency key of an earlier one returns the
        earlier one's run, unless that one ended without being run.

        Raises
        ------
        EndiveError
            If the request is refused, or its key was used for another request.
        """
        try:
            return self._accept(request)
        except EndiveError as error:
            self.metrics.count_refusal(error.kind)
            self.traces.add_refusal(request, error)
            error.request_id = request.request_id
            raise

    def _accept(self, request: Request) -> "Run":
        request.fingerprint = fingerprint(
            f"{request.endpoint}\0{request.path}\0{request.model}\0{request.prompt}"
        )
        existing = self._find_duplicate(request)
        if existing is not None:
            return existing
        if self.stopping:
            raise EndiveError(
                ErrorKind.STOPPING, "this node is stopping and accepts no new requests"
            )
        if request.non_idempotent and not request.key:
            raise EndiveError(
                ErrorKind.KEY_REQUIRED,
                "a non-idempotent request requires an Idempotency-Key header",
            )
        if request.non_idempotent:
            self.context.claims.check_age(request)
        ticket = self.dispatcher.admit(request)
        run = Run(self.context, RequestRecord(request, self.clock.now()), ticket)
        self.registry.add(run)
        self.metrics.accepted.add(1)
        return run

    def _find_duplicate(self, request: Request) -> "Run | None":
        if not request.key:
            return None
        run = self.registry.by_idempotency_key(request.organisation, request.key)
        moved = run is not None and run.moved
        if self.request_locator is not None and (run is None or moved):
            run = self.request_locator.find_key(request.organisation, request.key)
        if run is None and moved:
            raise EndiveError(
                ErrorKind.MOVED, "the request was handed over to another node"
            )
        if run is None:
            return None
        if run.record.request.fingerprint != request.fingerprint:
            raise EndiveError(
                ErrorKind.KEY_REUSED,
                "the idempotency key was already used for a different request",
            )
        return None if run.not_run else run

    def add_transferred(self, record: RequestRecord, *, sent_before: bool) -> "Run":
        """Add a request that another node hands over and may still be running.

        The run stays paused until :meth:`Run.resume` is called.

        Parameters
        ----------
        sent_before : bool
            Whether the other node may have sent the request to a server.
        """
        run = Run(self.context, record, None)
        run.wait_for_holder(sent_before=sent_before)
        self.registry.add(run)
        return run

    def expire(self) -> None:
        """Remove expired responses in an endless loop; the body of a greenlet."""
        while True:
            gevent.sleep(EXPIRY_INTERVAL_S)
            self.registry.expire(self.clock.now())
