"""What the store says, followed: topics in general, and the list of servers."""

import time
from collections import deque
from typing import Protocol

import gevent
from endive_node.logs import log_event

from endive_gateway.clocks import boot_time
from endive_gateway.context import Context
from endive_gateway.exceptions import StoreError, StoreForgottenError, UndecodableError
from endive_gateway.interfaces import Page, Record, ServerDelta, ServerState, Topic
from endive_gateway.servers import LAPSE_GRACE_S
from endive_gateway.tellings import pack_changes, unpack_changes

SERVER_READ_INTERVAL_S = 0.7
"""Time between two reads of the servers, seconds. A leaving server may get requests
for two seconds after its entry changed, and each read is paid for."""

MIN_READ_BACKOFF_S = 0.25
MAX_READ_BACKOFF_S = 1.0
"""Time before the next try after a failed read, doubled each time, seconds. Callers
notice a configuration that is late by one more second than the store was away."""

RELAY_TIMEOUT_S = 0.9
"""Time without news from a reader after which a node reads by itself, seconds. Each of
four readers or more tells once in that time. A leaving server may get requests for two
seconds, of which the reader takes up to 0.7."""

RELAY_CHECK_INTERVAL_S = 0.2
"""How often a node that is told looks whether it still is, seconds."""

CHANGE_HISTORY_S = 3.0
"""Time for which changes are told again, seconds: a few tellings in a row may be lost
before a node has to read by itself."""

MAX_DELTA_BYTES = 800
"""Most bytes of changes in one telling, so that it stays within one frame: some twenty
servers, compressed. Who misses what didn't fit reads by itself."""

OUTAGE_RECOVERY_S = 4.0
"""Time after the store's return for which a lapsed entry may be its own outage's
doing, seconds: servers write again within one heartbeat and some margin."""

TIMER_SLACK_S = 0.02
"""By how much a timer may fire before the clock says so, seconds: the event loop counts
from its last look at the clock."""


class Readers(Protocol):
    """Who of the nodes reads the store for the others."""

    def is_reader(self) -> bool:
        """Return whether this node is one of them."""
        ...

    def every_node_reads(self) -> bool:
        """Return whether the nodes are so few that each reads the configuration."""
        ...

    def await_first_configuration(self) -> bool:
        """Wait for another node's configuration; return whether it came."""
        ...

    def rank(self) -> int:
        """Return how many live nodes come before this one."""
        ...

    def live_node_count(self) -> int:
        """Return how many nodes are in touch, this one included."""
        ...

    def broadcast_soon(self) -> None:
        """Tell the others soon, if this node reads for them."""
        ...


class Follower:
    """Follows one keyed topic of the store.

    Attributes
    ----------
    readers : Readers or None
        Without it this node always reads by itself.
    lost_at, back_at : float or None
        When the store stopped answering, and when it answered again.
    asked_at : float or None
        When the read under way began, on the boot clock; ``None`` between two reads.
    answered_at : float or None
        When the store last answered a read, on the boot clock.
    """

    topic: Topic

    def __init__(self, context: Context, readers: Readers | None = None) -> None:
        self.context = context
        self.readers = readers
        self.relayed_at = float("-inf")
        self.next_offset = 0
        self.backoff_s = MIN_READ_BACKOFF_S
        self.unavailable_since: float | None = None
        self.available_since: float | None = None
        self.read_started_at: float | None = None
        self.last_answer_at: float | None = None
        self.synced = False

    def run(self) -> None:
        """Follow for ever; the body of a greenlet."""
        while True:
            gevent.sleep(self.step())

    def step(self) -> float:
        """Read once; return the seconds until the next time."""
        if self.has_snapshot and self.is_relayed():
            return RELAY_CHECK_INTERVAL_S
        read_started_at = self.read_started_at = boot_time()
        try:
            if not self.synced:
                self._read_newest()
            else:
                self._read_on()
        except StoreForgottenError:
            log_event("store_forgot", topic=self.topic, next=self.next_offset)
            self.synced = False
            return 0.0
        except StoreError as error:
            self._note_failure(error)
            return self._next_backoff_s()
        finally:
            self.read_started_at = None
        self._note_answer(read_started_at)
        return self.pause_s()

    @property
    def has_snapshot(self) -> bool:
        """Whether this node has what changes are told of."""
        return self.synced

    def is_relayed(self) -> bool:
        """Return whether other nodes read for this one and are in touch."""
        if self.readers is None or self.readers.is_reader():
            return False
        return time.monotonic() - self.relayed_at < RELAY_TIMEOUT_S

    def pause_s(self) -> float:
        """Return the time between two reads that succeed."""
        raise NotImplementedError

    def wait_s(self) -> float:
        """Return how long a read waits for a record."""
        return 0.0

    def apply_record(self, record: Record) -> None:
        """Take over one record."""
        raise NotImplementedError

    def on_applied(self, keys: set[str] | None) -> None:
        """Act on what was taken; `keys` are all keys there are, if that is known."""

    def _read_newest(self) -> None:
        page = self.context.store.newest(self.topic)
        self._note_recovery()
        for record in page.records:
            self.apply_record(record)
        self.next_offset = max(self.next_offset, page.end)
        self.synced = True
        self.on_applied({record.key for record in page.records})

    def _read_on(self) -> None:
        read_started_at = boot_time()
        page = self.context.store.read(
            self.topic, self.next_offset, wait_s=self.wait_s()
        )
        self._log_wait(boot_time() - read_started_at, page)
        self._apply_page(page)

    def _apply_page(self, page: Page) -> None:
        self._note_recovery()
        for record in page.records:
            if record.offset >= self.next_offset:
                self.apply_record(record)
                self.next_offset = record.offset + 1
        self.on_applied(None)

    def _note_recovery(self) -> None:
        if self.unavailable_since is not None:
            self.available_since = time.monotonic()
            away = self.available_since - self.unavailable_since
            log_event("store_regained", topic=self.topic, away_s=away)
            self.unavailable_since = None

    def _note_answer(self, read_started_at: float) -> None:
        """Record that the read begun at `read_started_at` (boot clock) was answered."""
        self.backoff_s = MIN_READ_BACKOFF_S
        self.last_answer_at = boot_time()

    def _log_wait(self, waited_s: float, page: Page) -> None:
        if self.wait_s():
            log_event(
                "store_waited",
                topic=self.topic,
                start=self.next_offset,
                end=page.end,
                records=len(page.records),
                waited_s=waited_s,
            )

    def _note_failure(self, error: StoreError) -> None:
        if self.unavailable_since is None:
            self.unavailable_since = time.monotonic()
            age_s = self.answer_age_s()
            log_event("store_lost", topic=self.topic, error=error, answer_age_s=age_s)

    def answer_age_s(self) -> float:
        """Return the seconds since the store last answered; -1 before that."""
        return (
            -1.0 if self.last_answer_at is None else boot_time() - self.last_answer_at
        )

    def waiting_s(self) -> float:
        """Return for how many seconds the read under way has waited; 0 without one."""
        return (
            0.0 if self.read_started_at is None else boot_time() - self.read_started_at
        )

    def _next_backoff_s(self) -> float:
        gap, self.backoff_s = (
            self.backoff_s,
            min(MAX_READ_BACKOFF_S, 2 * self.backoff_s),
        )
        return gap * self.context.random.uniform(0.7, 1.0)


class ServerFollower(Follower):
    """Keeps the list of servers."""

    topic = Topic.SERVERS

    def __init__(self, context: Context, readers: Readers | None = None) -> None:
        super().__init__(context, readers)
        self.dirty = False
        self.has_leaving_server = False
        self.changes: deque[Record] = deque()
        self.checkpoints: deque[tuple[float, int]] = deque()
        self.history_start = 0

    def pause_s(self) -> float:
        """See :meth:`Follower.pause_s`."""
        return SERVER_READ_INTERVAL_S

    @property
    def after_outage(self) -> bool:
        """Whether a lapsed entry may be the store's doing."""
        if self.available_since is None:
            return False
        return time.monotonic() - self.available_since < OUTAGE_RECOVERY_S

    def apply_record(self, record: Record) -> None:
        """See :meth:`Follower.apply_record`."""
        registry = self.context.registry
        now = time.monotonic()
        if record.value is None:
            self.changes.append(record)
            self.dirty |= registry.drop(record.key, now, after_outage=self.after_outage)
            return
        try:
            entry = self.context.wire.decode_server(record.key, record.value)
        except UndecodableError as error:
            log_event("server_entry_undecodable", server=record.key, error=error)
            return
        if registry.put(entry):
            self.changes.append(record)
            self.dirty = True
            self.has_leaving_server |= entry.state == ServerState.LEAVING

    def _read_on(self) -> None:
        super()._read_on()
        if self.has_leaving_server and self.readers is not None:
            self.readers.broadcast_soon()
        self.has_leaving_server = False

    def _read_newest(self) -> None:
        super()._read_newest()
        self.has_leaving_server = False
        self.changes.clear()
        self.checkpoints.clear()
        self.checkpoints.append((time.monotonic(), self.next_offset))
        self.history_start = self.next_offset

    def server_delta(self) -> ServerDelta | None:
        """Return what this node read of late, for nodes that are told; None if not."""
        now = time.monotonic()
        if not self.synced or self.unavailable_since is not None:
            return None
        if not self.checkpoints or now - self.checkpoints[-1][0] > RELAY_TIMEOUT_S:
            return None
        while self.checkpoints and now - self.checkpoints[0][0] > CHANGE_HISTORY_S:
            self.history_start = max(self.history_start, self.checkpoints.popleft()[1])
        while self.changes and self.changes[0].offset < self.history_start:
            self.changes.popleft()
        changes = pack_changes(self.changes)
        if len(changes) > MAX_DELTA_BYTES:
            # All others have to read this once. Told as missing for the whole of the
            # history, it would make each of them read five times.
            self.changes.clear()
            self.history_start = self.next_offset
            changes = pack_changes(self.changes)
        return ServerDelta(self.history_start, self.next_offset, changes)

    def apply_delta(self, server_delta: ServerDelta) -> None:
        """Take over what a reader read, if it joins what this node knows.

        What happened in between, if it doesn't, may be a server that leaves: when a
        zone is reclaimed, more changes than a datagram holds. The node then reads by
        itself at its next look; had it waited to be told of something that joins, the
        server would have got requests for over two seconds.
        """
        if not self.synced or server_delta.next < self.next_offset:
            return
        if server_delta.first > self.next_offset:
            self.relayed_at = float("-inf")
            return
        self._note_recovery()
        try:
            changes = unpack_changes(server_delta.changes)
        except UndecodableError as error:
            log_event("news_undecodable", error=error)
            self.relayed_at = float("-inf")
            return
        for record in changes:
            if record.offset >= self.next_offset:
                self.apply_record(record)
        self.next_offset = server_delta.next
        self.relayed_at = time.monotonic()
        self.on_applied(None)

    def on_applied(self, keys: set[str] | None) -> None:
        """See :meth:`Follower.on_applied`."""
        registry = self.context.registry
        now = time.monotonic()
        if keys is not None:
            for missing in registry.servers.keys() - keys:
                self.dirty |= registry.drop(
                    missing, now, after_outage=self.after_outage
                )
        self.dirty |= not registry.known_once
        registry.known_once = True
        self.checkpoints.append((now, self.next_offset))
        if registry.has_lapsed:
            gevent.spawn_later(LAPSE_GRACE_S + TIMER_SLACK_S, self._sweep)
        if self.dirty:
            self.dirty = False
            registry.changed()

    def _sweep(self) -> None:
        """Give up the servers whose grace is over, without waiting for a read."""
        if self.context.registry.sweep(time.monotonic()):
            self.context.registry.changed()
