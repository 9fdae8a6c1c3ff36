"""Configurations that nodes take from each other, compressed, the length first.

With a thousand routes one has 400 KB, a sixteenth of that compressed: 20 ms of a link
of 10 Mbit/s instead of 320. All nodes must have it in force within two seconds, and
after a power loss none serves before it has it.
"""

import struct
import time
import zlib
from collections.abc import Callable
from typing import Protocol

import gevent
from endive_node.logs import log_event
from endive_node.sockets import listen_tcp
from gevent import socket as gsocket
from gevent.server import StreamServer

from endive_gateway.context import Context
from endive_gateway.exceptions import UndecodableError

BEHIND_S = 0.25
"""Mean time for which another node may have a newer configuration before it is asked
for, seconds: where each node reads the store, that mostly tells both in this time."""

PULL_SPREAD_S = 0.1
"""Time over which many nodes spread their asking for one configuration, seconds."""

PULL_TIMEOUT_S = 0.25
MOST_PULL_TIMEOUT_S = 1.0
"""Longest first try to take a configuration, and longest try and time to send one,
seconds. Two of 25 KB at once take 0.08 s of the slowest link, 5 Mbit/s; a node that is
itself starting takes far longer, and another one is asked sooner. The time grows for
configurations that are larger."""

PULL_AGAIN_S = 0.03
"""Mean time before another node is asked where one was busy, seconds: what it
takes one to serve another over a link of 10 Mbit/s."""

PULL_TRIES_S = 2.0
"""Time after which asking ends, seconds. Who is still behind asks again when it next
hears of a newer configuration, or has it from the store."""

SERVED_AT_ONCE = 2
"""Nodes that one node serves at the same time. The first to have a configuration is
told of to all others at once: forty of them asked one node with a link of 10 Mbit/s
after a power loss, 16 waited a second there in vain and served nobody meanwhile."""

LOOK_S = 0.01
"""How often a node that starts looks whether it has the configuration, seconds."""

HOLDER_S = 0.08
"""Time that a node that starts waits to hear of one that has the configuration,
seconds: a few round trips of 7 ms, and the other's scheduling."""

FIRST_PULL_S = 0.6
"""Time after which a node that starts reads the store although it is still taking the
configuration from another one, seconds: the longest of one try and some more."""

MOST_DOCUMENT_BYTES = 16_777_216
LENGTH = struct.Struct(">I")


class Holder(Protocol):
    """Another node, as far as this exchange looks at it."""

    address: str
    node: str
    version: int


class DocumentExchange:
    """Serves this node's configuration to others, and takes newer ones from them."""

    def __init__(self, context: Context, holders: Callable[[], list[Holder]]) -> None:
        self.context = context
        self.holders = holders
        self.serving = 0
        self.pulling = False
        self.packed = b""
        self.packed_version = -1

    def start(self, address: str, port: int) -> None:
        """Start serving."""
        self.listener = StreamServer(listen_tcp(address, port), self._serve)
        self.listener.start()

    def stop(self) -> None:
        """Stop serving."""
        self.listener.stop(0)

    def _serve(self, sock, _address) -> None:
        """Send the configuration in force; a busy node only closes the connection."""
        if self.serving >= SERVED_AT_ONCE:
            return
        self.serving += 1
        try:
            with gevent.Timeout(MOST_PULL_TIMEOUT_S, False):
                packed = self._packed()
                sock.sendall(LENGTH.pack(len(packed)) + packed)
        finally:
            self.serving -= 1

    def _packed(self) -> bytes:
        """Return the document in force, compressed once for all who ask."""
        if self.packed_version != self.context.version:
            self.packed = zlib.compress(self.context.document)
            self.packed_version = self.context.version
        return self.packed

    def pull(self, port: int, *, alone: bool) -> None:
        """Begin to take the configuration of a node that has a newer one.

        The store may turn this node away and serve the others and the operators; keys
        that were taken away meanwhile must end here as well. Among many nodes most get
        every configuration this way.

        Parameters
        ----------
        port : int
            Where the others serve.
        alone : bool
            Whether this node reads each configuration from the store as well.
        """
        if self.pulling:
            return
        self.pulling = True
        spread_s = 2 * BEHIND_S if alone else PULL_SPREAD_S
        if self.context.version < 0:
            spread_s = 0.0  # no caller is served until it is here
        gevent.spawn(self._pull, port, spread_s)

    def await_first(self) -> bool:
        """Wait for another node's configuration; return whether it came.

        With a thousand routes, the store's copy takes 0.3 s of a link of 10 Mbit/s,
        another node's, which is compressed, 0.02 s. After a power loss, when all nodes
        start, callers are turned away until it is here.
        """
        started = time.monotonic()
        while self.context.version < 0:
            limit_s = FIRST_PULL_S if self.pulling else HOLDER_S
            if time.monotonic() - started >= limit_s:
                return False
            gevent.sleep(LOOK_S)
        return True

    def _pull(self, port: int, spread_s: float) -> None:
        random = self.context.random
        end = time.monotonic() + PULL_TRIES_S
        timeout_s = PULL_TIMEOUT_S
        try:
            gevent.sleep(random.random() * spread_s)
            while time.monotonic() < end and (holders := self._ahead()):
                self._pull_from(random.choice(holders), port, timeout_s)
                timeout_s = min(MOST_PULL_TIMEOUT_S, 1.3 * timeout_s)
                gevent.sleep(random.uniform(0.5, 1.5) * PULL_AGAIN_S)
        finally:
            self.pulling = False

    def _ahead(self) -> list[Holder]:
        """Return the nodes that told of a newer configuration than this one's."""
        version = self.context.version
        return [holder for holder in self.holders() if holder.version > version]

    def _pull_from(self, holder: Holder, port: int, timeout_s: float) -> None:
        try:
            with gevent.Timeout(timeout_s, TimeoutError("pull")):
                document = receive_document(holder.address, port)
            table = self.context.wire.decode_configuration(document)
            self.context.configure(table, document, holder.node)
        except (OSError, UndecodableError) as error:
            log_event("configuration_not_pulled", peer=holder.node, error=error)


def receive_document(address: str, port: int) -> bytes:
    """Return the configuration that a node serves; raises OSError."""
    sock = gsocket.create_connection((address, port))
    try:
        data = _receive(sock, LENGTH.size)
        (length,) = LENGTH.unpack(data)
        if length > MOST_DOCUMENT_BYTES:
            raise OSError(f"a document of {length} bytes")
        return unpacked(_receive(sock, length))
    finally:
        sock.close()


def unpacked(packed: bytes) -> bytes:
    """Return what was compressed; raises OSError for anything else."""
    try:
        unpacker = zlib.decompressobj()
        document = unpacker.decompress(packed, MOST_DOCUMENT_BYTES)
    except zlib.error as error:
        raise OSError(f"not compressed: {error}") from None
    if not unpacker.eof:
        raise OSError("the document is cut off or too long")
    return document


def _receive(sock, length: int) -> bytes:
    pieces, left = [], length
    while left:
        piece = sock.recv(min(left, 65_536))
        if not piece:
            raise OSError("the document ends early")
        pieces.append(piece)
        left -= len(piece)
    return b"".join(pieces)
