"""Batched appends of one shard's claims to the log, and their outcomes."""

import random

import gevent
from endive_core.claims import CLAIM_SHARDS, ClaimOutcome, ClaimTable
from endive_core.exceptions import EndiveError, ErrorKind, RecordError
from endive_core.records import Claim, Release, claim_stream, decode, encode
from gevent.event import AsyncResult, Event

from endive_node.interfaces import (
    Clock,
    LogOffsetOutOfRangeError,
    LogOutcomeUnknownError,
    LogService,
    LogThrottledError,
    LogUnavailableError,
)
from endive_node.logs import log_event
from endive_node.settings import ClaimsSection
from endive_node.telemetry import Metrics

MAX_BATCH = 500
"""Records of one append: about 120 kB, which the log takes in a few milliseconds."""

LOG_RETRY_PAUSE_S = 0.2


class ShardWriter:
    """Appends one shard's claims and releases in batches, and reads them back.

    An idle writer appends at once. A busy one waits until its share of the cluster's
    append rate allows the next append, and then appends all records that are pending,
    up to MAX_BATCH.

    Attributes
    ----------
    pending : dict
        Encoded records still to be appended, by id. Appending one twice is harmless.
    waiting : dict
        Results of the callers that wait for a claim's outcome, by claim id.
    append_interval_s : float
        Least time between two appends.
    """

    def __init__(
        self,
        shard: int,
        log: LogService,
        clock: Clock,
        settings: ClaimsSection,
        metrics: Metrics,
    ) -> None:
        self.stream = claim_stream(shard)
        self.log = log
        self.clock = clock
        self.append_interval_s = CLAIM_SHARDS / settings.appends_per_s
        self.table = ClaimTable(settings.window_s)
        self.pending: dict[str, str] = {}
        self.waiting: dict[str, list[AsyncResult]] = {}
        self.wake = Event()
        self.last_append = -self.append_interval_s
        self.appends = metrics.counter("endive_claim_appends")
        self.appended = metrics.counter("endive_claim_records_appended")
        self.greenlet: gevent.Greenlet | None = None

    def decide(self, claim: Claim, timeout_s: float) -> ClaimOutcome:
        """Append `claim` and return how the log decided it.

        Raises
        ------
        EndiveError
            ``log_unavailable`` if the outcome isn't known in time; the record may
            still be in the log, or arrive there later.
        """
        result = AsyncResult()
        self.waiting.setdefault(claim.claim_id, []).append(result)
        self._enqueue(claim.claim_id, encode(claim))
        try:
            return result.get(timeout=timeout_s)
        except gevent.Timeout:
            raise log_unavailable("the log did not decide the claim in time") from None
        finally:
            self._stop_waiting(claim.claim_id, result)

    def _stop_waiting(self, claim_id: str, result: AsyncResult) -> None:
        remaining = [r for r in self.waiting.get(claim_id, ()) if r is not result]
        if remaining:
            self.waiting[claim_id] = remaining
            return
        self.waiting.pop(claim_id, None)
        self.pending.pop(claim_id, None)

    def release(self, release: Release) -> None:
        """Append `release` as soon as the log accepts it."""
        self._enqueue(f"release {release.claim_id}", encode(release))

    def _enqueue(self, name: str, text: str) -> None:
        self.pending[name] = text
        self.wake.set()
        if not self.greenlet:
            self.greenlet = gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            self.wake.wait()
            self.wake.clear()
            while self.pending:
                gevent.sleep(
                    self.last_append + self.append_interval_s - self.clock.now()
                )
                self._append_and_read()

    def _append_and_read(self) -> None:
        batch = dict(list(self.pending.items())[:MAX_BATCH])
        if not batch:
            return
        self.last_append = self.clock.now()
        try:
            end = self.log.append(self.stream, list(batch.values())) + len(batch)
        except LogThrottledError:
            return
        except LogUnavailableError as error:
            self._fail_batch(batch, str(error))
            gevent.sleep(LOG_RETRY_PAUSE_S)
            return
        except LogOutcomeUnknownError as error:
            # The records may be in the log, arrive later, or never. Those that the
            # read below does not find are appended again: the first copy decides.
            log_event("claim_append_uncertain", stream=self.stream, error=error)
            self._read_to(0)
            self._deliver_outcomes()
            return
        self.appends.add(1)
        self.appended.add(len(batch))
        for name in batch:
            self.pending.pop(name, None)
        self._read_to(end)
        self._deliver_outcomes()

    def _fail_batch(self, batch: dict[str, str], reason: str) -> None:
        """Fail the batch's claims, as the log accepted nothing; keep the releases."""
        for name in batch.keys() & self.waiting.keys():
            for result in self.waiting[name]:
                result.set_exception(
                    log_unavailable(f"the log did not accept the claim: {reason}")
                )
            self.pending.pop(name, None)

    def _read_to(self, end: int) -> None:
        """Read and apply records to the stream's end, and at least to offset `end`."""
        while self.waiting or end == 0:
            try:
                page = self.log.read(self.stream, self.table.offset + 1)
            except LogOffsetOutOfRangeError as error:
                self.table.offset = error.first - 1
                continue
            except LogUnavailableError as error:
                log_event("claim_read_failed", stream=self.stream, error=error)
                if end == 0:
                    return
                gevent.sleep(LOG_RETRY_PAUSE_S)
                continue
            for entry in page.entries:
                self._apply_entry(entry)
            if self.table.offset + 1 >= max(end, page.next):
                return

    def _apply_entry(self, entry) -> None:
        try:
            record = decode(entry.body)
        except RecordError as error:
            log_event("record_not_understood", offset=entry.offset, error=error)
            return
        if isinstance(record, Claim | Release):
            self.table.apply(entry.offset, entry.time, record)
        self.table.offset = entry.offset

    def _deliver_outcomes(self) -> None:
        for claim_id, results in list(self.waiting.items()):
            outcome = self.table.outcome(claim_id)
            if outcome is not None:
                self.pending.pop(claim_id, None)
                for result in results:
                    result.set(outcome)


def log_unavailable(message: str) -> EndiveError:
    """Return the refusal of a request whose claim the log could not decide."""
    return EndiveError(
        ErrorKind.LOG_UNAVAILABLE, message, retry_after_s=random.uniform(1.0, 5.0)
    )
