import time

import gevent
import msgspec
import pytest
from duty_builders import WALL, WINDOW_S, Clock, Node, begin, odd_duty_records
from endive_core.leases import DutyKind, DutyRecord
from endive_core.rollouts import RolloutOrder, RolloutRecord, Stage, StageKind
from endive_gateway.duties import (
    LEASE_MARGIN_S,
    LEASE_S,
    RANK_DELAY_S,
    rollouts_body,
)
from endive_gateway.duty_records import decode_duty_record
from endive_gateway.exceptions import StoreOutcomeUnknownError
from endive_gateway.interfaces import Record, Topic
from gevent.event import Event
from store_builders import (
    MemoryStore,
    RecordingCloud,
    call_without_answer,
    store_down,
)

ORDER = RolloutOrder("s", "v2", 30.0, 5, 1.5)


@pytest.fixture
def clock(monkeypatch):
    return Clock.installed(monkeypatch)


@pytest.fixture
def store():
    return MemoryStore()


@pytest.fixture
def cloud():
    return RecordingCloud()


def test_one_of_two_claimants_becomes_the_holder(clock, store, cloud):
    first, second = Node("a", store, cloud), Node("b", store, cloud)
    first.step()
    second.step()
    assert first.holds
    assert not second.holds


def test_an_expired_holder_is_replaced_and_does_not_act_again(clock, store, cloud):
    """A holder is suspended for longer than its lease and resumes. It must not act any
    more, and the fencing number of its successor is higher."""
    first, second = Node("a", store, cloud), Node("b", store, cloud)
    first.step()
    fence = first.duties.lease.fence
    second.step()
    clock.time += LEASE_S + LEASE_MARGIN_S + 0.1
    second.step()
    assert second.holds
    assert not first.holds
    assert second.duties.lease.fence > fence
    first.step()
    assert not first.holds


def test_a_holder_renews_and_keeps_others_out(clock, store, cloud):
    first, second = Node("a", store, cloud), Node("b", store, cloud)
    for _ in range(40):
        first.step()
        second.step()
        clock.time += 0.25
        assert first.holds
    assert len(store.topics[Topic.DUTIES]) < 20


def test_after_a_release_another_node_claims_at_once(clock, store, cloud):
    first, second = Node("a", store, cloud), Node("b", store, cloud)
    first.step()
    first.duties.release()
    assert not first.holds
    second.step()
    assert second.holds


def test_a_stopping_holder_releases_the_duties_after_the_end_of_its_call(
    clock, store, cloud
):
    """The call arrives after the successor's, with a lower fencing token."""
    first, second = Node("a", store, cloud), Node("b", store, cloud)
    first.step()
    first.at(WALL + WINDOW_S + 2)
    may_arrive = Event()
    cloud.on_call = lambda holder: holder == "a" and may_arrive.wait(5.0)
    running = gevent.spawn(first.duties.run)
    gevent.sleep(0.02)
    stopping = gevent.spawn(first.duties.release)
    gevent.sleep(0.02)
    second.step()
    assert not second.holds
    may_arrive.set()
    stopping.join(1.0)
    running.kill()
    assert len(cloud.usage) == 1
    second.step()
    assert second.holds


def test_a_stopping_holder_whose_call_had_no_answer_leaves_the_lease_to_lapse(
    clock, store, cloud
):
    """A call that timed out arrives after the successor's, with a lower token."""
    first, second = Node("a", store, cloud), Node("b", store, cloud)
    first.step()
    first.at(WALL + WINDOW_S + 2)
    cloud.on_call = call_without_answer
    first.step()
    clock.time += 1.0
    first.duties.release()
    assert not first.holds
    second.step()
    assert not second.holds
    clock.time += LEASE_S + LEASE_MARGIN_S - 0.1
    second.step()
    assert not second.holds
    clock.time += 0.2
    second.step()
    assert second.holds


def test_a_holder_releases_the_duties_when_an_unanswered_call_is_old(
    clock, store, cloud
):
    first, second = Node("a", store, cloud), Node("b", store, cloud)
    first.step()
    first.at(WALL + WINDOW_S + 2)
    cloud.on_call = call_without_answer
    first.step()
    cloud.on_call = None
    for _ in range(4):
        clock.time += 1.0
        first.step()
    first.duties.release()
    second.step()
    assert second.holds


def test_a_holder_that_stops_during_a_step_begins_no_further_call(clock, store, cloud):
    node = Node("a", store, cloud)
    node.step()
    node.at(WALL + 2 * WINDOW_S + 2)
    node.duties.log.usage = {window: {} for window in (199_999, 200_000, 200_001)}
    cloud.on_call = lambda holder: gevent.spawn(node.duties.release).join(0.02)
    running = gevent.spawn(node.duties.run)
    running.join(0.1)
    running.kill()
    assert len(cloud.usage) == 1


def test_a_node_with_a_live_holder_does_not_call_the_store(clock, store, cloud):
    node = Node("a", store, cloud)
    peer = node.peers._add_peer("127.0.0.9")
    peer.last_seen_at, peer.fence, peer.node = time.monotonic(), 4, "b"
    node.step()
    assert not store.calls


def test_a_holder_that_the_store_rejects_is_replaced_after_its_lease(
    clock, store, cloud
):
    """The holder can't renew, but still reports to all nodes that it holds the duties.
    If a successor started to wait only when that ends, replacements for a reclaimed
    zone's servers would be ordered three seconds later."""
    first, second = Node("a", store, cloud), Node("b", store, cloud)
    first.step()
    second.peers.observe_duty_log_end(first.duties.log.end)
    peer = second.peers._add_peer("127.0.0.9")
    peer.node, peer.fence = "a", 1
    clock.time += LEASE_S + LEASE_MARGIN_S - 0.1
    peer.last_seen_at = clock.time
    calls = len(store.calls)
    second.step()
    assert len(store.calls) == calls
    clock.time += 0.2 + RANK_DELAY_S
    second.step()
    assert second.holds
    assert not first.holds


def test_the_node_that_has_run_for_longest_claims_first(clock, store, cloud):
    node = Node("a", store, cloud)
    peer = node.peers._add_peer("127.0.0.9")
    peer.last_seen_at, peer.node, peer.incarnation = clock.time, "b", 1
    node.step()
    assert not node.holds
    clock.time += RANK_DELAY_S + 0.01
    peer.last_seen_at = clock.time
    node.step()
    assert node.holds


def test_a_claim_whose_answer_was_lost_is_found_in_the_log(clock, store, cloud):
    store.lost = [True]
    node = Node("a", store, cloud)
    node.step()
    assert node.holds
    assert len(store.topics[Topic.DUTIES]) == 1


def test_a_claim_that_was_never_done_holds_nothing(clock, store, cloud):
    def uncertain(name):
        if name == "append":
            raise StoreOutcomeUnknownError("no answer")

    store.fault = uncertain
    node = Node("a", store, cloud)
    assert node.step()
    assert not node.holds


def test_a_holder_without_the_store_stops_in_time(clock, store, cloud):
    node = Node("a", store, cloud)
    node.step()
    store.fault = store_down
    while node.holds:
        node.step()
        clock.time += 0.1
    begin(node, 199_999, 3)
    node.at(WALL + 60)
    node.step()
    assert not cloud.usage


def append(store, value):
    records = store.topics[Topic.DUTIES]
    records.append(Record(len(records), "", value))


@pytest.mark.parametrize("name", odd_duty_records("", 0, 0))
def test_an_odd_record_does_not_stop_the_duties(clock, store, cloud, name):
    """All nodes failed at the record again and again, or took its numbers for true."""
    nodes = [Node("a", store, cloud), Node("b", store, cloud)]
    nodes[0].step()
    lease = nodes[0].duties.lease
    odd = odd_duty_records("a", nodes[0].context.incarnation, lease.fence)
    append(store, odd[name])
    for _ in range(20):
        for node in nodes:
            node.duties._try_step()
        assert sum(node.holds for node in nodes) <= 1
        clock.time += 0.25
    assert any(node.holds for node in nodes)
    for node in nodes:
        node.at(WALL + WINDOW_S + 2)
        node.duties._try_step()
    assert int(WALL // WINDOW_S) in {window for _, _, window, _ in cloud.usage}


def test_a_successor_waits_for_a_lease_after_a_record_that_it_can_not_read(
    clock, store, cloud
):
    """A node of a later version may have claimed the released duties by that record."""
    first, second = Node("a", store, cloud), Node("b", store, cloud)
    first.step()
    first.duties.release()
    append(store, b'{"kind": "later"}')
    second.step()
    assert not second.holds
    clock.time += LEASE_S + LEASE_MARGIN_S + 0.1
    second.step()
    assert second.holds


def test_the_first_claim_waits_after_a_record_that_can_not_be_read(clock, store, cloud):
    append(store, b'{"kind": "later"}')
    node = Node("a", store, cloud)
    node.step()
    assert not node.holds
    clock.time += LEASE_S + LEASE_MARGIN_S + 0.1
    node.step()
    assert node.holds


@pytest.mark.parametrize("rollout", [1, [], {"order": {}, "stage": {}}, {"order": 1}])
def test_an_odd_rollout_costs_only_itself(rollout):
    body = {"rollouts": {"odd": rollout, "sound": RolloutRecord(ORDER).to_body()}}
    record = DutyRecord(DutyKind.CLAIM, "a", 1, body=body)
    value = msgspec.json.encode(record)
    decoded = decode_duty_record(value, offset=0, newest_window=0)
    assert list(decoded.body["rollouts"]) == ["sound"]


def test_what_a_holder_writes_is_read_as_it_was_written():
    rollout = RolloutRecord(ORDER, Stage(StageKind.ALL, 7, 0.5, 2, 3.5, (("r", 1.5),)))
    bodies = {
        DutyKind.ROLLOUT: rollouts_body({"s": rollout}),
        DutyKind.USAGE: {"window": 3, "counts": {"o": 2}, "append": 9},
        DutyKind.RELEASE: {},
    }
    for kind, body in bodies.items():
        record = DutyRecord(kind, "a", time.time_ns() // 1000, 4, 2, body)
        value = msgspec.json.encode(record)
        assert decode_duty_record(value, offset=4, newest_window=3) == record


@pytest.mark.parametrize("behind_s", [90.0, 300.0])
def test_a_holder_whose_clock_is_behind_reports_no_window_twice(
    behind_s, clock, store, cloud
):
    """A node that started alone took the duties' records for those of another writer,
    and reported their windows again with other counts."""
    first = Node("a", store, cloud)
    newest, kept_records = int(WALL // WINDOW_S), 5
    begun = newest - int(behind_s // WINDOW_S) - 2
    for window in range(begun, newest + 1):
        begin(first, window, 3)
        first.at((window + 1) * WINDOW_S + 2)
        clock.time += 0.3
        first.step()
    first.duties.release()
    store.kept_from[Topic.DUTIES] = len(store.topics[Topic.DUTIES]) - kept_records
    second = Node("b", store, cloud)
    second.at(WALL - behind_s)
    for _ in range(40):
        second.duties._try_step()
        clock.time += 0.3
    assert second.holds
    counts = {}
    for _holder, _fence, window, told in cloud.usage:
        assert counts.setdefault(window, told) == told


def test_windows_are_reported_once_with_all_nodes_counts(clock, store, cloud):
    node = Node("a", store, cloud)
    window = int(WALL // WINDOW_S)
    begin(node, window, 3)
    node.context.meter.receive("b", 1, {window: {"o": 2, "p": 1}})
    node.step()
    node.at(WALL + WINDOW_S + 2)
    for _ in range(4):
        node.step()
    ours = [report for report in cloud.usage if report[2] == window]
    assert [counts for _, _, _, counts in ours] == [{"o": 5, "p": 1}]


def test_a_successor_reports_exactly_what_was_recorded(clock, store, cloud):
    """A holder records a window, reports it and dies before the answer. The successor
    has counted more by then; if it reported that, the platform would get two different
    reports."""
    first, second = Node("a", store, cloud), Node("b", store, cloud)
    window = int(WALL // WINDOW_S)
    begin(first, window, 3)
    first.step()
    first.at(WALL + WINDOW_S + 2)
    first.step()
    second.at(WALL + WINDOW_S + 2)
    second.step()
    clock.time += LEASE_S + LEASE_MARGIN_S + 0.1
    begin(second, window, 9)
    second.at(WALL + WINDOW_S + 6)
    second.step()
    second.step()
    counts = {str(c) for _, _, w, c in cloud.usage if w == window}
    holders = {holder for holder, _, w, _ in cloud.usage if w == window}
    assert len(counts) == 1
    assert holders == {"a", "b"}


def test_a_failed_report_is_retried_with_the_same_counts(clock, store, cloud):
    node = Node("a", store, cloud)
    window = int(WALL // WINDOW_S)
    begin(node, window, 3)
    node.step()
    node.at(WALL + WINDOW_S + 2)
    cloud.down = True
    node.step()
    begin(node, window, 4)
    cloud.down = False
    clock.time += 1.0
    node.step()
    node.step()
    assert [c for _, _, w, c in cloud.usage if w == window] == [{"o": 3}]


def test_a_window_that_a_peer_knows_as_reported_is_not_recorded_again(
    clock, store, cloud
):
    """The store has dropped the records that show what was reported. The nodes know it
    from each other's messages, and a successor doesn't report it again."""
    node = Node("a", store, cloud)
    window = int(WALL // WINDOW_S)
    begin(node, window, 3)
    node.context.reported = window
    node.step()
    node.at(WALL + WINDOW_S + 2)
    node.step()
    assert not [report for report in cloud.usage if report[2] <= window]


def test_a_node_that_has_just_started_does_not_report_older_windows(
    clock, store, cloud
):
    node = Node("a", store, cloud)
    node.context.started_at = clock.time
    node.step()
    node.at(WALL + WINDOW_S + 2)
    clock.time += 1.0
    node.step()
    window = int(WALL // WINDOW_S)
    assert all(report[2] >= window for report in cloud.usage)
