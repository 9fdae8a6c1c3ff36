"""One attempt at one server: the request sent, its answer judged and passed on."""

from typing import Protocol

from endive_core.calls import Ticket
from endive_core.exceptions import RetryReason
from endive_core.messages import ServerView
from endive_core.routing import Engine, Route, RouteKind

from endive_gateway.callers import Exchange
from endive_gateway.connections import ServerConnection
from endive_gateway.context import Context
from endive_gateway.events import EventSplitter
from endive_gateway.exceptions import AttemptError, ConnectionBrokenError
from endive_gateway.http import AnswerMessage, encode_head, end_to_end
from endive_gateway.interfaces import (
    ForwardingMetadata,
    RequestMetadata,
    ResponseMetadata,
    ServerResponse,
    header_value,
)
from endive_gateway.progress import Progress


class AttemptedRequest(Protocol):
    """What an attempt needs of its request, and what it leaves there.

    Attributes
    ----------
    in_flight : bool
        Whether an attempt was sent and has not ended.
    servers : list of str
        Servers tried, in order.
    sent_at : float
        True time at which the newest attempt was sent.
    """

    context: Context
    exchange: Exchange
    metadata: RequestMetadata
    progress: Progress
    route: Route
    engine: Engine | None
    ticket: Ticket
    splitter: EventSplitter
    organisation: str
    server_priority: int
    in_flight: bool
    servers: list[str]
    sent_at: float
    outcome: str

    @property
    def now(self) -> float:
        """Seconds on the monotonic clock."""

    def left_s(self) -> float:
        """Return the time that the request has left, seconds."""

    def count_start(self) -> None:
        """Count that a server began the request, once."""

    def count_plain_loss(self) -> None:
        """Count a plain request that a server has very likely begun."""


class Attempt:
    """One attempt of a request at one server.

    Attributes
    ----------
    request : AttemptedRequest
        The request's own state, which outlives its attempts.
    """

    def __init__(self, request: AttemptedRequest, view: ServerView) -> None:
        self.request = request
        self.context = request.context
        self.view = view
        self.connection: ServerConnection | None = None

    def run(self) -> None:
        """Make the attempt; raises AttemptError unless a success was passed on."""
        view = self.view
        known = self.context.registry.get(view.id)
        if known is None or not known.usable:
            raise AttemptError(
                "the server is leaving",
                RetryReason.SERVER_LEAVING,
                started=False,
                counts=False,
            )
        self.request.servers.append(view.id)
        try:
            self.connection = self.context.pool.take(view.id, view.address)
        except ConnectionBrokenError as error:
            raise AttemptError(
                f"connecting: {error}",
                RetryReason.CONNECT_FAILED,
                started=False,
                counts=False,
            ) from None
        self.request.in_flight = True
        self.request.sent_at = self.context.cluster_clock.now()
        try:
            self._send()
            message, metadata = self.connection.read_head(self.request.metadata.id)
            self._judge(message, metadata)
        except ConnectionBrokenError as error:
            self.request.count_plain_loss()
            raise AttemptError(
                str(error), RetryReason.SERVER_FAILED, started=True
            ) from None
        finally:
            self._drop_connection()
        self.request.in_flight = False

    def _send(self) -> None:
        message = self.request.exchange.message
        forwarding = ForwardingMetadata(
            server_id=self.view.id,
            organisation=self.request.organisation,
            left_s=max(0.001, self.request.left_s()),
            server_priority=self.request.server_priority,
            last_event_id=self.request.splitter.last_id
            or self.request.metadata.last_event_id,
        )
        headers = self.context.wire.encode_request(
            end_to_end(message.headers, self.context.wire.end_to_end_headers()),
            self.request.metadata,
            forwarding,
        )
        body = self.request.exchange.body
        if message.has_length or body:
            headers.append((b"Content-Length", b"%d" % len(body)))
        line = b"%s %s HTTP/1.1" % (message.method, message.target)
        self.connection.send(encode_head(line, headers), body)

    def _judge(self, message: AnswerMessage, metadata: ResponseMetadata) -> None:
        """Pass a success on; raise AttemptError for all else."""
        view = self.view
        if metadata.running is not None:
            self.context.placer.report(view.id, metadata.running, metadata.waiting or 0)
        if message.status == 421:
            self.context.registry.mark_misidentified(view.id)
            raise AttemptError(
                "another server has the address",
                RetryReason.SERVER_LEAVING,
                started=False,
                counts=False,
            )
        if metadata.not_run:
            self.connection.read_all(message)
            self._keep_connection(message)
            raise AttemptError(
                f"the server refused with {message.status}",
                RetryReason.SERVER_BUSY,
                started=False,
            )
        if 200 <= message.status < 300:
            self._check_success(message, metadata)
            if self.request.route.kind is RouteKind.STREAM:
                self._pass_stream(message)
            else:
                self._pass_whole(message)
            return
        answer = self._whole(message)
        self._keep_connection(message)
        self.request.count_start()
        raise AttemptError(
            f"the server answered {message.status}",
            RetryReason.SERVER_SLOW,
            started=True,
            answer=answer,
        )

    def _check_success(
        self, message: AnswerMessage, metadata: ResponseMetadata
    ) -> None:
        """Refuse a success that is not the server's own."""
        encoding = header_value(message.headers, b"content-encoding").lower()
        if not metadata.signed or encoding not in (b"", b"identity"):
            raise ConnectionBrokenError("an answer without a signature", sent=True)

    def _whole(self, message: AnswerMessage) -> ServerResponse:
        body = (
            self.connection.read_all(message)
            if self.request.exchange.message.method != b"HEAD"
            else b""
        )
        return ServerResponse(
            message.status, message.reason, end_to_end(message.headers), body
        )

    def _pass_whole(self, message: AnswerMessage) -> None:
        answer = self._whole(message)
        self.context.placer.started(self.request.ticket)
        self.request.count_start()
        self._keep_connection(message)
        self.context.placer.finished(self.request.ticket, 1)
        self.request.outcome = "ok"
        self.request.progress.passed(self.request.now)
        self.request.exchange.answer(
            answer.status, answer.reason, answer.headers, answer.body
        )

    def _pass_stream(self, message: AnswerMessage) -> None:
        """Pass a stream's events on as they come.

        The head waits for the first event: until then another server may take over.
        """
        exchange = self.request.exchange
        resumable = self.request.route.resumable
        while data := self.connection.read_body(message):
            self.context.placer.started(self.request.ticket)
            self.request.count_start()
            if resumable:
                data = self.request.splitter.feed(data)
            if data and not exchange.answered:
                exchange.begin(
                    message.status, message.reason, end_to_end(message.headers)
                )
            if data:
                self.request.progress.passed(self.request.now)
            exchange.pass_on(data)
        self._keep_connection(message)
        self.context.placer.finished(self.request.ticket, self._tokens())
        if not exchange.answered:
            exchange.begin(message.status, message.reason, end_to_end(message.headers))
        exchange.pass_on(self.request.splitter.rest())
        self.request.outcome = "ok"
        exchange.end()

    def _tokens(self) -> int:
        if self.request.engine is None or not self.request.splitter.count:
            return max(1, self.request.metadata.max_tokens or 1)
        return self.request.splitter.count * self.request.engine.tokens_per_event

    def _keep_connection(self, message: AnswerMessage) -> None:
        """Keep the connection for another request, if its answer is whole."""
        connection, self.connection = self.connection, None
        if connection.finish(message):
            self.context.pool.give_back(self.view.id, connection)
        else:
            connection.close()

    def _drop_connection(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None
