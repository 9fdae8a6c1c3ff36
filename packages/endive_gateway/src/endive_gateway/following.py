"""Follows a keyed topic of the store, or what other nodes relay of it."""

import time
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Protocol

import gevent
from endive_node.logs import log_event, log_failure

from endive_gateway.clocks import boot_time
from endive_gateway.context import Context
from endive_gateway.exceptions import (
    StoreError,
    StoreOffsetOutOfRangeError,
    UndecodableError,
)
from endive_gateway.interfaces import Page, Record, Topic
from endive_gateway.store_reading import read_to_end
from endive_gateway.turns import Worker, WorkKind

MIN_READ_BACKOFF_S = 0.25
MAX_READ_BACKOFF_S = 1.0
"""Delay after a failed read, first and longest, doubled each time, seconds. The longest
delay adds to an outage of the store before a changed configuration is in force."""

RELAY_TIMEOUT_S = 0.9
"""Age of the newest read of a reader, as relayed, from which on a node reads the store
itself, seconds. A leaving server may get requests for two seconds, of which the
reader's own read takes up to 0.7 s."""

RELAY_CHECK_INTERVAL_S = 0.2
"""Time between two checks whether readers still relay to this node, seconds."""


MAX_SKIPPED = 1_000
"""Records that are remembered as skipped. Another writer may leave any number."""

MAX_LOGGED_CHARACTERS = 128


class Readers(Protocol):
    """Which nodes read the store on behalf of the others."""

    def is_reader(self) -> bool:
        """Return whether this node is one of them."""
        ...

    def every_node_reads(self) -> bool:
        """Return whether so few nodes run that each reads the configuration itself."""
        ...

    def await_first_configuration(self) -> bool:
        """Wait for a peer's configuration; return whether one arrived."""
        ...

    def rank(self) -> int:
        """Return how many live nodes have run for longer than this one."""
        ...

    def live_node_count(self) -> int:
        """Return how many nodes are live, this one included."""
        ...

    def is_isolated(self) -> bool:
        """Return whether no node's messages arrive at this one any more."""
        ...

    def broadcast_soon(self) -> None:
        """Send the next state messages early, if this node is a reader."""
        ...


class Follower:
    """Follows one keyed topic of the store.

    Attributes
    ----------
    readers : Readers or None
        Without it this node always reads the store itself.
    relayed_at : float
        When a reader last read what is known here from messages, on the monotonic
        clock.
    next_offset : int
        Offset from which the topic is read next.
    unavailable_since, available_since : float or None
        When the store stopped answering, and when it answered again, on the monotonic
        clock.
    read_started_at : float or None
        When the read under way began, on the boot clock; ``None`` between two reads.
    last_answer_at : float or None
        When the store last answered a read, on the boot clock.
    skipped : OrderedDict of str to int
        Offsets of records that could not be applied, by key, the newest ones last.
    synced : bool
        Whether the newest records have been read, and all later changes since.
    worker : Worker
        The work of applying records.
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
        self.skipped: OrderedDict[str, int] = OrderedDict()
        self.synced = False
        self.worker = Worker(f"store {self.topic}", WorkKind.PLATFORM)

    def run(self) -> None:
        """Follow the topic indefinitely; the body of a greenlet."""
        while True:
            gevent.sleep(self.step())

    def step(self) -> float:
        """Read once, if this node has to; return the seconds until the next step."""
        if self.has_snapshot and self.is_relayed():
            return RELAY_CHECK_INTERVAL_S
        read_started_at = self.read_started_at = boot_time()
        try:
            if not self.synced:
                self._read_newest()
            else:
                self._read_on()
        except StoreOffsetOutOfRangeError:
            log_event("store_forgot", topic=self.topic, next=self.next_offset)
            self.synced = False
            return 0.0
        except StoreError as error:
            self._note_failure(error)
            return self._next_backoff_s()
        except Exception as error:
            self._note_failure(error)
            raise
        finally:
            self.read_started_at = None
        self._note_answer(read_started_at)
        return self.pause_s()

    @property
    def has_snapshot(self) -> bool:
        """Whether this node has a state to which relayed changes can be applied."""
        return self.synced

    def is_relayed(self) -> bool:
        """Return whether readers relay the topic to this node."""
        if self.readers is None or self.readers.is_reader():
            return False
        return time.monotonic() - self.relayed_at < RELAY_TIMEOUT_S

    def pause_s(self) -> float:
        """Return the time between two successful reads, seconds."""
        raise NotImplementedError

    def wait_s(self) -> float:
        """Return how long a read waits for a record, seconds."""
        return 0.0

    def apply(self, record: Record) -> None:
        """Apply one record; one that can't be applied is skipped and logged once.

        If an error ended the read, each later one would end at the same record, and
        nothing that follows it would become known.
        """
        try:
            self.apply_record(record)
        except UndecodableError as error:
            self._note_skipped(record, "record_undecodable", log_event, error)
        except Exception as error:
            self._note_skipped(record, "record_failed", log_failure, repr(error))

    def _note_skipped(
        self, record: Record, event: str, log: Callable[..., None], error: object
    ) -> None:
        if self.skipped.get(record.key) == record.offset:
            return
        self.skipped[record.key] = record.offset
        self.skipped.move_to_end(record.key)
        if len(self.skipped) > MAX_SKIPPED:
            self.skipped.popitem(last=False)
        self.context.metrics.events[event] += 1
        log(
            event,
            topic=self.topic,
            key=record.key[:MAX_LOGGED_CHARACTERS],
            offset=record.offset,
            error=str(error)[:MAX_LOGGED_CHARACTERS],
        )

    def apply_record(self, record: Record) -> None:
        """Apply one record; raises UndecodableError if it can't be read."""
        raise NotImplementedError

    def on_applied(self, keys: set[str] | None) -> None:
        """Act after records were applied.

        Parameters
        ----------
        keys : set of str or None
            All keys of the topic, if the newest record of each was read.
        """

    def _read_newest(self) -> None:
        page = self.context.store.newest(self.topic)
        self._note_recovery()
        if self.synced and page.end < self.next_offset:
            return  # another node has passed on a newer state meanwhile
        self._set_newest(page.records, page.end)

    def _set_newest(self, records: Iterable[Record], end: int) -> None:
        """Apply the newest record of each key, as of offset `end`."""
        for record in records:
            self.apply(record)
        self.next_offset = max(self.next_offset, end)
        self.synced = True
        self.on_applied({record.key for record in records})

    def _read_on(self) -> None:
        read_started_at = boot_time()
        page = read_to_end(
            self.context.store, self.topic, self.next_offset, wait_s=self.wait_s()
        )
        self._log_wait(boot_time() - read_started_at, page)
        self._apply_page(page)

    def _apply_page(self, page: Page) -> None:
        self._note_recovery()
        for record in page.records:
            # Meanwhile another greenlet may apply some of these records.
            self.worker.checkpoint()
            if record.offset >= self.next_offset:
                self.apply(record)
                self.next_offset = record.offset + 1
        self.on_applied(None)

    def _note_recovery(self) -> None:
        if self.unavailable_since is not None:
            self.available_since = time.monotonic()
            away = self.available_since - self.unavailable_since
            log_event("store_regained", topic=self.topic, away_s=away)
            self.unavailable_since = None

    def _note_answer(self, read_started_at: float) -> None:
        """Record that the read begun at `read_started_at` was answered."""
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

    def _note_failure(self, error: Exception) -> None:
        if self.unavailable_since is None:
            self.unavailable_since = time.monotonic()
            age_s = self.answer_age_s()
            log_event("store_lost", topic=self.topic, error=error, answer_age_s=age_s)

    def answer_age_s(self) -> float:
        """Return the seconds since the store last answered; -1 if it never did."""
        return (
            -1.0 if self.last_answer_at is None else boot_time() - self.last_answer_at
        )

    def waiting_s(self) -> float:
        """Return the seconds for which the read under way has waited; 0 without one."""
        return (
            0.0 if self.read_started_at is None else boot_time() - self.read_started_at
        )

    def _next_backoff_s(self) -> float:
        delay_s, self.backoff_s = (
            self.backoff_s,
            min(MAX_READ_BACKOFF_S, 2 * self.backoff_s),
        )
        return delay_s * self.context.random.uniform(0.7, 1.0)
