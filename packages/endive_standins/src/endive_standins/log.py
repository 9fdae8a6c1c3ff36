"""Stand-in for the platform's append-only log service."""

import time
from collections import deque
from dataclasses import dataclass, field
from typing import Annotated, Any

import gevent
import msgspec
from bottle import HTTPResponse
from gevent.event import Event

from endive_standins import serving

DEFAULT_LIMIT = 1000


class Append(msgspec.Struct):
    """The body of a request to append records."""

    records: Annotated[list[str], msgspec.Meta(min_length=1)]


class DelayedAppends(msgspec.Struct):
    """The next `count` appends return 504 and are applied `delay_s` seconds later."""

    count: int
    delay_s: float


class Truncation(msgspec.Struct):
    """Removal of one stream's records with offsets below `offset`."""

    stream: str
    offset: int


class LogFaults(serving.Faults):
    """Faults of the log."""

    late_appends: DelayedAppends | None = None
    forget_before: Truncation | None = None


@dataclass
class LogSettings:
    """Command-line flags of the log; a rate or retention of 0 means no limit."""

    appends_per_s: float = 0.0
    retention_s: float = 0.0


@dataclass
class Stream:
    """The retained records of one stream; `first` is the offset of the oldest."""

    first: int = 0
    records: deque[dict[str, Any]] = field(default_factory=deque)
    changed: Event = field(default_factory=Event)

    @property
    def next(self) -> int:
        """The offset of the next record."""
        return self.first + len(self.records)

    def append(self, bodies: list[str]) -> int:
        """Append records; return the offset of the first one."""
        start, now = self.next, time.time()
        for offset, body in enumerate(bodies, start):
            self.records.append({"offset": offset, "time": now, "body": body})
        self.wake_readers()
        return start

    def wake_readers(self) -> None:
        """Make every waiting reader check its condition again."""
        self.changed.set()
        self.changed = Event()

    def trim(self, offset: int, min_time: float) -> None:
        """Drop the oldest records: those below an offset or written before a time."""
        while self.records and (
            self.first < offset or self.records[0]["time"] < min_time
        ):
            self.records.popleft()
            self.first += 1

    def read(self, start: int, limit: int) -> list[dict[str, Any]]:
        """Return up to `limit` records from `start`, which must be `first` or above."""
        stop = min(self.next, start + limit)
        return [self.records[i - self.first] for i in range(start, stop)]


class Log(serving.StandIn):
    """Append-only streams of records, with offsets from 0 in each."""

    settings_type = LogSettings
    faults_type = LogFaults

    def __init__(self, settings: LogSettings) -> None:
        super().__init__(settings)
        self.streams: dict[str, Stream] = {}
        self.bucket = serving.TokenBucket(settings.appends_per_s)
        self.route("GET", "/streams", self.get_streams)
        self.route("POST", "/streams/<name>/records", self.post_records, Append)
        self.route("GET", "/streams/<name>/records", self.get_records)

    def apply_faults(self, given: dict[str, Any]) -> None:
        """Apply the faults in `given`; an outage also ends the waiting reads."""
        super().apply_faults(given)
        truncation = self.faults.forget_before
        if "forget_before" in given and truncation is not None:
            self.stream(truncation.stream).trim(truncation.offset, 0.0)
        for stream in self.streams.values():
            stream.wake_readers()

    def stream(self, name: str) -> Stream:
        """Return a stream, created if missing, with expired records dropped."""
        stream = self.streams.setdefault(name, Stream())
        if self.settings.retention_s:
            stream.trim(0, time.time() - self.settings.retention_s)
        return stream

    def get_streams(self) -> dict[str, Any]:
        """List the streams."""
        streams = {name: self.stream(name) for name in self.streams}
        bounds = {n: {"first": s.first, "next": s.next} for n, s in streams.items()}
        return {"streams": bounds}

    def post_records(self, append: Append, name: str) -> Any:
        """Append all records of the request, or none."""
        wait_s = self.bucket.take()
        if wait_s:
            return serving.rate_limit_response(wait_s)
        late = self.faults.late_appends
        if late is not None and late.count > 0:
            late.count -= 1
            gevent.spawn_later(late.delay_s, self.append, name, append.records)
            return serving.error_response(504, "timeout")
        offset = self.append(name, append.records)
        return {"offset": offset, "next": offset + len(append.records)}

    def append(self, name: str, bodies: list[str]) -> int:
        """Append records to a stream; return the offset of the first one."""
        return self.stream(name).append(bodies)

    def get_records(self, name: str) -> Any:
        """Read records, waiting up to ``wait_s`` seconds for the first one."""
        start = serving.query_parameter("from", int, 0)
        limit = serving.query_parameter("limit", int, DEFAULT_LIMIT)
        deadline = time.monotonic() + serving.query_parameter("wait_s", float, 0.0)
        error = self.wait_for_record(self.stream(name), start, deadline)
        stream = self.stream(name)
        if error is None and start < stream.first:
            error = serving.error_response(410, "forgotten", first=stream.first)
        records = stream.read(max(start, stream.first), limit)
        page = {"first": stream.first, "next": stream.next, "records": records}
        return error or page

    def wait_for_record(
        self, stream: Stream, offset: int, deadline: float
    ) -> HTTPResponse | None:
        """Wait for a record; return an error response if an outage begins meanwhile."""
        while (
            stream.next <= offset and (remaining_s := deadline - time.monotonic()) > 0
        ):
            stream.changed.wait(remaining_s)
            if self.in_outage():
                return serving.error_response(503, "outage")
        return None


if __name__ == "__main__":
    serving.main(Log)
