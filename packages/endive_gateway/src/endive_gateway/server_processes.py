"""Tells which process of a server a connection leads to.

A server may start again under its id, with other software, and answer requests before
its new entry is written and read. Its process lives at least as long as its
connections, and writes its entry once in each heartbeat. So a connection leads to the
process of an entry if a read of the servers still finds that entry when a heartbeat has
passed. A further connection leads there too if it is opened while such a one is open.
"""

import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from weakref import WeakSet

import gevent

from endive_gateway.interfaces import ServerEntry
from endive_gateway.servers import ServerRegistry
from endive_gateway.tcp import ByteStream

REGISTRATION_HEARTBEATS = 1.25
"""Longest time after a server begins to listen until the store has its entry, in
heartbeats: servers keep to theirs only approximately."""

READS_S = 1.5
"""Time within which the servers are read twice, seconds."""

MAX_UNSEEN_S = 2.0
"""Time between two reads of the servers within which none is taken to start twice,
seconds."""

POLL_S = 0.05
"""Time between two looks at whether a process is known, seconds."""

MAX_COMPARED = 8
"""Open connections that are looked at to learn where a new one leads."""


@dataclass(eq=False)
class Link:
    """An open connection to a server, and the process that it leads to.

    Attributes
    ----------
    address : str
        The server's address, or an empty one if the connection goes through a node.
    entry : ServerEntry or None
        The server's entry as it was known when the connection was begun.
    read_at : float
        When the read of that entry began, seconds on the monotonic clock.
    opened_at : float
        When the connection was open, seconds on that clock.
    is_proven : bool
        Whether that entry is certain to tell the software version of the process at
        the other end.
    """

    server_id: str
    address: str
    stream: ByteStream
    entry: ServerEntry | None
    read_at: float
    opened_at: float
    is_proven: bool = False

    @property
    def incarnation(self) -> int | None:
        """Incarnation of the entry, if there is one."""
        return self.entry.incarnation if self.entry else None


class ServerProcesses:
    """The open connections to servers, and the processes that they lead to.

    Attributes
    ----------
    read_at : callable
        Returns when the read began that the known servers stem from, seconds on the
        monotonic clock.
    registration_s : float
        Longest time after a server begins to listen until the store has its entry,
        seconds.
    """

    def __init__(self, registry: ServerRegistry, heartbeat_s: float) -> None:
        self.registry = registry
        self.registration_s = REGISTRATION_HEARTBEATS * heartbeat_s
        self.read_at: Callable[[], float] = lambda: float("inf")
        self.links: defaultdict[str, WeakSet[Link]] = defaultdict(WeakSet)

    def entry(self, server_id: str) -> ServerEntry | None:
        """Return a server's newest known entry, if there is one."""
        known = self.registry.get(server_id)
        return known.entry if known else None

    def opened(
        self,
        server_id: str,
        address: str,
        stream: ByteStream,
        entry: ServerEntry | None,
    ) -> Link:
        """Take note of a new connection.

        Parameters
        ----------
        address : str
            See :class:`Link`.
        entry : ServerEntry or None
            The server's, from before the connection was begun.
        """
        read_at, now = self.read_at(), time.monotonic()
        link = Link(server_id, address, stream, entry, read_at, now)
        others = [
            other
            for other in self.links[server_id]
            if other.address == address and other.incarnation == link.incarnation
        ]
        link.is_proven = bool(address) and any(
            self.is_proven(other) and other.stream.is_idle()
            for other in others[:MAX_COMPARED]
        )
        self.links[server_id].add(link)
        return link

    def forget(self, server_id: str) -> None:
        """Forget the connections to a server that is gone or has started again."""
        self.links.pop(server_id, None)

    def is_proven(self, link: Link) -> bool:
        """Return whether it is known to which version a connection leads."""
        if not link.is_proven and self.may_prove(link):
            if self.entry(link.server_id).incarnation == link.incarnation:
                link.is_proven = self._is_registered_since(link.opened_at)
            else:
                # It leads to the former process or to the new one, which are alike.
                link.is_proven = self.read_at() >= link.opened_at
        return link.is_proven

    def may_prove(self, link: Link) -> bool:
        """Return whether a read now or later can tell where a connection leads.

        A server that has started again since leads to the same software version, unless
        another version may have run between the two.
        """
        known = self.entry(link.server_id)
        if known is None or link.entry is None:
            return False
        if known.incarnation == link.entry.incarnation:
            return True
        is_alike = known.software_version_label == link.entry.software_version_label
        return is_alike and self.read_at() - link.read_at <= MAX_UNSEEN_S

    def is_still(self, server_id: str, incarnation: int, open_at: float) -> bool:
        """Return whether an entry is certain to be that of a connection's process.

        Parameters
        ----------
        open_at : float
            When a connection was open that was begun after the entry was known, at this
            node or another, seconds on the monotonic clock of this node.
        """
        known = self.entry(server_id)
        is_same = known is not None and known.incarnation == incarnation
        return is_same and self._is_registered_since(open_at)

    def _is_registered_since(self, open_at: float) -> bool:
        """Return whether the known servers include all that listened at a time."""
        return self.read_at() >= open_at + self.registration_s

    def writer(self, link: Link, entry: ServerEntry) -> "Writer":
        """Return the process that answers over a connection."""
        return Writer(self, link, entry)


@dataclass(frozen=True, slots=True)
class Writer:
    """The process that answers a request, and the entry that it is taken to have.

    Attributes
    ----------
    entry : ServerEntry
        The server's entry when the request was sent.
    """

    processes: ServerProcesses
    link: Link
    entry: ServerEntry

    @property
    def is_proven(self) -> bool:
        """Whether the entry is certain to tell the version of what answers."""
        is_same = self.link.incarnation == self.entry.incarnation
        return is_same and self.processes.is_proven(self.link)

    @property
    def is_refuted(self) -> bool:
        """Whether that will never be certain."""
        if self.is_proven:
            return False
        is_other = self.link.incarnation != self.entry.incarnation
        return is_other or not self.processes.may_prove(self.link)

    @property
    def known_in_s(self) -> float:
        """Longest time until it is known which process answers, seconds.

        It is known by then if the servers are read as usual.
        """
        registered_at = self.link.opened_at + self.processes.registration_s
        return max(0.0, registered_at - time.monotonic()) + READS_S

    def wait(self, seconds: float) -> bool:
        """Wait until it is known which process answers; return whether it is."""
        end = time.monotonic() + seconds
        while not self.is_proven:
            if self.is_refuted or time.monotonic() >= end:
                return False
            gevent.sleep(POLL_S)
        return True
