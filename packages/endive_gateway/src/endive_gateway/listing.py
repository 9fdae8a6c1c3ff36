"""The list of nodes in the store: registers this node and reads the other entries."""

from collections.abc import Callable
from itertools import islice

import gevent
import msgspec
from endive_node.logs import log_event
from gevent.event import Event
from gevent.pool import Group

from endive_gateway.context import Context
from endive_gateway.decoding import decode_json, is_ip_address
from endive_gateway.exceptions import StoreError, UndecodableError
from endive_gateway.following import MAX_LOGGED_CHARACTERS, MAX_SKIPPED
from endive_gateway.interfaces import Record, Topic
from endive_gateway.nodes import NodeEntry

MIN_LIST_READ_INTERVAL_S = 20.0
"""Least time between two reads of a list that is complete as far as a node knows,
seconds. Two nodes that have never received a message from each other find each other
there."""

NODES_PER_LIST_READ = 8
"""Number of nodes of which one reads the list in each such interval. Whichever node
reads it sends its state to all nodes in it, so more reads would find nothing new."""

MAX_UNLISTED = 3
"""Number of long-running nodes unknown here until they sent a message, from which on
the list is read again soon. So many appear together when a partition ends. A single one
was out of contact itself, and is known once it has sent a message."""

UNLISTED_AFTER_S = 30.0
"""Time since its start after which an unknown node counts as long-running, seconds. A
node that has just started finds the others itself."""

REREAD_SPREAD_S = 5.0
REREAD_SPREAD_PER_NODE_S = 0.01
"""Time over which the nodes spread their reads after a partition, seconds: at least,
and for each known node. A read takes one call for each fifty nodes."""

FIRST_ATTEMPT_GAP_S = 0.3
ATTEMPT_GAP_GROWTH = 1.5
MAX_ATTEMPT_GAP_S = 3.0
"""Time between two attempts to read the list for the first time, seconds: with none
under way, its growth with each that is, and the longest. A store that falls silent
never answers a call sent to it meanwhile, so an attempt doesn't wait for earlier ones.
A store that is slow answers them later, and gets fewer."""

LEARNED_GAP_PER_NODE_S = 0.02
"""Time between two such attempts for each node, once another node has passed the list
on, seconds: about fifty reads a second of all nodes that start together. A read takes
one call for each fifty nodes."""

MIN_LIST_RETRY_S = 0.4
MAX_LIST_RETRY_S = 3.0
"""Delay before a failed read of a list that has been read before is retried, first and
longest, seconds. It doubles each time: the platform charges for each call, and
otherwise each node that the store rejects for 9 s would make 22, a third of the nodes
at a time."""


def refresh_interval_s(nodes: int) -> float:
    """Return the time between two reads of the list by one of `nodes` nodes, seconds.

    All nodes together read it at the same rate at any number of nodes.
    """
    return MIN_LIST_READ_INTERVAL_S * max(1.0, nodes / NODES_PER_LIST_READ)


class NodeList:
    """Keeps this node in the list, and passes on the addresses in it.

    Parameters
    ----------
    on_addresses : callable
        Called with the addresses in the list, including this node's own.

    Attributes
    ----------
    is_known : Event
        Set once the list has been read, or another node has passed it on.
    is_read : Event
        Set once this node has read the list itself.
    registered : bool
        Whether the store has confirmed this node's entry.
    is_registering : bool
        Whether a registration waits for the store's answer.
    attempts_under_way : int
        Attempts that wait for the store's answer.
    addresses : list of str
        The addresses in the list as last read or passed on.
    unlisted : set of str
        Addresses of long-running nodes that the last list read did not contain.
    outdated : Event
        Set once there are so many of them that the list is read again soon.
    skipped : set of int
        Offsets of entries that could not be read.
    """

    def __init__(
        self, context: Context, on_addresses: Callable[[list[str]], None]
    ) -> None:
        self.context = context
        self.node = context.settings.location.node
        self.address = context.settings.location.address
        self.on_addresses = on_addresses
        self.is_known = Event()
        self.is_read = Event()
        self.registered = False
        self.is_registering = False
        self.attempts_under_way = 0
        self.addresses: list[str] = []
        self.unlisted: set[str] = set()
        self.outdated = Event()
        self.skipped: set[int] = set()

    def follow(self) -> None:
        """Register this node and read the list repeatedly; the body of a greenlet."""
        first_attempts = Group()
        try:
            while not self.is_read.is_set():
                first_attempts.spawn(self._attempt)
                gevent.sleep(self._jitter(self._first_attempts_gap_s()))
            self._refresh()
        finally:
            first_attempts.kill()

    def _first_attempts_gap_s(self) -> float:
        gap_s = FIRST_ATTEMPT_GAP_S * ATTEMPT_GAP_GROWTH**self.attempts_under_way
        gap_s = min(MAX_ATTEMPT_GAP_S, gap_s)
        if self.is_known.is_set():
            gap_s = max(gap_s, LEARNED_GAP_PER_NODE_S * self.context.nodes)
        return gap_s

    def _refresh(self) -> None:
        """Read the list again from time to time, once it has been read."""
        retry_s, answered = MIN_LIST_RETRY_S, True
        while True:
            if answered and self.registered:
                self._await_refresh()
            else:
                gevent.sleep(self._jitter(retry_s))
            answered = self._attempt()
            retry_s = (
                MIN_LIST_RETRY_S if answered else min(MAX_LIST_RETRY_S, 2 * retry_s)
            )

    def _await_refresh(self) -> None:
        """Wait until the list is due to be read again, or known to be outdated."""
        gevent.sleep(self._jitter(MIN_LIST_READ_INTERVAL_S))
        nodes = self.context.nodes
        left_s = refresh_interval_s(nodes) - MIN_LIST_READ_INTERVAL_S
        if left_s > 0 and self.outdated.wait(self._jitter(left_s)):
            spread_s = max(REREAD_SPREAD_S, REREAD_SPREAD_PER_NODE_S * nodes)
            gevent.sleep(self.context.random.uniform(0, spread_s))

    def observe_unknown(self, address: str, age_s: float) -> None:
        """Record a message from a node that was unknown here, `age_s` after its start.

        Such a node, or this one, was out of contact for so long that the others forgot
        it. Where many were, each side of a partition has forgotten the other.
        """
        if not self.is_read.is_set() or age_s < UNLISTED_AFTER_S:
            return
        self.unlisted.add(address)
        if len(self.unlisted) >= MAX_UNLISTED:
            self.outdated.set()

    def _jitter(self, seconds: float) -> float:
        return seconds * self.context.random.uniform(0.7, 1.3)

    def _attempt(self) -> bool:
        """Register this node if needed, and read the list; return whether it was read.

        While another attempt still waits for its registration, this one only reads.
        """
        self.attempts_under_way += 1
        try:
            if not self.registered and not self.is_registering:
                self.is_registering = True
                try:
                    self.registered = self.register()
                finally:
                    self.is_registering = False
            self.read()
        except StoreError as error:
            log_event("nodes_not_read", error=error)
            return False
        finally:
            self.attempts_under_way -= 1
        return True

    def register(self) -> bool:
        """Write this node's entry; return whether the store confirmed it.

        The list is read in either case. Otherwise a node whose write is done but whose
        answers are lost would know of no other node, and admit the whole of every rate
        limit by itself.
        """
        entry = NodeEntry(self.address, self.context.incarnation)
        try:
            self.context.store.put(Topic.NODES, self.node, msgspec.json.encode(entry))
        except StoreError as error:
            log_event("node_not_listed", error=error)
            return False
        return True

    def read(self) -> None:
        """Read the list once; raises StoreError."""
        addresses = []
        for record in self.context.store.newest(Topic.NODES).records:
            try:
                addresses.append(_decode_address(record.value or b""))
            except UndecodableError as error:
                self._note_skipped(record, error)
        self.unlisted.clear()
        self.outdated.clear()
        self._set_addresses(addresses)
        self.is_read.set()

    def _note_skipped(self, record: Record, error: UndecodableError) -> None:
        if record.offset in self.skipped:
            return
        self.skipped = {*islice(self.skipped, MAX_SKIPPED), record.offset}
        self.context.metrics.events["node_entry_undecodable"] += 1
        log_event(
            "node_entry_undecodable",
            node=record.key[:MAX_LOGGED_CHARACTERS],
            offset=record.offset,
            error=str(error)[:MAX_LOGGED_CHARACTERS],
        )

    def learn(self, addresses: list[str]) -> None:
        """Take the list from another node, unless this node knows it already.

        This node still reads the list itself, without haste: the other node may have
        read it before a third one registered.
        """
        if not self.is_known.is_set():
            self._set_addresses([a for a in addresses if is_ip_address(a)])

    def _set_addresses(self, addresses: list[str]) -> None:
        self.addresses = addresses
        # Set first, since `on_addresses` tells the others whether the list is known.
        self.is_known.set()
        self.on_addresses(addresses)


def _decode_address(value: bytes) -> str:
    """Return the address in a node's entry; raises UndecodableError."""
    entry = decode_json(value, NodeEntry)
    if not is_ip_address(entry.address):
        raise UndecodableError(f"{entry.address!r} is not the address of a node")
    return entry.address
