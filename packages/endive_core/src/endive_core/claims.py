"""Claims of the right to run a non-idempotent request, folded from a shard's stream.

The harm this prevents: two nodes send the same court confirmation, because its caller
sent it again while the first node was paused or its answer was lost. Only the node
whose claim comes first in the log may send, and nobody ever takes a claim over, so
neither clocks nor leases matter.

Why it holds: of two claims of one key that were not released and whose records are
less than the window apart, the later one's fold holds the earlier one, so the later
one loses. That needs of a fold only that it holds every record of the window before
the claim it decides; two folds need not remember equally much.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum

from endive_core.charts import IllegalEventError, compile_chart, load_chart
from endive_core.hashing import shard_of
from endive_core.records import Claim, Release

SHARDS = 32
"""Streams of claims. A key must fall in the same stream on every node, so this is no
setting. 32 writers sharing 320 appends a second append every 0.1 s each, and a stream
of an eighth of 27,000 requests a second brings its writer about 100 claims a second."""

WINDOW_S = 3600.0
"""How long a claim holds its key, in seconds, where the settings don't say. Bounded by
a writer's memory: every claim within the window costs it less than a kilobyte."""


def claim_shard(key: str) -> int:
    """Return the shard whose stream orders the claims of `key`."""
    return shard_of(key, SHARDS)


class ClaimVerdict(StrEnum):
    """How the log's order decided a claim."""

    WON = "won"
    LOST = "lost"
    VOID = "void"


@dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """The decision on one claim, and the claim that was in its way.

    Attributes
    ----------
    holder : Claim or None
        For a lost claim the earliest unreleased claim of the key, else ``None``.
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
    """Every claim of one shard within the window, and how each was decided.

    A claim wins exactly if the window before it holds no other unreleased claim of its
    key and no release of its own. A claim that lost stands in the way of later ones
    too, until its owner releases it: otherwise two tables of which one remembers a
    holder that the other forgot could let two claims win. The decision never changes
    afterwards, so whoever reads it back may act on it however late.

    Parameters
    ----------
    window_s : float
        Seconds of the log's own time that a claim holds its key; must be below the
        time for which the log keeps records.

    Attributes
    ----------
    offset : int
        The highest offset folded; -1 before the first record.
    """

    def __init__(self, window_s: float = WINDOW_S) -> None:
        self.window_s = window_s
        self.offset = -1
        self.entries: OrderedDict[str, _Entry] = OrderedDict()
        self.live: dict[str, tuple[Claim, ...]] = {}
        self.released: OrderedDict[str, float] = OrderedDict()

    def apply(
        self, offset: int, time: float, record: Claim | Release
    ) -> ClaimOutcome | None:
        """Fold one record; return the outcome if it is a claim.

        Parameters
        ----------
        offset : int
            Records at or below :attr:`offset` are ignored.
        time : float
            When the log took the record, in seconds by the log's own clock.
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
        """Return how a claim was decided, or ``None`` if the table holds none."""
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
                self.live[claim.key] = (*self.live.get(claim.key, ()), claim)
        return entry.outcome()

    def _verdict(self, claim: Claim) -> tuple[ClaimVerdict, Claim | None]:
        if claim.claim_id in self.released:
            return ClaimVerdict.VOID, None
        others = self.live.get(claim.key)
        if others:
            return ClaimVerdict.LOST, others[0]
        return ClaimVerdict.WON, None

    def _unblock(self, key: str, claim_id: str) -> None:
        left = tuple(c for c in self.live.get(key, ()) if c.claim_id != claim_id)
        if left:
            self.live[key] = left
        else:
            self.live.pop(key, None)

    def _expire(self, before: float) -> None:
        # Without this a writer's memory grows with every claim ever made, and a node
        # that has run for days would refuse keys that a fresh one accepts.
        while self.entries:
            entry = next(iter(self.entries.values()))
            if entry.time >= before:
                break
            del self.entries[entry.claim.claim_id]
            self._unblock(entry.claim.key, entry.claim.claim_id)
        while self.released and next(iter(self.released.values())) < before:
            self.released.popitem(last=False)


class ClaimState(StrEnum):
    """Where a claim is at the node that made it."""

    PENDING = "pending"
    HELD = "held"
    USED = "used"
    WITHDRAWN = "withdrawn"


class ClaimEvent(StrEnum):
    """What can happen to a claim at the node that made it."""

    WON = "won"
    LOST = "lost"
    WITHDRAW = "withdraw"
    USE = "use"
    NOT_STARTED = "not_started"


@dataclass(frozen=True)
class NoFlags:
    """The claim's chart has no guards."""


CLAIM_TABLE = compile_chart(load_chart("claim"), [NoFlags()])


class Claimant:
    """One request's claim of its key, at the node that may send the request.

    The order of its steps is what keeps "not run" true: a node first takes the step to
    ``withdrawn``, after which :meth:`use` fails, and only then may write the release
    that this step returned. Each attempt at a key makes a new claim with a new id.

    Attributes
    ----------
    claim : Claim
        The record to append; appending it twice does no harm.
    holder : Claim or None
        Once lost, the claim that was in the way.
    """

    __slots__ = ("claim", "holder", "state")

    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.state = ClaimState.PENDING
        self.holder: Claim | None = None

    def settle(self, outcome: ClaimOutcome) -> Release | None:
        """Take the log's decision; return a record to append if the claim lost.

        A decision that comes after the claim was withdrawn changes nothing.
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
        """Note that the request is about to be sent under this claim.

        Raises
        ------
        IllegalEventError
            Unless the claim is held: nothing may be sent then.
        """
        self._fire(ClaimEvent.USE)

    def not_started(self) -> None:
        """Note that the server certainly did not start what was sent."""
        self._fire(ClaimEvent.NOT_STARTED)

    def withdraw(self) -> Release:
        """Give the claim up for good and return the record to append.

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
            raise IllegalEventError(f"{event} in {self.state}")
        self.state = ClaimState(step[0])
