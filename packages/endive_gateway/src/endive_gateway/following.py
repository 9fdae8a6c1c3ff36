"""What the store says, followed: topics in general, and the list of servers."""

import time
from collections import deque
from typing import Protocol

import gevent
from endive_node.logs import log_event

from endive_gateway.clocks import boot_time
from endive_gateway.context import Context
from endive_gateway.exceptions import (
    StoreError,
    StoreOffsetOutOfRangeError,
    UndecodableError,
)
from endive_gateway.interfaces import Page, Record, ServerNews, ServerState, Topic
from endive_gateway.servers import RETURN_GRACE_S
from endive_gateway.state_messages import pack_changes, unpack_changes

SERVERS_GAP_S = 0.7
"""Time between two reads of the servers, seconds. A leaving server may get requests
for two seconds after its entry changed, and each read is paid for."""

FAILED_GAP_S = 0.25
MAX_FAILED_GAP_S = 1.0
"""Time before the next try after a failed read, doubled each time, seconds. Callers
notice a configuration that is late by one more second than the store was away."""

RELAYED_S = 0.9
"""Time without news from a reader after which a node reads by itself, seconds. Each of
four readers or more tells once in that time. A leaving server may get requests for two
seconds, of which the reader takes up to 0.7."""

RELAY_LOOK_S = 0.2
"""How often a node that is told looks whether it still is, seconds."""

HISTORY_S = 3.0
"""Time for which changes are told again, seconds: a few tellings in a row may be lost
before a node has to read by itself."""

HISTORY_BYTES = 800
"""Most bytes of changes in one telling, so that it stays within one frame: some twenty
servers, compressed. Who misses what didn't fit reads by itself."""

OUTAGE_TAIL_S = 4.0
"""Time after the store's return for which a lapsed entry may be its own outage's
doing, seconds: servers write again within one heartbeat and some margin."""

TIMER_EARLY_S = 0.02
"""By how much a timer may fire before the clock says so, seconds: the event loop counts
from its last look at the clock."""


class Readers(Protocol):
    """Who of the nodes reads the store for the others."""

    def is_reader(self) -> bool:
        """Return whether this node is one of them."""
        ...

    def reads_alone(self) -> bool:
        """Return whether the nodes are so few that each reads the configuration."""
        ...

    def await_first_configuration(self) -> bool:
        """Wait for another node's configuration; return whether it came."""
        ...

    def rank(self) -> int:
        """Return how many live nodes come before this one."""
        ...

    def live_nodes(self) -> int:
        """Return how many nodes are in touch, this one included."""
        ...

    def hasten(self) -> None:
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
        self.next = 0
        self.gap_s = FAILED_GAP_S
        self.lost_at: float | None = None
        self.back_at: float | None = None
        self.asked_at: float | None = None
        self.answered_at: float | None = None
        self.synced = False

    def run(self) -> None:
        """Follow for ever; the body of a greenlet."""
        while True:
            gevent.sleep(self.step())

    def step(self) -> float:
        """Read once; return the seconds until the next time."""
        if self.has_begun and self.is_relayed():
            return RELAY_LOOK_S
        asked_at = self.asked_at = boot_time()
        try:
            if not self.synced:
                self._read_newest()
            else:
                self._read_on()
        except StoreOffsetOutOfRangeError:
            log_event("store_forgot", topic=self.topic, next=self.next)
            self.synced = False
            return 0.0
        except StoreError as error:
            self._lost(error)
            return self._backed_off()
        finally:
            self.asked_at = None
        self._answered(asked_at)
        return self.pause_s()

    @property
    def has_begun(self) -> bool:
        """Whether this node has what changes are told of."""
        return self.synced

    def is_relayed(self) -> bool:
        """Return whether other nodes read for this one and are in touch."""
        if self.readers is None or self.readers.is_reader():
            return False
        return time.monotonic() - self.relayed_at < RELAYED_S

    def pause_s(self) -> float:
        """Return the time between two reads that succeed."""
        raise NotImplementedError

    def wait_s(self) -> float:
        """Return how long a read waits for a record."""
        return 0.0

    def take(self, record: Record) -> None:
        """Take over one record."""
        raise NotImplementedError

    def taken(self, keys: set[str] | None) -> None:
        """Act on what was taken; `keys` are all keys there are, if that is known."""

    def _read_newest(self) -> None:
        page = self.context.store.newest(self.topic)
        self._note_return()
        for record in page.records:
            self.take(record)
        self.next = max(self.next, page.end)
        self.synced = True
        self.taken({record.key for record in page.records})

    def _read_on(self) -> None:
        asked_at = boot_time()
        page = self.context.store.read(self.topic, self.next, wait_s=self.wait_s())
        self._log_wait(boot_time() - asked_at, page)
        self._take_page(page)

    def _take_page(self, page: Page) -> None:
        self._note_return()
        for record in page.records:
            if record.offset >= self.next:
                self.take(record)
                self.next = record.offset + 1
        self.taken(None)

    def _note_return(self) -> None:
        if self.lost_at is not None:
            self.back_at = time.monotonic()
            away = self.back_at - self.lost_at
            log_event("store_regained", topic=self.topic, away_s=away)
            self.lost_at = None

    def _answered(self, asked_at: float) -> None:
        """Take that a read asked at `asked_at`, on the boot clock, was answered."""
        self.gap_s = FAILED_GAP_S
        self.answered_at = boot_time()

    def _log_wait(self, waited_s: float, page: Page) -> None:
        if self.wait_s():
            log_event(
                "store_waited",
                topic=self.topic,
                start=self.next,
                end=page.end,
                records=len(page.records),
                waited_s=waited_s,
            )

    def _lost(self, error: StoreError) -> None:
        if self.lost_at is None:
            self.lost_at = time.monotonic()
            age_s = self.answer_age_s()
            log_event("store_lost", topic=self.topic, error=error, answer_age_s=age_s)

    def answer_age_s(self) -> float:
        """Return the seconds since the store last answered; -1 before that."""
        return -1.0 if self.answered_at is None else boot_time() - self.answered_at

    def waiting_s(self) -> float:
        """Return for how many seconds the read under way has waited; 0 without one."""
        return 0.0 if self.asked_at is None else boot_time() - self.asked_at

    def _backed_off(self) -> float:
        gap, self.gap_s = self.gap_s, min(MAX_FAILED_GAP_S, 2 * self.gap_s)
        return gap * self.context.random.uniform(0.7, 1.0)


class ServerFollower(Follower):
    """Keeps the list of servers."""

    topic = Topic.SERVERS

    def __init__(self, context: Context, readers: Readers | None = None) -> None:
        super().__init__(context, readers)
        self.dirty = False
        self.leaving = False
        self.changes: deque[Record] = deque()
        self.marks: deque[tuple[float, int]] = deque()
        self.floor = 0

    def pause_s(self) -> float:
        """See :meth:`Follower.pause_s`."""
        return SERVERS_GAP_S

    @property
    def after_outage(self) -> bool:
        """Whether a lapsed entry may be the store's doing."""
        if self.back_at is None:
            return False
        return time.monotonic() - self.back_at < OUTAGE_TAIL_S

    def take(self, record: Record) -> None:
        """See :meth:`Follower.take`."""
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
            self.leaving |= entry.state == ServerState.LEAVING

    def _read_on(self) -> None:
        super()._read_on()
        if self.leaving and self.readers is not None:
            self.readers.hasten()
        self.leaving = False

    def _read_newest(self) -> None:
        super()._read_newest()
        self.leaving = False
        self.changes.clear()
        self.marks.clear()
        self.marks.append((time.monotonic(), self.next))
        self.floor = self.next

    def news(self) -> ServerNews | None:
        """Return what this node read of late, for nodes that are told; None if not."""
        now = time.monotonic()
        if not self.synced or self.lost_at is not None:
            return None
        if not self.marks or now - self.marks[-1][0] > RELAYED_S:
            return None
        while self.marks and now - self.marks[0][0] > HISTORY_S:
            self.floor = max(self.floor, self.marks.popleft()[1])
        while self.changes and self.changes[0].offset < self.floor:
            self.changes.popleft()
        changes = pack_changes(self.changes)
        if len(changes) > HISTORY_BYTES:
            # All others have to read this once. Told as missing for the whole of the
            # history, it would make each of them read five times.
            self.changes.clear()
            self.floor = self.next
            changes = pack_changes(self.changes)
        return ServerNews(self.floor, self.next, changes)

    def receive(self, news: ServerNews) -> None:
        """Take over what a reader read, if it joins what this node knows.

        What happened in between, if it doesn't, may be a server that leaves: when a
        zone is reclaimed, more changes than a datagram holds. The node then reads by
        itself at its next look; had it waited to be told of something that joins, the
        server would have got requests for over two seconds.
        """
        if not self.synced or news.next < self.next:
            return
        if news.first > self.next:
            self.relayed_at = float("-inf")
            return
        self._note_return()
        try:
            changes = unpack_changes(news.changes)
        except UndecodableError as error:
            log_event("news_undecodable", error=error)
            self.relayed_at = float("-inf")
            return
        for record in changes:
            if record.offset >= self.next:
                self.take(record)
        self.next = news.next
        self.relayed_at = time.monotonic()
        self.taken(None)

    def taken(self, keys: set[str] | None) -> None:
        """See :meth:`Follower.taken`."""
        registry = self.context.registry
        now = time.monotonic()
        if keys is not None:
            for missing in registry.servers.keys() - keys:
                self.dirty |= registry.drop(
                    missing, now, after_outage=self.after_outage
                )
        self.dirty |= not registry.is_loaded
        registry.is_loaded = True
        self.marks.append((now, self.next))
        if registry.has_lapsed:
            gevent.spawn_later(RETURN_GRACE_S + TIMER_EARLY_S, self._sweep)
        if self.dirty:
            self.dirty = False
            registry.notify_listeners()

    def _sweep(self) -> None:
        """Give up the servers whose grace is over, without waiting for a read."""
        if self.context.registry.sweep(time.monotonic()):
            self.context.registry.notify_listeners()
