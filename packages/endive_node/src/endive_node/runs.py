"""One accepted request: its attempts at servers, moves, handover and end."""

from collections.abc import Iterator

import gevent
from endive_core.calls import Ticket
from endive_core.claims import Claimant, ClaimState
from endive_core.exceptions import EndiveError, ErrorKind, Executed
from endive_core.handover import RequestHead, head_of
from endive_core.lifecycle import UNSENT_STATES, Event, Lifecycle, State
from endive_core.messages import Endpoint, ServerView

from endive_node.attempts import RunAttempt
from endive_node.backends import EngineServer
from endive_node.contexts import RunContext
from endive_node.interfaces import BackendError, RunPaused
from endive_node.logs import log_event
from endive_node.pending_moves import PendingMove
from endive_node.request_registry import RequestRecord, read_tokens
from endive_node.request_traces import cache_note, error_note, queue_note


class Run:
    """One accepted request, driven by a greenlet that reads its response.

    The reader's own greenlet reads from the backend server, so that a token costs one
    read and one write and no switch between greenlets. Other readers of the same
    response wait for this driver; when it leaves, the next reader drives.

    Attributes
    ----------
    driver : gevent.Greenlet or None
        The greenlet that drives the request now or did so last.
    paused : bool
        Whether nobody may drive the request until :meth:`resume` is called.
    sent_before : bool
        Whether a former holder may have sent the request to a server.
    continues : int
        For a non-idempotent request, one more than the last attempt that was sent
        under an earlier claim; 0 if there is none.
    moved : bool
        Whether another node has taken the request over.
    pending_move : PendingMove or None
        The move that stops the current attempt, if there is one.
    kv_cache : dict or None
        KV cache exported from the previous server, for the next attempt.
    """

    def __init__(
        self, context: RunContext, record: RequestRecord, ticket: Ticket | None
    ) -> None:
        self.context = context
        self.record = record
        self.ticket = ticket
        self.lifecycle = Lifecycle(record.request.non_idempotent)
        self.trace = context.traces.get_or_create(record.request)
        self.trace.add_note(f"accepted by {context.node_id}{queue_note(ticket)}")
        self.claim: Claimant | None = None
        self.backend: EngineServer | None = None
        self.server: ServerView | None = None
        self.driver: gevent.Greenlet | None = None
        self.driving = False
        self.paused = False
        self.sent_before = False
        self.continues = 0
        self.moved = False
        self.pending_move: PendingMove | None = None
        self.kv_cache: dict | None = None
        self.readers = 0
        self._steps = self._drive()

    def read(self, start: int = 0) -> Iterator[list[str]]:
        """Yield the response's tokens from index `start` as they arrive.

        Raises
        ------
        EndiveError
            If the response ends in an error.
        """
        self.readers += 1
        try:
            yield from read_tokens(self.record, start, self._advance_or_wait)
        finally:
            self.readers -= 1
            self._reader_left()

    def _advance_or_wait(self) -> None:
        if self.driving or self.paused:
            self.record.progressed.wait()
        else:
            self.advance()

    def advance(self) -> None:
        """Drive the request up to its next batch of pieces or its end."""
        self.driving = True
        self.driver = gevent.getcurrent()
        try:
            next(self._steps, None)
        except RunPaused:
            pass
        except EndiveError as error:
            self._fail(error)
        except Exception as error:
            log_event(
                "request_crashed",
                request_id=self.record.request.request_id,
                error=repr(error),
            )
            self._fail(EndiveError(ErrorKind.INTERNAL, "internal error"))
            raise
        finally:
            self.driving = False
            self.record.wake()

    @property
    def not_run(self) -> bool:
        """Whether the request ended without any server having run it."""
        return self.lifecycle.ended and self.lifecycle.executed is Executed.NO

    @property
    def dispatched(self) -> bool:
        """Whether this node or a former holder may have sent it to a server."""
        return self.sent_before or self.lifecycle.state not in UNSENT_STATES

    @property
    def claim_continues(self) -> int:
        """One more than the last attempt under a used claim; 0 if none was used.

        Only a used claim is held permanently. If a request continued under a key of
        its own after its claim was released, another request could win the caller's
        key, and both would run.
        """
        if self.claim is not None and self.claim.state is ClaimState.USED:
            return self.record.attempt + 1
        return self.continues

    def mark_offered(self) -> None:
        """Record that another node is sent the request and may run it."""
        if self.lifecycle.allows(Event.OFFER):
            self.lifecycle.fire(Event.OFFER)

    def finish_in_background(self) -> None:
        """Drive the request to its end without a reader."""
        while not self.record.ended:
            self._advance_or_wait()

    def pause(self) -> None:
        """Stop driving; readers wait until the request is resumed or has moved.

        RunPaused is thrown into the driver, whether it waits for a server, in the
        queue or for the log. The hub does so, as for gevent's own time-outs, so it
        has happened once the caller of this method has yielded.
        """
        self.paused = True
        if self.driving:
            gevent.get_hub().loop.run_callback(self._interrupt)

    def _interrupt(self) -> None:
        if self.driving and self.paused:
            self.driver.throw(RunPaused)

    def wait_for_holder(self, *, sent_before: bool) -> None:
        """Pause a request that its former holder has not stopped yet."""
        self.paused = True
        self.sent_before = sent_before
        self.lifecycle.state = State.JOINING

    def hand_over(self) -> None:
        """Release a paused request, so that this node sends nothing of it any more."""
        if self.lifecycle.allows(Event.SERVER_LOST):
            self.lifecycle.fire(Event.SERVER_LOST)
        self.pending_move = None
        if self.lifecycle.allows(Event.HAND_OVER):
            self.lifecycle.fire(Event.HAND_OVER)
            self._withdraw_claim()
        self._release_ticket()

    def _release_ticket(self) -> None:
        if self.ticket is not None:
            self.context.dispatcher.end(self.ticket)
            self.ticket = None

    def cancel_handover(self, *, uncertain: bool) -> None:
        """Resume a request whose handover failed.

        Parameters
        ----------
        uncertain : bool
            Whether the other node may have taken it over all the same.
        """
        if self.lifecycle.state is State.HANDING_OVER:
            self.lifecycle.fire(Event.UNACKNOWLEDGED if uncertain else Event.DECLINED)
        self.resume()

    def resume(self, *, in_background: bool = False) -> None:
        """Drive a request again that was paused or handed over by another node.

        Parameters
        ----------
        in_background : bool
            Drive it in a greenlet of its own even if it has readers.
        """
        if not self.paused or self.record.ended:
            return
        self.paused = False
        if self.lifecycle.state is State.JOINING:
            self.lifecycle = Lifecycle(
                self.record.request.non_idempotent, self.sent_before
            )
        self._steps = self._drive()
        if in_background or not self.readers:
            gevent.spawn(self.finish_in_background)
        self.record.wake()

    def end_moved(self) -> None:
        """End the response here, since another node continues it."""
        self.moved = True
        if self.record.ended:
            return
        self.lifecycle.fire(Event.ACKNOWLEDGED)
        self._end_with(
            EndiveError(
                ErrorKind.MOVED,
                "this node is being reclaimed; resume at any other node with "
                "GET /v1/requests/ID and Last-Event-ID, or send the request again "
                "with its idempotency key",
            )
        )

    def end_complete(self, finish_reason: str) -> None:
        """End a response that its former holder had completed."""
        self.lifecycle.fire(Event.COMPLETE)
        self.record.finish_reason = finish_reason
        self._record_end(outcome="ok")
        self.record.wake()

    def end_failed(self, error: EndiveError) -> None:
        """End a response with the error with which its former holder ended it."""
        self._fail(error)

    def head(self) -> RequestHead:
        """Return the metadata that another node needs to relay the response."""
        return head_of(self.record.request)

    def stop_at_server(self) -> bool:
        """Stop the request at its server; return whether the server confirmed it.

        Without confirmation by its engine the request ends as ``outcome_unknown``.
        A request that no engine runs cannot be stopped.
        """
        if self.backend is None or self.record.request.endpoint is Endpoint.SERVICE:
            return False
        self.pause()
        gevent.sleep(0)
        tokens = self.backend.cancel(self.record.request.request_id)
        if tokens is None:
            self.end_unknown()
            return False
        self.lifecycle.fire(Event.SERVER_STOPPED)
        self.record.extend(tokens)
        return True

    def end_unknown(self) -> None:
        """End a request whose outcome its former holder did not report."""
        self._fail(
            EndiveError(
                ErrorKind.OUTCOME_UNKNOWN,
                "the node that held the request was reclaimed before it reported "
                "whether a server ran it",
            )
        )

    def _reader_left(self) -> None:
        """Continue without readers only if the request has an idempotency key.

        A caller that disconnects from a request without a key cannot resume it, so the
        request is cancelled and its server freed. With a key, the caller may send the
        request again and read the same response.
        """
        if self.readers or self.record.ended:
            return
        if self.record.request.key:
            gevent.spawn(self.finish_in_background)
        elif not self.driving:
            self._steps.close()
            self._fail(EndiveError(ErrorKind.CANCELLED, "the caller disconnected"))

    def _fail(self, error: EndiveError) -> None:
        if self.record.ended:
            return
        error = self._correct_executed(error)
        self.lifecycle.fire(
            Event.REFUSE if self.lifecycle.allows(Event.REFUSE) else Event.FAIL
        )
        self._withdraw_claim()
        self._end_with(error)

    def _end_with(self, error: EndiveError) -> None:
        self.record.error = error
        self.trace.add_note(error_note(error))
        self.context.metrics.count_refusal(error.kind)
        self._record_end(outcome=error.kind)
        self.record.wake()

    def _correct_executed(self, error: EndiveError) -> EndiveError:
        """Return `error`, or one that reports that an earlier attempt may have run.

        If a later attempt finds no server, its error says "not run" although an
        earlier attempt was sent; the caller would repeat a non-idempotent request.
        """
        if error.executed is not Executed.NO or self.lifecycle.executed is Executed.NO:
            return error
        kind = (
            ErrorKind.OUTCOME_UNKNOWN
            if self.record.request.non_idempotent
            else ErrorKind.BACKEND_FAILED
        )
        return EndiveError(kind, f"an earlier attempt may have run: {error.message}")

    def _record_end(self, *, outcome: str) -> None:
        record = self.record
        record.finished_at = self.context.clock.now()
        self.trace.state = str(self.lifecycle.state)
        self.trace.executed = str(self.lifecycle.executed)
        self._release_ticket()
        self.context.metrics.finished.add(1)
        log_event(
            "request_ended",
            request_id=record.request.request_id,
            organisation=record.request.organisation,
            model=record.request.model,
            outcome=outcome,
            events=",".join(self.lifecycle.history),
            tokens=len(record.tokens),
            attempts=record.attempt + 1,
            servers=",".join(record.servers),
            seconds=record.finished_at - record.accepted_at,
        )

    def _drive(self) -> Iterator[None]:
        """Run attempts until the response ends; yield after each batch of pieces."""
        if self.lifecycle.allows(Event.ENQUEUE):
            self.lifecycle.fire(Event.ENQUEUE)
        if self.ticket is None:
            self.ticket = self.context.dispatcher.take_over(self.record.request)
        self._claim()
        while not self.record.ended:
            server = self.context.dispatcher.acquire(self.ticket)
            try:
                yield from self._attempt(server)
            except BackendError as error:
                if not self._finish_move(error):
                    self._decide_retry(error)

    def _claim(self) -> None:
        """Acquire the claim on a non-idempotent request's key, once.

        The log decides the claim while the request waits in its queue, so that this
        usually adds nothing to the wait for a server.
        """
        if not self.lifecycle.allows(Event.CLAIM):
            return
        self.lifecycle.fire(Event.CLAIM)
        self.continues = self.claim_continues
        try:
            self.claim = self.context.claims.acquire(
                self.record.request, self.continues
            )
        except RunPaused:
            self.lifecycle.fire(Event.UNCLAIM)
            raise
        self.lifecycle.fire(Event.WON)

    def _use_claim(self) -> None:
        """Mark the claim as used before anything is sent under it."""
        if self.claim is not None and self.claim.state is not ClaimState.USED:
            self.claim.use()

    def _not_started(self) -> None:
        """Record that an attempt certainly did not run; its claim is still held."""
        self.lifecycle.fire(Event.NOT_STARTED)
        if self.claim is not None and self.lifecycle.state is State.CLAIMED:
            self.claim.not_started()

    def _withdraw_claim(self) -> None:
        """Withdraw an unused claim, once the lifecycle rules out that it is used."""
        if self.claim is not None:
            self.context.claims.withdraw(self.claim)

    def _attempt(self, server: ServerView) -> Iterator[None]:
        self._use_claim()
        self.lifecycle.fire(Event.DISPATCH)
        record = self.record
        record.attempt += 1
        record.servers.append(server.id)
        self.server = server
        attempt_text = f"attempt {record.attempt + 1} at {server.id} in {server.zone}"
        self.trace.add_note(
            f"{attempt_text} from token {len(record.tokens)}{cache_note(self.ticket)}"
        )
        yield from RunAttempt(self, server).steps()
        self.lifecycle.fire(Event.COMPLETE)
        tokens = len(record.tokens)
        self.trace.add_note(f"complete, {tokens} tokens")
        self.context.dispatcher.finished(self.ticket, tokens or 1)
        self._record_end(outcome="ok")

    def _finish_move(self, error: BackendError) -> bool:
        """Return whether the attempt ended because its stream moves elsewhere.

        The StreamMover that stopped it has the tokens up to the stop, and the KV cache
        if there was time to export it. A move is not a failure: it does not count
        against the maximum number of attempts.
        """
        pending_move, self.pending_move = self.pending_move, None
        if pending_move is None or not pending_move.wait():
            return False
        if error.started:
            self.lifecycle.fire(Event.SERVER_STOPPED)
        else:
            self._not_started()
        self.record.extend(pending_move.tokens)
        self.kv_cache = pending_move.kv_cache
        self.trace.add_note(
            f"stopped at {self.record.servers[-1]} for a move, with "
            f"{len(pending_move.tokens)} tokens"
            f"{' and the KV cache' if pending_move.kv_cache else ''}"
        )
        self.context.dispatcher.requeue_moved(self.ticket, len(self.record.tokens))
        return True

    def _decide_retry(self, error: BackendError) -> None:
        """Return if another attempt is allowed; otherwise raise the final error."""
        self.trace.add_note(
            f"attempt {self.record.attempt + 1} failed: {error.reason}: {error}"
        )
        if not error.started:
            self._not_started()
        elif self.lifecycle.allows(Event.SERVER_LOST):
            self.lifecycle.fire(Event.SERVER_LOST)
        if error.final_status is not None:
            raise EndiveError(ErrorKind.BACKEND_REJECTED, str(error)) from None
        self.context.dispatcher.failed(self.ticket, error)
