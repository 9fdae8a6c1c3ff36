"""Forwards requests: checks, admission, attempts at servers, and the response."""

import time
from dataclasses import replace

import gevent
from endive_core.calls import Call, Stage, Ticket
from endive_core.exceptions import EndiveError, ErrorKind, RetryReason
from endive_core.hashing import fingerprint
from endive_core.messages import ServerView
from endive_core.possible_origins import PossibleOrigin
from endive_core.prefixes import part_blocks
from endive_core.routing import OrganisationLimits, Route, RouteKind
from endive_core.stream_origins import AMBIGUOUS, UNCONFIRMED, StreamOrigin
from endive_node.logs import log_event, log_failure

from endive_gateway.attempts import Attempt
from endive_gateway.context import Context
from endive_gateway.events import EventSplitter
from endive_gateway.exceptions import (
    AttemptError,
    BadHeaderError,
    CallerGoneError,
    NodeStoppingError,
    RequestTimeoutError,
    ResponseForwardedError,
)
from endive_gateway.exchange import Exchange, is_never_hopeless
from endive_gateway.failed_attempts import FailedAttempt
from endive_gateway.http import host_name
from endive_gateway.interfaces import (
    RequestMetadata,
    ServerEntry,
    header_value,
)
from endive_gateway.origin_claims import OriginClaim
from endive_gateway.part_exchange import format_parts
from endive_gateway.progress import Progress
from endive_gateway.rollout_observation import Observation
from endive_gateway.server_processes import Writer
from endive_gateway.slot_pooling import PoolLease
from endive_gateway.statuses import complete_error
from endive_gateway.stream_affinity import UNKNOWN_VERSION, StreamAffinity

RESPONSE_GRACE_S = 0.1
"""Time after a request's deadline for which its server's response is awaited, seconds:
a server responds at the deadline itself. Callers count a response as late only half a
second after the route's time-out."""

MIN_REMAINING_S = 0.02
"""Least time left with which a request is sent, seconds: a round trip and the shortest
processing."""

MIN_REMAINING_FRACTION = 0.1
"""Least time left with which a request is sent, as a fraction of the route's target: no
server can be expected to answer in less. Half of all first tokens come within a
twentieth of their targets, but no complete response does."""

WRITER_KNOWN_S = 10.0
"""Time for which that is waited for on behalf of other nodes, seconds."""

LOWEST_SERVER_PRIORITY = 9
"""Number of the lowest priority that servers accept; 0 is the highest."""


class Forwarder:
    """Forwards each request that a :class:`~.callers.CallerListener` reads."""

    def __init__(self, context: Context) -> None:
        self.context = context

    def serve(self, exchange: Exchange) -> None:
        """Forward one request and its response; raises :class:`CallerGoneError`."""
        ForwardedRequest(self.context, exchange).run()


class ForwardedRequest:
    """The state of one request.

    Attributes
    ----------
    read_at : float
        When the request had been read whole, seconds on the monotonic clock.
    may_have_run : bool
        Whether any server may have run the request.
    start_counted : bool
        Whether the request's start at a server has been counted for the usage report.
    uncounted_attempts : int
        Attempts that don't count towards the route's maximum: they reached no server
        of the service.
    declined_slots : int
        Slots of brittle servers that were not leased for this request.
    units : float
        Units of the organisation's limit that the request has taken.
    call : Call or None
        The request as the decisions see it; ``None`` before admission.
    error : str
        Why this node answered with an error of its own; empty if it did not.
    """

    def __init__(self, context: Context, exchange: Exchange) -> None:
        self.context = context
        self.exchange = exchange
        self.read_at = time.monotonic()
        self.metadata = RequestMetadata("")
        self.progress = Progress(exchange.received_at)
        self.route: Route | None = None
        self.terms: OrganisationLimits | None = None
        self.organisation = ""
        self.call: Call | None = None
        self.ticket: Ticket | None = None
        self.splitter = EventSplitter(context.wire.event_format())
        self.affinity = StreamAffinity(self.metadata)
        self.may_have_run = False
        self.in_flight = False
        self.start_counted = False
        self.uncounted_attempts = 0
        self.declined_slots = 0
        self.units = 0.0
        self.outcome = ""
        self.error = ""
        self.path = ""
        self.began_at: Writer | None = None
        self.writer: Writer | None = None
        self.servers: list[str] = []
        self.transit_node: str | None = None
        self.observation: Observation | None = None

    @property
    def now(self) -> float:
        """Seconds on the clock of :attr:`Exchange.received_at`."""
        return time.monotonic()

    @property
    def max_attempts(self) -> int:
        """Attempts that the request may have, those that don't count included."""
        return self.route.max_attempts + self.uncounted_attempts

    def run(self) -> None:
        """Process the request and answer it in every case."""
        self.exchange.is_hopeless = self._is_hopeless
        try:
            self._check()
            with gevent.Timeout(
                max(0.0, self.left_s()) + RESPONSE_GRACE_S, RequestTimeoutError
            ):
                self._forward()
        except RequestTimeoutError:
            self._refuse_unanswered(
                ErrorKind.DEADLINE_EXCEEDED, "the request's time-out has passed"
            )
        except NodeStoppingError:
            self._refuse_unanswered(ErrorKind.STOPPING, "the node stops")
        except EndiveError as error:
            self._refuse(error)
        except CallerGoneError:
            self.outcome = "caller_gone"
            raise
        except Exception as error:
            log_failure("request_failed", request=self.metadata.id, error=repr(error))
            self.may_have_run |= self.in_flight
            self._refuse(EndiveError(ErrorKind.INTERNAL, repr(error)))
        finally:
            self._finish()
            # A reference cycle would keep what the request holds for a while.
            self.exchange.is_hopeless = is_never_hopeless

    # Checks and admission

    def _check(self) -> None:
        """Decode the request, match its route and check its key; raises EndiveError."""
        context = self.context
        message = self.exchange.message
        try:
            self.metadata = context.wire.decode_request(message.headers)
        except BadHeaderError as error:
            raise EndiveError(ErrorKind.INVALID_FIELD, str(error)) from None
        self.affinity = StreamAffinity(self.metadata)
        self.splitter = EventSplitter(
            context.wire.event_format(), self.metadata.last_event_id
        )
        context.wait_until_initialised()
        table = context.table
        if table is None:
            raise EndiveError(
                ErrorKind.NOT_READY,
                "no configuration has been read yet",
                retry_after_s=0.5,
            )
        host = header_value(message.headers, b"host").decode("latin-1").lower()
        self.path = message.target.decode("latin-1").partition("?")[0]
        self.route = table.match(host_name(host), self.path)
        if self.route is None:
            raise EndiveError(ErrorKind.NOT_FOUND, "no route matches the host and path")
        if not table.allows(self.route, self.metadata.key):
            raise EndiveError(
                ErrorKind.UNAUTHENTICATED, "the key is missing or unknown"
            )
        self.organisation = table.keys.get(self.metadata.key, "")
        if message.has_no_room:
            raise EndiveError(
                ErrorKind.OVERLOADED, "there is no memory for the request's body"
            )
        if table.organisations is not None:
            self.terms = table.organisations.get(self.organisation)

    def left_s(self) -> float:
        """Return the time left until the request's deadline, seconds."""
        budget = self.route.timeout_s
        if self.metadata.budget_s is not None:
            budget = min(budget, self.metadata.budget_s)
        return budget - (self.now - self.exchange.received_at)

    def sendable_s(self) -> float:
        """Return the time left in which the request can be sent, seconds."""
        least = max(MIN_REMAINING_S, MIN_REMAINING_FRACTION * self.route.target_s)
        return self.left_s() - least

    def check_time(self) -> None:
        """Refuse a request with too little time for a response; raises EndiveError."""
        if self.sendable_s() <= 0:
            raise EndiveError(
                ErrorKind.DEADLINE_EXCEEDED, "too little time is left for a response"
            )
        if not self._ends_before_node():
            raise EndiveError(
                ErrorKind.STOPPING, "the node stops before it could be answered"
            )

    def _ends_before_node(self) -> bool:
        """Return whether the request can be answered before a planned stop ends."""
        left_s = self.left_s() + RESPONSE_GRACE_S
        stop = self.context.planned_stop
        return stop.can_answer(self.route.name, left_s, self.now)

    def _is_hopeless(self) -> bool:
        """Return whether the request waits and can't be answered before a stop ends."""
        return (
            self.route is not None
            and not self.in_flight
            and not self._ends_before_node()
        )

    def _admit(self) -> None:
        self.check_time()
        call = self._make_call()
        self.call = call
        self.context.placer.check_not_refused(call)
        service, call = self._choose_service(call)
        self._take_units(call)
        table = self.context.table
        self.context.retry_budget(service).request(self.now)
        self.service = service
        self.engine = (
            table.services[service].engine if service in table.services else None
        )
        self.context.rollout_observer.count_request(service)
        pooled = call.software_version is None
        pooled = pooled and self.context.slot_pooling.is_pooled(service)
        self.ticket = self.context.placer.admit(service, call, pooled=pooled)

    def _choose_service(self, call: Call) -> tuple[str, Call]:
        """Return the request's service, and its call with a version if it is bound.

        Raises
        ------
        EndiveError
            If the caller takes up a stream that can't go on.
        """
        if not self.affinity.is_resumption(self.route):
            return self.route.choose(self.context.random.random()), call
        origin = self.context.resumptions.find(
            self.route,
            self.path,
            self.organisation,
            self.metadata,
            self.sendable_s(),
        )
        return origin.service, replace(call, software_version=origin.version)

    def _make_call(self) -> Call:
        metadata, route = self.metadata, self.route
        priority = route.priority
        if self.terms is not None and self.terms.priority is not None:
            priority = self.terms.priority
        self.base_server_priority = min(LOWEST_SERVER_PRIORITY, priority)
        blocks, ends = part_blocks(
            metadata.model, [(part.id, part.tokens) for part in metadata.parts]
        )
        now = self.now
        self.progress.prompt_tokens = metadata.prompt_tokens or 0
        spent = now - self.exchange.received_at
        # An organisation's keys change, and its requests are the same under each.
        caller = self.organisation or metadata.key
        content = b"\0".join(
            (self.exchange.message.target, caller.encode(), self.exchange.body)
        )
        return Call(
            request_id=metadata.id,
            organisation=self.organisation,
            deployment=route.name,
            level=-priority,
            prompt_tokens=(metadata.prompt_tokens or 0) if route.engine else 0,
            max_tokens=max(1, metadata.max_tokens or 1) if route.engine else 1,
            blocks=blocks if route.engine else (),
            block_ends=ends if route.engine else (),
            target_s=max(0.01, route.target_s - spent),
            deadline=now + self.left_s(),
            fingerprint=fingerprint(content.decode("latin-1")),
            non_idempotent=not route.retryable,
            shared_parts=metadata.shared_parts,
        )

    def _take_units(self, call: Call) -> None:
        terms = self.terms
        if terms is None or terms.rate <= 0:
            return
        units = terms.units(self.metadata.prompt_tokens, self.metadata.max_tokens)
        wait = self.context.take_units(terms, units)
        if wait > 0:
            log_event(
                "limit_exceeded",
                request=self.metadata.id,
                organisation=terms.name,
                units=units,
                rate=terms.rate,
                wait_s=wait,
                part=self.context.limits.reachable_share(self.now),
            )
            raise EndiveError(
                ErrorKind.LIMIT_EXCEEDED,
                "the organisation's limit is used up",
                retry_after_s=wait,
            )
        self.units = units

    # Attempts

    def _forward(self) -> None:
        self._admit()
        while True:
            queued_at = self.now
            view, lease = self._next_server()
            try:
                self._attempt(view, lease, queued_at)
            except AttemptError as error:
                FailedAttempt(self, error).handle()
            else:
                return

    def _attempt(
        self, view: ServerView, lease: PoolLease | None, queued_at: float
    ) -> None:
        """Make one attempt; raises AttemptError unless a success was forwarded."""
        try:
            self.check_time()
            if self.ticket.tried_parts:
                log_event(
                    "part_tried",
                    request=self.metadata.id,
                    server=view.id,
                    parts=format_parts(self.ticket.tried_parts),
                )
            self.progress.dispatched(
                self.now - queued_at,
                self.ticket.uncached_tokens,
                yielded=self.ticket.yields,
            )
            self._count_prompt(view.id)
            Attempt(self, view, lease).run()
        finally:
            self.context.slot_pooling.release(lease)

    def _next_server(self) -> tuple[ServerView, PoolLease | None]:
        """Wait for the server of the next attempt; raises EndiveError."""
        if self.ticket.pooled:
            return self.context.slot_pooling.acquire(self)
        return self.context.placer.acquire(self.ticket), None

    def target_left_s(self) -> float:
        """Return the time left until the route's target, seconds."""
        return self.route.target_s - (self.now - self.exchange.received_at)

    @property
    def server_priority(self) -> int:
        """Priority at the server, from 0, the highest, to LOWEST_SERVER_PRIORITY."""
        scheduler = self.context.placer.ticket_schedulers[self.ticket]
        if scheduler.contention.active:
            return scheduler.contention.server_priority(self.ticket)
        if scheduler.order.active:
            return scheduler.order.server_priority(self.ticket)
        return (
            LOWEST_SERVER_PRIORITY if self.ticket.yields else self.base_server_priority
        )

    def record_origin(self, entry: ServerEntry) -> None:
        """Have recorded where the stream begins, if the request is sent to a server."""
        if self.route.resumable and not self.exchange.response_started:
            origin = StreamOrigin(self.service, self._version_of(entry))
            self.affinity.record(
                self.context.origin_records,
                PossibleOrigin.of(self.route, origin),
                self.organisation,
                is_resumed=self.ticket.version is not None,
            )

    def check_writer(self) -> None:
        """Check that a stream goes on at its version; raises AttemptError if not."""
        if not self.route.resumable or self.ticket.version is None:
            return
        if self.writer is self.began_at:
            return
        if not self.writer.wait(self.writer.known_in_s):
            raise AttemptError(
                "it is not known which process of the server answers",
                RetryReason.ORIGIN_UNRECORDED,
                started=True,
            )

    def stream_begins(self, server: str, entry: ServerEntry) -> None:
        """Bind the stream to the software version of the server that begins it."""
        if not self.route.resumable:
            return
        if self.ticket.version is None:
            self.ticket.version = self._version_of(entry)
        self.began_at = self.writer
        if self.writer.is_proven:
            self._tell_origin(StreamOrigin(self.service, self.ticket.version))
            return
        self._tell_origin(UNCONFIRMED, StreamOrigin(self.service, self.ticket.version))
        gevent.spawn(self._settle_origin, self.ticket.version)

    def _tell_origin(
        self, origin: StreamOrigin, claimed: StreamOrigin | None = None
    ) -> None:
        """Tell the owners of the stream where it began.

        Parameters
        ----------
        claimed : StreamOrigin or None
            Where it began if the process that began it is that of its server's entry.
        """
        writer, entry, claim = self.began_at, self.began_at.entry, None
        if claimed is not None and not writer.is_refuted:
            claim = OriginClaim(claimed, entry.id, entry.incarnation)
        for key in self.affinity.keys(self.organisation):
            self.context.origin_exchange.tell(
                key, origin, self.left_s(), (entry.id, entry.incarnation), claim
            )

    def _settle_origin(self, version: str) -> None:
        """Tell where the stream began once that is known."""
        writer = self.began_at
        is_known = writer.wait(WRITER_KNOWN_S)
        log_event(
            "stream_version_settled",
            request=self.metadata.id,
            server=writer.entry.id,
            software_version=version,
            is_known=is_known,
            ms=round((self.now - writer.link.opened_at) * 1000),
        )
        if is_known:
            self._tell_origin(StreamOrigin(self.service, version))
        else:
            self._tell_origin(AMBIGUOUS)
            keys = self.affinity.keys(self.organisation)
            self.context.origin_records.doubt(keys)

    def _version_of(self, entry: ServerEntry) -> str:
        """Return the software version of the server that answers, if it is known.

        The server may have started again since the entry was read.
        """
        known = self.context.registry.get(entry.id)
        is_same = known is None or known.runs(entry)
        return entry.software_version_label if is_same else UNKNOWN_VERSION

    def check_version(self) -> None:
        """Let the stream go on nowhere if another process than was known began it.

        Waits until that is known.
        """
        if self.began_at is None:
            return
        if not self.began_at.wait(min(self.began_at.known_in_s, self.left_s())):
            self.ticket.version = UNKNOWN_VERSION
        entry = self.began_at.entry
        known = self.context.registry.get(entry.id)
        if known is None or known.entry.incarnation == entry.incarnation:
            return
        if known.entry.software_version_label != entry.software_version_label:
            self.ticket.version = UNKNOWN_VERSION

    def check_recorded(self, entry: ServerEntry) -> None:
        """Wait until it is recorded where the stream begins; raises AttemptError."""
        if self.affinity.is_recorded():
            return
        version = entry.software_version_label
        log_event(
            "stream_origin_not_recorded",
            request=self.metadata.id,
            service=self.service,
            software_version=version,
        )
        self.context.metrics.events["stream_origin_not_recorded"] += 1
        has_others = self.context.origin_view.has_other_origins(self.route, version)
        if has_others or self.affinity.has_moved:
            raise AttemptError(
                "it could not be recorded where the stream begins",
                RetryReason.ORIGIN_UNRECORDED,
                started=True,
            )

    def _count_prompt(self, server: str) -> None:
        """Count a prompt sent to a server; announce it to peers if it delays others.

        One that yields does not: it goes behind the other requests at its server.
        """
        tokens = self.ticket.uncached_tokens
        prefill_s = self.context.placer.prefill_s(self.service, tokens)
        self.context.work.add_prompt(self.service, prefill_s)
        if not self.ticket.yields:
            self.context.on_prompt(server, tokens, prefill_s)

    def count_start(self) -> None:
        """Count the request's start at a server, at most once per request."""
        if not self.start_counted:
            self.start_counted = True
            since = self.exchange.received_at
            self.context.metrics.first_byte_times.observe(self.now - since)
            stream = self.route.kind is RouteKind.STREAM
            at = self.context.cluster_clock.now() if stream else self.sent_at
            self.context.meter.begin(self.organisation, at)

    # Responses of this node

    def _refuse_unanswered(self, kind: ErrorKind, reason: str) -> None:
        """Answer with an error for which the present attempt was given up."""
        self.may_have_run |= self.in_flight
        self._refuse(EndiveError(kind, reason))

    def _refuse(self, error: EndiveError) -> None:
        """Answer with an error that states truly whether the request may have run."""
        if isinstance(error, ResponseForwardedError):
            return
        self.outcome, self.error = str(error.kind), str(error)
        if error.kind is ErrorKind.POISON_REQUEST:
            self.context.placer.log_refusal(self.call)
        if self.exchange.response_started:
            self.exchange.abort()
            return
        status = complete_error(error, self.may_have_run)
        if self.units and not self.may_have_run:
            self.context.limits.refund(self.terms.name, self.units)
        self.exchange.refuse(
            error, status, self.context.wire.own_response_headers(self.metadata)
        )

    def _finish(self) -> None:
        if self.ticket is not None:
            if self.ticket.stage is not Stage.ENDED and self.in_flight:
                self.count_start_unless_stream()
            self.context.placer.end(self.ticket)
        self.context.rollout_observer.abandoned(
            self.observation, timed_out=self.outcome == ErrorKind.DEADLINE_EXCEEDED
        )
        self._count_outcome()
        log_event(
            "request",
            request=self.metadata.id,
            route=self.route.name if self.route else "",
            organisation=self.organisation,
            outcome=self.outcome or "failed",
            servers=",".join(self.servers),
            ms=round((self.now - self.exchange.received_at) * 1000),
            version=self.context.version,
            **({"through": self.transit_node} if self.transit_node else {}),
            **self._target_fields(),
            **self._stream_fields(),
            **self.progress.fields(),
            **({"error": self.error} if self.error else {}),
        )

    def _target_fields(self) -> dict[str, int]:
        """Return the route's targets for the request's log line, milliseconds."""
        if self.route is None:
            return {}
        terms = {"target_ms": round(self.route.target_s * 1000)}
        if self.route.kind is RouteKind.STREAM:
            terms["pause_ms"] = round(self.route.pause_s * 1000)
        return terms

    def _stream_fields(self) -> dict[str, str]:
        """Return what the log line of a stream tells of its servers' versions."""
        is_stream = self.route is not None and self.route.kind is RouteKind.STREAM
        return self.affinity.fields() if is_stream else {}

    def _count_outcome(self) -> None:
        metrics = self.context.metrics
        metrics.outcomes[self.outcome or "failed"] += 1
        if self.outcome == "ok":
            metrics.response_times.observe(self.now - self.exchange.received_at)
            self.context.planned_stop.slowest.observe(
                self.route.name, self.now - self.read_at, self.now
            )

    def count_start_unless_stream(self) -> None:
        """Count the start of a non-streaming request whose response was lost."""
        if self.route.kind is not RouteKind.STREAM:
            self.count_start()
