"""Wrong variants of the specifications; the sweeps must refute each of them.

A check that can't fail proves nothing. Each mutant is one plausible mistake.
"""

from endive_core.claims import ClaimEvent, ClaimTable, ClaimVerdict
from endive_core.fold import ConfigurationFold
from endive_core.lifecycle import Event, State
from endive_core.records import Change, Snapshot, decode

from spec.claims import CRASHED, Append, ClaimsModel, fire, fire_claim
from spec.configuration import CHANGES, ConfigurationModel, fold_one, read, write
from spec.handover import HandoverModel


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
        self.unreleased.pop(key, None)


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


class StartsAfterSnapshotRecord(ConfigurationModel):
    """A node goes on after the snapshot's own record, not after what it holds."""

    def start(self, log, first):
        """Return the snapshot's state as if it were that of its own offset."""
        for offset in range(len(log) - 1, first - 1, -1):
            record = decode(log[offset])
            if isinstance(record, Snapshot):
                held = ConfigurationFold.from_snapshot(record)
                held.offset = offset
                return write(held)
        return super().start(log, first)


class SkipsForgottenRecords(ConfigurationModel):
    """A node that fell behind goes on from the oldest record still kept."""

    def node_steps(self, state, node, i):
        """Yield stepping over the gap."""
        yield from super().node_steps(state, node, i)
        if node.state and read(node.state).offset + 1 < state[1]:
            held = ConfigurationFold.from_snapshot(decode(node.state))
            held.offset = state[1] - 1
            yield "skip", node._replace(state=write(held))


class PullsFromAnyPeer(ConfigurationModel):
    """A node takes the state of any peer, also of one that lags."""

    def better(self, found, held):
        """Return whether there is a difference."""
        return found != held


class TellsOnAppend(ConfigurationModel):
    """An operator is told "applied" once the change is in the log."""

    def outcome(self, state, i):
        """Return success without reading back."""
        ids = [getattr(decode(record), "change_id", "") for record in state[0]]
        if CHANGES[i].change_id not in ids:
            return ()
        return ("applied", ids.index(CHANGES[i].change_id))


class ForgetsChangeIds(ConfigurationModel):
    """A node starts from a snapshot without the change ids decided before."""

    def start(self, log, first):
        """Return the state without its outcomes."""
        found = super().start(log, first)
        if not found:
            return found
        held = ConfigurationFold.from_snapshot(decode(found))
        held.outcomes.clear()
        return write(held)


class IgnoresExpectedVersion(ConfigurationModel):
    """A node lets the last writer win."""

    def fold(self, state, record):
        """Apply a change whatever its writer had seen."""
        decoded = decode(record)
        if not isinstance(decoded, Change):
            return fold_one(state, record)
        fold = ConfigurationFold.from_snapshot(decode(state))
        blind = Change(decoded.change_id, decoded.kind, decoded.name, body=decoded.body)
        fold.apply(fold.offset + 1, blind)
        return write(fold)


FOLD_MUTANTS = (
    StartsAfterSnapshotRecord(),
    SkipsForgottenRecords(),
    PullsFromAnyPeer(),
    TellsOnAppend(),
    ForgetsChangeIds(changes=1, copies=2),
    IgnoresExpectedVersion(),
)


class RefusesAfterRecord(HandoverModel):
    """A node refuses as not run what it has already sent a record of."""

    def offered(self, state, i, node, record):
        """Send the record and note nothing."""
        return self.changed(state, i, node, send=[record])


class TrustsRecord(HandoverModel):
    """A node whose sender fell silent believes that nothing was sent since."""

    def holder_silent(self, node):
        """Go on as if the record still told the state."""
        return self.gone_on(node, False)


class PassesClaim(HandoverModel):
    """A claim goes along with the request, and back if no answer came."""

    def freed(self, state, i, node):
        """Keep the register."""
        return self.changed(state, i, node)

    def gone_on(self, node, sent_before):
        """Use the sender's claim."""
        return super().gone_on(node, sent_before)._replace(life=State.CLAIMED)


class MovesWithoutConfirmation(HandoverModel):
    """A stream moves although its server did not confirm that it stopped."""

    def stop_steps(self, state, i, node, j):
        """Yield handing over while the server runs on."""
        for label, (nodes, sent, claimed) in super().stop_steps(state, i, node, j):
            left = nodes[i]._replace(server=node.server)
            yield label, ((*nodes[:i], left, *nodes[i + 1 :]), sent, claimed)


class BelievesSilence(HandoverModel):
    """A node runs a non-idempotent request whose sender fell silent."""

    def holder_silent(self, node):
        """Go on without a word from the sender, under a claim of its own key."""
        return self.gone_on(node, True)._replace(life=State.CLAIMED)


HANDOVER_MUTANTS = (
    RefusesAfterRecord(False, count=2),
    TrustsRecord(False, count=2),
    PassesClaim(True),
    MovesWithoutConfirmation(True),
    BelievesSilence(True),
)
