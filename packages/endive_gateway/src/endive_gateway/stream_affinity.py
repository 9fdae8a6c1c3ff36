"""The software versions at which a stream begins and goes on, within one request."""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

import gevent
from endive_core.exceptions import EndiveError, ErrorKind
from endive_core.possible_origins import PossibleOrigin
from endive_core.routing import Route, RouteKind
from endive_core.stream_origins import UNCONFIRMED, StreamOrigin, stream_key
from endive_node.logs import log_event

from endive_gateway.interfaces import NOT_A_VERSION, RequestMetadata
from endive_gateway.origin_exchange import OriginExchange
from endive_gateway.origin_records import OriginRecords, Recording, random_number

UNKNOWN_VERSION = f"{NOT_A_VERSION}unknown"
"""Software version of a server that has started again while a stream began there."""

RECORDING_S = 0.35
"""Time for which a stream's first event waits for the recording of its origin, seconds:
enough to ask the recorder twice, and then the store."""

CONFIRMATION_S = 1.0
CONFIRMATION_POLL_S = 0.1
"""Time for which a stream that its caller takes up waits until its version and servers
are known, and time between two questions, seconds."""

MAX_LOGGED_CHARACTERS = 64
"""Longest part of a caller's own value in the log, characters."""


@dataclass(frozen=True, slots=True)
class Resumption:
    """Where a stream goes on that its caller takes up.

    Attributes
    ----------
    outcome : str
        How that is known: ``kept`` here, ``told`` by another node, ``recorded`` in the
        store, or ``certain`` as the stream can have no other origin; else ``unknown``,
        ``unread`` if the store does not answer, ``unconfirmed`` if the process that
        began it is not known yet, ``unserved`` if this node knows no server of the
        version and has not read the servers since, or ``moved`` if the route no longer
        leads to the service that began it.
    origin : StreamOrigin or None
        ``None`` if the stream can't go on.
    replies : int
        Owners of its origin that have replied without knowing it.
    possible : int
        Number of the origins that it may have, if the store tells that.
    """

    outcome: str
    origin: StreamOrigin | None
    replies: int = 0
    possible: int = 0


REFUSALS = {
    "unknown": (
        ErrorKind.STREAM_NOT_RESUMABLE,
        "it is not known which software version began the stream",
    ),
    "moved": (
        ErrorKind.STREAM_NOT_RESUMABLE,
        "the route no longer leads to the service that began the stream",
    ),
    "unread": (
        ErrorKind.NOT_READY,
        "the store does not tell now which software version began the stream",
    ),
    "unconfirmed": (
        ErrorKind.NOT_READY,
        "it is not known yet which software version began the stream",
    ),
    "unserved": (
        ErrorKind.NOT_READY,
        "it is not known yet which servers have the version that began the stream",
    ),
}
"""By outcome, why a stream does not go on. What the store did not tell, it may tell
later, and a node may have read the servers before one of them joined."""


class Resumptions:
    """Decides where the streams go on that callers take up.

    Attributes
    ----------
    outcomes : Counter
        Resumptions by outcome; see :class:`Resumption`.
    read_at : callable
        Returns when the read began that the known servers stem from, seconds on the
        monotonic clock.
    """

    def __init__(
        self, exchange: OriginExchange, records: OriginRecords, outcomes: Counter[str]
    ) -> None:
        self.exchange = exchange
        self.records = records
        self.outcomes = outcomes
        self.read_at: Callable[[], float] = lambda: float("inf")

    def find(
        self,
        route: Route,
        path: str,
        organisation: str,
        metadata: RequestMetadata,
        within_s: float,
    ) -> StreamOrigin:
        """Return where a stream goes on.

        Parameters
        ----------
        within_s : float
            Time that the request can wait for an answer, seconds.

        Raises
        ------
        EndiveError
            If nobody knows the software version that began it.
        """
        began_at = time.monotonic()
        resumption = self._resolve(route, path, organisation, metadata, within_s)
        self.outcomes[resumption.outcome] += 1
        origin = resumption.origin
        log_event(
            "stream_resumption",
            request=metadata.id,
            resumes=metadata.resumes[:MAX_LOGGED_CHARACTERS],
            after=metadata.last_event_id[:MAX_LOGGED_CHARACTERS],
            outcome=resumption.outcome,
            service=origin.service if origin else "",
            software_version=origin.version if origin else "",
            replies=resumption.replies,
            possible=resumption.possible,
            ms=round((time.monotonic() - began_at) * 1000),
        )
        if origin is None:
            raise EndiveError(*REFUSALS[resumption.outcome])
        return origin

    def _resolve(
        self,
        route: Route,
        path: str,
        organisation: str,
        metadata: RequestMetadata,
        within_s: float,
    ) -> Resumption:
        key = stream_key(organisation, metadata.resumes or metadata.id)
        asked_at = time.monotonic()
        latest = asked_at + within_s
        end = min(asked_at + CONFIRMATION_S, latest)
        resumption = self._look_up(route, path, key, latest)
        while resumption.outcome == "unconfirmed" and time.monotonic() < end:
            gevent.sleep(CONFIRMATION_POLL_S)
            resumption = self._look_up(route, path, key, latest)
        if resumption.origin is None:
            return resumption
        entry = PossibleOrigin.of(route, resumption.origin)
        while not (self.records.view.is_usable(entry) or self.read_at() >= asked_at):
            if time.monotonic() >= end:
                return replace(resumption, outcome="unserved", origin=None)
            gevent.sleep(CONFIRMATION_POLL_S)
        return resumption

    def _look_up(
        self, route: Route, path: str, key: bytes, latest: float
    ) -> Resumption:
        """Look a stream up.

        Parameters
        ----------
        latest : float
            Until when an answer is waited for at most, seconds on the monotonic clock.
        """
        origin = self.exchange.known(key)
        if origin is not None:
            return _resumption("kept", origin, route)
        inquiry = self.exchange.ask(key)
        if inquiry.origin is not None:
            return _resumption("told", inquiry.origin, route)
        left_s = latest - time.monotonic()
        finding = self.records.look_up(key, route.host, path, left_s)
        return replace(
            _resumption(finding.source, finding.origin, route),
            replies=inquiry.replies,
            possible=finding.possible,
        )


def _resumption(outcome: str, origin: StreamOrigin | None, route: Route) -> Resumption:
    if origin == UNCONFIRMED:
        return Resumption("unconfirmed", None)
    if origin is not None and origin.service not in route.services:
        return Resumption("moved", None)
    return Resumption(outcome, origin)


class StreamAffinity:
    """What ties one request's stream to a version of its servers' software.

    Attributes
    ----------
    attempts : list of (str, int)
        Software version of the server of each attempt, and the events that the caller
        had been sent before it.
    number : int
        Tells this request's records from those of others under its id.
    recorded : StreamOrigin or None
        The origin that may have been recorded last.
    records : int
        How often one has been.
    recording : Recording or None
        The recording that the stream's first event may have to wait for.
    waits : bool
        Whether it has to, if that is required.
    has_moved : bool
        Whether several origins may have been recorded.
    """

    def __init__(self, metadata: RequestMetadata) -> None:
        self.metadata = metadata
        self.attempts: list[tuple[str, int]] = []
        self.number = random_number()
        self.recorded: StreamOrigin | None = None
        self.records = 0
        self.recording: Recording | None = None
        self.waits = False
        self.has_moved = False

    def record(
        self,
        records: OriginRecords,
        entry: PossibleOrigin,
        organisation: str,
        *,
        is_resumed: bool,
    ) -> None:
        """Have recorded that the stream is about to begin, or go on, at an origin.

        Where it goes on, nothing waits for that: it began there before.
        """
        has_failed = self.recording is not None and self.recording.has_failed
        if self.recorded == entry.origin and not has_failed:
            return
        self.records += 1
        self.has_moved |= self.recorded not in (None, entry.origin)
        self.recorded = entry.origin
        self.recording = records.begin(
            entry, self.keys(organisation), self.number, self.records
        )
        self.waits = not is_resumed

    def is_recorded(self) -> bool:
        """Wait for what must be recorded before the stream begins, and return it."""
        recording = self.recording
        if recording is None or not (recording.is_required and self.waits):
            return True
        return recording.wait(RECORDING_S)

    def is_resumption(self, route: Route) -> bool:
        """Return whether the caller takes up a stream."""
        return route.kind is RouteKind.STREAM and bool(self.metadata.last_event_id)

    def keys(self, organisation: str) -> list[bytes]:
        """Return the keys under which the stream's origin is kept.

        A caller that takes a stream up repeatedly may name its first try or a later
        one.
        """
        names = [self.metadata.id]
        if self.metadata.last_event_id and self.metadata.resumes:
            names.append(self.metadata.resumes)
        return [stream_key(organisation, name) for name in dict.fromkeys(names)]

    def attempted(self, version: str, events: int) -> None:
        """Record that the request is sent to a server of `version`."""
        self.attempts.append((version, events))

    def fields(self) -> dict[str, str]:
        """Return the fields of the request's log line."""
        values = {
            "versions": ",".join(f"{v}@{events}" for v, events in self.attempts),
            "after": self.metadata.last_event_id[:MAX_LOGGED_CHARACTERS],
            "resumes": self.metadata.resumes[:MAX_LOGGED_CHARACTERS],
        }
        return {name: value for name, value in values.items() if value}
