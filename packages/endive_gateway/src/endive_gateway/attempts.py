"""One attempt of a request at one backend server: send, check and forward."""

from typing import Protocol

import gevent
from endive_core.calls import Ticket
from endive_core.exceptions import RetryReason
from endive_core.messages import ServerView
from endive_core.pooled_servers import Outcome
from endive_core.routing import Engine, Route, RouteKind
from endive_node.logs import log_event

from endive_gateway.connections import ServerConnection
from endive_gateway.context import Context
from endive_gateway.events import EventSplitter
from endive_gateway.exceptions import (
    AttemptError,
    ConnectionBrokenError,
    FetchOverdueError,
    VersionMismatchError,
)
from endive_gateway.exchange import Exchange
from endive_gateway.http import encode_head, end_to_end
from endive_gateway.interfaces import (
    ForwardingMetadata,
    RequestMetadata,
    ResponseMetadata,
    ServerEntry,
    ServerResponse,
    header_value,
)
from endive_gateway.leaving_servers import MISDIRECTED_STATUS
from endive_gateway.memory_budget import HeldMemory
from endive_gateway.prefix_fetching import FetchTimer
from endive_gateway.progress import Progress
from endive_gateway.response_parser import ResponseMessage
from endive_gateway.rollout_observation import Observation
from endive_gateway.server_processes import Writer
from endive_gateway.slot_leasing import SlotLease
from endive_gateway.slot_pooling import PoolLease
from endive_gateway.stream_affinity import StreamAffinity

SLOT_WAIT_FRACTION = 0.5
"""Part of the time left until the route's target for which a slot of a brittle server
is waited for; the rest is for the response."""

MIN_SLOT_WAIT_S = 0.02
"""Least time for which such a slot is waited for, seconds."""

MIN_LEASE_S = 0.1
"""Least time for which such a slot is leased, seconds."""


REFUSAL_BODY_S = 0.05
"""Longest time for which the body of a refusal is read, seconds; servers send it with
its head. A new connection costs less than a request that waits."""

MAX_HELD_BODY_BYTES = 262_144
"""Largest body that is held until it is complete, bytes. A larger one is forwarded as
it comes, and its request is not sent again elsewhere if it breaks off."""


class AttemptedRequest(Protocol):
    """The state of a request that its attempts read and update.

    Attributes
    ----------
    in_flight : bool
        Whether an attempt was sent and has not ended.
    servers : list of str
        Ids of the servers tried, in order.
    transit_node : str or None
        IP address of the node through which the latest attempt went, if it did.
    sent_at : float
        When the latest attempt was sent, seconds on the cluster clock.
    observation : Observation or None
        The latest attempt, as it is compared with others during a rollout.
    writer : Writer or None
        The process that answers the latest attempt.
    """

    context: Context
    exchange: Exchange
    metadata: RequestMetadata
    progress: Progress
    route: Route
    service: str
    max_attempts: int
    engine: Engine | None
    ticket: Ticket
    splitter: EventSplitter
    affinity: StreamAffinity
    organisation: str
    server_priority: int
    in_flight: bool
    servers: list[str]
    transit_node: str | None
    sent_at: float
    outcome: str
    observation: Observation | None
    writer: Writer | None

    @property
    def now(self) -> float:
        """Seconds on the monotonic clock."""

    def left_s(self) -> float:
        """Return the time left until the request's deadline, seconds."""

    def count_start(self) -> None:
        """Count the request's start at a server, at most once per request."""

    def record_origin(self, entry: ServerEntry) -> None:
        """Have recorded where the stream begins, if the request is sent to a server."""

    def check_recorded(self, entry: ServerEntry) -> None:
        """Wait until it is recorded where the stream begins.

        Called before any event is taken for forwarded.

        Raises
        ------
        AttemptError
            If that can't be recorded, while the stream could begin at other versions.
        """

    def check_writer(self) -> None:
        """Check that a stream goes on at its version; raises AttemptError if not.

        Waits until it is known which process answers. Called before any event of an
        attempt is forwarded.
        """

    def stream_begins(self, server: str, entry: ServerEntry) -> None:
        """Bind the stream to the software version of the server that begins it.

        Parameters
        ----------
        entry : ServerEntry
            The server's entry when the request was sent there.
        """

    def count_start_unless_stream(self) -> None:
        """Count the start of a non-streaming request whose response was lost.

        It was sent whole, so its server has very likely begun it. A stream is counted
        with its first bytes only.
        """


class Attempt:
    """One attempt of a request at one server.

    Attributes
    ----------
    request : AttemptedRequest
        The state of the request, shared by all its attempts.
    lease : SlotLease, PoolLease or None
        The lease of the server's slot, if the server is brittle or its service's slots
        are pooled.
    sent_at : float
        When this attempt was sent, seconds on the monotonic clock.
    entry : ServerEntry or None
        The server's entry at the latest check before the request was sent.
    fetch_timer : FetchTimer or None
        Ends the attempt if its fetch of prompt parts hangs; until the first event.
    held : HeldMemory
        Memory for the part of the response that is held.
    """

    def __init__(
        self,
        request: AttemptedRequest,
        view: ServerView,
        pool_lease: PoolLease | None = None,
    ) -> None:
        self.request = request
        self.context = request.context
        self.view = view
        self.connection: ServerConnection | None = None
        self.lease: SlotLease | PoolLease | None = pool_lease
        self.sent_at = 0.0
        self.entry: ServerEntry | None = None
        self.fetch_timer: FetchTimer | None = None
        self.held = HeldMemory(self.context.pool.response_memory)

    def run(self) -> None:
        """Make the attempt; raises AttemptError unless a success was forwarded."""
        if self.lease is not None:
            self._run_pooled(self.lease)
            return
        view = self.view
        self._check_usable()
        self.lease = self.context.slot_leasing.acquire(
            view,
            priority=self.request.server_priority,
            wait_s=self._slot_wait_s(),
            lease_s=max(MIN_LEASE_S, self.request.left_s()),
        )
        try:
            self._run()
        finally:
            self.context.slot_leasing.release(self.lease)

    def _run_pooled(self, lease: PoolLease) -> None:
        """Make the attempt with a slot that is leased already; see :meth:`run`."""
        try:
            self._check_usable()
            self._run()
        except AttemptError as error:
            lease.failed(error.reason)
            raise
        lease.outcome = Outcome.ANSWERED

    def _check_wanted(self) -> None:
        """Check that the server still wants the request; raises AttemptError if not.

        The request may have waited for a slot or a connection since it was chosen.
        """
        self._check_usable()
        self._check_parts()
        rests, server = self.context.server_rests, self.view.id
        node = self.connection.transit_node if self.connection else None
        if rests.is_resting(server) or (node and rests.rests_for(node, server)):
            self._give_connection_back()
            raise AttemptError(
                "the server has asked for rest",
                RetryReason.SERVER_RESTING,
                started=False,
                counts_as_attempt=False,
            )

    def _check_parts(self) -> None:
        """Check that no part has been suspected since; raises AttemptError if so."""
        if self.context.placer.has_new_suspicion(self.request.ticket):
            self._give_connection_back()
            raise AttemptError(
                "a part of the prompt has crashed a server meanwhile",
                RetryReason.PART_SUSPECTED,
                started=False,
                counts_as_attempt=False,
            )

    def _check_usable(self) -> None:
        """Check that the server may get requests; raises AttemptError if not."""
        known = self.context.registry.get(self.view.id)
        if known is None or not known.usable:
            self._give_connection_back()
            raise AttemptError(
                "the server is no longer available",
                RetryReason.SERVER_LEAVING,
                started=False,
                counts_as_attempt=False,
            )
        if self.context.version_division.is_withheld(known.entry):
            self._give_connection_back()
            raise AttemptError(
                "the server's software version gets no requests now",
                RetryReason.SERVER_LEAVING,
                started=False,
                counts_as_attempt=False,
            )
        self.entry = known.entry
        version = known.entry.software_version_label
        if self.request.ticket.version not in (None, version):
            self._give_connection_back()
            raise AttemptError(
                "the server has started again with other software",
                RetryReason.SERVER_LEAVING,
                started=False,
                counts_as_attempt=False,
            )

    def _give_connection_back(self) -> None:
        """Return a connection that was not used to the pool."""
        connection, self.connection = self.connection, None
        if connection is not None:
            self.context.pool.release(self.view.id, connection)

    def _slot_wait_s(self) -> float:
        """Return how long the attempt may wait for a slot of a brittle server."""
        waited_s = self.request.now - self.request.exchange.received_at
        left_s = min(self.request.route.target_s - waited_s, self.request.left_s())
        return max(MIN_SLOT_WAIT_S, SLOT_WAIT_FRACTION * left_s)

    def _run(self) -> None:
        view = self.view
        self._check_wanted()
        self.request.servers.append(view.id)
        try:
            self.connection = self.context.pool.acquire(
                view.id, view.address, self.request.metadata.id
            )
        except ConnectionBrokenError as error:
            raise AttemptError(
                f"connecting to the server failed: {error}",
                RetryReason.CONNECT_FAILED,
                started=False,
                counts_as_attempt=False,
            ) from None
        self._check_wanted()
        self.request.affinity.attempted(
            self.entry.software_version_label, self.request.splitter.count
        )
        self.request.writer = self.context.processes.writer(
            self.connection.link, self.entry
        )
        self.request.record_origin(self.entry)
        self.request.in_flight = True
        self.request.sent_at = self.context.cluster_clock.now()
        self.sent_at = self.request.now
        self.connection.repeatable = self.request.route.retryable
        self.request.observation = self.context.rollout_observer.begin(
            self.entry, self.request.route, self.request.ticket
        )
        self.fetch_timer = self.context.prefix_fetching.sent(self.request)
        self.context.part_copying.sent(self.request.ticket)
        transit_node = self.request.transit_node = self.connection.transit_node
        try:
            self._send()
            message, metadata = self.connection.read_head()
            self._handle_response(message, metadata)
        except ConnectionBrokenError as error:
            self.request.count_start_unless_stream()
            raise AttemptError(
                str(error),
                RetryReason.SERVER_FAILED,
                started=True,
                through_transit=transit_node is not None,
                on_the_way=error.on_the_way,
            ) from None
        except FetchOverdueError:
            raise AttemptError(
                "no first event came while the server fetched prompt parts",
                RetryReason.FETCH_FAILED,
                started=True,
            ) from None
        finally:
            self._stop_fetch_timer()
            self._drop_connection()
            self.held.resize(0)
        self.context.rollout_observer.succeeded(self.request.observation)
        self.request.in_flight = False

    def _stop_fetch_timer(self) -> None:
        timer, self.fetch_timer = self.fetch_timer, None
        if timer is not None:
            timer.close()

    def _send(self) -> None:
        # Of many short headers, a list takes many times the bytes of the encoded head.
        self.connection.send_request(
            self.request.metadata.id, self._encoded_head(), self.request.exchange.body
        )

    def _encoded_head(self) -> bytes:
        message = self.request.exchange.message
        forwarding = ForwardingMetadata(
            server_id=self.view.id,
            organisation=self.request.organisation,
            left_s=max(0.001, self.request.left_s()),
            server_priority=self.request.server_priority,
            last_event_id=self.request.splitter.last_id
            or self.request.metadata.last_event_id,
            fetch_source=self.context.prefix_fetching.source_address(
                self.request.ticket
            ),
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
        return encode_head(line, headers)

    def _handle_response(
        self, message: ResponseMessage, metadata: ResponseMetadata
    ) -> None:
        """Forward a successful response; raises AttemptError for any other."""
        view = self.view
        if self.request.observation and metadata.slowdown:
            self.request.observation.slowdown = metadata.slowdown
        self.context.server_statements.observe(
            view.id,
            message.status,
            metadata,
            self.sent_at,
            through=self.request.transit_node or "",
            lease=self.lease,
        )
        if message.status == MISDIRECTED_STATUS:
            self._check_version_expected(message, metadata)
            self.context.registry.mark_misidentified(view.id)
            raise AttemptError(
                "another server answered at this server's address",
                RetryReason.SERVER_LEAVING,
                started=False,
                counts_as_attempt=False,
            )
        if metadata.not_run:
            self._finish_refusal(message)
            rests = self.context.server_rests.is_resting(view.id)
            raise AttemptError(
                f"the server refused the request with {message.status}",
                RetryReason.SERVER_RESTING if rests else RetryReason.SERVER_BUSY,
                started=False,
                rest_s=metadata.rest_s,
            )
        if not 200 <= message.status < 300 or not self._is_stream(message):
            self._stop_fetch_timer()
        if 200 <= message.status < 300:
            self._check_success(message, metadata)
            if self._is_stream(message):
                self._forward_stream(message)
            else:
                self._forward_whole(message)
            return
        response = self._read_response(message)
        self._keep_connection(message)
        self.request.count_start()
        raise AttemptError(
            f"the server responded with {message.status}",
            RetryReason.SERVER_SLOW,
            started=True,
            response=response,
        )

    def _check_version_expected(
        self, message: ResponseMessage, metadata: ResponseMetadata
    ) -> None:
        """Tell a server that refuses the version expected from another server.

        Raises
        ------
        VersionMismatchError
            If it is not another server, as far as the response tells.
        """
        is_meant = metadata.server_id in ("", self.view.id)
        if not (self.request.metadata.expects_version and is_meant):
            return
        self._finish_refusal(message)
        raise VersionMismatchError

    def _finish_refusal(self, message: ResponseMessage) -> None:
        """Skip the body of a refusal; close the connection unless it ends soon.

        The head alone promises that the request has not run.
        """
        if self._has_body:
            try:
                with gevent.Timeout(REFUSAL_BODY_S, False):
                    self.connection.skip_body(message)
            except ConnectionBrokenError as error:
                log_event("refusal_body_left", server=self.view.id, error=error)
        self._keep_connection(message)

    @property
    def _has_body(self) -> bool:
        return self.request.exchange.message.method != b"HEAD"

    def _is_stream(self, message: ResponseMessage) -> bool:
        has_body = self._has_body and message.status != 204
        return has_body and self.request.route.kind is RouteKind.STREAM

    def _check_success(
        self, message: ResponseMessage, metadata: ResponseMetadata
    ) -> None:
        """Reject a success without the server's signature or with a content coding.

        Raises
        ------
        ConnectionBrokenError
            If the response can't be the server's own, unchanged, or is no stream of
            events although one was requested.
        """
        encoding = header_value(message.headers, b"content-encoding").lower()
        if not metadata.signed or encoding not in (b"", b"identity"):
            raise ConnectionBrokenError(
                "unsigned or content-encoded response", sent=True
            )
        if self._is_stream(message) and not _is_event_stream(message):
            raise ConnectionBrokenError("the response is no event stream", sent=True)

    def _read_response(self, message: ResponseMessage) -> ServerResponse:
        body = b""
        if self._has_body:
            body = self._read_held(message)
            if not self._is_whole(message, body):
                raise ConnectionBrokenError("the body is too large", sent=True)
        return ServerResponse(
            message.status, message.reason, end_to_end(message.headers), body
        )

    def _read_held(self, message: ResponseMessage) -> bytes:
        """Return the body, or its beginning if it is too large to be held."""
        return self.connection.read_up_to(message, MAX_HELD_BODY_BYTES, self.held)

    @staticmethod
    def _is_whole(message: ResponseMessage, body: bytes) -> bool:
        return message.complete and len(body) <= MAX_HELD_BODY_BYTES

    def _forward_whole(self, message: ResponseMessage) -> None:
        """Forward a successful response at its end, or a large one as it comes.

        Until then the request can still be sent to another server.
        """
        body = b""
        if self._has_body:
            body = self._read_held(message)
        if self._has_body and not self._is_whole(message, body):
            beginning, body = [body], b""
            self._forward_large(message, beginning)
            return
        if message.ends_with_connection and message.complete and not body:
            raise ConnectionBrokenError(
                "the connection ended before the body", sent=True
            )
        self.context.placer.started(self.request.ticket)
        self.request.count_start()
        self._keep_connection(message)
        self.context.placer.finished(self.request.ticket, 1)
        self.request.outcome = "ok"
        self.request.progress.chunk_forwarded(self.request.now)
        self.request.exchange.send_response(
            message.status, message.reason, end_to_end(message.headers), body
        )

    def _forward_large(self, message: ResponseMessage, beginning: list[bytes]) -> None:
        """Forward a response as it comes.

        Parameters
        ----------
        beginning : list of bytes
            Its first bytes, which are not kept once they are sent.
        """
        self.context.placer.started(self.request.ticket)
        self.request.count_start()
        exchange = self.request.exchange
        exchange.send_head(message.status, message.reason, end_to_end(message.headers))
        body = beginning.pop()
        while body:
            self.request.progress.chunk_forwarded(self.request.now)
            exchange.send_chunk(body)
            body = b""
            self.held.resize(0)
            body = self.connection.read_body(message)
        self._keep_connection(message)
        self.context.placer.finished(self.request.ticket, 1)
        self.request.outcome = "ok"
        exchange.end()

    def _forward_stream(self, message: ResponseMessage) -> None:
        """Forward the events of a stream as they arrive, each as a whole.

        The head is sent with the first event only: until then the request can still be
        retried at another server.
        """
        exchange, splitter = self.request.exchange, self.request.splitter
        events_before = splitter.count
        while data := self._read_events(message):
            self._stop_fetch_timer()
            self.context.placer.started(self.request.ticket)
            self.request.count_start()
            if splitter.count == events_before:
                self.request.check_writer()
            if not exchange.response_started:
                self.request.check_recorded(self.entry)
            if events := splitter.feed(data):
                self._start_response(message)
                self.request.progress.chunk_forwarded(self.request.now)
                exchange.send_chunk(events)
            if splitter.violation:
                self._reject_events(message)
            self._hold_partial_event(message)
        self._record_end(message)
        self._check_stream_complete(message, splitter.count - events_before)
        self._keep_connection(message)
        self.context.placer.finished(self.request.ticket, self._tokens())
        self._start_response(message)
        exchange.send_chunk(splitter.rest())
        self.request.outcome = "ok"
        exchange.end()

    def _start_response(self, message: ResponseMessage) -> None:
        """Send the head of a stream's response, unless it has been sent."""
        if not self.request.exchange.response_started:
            self.request.stream_begins(self.view.id, self.entry)
            self.request.exchange.send_head(
                message.status, message.reason, end_to_end(message.headers)
            )

    def _check_stream_complete(self, message: ResponseMessage, events: int) -> None:
        """Reject a stream that its server broke off and then ended in an orderly way.

        Parameters
        ----------
        events : int
            Complete events of this response.

        Raises
        ------
        ConnectionBrokenError
            If the stream ended inside an event, before its first one, or, if it is
            resumed, without any where only the end of the connection says that it is
            complete.
        """
        splitter = self.request.splitter
        if splitter.is_inside_event:
            raise ConnectionBrokenError("the stream ended inside an event", sent=True)
        is_resumed = splitter.count > 0 or self.request.metadata.last_event_id
        if not events and (message.ends_with_connection or not is_resumed):
            raise ConnectionBrokenError(
                "the response ended before the first event", sent=True
            )

    def _hold_partial_event(self, message: ResponseMessage) -> None:
        """Count the memory of an incomplete event.

        Raises
        ------
        ConnectionBrokenError
            If this node has none left, which says nothing against the server.
        """
        if not self.held.resize(len(self.request.splitter.pending)):
            self._record_end(message)
            raise ConnectionBrokenError(
                "there is no memory for an event of this size",
                sent=True,
                on_the_way=True,
            )

    def _reject_events(self, message: ResponseMessage) -> None:
        """Leave a server that sent what is no event, as if it had broken off.

        Raises
        ------
        ConnectionBrokenError
            In each case.
        """
        self._record_end(message)
        self.context.metrics.events["stream_event_invalid"] += 1
        raise ConnectionBrokenError(self.request.splitter.violation, sent=True)

    def _read_events(self, message: ResponseMessage) -> bytes:
        """Return the next bytes of a stream; raises ConnectionBrokenError."""
        try:
            return self.connection.read_body(message)
        except ConnectionBrokenError:
            self._record_end(message)
            raise

    def _record_end(self, message: ResponseMessage) -> None:
        """Record for the log how a stream ended."""
        splitter, progress = self.request.splitter, self.request.progress
        progress.events = splitter.count
        progress.unfinished_bytes = len(splitter.pending)
        progress.ends_with_connection = message.ends_with_connection
        if splitter.is_inside_event:
            self.context.metrics.events["stream_ended_inside_event"] += 1

    def _tokens(self) -> int:
        if self.request.engine is None or not self.request.splitter.count:
            return max(1, self.request.metadata.max_tokens or 1)
        return self.request.splitter.count * self.request.engine.tokens_per_event

    def _keep_connection(self, message: ResponseMessage) -> None:
        """Return the connection to the pool if it is reusable, else close it."""
        connection, self.connection = self.connection, None
        if connection.finish(message):
            self.context.pool.release(self.view.id, connection)
        else:
            connection.close()

    def _drop_connection(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None


def _is_event_stream(message: ResponseMessage) -> bool:
    content_type = header_value(message.headers, b"content-type")
    return content_type.strip().lower().startswith(b"text/event-stream")
