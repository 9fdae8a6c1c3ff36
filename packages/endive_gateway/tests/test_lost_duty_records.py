"""Holders of the duties whose records the store drops before a successor reads them."""

import pytest
from duty_builders import WALL, WINDOW_S, Clock, Node, begin
from endive_core.rollouts import RolloutOrder, RolloutRecord, Stage, StageKind
from endive_gateway.duties import LEASE_MARGIN_S, LEASE_S
from endive_gateway.interfaces import Topic
from store_builders import MemoryStore, RecordingCloud

WINDOW = int(WALL // WINDOW_S)
PAST_LEASE_S = LEASE_S + LEASE_MARGIN_S + 0.1
ORDER = RolloutOrder("s", "v2", 30.0, 5, 1.5)
LATER_CLAIM = b'{"kind": "claim of a later version"}'


class Succession:
    """Two nodes, of which the first held the duties before the second.

    Attributes
    ----------
    first, second : Node
        The first reads the log again only once the second has ended.
    """

    def __init__(self, clock):
        self.clock, self.store, self.cloud = clock, MemoryStore(), RecordingCloud()
        self.first, self.second = (
            Node(name, self.store, self.cloud) for name in ("a", "b")
        )
        self.first.step()
        self.second.step()
        clock.time += PAST_LEASE_S
        self.second.step()
        assert self.second.holds

    @property
    def records(self):
        """Return the records of the duties' log."""
        return self.store.topics[Topic.DUTIES]

    def decide(self):
        """Let the second node report a usage window and advance a rollout."""
        begin(self.second, WINDOW, 3)
        record = RolloutRecord(ORDER, Stage(StageKind.ALL, number=7))
        self.second.duties.log.rollouts["s"] = record
        for node in (self.first, self.second):
            node.context.rollouts.learn_orders([ORDER], 6, None)
        self.first.context.rollouts.set_stage("s", ORDER.offset, record.stage)
        self.second.at(WALL + WINDOW_S + 2)
        self.second.step()
        assert [window for _, _, window, _ in self.cloud.usage][-1] == WINDOW

    def succeed(self):
        """Let the first node take the duties when the second has ended."""
        begin(self.first, WINDOW, 9)
        self.first.at(WALL + WINDOW_S + 3)
        for _ in range(4):
            self.clock.time += PAST_LEASE_S
            self.first.duties._try_step()
            if self.first.holds:
                break
        self.first.duties._try_step()

    def counts(self):
        """Return the different counts that were reported for the window."""
        usage = self.cloud.usage
        return {tuple(c.items()) for _, _, window, c in usage if window == WINDOW}


@pytest.fixture
def succession(monkeypatch):
    return Succession(Clock.installed(monkeypatch))


def test_a_holder_whose_claim_was_dropped_is_not_taken_for_a_former_one(succession):
    """Two reports of one window with different counts reached the platform."""
    claim_end = len(succession.records)
    succession.decide()
    succession.store.kept_from[Topic.DUTIES] = claim_end
    succession.succeed()
    assert succession.first.holds
    assert succession.counts() == {(("o", 3),)}


def test_a_holder_whose_claim_could_not_be_read_is_not_taken_for_a_former_one(
    succession,
):
    """The claim of a node with later software; its other records could be read."""
    claim = succession.records[-1]
    succession.decide()
    succession.records[claim.offset] = type(claim)(claim.offset, "", LATER_CLAIM)
    succession.succeed()
    assert succession.counts() == {(("o", 3),)}


def test_a_window_that_a_dropped_record_may_have_decided_is_not_reported_again(
    succession,
):
    succession.decide()
    succession.store.kept_from[Topic.DUTIES] = len(succession.records)
    succession.succeed()
    assert succession.first.holds
    assert succession.counts() == {(("o", 3),)}
    succession.first.at(WALL + 3 * WINDOW_S + 2)
    succession.first.step()
    assert succession.cloud.usage[-1][2] > WINDOW


@pytest.mark.parametrize("kept", ["a usage record", "none"])
def test_a_rollout_does_not_go_back_after_records_were_dropped(succession, kept):
    """The successor announced a stage that the former holder had left again."""
    claim_end = len(succession.records)
    succession.decide()
    is_empty = kept == "none"
    succession.store.kept_from[Topic.DUTIES] = (
        len(succession.records) if is_empty else claim_end
    )
    succession.succeed()
    record = succession.first.duties.log.rollouts["s"]
    assert record.stage.kind is StageKind.ALL


def test_duties_with_lost_records_are_claimed_after_a_whole_lease(succession):
    succession.second.duties.release()
    succession.store.kept_from[Topic.DUTIES] = len(succession.records)
    succession.first.duties._try_step()
    succession.first.duties._try_step()
    assert not succession.first.holds
    succession.clock.time += PAST_LEASE_S
    succession.first.duties._try_step()
    assert succession.first.holds


def test_a_record_with_a_token_that_no_claim_gave_changes_no_holder(succession):
    """Another writer's record would end the holder's tenure for all who read it."""
    log = succession.second.duties.log
    tenure = log.tenure
    forged = succession.second.duties._make_record("renewal", {})
    odd = type(forged)("renewal", "x", 1, len(succession.records), 10**6)
    log.fold(len(succession.records), odd)
    assert log.tenure == tenure
    assert log.reported < 10**6
