"""Transfer of the configuration between gateways, over TCP.

The message is the zlib-compressed configuration after its length. A configuration of a
thousand routes has 400 KB, a sixteenth of that compressed: 20 ms on a link of 10 Mbit/s
instead of 320 ms. All nodes must have it in force within two seconds, and after a power
loss no node serves requests before it has one.
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

from endive_gateway.bounded_server import BoundedServer
from endive_gateway.context import Context
from endive_gateway.exceptions import UndecodableError

MEAN_PULL_DELAY_S = 0.25
"""Mean delay before a newer configuration is pulled from a peer, seconds, where each
node reads the store itself: in most cases the store delivers it within this time."""

PULL_SPREAD_S = 0.1
"""Time over which many nodes spread their pulls of one configuration, seconds."""

PULL_TIMEOUT_S = 0.25
MAX_PULL_TIMEOUT_S = 1.0
"""Time-out of the first attempt to pull a configuration, and the longest time-out of an
attempt or of sending one, seconds. Two transfers of 25 KB at once take 0.08 s on the
slowest link, 5 Mbit/s. A node that is itself starting takes far longer, so a short
time-out leads to another node sooner. It grows with each attempt, for larger
configurations."""

PULL_RETRY_S = 0.03
"""Mean time between two attempts, seconds: about what one transfer takes on a link of
10 Mbit/s."""

PULL_DEADLINE_S = 2.0
"""Time after which a pull is abandoned, seconds. A node that is still behind starts
another one at the next state message with a newer version, or reads the store."""

MAX_CONCURRENT_SENDS = 2
"""Nodes to which one node sends the configuration at the same time. All nodes hear at
once of the first node that has a configuration. Without a limit, 16 of 40 nodes that
pulled from one node with a link of 10 Mbit/s after a power loss timed out after a
second, and served no requests meanwhile."""

MAX_PULLS = 32
"""Connections at which nodes may pull at once; all but a few are closed unserved."""

POLL_INTERVAL_S = 0.01
"""Time between two checks whether a starting node has a configuration, seconds."""

SOURCE_WAIT_S = 0.08
"""Time for which a starting node waits to hear of a peer that has a configuration,
seconds: a few round trips of 7 ms, and the peer's scheduling delay."""

FIRST_PULL_LIMIT_S = 0.6
"""Time after which a starting node reads the store although it is still pulling the
configuration from a peer, seconds: time for one attempt and part of another."""

MAX_DOCUMENT_BYTES = 16_777_216
"""Largest configuration that is accepted, compressed or decompressed, bytes."""

LENGTH_PREFIX = struct.Struct(">I")


class Source(Protocol):
    """A peer from which the configuration can be pulled."""

    address: str
    node: str
    version: int


class ConfigurationExchange:
    """Serves this node's configuration to peers, and pulls newer ones from them."""

    def __init__(self, context: Context, sources: Callable[[], list[Source]]) -> None:
        self.context = context
        self.sources = sources
        self.active_sends = 0
        self.pulling = False
        self.compressed = b""
        self.compressed_version = -1

    def start(self, address: str, port: int) -> None:
        """Start serving the configuration at ``address:port``."""
        self.listener = BoundedServer(
            listen_tcp(address, port),
            self._serve,
            lambda: MAX_PULLS,
            self.context.refusals,
            "configuration",
        )
        self.listener.start()

    def stop(self) -> None:
        """Stop serving."""
        self.listener.stop(0)

    def _serve(self, sock, _address) -> None:
        """Send the configuration in force, or close the connection if at the limit."""
        if self.active_sends >= MAX_CONCURRENT_SENDS:
            return
        self.active_sends += 1
        self.listener.received(sock)
        try:
            with gevent.Timeout(MAX_PULL_TIMEOUT_S, False):
                compressed = self._compressed_document()
                sock.sendall(LENGTH_PREFIX.pack(len(compressed)) + compressed)
        finally:
            self.active_sends -= 1

    def _compressed_document(self) -> bytes:
        """Return the configuration in force, compressed once for each version."""
        if self.compressed_version != self.context.version:
            self.compressed = zlib.compress(self.context.document)
            self.compressed_version = self.context.version
        return self.compressed

    def pull(self, port: int, *, reads_store: bool) -> None:
        """Start pulling the configuration from a peer that has a newer one.

        The store may reject this node's reads while it serves the other nodes and the
        operators; API keys revoked meanwhile must become invalid here as well. In a
        large fleet most nodes get every configuration this way.

        Parameters
        ----------
        port : int
            TCP port at which peers serve the configuration.
        reads_store : bool
            Whether this node also reads each configuration from the store.
        """
        if self.pulling:
            return
        self.pulling = True
        spread_s = 2 * MEAN_PULL_DELAY_S if reads_store else PULL_SPREAD_S
        if self.context.version < 0:
            spread_s = 0.0  # no request is served before the first configuration
        gevent.spawn(self._pull, port, spread_s)

    def await_first(self) -> bool:
        """Wait for a peer's configuration; return whether one arrived.

        With a thousand routes, the uncompressed copy in the store takes 0.3 s on a link
        of 10 Mbit/s, the compressed copy of a peer 0.02 s. After a power loss, when all
        nodes start, requests are refused until it has arrived.
        """
        started = time.monotonic()
        while self.context.version < 0:
            limit_s = FIRST_PULL_LIMIT_S if self.pulling else SOURCE_WAIT_S
            if time.monotonic() - started >= limit_s:
                return False
            gevent.sleep(POLL_INTERVAL_S)
        return True

    def _pull(self, port: int, spread_s: float) -> None:
        random = self.context.random
        end = time.monotonic() + PULL_DEADLINE_S
        timeout_s = PULL_TIMEOUT_S
        try:
            gevent.sleep(random.random() * spread_s)
            while time.monotonic() < end and (sources := self._sources_ahead()):
                self._pull_from(random.choice(sources), port, timeout_s)
                timeout_s = min(MAX_PULL_TIMEOUT_S, 1.3 * timeout_s)
                gevent.sleep(random.uniform(0.5, 1.5) * PULL_RETRY_S)
        finally:
            self.pulling = False

    def _sources_ahead(self) -> list[Source]:
        """Return the peers that reported a newer configuration than this node's."""
        version = self.context.version
        return [source for source in self.sources() if source.version > version]

    def _pull_from(self, source: Source, port: int, timeout_s: float) -> None:
        try:
            with gevent.Timeout(
                timeout_s, TimeoutError("configuration transfer timed out")
            ):
                document = receive_document(source.address, port)
            table = self.context.wire.decode_configuration(document)
            self.context.configure(table, document, source.node)
        except (OSError, UndecodableError) as error:
            log_event("configuration_not_pulled", peer=source.node, error=error)


def receive_document(address: str, port: int) -> bytes:
    """Return the configuration that the node at ``address:port`` serves.

    Raises
    ------
    OSError
        If the connection fails, or the data is too large, incomplete or corrupt.
    """
    sock = gsocket.create_connection((address, port))
    try:
        data = _receive(sock, LENGTH_PREFIX.size)
        (length,) = LENGTH_PREFIX.unpack(data)
        if length > MAX_DOCUMENT_BYTES:
            raise OSError(
                f"compressed configuration too large: {length} bytes,"
                f" limit {MAX_DOCUMENT_BYTES}"
            )
        return decompress(_receive(sock, length))
    finally:
        sock.close()


def decompress(compressed: bytes) -> bytes:
    """Return the decompressed configuration.

    Raises
    ------
    OSError
        If the data is corrupt, incomplete, or larger than ``MAX_DOCUMENT_BYTES``.
    """
    try:
        decompressor = zlib.decompressobj()
        document = decompressor.decompress(compressed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise OSError(f"invalid compressed configuration: {error}") from None
    if not decompressor.eof:
        raise OSError(
            f"configuration incomplete or larger than {MAX_DOCUMENT_BYTES} bytes"
        )
    return document


def _receive(sock, length: int) -> bytes:
    pieces, left = [], length
    while left:
        piece = sock.recv(min(left, 65_536))
        if not piece:
            raise OSError(f"connection closed after {length - left} of {length} bytes")
        pieces.append(piece)
        left -= len(piece)
    return b"".join(pieces)
