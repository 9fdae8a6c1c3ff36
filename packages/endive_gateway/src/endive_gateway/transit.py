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
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass
from enum import StrEnum

import gevent
from endive_core.transit import TransitChoice
from endive_node.logs import log_event
from gevent import socket as gsocket

from endive_gateway.decoding import is_ip_address
from endive_gateway.exceptions import ConnectionBrokenError, TransitBrokenError
from endive_gateway.tcp import TcpStream

NODE_CONNECT_TIMEOUT_S = 0.25
"""Time-out for opening a connection to another node, seconds: forty round trips between
zones. A node that does not answer in it is not worth waiting for."""

REPLY_TIMEOUT_S = 0.4
"""Time-out for the reply of a transit node, seconds. It may itself wait for the
server."""

MAX_NODES = 10
ASK_TIMEOUT_S = 0.6
"""Nodes that are asked for one connection, at most, and time after which no further one
is asked, seconds. One that is cut off itself says so within a few milliseconds."""

MAX_LINE_BYTES = 256
READ_BYTES = 65_536

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
    RESTING = "resting"
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


@dataclass(frozen=True, slots=True)
class TransitAnswer:
    """The answer of a transit node.

    Attributes
    ----------
    stream : TransitStream or None
        ``None`` unless the reply is ``CONNECTED``.
    referral : str
        IP address of another node to ask, if the one that was asked is blocked itself.
    """

    reply: TransitReply
    stream: TransitStream | None = None
    referral: str = ""


NO_ANSWER = TransitAnswer(TransitReply.NO_ANSWER)


def open_transit(
    node: str, port: int, server_id: str, on_close: Callable[[str], None]
) -> TransitAnswer:
    """Ask the node at IP address `node` for a connection to a server.

    The address may come from another node's referral.
    """
    if not is_ip_address(node):
        return NO_ANSWER
    try:
        stream = TcpStream.connect(f"{node}:{port}", NODE_CONNECT_TIMEOUT_S)
    except ConnectionBrokenError:
        return NO_ANSWER
    try:
        with gevent.Timeout(REPLY_TIMEOUT_S, TimeoutError("no reply")):
            stream.sendall(server_id.encode() + b"\n")
            line, rest = read_line(stream.sock)
            word, _, referral = line.partition(" ")
            reply = TransitReply(word)
    except (OSError, ValueError) as error:
        log_event("transit_failed", node=node, server=server_id, error=error)
        stream.close()
        return NO_ANSWER
    except BaseException:
        stream.close()
        raise
    if reply is not TransitReply.CONNECTED:
        stream.close()
        return TransitAnswer(reply, referral=referral)
    return TransitAnswer(reply, TransitStream(stream, node, on_close, rest))


class TransitNodes:
    """The other nodes, as far as they carry connections to servers.

    Attributes
    ----------
    choice : TransitChoice
        Chooses among them.
    port : int
        TCP port of all nodes for such connections.
    """

    def __init__(self, choice: TransitChoice) -> None:
        self.choice = choice
        self.port = 0

    def open(self, server_id: str) -> tuple[TransitReply, TransitStream | None]:
        """Open a connection to a server through another node.

        Returns
        -------
        TransitReply, TransitStream or None
            The last reply; ``NO_ANSWER`` if no node could be asked.
        """
        reply, tried = TransitReply.NO_ANSWER, set()
        end, referral = time.monotonic() + ASK_TIMEOUT_S, ""
        while len(tried) < MAX_NODES and time.monotonic() <= end:
            node = self._next(referral, tried)
            if node is None:
                break
            tried.add(node)
            self.choice.open(node)
            answer = self._ask(node, server_id)
            if answer.stream is not None:
                return answer.reply, answer.stream
            self.choice.close(node)
            reply, referral = answer.reply, answer.referral
            if reply is TransitReply.REFUSED:
                break
            self._learn(node, reply)
        return reply, None

    def _next(self, referral: str, tried: Collection[str]) -> str | None:
        if referral and referral not in tried:
            return referral
        return self.choice.choose(time.monotonic(), tried)

    def _ask(self, node: str, server_id: str) -> TransitAnswer:
        try:
            return self.ask(node, server_id)
        except BaseException:
            self.choice.close(node)
            raise

    def ask(self, node: str, server_id: str) -> TransitAnswer:
        """Ask one node for a connection to a server."""
        return open_transit(node, self.port, server_id, self.choice.close)

    def _learn(self, node: str, reply: TransitReply) -> None:
        """Ask a node that did not reach a server again only later, if at all.

        One that carries no connections now says so in its messages too, but among
        hundreds of nodes these take seconds.
        """
        if reply in (TransitReply.BLOCKED, TransitReply.CLOSED):
            self.choice.offers.discard(node)
        elif reply not in (TransitReply.UNREACHABLE, TransitReply.RESTING):
            self.choice.avoid(node, time.monotonic())


def read_line(sock: gsocket.socket) -> tuple[str, bytes]:
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
