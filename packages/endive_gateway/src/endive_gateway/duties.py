"""The duties that one node at a time performs for all: usage reports and autoscaling.

The holder is elected through the duties log in the store. A claim is a record appended
at the known end of the log, and the holder extends its lease by further records.
"""

import time
from collections.abc import Mapping

import gevent
import msgspec
from endive_core.leases import DutyKind, DutyLog, DutyRecord, Lease
from endive_core.rollouts import RolloutRecord
from endive_node.logs import log_event
from gevent.lock import BoundedSemaphore

from endive_gateway.autoscaling import Autoscaler
from endive_gateway.clocks import boot_time
from endive_gateway.context import Context
from endive_gateway.duty_records import decode_duty_record
from endive_gateway.exceptions import (
    CloudError,
    StoreConflictError,
    StoreError,
    StoreOffsetOutOfRangeError,
    StoreOutcomeUnknownError,
    UndecodableError,
)
from endive_gateway.interfaces import Topic
from endive_gateway.peers import Peers
from endive_gateway.rollout_control import RolloutController
from endive_gateway.store_reading import read_to_end

LEASE_S = 2.4
"""Time after its last record for which a holder may act, seconds. When a holder dies,
no servers are ordered for that long. A shorter lease would cost more renewal calls than
the shorter delay is worth."""

LEASE_MARGIN_S = 0.5
"""Part of the lease that the holder leaves unused, seconds. A call may take up to its
time-out to arrive, and none is started when less than that is left."""

RENEW_BEFORE_END_S = 1.1
"""Remaining lease at which the holder renews, seconds: enough for two attempts."""

DUTY_INTERVAL_S = 0.25
"""Time between two steps of a holder or candidate, seconds."""

RANK_DELAY_S = 0.4
"""Additional wait of each further candidate, seconds. The first one claims, and the
others don't call the store at all."""

REPORT_DELAY_S = 1.3
"""Delay between the end of a usage window and its report, seconds. By then all nodes
have sent their counts several times, and short requests that began in the window have
ended."""

RETRY_S = 0.5
"""Time before a failed call is retried, seconds."""


class Duties:
    """The duties at one node, which holds them or is a candidate.

    Attributes
    ----------
    eligible : bool
        Whether this node may hold the duties; False while it stops.
    next_offset : int
        Offset from which the duties log is read next.
    no_holder_since : float or None
        Since when no live peer reports that it holds the duties, on the monotonic
        clock.
    sent_windows : set of int
        Usage windows that this node has reported to the platform in this tenure.
    acting : BoundedSemaphore
        Held by the greenlet that performs the duties or gives them up.
    """

    def __init__(self, context: Context, peers: Peers, autoscaler: Autoscaler) -> None:
        self.context = context
        self.peers = peers
        self.autoscaler = autoscaler
        self.rollout_control = RolloutController(context, peers)
        self.node_name = context.settings.location.node
        self.log = DutyLog(lease_s=LEASE_S, margin_s=LEASE_MARGIN_S)
        self.lease = Lease()
        self.eligible = True
        self.next_offset = 0
        self.no_holder_since: float | None = None
        self.sent_windows: set[int] = set()
        self.next_try_at = 0.0
        self.append_count = 0
        self.last_record: DutyRecord | None = None
        self.acting = BoundedSemaphore()

    def run(self) -> None:
        """Hold the duties or wait to claim them; the body of a greenlet."""
        while True:
            with self.acting:
                succeeded = self._try_step()
            if not succeeded:
                gevent.sleep(RETRY_S)
            self.autoscaler.sample_load(boot_time())
            self.peers.fence = self.lease.fence if self._is_holder() else 0
            self.peers.observe_duty_log_end(self.log.end)
            gevent.sleep(DUTY_INTERVAL_S)

    def _try_step(self) -> bool:
        """Act once; return whether the store could be used."""
        try:
            self.step()
        except StoreOffsetOutOfRangeError as error:
            self._skip_to(error.first)
        except StoreConflictError:
            self._read_ignoring_errors()
        except StoreError as error:
            log_event("duties_store_failed", error=error)
            return False
        return True

    def step(self) -> None:
        """Act once, as holder or as candidate.

        Raises
        ------
        StoreError
            If a call to the store fails.
        """
        if not self.eligible:
            return
        if self._is_holder():
            self._act_as_holder()
        else:
            if self.lease.fence:
                log_event("duties_lost", fence=self.lease.fence)
                self.lease.drop()
            if self._should_claim():
                self._try_claim()

    def _is_holder(self) -> bool:
        return self.lease.held(boot_time())

    # Claiming

    def _should_claim(self) -> bool:
        """Return whether there has been no holder for as long as this node must wait.

        A holder that dies, or whose calls the store rejects, still counts as live and
        holding for seconds. Its records stop at once, so the duties also count as free
        when the log has not grown for the lease and this node's wait. With 87 nodes, of
        which the store rejects a third together with the holder, autoscaling then
        pauses for 4 s instead of 7 s.
        """
        if self.context.table is None:
            return False
        if self._log_is_stale():
            return True
        if any(peer.fence for peer in self.peers.live()):
            self.no_holder_since = None
            return False
        now = time.monotonic()
        if self.no_holder_since is None:
            self.no_holder_since = now
        return now - self.no_holder_since >= self._rank_delay_s()

    def _rank_delay_s(self) -> float:
        """Return how much longer than the first candidate this node waits, seconds.

        The node that has run for longest goes first: its usage counts are the most
        complete.
        """
        return RANK_DELAY_S * self.peers.rank()

    def _log_is_stale(self) -> bool:
        """Return whether the log has not grown for as long as this node must wait."""
        moved_at = self.peers.duty_log_moved_at
        if moved_at is None:
            return False
        return boot_time() - moved_at >= LEASE_S + LEASE_MARGIN_S + self._rank_delay_s()

    def _try_claim(self) -> None:
        if self.peers.duty_log_moved_at is not None:
            self.log.observe_peer_end(
                self.peers.duty_log_end, self.peers.duty_log_moved_at
            )
        self._read()
        if not self.log.may_claim(self.node_name, boot_time()):
            return
        if self.log.is_history_lost:
            self._assume_lost_decisions()
        sent_at = boot_time()
        offset = self._append(DutyKind.CLAIM, {})
        self.lease.extend(offset + 1, sent_at, self.log)
        self.autoscaler.begin_tenure(boot_time())
        self.rollout_control.begin_tenure()
        self.sent_windows.clear()
        log_event("duties_claimed", fence=self.lease.fence)

    def _assume_lost_decisions(self) -> None:
        """Take all for decided that dropped records may have decided.

        A window that was reported must not be reported again with other counts, and a
        rollout must not go back to a stage before the one that was announced last.
        """
        newest = self.context.meter.window_of(self.context.cluster_clock.now()) - 1
        self.log.assume_reported(newest)
        for service, rollout in self.context.rollouts.rollouts.items():
            if not rollout.stage.number:
                continue
            record = self.log.rollouts.get(service)
            if record is None or record.order.offset != rollout.order.offset:
                record = RolloutRecord(rollout.order)
            self.log.rollouts[service] = record.caught_up(rollout.stage)
        log_event("duties_history_assumed", reported=newest)

    # Holding

    def _act_as_holder(self) -> None:
        if self.lease.until - boot_time() < RENEW_BEFORE_END_S:
            self._renew()
        self._step_rollouts()
        if "usage" in self.context.settings.duties:
            self._report_usage()
        if "scale" in self.context.settings.duties:
            self.autoscaler.step(self.node_name, self.lease, boot_time())

    def _renew(self) -> None:
        sent_at = boot_time()
        self._append(DutyKind.RENEWAL, {})
        self.lease.extend(self.lease.fence, sent_at, self.log)

    def _step_rollouts(self) -> None:
        """Decide the next stages, write them to the log, and then carry them out."""
        if not self.context.rollouts.is_enabled:
            return
        records = self.rollout_control.next_records(self.log.rollouts, self.lease.fence)
        if records:
            sent_at = boot_time()
            self._append(DutyKind.ROLLOUT, rollouts_body(self.log.rollouts | records))
            self.lease.extend(self.lease.fence, sent_at, self.log)
        try:
            self.rollout_control.carry_out(self.log.rollouts)
        except StoreOutcomeUnknownError:
            self.lease.unanswered_at = boot_time()
            raise

    def release(self) -> None:
        """Give up the duties for good, once the step under way has ended.

        Another node can claim them at once, and its calls must not come before one of
        this node. If a call has had no answer and may still arrive, the duties are not
        released, and the successor waits for a whole lease.
        """
        self.eligible = False
        self.lease.ending = True
        with self.acting:
            if not self.lease.fence:
                return
            is_settled = self.lease.is_settled(boot_time(), self.log)
            try:
                self._append(DutyKind.RELEASE if is_settled else DutyKind.RENEWAL, {})
            except StoreError as error:
                log_event("duties_not_released", error=error)
            else:
                log_event("duties_released" if is_settled else "duties_left_to_lapse")
            self.lease.drop()
            self.peers.fence = 0

    def _append(self, kind: DutyKind, body: dict) -> int:
        """Append a record at the log's known end and return its offset.

        The store's answer may be lost although the append is done, at once or seconds
        later. So after an uncertain result the log is read again; if its last record is
        this one, the append succeeded.

        Raises
        ------
        StoreConflictError
            If the log has grown without this record; the lease is dropped.
        StoreError
            If the append failed, or its result is still unknown.
        """
        record = self._make_record(kind, body)
        at = self.log.end
        try:
            offset = self.context.store.append(
                Topic.DUTIES, msgspec.json.encode(record), at=at
            )
        except (StoreConflictError, StoreOutcomeUnknownError):
            self._read()
            if self.last_record == record:
                return self.log.end - 1
            if self.log.end != at:
                self.lease.drop()
            raise
        self.log.fold(offset, record)
        self.next_offset = offset + 1
        self.log.observe_end(self.next_offset, boot_time())
        return offset

    def _make_record(self, kind: DutyKind, body: dict) -> DutyRecord:
        self.append_count += 1
        self.context.reported = max(self.context.reported, self.log.reported)
        return DutyRecord(
            kind,
            self.node_name,
            self.context.incarnation,
            0 if kind is DutyKind.CLAIM else self.lease.fence,
            self.context.reported,
            {
                **rollouts_body(self.log.rollouts),
                **body,
                "append": self.append_count,
            },
        )

    def _read(self) -> None:
        page = read_to_end(self.context.store, Topic.DUTIES, self.next_offset)
        newest = self.context.meter.window_of(self.context.cluster_clock.now())
        for entry in page.records:
            self.next_offset = entry.offset + 1
            try:
                record = decode_duty_record(
                    entry.value or b"", offset=entry.offset, newest_window=newest
                )
            except UndecodableError as error:
                log_event("duty_undecodable", offset=entry.offset, error=error)
                self.last_record = None
                self.log.skip(entry.offset)
                continue
            self.last_record = record
            self.log.fold(entry.offset, record)
        self.log.observe_end(page.end, boot_time())

    def _read_ignoring_errors(self) -> None:
        try:
            self._read()
        except StoreOffsetOutOfRangeError as error:
            self._skip_to(error.first)
        except StoreError as error:
            log_event("duties_store_failed", error=error)

    def _skip_to(self, first: int) -> None:
        """Go on at the first record that the store retains."""
        log_event("duties_records_lost", unread=self.next_offset, first=first)
        self.next_offset = first
        self.last_record = None
        self.log.skip_to(first)

    # Usage

    def _report_usage(self) -> None:
        """Record and report each usage window after its end and the report delay."""
        if time.monotonic() < self.next_try_at:
            return
        settled = self.context.cluster_clock.now() - REPORT_DELAY_S
        newest = self.context.meter.window_of(settled) - 1
        known = max(self.context.reported, self.log.reported)
        for window in range(max(known + 1, self._oldest_window(newest)), newest + 1):
            self._record_window(window)
        for window, counts in sorted(self.log.usage.items()):
            if window not in self.sent_windows and window > newest - 3:
                self._send_window(window, counts)

    def _oldest_window(self, newest: int) -> int:
        """Return the oldest window to report.

        Left out are windows that are too old to be reported, and those that ended
        before this node started.
        """
        bounds = self.context.settings.bounds
        late = int(bounds.usage_late_s // bounds.usage_window_s)
        ran_for = time.monotonic() - self.context.started_at
        start = self.context.cluster_clock.now() - ran_for
        return max(newest - late, self.context.meter.window_of(start))

    def _record_window(self, window: int) -> None:
        """Append a window's counts to the duties log before they are reported.

        If this node dies in between, its successor reports the same counts.
        """
        counts = self.context.meter.total(window)
        sent_at = boot_time()
        self._append(DutyKind.USAGE, {"window": window, "counts": counts})
        self.lease.extend(self.lease.fence, sent_at, self.log)
        self.context.reported = max(self.context.reported, window)

    def _send_window(self, window: int, counts: dict[str, int]) -> None:
        if not self._is_holder():
            return
        try:
            self.context.cloud.report_usage(
                self.node_name, self.lease.fence, window, counts
            )
        except CloudError as error:
            if error.sent:
                self.lease.unanswered_at = boot_time()
            log_event("usage_not_reported", window=window, error=error)
            self.next_try_at = time.monotonic() + RETRY_S
            return
        self.sent_windows.add(window)
        log_event("usage_reported", window=window, counts=sum(counts.values()))


def rollouts_body(rollouts: Mapping[str, RolloutRecord]) -> dict:
    """Return the part of a record's body that keeps the rollouts.

    Each record has all of them, since the store may drop older records.
    """
    if not rollouts:
        return {}
    return {"rollouts": {name: record.to_body() for name, record in rollouts.items()}}
