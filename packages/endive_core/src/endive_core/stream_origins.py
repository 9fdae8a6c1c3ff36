"""Where streams began, and which nodes keep that for a stream.

A stream goes on only at the software version that began it, also if its caller takes it
up at another node. The node that begins a stream tells its owners: one node in each of
two availability zones, chosen by hashing, so that a node, or a zone, can be lost. Any
node computes the same owners and asks them. What a stream costs doesn't depend on the
number of nodes.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

import xxhash

from endive_core.hashing import rendezvous_order
from endive_core.ring import HashRing

OWNERS = 2
"""Nodes that keep a stream's origin besides the one that began it."""

RING_POINTS = 32
"""Points of a node on its zone's ring: enough that no owner has over twice its part."""

RESTART_NOTICE_S = 4.0
"""Time within which a node knows the entry of a server that has started again,
seconds."""

MAX_ORIGINS = 20_000
"""Streams whose origins one node keeps at most."""


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Service and software version of the server that began a stream."""

    service: str
    version: str


AMBIGUOUS = StreamOrigin("", "")
"""Origin of several streams that were begun under one request id."""

UNCONFIRMED = StreamOrigin("", "unconfirmed")
"""Origin of a stream while it isn't known which process of its server began it."""


def stream_key(organisation: str, request_id: str) -> bytes:
    """Return the key of a stream, 16 bytes, whatever the length of its request's id."""
    return xxhash.xxh3_128_digest(f"{organisation}\0{request_id}".encode())


class OriginTable:
    """Origins of streams by key, each until its time is over.

    Attributes
    ----------
    origins : dict of bytes to (StreamOrigin, float)
        Origin, and clock time in seconds until which it is kept; least recently told
        first.
    """

    def __init__(self, *, limit: int = MAX_ORIGINS) -> None:
        self.limit = limit
        self.origins: dict[bytes, tuple[StreamOrigin, float]] = {}

    def __len__(self) -> int:
        return len(self.origins)

    def put(self, key: bytes, origin: StreamOrigin, until: float, now: float) -> None:
        """Keep an origin until clock time `until`, seconds."""
        known = self.origins.pop(key, None)
        if known is not None and known[1] > now and known[0] != UNCONFIRMED:
            origin = origin if known[0] == origin else AMBIGUOUS
            until = max(until, known[1])
        self.origins[key] = (origin, until)
        self._forget(now)

    def _forget(self, now: float) -> None:
        """Forget the oldest origins whose time is over, or that are too many."""
        while self.origins:
            key = next(iter(self.origins))
            if self.origins[key][1] > now and len(self.origins) <= self.limit:
                return
            del self.origins[key]

    def get(self, key: bytes, now: float) -> StreamOrigin | None:
        """Return the origin of a stream; ``None`` if it is not known."""
        origin, until = self.origins.get(key, (None, 0.0))
        return origin if until > now else None

    def left(self, now: float) -> list[tuple[bytes, StreamOrigin, float]]:
        """Return key, origin and the rest of its time in seconds, of all origins."""
        return [
            (key, origin, until - now)
            for key, (origin, until) in self.origins.items()
            if until > now
        ]


class RecentBeginnings:
    """The streams that one node has begun lately at each server.

    A server that starts again under its id may answer for some seconds before its new
    entry is known.
    """

    def __init__(self) -> None:
        self.streams: deque[tuple[float, tuple[str, int], bytes]] = deque()

    def add(self, server: tuple[str, int], key: bytes, now: float) -> None:
        """Add a stream that begins now at a server, given by id and incarnation."""
        self._forget_old(now)
        self.streams.append((now, server, key))

    def take(self, server: tuple[str, int], now: float) -> list[bytes]:
        """Return the keys of the streams begun lately at a server."""
        self._forget_old(now)
        return [key for _, at, key in self.streams if at == server]

    def _forget_old(self, now: float) -> None:
        while self.streams and (
            now - self.streams[0][0] > RESTART_NOTICE_S
            or len(self.streams) > MAX_ORIGINS
        ):
            self.streams.popleft()


@dataclass(frozen=True, slots=True)
class Member:
    """A node that may own origins.

    Attributes
    ----------
    incarnation : int
        Differs with each start of the node, which then knows no origins.
    """

    zone: str
    incarnation: int


class OwnerChoice:
    """Chooses the owners of a stream's origin, alike on all nodes.

    Attributes
    ----------
    members : dict of str to Member
        The live nodes by address.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.rings: dict[str, HashRing] = {}

    def set_members(self, members: Mapping[str, Member]) -> bool:
        """Set the live nodes; return whether any has come, gone or restarted."""
        if members == self.members:
            return False
        before, after = _by_zone(self.members), _by_zone(members)
        for zone in before.keys() | after.keys():
            old, new = before.get(zone, set()), after.get(zone, set())
            ring = self.rings.setdefault(zone, HashRing(points=RING_POINTS))
            ring.change_members(new - old, old - new)
            if not new:
                del self.rings[zone]
        self.members = dict(members)
        return True

    def owners(self, key: bytes) -> list[str]:
        """Return the addresses of up to `OWNERS` nodes, in different zones if any."""
        name = key.hex()
        zones = rendezvous_order(name, self.rings)
        if len(zones) == 1:
            return self.rings[zones[0]].candidates(name, OWNERS)
        return [self.rings[zone].candidates(name, 1)[0] for zone in zones[:OWNERS]]


def _by_zone(members: Mapping[str, Member]) -> dict[str, set[str]]:
    zones: dict[str, set[str]] = {}
    for address, member in members.items():
        zones.setdefault(member.zone, set()).add(address)
    return zones
