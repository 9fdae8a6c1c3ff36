"""Mutants of the specifications; the checks must refute each of them.

A check that can't fail proves nothing. Each mutant has one plausible fault.
"""

from endive_core.claims import ClaimEvent, ClaimTable, ClaimVerdict
from endive_core.fold import ConfigurationFold
from endive_core.lifecycle import Event, State
from endive_core.records import Change, Snapshot, decode

from spec.claims import CRASHED, Append, ClaimsModel, fire, fire_claim
from spec.configuration import (
    CHANGES,
    ConfigurationModel,
    decode_fold,
    encode_fold,
    fold_one,
)
from spec.handover import HandoverModel


class ActsOnOwnClaim(ClaimsModel):
    """A node acts on its own claim and ignores the order of claims in the log."""

    def read_back(self, state, i, submission):
        """Yield winning, whatever claims precede."""
        yield "won", fire_claim(fire(submission, Event.WON), ClaimEvent.WON), ()


class GoesOnAfterNotRun(ClaimsModel):
    """A node tells its caller "not run" and continues the request."""

    def give_up_steps(self, state, i, submission):
        """Yield the refusal without ending the request."""
        if (
            submission.lifecycle in (State.CLAIMING, State.CLAIMED)
            and not submission.executed
        ):
            yield "refuse", submission._replace(executed="no"), ()


class ReleasesAfterDispatch(ClaimsModel):
    """A node that lost its connection to the server frees the key for a retry."""

    def dispatch_steps(self, state, i, submission):
        """Yield a release when the connection is lost."""
        for label, after, appended in super().dispatch_steps(state, i, submission):
            if label != "fail":
                yield label, after, appended
                continue
            yield label, after, (Append("release", i, submission.tries),)


class ReleasesBeforeWithdrawing(ClaimsModel):
    """A node appends the release before it withdraws its claim locally."""

    def give_up_steps(self, state, i, submission):
        """Yield the release before the claim is withdrawn."""
        yield from super().give_up_steps(state, i, submission)
        release = Append("release", i, submission.tries)
        if submission.lifecycle == State.CLAIMED and release not in (
            *state[0],
            *state[1],
        ):
            yield "release", submission, (release,)


class TakesOver(ClaimsModel):
    """A node takes over the claim of a holder that it presumes dead."""

    def outcome(self, state, i, submission):
        """Return a win if the holder crashed."""
        found = super().outcome(state, i, submission)
        if found.verdict is ClaimVerdict.LOST:
            holder = int(found.holder.claim_id.split(".")[0])
            if state[2][holder].lifecycle == CRASHED:
                return type(found)(found.claim_id, ClaimVerdict.WON)
        return found


class ReusesClaimId(ClaimsModel):
    """A node makes its second claim under the id of the first."""

    def number(self, submission):
        """Return the same number for each claim."""
        return 1


class BelievesLostConnection(ClaimsModel):
    """A node treats a lost connection as a server that did not start."""

    def connection_lost(self, submission):
        """Respond "not run"."""
        return fire(self.not_started(submission), Event.REFUSE)._replace(
            executed="no", server=submission.server
        )


class ReleaseByKeyTable(ClaimTable):
    """A table in which a release frees the key, whichever claim holds it."""

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
    """A claim that is appended after its release holds the key."""

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
    """A node continues after the snapshot's own offset, not after the one it covers."""

    def start_state(self, log, first_offset):
        """Return the snapshot's state with the offset of the snapshot's record."""
        for offset in range(len(log) - 1, first_offset - 1, -1):
            record = decode(log[offset])
            if isinstance(record, Snapshot):
                held = ConfigurationFold.from_snapshot(record)
                held.offset = offset
                return encode_fold(held)
        return super().start_state(log, first_offset)


class SkipsForgottenRecords(ConfigurationModel):
    """A node that lags continues from the oldest record that the log retains."""

    def node_steps(self, state, node, i):
        """Yield skipping the records that the log no longer keeps."""
        yield from super().node_steps(state, node, i)
        if node.state and decode_fold(node.state).offset + 1 < state[1]:
            held = ConfigurationFold.from_snapshot(decode(node.state))
            held.offset = state[1] - 1
            yield "skip", node._replace(state=encode_fold(held))


class PullsFromAnyPeer(ConfigurationModel):
    """A node adopts the state of any peer, even of one that lags."""

    def should_adopt(self, found, held):
        """Return whether the states differ."""
        return found != held


class TellsOnAppend(ConfigurationModel):
    """A change is reported as "applied" as soon as it is in the log."""

    def outcome(self, state, i):
        """Return success without reading the decision."""
        ids = [getattr(decode(record), "change_id", "") for record in state[0]]
        if CHANGES[i].change_id not in ids:
            return ()
        return ("applied", ids.index(CHANGES[i].change_id))


class ForgetsChangeIds(ConfigurationModel):
    """A node starts from a snapshot without the outcomes of earlier change ids."""

    def start_state(self, log, first_offset):
        """Return the state without its outcomes."""
        found = super().start_state(log, first_offset)
        if not found:
            return found
        held = ConfigurationFold.from_snapshot(decode(found))
        held.outcomes.clear()
        return encode_fold(held)


class IgnoresExpectedVersion(ConfigurationModel):
    """A node applies every change, so that the last writer wins."""

    def fold(self, state, record):
        """Apply a change whatever version it expects."""
        decoded = decode(record)
        if not isinstance(decoded, Change):
            return fold_one(state, record)
        fold = ConfigurationFold.from_snapshot(decode(state))
        unconditional = Change(
            decoded.change_id, decoded.kind, decoded.name, body=decoded.body
        )
        fold.apply(fold.offset + 1, unconditional)
        return encode_fold(fold)


FOLD_MUTANTS = (
    StartsAfterSnapshotRecord(),
    SkipsForgottenRecords(),
    PullsFromAnyPeer(),
    TellsOnAppend(),
    ForgetsChangeIds(changes=1, copies=2),
    IgnoresExpectedVersion(),
)


class RefusesAfterRecord(HandoverModel):
    """A node refuses as not run a request whose record it has already sent."""

    def with_record_sent(self, state, i, node, record):
        """Send the record without a transition of the state chart."""
        return self.with_changes(state, i, node, new_messages=[record])


class TrustsRecord(HandoverModel):
    """A node whose sender fell silent assumes that the record is still current."""

    def holder_silent(self, node):
        """Continue as if the sender had not dispatched since the record."""
        return self.as_owner(node, False)


class PassesClaim(HandoverModel):
    """A claim is passed on with the request, and kept if no reply came."""

    def with_claim_released(self, state, i, node):
        """Keep the claim."""
        return self.with_changes(state, i, node)

    def as_owner(self, node, sent_before):
        """Continue under the sender's claim."""
        return super().as_owner(node, sent_before)._replace(lifecycle=State.CLAIMED)


class MovesWithoutConfirmation(HandoverModel):
    """A request is handed over though its server did not confirm that it stopped."""

    def stop_steps(self, state, i, node, j):
        """Yield handing over while the server still runs the attempt."""
        for label, (nodes, sent, claimed) in super().stop_steps(state, i, node, j):
            still_running = nodes[i]._replace(server=node.server)
            yield label, ((*nodes[:i], still_running, *nodes[i + 1 :]), sent, claimed)


class BelievesSilence(HandoverModel):
    """A node runs a non-idempotent request whose sender fell silent."""

    def holder_silent(self, node):
        """Continue without the partial response, under a claim of a key of its own."""
        return self.as_owner(node, True)._replace(lifecycle=State.CLAIMED)


HANDOVER_MUTANTS = (
    RefusesAfterRecord(False, count=2),
    TrustsRecord(False, count=2),
    PassesClaim(True),
    MovesWithoutConfirmation(True),
    BelievesSilence(True),
)
