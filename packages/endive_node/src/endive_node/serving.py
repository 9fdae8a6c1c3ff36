"""The path of one request: accept, place, run, and run again elsewhere if need be."""

import uuid
from collections.abc import Iterator

import gevent
from endive_core.calls import Ticket
from endive_core.catalogue import Catalogue
from endive_core.exceptions import EndiveError, ErrorKind, Executed, RetryReason
from endive_core.hashing import fingerprint
from endive_core.lifecycle import Event, Lifecycle
from endive_core.messages import Endpoint, Piece, Request, ServerView

from endive_node.backends import BackendClients, EngineServer
from endive_node.dispatching import Dispatcher
from endive_node.explaining import Trails, ending
from endive_node.interfaces import BackendError, Claims, Clock
from endive_node.ledger import Ledger, RequestRecord
from endive_node.settings import LimitsSection
from endive_node.telemetry import Metrics, log_event

EXPIRE_EVERY_S = 1.0


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
        self.clients = clients
        self.limits = limits
        self.metrics = metrics
        self.clock = clock
        self.claims = claims
        self.ledger = Ledger(limits.keep_finished_s)
        self.trails = Trails(clock, limits.explained_requests)
        self.stopping = False

    def new_request_id(self) -> str:
        """Return an id that names this node, so that any other can find the answer."""
        return f"{self.node_id}.{uuid.uuid4().hex[:20]}"

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
            self.metrics.refused(error.kind)
            self.trails.refused(request, error)
            error.request_id = request.request_id
            raise

    def _accept(self, request: Request) -> "Run":
        if self.stopping:
            raise EndiveError(ErrorKind.STOPPING, "this node takes no new requests")
        request.fingerprint = fingerprint(
            f"{request.endpoint}\0{request.path}\0{request.model}\0{request.prompt}"
        )
        known = self._joined(request)
        if known is not None:
            return known
        if request.non_idempotent and not request.key:
            raise EndiveError(
                ErrorKind.KEY_REQUIRED,
                "a non-idempotent request needs an Idempotency-Key header",
            )
        ticket = self.dispatcher.admit(request)
        run = Run(self, RequestRecord(request, self.clock.now()), ticket)
        self.ledger.add(run)
        self.metrics.accepted.add(1)
        return run

    def _joined(self, request: Request) -> "Run | None":
        if not request.key:
            return None
        run = self.ledger.by_idempotency_key(request.organisation, request.key)
        if run is None:
            return None
        if run.record.request.fingerprint != request.fingerprint:
            raise EndiveError(
                ErrorKind.KEY_REUSED, "the idempotency key was used for another request"
            )
        if run.life.executed is Executed.NO and run.life.ended:
            return None
        return run

    def expire(self) -> None:
        """Forget finished answers for ever; the body of a greenlet."""
        while True:
            gevent.sleep(EXPIRE_EVERY_S)
            self.ledger.expire(self.clock.now())


class Run:
    """One request on its way; whoever reads the answer drives it.

    The reader's own greenlet reads from the backend server, so that a token costs one
    read and one write and no switch between greenlets. Other readers of the same
    answer wait for the driver; when the driver leaves, the next one takes over.
    """

    def __init__(self, serving: Serving, record: RequestRecord, ticket: Ticket) -> None:
        self.serving = serving
        self.record = record
        self.ticket = ticket
        self.life = Lifecycle(record.request.non_idempotent)
        self.trail = serving.trails.begin(record.request)
        self.trail.note(f"accepted by {serving.node_id}")
        self.backend: EngineServer | None = None
        self.driving = False
        self.readers = 0
        self._steps = self._drive()

    def read(self, start: int = 0) -> Iterator[list[str]]:
        """Yield the answer's tokens from index `start`, as they come.

        Raises
        ------
        EndiveError
            Where the answer ends in an error.
        """
        position = start
        self.readers += 1
        try:
            while True:
                if position < len(self.record.tokens):
                    fresh = self.record.tokens[position:]
                    position += len(fresh)
                    yield fresh
                elif self.record.ended:
                    break
                else:
                    self._progress()
            if self.record.error is not None:
                raise self.record.error
        finally:
            self.readers -= 1
            self._reader_left()

    def _progress(self) -> None:
        if self.driving:
            self.record.progressed.wait()
        else:
            self.advance()

    def advance(self) -> None:
        """Drive the request up to its next pieces, or its end."""
        self.driving = True
        try:
            next(self._steps, None)
        except EndiveError as error:
            self._fail(error)
        except Exception as error:
            log_event(
                "request_crashed",
                request_id=self.record.request.request_id,
                error=repr(error),
            )
            self._fail(EndiveError(ErrorKind.INTERNAL, "an internal error"))
            raise
        finally:
            self.driving = False
            self.record.wake()

    def finish_in_background(self) -> None:
        """Drive to the end without a reader."""
        while not self.record.ended:
            self._progress()

    def _reader_left(self) -> None:
        """Go on without readers only where stopping would lose what was accepted.

        A caller that hangs up on a request without a key cannot come back for it, so
        its server is freed; with a key it may send the request again and join.
        """
        if self.readers or self.record.ended:
            return
        if self.record.request.key:
            gevent.spawn(self.finish_in_background)
        elif not self.driving:
            self._steps.close()
            self._fail(EndiveError(ErrorKind.CANCELLED, "the caller hung up"))

    def _fail(self, error: EndiveError) -> None:
        if self.record.ended:
            return
        error = self._true_error(error)
        self.life.fire(Event.REFUSE if self.life.allows(Event.REFUSE) else Event.FAIL)
        self.record.error = error
        self.trail.note(ending(error))
        self.serving.metrics.refused(error.kind)
        self._ended(outcome=error.kind)

    def _true_error(self, error: EndiveError) -> EndiveError:
        """Return `error`, or one that doesn't deny an attempt that may have run.

        A later attempt that finds no server, say, would tell the caller "not run"
        although an earlier one was sent; the caller would send a court confirmation
        again.
        """
        if error.executed is not Executed.NO or self.life.executed is Executed.NO:
            return error
        kind = (
            ErrorKind.OUTCOME_UNKNOWN
            if self.record.request.non_idempotent
            else ErrorKind.BACKEND_FAILED
        )
        return EndiveError(kind, f"after an attempt that may have run: {error.message}")

    def _ended(self, *, outcome: str) -> None:
        record = self.record
        record.finished_at = self.serving.clock.now()
        self.trail.state = str(self.life.state)
        self.trail.executed = str(self.life.executed)
        self.serving.dispatcher.end(self.ticket)
        self.serving.metrics.finished.add(1)
        log_event(
            "request_ended",
            request_id=record.request.request_id,
            organisation=record.request.organisation,
            model=record.request.model,
            outcome=outcome,
            tokens=len(record.tokens),
            attempts=record.attempt,
            servers=",".join(record.servers),
            seconds=record.finished_at - record.accepted_at,
        )

    def _drive(self) -> Iterator[None]:
        """Run attempts until one ends the answer; yield after each batch of pieces."""
        self.life.fire(Event.ENQUEUE)
        while not self.record.ended:
            server = self.serving.dispatcher.acquire(self.ticket)
            try:
                yield from self._attempt(server)
            except BackendError as error:
                self._decide_retry(error)

    def _claim(self) -> None:
        """Win the only right to send a non-idempotent request, once."""
        if not self.life.allows(Event.CLAIM):
            return
        self.life.fire(Event.CLAIM)
        self.serving.claims.win(self.record.request)
        self.life.fire(Event.WON)

    def _attempt(self, server: ServerView) -> Iterator[None]:
        self._claim()
        self.life.fire(Event.DISPATCH)
        record = self.record
        record.attempt += 1
        record.servers.append(server.id)
        self.trail.note(
            f"attempt {record.attempt} at {server.id} in {server.zone}"
            f" from token {len(record.tokens)}"
        )
        if record.request.endpoint is Endpoint.SERVICE:
            self._call_plain(server)
        else:
            yield from self._stream(server)
        self.life.fire(Event.COMPLETE)
        self.trail.note(f"whole, {len(record.tokens)} tokens")
        self.serving.dispatcher.finished(self.ticket, len(record.tokens) or 1)
        self._ended(outcome="ok")

    def _call_plain(self, server: ServerView) -> None:
        plain = self.serving.clients.plain(server.address)
        request = self.record.request
        self.record.plain_answer = plain.call(
            request, self.record.attempt, request.body["data"]
        )
        self.record.finish_reason = "stop"

    def _stream(self, server: ServerView) -> Iterator[None]:
        record = self.record
        self.backend = self.serving.clients.engine(server.address)
        batches = self.backend.run(
            record.request,
            record.attempt,
            record.tokens,
            priority=self.ticket.call.rank,
        )
        for pieces in batches:
            self._take(pieces)
            record.wake()
            if record.finish_reason:
                break
            yield
        if not record.finish_reason:
            raise BackendError(
                "pieces are missing",
                started=True,
                reason=RetryReason.SERVER_FAILED,
            )

    def _take(self, pieces: list[Piece]) -> None:
        record = self.record
        taken = 0
        for piece in pieces:
            reason = record.classify(piece)
            if reason:
                self.serving.metrics.dropped(reason)
            else:
                record.take(piece)
                taken += 1
        if taken and self.life.allows(Event.FIRST_PIECE):
            self.life.fire(Event.FIRST_PIECE)
            self.serving.dispatcher.started(self.ticket)
        if taken and record.first_token_at is None:
            self.trail.note("first token")
            record.first_token_at = self.serving.clock.now()
            self.serving.metrics.first_token.record(
                record.first_token_at - record.accepted_at
            )
        self.serving.metrics.tokens.add(taken)

    def _decide_retry(self, error: BackendError) -> None:
        """Return if another attempt is allowed; otherwise raise the final answer."""
        self.trail.note(
            f"attempt {self.record.attempt} failed: {error.reason}: {error}"
        )
        if not error.started:
            self.life.fire(Event.NOT_STARTED)
        elif self.life.allows(Event.SERVER_LOST):
            self.life.fire(Event.SERVER_LOST)
        if error.final_status is not None:
            raise EndiveError(ErrorKind.BACKEND_REJECTED, str(error)) from None
        self.serving.dispatcher.failed(self.ticket, error)
