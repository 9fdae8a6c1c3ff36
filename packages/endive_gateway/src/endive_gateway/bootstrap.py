"""What a starting node takes from another one: nodes, servers, and known crashes.

When hundreds of nodes start together, the store answers a few of them first. If each
waited for its own answers, the last one would serve only after thousands of calls. Over
TCP one answer reaches all of them within some milliseconds.
"""

import time
import zlib
from typing import Protocol

import gevent
import msgspec
from endive_node.logs import log_event
from endive_node.sockets import listen_tcp

from endive_gateway.bounded_server import BoundedServer
from endive_gateway.configuration_exchange import (
    LENGTH_PREFIX,
    MAX_CONCURRENT_SENDS,
    MAX_PULL_TIMEOUT_S,
    MAX_PULLS,
    PULL_DEADLINE_S,
    PULL_RETRY_S,
    PULL_TIMEOUT_S,
    Source,
    receive_document,
)
from endive_gateway.context import Context
from endive_gateway.decoding import decode_msgpack
from endive_gateway.exceptions import UndecodableError
from endive_gateway.part_exchange import PartEvidence
from endive_gateway.quantities import Age, Count

REFRESH_INTERVAL_S = 0.5
"""Mean time between two tries of a node that is not starting to take the servers from
another one, seconds. One is mostly enough: what is relayed continues from there."""


class Bootstrap(msgspec.Struct, array_like=True):
    """What a node knows of the others and of the servers.

    Attributes
    ----------
    addresses : list of str
        IP addresses of the nodes in the list.
    servers : list of (int, str, bytes)
        Offset, key and value of each server's newest record.
    next_offset : int
        Offset from which the servers' topic is to be read next.
    age_s : float
        Seconds since the read that the servers stem from.
    read : int
        Identity of that read.
    parts : PartEvidence or None
        Crashes by parts of prompts, and what clears them; ``None`` from a node of an
        earlier build.
    """

    addresses: list[str]
    servers: list[tuple[Count, str, bytes]]
    next_offset: Count
    age_s: Age
    read: Count
    parts: PartEvidence | None = None


DECODER = msgspec.msgpack.Decoder(Bootstrap)


class Participant(Protocol):
    """The node that gives or takes a bootstrap."""

    def is_complete(self) -> bool:
        """Return whether this node can pass on the list of nodes and the servers."""
        ...

    def lacks_bootstrap(self) -> bool:
        """Return whether this node lacks nodes, servers or crashes that others know."""
        ...

    def bootstrap_sources(self) -> list[Source]:
        """Return the live nodes that can pass on what this one lacks."""
        ...

    def bootstrap(self) -> Bootstrap:
        """Return what this node knows."""
        ...

    def apply_bootstrap(self, bootstrap: Bootstrap) -> None:
        """Take what this node does not know yet."""
        ...


class BootstrapExchange:
    """Gives starting nodes what this node knows, and takes it from another one."""

    def __init__(self, context: Context, participant: Participant) -> None:
        self.context = context
        self.participant = participant
        self.active_sends = 0
        self.pulling = False
        self.next_refresh_at = 0.0

    def start(self, address: str, port: int) -> None:
        """Start serving at ``address:port``."""
        self.listener = BoundedServer(
            listen_tcp(address, port),
            self._serve,
            lambda: MAX_PULLS,
            self.context.refusals,
            "bootstrap",
        )
        self.listener.start()

    def stop(self) -> None:
        """Stop serving."""
        self.listener.stop(0)

    def _serve(self, sock, _address) -> None:
        """Send what this node knows, or close the connection if it can't."""
        if (
            self.active_sends >= MAX_CONCURRENT_SENDS
            or not self.participant.is_complete()
        ):
            return
        self.active_sends += 1
        self.listener.received(sock)
        try:
            with gevent.Timeout(MAX_PULL_TIMEOUT_S, False):
                data = msgspec.msgpack.encode(self.participant.bootstrap())
                compressed = zlib.compress(data)
                sock.sendall(LENGTH_PREFIX.pack(len(compressed)) + compressed)
        finally:
            self.active_sends -= 1

    def pull(self, port: int) -> None:
        """Start taking what this node lacks, unless it already does so."""
        if not self.pulling:
            self.pulling = True
            gevent.spawn(self._pull, port)

    def refresh(self, port: int) -> None:
        """Take the servers from another node once, unless this was done just now."""
        now, random = time.monotonic(), self.context.random
        if self.pulling or now < self.next_refresh_at:
            return
        self.next_refresh_at = now + random.uniform(0.5, 1.5) * REFRESH_INTERVAL_S
        self.pulling = True
        gevent.spawn(self._refresh, port)

    def _refresh(self, port: int) -> None:
        try:
            sources = self.participant.bootstrap_sources()
            if sources:
                source = self.context.random.choice(sources)
                self._pull_from(source, port, MAX_PULL_TIMEOUT_S)
        finally:
            self.pulling = False

    def _pull(self, port: int) -> None:
        random = self.context.random
        end = time.monotonic() + PULL_DEADLINE_S
        timeout_s = PULL_TIMEOUT_S
        try:
            while time.monotonic() < end and self.participant.lacks_bootstrap():
                sources = self.participant.bootstrap_sources()
                if not sources:
                    return
                self._pull_from(random.choice(sources), port, timeout_s)
                timeout_s = min(MAX_PULL_TIMEOUT_S, 1.3 * timeout_s)
                gevent.sleep(random.uniform(0.5, 1.5) * PULL_RETRY_S)
        finally:
            self.pulling = False

    def _pull_from(self, source: Source, port: int, timeout_s: float) -> None:
        try:
            with gevent.Timeout(timeout_s, TimeoutError("bootstrap timed out")):
                document = receive_document(source.address, port)
            bootstrap = decode_msgpack(document, DECODER)
        except (OSError, UndecodableError) as error:
            log_event("bootstrap_not_pulled", peer=source.node, error=error)
            return
        log_event(
            "bootstrap",
            peer=source.node,
            nodes=len(bootstrap.addresses),
            servers=len(bootstrap.servers),
            age_s=bootstrap.age_s,
            part_crashes=len(bootstrap.parts.crashes) if bootstrap.parts else 0,
        )
        self.participant.apply_bootstrap(bootstrap)
