"""Wrong variants of the specifications; the sweeps must refute each of them.

A check that can't fail proves nothing. Each mutant is one plausible mistake.
"""

from endive_core.claims import ClaimEvent, ClaimTable, ClaimVerdict
from endive_core.lifecycle import Event, State

from spec.claims import CRASHED, Append, ClaimsModel, fire, fire_claim


class ActsOnOwnClaim(ClaimsModel):
    """A node acts on its own claim without looking at the log's order."""

    def read_back(self, state, i, send):
        """Yield winning, whatever came before."""
        yield "won", fire_claim(fire(send, Event.WON), ClaimEvent.WON), ()


class GoesOnAfterNotRun(ClaimsModel):
    """A node tells its caller "not run" and goes on with the request."""

    def give_up_steps(self, state, i, send):
        """Yield the answer alone."""
        if send.life in (State.CLAIMING, State.CLAIMED) and not send.told:
            yield "refuse", send._replace(told="no"), ()


class ReleasesAfterDispatch(ClaimsModel):
    """A node whose connection was lost frees the key for the caller's next try."""

    def dispatch_steps(self, state, i, send):
        """Yield a release with the lost connection."""
        for label, after, appended in super().dispatch_steps(state, i, send):
            if label != "fail":
                yield label, after, appended
                continue
            yield label, after, (Append("release", i, send.tries),)


class ReleasesBeforeWithdrawing(ClaimsModel):
    """A node appends the release first and records that it gave up afterwards."""

    def give_up_steps(self, state, i, send):
        """Yield the release before the decision."""
        yield from super().give_up_steps(state, i, send)
        release = Append("release", i, send.tries)
        if send.life == State.CLAIMED and release not in (*state[0], *state[1]):
            yield "release", send, (release,)


class TakesOver(ClaimsModel):
    """A node takes over the claim of a holder that it believes dead."""

    def outcome(self, state, i, send):
        """Return a win if the holder is silent."""
        found = super().outcome(state, i, send)
        if found.verdict is ClaimVerdict.LOST:
            holder = int(found.holder.claim_id.split(".")[0])
            if state[2][holder].life == CRASHED:
                return type(found)(found.claim_id, ClaimVerdict.WON)
        return found


class ReusesClaimId(ClaimsModel):
    """A node makes its second try under the claim id of the first."""

    def number(self, send):
        """Return the same number for each try."""
        return 1


class BelievesLostConnection(ClaimsModel):
    """A node takes a lost connection for a server that did not start."""

    def connection_lost(self, send):
        """Answer "not run"."""
        return fire(self.not_started(send), Event.REFUSE)._replace(
            told="no", server=send.server
        )


class ReleaseByKeyTable(ClaimTable):
    """A table in which a release frees the key, whoever holds it."""

    def _unblock(self, key, claim_id):
        self.live.pop(key, None)


class ReleasesByKey(ClaimsModel):
    """The loser's release frees the winner's claim."""

    table_class = ReleaseByKeyTable


class ForgetfulTable(ClaimTable):
    """A table that ignores the release of a claim it does not hold yet."""

    def _release(self, time, release):
        if release.claim_id in self.entries:
            super()._release(time, release)


class IgnoresEarlyRelease(ClaimsModel):
    """A claim that lands after its release holds the key."""

    table_class = ForgetfulTable


CLAIM_MUTANTS = (
    ActsOnOwnClaim((1, 1)),
    GoesOnAfterNotRun((1, 1)),
    ReleasesAfterDispatch((1, 1)),
    ReleasesBeforeWithdrawing((1, 1)),
    TakesOver((1, 1)),
    ReusesClaimId((2, 1)),
    BelievesLostConnection((1, 1)),
    ReleasesByKey((1, 1, 1)),
    IgnoresEarlyRelease((1, 1)),
)
