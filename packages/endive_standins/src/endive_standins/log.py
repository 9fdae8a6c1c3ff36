"""Stand-in for the platform's append-only log service."""

if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()

import time
from collections import deque
from dataclasses import dataclass, field
from typing import Annotated

import gevent
import msgspec
from bottle import HTTPResponse
from gevent.event import Event

from endive_standins.serving import (
    Faults,
    StandIn,
    TokenBucket,
    answer,
    failure,
    main,
    over_rate,
    query,
    read,
)

DEFAULT_LIMIT = 1000


class Append(msgspec.Struct):
    """The body of an append."""

    records: Annotated[list[str], msgspec.Meta(min_length=1)]


class LateAppends(msgspec.Struct):
    """Appends to come that answer 504 and take effect later."""

    count: int
    delay_s: float


class ForgetBefore(msgspec.Struct):
    """Retention of one stream, at once."""

    stream: str
    offset: int


class LogFaults(Faults):
    """The log's faults."""

    late_appends: LateAppends | None = None
    forget_before: ForgetBefore | None = None


@dataclass
class LogSettings:
    """The log's flags; a rate or retention of 0 is no limit."""

    appends_per_s: float = 0.0
    retention_s: float = 0.0
    seed: int = 0


@dataclass
class Stream:
    """The records of one stream that are still kept."""

    first: int = 0
    records: deque[tuple[float, str]] = field(default_factory=deque)
    changed: Event = field(default_factory=Event)

    @property
    def next(self) -> int:
        """The offset of the next record."""
        return self.first + len(self.records)

    def append(self, bodies: list[str]) -> int:
        """Add records; return the offset of the first of them."""
        offset = self.next
        now = time.time()
        self.records.extend((now, body) for body in bodies)
        self.wake()
        return offset

    def wake(self) -> None:
        """Let every reader that waits look again."""
        self.changed.set()
        self.changed = Event()

    def forget(self, before: int) -> None:
        """Drop the records under an offset."""
        while self.records and self.first < before:
            self.records.popleft()
            self.first += 1

    def forget_older(self, than: float) -> None:
        """Drop the records from before a time."""
        while self.records and self.records[0][0] < than:
            self.records.popleft()
            self.first += 1

    def view(self, start: int, limit: int) -> list[dict[str, object]]:
        """Return up to `limit` records from an offset that is kept or to come."""
        stop = min(self.next, start + limit)
        return [self._record(offset) for offset in range(start, stop)]

    def _record(self, offset: int) -> dict[str, object]:
        written, body = self.records[offset - self.first]
        return {"offset": offset, "time": written, "body": body}


class Log(StandIn):
    """Append-only streams of records with offsets from 0."""

    settings_type = LogSettings
    faults_type = LogFaults

    def __init__(self, settings: LogSettings) -> None:
        super().__init__(settings)
        self.streams: dict[str, Stream] = {}
        self.bucket = TokenBucket(settings.appends_per_s)
        self.app.route("/streams", "GET", self.get_streams)
        self.app.route("/streams/<name>/records", "POST", self.post_records)
        self.app.route("/streams/<name>/records", "GET", self.get_records)

    def ordered(self, given: dict[str, object]) -> None:
        """Let the ordered faults begin; readers that wait meet an outage too."""
        super().ordered(given)
        if given.get("forget_before"):
            order = self.faults.forget_before
            self.stream(order.stream).forget(order.offset)
        for stream in self.streams.values():
            stream.wake()

    def stream(self, name: str) -> Stream:
        """Return a stream without the records that are past retention."""
        stream = self.streams.setdefault(name, Stream())
        if self.settings.retention_s:
            stream.forget_older(time.time() - self.settings.retention_s)
        return stream

    def get_streams(self) -> HTTPResponse:
        """List the streams."""
        streams = {name: self.stream(name) for name in self.streams}
        kept = {n: {"first": s.first, "next": s.next} for n, s in streams.items()}
        return answer({"streams": kept})

    def post_records(self, name: str) -> HTTPResponse:
        """Append records: all of them or none."""
        bodies = read(Append).records
        wait_s = self.bucket.take()
        if wait_s:
            return over_rate(wait_s)
        late = self.faults.late_appends
        if late is not None and late.count > 0:
            late.count -= 1
            gevent.spawn_later(late.delay_s, self.append, name, bodies)
            return failure(504, "timeout")
        offset = self.append(name, bodies)
        return answer({"offset": offset, "next": offset + len(bodies)})

    def append(self, name: str, bodies: list[str]) -> int:
        """Append records; return the offset of the first of them."""
        return self.stream(name).append(bodies)

    def get_records(self, name: str) -> HTTPResponse:
        """Read records, waiting for the first of them."""
        start = query("from", int, 0)
        limit = query("limit", int, DEFAULT_LIMIT)
        deadline = time.monotonic() + query("wait_s", float, 0.0)
        stream = self.stream(name)
        while stream.next <= start and (left_s := deadline - time.monotonic()) > 0:
            stream.changed.wait(left_s)
            if self.in_outage():
                return failure(503, "outage")
        stream = self.stream(name)
        if start < stream.first:
            return failure(410, "forgotten", first=stream.first)
        records = stream.view(start, limit)
        return answer({"first": stream.first, "next": stream.next, "records": records})


if __name__ == "__main__":
    main(Log)
