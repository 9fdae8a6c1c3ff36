"""One request's way: checked, admitted, sent to a server, and its answer passed on."""

import time

import gevent
from endive_core.calls import Call, Stage, Ticket
from endive_core.exceptions import EndiveError, ErrorKind
from endive_core.hashing import fingerprint
from endive_core.prefixes import part_blocks
from endive_core.routing import OrganisationLimits, Route, RouteKind
from endive_node.logs import log_event, log_failure

from endive_gateway.attempts import Attempt
from endive_gateway.callers import Exchange
from endive_gateway.context import Context
from endive_gateway.events import EventSplitter
from endive_gateway.exceptions import (
    AnsweredError,
    AttemptError,
    BadHeaderError,
    CallerGoneError,
    OutOfTimeError,
)
from endive_gateway.http import host_name
from endive_gateway.interfaces import RequestMetadata, ServerResponse, header_value
from endive_gateway.progress import Progress
from endive_gateway.statuses import NOT_RUN_STATUSES, make_true

LATE_ANSWER_S = 0.1
"""Time for a server's own answer at the end of its budget to arrive, seconds; a route
is late only half a second after its time-out."""

LEAST_LEFT_S = 0.02
"""Time below which nothing is sent any more: a round trip and the shortest work."""

LEAST_PART = 0.1
"""Part of the target below which nothing is sent either: a server that gets so little
time is not asked in earnest. Half of all first tokens come within a twentieth of their
targets, but no whole answer."""

LAST_URGENCY = 9
"""The last urgency that servers know; 0 goes first."""


class Forwarder:
    """Answers the requests that a listener reads."""

    def __init__(self, context: Context) -> None:
        self.context = context

    def serve(self, exchange: Exchange) -> None:
        """Answer one request."""
        Forwarding(self.context, exchange).run()


class Forwarding:
    """The state of one request.

    Attributes
    ----------
    may_have_run : bool
        Whether any attempt may have been run by its server.
    uncounted : int
        Attempts that reached no server of the service.
    """

    def __init__(self, context: Context, exchange: Exchange) -> None:
        self.context = context
        self.exchange = exchange
        self.metadata = RequestMetadata("")
        self.progress = Progress(exchange.received_at)
        self.route: Route | None = None
        self.terms: OrganisationLimits | None = None
        self.organisation = ""
        self.ticket: Ticket | None = None
        self.splitter = EventSplitter()
        self.may_have_run = False
        self.in_flight = False
        self.begun = False
        self.uncounted = 0
        self.units = 0.0
        self.outcome = ""
        self.servers: list[str] = []

    @property
    def now(self) -> float:
        """Seconds on the clock of :attr:`Exchange.received_at`."""
        return time.monotonic()

    def run(self) -> None:
        """Answer the request, whatever happens."""
        try:
            self._check()
            with gevent.Timeout(
                max(0.0, self.left_s()) + LATE_ANSWER_S, OutOfTimeError
            ):
                self._forward()
        except OutOfTimeError:
            self._finish_late()
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
            self._release()

    # Before anything is sent

    def _check(self) -> None:
        """Find out what the request is, and whether it may go on."""
        context = self.context
        message = self.exchange.message
        try:
            self.metadata = context.wire.decode_request(message.headers)
        except BadHeaderError as error:
            raise EndiveError(ErrorKind.INVALID_FIELD, str(error)) from None
        context.await_information()
        table = context.table
        if table is None:
            raise EndiveError(
                ErrorKind.NOT_READY, "no configuration yet", retry_after_s=0.5
            )
        host = header_value(message.headers, b"host").decode("latin-1").lower()
        path = message.target.decode("latin-1").partition("?")[0]
        self.route = table.match(host_name(host), path)
        if self.route is None:
            raise EndiveError(ErrorKind.NOT_FOUND, "no route")
        if not table.allows(self.route, self.metadata.key):
            raise EndiveError(ErrorKind.UNAUTHENTICATED, "unknown key")
        self.organisation = table.keys.get(self.metadata.key, "")
        if table.organisations is not None:
            self.terms = table.organisations.get(self.organisation)

    def left_s(self) -> float:
        """Return the time that the request has left, seconds."""
        budget = self.route.timeout_s
        if self.metadata.budget_s is not None:
            budget = min(budget, self.metadata.budget_s)
        return budget - (self.now - self.exchange.received_at)

    def _check_time(self) -> None:
        """Refuse what no server can answer any more; raises EndiveError."""
        least = max(LEAST_LEFT_S, LEAST_PART * self.route.target_s)
        if self.left_s() <= least:
            raise EndiveError(ErrorKind.DEADLINE_EXCEEDED, "no time left")

    def _admit(self) -> None:
        self._check_time()
        call = self._call()
        if self.context.placer.crashes.is_poison(call.fingerprint, self.now):
            raise EndiveError(
                ErrorKind.POISON_REQUEST, "servers crashed while running this request"
            )
        self._spend_quota(call)
        table = self.context.table
        service = self.route.choose(self.context.random.random())
        self.context.retries(service).request(self.now)
        self.service = service
        self.engine = (
            table.services[service].engine if service in table.services else None
        )
        self.ticket = self.context.placer.admit(service, call)

    def _call(self) -> Call:
        metadata, route = self.metadata, self.route
        priority = route.priority
        if self.terms is not None and self.terms.priority is not None:
            priority = self.terms.priority
        self.usual_urgency = min(LAST_URGENCY, priority)
        blocks, ends = part_blocks(
            metadata.model, [(part.id, part.tokens) for part in metadata.parts]
        )
        now = self.now
        self.progress.prompt_tokens = metadata.prompt_tokens or 0
        spent = now - self.exchange.received_at
        content = b"\0".join(
            (self.exchange.message.target, metadata.key.encode(), self.exchange.body)
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
        )

    def _spend_quota(self, call: Call) -> None:
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
            view = self.context.placer.acquire(self.ticket)
            self._check_time()
            self.progress.sent(
                self.now - queued_at,
                self.ticket.uncached_tokens,
                yielded=self.ticket.yields,
            )
            self._count_prompt(view.id)
            try:
                Attempt(self, view).run()
            except AttemptError as error:
                self._fail(error)
            else:
                return

    @property
    def server_priority(self) -> int:
        """The urgency at the server, from 0, which goes first."""
        return LAST_URGENCY if self.ticket.yields else self.usual_urgency

    def _count_prompt(self, server: str) -> None:
        """Count the work that goes to a server; tell of it if others wait for it."""
        tokens = self.ticket.uncached_tokens
        server_s = self.context.placer.server_s(self.service, tokens)
        self.context.work.sent(self.service, server_s)
        if not self.ticket.yields:
            self.context.on_prompt(server, tokens, server_s)

    def count_start(self) -> None:
        """Count that a server began the request, once."""
        if not self.begun:
            self.begun = True
            since = self.exchange.received_at
            self.context.metrics.first_bytes.add(self.now - since)
            stream = self.route.kind is RouteKind.STREAM
            at = self.context.cluster_clock.now() if stream else self.sent_at
            self.context.meter.begin(self.organisation, at)

    # After a failed attempt

    def _fail(self, error: AttemptError) -> None:
        """Queue the request once more, or raise or send its final answer.

        Raises
        ------
        EndiveError
            If there must be no further attempt.
        """
        self.in_flight = False
        self.may_have_run |= error.started
        self.uncounted += not error.counts
        self.context.metrics.retries[str(error.reason)] += 1
        log_event(
            "attempt_failed",
            request=self.metadata.id,
            server=self.servers[-1] if self.servers else "",
            attempt=self.ticket.attempt,
            reason=error.reason,
            started=error.started,
            error=error,
        )
        if error.started:
            self.context.placer.note_break(self.ticket, error.reason)
        try:
            self._try_again(error)
        except EndiveError:
            if error.answer is None or self.exchange.answered:
                raise
            self._pass_failure(error.answer)
        self.splitter.restart()

    def _try_again(self, error: AttemptError) -> None:
        """Queue the request once more; raises EndiveError if it must not be."""
        placer = self.context.placer
        try:
            self._allow_retry(error)
        except EndiveError:
            if error.blames_server:
                placer.gave_up(self.ticket, error.reason, started=error.started)
            raise
        placer.failed(
            self.ticket,
            error.reason,
            started=error.started,
            max_attempts=self.route.max_attempts + self.uncounted,
        )

    def _allow_retry(self, error: AttemptError) -> None:
        """Refuse a further attempt that there must not be; raises EndiveError."""
        if self.exchange.answered and not self.route.resumable:
            raise EndiveError(ErrorKind.OUTCOME_UNKNOWN, "the stream broke off")
        if error.answer is not None and error.answer.status < 500:
            raise EndiveError(ErrorKind.BACKEND_REJECTED, "the server refused")
        if not error.counts:
            return
        if error.started and not self.route.retryable:
            raise EndiveError(ErrorKind.OUTCOME_UNKNOWN, "the request may have run")
        if self.ticket.attempt >= self.route.max_attempts + self.uncounted:
            raise EndiveError(
                ErrorKind.BACKEND_FAILED if self.may_have_run else ErrorKind.OVERLOADED,
                f"all attempts failed, the last: {error}",
            )
        self._check_time()
        budget = self.context.retries(self.service)
        if not budget.spend(self.now, nodes=self.context.nodes):
            raise EndiveError(ErrorKind.RETRY_BUDGET_SPENT, "too many repeats")

    def _pass_failure(self, answer: ServerResponse) -> None:
        """Pass on a server's own failure, unless it would promise too much."""
        self.outcome = f"server_{answer.status}"
        if answer.status in NOT_RUN_STATUSES:
            raise EndiveError(
                ErrorKind.BACKEND_FAILED, f"the server answered {answer.status}"
            )
        self.exchange.answer(answer.status, answer.reason, answer.headers, answer.body)
        raise AnsweredError

    def _finish_late(self) -> None:
        self.may_have_run |= self.in_flight
        self._refuse(EndiveError(ErrorKind.DEADLINE_EXCEEDED, "the time is over"))

    def _refuse(self, error: EndiveError) -> None:
        """Send an answer of this node's own, true about whether the request ran."""
        if isinstance(error, AnsweredError):
            return
        self.outcome = str(error.kind)
        if self.exchange.answered:
            self.exchange.abort()
            return
        status = make_true(error, self.may_have_run)
        if self.units and not self.may_have_run:
            self.context.limits.refund(self.terms.name, self.units)
        self.exchange.refuse(
            error, status, self.context.wire.own_response_headers(self.metadata)
        )

    def _release(self) -> None:
        if self.ticket is not None:
            if self.ticket.stage is not Stage.ENDED and self.in_flight:
                self.count_plain_loss()
            self.context.placer.end(self.ticket)
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
            **self._terms(),
            **self.progress.fields(),
        )

    def _terms(self) -> dict[str, int]:
        """Return the route's targets as the request's log line shows them."""
        if self.route is None:
            return {}
        terms = {"target_ms": round(self.route.target_s * 1000)}
        if self.route.kind is RouteKind.STREAM:
            terms["pause_ms"] = round(self.route.pause_s * 1000)
        return terms

    def _count_outcome(self) -> None:
        metrics = self.context.metrics
        metrics.outcomes[self.outcome or "failed"] += 1
        if self.outcome == "ok":
            metrics.whole.add(self.now - self.exchange.received_at)

    def count_plain_loss(self) -> None:
        """Count a plain request that a server has very likely begun."""
        if self.route.kind is not RouteKind.STREAM:
            self.count_start()
