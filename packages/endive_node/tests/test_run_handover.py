"""Tests of the outcome that a request reports during a handover."""

from endive_core.claims import ClaimState
from endive_core.exceptions import Executed
from endive_core.lifecycle import Event
from endive_core.members import Member
from endive_node.handover import Handover, answer_of
from endive_node.notices import NoticeTable
from endive_node.request_registry import RequestRecord
from endive_node.settings import NodeSection
from node_builders import FakeEngines, not_started, request, serving
from test_serving import error_of


class OneMember:
    def live(self):
        return [Member("node-1", "brest", "127.0.0.1:1")]


def handover(path):
    section = NodeSection(id="node-1", zone="brest")
    return Handover(path, section, OneMember(), NoticeTable(path.clock))


def test_request_whose_record_was_sent_is_not_reported_as_not_run():
    """A node under notice has sent a waiting request to a peer, and then finds no
    server for it. If the caller were told "not run", the request might still run: the
    peer takes the node for dead and runs it."""
    path = serving(FakeEngines(not_started()), servers=1)
    run = path.accept(request(path))
    run.mark_offered()
    assert error_of(run).executed is Executed.UNKNOWN


def test_receiver_whose_sender_stopped_responding_does_not_report_not_run():
    """The sender sent the request to a peer, then to a server, and was killed. The
    receiver finds no server, but the request may have run."""
    path = serving(FakeEngines(not_started()), servers=1)
    run = path.add_transferred(RequestRecord(request(path), 0.0), sent_before=False)
    handover(path).takeover.sender_gone(run)
    assert error_of(run).executed is Executed.UNKNOWN


def test_receiver_claims_the_key_itself_unless_a_server_was_stopped():
    """If a receiver continued under a key of its own although the sender's claim was
    released, a repeat of the caller's request could claim the caller's key, and both
    would run."""
    path = serving(FakeEngines(not_started(), not_started()), servers=1)
    run = path.accept(request(path, key="k", non_idempotent=True))
    assert error_of(run).executed is Executed.NO
    assert run.claim.state is ClaimState.HELD
    assert run.record.attempt == 0
    assert answer_of(run).continues == 0


def test_transfer_of_a_stopped_run_names_the_attempt_to_continue():
    """A non-idempotent request was stopped at its server. The receiver must claim the
    right to continue after this attempt, since the claim of the key itself is used
    and stays held."""
    path = serving(FakeEngines(None))
    run = path.accept(request(path, key="k", non_idempotent=True))
    reader = run.read()
    next(reader)
    run.lifecycle.fire(Event.SERVER_STOPPED)
    run.hand_over()
    sent = answer_of(run)
    assert (sent.continues, sent.dispatched) == (1, True)
    receiver = serving(FakeEngines(None))
    taken = receiver.add_transferred(
        RequestRecord(request(receiver), 0.0), sent_before=False
    )
    handover(receiver).takeover._continue(taken, sent)
    assert taken.claim_continues == 1
