"""Keeps the rests that backend servers ask for, and tells the other nodes of them.

A server that turns a request away may say for how long it wants nothing from the node
that sent it. Another node is not bound by that, but is likely to be turned away too.
Each node therefore tells the others which servers have asked it. One that hears of
several nodes for one server passes on that the server is shedding load, and all give it
requests only where no other server has room.
"""

import time
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from endive_core.resting import RestTimes
from endive_node.logs import log_event

from endive_gateway.interfaces import ResponseMetadata
from endive_gateway.placing import Placer
from endive_gateway.servers import ServerRegistry

TURNED_AWAY_STATUS = 503
"""Status of a response in which a server may ask for rest."""

FIRST_REQUEST_GAP_S = 0.01
"""Mean time between the first requests that nodes send to a server whose rest is over,
seconds, if it asked all of them at the same time."""

MAX_SPREAD = 0.5
"""Largest part of a rest by which the first request after it is put off."""

MIN_REPORTERS = 2
"""Other nodes that must have been asked for rest for a server to count as shedding.
What one was told says little of the others."""

MAX_ENTRIES = 8
"""Most rests in one state message, and most shedding servers."""

ID_BITS = 62
"""Random bits of an id: the integers of the messages have up to 63."""

REFUSAL_TOLD_S = 1.0
"""Time for which a node tells others that a server has refused a request of its own
without asking for rest, seconds."""

FORGET_UNKNOWN_S = 60.0
"""Time after which the rest of a server without an entry is forgotten, seconds. An
entry that has lapsed is back within seconds."""

RestReport = tuple[str, float, str]
"""A server, the time left of its rest, seconds, and the node through which it asked."""

SheddingReport = tuple[str, float, int]
"""A server, for how many seconds more it is shedding, and the id of that statement."""


@dataclass(frozen=True, slots=True)
class Rest:
    """A rest that a server has asked this node for.

    Attributes
    ----------
    incarnation : int
        Of the server that asked.
    asked_at, ends_at : float
        Between these it wants no requests from this node, seconds on the monotonic
        clock.
    until : float
        When this node may send the first request again.
    through : str
        IP address of the node through which it asked; empty if it was asked directly.
    """

    incarnation: int
    asked_at: float
    ends_at: float
    until: float
    through: str


@dataclass(frozen=True, slots=True)
class Shedding:
    """That several nodes send a server nothing.

    Attributes
    ----------
    until : float
        Seconds on the monotonic clock.
    id : int
        Identifies the statement among all nodes. Passing it on delays it, so of the
        same statement the earliest time is the best known.
    """

    until: float
    id: int


class ServerRests:
    """The rests that servers have asked this node and others for.

    Attributes
    ----------
    rests : OrderedDict of str to Rest
        By server, in the order in which they are told to other nodes.
    refused : OrderedDict of str to float
        By server that has refused a request without asking for rest, until when others
        are told, seconds on the monotonic clock.
    reported : dict of str to dict of str to float
        By server, up to `MIN_REPORTERS` other nodes that it has asked, with the time on
        the monotonic clock until which they send it nothing.
    shedding : OrderedDict of str to Shedding
        The shedding servers, in the order in which they are told to other nodes.
    rests_by_transit : dict of (str, str) to float
        The same by node and server, for the nodes through which this one goes.
    invalid : set of str
        Servers that asked for a rest that can't be read.
    announce : callable
        Called with a server that has asked for rest, and the node through which it did.
    """

    def __init__(
        self,
        address: str,
        registry: ServerRegistry,
        placer: Placer,
        random: Random,
        events: Counter[str],
    ) -> None:
        self.address = address
        self.registry = registry
        self.placer = placer
        self.random = random
        self.events = events
        self.rests: OrderedDict[str, Rest] = OrderedDict()
        self.refused: OrderedDict[str, float] = OrderedDict()
        self.reported: dict[str, dict[str, float]] = {}
        self.shedding: OrderedDict[str, Shedding] = OrderedDict()
        self.rests_by_transit: dict[tuple[str, str], float] = {}
        self.invalid: set[str] = set()
        self.announce: Callable[[str, str], None] = lambda server, through: None
        registry.listeners.append(self.refresh)

    # What servers say

    def observe(
        self, server: str, status: int, metadata: ResponseMetadata, through: str
    ) -> None:
        """Apply what a server's response asks for.

        Parameters
        ----------
        through : str
            IP address of the node through which the response came, or empty.
        """
        if status != TURNED_AWAY_STATUS:
            return
        if metadata.invalid_rest and server not in self.invalid:
            self.invalid.add(server)
            found = metadata.invalid_rest
            log_event("server_rest_invalid", server=server, found=found)
        if metadata.rest_s:
            self._begin(server, metadata.rest_s, through)
            self.announce(server, through)
        elif metadata.not_run:
            self.refused[server] = time.monotonic() + REFUSAL_TOLD_S
            self.refused.move_to_end(server)

    def _begin(self, server: str, rest_s: float, through: str, peer: str = "") -> None:
        known, now = self.registry.get(server), time.monotonic()
        if known is None:
            return
        spread_s = min(MAX_SPREAD * rest_s, FIRST_REQUEST_GAP_S * self.placer.nodes)
        before = self.rests.get(server)
        ends_at = now + rest_s
        if before is not None and before.incarnation == known.entry.incarnation:
            ends_at = max(ends_at, before.ends_at)
        until = ends_at + self.random.uniform(0.0, spread_s)
        self.rests[server] = Rest(known.entry.incarnation, now, ends_at, until, through)
        self.rests.move_to_end(server, last=False)
        self.events["server_rested"] += 1
        log_event(
            "server_rests",
            server=server,
            asked_s=rest_s,
            rests_s=round(until - now, 3),
            through=through,
            peer=peer,
        )
        self._apply()

    def is_resting(self, server: str) -> bool:
        """Return whether a server wants no requests from this node now."""
        rest = self.rests.get(server)
        if rest is None or time.monotonic() >= rest.until:
            return False
        known = self.registry.get(server)
        return known is None or known.entry.incarnation == rest.incarnation

    def refresh(self) -> None:
        """Forget the rests that are over, also because their server has restarted."""
        self.invalid &= self.registry.servers.keys()
        now = time.monotonic()
        while self.refused and next(iter(self.refused.values())) <= now:
            self.refused.popitem(last=False)
        if not (self.rests or self.reported or self.shedding):
            return
        for server, rest in list(self.rests.items()):
            if self._is_over(server, rest, now):
                del self.rests[server]
        for server, shedding in list(self.shedding.items()):
            if shedding.until <= now:
                del self.shedding[server]
        for server, reporters in list(self.reported.items()):
            self.reported[server] = {n: t for n, t in reporters.items() if t > now}
            if not self.reported[server]:
                del self.reported[server]
        by_transit = self.rests_by_transit.items()
        self.rests_by_transit = {key: t for key, t in by_transit if t > now}
        self._apply()

    def _is_over(self, server: str, rest: Rest, now: float) -> bool:
        known = self.registry.get(server)
        if known is None:
            return now >= min(rest.until, rest.asked_at + FORGET_UNKNOWN_S)
        return now >= rest.until or known.entry.incarnation != rest.incarnation

    def _apply(self) -> None:
        own = {server: rest.until for server, rest in self.rests.items()}
        others = {server: found.until for server, found in self.shedding.items()}
        self.placer.set_rests(RestTimes(own, others))

    # What nodes tell each other

    def next_rests(self) -> list[RestReport]:
        """Return the next of this node's rests and refusals for a state message."""
        taken, now = [], time.monotonic()
        for _ in range(min(MAX_ENTRIES, len(self.rests))):
            server, rest = self.rests.popitem(last=False)
            self.rests[server] = rest
            if rest.ends_at > now:
                taken.append((server, rest.ends_at - now, rest.through))
        for server, until in reversed(self.refused.items()):
            if len(taken) >= MAX_ENTRIES:
                break
            if until > now and server not in self.rests:
                taken.append((server, until - now, ""))
        return taken

    def next_shedding(self) -> list[SheddingReport]:
        """Return the next of the shedding servers for a state message, in turn."""
        taken, now = [], time.monotonic()
        for _ in range(min(MAX_ENTRIES, len(self.shedding))):
            server, shedding = self.shedding.popitem(last=False)
            self.shedding[server] = shedding
            if shedding.until > now:
                taken.append((server, shedding.until - now, shedding.id))
        return taken

    def learn_shedding(self, servers: list[SheddingReport]) -> None:
        """Apply the shedding servers that another node knows."""
        now = time.monotonic()
        changed = [
            self._note_shedding(server, Shedding(now + left_s, statement))
            for server, left_s, statement in servers
            if server in self.registry.servers
        ]
        if any(changed):
            self._apply()

    def _note_shedding(self, server: str, found: Shedding) -> bool:
        """Record a shedding server; return whether that changes anything."""
        known = self.shedding.get(server)
        if known is None:
            self.events["server_sheds"] += 1
            log_event(
                "server_sheds",
                server=server,
                left_s=round(found.until - time.monotonic(), 3),
                reporters=",".join(self.reported.get(server, ())),
            )
        elif found.id == known.id:
            if found.until >= known.until:
                return False
        elif found.until <= known.until:
            return False
        self.shedding[server] = found
        return True

    def learn(self, peer: str, rests: list[RestReport], *, is_transit: bool) -> None:
        """Apply the rests of the node at IP address `peer`.

        Parameters
        ----------
        is_transit : bool
            Whether connections of this node go through it.
        """
        now = time.monotonic()
        for server, left_s, through in rests:
            if through == self.address and not self.is_resting(server):
                # To the server, the other node's request was this node's.
                self._begin(server, left_s, "", peer)
            if is_transit:
                self.rests_by_transit[peer, server] = now + left_s
            if server in self.registry.servers:
                self._note_reporter(server, peer, now + left_s)
        if rests:
            self._apply()

    def _note_reporter(self, server: str, peer: str, until: float) -> None:
        """Keep the reporters whose rests last longest."""
        reporters = self.reported.setdefault(server, {})
        reporters[peer] = until
        if len(reporters) > MIN_REPORTERS:
            del reporters[min(reporters, key=reporters.get)]
        if len(reporters) == MIN_REPORTERS:
            statement = self.random.getrandbits(ID_BITS)
            self._note_shedding(server, Shedding(min(reporters.values()), statement))

    def rests_for(self, node: str, server: str) -> bool:
        """Return whether a server rests for a node through which this one goes."""
        until = self.rests_by_transit.get((node, server))
        return until is not None and time.monotonic() < until

    # What the rests mean

    def closed_servers(self, service: str) -> int:
        """Return how many usable servers of a service rest for several nodes.

        Those that have only refused requests are not counted.
        """
        known = map(self.registry.get, self.rests.keys() | self.shedding.keys())
        return sum(
            server.usable and self._is_closed(server.entry.id)
            for server in known
            if server is not None and server.entry.service == service
        )

    def _is_closed(self, server: str) -> bool:
        now = time.monotonic()
        found = self.shedding.get(server)
        if found is not None and found.until > now + REFUSAL_TOLD_S:
            return True
        told = sum(until > now for until in self.reported.get(server, {}).values())
        return self.is_resting(server) and (told > 0 or self.placer.nodes == 1)

    def resting_servers(self) -> int:
        """Return how many servers rest for this node."""
        return sum(self.is_resting(server) for server in self.rests)
