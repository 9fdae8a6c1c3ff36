"""The software versions at which a stream begins and goes on, within one request."""

import time
from collections import Counter
from dataclasses import dataclass

from endive_core.exceptions import EndiveError, ErrorKind
from endive_core.routing import Route, RouteKind
from endive_core.software_versions import (
    MAX_STREAM_AGE_S,
    RouteHistory,
    certain_version,
)
from endive_core.stream_origins import StreamOrigin, stream_key
from endive_node.logs import log_event

from endive_gateway.interfaces import NOT_A_VERSION, RequestMetadata
from endive_gateway.origin_exchange import OriginExchange

UNKNOWN_VERSION = f"{NOT_A_VERSION}unknown"
"""Software version of a server that has started again while a stream began there."""

MAX_LOGGED_CHARACTERS = 64
"""Longest part of a caller's own value in the log, characters."""


@dataclass(frozen=True, slots=True)
class Resumption:
    """Where a stream goes on that its caller takes up.

    Attributes
    ----------
    outcome : str
        How that is known: ``kept`` here, ``told`` by another node, or ``certain`` as no
        other version can have begun the stream; else ``unknown``, or ``moved`` if the
        route no longer leads to the service that began it.
    origin : StreamOrigin or None
        ``None`` if the stream can't go on.
    replies : int
        Owners of its origin that have replied without knowing it.
    """

    outcome: str
    origin: StreamOrigin | None
    replies: int = 0


class Resumptions:
    """Decides where the streams go on that callers take up.

    Attributes
    ----------
    outcomes : Counter
        Resumptions by outcome; see :class:`Resumption`.
    """

    def __init__(
        self, exchange: OriginExchange, routes: RouteHistory, outcomes: Counter[str]
    ) -> None:
        self.exchange = exchange
        self.routes = routes
        self.outcomes = outcomes

    def find(
        self, route: Route, organisation: str, metadata: RequestMetadata
    ) -> StreamOrigin:
        """Return where a stream goes on.

        Raises
        ------
        EndiveError
            If nobody knows the software version that began it.
        """
        began_at = time.monotonic()
        resumption = self._resolve(route, organisation, metadata)
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
            ms=round((time.monotonic() - began_at) * 1000),
        )
        if origin is None:
            raise EndiveError(
                ErrorKind.STREAM_NOT_RESUMABLE,
                "it is not known which software version began the stream"
                if resumption.outcome == "unknown"
                else "the route no longer leads to the service that began the stream",
            )
        return origin

    def _resolve(
        self, route: Route, organisation: str, metadata: RequestMetadata
    ) -> Resumption:
        key = stream_key(organisation, metadata.resumes or metadata.id)
        origin = self.exchange.known(key)
        if origin is not None:
            return self._known("kept", origin, route)
        service, since_s = self.routes.only_service(route, time.monotonic())
        inquiry = self.exchange.ask(key, service)
        if inquiry.origin is not None:
            return self._known("told", inquiry.origin, route)
        replies = len(inquiry.views)
        own = self.exchange.history.sole(service, time.monotonic())
        version = certain_version(own, inquiry.views, MAX_STREAM_AGE_S)
        # Without a reply this node may be cut off, and not know all versions.
        is_cut_off = bool(inquiry.unanswered) and not replies
        if version is None or is_cut_off or since_s < MAX_STREAM_AGE_S:
            return Resumption("unknown", None, replies)
        return Resumption("certain", StreamOrigin(service, version), replies)

    @staticmethod
    def _known(outcome: str, origin: StreamOrigin, route: Route) -> Resumption:
        if origin.service not in route.services:
            return Resumption("moved", None)
        return Resumption(outcome, origin)


class StreamAffinity:
    """What ties one request's stream to a version of its servers' software.

    Attributes
    ----------
    attempts : list of (str, int)
        Software version of the server of each attempt, and the events that the caller
        had been sent before it.
    """

    def __init__(self, metadata: RequestMetadata) -> None:
        self.metadata = metadata
        self.attempts: list[tuple[str, int]] = []

    def is_resumption(self, route: Route) -> bool:
        """Return whether the caller takes up a stream."""
        return route.kind is RouteKind.STREAM and bool(self.metadata.last_event_id)

    def key(self, organisation: str) -> bytes:
        """Return the key under which the stream's origin is kept."""
        began_as = self.metadata.id
        if self.metadata.last_event_id:
            began_as = self.metadata.resumes or began_as
        return stream_key(organisation, began_as)

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
