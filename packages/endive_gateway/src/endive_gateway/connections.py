"""Persistent HTTP/1.1 connections to backend servers, and their pool.

Each connection carries one request at a time. The platform's own services are called
over the same kind of connection.
"""

import time
from collections import defaultdict, deque

import gevent

from endive_gateway.carried_ids import CarriedIds
from endive_gateway.exceptions import (
    BadMessageError,
    ConnectionBrokenError,
    ConnectionEndedError,
    TransitBrokenError,
)
from endive_gateway.interfaces import ResponseMetadata, Wire, header_value
from endive_gateway.memory_budget import HeldMemory, ResponseMemory
from endive_gateway.path_monitor import PathMonitor
from endive_gateway.paths import ServerPaths
from endive_gateway.response_parser import ResponseMessage, ResponseParser
from endive_gateway.server_processes import Link, ServerProcesses
from endive_gateway.tcp import ByteStream
from endive_gateway.transit import TransitStream
from endive_gateway.turns import Worker, WorkKind

READ_BYTES = 16_384
"""Bytes that are read and handled between two checkpoints."""

MAX_SKIPPED_RESPONSES = 32
"""Interim responses, and late ones to earlier requests, that are skipped before the one
that is awaited."""

MAX_COLLECTED_BYTES = 16 * 2**20
"""Largest body that is read as a whole, bytes: pages of the platform's store hold a
megabyte or two."""

INLINE_BODY_BYTES = 32_768
"""Largest body that is sent before the response is read, bytes. It fits into the socket
buffers of both sides, so sending can't block on a server that answers before it has
read the whole body."""

MAX_REQUESTS = 1_000
"""Requests that a connection to a server carries at most. It remembers their ids."""

IDLE_FRACTION = 0.7
"""Fraction of a server's idle time-out after which its connection isn't used again. A
request sent while the server closes the connection is lost."""

DEFAULT_IDLE_TIMEOUT_S = 4.0
"""Idle time-out of a connection whose server declares none, seconds."""


class Connection:
    """One HTTP/1.1 connection that carries one request at a time.

    Attributes
    ----------
    reusable : bool
        Whether another request may be sent after the present one.
    sender : Greenlet or None
        Sends the present request's body, if that is large.
    worker : Worker
        The work of reading from it.
    malformed : BadMessageError or None
        Why nothing that comes can be parsed any more.
    """

    work_kind = WorkKind.PLATFORM

    def __init__(
        self,
        stream: ByteStream,
        peer: str = "platform",
        heads: HeldMemory | None = None,
    ) -> None:
        self.stream = stream
        self.worker = Worker(peer, self.work_kind)
        self.parser = ResponseParser(heads)
        self.last_used_at = time.monotonic()
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.requests = 0
        self.reusable = True
        self.sender: gevent.Greenlet | None = None
        self.malformed: BadMessageError | None = None

    def is_reusable(self, now: float) -> bool:
        """Return whether the idle connection can carry another request.

        It can't if the server has closed it or sent unexpected bytes, or if the
        server's idle time-out is nearly over.
        """
        if now - self.last_used_at > self.idle_timeout_s * IDLE_FRACTION:
            return False
        return self.stream.is_idle()

    def send(self, head: bytes, body: bytes) -> None:
        """Send a request; raises :class:`ConnectionBrokenError`."""
        self.requests += 1
        self.parser.clear()
        try:
            if len(body) <= INLINE_BODY_BYTES:
                self.stream.sendall(head + body)
            else:
                self.stream.sendall(head)
                self.sender = gevent.spawn(self._send_body, body)
        except OSError as error:
            raise ConnectionBrokenError(
                f"sending the request failed: {error}", sent=True
            ) from None

    def _send_body(self, body: bytes) -> None:
        """Send a large body while the response may already arrive."""
        try:
            self.stream.sendall(body)
        except OSError:
            # Reading the response fails as well, and reports it.
            self.reusable = False

    def next_message(self) -> ResponseMessage:
        """Return the next final response as soon as its head is complete.

        Raises
        ------
        ConnectionBrokenError
            If the connection ends first, or too many interim responses come.
        """
        for _ in range(MAX_SKIPPED_RESPONSES):
            while not (self.parser.messages and self.parser.messages[0].head_done):
                self._read()
            if self.parser.messages[0].status >= 200:
                return self.parser.messages[0]
            self.parser.messages.popleft()
        raise ConnectionBrokenError("too many interim responses", sent=True)

    def read_body(self, message: ResponseMessage) -> bytes:
        """Return the next bytes of the body, or ``b""`` at its end.

        Raises
        ------
        ConnectionBrokenError
            If the connection ends before the body does.
        """
        while True:
            data = message.take_body()
            if data or message.complete:
                return data
            try:
                self._read()
            except ConnectionEndedError:
                if not message.ends_with_connection:
                    raise
                message.complete = True

    def read_all(
        self, message: ResponseMessage, max_bytes: int = MAX_COLLECTED_BYTES
    ) -> bytes:
        """Return the rest of the body.

        Raises
        ------
        ConnectionBrokenError
            If the connection ends first, or the body is larger than `max_bytes`.
        """
        body = self.read_up_to(message, max_bytes)
        if len(body) > max_bytes:
            raise ConnectionBrokenError("the body is too large", sent=True)
        return body

    def read_up_to(
        self,
        message: ResponseMessage,
        max_bytes: int,
        held: HeldMemory | None = None,
    ) -> bytes:
        """Return the rest of the body, or more than `max_bytes` if it is larger.

        Without room for it in `held`, what has been read of it is returned, and the
        message is not complete.

        Raises
        ------
        ConnectionBrokenError
            If the connection ends first.
        """
        pieces, size = [], 0
        while size <= max_bytes and (data := self.read_body(message)):
            pieces.append(data)
            size += len(data)
            if held is not None and not held.resize(size):
                break
        return b"".join(pieces)

    def skip_body(self, message: ResponseMessage) -> None:
        """Read the rest of the body and keep nothing of it.

        Raises
        ------
        ConnectionBrokenError
            If the connection ends first, or the body is too large.
        """
        message.skip_body()
        self.read_body(message)

    def _read(self) -> None:
        self.worker.checkpoint()
        if self.malformed is not None:
            raise ConnectionBrokenError(
                f"malformed response: {self.malformed}", sent=True
            )
        try:
            data = self.stream.recv(READ_BYTES)
        except OSError as error:
            raise ConnectionBrokenError(
                f"reading the response failed: {error}",
                sent=True,
                on_the_way=isinstance(error, TransitBrokenError),
            ) from None
        if not data:
            raise ConnectionEndedError("the server closed the connection", sent=True)
        try:
            self.parser.feed(data)
        except BadMessageError as error:
            # A response that was complete before is still read.
            self.reusable = False
            self.malformed = error.with_traceback(None)

    def finish(self, message: ResponseMessage) -> bool:
        """Mark a response as read; return whether another request may be sent.

        None may after an incomplete response, after bytes beyond it, which belong to no
        request, or while the request's body is still being sent, since the server
        would read the next request's head as part of that body.
        """
        self.last_used_at = time.monotonic()
        timeout = _advertised_idle_timeout(message)
        if timeout is not None:
            self.idle_timeout_s = timeout
        sending = self.sender is not None and not self.sender.ready()
        is_only_message = len(self.parser.messages) == 1
        is_complete = message.complete and is_only_message and not sending
        self.parser.clear()
        return self.reusable and message.keep_alive and is_complete

    def close(self) -> None:
        """Close at once, which cancels a request in progress at the server."""
        if self.sender is not None:
            self.sender.kill(block=False)
        self.parser.clear()
        self.stream.close()


class ServerConnection(Connection):
    """A connection to a backend server, whose responses carry their requests' ids.

    A server may send a second, late response, which only the id tells from that to the
    present request. So a connection carries no id twice.

    Attributes
    ----------
    carried : CarriedIds
        The ids of its requests.
    server_id : str
        The server.
    transit_node : str or None
        IP address of the node through which the connection goes, if it does.
    repeatable : bool
        Whether the present request may be sent to a server again.
    awaited_id : str
        Id of the request whose response is read.
    link : Link
        Tells which process of the server it leads to.
    """

    work_kind = WorkKind.SERVERS

    def __init__(
        self,
        server_id: str,
        stream: ByteStream,
        wire: Wire,
        monitor: PathMonitor,
        link: Link,
        heads: HeldMemory,
    ) -> None:
        super().__init__(stream, f"server {server_id}", heads)
        self.link = link
        self.server_id = server_id
        self.wire = wire
        self.monitor = monitor
        self.repeatable = False
        self.awaited_id = ""
        self.carried = CarriedIds()
        self.parser.is_awaited = self._is_awaited
        self.transit_node = stream.node if isinstance(stream, TransitStream) else None

    def send_request(self, request_id: str, head: bytes, body: bytes) -> None:
        """Send the request with an id that the connection has not carried yet.

        Raises
        ------
        ConnectionBrokenError
            If sending fails.
        """
        self.awaited_id = request_id
        self.carried.add(request_id)
        self.send(head, body)
        if self.transit_node is None:
            self.monitor.sent(self)

    def _read(self) -> None:
        super()._read()
        if self.transit_node is None:
            self.monitor.heard(self)

    def finish(self, message: ResponseMessage) -> bool:
        """See :meth:`Connection.finish`."""
        self.monitor.ended(self)
        return super().finish(message) and len(self.carried) < MAX_REQUESTS

    def close(self) -> None:
        """See :meth:`Connection.close`."""
        self.monitor.ended(self)
        super().close()

    def read_head(self) -> tuple[ResponseMessage, ResponseMetadata]:
        """Return the response to the request as soon as its head is complete.

        A second, late response to an earlier request carries another id and is
        discarded.

        Raises
        ------
        ConnectionBrokenError
            If the connection ends first, or what is discarded is too long.
        """
        skipped = 0
        while True:
            while self.parser.messages and self.parser.messages[0].head_done:
                message = self.parser.messages[0]
                if not message.is_skipped:
                    return message, message.metadata
                if message.ends_with_connection:
                    raise ConnectionBrokenError(
                        "the server answered another request", sent=True
                    )
                if not message.complete:
                    break
                if message.status >= 200:
                    self.reusable = False
                self.parser.messages.popleft()
                skipped += 1
                if skipped > MAX_SKIPPED_RESPONSES:
                    raise ConnectionBrokenError(
                        "too many responses to other requests", sent=True
                    )
            self._read()

    def _is_awaited(self, message: ResponseMessage) -> bool:
        """Return whether a response is that to the present request."""
        message.metadata = self.wire.decode_response(message.headers)
        if message.status < 200:
            return False
        if message.metadata.request_id:
            return message.metadata.request_id == self.awaited_id
        # A server that refuses before it has read the request may send no id. A success
        # without an id could answer any request.
        return message.status >= 400 and message.metadata.not_run


def _advertised_idle_timeout(message: ResponseMessage) -> float | None:
    value = header_value(message.headers, b"keep-alive").lower()
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.strip() == b"timeout" and seconds.strip().isdigit():
            return float(seconds)
    return None


class ConnectionPool:
    """Idle connections by server.

    The most recently used one is taken first, so under low load the others reach their
    idle time-outs and are closed.

    Attributes
    ----------
    response_memory : ResponseMemory
        Memory for what is held of the responses on all connections.
    """

    def __init__(
        self,
        wire: Wire,
        paths: ServerPaths,
        monitor: PathMonitor,
        processes: ServerProcesses,
        response_memory: ResponseMemory,
    ) -> None:
        self.wire = wire
        self.paths = paths
        self.monitor = monitor
        self.processes = processes
        self.idle: dict[str, deque[ServerConnection]] = defaultdict(deque)
        self.opened = 0
        self.response_memory = response_memory

    def acquire(
        self, server_id: str, address: str, request_id: str
    ) -> ServerConnection:
        """Return an idle or new connection to a server for a request.

        Raises
        ------
        ConnectionBrokenError
            If a new connection can't be opened.
        """
        connection = self._take_idle(server_id, request_id)
        if connection is not None:
            return connection
        self.opened += 1
        entry = self.processes.entry(server_id)
        stream = self.paths.open(server_id, address)
        is_direct = not isinstance(stream, TransitStream)
        link = self.processes.opened(
            server_id, address if is_direct else "", stream, entry
        )
        heads = HeldMemory(self.response_memory)
        return ServerConnection(server_id, stream, self.wire, self.monitor, link, heads)

    def _take_idle(self, server_id: str, request_id: str) -> ServerConnection | None:
        """Take the idle connection that was used last and may carry a request."""
        idle = self.idle[server_id]
        now = time.monotonic()
        passed_over: list[ServerConnection] = []
        taken = None
        while idle and taken is None:
            connection = idle.pop()
            if not self._is_usable(server_id, connection, now):
                connection.close()
            elif request_id in connection.carried:
                passed_over.append(connection)
            else:
                taken = connection
        idle.extend(reversed(passed_over))
        return taken

    def _is_usable(
        self, server_id: str, connection: ServerConnection, now: float
    ) -> bool:
        may_reuse = self.paths.may_reuse(server_id, connection.transit_node)
        return may_reuse and connection.is_reusable(now)

    def release(self, server_id: str, connection: ServerConnection) -> None:
        """Return a connection to the pool."""
        self.idle[server_id].append(connection)

    def drop(self, server_id: str) -> None:
        """Close all idle connections to a removed server."""
        self.processes.forget(server_id)
        for connection in self.idle.pop(server_id, ()):
            connection.close()

    def sweep(self) -> None:
        """Close the idle connections that can't be used again."""
        now = time.monotonic()
        for server_id, idle in list(self.idle.items()):
            while idle and not self._is_usable(server_id, idle[0], now):
                idle.popleft().close()
            if not idle:
                del self.idle[server_id]
