"""One attempt of a request at one server, and the pieces that it returns."""

from collections.abc import Iterator
from typing import Protocol

from endive_core.calls import Ticket
from endive_core.exceptions import RetryReason
from endive_core.lifecycle import Event, Lifecycle
from endive_core.messages import Endpoint, Piece, ServerView

from endive_node.backends import EngineServer
from endive_node.contexts import RunContext
from endive_node.interfaces import BackendError
from endive_node.request_registry import REORDERED, RequestRecord
from endive_node.request_traces import RequestTrace

CANCELLED = "cancelled"
"""Finish reason of a sequence that an engine stopped on request."""


class AttemptedRun(Protocol):
    """The parts of a run that its attempts use.

    Attributes
    ----------
    backend : EngineServer or None
        The server that streams the response, so that the stream can be stopped there.
    kv_cache : dict or None
        KV cache that a move exported from the previous server.
    """

    context: RunContext
    record: RequestRecord
    ticket: Ticket
    lifecycle: Lifecycle
    trace: RequestTrace
    backend: EngineServer | None
    kv_cache: dict | None


class RunAttempt:
    """One attempt at one server; raises BackendError if the response is incomplete."""

    def __init__(self, run: AttemptedRun, server: ServerView) -> None:
        self.run = run
        self.server = server

    def steps(self) -> Iterator[None]:
        """Run the attempt; yield after each batch of pieces."""
        if self.run.record.request.endpoint is Endpoint.SERVICE:
            self._call_service()
        else:
            yield from self._stream()

    def _call_service(self) -> None:
        plain = self.run.context.clients.plain(self.server.address)
        request = self.run.record.request
        self.run.record.plain_response = plain.call(
            request, self.run.record.attempt, request.body["data"]
        )
        self.run.record.finish_reason = "stop"

    def _stream(self) -> Iterator[None]:
        record = self.run.record
        self.run.backend = self.run.context.clients.engine(self.server.address)
        if self.run.kv_cache is not None:
            self.run.backend.import_kv(self.run.kv_cache)
            self.run.kv_cache = None
        batches = self.run.backend.run(
            record.request,
            record.attempt,
            record.tokens,
            priority=self.run.ticket.call.rank,
        )
        for pieces in batches:
            if pieces[-1].finish_reason == CANCELLED:
                raise BackendError(
                    "the server stopped the stream on request",
                    started=True,
                    reason=RetryReason.SERVER_LEAVING,
                    stopped=True,
                )
            self._add_pieces(pieces)
            record.wake()
            if record.finish_reason:
                break
            yield
        if not record.finish_reason:
            raise BackendError(
                "stream ended with pieces missing",
                started=True,
                reason=RetryReason.SERVER_FAILED,
            )

    def _add_pieces(self, pieces: list[Piece]) -> None:
        record = self.run.record
        before = len(record.tokens)
        for piece in pieces:
            reason = record.classify(piece)
            if reason:
                self.run.context.metrics.count_drop(reason)
                if reason == REORDERED:
                    record.keep_early(piece)
            else:
                record.append(piece)
        added = len(record.tokens) - before
        if added and self.run.lifecycle.allows(Event.FIRST_PIECE):
            self.run.lifecycle.fire(Event.FIRST_PIECE)
            self.run.context.dispatcher.started(self.run.ticket)
        if added and record.first_token_at is None:
            self.run.trace.add_note("first token")
            record.first_token_at = self.run.context.clock.now()
            self.run.context.metrics.first_token.record(
                record.first_token_at - record.accepted_at
            )
        self.run.context.metrics.tokens.add(added)
