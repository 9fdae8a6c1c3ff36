"""All requests of one node: accepted, joined, adopted and forgotten."""

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
    """All requests of one node, from acceptance to the end of the answer.

    The caller API makes a :class:`Run` here for each call and reads its pieces.
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
        """Return an id from which any node can work out where the answer is."""
        unique = uuid.uuid4().hex[:12]
        return request_id_for(self.node_id, organisation, key, unique)

    def accept(self, request: Request) -> "Run":
        """Enter `request`; return the run to read the answer from.

        The same request sent again with its key joins the answer under way.

        Raises
        ------
        EndiveError
            If the request is refused.
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
            raise EndiveError(ErrorKind.STOPPING, "this node takes no new requests")
        if request.non_idempotent and not request.key:
            raise EndiveError(
                ErrorKind.KEY_REQUIRED,
                "a non-idempotent request needs an Idempotency-Key header",
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
            raise EndiveError(ErrorKind.MOVED, "another node goes on with the request")
        if run is None:
            return None
        if run.record.request.fingerprint != request.fingerprint:
            raise EndiveError(
                ErrorKind.KEY_REUSED, "the idempotency key was used for another request"
            )
        return None if run.not_run else run

    def add_transferred(self, record: RequestRecord, *, sent_before: bool) -> "Run":
        """Enter a request of another node, which may still be running it there.

        Until it is told to go on, it only waits for the other's answer.
        """
        run = Run(self.context, record, None)
        run.wait_for_holder(sent_before=sent_before)
        self.registry.add(run)
        return run

    def expire(self) -> None:
        """Forget finished answers for ever; the body of a greenlet."""
        while True:
            gevent.sleep(EXPIRY_INTERVAL_S)
            self.registry.expire(self.clock.now())
