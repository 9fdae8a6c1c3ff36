"""Callers' HTTP connections: reads requests and writes responses."""

import json
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from itertools import islice
from typing import Protocol

import gevent
from endive_core.routing import CallerLimits
from endive_node.logs import log_event
from endive_node.refusals import RefusalLog
from gevent import socket as gsocket
from gevent.hub import get_hub
from gevent.pool import Pool

from endive_gateway.exceptions import (
    BadMessageError,
    CallerGoneError,
    NodeStoppingError,
    NoRoomError,
    StoppingError,
)
from endive_gateway.exchange import (
    OWN_RESPONSE_TIMEOUT_S,
    DisconnectWatcher,
    Exchange,
    timeout,
)
from endive_gateway.http import RequestMessage, RequestParser, encode_head, status_line
from endive_gateway.memory_budget import USUAL_BODY_BYTES, RequestMemory
from endive_gateway.refusal_reasons import RefusalReason
from endive_gateway.statuses import DEFAULT_RETRY_AFTER_S
from endive_gateway.tcp import is_idle
from endive_gateway.turns import Worker, WorkKind

READ_BYTES = 16_384
"""Bytes that are read and handled between two checkpoints."""

ACCEPT_RETRY_S = 0.05
"""Time after a failure until the next connection is accepted, seconds."""

LINGER_S = 1.0
"""Longest time for which a refused connection is read on, seconds."""

MAX_LINGERING = 32
"""Refused connections that are read on at the same time, so that the responses reach
their callers."""

MAX_ACCEPTED = 64
"""Connections that are accepted before others run. A node that is busy would accept
them one by one too slowly for their callers."""

MAX_EXAMINED = 32
"""Waiting connections that are examined for one that can be closed."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestHandler(Protocol):
    """Handler of callers' requests."""

    def serve(self, exchange: Exchange) -> None:
        """Answer the request of `exchange`; raises :class:`CallerGoneError`."""
        ...


class CallerListener:
    """Accepts callers' connections and serves the requests on each in order.

    Parameters
    ----------
    listener : socket
        A listening, non-blocking socket.

    Attributes
    ----------
    stopping : bool
        Whether each response carries ``Connection: close``.
    request_memory : RequestMemory
        Memory that all requests share.
    connections : dict of CallerConnection
        The open connections.
    waiting : dict of CallerConnection
        Those of them on which no request, or only a part of one, has come; the one
        that waits longest first.
    most_connections : int
        Connections that may be open at once.
    """

    def __init__(
        self,
        listener: socket.socket,
        handler: RequestHandler,
        limits: Callable[[], CallerLimits],
        request_memory: RequestMemory,
        most_connections: int,
        refusals: RefusalLog,
    ) -> None:
        self.listener = listener
        self.port = self.listener.getsockname()[1]
        self.handler = handler
        self.limits = limits
        self.stopping = False
        self.request_memory = request_memory
        self.most_connections = most_connections
        self.refusals = refusals
        self.connections: dict[CallerConnection, None] = {}
        self.waiting: dict[CallerConnection, None] = {}
        self.lingering = Pool(MAX_LINGERING)
        self.acceptor: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start accepting connections."""
        self.listener = gsocket.socket(fileno=self.listener.detach())
        self.acceptor = gevent.spawn(self._accept)

    @property
    def accepting(self) -> bool:
        """Whether new connections are accepted."""
        return not self.acceptor.dead

    def stop_accepting(self) -> None:
        """Stop accepting connections, and close those without a request in progress."""
        self.acceptor.kill()
        self.listener.close()
        self.close_idle()

    def _accept(self) -> None:
        worker = Worker("accept", WorkKind.ACCEPTING)
        while True:
            for _ in range(MAX_ACCEPTED):
                self._accept_one()
            gevent.sleep(0)  # the event loop closes the sockets of evicted connections
            worker.checkpoint()

    def _accept_one(self) -> None:
        try:
            accepted, _ = self.listener.accept()
        except OSError as error:
            # For example out of descriptors, which become free as connections end.
            log_event("accept_failed", error=error)
            gevent.sleep(ACCEPT_RETRY_S)
            return
        if not self._has_room():
            self._refuse(accepted)
            return
        connection = CallerConnection(self, accepted)
        self.connections[connection] = None
        connection.greenlet = gevent.spawn(connection.run)

    def _has_room(self) -> bool:
        """Return whether another connection may open; close waiting ones if needed."""
        if len(self.connections) < self.most_connections:
            return True
        examined = islice(self.waiting, MAX_EXAMINED)
        return any(connection.evict() for connection in examined)

    def _refuse(self, sock: gsocket.socket) -> None:
        """Tell a caller to come back, and close its connection."""
        self.refusals.add(RefusalReason.CONNECTIONS, open=len(self.connections))
        error = NoRoomError("too many connections have requests in progress")
        send_at_once(sock, encode_rejection(error))
        if self.lingering.full():
            sock.close()
        else:
            self.lingering.spawn(_linger, sock)

    @property
    def busy(self) -> int:
        """Number of connections with a request that is unread, read or answered."""
        return sum(c.is_busy for c in self.connections)

    def refuse_unanswered(self) -> None:
        """Give up the requests whose responses have not begun, and answer them."""
        for connection in list(self.connections):
            get_hub().loop.run_callback(connection.refuse_unanswered)

    def refuse_hopeless(self) -> None:
        """Refuse the requests that wait and can't be answered before the node's end."""
        for connection in list(self.connections):
            if connection.is_hopeless:
                get_hub().loop.run_callback(connection.refuse_hopeless)

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()


class CallerConnection:
    """One connection of a caller.

    Attributes
    ----------
    idle : bool
        Whether no request is being read or answered.
    is_drained : bool
        Whether all that still comes is dropped.
    exchange : Exchange or None
        The request that is being answered.
    """

    def __init__(self, listener: CallerListener, sock) -> None:
        self.listener = listener
        self.sock = sock
        self.idle = True
        self.is_drained = False
        self.exchange: Exchange | None = None
        self.worker = Worker("caller", WorkKind.CALLERS)
        self.greenlet: gevent.Greenlet | None = None
        limits = listener.limits()
        self.parser = RequestParser(
            limits.max_header_bytes, limits.max_body_bytes, listener.request_memory
        )

    def run(self) -> None:
        """Serve requests until the connection ends; runs in a greenlet of its own."""
        try:
            while self._serve_next():
                pass
        except (CallerGoneError, NodeStoppingError, OSError):
            pass
        finally:
            self.parser.release()
            self._forget()
            self.sock.close()

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress, or has come and was not read yet."""
        return self.sock.fileno() >= 0 and not (self.idle and is_idle(self.sock))

    @property
    def is_hopeless(self) -> bool:
        """Whether a request waits that can't be answered before the node's end."""
        exchange = self.exchange
        return (
            exchange is not None
            and not exchange.response_started
            and exchange.is_hopeless()
        )

    @property
    def is_reading(self) -> bool:
        """Whether a part of a request has come, and the rest is awaited."""
        return self.exchange is None and not self.idle and not self.is_drained

    def refuse_unanswered(self) -> None:
        """Give up the present request, unless its response has begun.

        Called by the hub, so that no response begins before the exception is raised.
        """
        is_unanswered = self.exchange and not self.exchange.response_started
        if is_unanswered or self.is_reading:
            self.greenlet.throw(NodeStoppingError)

    def refuse_hopeless(self) -> None:
        """Give up a request that waits in vain; called by the hub."""
        if self.is_hopeless:
            self.greenlet.throw(NodeStoppingError)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress or unread.

        Killing the greenlet instead would take effect only when it next runs, when it
        may already have read a request and sent it to a server.
        """
        if not self.is_busy:
            self.sock.close()

    def _serve_next(self) -> bool:
        if self.parser.messages:  # requests that have been read need no further read
            self.worker.checkpoint()
        message, received_at, rejection = None, 0.0, None
        try:
            message, received_at = self._read_request()
        except BadMessageError as error:
            # Its traceback would keep what was read.
            rejection = error.with_traceback(None)
        except NodeStoppingError:
            rejection = StoppingError("the node stops before the request was read")
        finally:
            self.listener.waiting.pop(self, None)
        if message is not None and message.held.body > USUAL_BODY_BYTES:
            try:
                self.worker.before_long_work()
            except NodeStoppingError:
                message.release()
                rejection = StoppingError("the node stops before the request's turn")
        if rejection is not None:
            self._reject(rejection)
            return False
        if message is None:
            return False
        exchange = Exchange(
            self.sock, message, received_at, lambda: self.listener.stopping
        )
        self.exchange = exchange
        try:
            with DisconnectWatcher(self.sock, self.greenlet):
                self.listener.handler.serve(exchange)
        finally:
            self.exchange = None
            message.release()
        if not message.complete:
            self._drain()
        self.idle = True
        return exchange.keep_alive

    def _reject(self, error: BadMessageError) -> None:
        """Answer a request that was not read, and close the connection."""
        reason = RefusalReason.MALFORMED
        if isinstance(error, StoppingError):
            reason = RefusalReason.STOPPING
        elif isinstance(error, NoRoomError):
            reason = RefusalReason.HEAD_MEMORY
        self.listener.refusals.add(reason, status=error.status, error=error)
        self.parser.release()
        with timeout(self.sock, OWN_RESPONSE_TIMEOUT_S):
            self.sock.sendall(encode_rejection(error))
        self._drain()

    def _drain(self) -> None:
        """Drop what the caller still sends, and close the connection soon."""
        self.is_drained = True
        self._count_as_waiting()
        linger(self.sock, self.worker)

    def evict(self) -> bool:
        """Close the connection unless a request has come; return whether it was closed.

        The caller of a request of which a part has come is told that it has not run.
        """
        if self.idle and not is_idle(self.sock):
            return False  # a request has come and is read next
        if not (self.idle or self.is_drained):
            self.listener.refusals.add(RefusalReason.UNFINISHED_CLOSED)
            error = NoRoomError("the request was not received before others came")
            send_at_once(self.sock, encode_rejection(error))
        else:
            self.listener.refusals.add(RefusalReason.IDLE_CLOSED)
        self._forget()
        self.sock.close()
        return True

    def _forget(self) -> None:
        self.listener.waiting.pop(self, None)
        self.listener.connections.pop(self, None)

    def _count_as_waiting(self) -> None:
        """Count the connection as one that waits, from now on."""
        self.listener.waiting.pop(self, None)
        self.listener.waiting[self] = None

    def _read_request(self) -> tuple[RequestMessage | None, float]:
        """Return the next request and when its first byte came.

        One for whose body there is no memory is returned before it is complete.

        The request is ``None`` if the caller closed the connection or was idle for
        longer than the idle time-out.

        Raises
        ------
        BadMessageError
            If the request is malformed, exceeds a limit or comes too slowly, or if
            there is no memory for its head.
        """
        limits = self.listener.limits()
        received_at = time.monotonic()
        if not self.parser.messages:
            self._count_as_waiting()
            data = self._receive(limits.idle_timeout_s)
            if not data:
                return None, 0.0
            received_at = time.monotonic()
            self.idle = False
            self._count_as_waiting()
            self.parser.feed(data)
            del data  # not held while more is awaited
        self.idle = False
        header_until = received_at + limits.header_timeout_s
        continued = False
        while True:
            message = self.parser.messages[0] if self.parser.messages else None
            if message is not None and message.has_no_room and not message.head_done:
                raise self.parser.rejection
            if message is not None and (message.complete or message.has_no_room):
                self.parser.messages.popleft()
                if not self.parser.messages:
                    self.parser.current = None
                return message, received_at
            if self not in self.listener.waiting:
                self._count_as_waiting()
            if message is not None and message.head_done:
                if message.expects_continue and not continued:
                    self.sock.sendall(CONTINUE)
                    continued = True
                left = limits.idle_timeout_s
            else:
                left = header_until - time.monotonic()
            data = self._receive(left) if left > 0 else None
            if data is None:
                raise BadMessageError("the request was not received in time", 408)
            if not data:
                return None, 0.0
            self.parser.feed(data)
            del data  # not held while more is awaited

    def _receive(self, timeout_s: float) -> bytes | None:
        """Return received bytes, ``b""`` at the end of the connection, None if late."""
        self.worker.checkpoint()
        try:
            with timeout(self.sock, timeout_s):
                return self.sock.recv(READ_BYTES)
        except TimeoutError:
            return None


def encode_rejection(error: BadMessageError) -> bytes:
    """Return the response to a request that was not read; the connection ends."""
    body = json.dumps({"error": {"message": str(error)}}).encode()
    headers = [
        (b"Content-Type", b"application/json"),
        (b"Content-Length", b"%d" % len(body)),
        (b"Connection", b"close"),
    ]
    if isinstance(error, (NoRoomError, StoppingError)):
        headers.append((b"Retry-After", b"%.3f" % DEFAULT_RETRY_AFTER_S))
    return encode_head(status_line(error.status), headers) + body


def send_at_once(sock: gsocket.socket, data: bytes) -> None:
    """Send as much as fits into the socket's buffer, which a short response does."""
    with suppress(OSError):
        sock._sock.send(data)


def linger(sock: gsocket.socket, worker: Worker) -> None:
    """Read and drop what the caller still sends, for up to `LINGER_S`.

    Closing a connection with unread bytes resets it, and the caller may lose the
    response.
    """
    sock.shutdown(socket.SHUT_WR)
    with gevent.Timeout(LINGER_S, False):
        while sock.recv(READ_BYTES):
            worker.checkpoint()


def _linger(sock: gsocket.socket) -> None:
    with sock, suppress(OSError):
        linger(sock, Worker("refused caller", WorkKind.CALLERS))
