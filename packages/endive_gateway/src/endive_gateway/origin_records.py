"""Has the origins of a node's streams recorded, and looks up those of others.

Both go to the node that all nodes choose as the recorder. Where that one doesn't reply
or doesn't reach the store, requests go to a second one, and what both fail to do, and
lookups, to this node's own one.
"""

import itertools
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import gevent
from endive_core.hashing import rendezvous_choice
from endive_core.possible_origins import Confirmations, PossibleOrigin
from endive_core.stream_origins import AMBIGUOUS, StreamOrigin
from gevent.event import Event

from endive_gateway.interfaces import NOT_A_VERSION
from endive_gateway.origin_documents import MAX_TEXT, BegunStream
from endive_gateway.origin_messages import (
    LookupReply,
    LookupRequest,
    RecordMessage,
    RecordReply,
    RecordRequest,
)
from endive_gateway.origin_recorder import (
    Finding,
    LookupJob,
    OriginRecorder,
    RecordJob,
    View,
)

RECORDER_KEY = "recorder of stream origins"

RESEND_S = 0.12
SENDS = 2
"""Time after which a request without a reply is sent to the next recorder, seconds, and
how many get it before this node's own one does. Datagrams may be lost, and a reply
takes as long as a call to the store and the pause before it."""

RESEND_POLL_S = 0.02
"""Time between two looks for requests without a reply, seconds."""

QUESTION_S = 0.04
QUESTIONS = 3
"""The same times for lookups, which the recorder doesn't put off."""

LOOKUP_S = 1.0
"""Longest time for which an answer to a lookup is waited for, seconds. A lookup may
wait for two readings of the store, whose calls take 0.25 s when the platform is slow.
"""

NUMBER_BITS = 63

OBSERVE_S = 2.0
"""Time between two looks at the view without a change, seconds."""

UNREADABLE = NOT_A_VERSION
"""Version by which all servers are listed whose version can't be read. No stream goes
on at it."""


@dataclass(eq=False)
class Recording:
    """The recording of a stream's origin while the stream begins.

    Attributes
    ----------
    is_required : bool
        Whether the stream's first event waits for it.
    ended : Event
        Set once it is known whether it is recorded.
    sends : int
        Recorders that have got the request.
    sent_at : float
        When the last one got it, seconds on the monotonic clock.
    """

    job: RecordJob
    is_required: bool
    is_recorded: bool = False
    ended: Event = field(default_factory=Event)
    sends: int = 0
    sent_at: float = 0.0

    @property
    def has_failed(self) -> bool:
        """Whether it has ended without being recorded."""
        return self.ended.is_set() and not self.is_recorded

    def wait(self, seconds: float) -> bool:
        """Wait for the end of the recording; return whether it is recorded."""
        self.ended.wait(seconds)
        return self.is_recorded


class OriginRecords:
    """The records of origins, as this node uses them.

    Attributes
    ----------
    recorders : callable
        Returns the addresses of the other live nodes that record origins.
    send : callable
        Called with a message and addresses.
    running : callable
        Returns key and origin of each stream that this node has begun and that may
        still be taken up.
    """

    def __init__(
        self,
        address: str,
        recorder: OriginRecorder,
        confirmations: Confirmations,
        view: View,
    ) -> None:
        self.address = address
        self.recorder = recorder
        self.confirmations = confirmations
        self.view = view
        self.recorders: Callable[[], Iterable[str]] = tuple
        self.send: Callable[[RecordMessage, Iterable[str]], None] = lambda *sent: None
        self.running: Callable[[], Iterable[tuple[bytes, StreamOrigin]]] = tuple
        self.numbers = itertools.count(1)
        self.recordings: dict[int, Recording] = {}
        self.lookups: dict[int, Callable[[Finding], None]] = {}
        self.wanted = Event()

    def recorder_address(self) -> str:
        """Return the node that records for all, as this one sees it."""
        return rendezvous_choice(RECORDER_KEY, [self.address, *self.recorders()])

    def _next_recorder(self, failed: int) -> str:
        """Return the node that is to record after some recorders have failed."""
        addresses = [self.address, *self.recorders()]
        for _ in range(min(failed, len(addresses) - 1)):
            addresses.remove(rendezvous_choice(RECORDER_KEY, addresses))
        return rendezvous_choice(RECORDER_KEY, addresses)

    def run(self) -> None:
        """Send requests without a reply again; the body of a greenlet."""
        next_look_at = time.monotonic()
        while True:
            if time.monotonic() >= next_look_at:
                self.observe_view()
                next_look_at = time.monotonic() + OBSERVE_S
            if not self.recordings:
                self.wanted.wait(max(0.0, next_look_at - time.monotonic()))
            self.wanted.clear()
            gevent.sleep(RESEND_POLL_S)
            for number, recording in list(self.recordings.items()):
                if time.monotonic() - recording.sent_at >= RESEND_S:
                    self._send(number, recording)

    def observe_view(self) -> None:
        """Apply what this node knows now of servers and configuration.

        From the time on at which a route has several origins, each stream is recorded,
        and so are those that run already.
        """
        now = time.monotonic()
        confirmations = self.confirmations
        confirmations.observe(self.view.is_usable, now - self.view.age_s())
        is_new = [
            confirmations.share(entry, now)
            for entry in list(confirmations.confirmed_at)
            if len(self.view.usable_beside([entry])) > 1
        ]
        if any(is_new):
            self.record_running()

    def record_running(self) -> None:
        """Have the streams recorded that this node has begun before."""
        streams = [
            BegunStream(key, origin, random_number(), 0)
            for key, origin in self.running()
            if _is_readable(origin)
        ]
        if streams:
            self._start(RecordJob((), tuple(streams), lambda *result: None), False)

    def doubt(self, keys: Iterable[bytes]) -> None:
        """Have recorded that it is not known which version began some streams."""
        streams = tuple(BegunStream(k, AMBIGUOUS, random_number(), 0) for k in keys)
        if streams and self.confirmations.shared_until:
            self._start(RecordJob((), streams, lambda *result: None), False)

    # Recording

    def begin(
        self,
        entry: PossibleOrigin,
        keys: Iterable[bytes],
        request: int,
        attempt: int,
    ) -> Recording | None:
        """Have recorded what must be when a stream begins at an origin.

        Parameters
        ----------
        keys : iterable of bytes
            The keys by which the stream may be taken up.
        request, attempt : int
            See :class:`BegunStream`. After an attempt that may have been recorded with
            another origin, this one has to be before the stream begins.

        Returns
        -------
        Recording or None
            ``None`` if nothing needs to be recorded.
        """
        now = time.monotonic()
        entry = _listed_as(entry)
        if len(entry.path_prefix) > MAX_TEXT:
            return None  # lookups of such paths tell nothing
        is_confirmed = self.confirmations.is_confirmed(entry, now)
        is_shared = self.confirmations.is_shared(entry, now)
        if is_confirmed and not is_shared and attempt == 1:
            return None
        entries = () if is_confirmed else (entry,)
        streams = ()
        if _is_readable(entry.origin):
            streams = tuple(
                BegunStream(key, entry.origin, request, attempt) for key in keys
            )
        if not (entries or streams):
            return None
        job = RecordJob(entries, streams, lambda *result: None)
        return self._start(job, not is_confirmed or attempt > 1)

    def _start(self, job: RecordJob, is_required: bool) -> Recording:
        recording = Recording(job, is_required)
        number = next(self.numbers)
        self.recordings[number] = recording
        self._send(number, recording)
        self.wanted.set()
        return recording

    def _send(self, number: int, recording: Recording) -> None:
        """Send a request to a recorder, or give it to this node's own one.

        Where the recorder fails, all nodes turn to the same second one: their own ones
        would be in each other's way when they change the list.
        """
        job, sends = recording.job, recording.sends
        address = self._next_recorder(sends) if sends < SENDS else self.address
        recording.sends += 1
        recording.sent_at = time.monotonic()
        if address != self.address:
            self.recordings[number] = recording
            self.send(_encode(number, job), [address])
            return
        self.recordings.pop(number, None)

        def done(is_recorded: bool, shared: list[bool]) -> None:
            self._end(recording, is_recorded, shared)

        self.recorder.record(RecordJob(job.entries, job.streams, done))

    def _end(self, recording: Recording, is_recorded: bool, shared: list[bool]) -> None:
        now = time.monotonic()
        for entry, is_shared in zip(recording.job.entries, shared, strict=False):
            if is_recorded:
                self.confirmations.confirm(entry, now, is_shared=is_shared)
        recording.is_recorded = is_recorded
        recording.ended.set()

    # Looking up

    def look_up(
        self, key: bytes, host: str, path: str, within_s: float = LOOKUP_S
    ) -> Finding:
        """Return what the store tells of a stream, as of now.

        The recorder's answer counts until the end, even if it comes after this node has
        turned to its own one.

        Parameters
        ----------
        within_s : float
            Time left for an answer, seconds; `LOOKUP_S` is the most.
        """
        if max(len(host), len(path)) > MAX_TEXT:
            return Finding(source="unknown")
        end = time.monotonic() + min(within_s, LOOKUP_S)
        address, number = self.recorder_address(), next(self.numbers)
        answer = _Answer()
        try:
            if address != self.address:
                self.lookups[number] = answer.expect()
                request = LookupRequest(number, key, host, path)
                for _ in range(QUESTIONS):
                    self.send(request, [address])
                    left_s = end - time.monotonic()
                    if answer.wait(min(QUESTION_S, left_s)) or left_s <= QUESTION_S:
                        break
            if not answer.is_told:
                self.recorder.look_up(LookupJob(key, host, path, answer.expect()))
                answer.wait(end - time.monotonic())
        finally:
            self.lookups.pop(number, None)
        return answer.finding

    # Messages

    def receive(self, message: RecordMessage, address: str) -> None:
        """Handle another node's message."""
        if isinstance(message, RecordRequest):
            self._serve_record(message, address)
        elif isinstance(message, LookupRequest):
            self._serve_lookup(message, address)
        elif isinstance(message, RecordReply):
            recording = self.recordings.pop(message.number, None)
            if recording is None:
                return
            if message.is_recorded:
                self._end(recording, True, message.shared)
            else:
                self._send(message.number, recording)
        else:
            found = self.lookups.pop(message.number, None)
            if found is not None:
                origin = StreamOrigin(message.service, message.version)
                origin = origin if message.is_known else None
                found(Finding(origin, message.source, message.possible))

    def _serve_record(self, message: RecordRequest, address: str) -> None:
        def done(is_recorded: bool, shared: list[bool]) -> None:
            self.send(RecordReply(message.number, is_recorded, shared), [address])

        self.recorder.record(
            RecordJob(
                tuple(
                    PossibleOrigin(host, prefix, StreamOrigin(service, version))
                    for host, prefix, service, version in message.entries
                ),
                tuple(
                    BegunStream(key, StreamOrigin(service, version), request, attempt)
                    for key, service, version, request, attempt in message.streams
                ),
                done,
            )
        )

    def _serve_lookup(self, message: LookupRequest, address: str) -> None:
        def done(finding: Finding) -> None:
            origin = finding.origin or StreamOrigin("", "")
            reply = LookupReply(
                message.number,
                finding.source,
                finding.origin is not None,
                origin.service,
                origin.version,
                finding.possible,
            )
            self.send(reply, [address])

        self.recorder.look_up(LookupJob(message.key, message.host, message.path, done))


class _Answer:
    """The first finding that tells something, of those that are expected."""

    def __init__(self) -> None:
        self.finding = Finding()
        self.expected = 0
        self.ended = Event()

    @property
    def is_told(self) -> bool:
        """Whether the store has answered."""
        return self.finding.source != "unread"

    def expect(self) -> Callable[[Finding], None]:
        """Expect one more finding; return what is to be called with it."""
        self.expected += 1
        self.ended.clear()
        return self._add

    def _add(self, finding: Finding) -> None:
        self.expected -= 1
        if not self.is_told:
            self.finding = finding
        if self.is_told or not self.expected:
            self.ended.set()

    def wait(self, seconds: float) -> bool:
        """Wait for the answer; return whether there is one, or none is expected."""
        return self.ended.wait(max(0.0, seconds))


def random_number() -> int:
    """Return a number that tells one request's records from those of others."""
    return random.getrandbits(NUMBER_BITS)


def _is_readable(origin: StreamOrigin) -> bool:
    """Return whether a stream can go on at a server of this version."""
    return bool(origin.version) and not origin.version.startswith(NOT_A_VERSION)


def listed_version(version: str) -> str:
    """Return the software version by which a server is listed."""
    return UNREADABLE if version.startswith(NOT_A_VERSION) else version


def _listed_as(entry: PossibleOrigin) -> PossibleOrigin:
    """Return the entry by which an origin is listed."""
    if not entry.origin.version.startswith(NOT_A_VERSION):
        return entry
    origin = StreamOrigin(entry.origin.service, listed_version(entry.origin.version))
    return PossibleOrigin(entry.host, entry.path_prefix, origin)


def _encode(number: int, job: RecordJob) -> RecordRequest:
    return RecordRequest(
        number,
        [
            (e.host, e.path_prefix, e.origin.service, e.origin.version)
            for e in job.entries
        ],
        [
            (s.key, s.origin.service, s.origin.version, s.request, s.attempt)
            for s in job.streams
        ],
    )
