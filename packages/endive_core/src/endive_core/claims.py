"""Claims of the exclusive right to run a non-idempotent request.

Without them a request can run twice, sent by two nodes, when its caller repeats it
while the first node is paused or after the first node's answer was lost. A node appends
a claim of the request's key to a log stream before it sends the request, and only the
node whose claim comes first in the log may send. A claim is never taken over by another
node, so correctness depends on neither clocks nor leases.

Claims are decided by folding the records of one shard's stream in order. Take two
unreleased claims of one key whose records are less than the window apart: the fold
that decides the later claim contains the earlier one, so the later claim loses. For
this a fold only has to contain every record of the window before the claim that it
decides; two folds need not keep records for equally long.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum

from endive_core.charts import IllegalEventError, compile_chart, load_chart
from endive_core.hashing import shard_of
from endive_core.records import Claim, Release

CLAIM_SHARDS = 32
"""Number of log streams that claims are sharded over. A key must map to the same stream
on every node, so this is a constant and not a setting. With 320 appends per second
shared by 32 writers, each writer appends every 0.1 s. If an eighth of 27,000 requests
per second need a claim, each writer handles about 100 claims per second."""

CLAIM_WINDOW_S = 3600.0
"""Default time for which a claim holds its key, in seconds. A writer's memory limits
it: every claim within the window takes less than a kilobyte there."""


def claim_shard(key: str) -> int:
    """Return the shard whose stream contains the claims of `key`."""
    return shard_of(key, CLAIM_SHARDS)


class ClaimVerdict(StrEnum):
    """The decision on a claim, which follows from its position in the log."""

    WON = "won"
    LOST = "lost"
    VOID = "void"


@dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """The decision on one claim, and the claim that it lost to.

    Attributes
    ----------
    holder : Claim or None
        For a lost claim, the earliest unreleased claim of the key; otherwise ``None``.
    """

    claim_id: str
    verdict: ClaimVerdict
    holder: Claim | None = None


@dataclass(slots=True)
class _Entry:
    time: float
    claim: Claim
    verdict: ClaimVerdict
    holder: Claim | None

    def outcome(self) -> ClaimOutcome:
        return ClaimOutcome(self.claim.claim_id, self.verdict, self.holder)


class ClaimTable:
    """All claims of one shard within the window, and the decision on each.

    A claim wins if and only if the window before it contains no other unreleased claim
    of its key and no release of the claim itself. A lost claim also blocks later
    claims until its owner releases it. Otherwise two claims could win: one in a table
    that still contains the first holder, the other in a table that has already expired
    it. A decision never changes, so a reader may act on it at any later time.

    Parameters
    ----------
    window_s : float
        Time for which a claim holds its key, in seconds of the log's own clock; must
        be shorter than the time for which the log keeps records.

    Attributes
    ----------
    offset : int
        The highest offset folded; -1 before the first record.
    """

    def __init__(self, window_s: float = CLAIM_WINDOW_S) -> None:
        self.window_s = window_s
        self.offset = -1
        self.entries: OrderedDict[str, _Entry] = OrderedDict()
        self.unreleased: dict[str, tuple[Claim, ...]] = {}
        self.released: OrderedDict[str, float] = OrderedDict()

    def apply(
        self, offset: int, time: float, record: Claim | Release
    ) -> ClaimOutcome | None:
        """Fold one record; return the outcome if the record is a claim.

        Parameters
        ----------
        offset : int
            Offset of the record; records at or below :attr:`offset` are ignored.
        time : float
            When the log accepted the record, in seconds of the log's own clock.
        """
        if offset <= self.offset:
            return None
        self.offset = offset
        self._expire(time - self.window_s)
        if isinstance(record, Release):
            self._release(time, record)
            return None
        return self._decide(time, record)

    def outcome(self, claim_id: str) -> ClaimOutcome | None:
        """Return the decision on a claim, or ``None`` if the claim is unknown."""
        entry = self.entries.get(claim_id)
        return entry.outcome() if entry else None

    def _release(self, time: float, release: Release) -> None:
        self.released.setdefault(release.claim_id, time)
        self._unblock(release.key, release.claim_id)

    def _decide(self, time: float, claim: Claim) -> ClaimOutcome:
        entry = self.entries.get(claim.claim_id)
        if entry is None:
            entry = _Entry(time, claim, *self._verdict(claim))
            self.entries[claim.claim_id] = entry
            if entry.verdict is not ClaimVerdict.VOID:
                self.unreleased[claim.key] = (
                    *self.unreleased.get(claim.key, ()),
                    claim,
                )
        return entry.outcome()

    def _verdict(self, claim: Claim) -> tuple[ClaimVerdict, Claim | None]:
        if claim.claim_id in self.released:
            return ClaimVerdict.VOID, None
        others = self.unreleased.get(claim.key)
        if others:
            return ClaimVerdict.LOST, others[0]
        return ClaimVerdict.WON, None

    def _unblock(self, key: str, claim_id: str) -> None:
        left = tuple(c for c in self.unreleased.get(key, ()) if c.claim_id != claim_id)
        if left:
            self.unreleased[key] = left
        else:
            self.unreleased.pop(key, None)

    def _expire(self, before: float) -> None:
        # Without expiry a writer's memory grows with every claim ever made, and a node
        # that has run for days refuses keys that a newly started node accepts.
        while self.entries:
            entry = next(iter(self.entries.values()))
            if entry.time >= before:
                break
            del self.entries[entry.claim.claim_id]
            self._unblock(entry.claim.key, entry.claim.claim_id)
        while self.released and next(iter(self.released.values())) < before:
            self.released.popitem(last=False)


class ClaimState(StrEnum):
    """State of a claim on the node that made it."""

    PENDING = "pending"
    HELD = "held"
    USED = "used"
    WITHDRAWN = "withdrawn"


class ClaimEvent(StrEnum):
    """Event in the life of a claim on the node that made it."""

    WON = "won"
    LOST = "lost"
    WITHDRAW = "withdraw"
    USE = "use"
    NOT_STARTED = "not_started"


@dataclass(frozen=True)
class NoFlags:
    """The flags of a claim: none, since its chart has no guards."""


CLAIM_TABLE = compile_chart(load_chart("claim"), [NoFlags()])


class Claimant:
    """The state machine of one request's claim, on the node that made the claim.

    A node that tells a caller "not run" must never send the request afterwards. So it
    first changes the state to ``withdrawn``, after which :meth:`use` fails, and only
    then appends the release that :meth:`withdraw` returned. Each attempt at a key
    makes a new claim with a new id.

    Attributes
    ----------
    claim : Claim
        The record to append; appending it twice is harmless.
    holder : Claim or None
        Once the claim is lost, the claim that it lost to.
    """

    __slots__ = ("claim", "holder", "state")

    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.state = ClaimState.PENDING
        self.holder: Claim | None = None

    def settle(self, outcome: ClaimOutcome) -> Release | None:
        """Apply the log's decision; return a release to append if the claim lost.

        A decision that arrives after the claim was withdrawn has no effect.
        """
        if self.state is not ClaimState.PENDING:
            return None
        if outcome.verdict is ClaimVerdict.WON:
            self._fire(ClaimEvent.WON)
            return None
        self.holder = outcome.holder
        self._fire(ClaimEvent.LOST)
        return self._release()

    def use(self) -> None:
        """Record that the request is about to be sent under this claim.

        Raises
        ------
        IllegalEventError
            If the claim is not held; the request must not be sent then.
        """
        self._fire(ClaimEvent.USE)

    def not_started(self) -> None:
        """Record that the server has certainly not started the request."""
        self._fire(ClaimEvent.NOT_STARTED)

    def withdraw(self) -> Release:
        """Withdraw the claim for good and return the release to append.

        Raises
        ------
        IllegalEventError
            If the request was sent: a release would let another node run it again.
        """
        self._fire(ClaimEvent.WITHDRAW)
        return self._release()

    def _release(self) -> Release:
        return Release(self.claim.claim_id, self.claim.key)

    def _fire(self, event: ClaimEvent) -> None:
        step = CLAIM_TABLE.get((NoFlags(), self.state, event))
        if step is None:
            raise IllegalEventError(
                f"event {event} not allowed in claim state {self.state}"
            )
        self.state = ClaimState(step[0])
