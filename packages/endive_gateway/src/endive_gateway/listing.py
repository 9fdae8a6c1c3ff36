"""The list of nodes in the store: this node entered, the others read."""

from collections.abc import Callable

import gevent
import msgspec
from endive_node.logs import log_event
from gevent.event import Event

from endive_gateway.context import Context
from endive_gateway.exceptions import StoreError
from endive_gateway.interfaces import Topic
from endive_gateway.nodes import NodeEntry

LIST_AGAIN_S = 20.0
"""How often the list of nodes in the store is read again, seconds: two nodes that
never heard each other meet there."""

LIST_RETRY_S = 0.4
MOST_LIST_RETRY_S = 3.0
"""Time before a read of the list that failed is tried again, doubled each time once it
has been read, seconds. Each call is paid for, and a node that is turned away for 9 s
would else make 22, a third of a fleet at a time. But a node that never read it knows of
no other: started while the store was away, each lets through the whole of every limit
from the moment the store is back."""


class NodeList:
    """Keeps this node in the list, and hands over who else is in it.

    Parameters
    ----------
    take : callable
        Called with the addresses in the list, this node's own among them.

    Attributes
    ----------
    is_read : Event
        Set once the list has been read.
    """

    def __init__(self, context: Context, take: Callable[[list[str]], None]) -> None:
        self.context = context
        self.node = context.settings.location.node
        self.address = context.settings.location.address
        self.take = take
        self.is_read = Event()

    def follow(self) -> None:
        """List this node, and learn of the others; the body of a greenlet."""
        listed = False
        retry_s = LIST_RETRY_S
        while True:
            try:
                listed = listed or self.list_itself()
                self.read()
            except StoreError as error:
                log_event("nodes_not_read", error=error)
                gevent.sleep(retry_s * self.context.random.uniform(0.7, 1.3))
                if self.is_read.is_set():
                    retry_s = min(MOST_LIST_RETRY_S, 2 * retry_s)
            else:
                retry_s = LIST_RETRY_S
                gap_s = LIST_AGAIN_S if listed else LIST_RETRY_S
                gevent.sleep(gap_s * self.context.random.uniform(0.7, 1.3))

    def list_itself(self) -> bool:
        """Enter this node in the list; return whether the store said that it did.

        The list is read all the same: where answers are lost, a node would else know of
        no other, and let through the whole of every limit by itself.
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
                entry = msgspec.json.decode(record.value or b"", type=NodeEntry)
            except msgspec.MsgspecError as error:
                log_event("node_entry_undecodable", node=record.key, error=error)
                continue
            addresses.append(entry.address)
        self.is_read.set()
        self.take(addresses)
