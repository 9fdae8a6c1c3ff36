"""Acts on departures that backend servers announce, and tells other nodes of them.

A server that leaves says so in its responses. The node that reads one sends it nothing
more, whatever the store says of it meanwhile, and tells the others.
"""

import time
from collections import Counter, OrderedDict
from collections.abc import Callable

import gevent
from endive_node.logs import log_event

from endive_gateway.decoding import is_token
from endive_gateway.interfaces import ResponseMetadata
from endive_gateway.servers import Departure, ServerRegistry

MISDIRECTED_STATUS = 421
"""Status with which another server answers than the one that was meant."""

MAX_DEPARTURES = 8
"""Most leaving servers in one state message."""

MEMORY_S = 60.0
"""Time for which a departure is passed on, and kept without an entry, seconds. The
server is gone by then, or its entry says that it leaves."""

LAST_SERVER_MARGIN_S = 0.3
"""Time before the end of a leaving server's time at which it gets no request any more
even if its service has no other, seconds."""

TIMER_SLACK_S = 0.02
"""Margin for timers that fire early, seconds."""

DepartureReport = tuple[str, int, float]
"""A server, its incarnation, and the age of its departure in seconds."""


class LeavingServers:
    """The servers that have said that they leave.

    Attributes
    ----------
    departures : OrderedDict of str to Departure
        By server, in the order in which they are told to other nodes.
    of_later_start : dict of str to Departure
        By server, what was told of a start that its entry does not name yet.
    invalid : set of str
        Servers whose announcement can't be read.
    announce : callable
        Called with the node through which a server has said so, or an empty address.
    """

    def __init__(self, registry: ServerRegistry, events: Counter[str]) -> None:
        self.registry = registry
        self.events = events
        self.departures: OrderedDict[str, Departure] = OrderedDict()
        self.of_later_start: dict[str, Departure] = {}
        self.invalid: set[str] = set()
        self.announce: Callable[[str], None] = lambda through: None
        registry.restart_listeners.append(self._apply_kept)

    def observe(
        self, server: str, status: int, metadata: ResponseMetadata, through: str
    ) -> None:
        """Apply what a server's response says of its leaving.

        Parameters
        ----------
        through : str
            IP address of the node through which the response came, or empty.
        """
        if status == MISDIRECTED_STATUS:
            # It is the server that has answered which leaves.
            server = metadata.server_id
        known = self.registry.get(server)
        if known is None:
            return
        if metadata.invalid_leaving and server not in self.invalid:
            self.invalid.add(server)
            found = metadata.invalid_leaving
            log_event("server_leaving_invalid", server=server, found=found)
        if metadata.leaving:
            departure = Departure(known.entry.incarnation, time.monotonic())
            if self._apply(server, departure, peer=""):
                self.registry.notify_listeners()
                self.announce(through)

    def learn(self, peer: str, departures: list[DepartureReport]) -> None:
        """Apply the departures that another node passes on."""
        now = time.monotonic()
        applied = [
            self._apply(server, Departure(incarnation, now - age_s), peer)
            for server, incarnation, age_s in departures[:MAX_DEPARTURES]
            if age_s < MEMORY_S and is_token(server)
        ]
        if any(applied):
            self.registry.notify_listeners()

    def _apply(self, server: str, departure: Departure, peer: str) -> bool:
        """Record a server's departure; return whether it is new, of a known server."""
        if not self._is_newer(server, departure):
            return False
        self.departures[server] = departure
        self.departures.move_to_end(server, last=False)
        self.events["server_said_it_leaves"] += 1
        is_known = self.registry.mark_leaving(server, departure)
        found = self.registry.get(server)
        log_event(
            "server_says_it_leaves",
            server=server,
            incarnation=departure.incarnation,
            peer=peer,
            age_s=round(time.monotonic() - departure.at, 3),
            is_last=found is not None and found.is_last,
        )
        left_s = self.registry.last_server_s - (time.monotonic() - departure.at)
        gevent.spawn_later(max(0.0, left_s) + TIMER_SLACK_S, self.registry.settle)
        return is_known

    def _is_newer(self, server: str, departure: Departure) -> bool:
        """Return whether a departure replaces the one that is known.

        One of the start that the server's entry names is kept until the entry names a
        later one, and replaces any other: a peer may tell of a start that never was.
        """
        before = self.departures.get(server)
        if before is None:
            return True
        known = self.registry.get(server)
        current = known.entry.incarnation if known else None
        if before.incarnation == current:
            self._keep_for_restart(server, departure, current)
            return False
        is_current = departure.incarnation == current
        return is_current or departure.incarnation > before.incarnation

    def _keep_for_restart(
        self, server: str, departure: Departure, current: int
    ) -> None:
        """Keep the next departure of a later start than the current one."""
        kept = self.of_later_start.get(server)
        if departure.incarnation > current and (
            kept is None or departure.incarnation < kept.incarnation
        ):
            self.of_later_start[server] = departure

    def _apply_kept(self, server: str) -> None:
        """Apply a departure that may be that of a server's new start."""
        departure = self.of_later_start.pop(server, None)
        if departure is not None:
            self.departures.pop(server, None)
            self._apply(server, departure, peer="")

    def next_departures(self) -> list[DepartureReport]:
        """Return the next departures for a state message; each has its turn."""
        taken, now = [], time.monotonic()
        for _ in range(min(MAX_DEPARTURES, len(self.departures))):
            server, departure = self.departures.popitem(last=False)
            self.departures[server] = departure
            if now - departure.at < MEMORY_S:
                taken.append((server, departure.incarnation, now - departure.at))
        return taken

    def refresh(self) -> None:
        """Forget old departures, and those of servers that have started again."""
        now, servers = time.monotonic(), self.registry.servers
        self.invalid &= servers.keys()
        for server in self.of_later_start.keys() - servers.keys():
            del self.of_later_start[server]
        for server, departure in list(self.departures.items()):
            known = servers.get(server)
            is_old = now - departure.at > MEMORY_S and known is None
            if is_old or (known and known.entry.incarnation > departure.incarnation):
                del self.departures[server]
                self.registry.forget_leaving(server)

    def leaving_servers(self) -> int:
        """Return how many known servers have said that they leave."""
        return sum(server in self.registry.servers for server in self.departures)
