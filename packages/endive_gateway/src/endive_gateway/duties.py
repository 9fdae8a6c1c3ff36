"""What one node at a time does for all: usage reports and orders of servers."""

import time

import gevent
import msgspec
from endive_core.leases import DutyKind, DutyLog, DutyRecord, Lease
from endive_node.logs import log_event

from endive_gateway.autoscaling import Ordering
from endive_gateway.clocks import boot_time
from endive_gateway.context import Context
from endive_gateway.exceptions import (
    CloudError,
    StoreConflictError,
    StoreError,
    StoreOffsetOutOfRangeError,
    StoreOutcomeUnknownError,
)
from endive_gateway.interfaces import Topic
from endive_gateway.peers import Peers

LEASE_S = 2.4
"""Time after its last record for which a holder may act, seconds. Orders of servers
wait for a successor that long when a holder dies; shorter, and each renewal's call
weighs more than what a dead holder delays."""

MARGIN_S = 0.5
"""Part of the lease that the holder leaves unused, seconds: a call takes up to its
time-out to arrive, and is not begun when less than that is left."""

RENEW_LEFT_S = 1.1
"""Time left at which the holder renews, seconds: two tries fit in it."""

DUTY_INTERVAL_S = 0.25
"""How often the holder looks whether there is something to do, seconds."""

RANK_S = 0.4
"""Time by which each further candidate waits longer, seconds: one of them claims, and
the others need not ask the store at all."""

SETTLE_S = 1.3
"""Time after a window's end at which it is reported, seconds: all nodes have told
their counts several times by then, and plain requests that began in it have ended."""

RETRY_S = 0.5
"""Time between two tries of a call that failed, seconds."""


class Duties:
    """The duties, as a node holds them or waits to take over.

    Attributes
    ----------
    wanted : bool
        Whether this node may hold them; a node that stops may not.
    """

    def __init__(self, context: Context, peers: Peers, ordering: Ordering) -> None:
        self.context = context
        self.peers = peers
        self.ordering = ordering
        self.me = context.settings.location.node
        self.log = DutyLog(lease_s=LEASE_S, margin_s=MARGIN_S)
        self.lease = Lease()
        self.wanted = True
        self.next = 0
        self.alone_since: float | None = None
        self.sent: set[int] = set()
        self.next_try_at = 0.0
        self.appends = 0
        self.last_read: DutyRecord | None = None

    def run(self) -> None:
        """Hold the duties, or wait to; the body of a greenlet."""
        while True:
            try:
                self.step()
            except StoreOffsetOutOfRangeError as error:
                self.next = error.first
            except StoreConflictError:
                self._read_quietly()
            except StoreError as error:
                log_event("duties_store_failed", error=error)
                gevent.sleep(RETRY_S)
            self.ordering.measure(boot_time())
            self.peers.fence = self.lease.fence if self._held() else 0
            self.peers.see_duty_end(self.log.end)
            gevent.sleep(DUTY_INTERVAL_S)

    def step(self) -> None:
        """Act once, as holder or as candidate; raises StoreError."""
        if self._held() and self.wanted:
            self._hold()
        else:
            if self.lease.fence:
                log_event("duties_lost", fence=self.lease.fence)
                self.lease.drop()
            if self.wanted and self._should_claim():
                self._try_claim()

    def _held(self) -> bool:
        return self.lease.held(boot_time())

    # Taking over

    def _should_claim(self) -> bool:
        """Return whether no holder is heard, for as long as this node's rank says.

        A holder that dies or that the store turns away is heard of for seconds more.
        Its records aren't: once none was told of for as long as a successor waits, the
        duties are free. Orders of servers then stand still for 4 s instead of 7 s
        (87 nodes, a third turned away by the store together with the holder).
        """
        if self.context.table is None:
            return False
        if self._has_lapsed():
            return True
        if any(peer.fence for peer in self.peers.live()):
            self.alone_since = None
            return False
        now = time.monotonic()
        if self.alone_since is None:
            self.alone_since = now
        return now - self.alone_since >= self._rank_s()

    def _rank_s(self) -> float:
        """Return how much longer than the first candidate this node waits, seconds.

        Who has run for longest has the most complete counts of usage.
        """
        return RANK_S * self.peers.rank()

    def _has_lapsed(self) -> bool:
        """Return whether no record was told of for as long as a successor waits."""
        moved_at = self.peers.duty_moved_at
        if moved_at is None:
            return False
        return boot_time() - moved_at >= LEASE_S + MARGIN_S + self._rank_s()

    def _try_claim(self) -> None:
        if self.peers.duty_moved_at is not None:
            self.log.observe_peer_end(self.peers.duty_end, self.peers.duty_moved_at)
        self._read()
        if not self.log.may_claim(self.me, boot_time()):
            return
        sent_at = boot_time()
        offset = self._append(DutyKind.CLAIM, {})
        self.lease.extend(offset + 1, sent_at, self.log)
        self.ordering.begin(boot_time())
        self.sent.clear()
        log_event("duties_claimed", fence=self.lease.fence)

    # Holding

    def _hold(self) -> None:
        if self.lease.until - boot_time() < RENEW_LEFT_S:
            self._renew()
        if "usage" in self.context.settings.duties:
            self._report_usage()
        if "scale" in self.context.settings.duties:
            self.ordering.step(self.me, self.lease, boot_time())

    def _renew(self) -> None:
        sent_at = boot_time()
        self._append(DutyKind.RENEWAL, {})
        self.lease.extend(self.lease.fence, sent_at, self.log)

    def release(self) -> None:
        """Let another node take over at once."""
        self.wanted = False
        if not self._held():
            return
        try:
            self._append(DutyKind.RELEASE, {})
        except StoreError as error:
            log_event("duties_not_released", error=error)
        self.lease.drop()
        self.peers.fence = 0
        log_event("duties_released")

    def _append(self, kind: DutyKind, body: dict) -> int:
        """Append a record at the log's known end and return its offset.

        An answer may be lost, and the append done all the same or even seconds later.
        The log tells: a record of this very append counts as its answer.

        Raises
        ------
        StoreConflictError
            If the log has moved on without this record; the lease is dropped.
        """
        record = self._record(kind, body)
        at = self.log.end
        try:
            offset = self.context.store.append(
                Topic.DUTIES, msgspec.json.encode(record), at=at
            )
        except (StoreConflictError, StoreOutcomeUnknownError):
            self._read()
            if self.last_read == record:
                return self.log.end - 1
            if self.log.end != at:
                self.lease.drop()
            raise
        self.log.fold(offset, record)
        self.next = offset + 1
        self.log.observe_end(self.next, boot_time())
        return offset

    def _record(self, kind: DutyKind, body: dict) -> DutyRecord:
        self.appends += 1
        self.context.reported = max(self.context.reported, self.log.reported)
        return DutyRecord(
            kind,
            self.me,
            self.context.incarnation,
            0 if kind is DutyKind.CLAIM else self.lease.fence,
            self.context.reported,
            {**body, "append": self.appends},
        )

    def _read(self) -> None:
        page = self.context.store.read(Topic.DUTIES, self.next)
        for entry in page.records:
            self.next = entry.offset + 1
            try:
                record = msgspec.json.decode(entry.value or b"", type=DutyRecord)
            except msgspec.MsgspecError as error:
                log_event("duty_undecodable", offset=entry.offset, error=error)
                continue
            self.last_read = record
            self.log.fold(entry.offset, record)
        self.log.observe_end(page.end, boot_time())

    def _read_quietly(self) -> None:
        try:
            self._read()
        except StoreOffsetOutOfRangeError as error:
            self.next = error.first
        except StoreError as error:
            log_event("duties_store_failed", error=error)

    # Usage

    def _report_usage(self) -> None:
        """Report each window once it is over and counted."""
        if time.monotonic() < self.next_try_at:
            return
        settled = self.context.cluster_clock.now() - SETTLE_S
        newest = self.context.meter.window_of(settled) - 1
        known = max(self.context.reported, self.log.reported)
        for window in range(max(known + 1, self._oldest(newest)), newest + 1):
            self._decide_window(window)
        for window, counts in sorted(self.log.usage.items()):
            if window not in self.sent and window > newest - 3:
                self._send_window(window, counts)

    def _oldest(self, newest: int) -> int:
        """Return the oldest window worth reporting now."""
        bounds = self.context.settings.bounds
        late = int(bounds.usage_late_s // bounds.usage_window_s)
        ran_for = time.monotonic() - self.context.started_at
        start = self.context.cluster_clock.now() - ran_for
        return max(newest - late, self.context.meter.window_of(start))

    def _decide_window(self, window: int) -> None:
        """Record the counts before they are sent.

        Whoever takes over after this node died in between sends the same ones.
        """
        counts = self.context.meter.total(window)
        sent_at = boot_time()
        self._append(DutyKind.USAGE, {"window": window, "counts": counts})
        self.lease.extend(self.lease.fence, sent_at, self.log)
        self.context.reported = max(self.context.reported, window)

    def _send_window(self, window: int, counts: dict[str, int]) -> None:
        if not self._held():
            return
        try:
            self.context.cloud.report_usage(self.me, self.lease.fence, window, counts)
        except CloudError as error:
            log_event("usage_not_reported", window=window, error=error)
            self.next_try_at = time.monotonic() + RETRY_S
            return
        self.sent.add(window)
        log_event("usage_reported", window=window, counts=sum(counts.values()))
