"""Connections to backend servers through another node.

A node that can't reach a server opens a connection to another node, names the server,
and reads one line that says whether that node has reached it. From then on the other
node, the transit node, passes bytes on. It takes no decision about the request: the
node that its caller reached goes on to choose the server, checks the response and
decides on retries.

Bytes to the server are passed on as they are, since a request states its own length. A
response may end with its connection, and then an orderly end must be told apart from
the loss of the transit node. Bytes from the server therefore come in frames, each after
its length, and the last frame says how the server's connection ended.
"""

import struct
from collections.abc import Callable
from enum import StrEnum

import gevent
from endive_core.reachability import Reachability
from endive_node.logs import log_event
from endive_node.sockets import listen_tcp
from gevent import socket as gsocket
from gevent.pool import Pool
from gevent.server import StreamServer

from endive_gateway.exceptions import ConnectionBrokenError, TransitBrokenError
from endive_gateway.servers import ServerRegistry
from endive_gateway.tcp import TcpStream, enable_keepalive

NODE_CONNECT_TIMEOUT_S = 0.25
"""Time-out for opening a connection to another node, seconds: forty round trips between
zones. A node that does not answer in it is not worth waiting for."""

REPLY_TIMEOUT_S = 0.75
"""Time-out for the reply of a transit node, seconds. It may itself wait for the server
until a connection's time-out has passed."""

REQUEST_TIMEOUT_S = 1.0
"""Time within which a node must name the server after it has connected, seconds."""

MAX_LINE_BYTES = 256
READ_BYTES = 65_536

MAX_CARRIED = 400
"""Most connections carried at once; each takes two of a node's 4,000 descriptors."""

FRAME_LENGTH = struct.Struct(">I")
ORDERLY_END = 0
BROKEN_END = 0xFFFF_FFFF
"""Lengths that stand for the end of the server's connection, orderly or broken."""


class TransitReply(StrEnum):
    """What a transit node says of a connection that it was asked for."""

    CONNECTED = "connected"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    BLOCKED = "blocked"
    UNKNOWN_SERVER = "unknown_server"
    FULL = "full"
    CLOSED = "closed"
    NO_ANSWER = "no_answer"


class TransitStream:
    """A connection to a server through another node; see :class:`~.tcp.ByteStream`.

    Attributes
    ----------
    node : str
        IP address of the transit node.
    on_close : callable
        Called with that address when the connection is closed.
    """

    def __init__(
        self,
        stream: TcpStream,
        node: str,
        on_close: Callable[[str], None],
        received: bytes = b"",
    ) -> None:
        self.stream = stream
        self.node = node
        self.on_close = on_close
        self.buffer = bytearray(received)
        self.frame_left = 0
        self.ended = False
        self.closed = False

    def sendall(self, data: bytes) -> None:
        """See :meth:`~.tcp.ByteStream.sendall`."""
        self.stream.sendall(data)

    def recv(self, size: int) -> bytes:
        """See :meth:`~.tcp.ByteStream.recv`.

        Raises
        ------
        TransitBrokenError
            If the connection to the transit node ends before the server's.
        """
        while not self.ended:
            if self.frame_left and self.buffer:
                return self._take(size)
            if not self.frame_left and len(self.buffer) >= FRAME_LENGTH.size:
                self._begin_frame()
                continue
            self._receive()
        return b""

    def _take(self, size: int) -> bytes:
        count = min(size, self.frame_left, len(self.buffer))
        data = bytes(self.buffer[:count])
        del self.buffer[:count]
        self.frame_left -= count
        return data

    def _begin_frame(self) -> None:
        (length,) = FRAME_LENGTH.unpack_from(self.buffer)
        del self.buffer[: FRAME_LENGTH.size]
        if length == BROKEN_END:
            self.ended = True
            raise ConnectionResetError("the server's connection broke")
        self.ended = length == ORDERLY_END
        self.frame_left = length

    def _receive(self) -> None:
        try:
            data = self.stream.recv(READ_BYTES)
        except OSError as error:
            raise TransitBrokenError(f"transit node {self.node}: {error}") from None
        if not data:
            raise TransitBrokenError(f"transit node {self.node} closed the connection")
        self.buffer += data

    def is_idle(self) -> bool:
        """See :meth:`~.tcp.ByteStream.is_idle`."""
        return not self.buffer and not self.ended and self.stream.is_idle()

    def close(self) -> None:
        """See :meth:`~.tcp.ByteStream.close`."""
        self.stream.close()
        if not self.closed:
            self.closed = True
            self.on_close(self.node)


def open_transit(
    node: str, port: int, server_id: str, on_close: Callable[[str], None]
) -> tuple[TransitReply, TransitStream | None]:
    """Ask the node at IP address `node` for a connection to a server.

    Returns
    -------
    TransitReply, TransitStream or None
        The stream is ``None`` unless the reply is ``CONNECTED``.
    """
    try:
        stream = TcpStream.connect(f"{node}:{port}", NODE_CONNECT_TIMEOUT_S)
    except ConnectionBrokenError:
        return TransitReply.NO_ANSWER, None
    try:
        with gevent.Timeout(REPLY_TIMEOUT_S, TimeoutError("no reply")):
            stream.sendall(server_id.encode() + b"\n")
            line, rest = _read_line(stream.sock)
            reply = TransitReply(line)
    except (OSError, ValueError) as error:
        log_event("transit_failed", node=node, server=server_id, error=error)
        stream.close()
        return TransitReply.NO_ANSWER, None
    except BaseException:
        stream.close()
        raise
    if reply is not TransitReply.CONNECTED:
        stream.close()
        return reply, None
    return reply, TransitStream(stream, node, on_close, rest)


class TransitPort:
    """Carries the connections of nodes that can't reach servers themselves.

    Attributes
    ----------
    carried : int
        Number of connections that are carried now.
    accepting : bool
        Whether further ones are accepted.
    """

    def __init__(self, registry: ServerRegistry, reachability: Reachability) -> None:
        self.registry = registry
        self.reachability = reachability
        self.carried = 0
        self.accepting = False

    def start(self, address: str, port: int) -> None:
        """Start carrying connections that other nodes open to ``address:port``."""
        listener = listen_tcp(address, port)
        self.server = StreamServer(listener, self._serve, spawn=Pool())
        self.server.start()
        self.accepting = True

    def stop(self) -> None:
        """Stop; carried connections are closed."""
        self.accepting = False
        self.server.stop(0)

    def offer(self) -> int:
        """Return how many connections are carried, or -1 if none can be."""
        is_open = self.accepting and not self.reachability.is_cut_off
        return self.carried if is_open else -1

    def _serve(self, sock, address) -> None:
        self.carried += 1
        upstream = None
        try:
            with gevent.Timeout(REQUEST_TIMEOUT_S, TimeoutError("no server named")):
                server_id, _ = _read_line(sock)
            reply, upstream = self._open(server_id)
            log_event(
                "transit",
                peer=address[0],
                server=server_id,
                reply=reply,
                carried=self.carried,
            )
            sock.sendall(reply.encode() + b"\n")
            if upstream is not None:
                enable_keepalive(sock)
                _carry(sock, upstream)
        except (OSError, ValueError) as error:
            log_event("transit_failed", peer=address[0], error=error)
        finally:
            self.carried -= 1
            if upstream is not None:
                upstream.close()

    def _open(self, server_id: str) -> tuple[TransitReply, TcpStream | None]:
        if not self.accepting:
            return TransitReply.CLOSED, None
        if self.carried > MAX_CARRIED:
            return TransitReply.FULL, None
        known = self.registry.get(server_id)
        if known is None or not known.usable:
            return TransitReply.UNKNOWN_SERVER, None
        if self.reachability.is_blocked(server_id, known.entry.service):
            return TransitReply.BLOCKED, None
        try:
            return TransitReply.CONNECTED, TcpStream.connect(known.entry.address)
        except ConnectionBrokenError as error:
            refused = TransitReply.REFUSED if error.refused else None
            return refused or TransitReply.UNREACHABLE, None


def _carry(sock: gsocket.socket, upstream: TcpStream) -> None:
    """Pass bytes on in both directions until either connection ends.

    Raises
    ------
    OSError
        If the node that asked for the connection can't be sent what arrives.
    """
    uplink = gevent.spawn(_pass_requests_on, sock, upstream)
    end = ORDERLY_END
    try:
        while data := _receive(upstream):
            sock.sendall(FRAME_LENGTH.pack(len(data)) + data)
    except ConnectionBrokenError:
        end = BROKEN_END
    finally:
        closed = uplink.ready()
        uplink.kill(block=False)
    if not closed:
        sock.sendall(FRAME_LENGTH.pack(end))


def _receive(upstream: TcpStream) -> bytes:
    try:
        return upstream.recv(READ_BYTES)
    except OSError as error:
        raise ConnectionBrokenError(str(error), sent=True) from None


def _pass_requests_on(sock: gsocket.socket, upstream: TcpStream) -> None:
    """Pass bytes to the server until the node that asked closes its connection.

    The server's connection is closed too, which cancels a request in progress.
    """
    try:
        while data := sock.recv(READ_BYTES):
            upstream.sendall(data)
    except OSError as error:
        log_event("transit_ended", error=error)
    upstream.close()


def _read_line(sock: gsocket.socket) -> tuple[str, bytes]:
    """Return the text up to the next line feed, and what has arrived after it.

    Raises
    ------
    ValueError
        If the connection ends before, or the line is too long.
    """
    received = b""
    while b"\n" not in received[:MAX_LINE_BYTES]:
        data = sock.recv(READ_BYTES) if len(received) < MAX_LINE_BYTES else b""
        if not data:
            raise ValueError("no line was received")
        received += data
    line, _, rest = received.partition(b"\n")
    return line.decode(), rest
