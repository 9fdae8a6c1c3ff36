"""Claims of the right to run a non-idempotent request, folded from a shard's stream.

The harm this prevents: two nodes send the same court confirmation, because its caller
sent it again while the first node was paused or its answer was lost. Only the node
whose claim comes first in the log may send, and nobody ever takes a claim over, so
neither clocks nor leases matter.
"""

from dataclasses import dataclass
from enum import StrEnum

from endive_core.records import Claim, Release


class ClaimVerdict(StrEnum):
    """How the log's order decided a claim."""

    WON = "won"
    LOST = "lost"
    VOID = "void"


@dataclass(frozen=True)
class ClaimOutcome:
    """The decision on one claim, and the claim that holds the key after it."""

    claim_id: str
    verdict: ClaimVerdict
    holder: Claim | None


class ClaimTable:
    """Every key of one shard within the log's retention, and who holds it.

    A claim wins exactly if no claim holds its key at its own offset and it was not
    released before. The decision never changes afterwards: a later release frees the
    key for later claims only, since an earlier loser was told that it lost.
    """

    def __init__(self) -> None:
        self.offset = -1
        self.holders: dict[str, Claim] = {}
        self.outcomes: dict[str, ClaimOutcome] = {}
        self.released: set[str] = set()

    def apply(self, offset: int, record: Claim | Release) -> ClaimOutcome | None:
        """Fold one record; return the outcome if it is a claim."""
        if offset <= self.offset:
            return None
        self.offset = offset
        if isinstance(record, Release):
            self._release(record)
            return None
        return self._decide(record)

    def _release(self, release: Release) -> None:
        self.released.add(release.claim_id)
        holder = self.holders.get(release.key)
        if holder is not None and holder.claim_id == release.claim_id:
            del self.holders[release.key]

    def _decide(self, claim: Claim) -> ClaimOutcome:
        known = self.outcomes.get(claim.claim_id)
        if known is not None:
            return known
        holder = self.holders.get(claim.key)
        if claim.claim_id in self.released:
            outcome = ClaimOutcome(claim.claim_id, ClaimVerdict.VOID, holder)
        elif holder is None:
            self.holders[claim.key] = claim
            outcome = ClaimOutcome(claim.claim_id, ClaimVerdict.WON, claim)
        else:
            outcome = ClaimOutcome(claim.claim_id, ClaimVerdict.LOST, holder)
        self.outcomes[claim.claim_id] = outcome
        return outcome
