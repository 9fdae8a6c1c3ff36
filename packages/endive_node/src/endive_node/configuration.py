"""Follows the configuration stream in the log and appends changes to it."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
import msgspec
from endive_core.catalogue import Catalogue
from endive_core.exceptions import EndiveError, ErrorKind, RecordError
from endive_core.fold import ConfigurationFold, Outcome, Verdict
from endive_core.history import ChangeHistory
from endive_core.records import (
    CONFIGURATION_STREAM,
    Change,
    Snapshot,
    SnapshotTaken,
    decode,
    encode,
)
from gevent.event import Event

from endive_node.interfaces import (
    Clock,
    ConfigurationSource,
    LogOffsetOutOfRangeError,
    LogOutcomeUnknownError,
    LogService,
    LogUnavailableError,
)
from endive_node.logs import log_event
from endive_node.snapshots import newest_snapshot

LONG_POLL_S = 5.0
RETRY_S = 0.2
GAP_RETRY_S = 1.0
PEER_DISCOVERY_S = 5.0
"""How long a starting node waits, while the log is unavailable, for a member that holds
the highest known offset. Members are discovered one after the other, so the first one
may be behind. The wait is bounded because the only node that had read the last change
may be gone for good."""

LAG_CHECK_INTERVAL_S = 0.5
MAX_LAG_S = 1.5
"""How long this node may lag behind the others' configuration before it pulls from one
of them. The log normally delivers the same change within milliseconds."""

SUBMIT_TIMEOUT_S = 8.0
"""How long a writer waits until it reads its own change back from the log. It is well
below the 13 s within which a change must be in force on all nodes."""


@dataclass
class Configuration:
    """The configuration in force on this node, built from the log's records.

    Readers use :attr:`catalogue`; writers call :meth:`submit`.

    Attributes
    ----------
    listeners : list of callable
        Called with the set of (kind, name) pairs after each batch of changes.
    source : ConfigurationSource or None
        Other nodes, from which the configuration is pulled if the log is unavailable
        or no longer keeps the records that this node needs.
    snapshot_through, snapshot_at
        Last offset that the newest known snapshot in the log covers, and the clock
        time in seconds at which this node learnt of it.
    pulls : int
        Number of snapshots adopted from other nodes.
    """

    log: LogService
    clock: Clock
    fold: ConfigurationFold = field(default_factory=ConfigurationFold)
    catalogue: Catalogue = field(default_factory=Catalogue)
    listeners: list[Callable] = field(default_factory=list)
    history: ChangeHistory = field(default_factory=ChangeHistory)
    ready: Event = field(default_factory=Event)
    changed: Event = field(default_factory=Event)
    last_read_at: float | None = None
    source: ConfigurationSource | None = None
    snapshot_through: int = -1
    snapshot_at: float = 0.0
    pulls: int = 0
    first_pulled_at: float | None = None

    def __post_init__(self) -> None:
        self.snapshot_at = self.clock.now()

    def follow(self) -> None:
        """Read and apply the stream in an endless loop; runs in a greenlet."""
        while True:
            try:
                self.step()
            except LogUnavailableError as error:
                log_event("configuration_read_failed", error=error)
                self._start_from_peers()
                gevent.sleep(RETRY_S)

    def step(self) -> None:
        """Read and apply one page; start from a snapshot if none is applied yet.

        Raises
        ------
        LogUnavailableError
            If the log does not respond.
        """
        if self.fold.offset < 0:
            self._adopt_from_log(first=0)
        try:
            self.read_once(wait_s=LONG_POLL_S if self.ready.is_set() else 0.0)
        except LogOffsetOutOfRangeError as error:
            self._close_gap(error.first)

    def read_once(self, *, wait_s: float = 0.0) -> None:
        """Read one page of records and apply it."""
        page = self.log.read(CONFIGURATION_STREAM, self.fold.offset + 1, wait_s=wait_s)
        for entry in page.entries:
            self._apply_entry(entry.offset, entry.body)
        self.last_read_at = self.clock.now()
        if page.entries:
            self._publish()
        if self.fold.offset + 1 >= page.next:
            self.ready.set()

    def _apply_entry(self, offset: int, body: str) -> None:
        try:
            record = decode(body)
        except RecordError as error:
            log_event("record_not_understood", offset=offset, error=error)
            self.fold.offset = max(self.fold.offset, offset)
            return
        if isinstance(record, Change):
            self._apply_change(offset, record, len(body))
            return
        self.fold.apply(offset, record)
        if isinstance(record, SnapshotTaken):
            self.record_snapshot(record.through)

    def record_snapshot(self, through: int) -> None:
        """Record that the log holds a snapshot that covers offsets up to `through`."""
        if through > self.snapshot_through:
            self.snapshot_through = through
            self.snapshot_at = self.clock.now()

    def _apply_change(self, offset: int, change: Change, size: int) -> None:
        before = self.fold.get(change.kind, change.name)
        outcome = self.fold.apply(offset, change)
        # A repeated change id yields its first outcome, whose version is older.
        if outcome is not None and outcome.applied_at(offset):
            self.history.add(offset, change, before, size)

    def adopt(self, snapshot: Snapshot) -> bool:
        """Replace the state by `snapshot` if it is newer; return whether it was."""
        if snapshot.through <= self.fold.offset:
            return False
        self.fold = ConfigurationFold.from_snapshot(snapshot)
        self.history.reset(snapshot.through)
        self._publish()
        log_event("configuration_adopted", through=snapshot.through)
        return True

    def _adopt_from_log(self, first: int) -> bool:
        """Adopt the newest snapshot after which the log still keeps every record."""
        snapshot = newest_snapshot(
            self.log, lambda s: s.through + 1 >= first and s.through > self.fold.offset
        )
        if snapshot is None or not self.adopt(snapshot):
            return False
        self.record_snapshot(snapshot.through)
        return True

    def _close_gap(self, first: int) -> None:
        """Adopt a snapshot, since the log no longer keeps the records before `first`.

        Applying only the remaining records would skip changes without any error: a
        deleted organisation could still send requests, and a new server would never
        be used. If no snapshot is available, this node keeps its present state, and a
        starting node stays not ready.
        """
        if self._adopt_from_log(first):
            return
        if self.pull() and self.fold.offset + 1 >= first:
            return
        log_event("configuration_gap", offset=self.fold.offset, first=first)
        gevent.sleep(GAP_RETRY_S)

    def pull(self) -> bool:
        """Adopt the newest configuration of other nodes; return whether it is current.

        It is current if no reachable node is known to hold a newer one.
        """
        if self.source is None:
            return False
        snapshot = self.source.pull()
        if snapshot is None:
            return False
        if self.adopt(snapshot):
            self.pulls += 1
        return snapshot.through >= self.source.reachable_offset()

    def _start_from_peers(self) -> None:
        """While the log is unavailable, start with the peers' newest configuration."""
        if self.ready.is_set() or not self.pull():
            return
        if self.first_pulled_at is None:
            self.first_pulled_at = self.clock.now()
        has_latest = self.fold.offset >= self.source.highest_offset()
        if has_latest or self.clock.now() - self.first_pulled_at > PEER_DISCOVERY_S:
            self.ready.set()

    def watch_lag(self) -> None:
        """Pull from another node when this one lags; runs in a greenlet.

        The log may respond late or not at all to this node while others still read
        it. This node would then route requests by an older configuration, which shows
        only in the offsets that the heartbeats carry.
        """
        up_to_date_at = self.clock.now()
        while True:
            gevent.sleep(LAG_CHECK_INTERVAL_S)
            if not self.is_behind():
                up_to_date_at = self.clock.now()
            elif (
                self.clock.now() - up_to_date_at > MAX_LAG_S
                and self.source.reachable_offset() > self.fold.offset
            ):
                self.pull()

    def is_behind(self) -> bool:
        """Return whether another node has a newer configuration in force."""
        return (
            self.ready.is_set()
            and self.source is not None
            and self.source.highest_offset() > self.fold.offset
        )

    def _publish(self) -> None:
        changed_resources = self.catalogue.refresh(self.fold)
        self.changed.set()
        self.changed.clear()
        for listener in self.listeners:
            listener(changed_resources)

    def submit(self, change: Change) -> Outcome:
        """Append `change` and wait until this node has applied it.

        The change id makes a repeated append idempotent. If the response to an append
        is lost, the change is appended again until its outcome is read back.

        Raises
        ------
        EndiveError
            ``version_conflict`` with the version in force; ``log_unavailable`` if the
            change was not appended; ``outcome_unknown`` if it may have been.
        """
        change = msgspec.structs.replace(change, basis=self.fold.offset)
        deadline = self.clock.now() + SUBMIT_TIMEOUT_S
        uncertain = False
        appended = False
        while (outcome := self.fold.outcomes.get(change.change_id)) is None:
            if self.clock.now() > deadline:
                raise _unsettled_append_error(uncertain or appended)
            if not appended:
                try:
                    self.log.append(CONFIGURATION_STREAM, [encode(change)])
                    appended = True
                except LogOutcomeUnknownError:
                    uncertain = True
                except LogUnavailableError:
                    if not uncertain:
                        raise _unsettled_append_error(False) from None
                    gevent.sleep(RETRY_S)
            # The loop that reads the log may have applied the change before the append
            # returned. Its `changed` event is then over, and waiting for the next one
            # would add RETRY_S.
            if change.change_id not in self.fold.outcomes:
                self.changed.wait(timeout=RETRY_S)
        self._check_verdict(change, outcome.verdict, outcome.version)
        return outcome

    def check(self, change: Change) -> None:
        """Raise the error that :meth:`submit` would raise for `change` now."""
        self._check_verdict(change, *self.fold.verdict(change))

    def _check_verdict(self, change: Change, verdict: Verdict, version: int) -> None:
        if verdict is Verdict.FORBIDDEN:
            raise EndiveError(
                ErrorKind.FORBIDDEN, "the resource belongs to another organisation"
            )
        if verdict is Verdict.CONFLICT:
            stored = self.fold.get(change.kind, change.name)
            raise EndiveError(
                ErrorKind.VERSION_CONFLICT,
                f"another change was applied first; the version in force is {version}",
                details={
                    "version": version,
                    "operator": stored.operator if stored else "",
                },
            )


def _unsettled_append_error(may_be_appended: bool) -> EndiveError:
    if may_be_appended:
        return EndiveError(
            ErrorKind.OUTCOME_UNKNOWN,
            "the log did not confirm the change; send it again with the same change id",
        )
    return EndiveError(
        ErrorKind.LOG_UNAVAILABLE, "the log is unavailable; the change was not appended"
    )


def new_change_id() -> str:
    """Return a random id for a change that was sent without one."""
    return uuid.uuid4().hex
