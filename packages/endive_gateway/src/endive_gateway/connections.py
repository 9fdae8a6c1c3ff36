"""Kept connections to backend servers, and one request at a time on each.

The platform's own addresses are called over the same kind of connection.
"""

import socket
import time
from collections import defaultdict, deque

import gevent
from gevent import socket as gsocket

from endive_gateway.exceptions import (
    BadMessageError,
    ConnectionBrokenError,
    ConnectionEndedError,
)
from endive_gateway.http import AnswerMessage, AnswerParser
from endive_gateway.interfaces import ResponseMetadata, Wire, header_value

CONNECT_TIMEOUT_S = 0.6
"""Longest time to open a connection, seconds. It takes a few milliseconds within a
region; a dropped opening packet is sent again after one second, so who has waited for
this long is better served by another server."""

UNACKED_MS = 1500
"""Time for which sent bytes may stay unacknowledged, milliseconds. A server that went
dark acknowledges nothing; five losses in a row on a poor link take as long."""

KEEPALIVE_IDLE_S = 1
KEEPALIVE_GAP_S = 1
KEEPALIVE_PROBES = 2
"""A server that goes dark while it works says nothing more. The probes notice within
three seconds, which is before most callers give up."""

LISTENING_S = 0.05
"""Longest time to find out whether a server still listens, seconds: a refusal comes
back within a few milliseconds, and the caller of the broken request waits for it."""

READ_BYTES = 65_536
SEND_AT_ONCE_BYTES = 32_768
"""A body up to this size fits into the buffers between two machines, so sending it
can't wait for a server that answers before it reads on."""

IDLE_PART = 0.7
"""Part of a server's idle time-out after which its connection isn't used again: a
request that crosses the server's close is lost."""

DEFAULT_IDLE_S = 4.0
"""Idle time-out where a server tells none."""


class Connection:
    """One connection, on which one request at a time is sent and answered."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.parser = AnswerParser()
        self.used_at = time.monotonic()
        self.idle_s = DEFAULT_IDLE_S
        self.requests = 0
        self.reusable = True
        self.sender: gevent.Greenlet | None = None

    def is_reusable(self, now: float) -> bool:
        """Return whether the server has neither closed nor said anything unasked."""
        if now - self.used_at > self.idle_s * IDLE_PART:
            return False
        try:
            self.sock._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def send(self, head: bytes, body: bytes) -> None:
        """Send a request; raises :class:`ConnectionBrokenError`."""
        self.requests += 1
        self.parser.messages.clear()
        try:
            if len(body) <= SEND_AT_ONCE_BYTES:
                self.sock.sendall(head + body)
            else:
                self.sock.sendall(head)
                self.sender = gevent.spawn(self._send_body, body)
        except OSError as error:
            raise ConnectionBrokenError(f"sending: {error}", sent=True) from None

    def _send_body(self, body: bytes) -> None:
        """Send a long body while the answer may already come."""
        try:
            self.sock.sendall(body)
        except OSError:
            # The reader of the answer meets the same end of the connection.
            self.reusable = False

    def next_message(self) -> AnswerMessage:
        """Return the answer that comes next, as soon as its head is there.

        Raises
        ------
        BrokenError
            If the connection ends first.
        """
        while not (self.parser.messages and self.parser.messages[0].head_done):
            self._read()
        return self.parser.messages[0]

    def read_body(self, message: AnswerMessage) -> bytes:
        """Return the next bytes of the body, nothing at its end.

        Raises
        ------
        BrokenError
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

    def read_all(self, message: AnswerMessage) -> bytes:
        """Return the rest of the body; raises :class:`ConnectionBrokenError`."""
        pieces = []
        while data := self.read_body(message):
            pieces.append(data)
        return b"".join(pieces)

    def _read(self) -> None:
        try:
            data = self.sock.recv(READ_BYTES)
        except OSError as error:
            raise ConnectionBrokenError(f"reading: {error}", sent=True) from None
        if not data:
            raise ConnectionEndedError("the server closed the connection", sent=True)
        try:
            self.parser.feed(data)
        except BadMessageError as error:
            self.reusable = False
            if not any(message.complete for message in self.parser.messages):
                raise ConnectionBrokenError(f"no answer: {error}", sent=True) from None

    def finish(self, message: AnswerMessage) -> bool:
        """Note that an answer is whole; return whether another request may follow.

        Bytes after a whole answer belong to no request, and a body that is still being
        sent would be taken for the next request's head.
        """
        self.used_at = time.monotonic()
        timeout = _idle_timeout(message)
        if timeout is not None:
            self.idle_s = timeout
        sending = self.sender is not None and not self.sender.ready()
        alone = len(self.parser.messages) == 1
        whole = message.complete and alone and not sending
        return self.reusable and message.keep_alive and whole

    def close(self) -> None:
        """Close at once; the server takes it as the end of the request."""
        if self.sender is not None:
            self.sender.kill(block=False)
        self.sock.close()


class ServerConnection(Connection):
    """One connection to one backend server, whose answers name their requests."""

    def __init__(self, sock: socket.socket, wire: Wire) -> None:
        super().__init__(sock)
        self.wire = wire

    @classmethod
    def open(cls, address: str, wire: Wire) -> "ServerConnection":
        """Connect to ``IP:port``; raises :class:`BrokenError`."""
        return cls(connect(address), wire)

    def read_head(self, request_id: str) -> tuple[AnswerMessage, ResponseMetadata]:
        """Return the answer to `request_id`, as soon as its head is there.

        A server may answer an earlier request once more, late. The id tells such an
        answer from the one that is due, and it is dropped.

        Raises
        ------
        BrokenError
            If the connection ends first.
        """
        while True:
            while self.parser.messages and self.parser.messages[0].head_done:
                message = self.parser.messages[0]
                metadata = self.wire.decode_response(message.headers)
                if message.status >= 200 and _answers(message, metadata, request_id):
                    return message, metadata
                if message.ends_with_connection:
                    raise ConnectionBrokenError("another request's answer", sent=True)
                if not message.complete:
                    break
                if message.status >= 200:
                    self.reusable = False
                self.parser.messages.popleft()
            self._read()


def connect(address: str) -> socket.socket:
    """Return a socket connected to ``IP:port``; raises :class:`BrokenError`."""
    host, _, port = address.rpartition(":")
    sock = gsocket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(CONNECT_TIMEOUT_S)
        sock.connect((host, int(port)))
        sock.settimeout(None)
        watch_for_silence(sock)
    except ConnectionRefusedError as error:
        sock.close()
        raise ConnectionBrokenError(str(error), sent=False, refused=True) from None
    except (OSError, ValueError) as error:
        sock.close()
        raise ConnectionBrokenError(str(error), sent=False) from None
    except BaseException:
        sock.close()
        raise
    return sock


def watch_for_silence(sock: socket.socket) -> None:
    """Let the kernel notice a peer that went dark."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_GAP_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS)


def is_listening(address: str) -> bool:
    """Return whether anything listens at ``IP:port``, as far as can be told at once.

    Only a refusal says no: a server that doesn't answer in time may be slow or cut off.
    """
    host, _, port = address.rpartition(":")
    sock = gsocket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.settimeout(LISTENING_S)
    try:
        sock.connect((host, int(port)))
    except ConnectionRefusedError:
        return False
    except OSError:
        return True
    finally:
        sock.close()
    return True


def _answers(
    message: AnswerMessage, metadata: ResponseMetadata, request_id: str
) -> bool:
    if metadata.request_id:
        return metadata.request_id == request_id
    # A server that refuses before it has read the request may not name it; a success
    # without a name could be anybody's.
    return message.status >= 400 and metadata.not_run


def _idle_timeout(message: AnswerMessage) -> float | None:
    value = header_value(message.headers, b"keep-alive").lower()
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.strip() == b"timeout" and seconds.strip().isdigit():
            return float(seconds)
    return None


class ConnectionPool:
    """Idle connections by server, newest first.

    The newest is used first, so that in a trough the older ones end by themselves.
    """

    def __init__(self, wire: Wire) -> None:
        self.wire = wire
        self.idle: dict[str, deque[ServerConnection]] = defaultdict(deque)
        self.opened = 0

    def take(self, server_id: str, address: str) -> ServerConnection:
        """Return a connection to a server; raises :class:`ConnectionBrokenError`."""
        idle = self.idle[server_id]
        now = time.monotonic()
        while idle:
            connection = idle.pop()
            if connection.is_reusable(now):
                return connection
            connection.close()
        self.opened += 1
        return ServerConnection.open(address, self.wire)

    def give_back(self, server_id: str, connection: ServerConnection) -> None:
        """Keep a connection for the next request."""
        self.idle[server_id].append(connection)

    def drop(self, server_id: str) -> None:
        """Close all idle connections to a server that is gone."""
        for connection in self.idle.pop(server_id, ()):
            connection.close()

    def sweep(self) -> None:
        """Close what its server is about to close."""
        now = time.monotonic()
        for server_id, idle in list(self.idle.items()):
            while idle and not idle[0].is_reusable(now):
                idle.popleft().close()
            if not idle:
                del self.idle[server_id]
