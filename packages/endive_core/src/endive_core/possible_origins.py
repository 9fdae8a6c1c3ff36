"""The origins that streams of a path may have, as a list on which all nodes agree.

The list outlives all nodes. An origin is listed before the first stream of its route
begins there, and for as long as such a stream may be taken up. So a stream whose origin
nobody knows goes on where the list has a single origin for its path, even if all nodes
have just started. No time of day is needed: an origin is removed by a node that has
seen no use for it for the whole of that time.

Load: routes whose streams may be resumed, during releases, and after losses of any
number of nodes.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from endive_core.routing import Route
from endive_core.stream_origins import StreamOrigin

MAX_STREAM_AGE_S = 60.0
"""Age up to which a stream may be taken up, seconds."""

CONFIRMED_PART = 0.4
"""Part of that age for which a listed origin stays confirmed after a node has last seen
a use for it. A node confirms it to another one, so these times add up, and one that
removes it must have seen no use for the whole age."""

CONFIRMED_S = CONFIRMED_PART * MAX_STREAM_AGE_S


@dataclass(frozen=True, slots=True)
class PossibleOrigin:
    """An origin that streams of one route may have."""

    host: str
    path_prefix: str
    origin: StreamOrigin

    @classmethod
    def of(cls, route: Route, origin: StreamOrigin) -> "PossibleOrigin":
        """Return the possible origin of a route's streams."""
        return cls(route.host, route.path_prefix, origin)


@dataclass(frozen=True, slots=True)
class OriginList:
    """The possible origins of all streams.

    Attributes
    ----------
    is_complete : bool
        Whether each stream that may still be taken up began at one of them. That is
        not so where nodes have begun streams that list no origins.
    """

    entries: frozenset[PossibleOrigin] = frozenset()
    is_complete: bool = False

    def origins(self, host: str, path: str) -> frozenset[StreamOrigin]:
        """Return the origins that a stream of a path may have.

        Its route may have been another one when it began, so all prefixes count.
        """
        return frozenset(
            entry.origin
            for entry in self.entries
            if entry.host == host and path.startswith(entry.path_prefix)
        )

    def only_origin(self, host: str, path: str) -> StreamOrigin | None:
        """Return the origin that a stream must have; ``None`` if it is not certain."""
        origins = self.origins(host, path)
        return next(iter(origins)) if self.is_complete and len(origins) == 1 else None

    def extended(self, entries: Iterable[PossibleOrigin]) -> "OriginList":
        """Return this list with further entries."""
        return replace(self, entries=self.entries.union(entries))

    def reduced(self, entries: Iterable[PossibleOrigin]) -> "OriginList":
        """Return this list without some entries."""
        return replace(self, entries=self.entries.difference(entries))


class Disuse:
    """Since when no stream can begin at each entry of the list, as one node sees it.

    Attributes
    ----------
    since : dict of PossibleOrigin to float
        By entry without a use, seconds on the node's steady clock.
    """

    def __init__(self) -> None:
        self.since: dict[PossibleOrigin, float] = {}

    def observe(
        self,
        entries: Iterable[PossibleOrigin],
        is_usable: Callable[[PossibleOrigin], bool],
        now: float,
    ) -> frozenset[PossibleOrigin]:
        """Record which entries are usable; return those to be removed.

        Called at least once within each `MAX_STREAM_AGE_S` with a current view.
        """
        unused = {entry for entry in entries if not is_usable(entry)}
        self.since = {entry: self.since.get(entry, now) for entry in unused}
        return frozenset(
            entry
            for entry, since in self.since.items()
            if now - since >= MAX_STREAM_AGE_S
        )

    def used(self, entries: Iterable[PossibleOrigin]) -> None:
        """Record that a node wants to begin streams at some entries."""
        for entry in entries:
            self.since.pop(entry, None)

    def clear(self) -> None:
        """Forget all, for example since the view was not current for a while."""
        self.since.clear()


class Confirmations:
    """The entries that one node knows to be listed, and which routes share origins.

    Attributes
    ----------
    confirmed_at : dict of PossibleOrigin to float
        When an entry was known to be listed, and was last seen to be usable, seconds.
    shared_until : dict of (str, str) to float
        By host and path prefix of a route, until when its streams may have several
        origins, seconds.
    """

    def __init__(self) -> None:
        self.confirmed_at: dict[PossibleOrigin, float] = {}
        self.shared_until: dict[tuple[str, str], float] = {}

    def confirm(self, entry: PossibleOrigin, now: float, *, is_shared: bool) -> None:
        """Record that an entry is listed, and whether its route has further ones."""
        self.confirmed_at[entry] = now
        if is_shared:
            self.share(entry, now)

    def share(self, entry: PossibleOrigin, now: float) -> bool:
        """Record that an entry's route has further origins; return whether it is new.

        Streams of before may have any of them until they are too old.
        """
        route = (entry.host, entry.path_prefix)
        is_new = self.shared_until.get(route, 0.0) <= now
        self.shared_until[route] = now + MAX_STREAM_AGE_S
        return is_new

    def observe(
        self, is_usable: Callable[[PossibleOrigin], bool], seen_at: float
    ) -> None:
        """Record which entries are usable as of a view of the time `seen_at`.

        One that is not may have been removed when it returns, and so may one that was
        not seen for too long.
        """
        self.confirmed_at = {
            entry: max(at, seen_at)
            for entry, at in self.confirmed_at.items()
            if is_usable(entry) and seen_at - at <= CONFIRMED_S
        }

    def is_confirmed(self, entry: PossibleOrigin, now: float) -> bool:
        """Return whether an entry is certain to be listed."""
        confirmed_at = self.confirmed_at.get(entry)
        if confirmed_at is None:
            return False
        return now - confirmed_at <= CONFIRMED_S

    def is_shared(self, entry: PossibleOrigin, now: float) -> bool:
        """Return whether streams of an entry's route may have other origins."""
        route = (entry.host, entry.path_prefix)
        return self.shared_until.get(route, 0.0) > now
