"""Reads and writes, for all nodes, what the store keeps of where streams began.

One node does so at a time, which all choose alike by hashing; others do where they
don't reach it, since nothing depends on its being the only one. Requests that arrive
together share the calls, so their number depends on neither the nodes nor the streams.
"""

import math
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

import gevent
from endive_core.possible_origins import (
    MAX_STREAM_AGE_S,
    Confirmations,
    Disuse,
    OriginList,
    PossibleOrigin,
)
from endive_core.stream_origins import StreamOrigin
from endive_node.logs import log_event
from gevent.event import Event
from gevent.pool import Group

from endive_gateway.exceptions import (
    StoreConflictError,
    StoreError,
    StoreOffsetOutOfRangeError,
    UndecodableError,
)
from endive_gateway.interfaces import Page, Store, Topic
from endive_gateway.origin_documents import (
    BegunStream,
    OtherFormatError,
    decode_list,
    decode_streams,
    encode_list,
    encode_streams,
)
from endive_gateway.store_reading import end_of, read_to_end
from endive_gateway.turns import Worker, WorkKind

LIST_KEY = "origins"

BATCH_S = 0.05
"""Time between two appends of streams, seconds. A stream is recorded while its server
computes the prompt, which takes about as long."""

LOOKUP_GAP_S = 0.01
"""Time between two reads for streams that are taken up, seconds."""

STALE_PAUSES_S = (0.03, 0.06)
"""Pauses after reads that are out of date, seconds. Then the store is taken for
silent."""

SWEEP_S = 2.0
"""Time between two checks for origins that are listed in vain, seconds."""

MAX_VIEW_AGE_S = 3.0
"""Age of a node's view of servers and configuration up to which it removes origins,
seconds."""

MAX_STREAMS_PER_RECORD = 2_000
MAX_WAITING_STREAMS = 10_000
"""Streams in one record, which then has some 60 KB, and streams that wait at most."""


class View(Protocol):
    """What a node knows of servers, configuration and other nodes."""

    def is_usable(self, entry: PossibleOrigin) -> bool:
        """Return whether streams can begin at an entry."""
        ...

    def usable_beside(
        self, entries: Iterable[PossibleOrigin]
    ) -> frozenset[PossibleOrigin]:
        """Return all usable entries of the routes of `entries`."""
        ...

    def age_s(self) -> float:
        """Return the age of this view, seconds; infinite if it was never current."""
        ...

    def has_unlisting_nodes(self) -> bool:
        """Return whether a live node begins streams and lists no origins."""
        ...

    def is_recorder(self) -> bool:
        """Return whether this node is the one that all others ask."""
        ...

    def has_resumable_routes(self) -> bool:
        """Return whether streams of any route may be resumed."""
        ...


@dataclass(frozen=True, slots=True)
class Finding:
    """What the store tells of a stream.

    Attributes
    ----------
    origin : StreamOrigin or None
        ``None`` if it is not certain.
    source : str
        ``recorded`` if the stream itself is, ``certain`` if it can have no other
        origin; else ``unknown``, or ``unread`` if the store did not answer.
    possible : int
        Number of the origins that it may have.
    """

    origin: StreamOrigin | None = None
    source: str = "unread"
    possible: int = 0


@dataclass(frozen=True, slots=True)
class RecordJob:
    """Origins to be listed and streams to be recorded.

    Attributes
    ----------
    streams : tuple of BegunStream
        Not recorded if they begin at entries whose routes have no further origins, at
        the first attempt.
    done : callable
        Called with whether all is recorded, and for each entry whether its route has
        further origins.
    """

    entries: tuple[PossibleOrigin, ...]
    streams: tuple[BegunStream, ...]
    done: Callable[[bool, list[bool]], None]


@dataclass(frozen=True, slots=True)
class LookupJob:
    """A stream whose origin is asked for.

    Attributes
    ----------
    done : callable
        Called with the finding.
    """

    key: bytes
    host: str
    path: str
    done: Callable[[Finding], None]


class RecordedStreams:
    """The recorded streams, as far as this node has read them.

    Attributes
    ----------
    found : dict of bytes to dict of int to (int, StreamOrigin)
        By stream and by the request that began it, its last attempt and the origin.
    read_at : dict of bytes to float
        When each stream was read, oldest first, seconds on the monotonic clock.
    next_offset : int or None
        Offset from which the log is read next; ``None`` before the first read.
    doubtful_until : float
        Until when nothing is concluded from the log, since a record of it could not be
        decoded, seconds on the monotonic clock.
    """

    def __init__(self) -> None:
        self.found: dict[bytes, dict[int, tuple[int, StreamOrigin]]] = {}
        self.read_at: dict[bytes, float] = {}
        self.next_offset: int | None = None
        self.doubtful_until = float("-inf")

    def add(self, stream: BegunStream, now: float) -> None:
        """Add a stream; of one request's attempts the last one counts."""
        attempts = self.found.setdefault(stream.key, {})
        known = attempts.get(stream.request)
        if known is None or known[0] < stream.attempt:
            attempts[stream.request] = (stream.attempt, stream.origin)
        self.read_at.pop(stream.key, None)
        self.read_at[stream.key] = now

    def doubt(self, now: float) -> None:
        """Conclude nothing until the streams of now are too old to be taken up."""
        self.doubtful_until = now + MAX_STREAM_AGE_S

    def origin(self, key: bytes, now: float) -> StreamOrigin | None:
        """Return a stream's origin; ``None`` unless it is recorded and unambiguous."""
        if now < self.doubtful_until:
            return None
        origins = {origin for _, origin in self.found.get(key, {}).values()}
        return origins.pop() if len(origins) == 1 else None

    def forget_old(self, now: float) -> None:
        """Forget the streams that were read so long ago that they are too old."""
        while self.read_at:
            key = next(iter(self.read_at))
            if now - self.read_at[key] <= MAX_STREAM_AGE_S:
                return
            del self.read_at[key], self.found[key]


class OriginRecorder:
    """The list of possible origins and the log of streams in the store.

    Parameters
    ----------
    confirmations : Confirmations
        The entries that this node knows to be listed.
    is_first_start : bool
        Whether no node has begun a stream before, so that a list that doesn't exist
        yet is complete.

    Attributes
    ----------
    origins : OriginList or None
        The list as last read or written; ``None`` if it is not known.
    end : int
        End of the list's topic then; a list is written only where it ends.
    streams_from : int
        Offset from which the log of streams holds all that may still be taken up.
    appended : deque of (float, int)
        When this node appended streams, and at which offset; oldest first.
    logged : dict of str to str
        The last failure of each kind that was logged.
    incomplete_since : float
        Since when this node has seen no node that lists nothing, and the same list,
        seconds on the monotonic clock.
    """

    def __init__(
        self,
        store: Store,
        view: View,
        confirmations: Confirmations,
        *,
        is_first_start: bool,
    ) -> None:
        self.store = store
        self.view = view
        self.confirmations = confirmations
        self.is_first_start = is_first_start
        self.origins: OriginList | None = None
        self.end = -1
        self.is_replaceable = False
        self.streams_from = 0
        self.appended: deque[tuple[float, int]] = deque()
        self.recorded = RecordedStreams()
        self.disuse = Disuse()
        self.records: list[RecordJob] = []
        self.lookups: list[LookupJob] = []
        self.waiting_streams = 0
        self.wanted = Event()
        self.incomplete_since = time.monotonic()
        self.logged: dict[str, str] = {}

    # Requests

    def record(self, job: RecordJob) -> None:
        """Record origins and streams, soon."""
        if self.waiting_streams + len(job.streams) > MAX_WAITING_STREAMS:
            job.done(False, [False] * len(job.entries))
            return
        self.waiting_streams += len(job.streams)
        self.records.append(job)
        self.wanted.set()

    def look_up(self, job: LookupJob) -> None:
        """Look a stream up, by a read that begins after this call."""
        self.lookups.append(job)
        self.wanted.set()

    def run(self) -> None:
        """Serve requests in an endless loop; the body of a greenlet."""
        next_sweep_at = time.monotonic() + SWEEP_S
        while True:
            self.wanted.wait(max(0.0, next_sweep_at - time.monotonic()))
            self.wanted.clear()
            if self.records or self.lookups:
                gevent.sleep(self._serve())
            if time.monotonic() >= next_sweep_at:
                self.sweep()
                next_sweep_at = time.monotonic() + SWEEP_S

    def _serve(self) -> float:
        """Serve what is wanted; return the time until the next calls, seconds."""
        records, self.records = self.records, []
        lookups, self.lookups = self.lookups, []
        self.waiting_streams = 0
        appended = self._serve_records(records) if records else 0
        if lookups:
            self._serve_lookups(lookups)
        return BATCH_S if appended else LOOKUP_GAP_S

    def _serve_records(self, jobs: list[RecordJob]) -> int:
        """List and append what is wanted; return how many streams were appended."""
        streams = []
        try:
            self._list({entry for job in jobs for entry in job.entries})
            streams = [s for job in jobs if self._is_needed(job) for s in job.streams]
            self._append(streams)
        except StoreError as error:
            self._log_failure("origins_not_recorded", error)
            is_recorded = False
        else:
            is_recorded = True
        now = time.monotonic()
        for job in jobs:
            shared = [self._is_shared(entry) for entry in job.entries]
            for entry, is_shared in zip(job.entries, shared, strict=True):
                # What is confirmed already is so as of an earlier view.
                if is_recorded and not self.confirmations.is_confirmed(entry, now):
                    self.confirmations.confirm(entry, now, is_shared=is_shared)
            job.done(is_recorded, shared)
        return len(streams)

    def _is_needed(self, job: RecordJob) -> bool:
        """Return whether a job's streams may have several origins.

        A further attempt shows that, whatever the list said when it was last read.
        """
        is_further = any(stream.attempt > 1 for stream in job.streams)
        return is_further or not job.entries or any(map(self._is_shared, job.entries))

    def _serve_lookups(self, jobs: list[LookupJob]) -> None:
        try:
            self._read_for(jobs)
        except StoreError as error:
            self._log_failure("origins_not_read", error)
            for job in jobs:
                job.done(Finding())
            return
        for job in jobs:
            job.done(self._find(job))

    def _read_for(self, jobs: list[LookupJob]) -> None:
        """Read what the findings of some jobs depend on; raises StoreError.

        Where the list as last read doesn't suffice, it is read together with the log.
        Before the first read of both it isn't known where the log's reading begins.
        """
        knows_both = self.origins is not None and self.recorded.next_offset is not None
        if knows_both and self._depends_on_streams(jobs):
            _call_together(self._read_list, self._read_streams)
            return
        self._read_list()
        if self._depends_on_streams(jobs):
            self._read_streams()

    def _depends_on_streams(self, jobs: list[LookupJob]) -> bool:
        """Return whether the list alone does not tell where the streams began."""
        return any(self._only_origin(job) is None for job in jobs)

    def _find(self, job: LookupJob) -> Finding:
        """Return what the list and the log, as they were just read, tell."""
        origins = self.origins.origins(job.host, job.path) if self.origins else ()
        certain = self._only_origin(job)
        if certain is not None and math.isinf(self.view.age_s()):
            return Finding()  # servers of other versions may be there
        if certain is not None:
            return Finding(certain, "certain", 1)
        origin = self.recorded.origin(job.key, time.monotonic())
        source = "unknown" if origin is None else "recorded"
        return Finding(origin, source, len(origins))

    def _only_origin(self, job: LookupJob) -> StreamOrigin | None:
        if self.origins is None or self.view.has_unlisting_nodes():
            return None
        certain = self.origins.only_origin(job.host, job.path)
        if certain is None:
            return None
        beside = self.view.usable_beside(self.origins.entries)
        is_used = OriginList(beside).origins(job.host, job.path) <= {certain}
        return certain if is_used else None

    def _is_shared(self, entry: PossibleOrigin) -> bool:
        """Return whether streams of an entry's route may have other origins."""
        if self.origins is None or not self.origins.is_complete:
            return True
        return len(self.origins.origins(entry.host, entry.path_prefix)) > 1

    # The list

    def _list(self, entries: set[PossibleOrigin]) -> None:
        """List the entries that aren't listed; raises StoreError."""
        now = time.monotonic()
        self.disuse.used(entries)
        known = all(self.confirmations.is_confirmed(entry, now) for entry in entries)
        if known and self.origins is not None:
            return
        self._read_list()
        beside = self.view.usable_beside(entries | self._listed())
        # Even an unchanged list is written: a node that is about to remove an entry
        # then finds that the topic has gone on.
        self._change(lambda origins: origins.extended(entries | beside), is_needed=True)

    def _listed(self) -> frozenset[PossibleOrigin]:
        return self.origins.entries if self.origins is not None else frozenset()

    def _read_list(self) -> None:
        """Read the list; raises StoreError.

        A list that can't be decoded is taken for unknown, and so is none. Nothing can
        be concluded from either, or from one that is out of date.
        """
        page = self._current(
            Topic.POSSIBLE_ORIGINS,
            lambda: self.store.newest(Topic.POSSIBLE_ORIGINS),
        )
        values = [r.value for r in page.records if r.key == LIST_KEY]
        if page.end != self.end:
            self.incomplete_since = time.monotonic()
            # Another node may have confirmed entries that this one sees no use for.
            self.disuse.clear()
        self.end, self.origins, self.streams_from = page.end, None, 0
        self.is_replaceable = True
        if not values:
            return
        try:
            self.origins, self.streams_from = decode_list(values[-1])
        except UndecodableError as error:
            self.is_replaceable = not isinstance(error, OtherFormatError)
            self._log_failure("origin_list_undecodable", error)

    def _change(
        self, change: Callable[[OriginList], OriginList], *, is_needed: bool = False
    ) -> None:
        """Write a changed list; raises StoreError.

        Parameters
        ----------
        is_needed : bool
            Whether the list is written even if it is as it should be.
        """
        while True:
            before = self.origins
            if before is None and not self.is_replaceable:
                raise StoreError("the list of origins has another format")
            is_new = self.end == 0 and self.is_first_start
            changed = change(before or OriginList(is_complete=is_new))
            if changed == before and not is_needed:
                return
            streams_from = self._streams_from()
            try:
                offset = self.store.put(
                    Topic.POSSIBLE_ORIGINS,
                    LIST_KEY,
                    encode_list(changed, streams_from),
                    at=self.end,
                )
            except StoreConflictError:
                self._read_list()
                continue
            if before is None:
                self.incomplete_since = time.monotonic()
            self._log_change(before, changed)
            self.origins, self.end = changed, offset + 1
            self.streams_from = streams_from
            return

    def _log_change(self, before: OriginList | None, after: OriginList) -> None:
        if before == after:
            return
        old = before.entries if before is not None else frozenset()
        log_event(
            "origins_listed",
            entries=len(after.entries),
            complete=after.is_complete,
            added=_names(after.entries - old),
            removed=_names(old - after.entries),
        )

    # Streams

    def _append(self, streams: list[BegunStream]) -> None:
        """Append streams to the log; raises StoreError."""
        for first in range(0, len(streams), MAX_STREAMS_PER_RECORD):
            value = encode_streams(streams[first : first + MAX_STREAMS_PER_RECORD])
            sent_at = time.monotonic()
            offset = self.store.append(Topic.STREAMS, value)
            self.appended.append((sent_at, offset))
        self._forget_appended()

    def _forget_appended(self) -> None:
        """Forget appends of streams that are too old, but for the last one of them."""
        oldest = time.monotonic() - MAX_STREAM_AGE_S
        while len(self.appended) > 1 and self.appended[1][0] < oldest:
            self.appended.popleft()

    def _streams_from(self) -> int:
        """Return an offset before which no recorded stream may still be taken up."""
        self._forget_appended()
        oldest = time.monotonic() - MAX_STREAM_AGE_S
        if self.appended and self.appended[0][0] < oldest:
            return max(self.streams_from, self.appended[0][1])
        return self.streams_from

    def _read_streams(self) -> None:
        """Read what the log has of streams beyond what is known; raises StoreError."""
        recorded, now = self.recorded, time.monotonic()
        start = recorded.next_offset
        start = self.streams_from if start is None else max(start, self.streams_from)
        page = self._current(Topic.STREAMS, lambda: self._read_streams_from(start))
        worker = Worker("log of streams", WorkKind.PLATFORM)
        for record in page.records:
            worker.checkpoint()
            try:
                for stream in decode_streams(record.value or b""):
                    recorded.add(stream, now)
            except UndecodableError as error:
                self._log_failure("origin_record_undecodable", error)
                recorded.doubt(now)
        if page.end < start:
            self._log_failure("origin_log_shorter", StoreError(f"ends at {page.end}"))
            recorded.doubt(now)
        recorded.next_offset = page.end
        recorded.forget_old(now)

    def _read_streams_from(self, start: int) -> Page:
        try:
            return read_to_end(self.store, Topic.STREAMS, start)
        except StoreOffsetOutOfRangeError as error:
            return read_to_end(self.store, Topic.STREAMS, error.first)

    def _current(self, topic: Topic, read: Callable[[], Page]) -> Page:
        """Return a page that is not out of date; raises StoreError.

        Nothing that was appended before this call lies beyond the end, so the page may
        be read while the end is asked for.
        """
        end, page = _call_together(lambda: end_of(self.store, topic), read)
        for pause_s in STALE_PAUSES_S:
            if page.end >= end:
                return page
            gevent.sleep(pause_s)
            page = read()
        if page.end >= end:
            return page
        raise StoreError(f"pages of {topic} end at {page.end}, the topic at {end}")

    # Housekeeping

    def sweep(self) -> None:
        """Create the list at first, and remove what no stream can have any more."""
        view, now = self.view, time.monotonic()
        is_mixed = view.has_unlisting_nodes()
        if is_mixed:
            self.incomplete_since = now
        if not (view.is_recorder() and view.has_resumable_routes()):
            self.disuse.clear()
            return
        try:
            if self.origins is None:
                self._read_list()
            if view.age_s() > MAX_VIEW_AGE_S:
                self.disuse.clear()
                return
            unused = self.disuse.observe(self._listed(), view.is_usable, now)
            beside = view.usable_beside(self._listed())
            self._change(
                lambda origins: self._swept(
                    origins, unused & self.disuse.since.keys(), beside, is_mixed
                )
            )
        except StoreError as error:
            self._log_failure("origins_not_swept", error)

    def _swept(
        self,
        origins: OriginList,
        unused: frozenset[PossibleOrigin],
        beside: frozenset[PossibleOrigin],
        is_mixed: bool,
    ) -> OriginList:
        """Return the list without unused entries, and with those that may be used."""
        is_settled = time.monotonic() - self.incomplete_since > MAX_STREAM_AGE_S
        is_complete = not is_mixed and (origins.is_complete or is_settled)
        return OriginList(origins.reduced(unused).entries | beside, is_complete)

    def _log_failure(self, event: str, error: Exception) -> None:
        """Log a failure, unless it is the same as the last one of its kind."""
        if self.logged.get(event) != str(error):
            self.logged[event] = str(error)
            log_event(event, error=error)


def _call_together(*calls: Callable[[], Any]) -> list[Any]:
    """Return the results of calls to the store that run at the same time.

    Raises
    ------
    StoreError
        The first one of the calls in their order, once all have ended.
    """

    def run(call: Callable[[], Any]) -> Any:
        try:
            return call()
        except StoreError as error:
            return error

    results = Group().map(run, calls)
    for result in results:
        if isinstance(result, StoreError):
            raise result
    return results


def _names(entries: Iterable[PossibleOrigin]) -> str:
    return ",".join(
        sorted(
            f"{e.host}{e.path_prefix}:{e.origin.service}:{e.origin.version}"
            for e in entries
        )
    )
