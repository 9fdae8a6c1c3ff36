"""One holder at a time for a duty, decided by the order of a log.

A holder's claim is a record appended at the log's known end, so of two claims one
fails. Its offset is the fencing number. Whoever wants to take over waits for the whole
lease after it has read the newest record, and appends at that end: a renewal in the
meantime moves the end, and the claim fails. The holder counts its lease from before
it sent the renewal. So the two never overlap, without any agreement of clocks.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any


class DutyKind(StrEnum):
    """What a record of the duties' log says."""

    CLAIM = "claim"
    RENEWAL = "renewal"
    RELEASE = "release"
    USAGE = "usage"


@dataclass(frozen=True, slots=True)
class DutyRecord:
    """One record of the duties' log.

    Attributes
    ----------
    holder : str
        The node that wrote it.
    incarnation : int
        Which start of that node.
    fence : int
        Fencing number of the holder's claim; 0 in the claim itself.
    reported : int
        Newest window of usage that is decided, so that it is known also when the
        record that decided it is forgotten.
    body : dict
        What the record's kind adds.
    """

    kind: DutyKind
    holder: str
    incarnation: int
    fence: int = 0
    reported: int = -1
    body: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Tenure:
    """Who holds the duties, by the newest claim."""

    holder: str
    incarnation: int
    fence: int
    released: bool = False


class DutyLog:
    """What the duties' log says so far, and when this node last saw it move.

    Parameters
    ----------
    lease_s : float
        Time after its last record that a holder may act, seconds.
    margin_s : float
        Part of it that the holder leaves unused: its clock may run a little slower
        than the successor's, and a call takes time to arrive.
    """

    def __init__(self, *, lease_s: float, margin_s: float) -> None:
        self.lease_s = lease_s
        self.margin_s = margin_s
        self.end = 0
        self.tenure: Tenure | None = None
        self.former_holders: list[str] = []
        self.moved_at: float | None = None
        self.peer_end = 0
        self.peer_end_at = 0.0
        self.usage: dict[int, dict[str, int]] = {}
        self.reported = -1

    def see_end(self, end: int, now: float) -> None:
        """Note the log's end as read at `now`; a log that moved starts the wait.

        It moved before another node told of that end, so the wait counts from then.
        """
        if end != self.end or self.moved_at is None:
            self.moved_at = self.peer_end_at if end == self.peer_end else now
        self.end = end

    def hear_end(self, end: int, peer_end_at: float) -> None:
        """Note an end of the log that another node told of at `peer_end_at`."""
        if end > self.peer_end:
            self.peer_end = end
            self.peer_end_at = peer_end_at

    def fold(self, offset: int, record: DutyRecord) -> None:
        """Take over one record, in the log's order.

        Records of a holder that has lost its tenure are void: they were appended late.
        """
        if record.kind is DutyKind.CLAIM:
            if self.tenure is not None:
                self.former_holders.append(self.tenure.holder)
                del self.former_holders[:-4]
            self.tenure = Tenure(record.holder, record.incarnation, offset + 1)
            return
        if self.tenure is None:
            # The claim is forgotten, and what follows it tells as much.
            self.tenure = Tenure(record.holder, record.incarnation, record.fence)
        if not self._by_holder(record):
            return
        self.reported = max(self.reported, record.reported)
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

    def _by_holder(self, record: DutyRecord) -> bool:
        tenure = self.tenure
        return (tenure.holder, tenure.incarnation, tenure.fence) == (
            record.holder,
            record.incarnation,
            record.fence,
        )

    def may_claim(self, node: str, now: float) -> bool:
        """Return whether `node` may append a claim at the end.

        After a release nobody has to wait, but for a node that held the duties a
        short while ago: the platform would see the holders change back and forth.
        """
        if self.moved_at is None:
            return False
        if self.tenure is None:
            return True
        if self.tenure.released and node not in self.former_holders[-2:]:
            return self.tenure.holder != node or self._lease_elapsed(now)
        return self._lease_elapsed(now)

    def _lease_elapsed(self, now: float) -> bool:
        return now - self.moved_at >= self.lease_s + self.margin_s


@dataclass
class Lease:
    """The hold that a node has itself of the duties.

    Attributes
    ----------
    fence : int
        The fencing number; 0 while not held.
    until : float
        Time on the boot clock until which it may act, seconds.
    """

    fence: int = 0
    until: float = 0.0

    def held(self, now: float) -> bool:
        """Return whether this node may act at `now`."""
        return self.fence > 0 and now < self.until

    def extend(self, fence: int, sent_at: float, log: DutyLog) -> None:
        """Count the lease from before the record in its favour was sent."""
        self.fence = fence
        self.until = sent_at + log.lease_s - log.margin_s

    def drop(self) -> None:
        """Act no more."""
        self.fence = 0
        self.until = 0.0
