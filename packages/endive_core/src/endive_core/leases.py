"""Leader election by a lease: one holder at a time, decided by the order of a log.

The duties are tasks that at most one node may perform at a time: ordering servers and
reporting usage. A node claims them by a record that it appends conditionally at the
log's known end, so of two concurrent claims one fails. The claim's offset gives the
fencing token. A successor waits for the whole lease after it has read the newest
record, and then appends its claim at that end: a renewal in the meantime moves the end,
and the claim fails. The holder counts its lease from before it sent the renewal. So two
holders never overlap, and no clocks have to agree.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from endive_core.rollouts import RolloutRecord


class DutyKind(StrEnum):
    """Type of a record of the duties' log."""

    CLAIM = "claim"
    RENEWAL = "renewal"
    RELEASE = "release"
    USAGE = "usage"
    ROLLOUT = "rollout"


@dataclass(frozen=True, slots=True)
class DutyRecord:
    """One record of the duties' log.

    Attributes
    ----------
    holder : str
        The node that wrote the record.
    incarnation : int
        Identifies one start of that node, so that its restarts are told apart.
    fence : int
        Fencing token of the holder's claim; 0 in the claim itself.
    reported : int
        Newest usage window that has been decided, so that it is known even after the
        log has dropped the record that decided it.
    body : dict
        Fields specific to the record's kind.
    """

    kind: DutyKind
    holder: str
    incarnation: int
    fence: int = 0
    reported: int = -1
    body: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Tenure:
    """The holder of the duties according to the newest claim."""

    holder: str
    incarnation: int
    fence: int
    released: bool = False


class DutyLog:
    """The state of the duties' log, and when its end was last seen to change.

    Parameters
    ----------
    lease_s : float
        Time for which a holder may act after its last record, in seconds.
    margin_s : float
        Part of the lease that the holder leaves unused, in seconds: its clock may run
        slightly slower than the successor's, and a call takes time to arrive.

    Attributes
    ----------
    is_uncertain : bool
        Whether a record after the newest claim could not be read. It may be a claim of
        a later version of the software, or one that the log no longer keeps.
    unread_end : int
        Offset after the last record that could not be read; 0 if there is none.
    is_history_lost : bool
        Whether the log has dropped unread records, and none has been read since that
        tells what they decided.
    """

    def __init__(self, *, lease_s: float, margin_s: float) -> None:
        self.lease_s = lease_s
        self.margin_s = margin_s
        self.end = 0
        self.tenure: Tenure | None = None
        self.former_holders: list[str] = []
        self.is_uncertain = False
        self.unread_end = 0
        self.is_history_lost = False
        self.moved_at: float | None = None
        self.peer_end = 0
        self.peer_end_at = 0.0
        self.usage: dict[int, dict[str, int]] = {}
        self.reported = -1
        self.rollouts: dict[str, RolloutRecord] = {}

    def observe_end(self, end: int, now: float) -> None:
        """Record the log's end as read at `now`; a new end restarts the wait.

        If another node has reported the same end before, the log had changed by then,
        so the wait counts from the time of that report.
        """
        if end != self.end or self.moved_at is None:
            self.moved_at = self.peer_end_at if end == self.peer_end else now
        self.end = end

    def observe_peer_end(self, end: int, peer_end_at: float) -> None:
        """Record an end of the log that another node reported at `peer_end_at`."""
        if end > self.peer_end:
            self.peer_end = end
            self.peer_end_at = peer_end_at

    def fold(self, offset: int, record: DutyRecord) -> None:
        """Fold one record, in the log's order.

        Records of a former holder are ignored: they were appended after its tenure had
        ended.
        """
        if record.kind is DutyKind.CLAIM:
            self.is_uncertain = False
            self._begin_tenure(Tenure(record.holder, record.incarnation, offset + 1))
            self._fold_decisions(record)
            return
        if self.tenure is None or self.tenure.fence < record.fence <= self.unread_end:
            # The claim was not read; later records name the holder as well.
            self._begin_tenure(Tenure(record.holder, record.incarnation, record.fence))
        if not self._by_holder(record):
            return
        self._fold_decisions(record)
        if record.kind is DutyKind.RELEASE:
            self.tenure = Tenure(
                record.holder, record.incarnation, self.tenure.fence, released=True
            )
        elif record.kind is DutyKind.USAGE:
            window = int(record.body["window"])
            self.usage.setdefault(window, dict(record.body["counts"]))
            self.reported = max(self.reported, window)
            for old in sorted(self.usage)[:-12]:
                del self.usage[old]

    def _begin_tenure(self, tenure: Tenure) -> None:
        if self.tenure is not None:
            self.former_holders.append(self.tenure.holder)
            del self.former_holders[:-4]
        self.tenure = tenure

    def _fold_decisions(self, record: DutyRecord) -> None:
        """Take what a record tells of the decisions before it."""
        self.is_history_lost = False
        self.reported = max(self.reported, record.reported)
        self._fold_rollouts(record)

    def skip(self, offset: int) -> None:
        """Pass over a record that can't be read."""
        self.is_uncertain = True
        self.unread_end = offset + 1

    def skip_to(self, first: int) -> None:
        """Pass over the records before offset `first`, which the log has dropped."""
        self.is_uncertain = True
        self.is_history_lost = True
        self.unread_end = first

    def assume_reported(self, window: int) -> None:
        """Take the usage windows up to `window` as decided, with unknown counts."""
        self.reported = max(self.reported, window)

    def _fold_rollouts(self, record: DutyRecord) -> None:
        """Take the rollouts of a record; it has all that its writer knew."""
        for service, body in (record.body.get("rollouts") or {}).items():
            try:
                self.rollouts[service] = RolloutRecord.from_body(body)
            except (KeyError, TypeError, ValueError):
                continue  # written by a later version of the software

    def _by_holder(self, record: DutyRecord) -> bool:
        tenure = self.tenure
        return (tenure.holder, tenure.incarnation, tenure.fence) == (
            record.holder,
            record.incarnation,
            record.fence,
        )

    def may_claim(self, node: str, now: float) -> bool:
        """Return whether `node` may append a claim at the log's end.

        After a release no node has to wait, except one that held the duties recently.
        Without this exception the platform would see the duties alternate between two
        holders.
        """
        if self.moved_at is None:
            return False
        if self.is_uncertain:
            return self._lease_elapsed(now)
        if self.tenure is None:
            return True
        if self.tenure.released and node not in self.former_holders[-2:]:
            return self.tenure.holder != node or self._lease_elapsed(now)
        return self._lease_elapsed(now)

    def _lease_elapsed(self, now: float) -> bool:
        return now - self.moved_at >= self.lease_s + self.margin_s


@dataclass
class Lease:
    """A node's own lease of the duties.

    Attributes
    ----------
    fence : int
        The fencing token; 0 while the lease is not held.
    until : float
        End of the lease, in seconds on the boot clock.
    ending : bool
        Whether this node gives up the duties: it begins no call any more.
    unanswered_at : float
        When a call under the lease last ended without an answer, on the boot clock.
    """

    fence: int = 0
    until: float = 0.0
    ending: bool = False
    unanswered_at: float = float("-inf")

    def held(self, now: float) -> bool:
        """Return whether this node may perform the duties at `now`."""
        return self.fence > 0 and now < self.until and not self.ending

    def extend(self, fence: int, sent_at: float, log: DutyLog) -> None:
        """Extend the lease, counted from before its claim or renewal was sent."""
        self.fence = fence
        self.until = sent_at + log.lease_s - log.margin_s

    def is_settled(self, now: float, log: DutyLog) -> bool:
        """Return whether no call under the lease may arrive after `now`.

        A successor of a holder that died waits as long for its calls.
        """
        return now - self.unanswered_at > log.lease_s + log.margin_s

    def drop(self) -> None:
        """Give up the lease."""
        self.fence = 0
        self.until = 0.0
