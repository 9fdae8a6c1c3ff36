"""What the store keeps of where streams began, across losses of all nodes."""

import gc
import logging
import time

import gevent
import msgspec
import pytest
from endive_core.possible_origins import MAX_STREAM_AGE_S
from endive_core.stream_origins import stream_key
from endive_gateway.interfaces import Record, Topic
from endive_gateway.origin_documents import (
    BegunStream,
    decode_list,
    encode_list,
    encode_streams,
)
from endive_gateway.origin_recorder import (
    BATCH_S,
    LIST_KEY,
    SWEEP_S,
    Finding,
    LookupJob,
)
from endive_gateway.origin_records import LOOKUP_S
from endive_gateway.stream_affinity import RECORDING_S
from gateway_builders import HOST
from origin_builders import (
    RecorderFleet,
    cut_off,
    forget_servers,
    make_origin,
    make_possible,
    written_lists,
)
from store_builders import MemoryStore, store_down
from ticks import MAX_GAP_S, largest_gap_until_end_s

FLEETS = [6, 71, 200, 375]
STREAMS = 300
RECORDED_S = 1.0
RECORDED_SHARE = 0.98
"""Share of the streams that are recorded in time: of some, two datagrams are lost."""

KEY = stream_key("o", "q")


@pytest.fixture
def fleet():
    started = []

    def start(*args, **options):
        started.append(RecorderFleet(*args, **options))
        return started[-1]

    yield start
    for one in started:
        one.stop()


def settle(recordings):
    """Wait until all recordings have ended; return how many are recorded."""
    recordings = list(recordings)
    waited = [r for r in recordings if r is not None]
    gevent.wait([r.ended for r in waited], timeout=RECORDED_S)
    return sum(r is None or r.is_recorded for r in recordings)


def take_up_all(fleet):
    """Look all streams up at once in simulated time.

    Returns
    -------
    list of Finding, float
        The longest time, or the processor time of all nodes if that is longer, seconds.
    """
    gc.collect()  # the fleets of earlier tests
    began, computed_s = time.monotonic(), time.process_time()
    lookups = [gevent.spawn(fleet.look_up, number) for number in range(STREAMS)]
    gevent.joinall(lookups)
    took_s, computed_s = time.monotonic() - began, time.process_time() - computed_s
    return [lookup.value for lookup in lookups], max(took_s, computed_s)


@pytest.mark.usefixtures("simulated_clock")
@pytest.mark.parametrize("count", FLEETS)
def test_streams_go_on_after_the_loss_of_all_nodes_where_one_version_serves(
    fleet, count
):
    """All were refused for a minute, since no node could know what it had not seen."""
    nodes = fleet(count, "v1")
    assert settle(nodes.begin(number, "v1") for number in range(STREAMS)) == STREAMS
    calls = nodes.recorded_calls()
    assert calls.total() < 40
    nodes.start(count)
    findings, took_s = take_up_all(nodes)
    assert {finding.origin for finding in findings} == {make_origin("v1")}
    assert took_s < 0.4
    assert nodes.recorded_calls().total() < 200


@pytest.mark.usefixtures("simulated_clock")
@pytest.mark.parametrize("count", FLEETS)
def test_streams_of_two_versions_go_on_after_the_loss_of_all_nodes(fleet, count):
    """Each goes on at the version that began it, and none at the other one."""
    nodes = fleet(count, "v1", "v2")
    began, recordings = time.monotonic(), []
    for number in range(STREAMS):
        recordings.append(nodes.begin(number, ("v1", "v2")[number % 2]))
        gevent.sleep(0.002)
    assert settle(recordings) == STREAMS
    calls_per_s = nodes.recorded_calls().total() / (time.monotonic() - began)
    assert calls_per_s < 3 / BATCH_S
    nodes.start(count)
    findings, took_s = take_up_all(nodes)
    versions = [finding.origin and finding.origin.version for finding in findings]
    right = sum(v == ("v1", "v2")[number % 2] for number, v in enumerate(versions))
    assert right >= 0.99 * STREAMS
    assert right + versions.count(None) == STREAMS
    assert took_s < 0.45


def test_a_stream_that_was_not_recorded_is_refused_among_versions(fleet):
    """Its node was lost before the record was written."""
    nodes = fleet(6, "v1", "v2")
    settle([nodes.begin(0, "v1"), nodes.begin(1, "v2")])
    nodes.start(6)
    finding = nodes.look_up(77)
    assert (finding.origin, finding.source, finding.possible) == (None, "unknown", 2)


def test_a_new_version_is_listed_before_its_first_stream_begins(fleet):
    """All nodes and the new servers are lost right after that stream began."""
    nodes = fleet(6, "v1")
    settle([nodes.begin(0, "v1")])
    nodes.set_versions("v1", "v2")
    recording = nodes.begin(1, "v2")
    assert recording.is_required
    assert recording.wait(RECORDED_S)
    nodes.set_versions("v1")
    nodes.start(6)
    assert nodes.look_up(1).origin in (None, make_origin("v2"))
    assert nodes.look_up(0).origin != make_origin("v2")


@pytest.mark.usefixtures("simulated_clock")
@pytest.mark.parametrize("count", [6, 71, 200])
def test_streams_begin_where_the_recorder_has_lost_the_store(fleet, count):
    """Guards against a node out of step whose refusals all others pass on."""
    nodes = fleet(count, "v1", "v2")
    address = nodes.nodes[0].recorder_address()
    recorder = next(n for n in nodes.nodes if n.address == address)
    recorder.recorder.store = MemoryStore()
    recorder.recorder.store.fault = store_down

    def begin(number):
        recording = nodes.begin(number, "v1")
        return recording is None or recording.wait(RECORDING_S)

    others = [n for n in range(STREAMS) if nodes.nodes[n % count] is not recorder]
    begun = [gevent.spawn_later(n / STREAMS, begin, n) for n in others]
    gevent.joinall(begun)
    assert sum(greenlet.value for greenlet in begun) >= RECORDED_SHARE * len(begun)
    assert nodes.recorded_calls().total() < STREAMS / 2


def test_streams_that_run_when_a_second_version_comes_are_recorded(fleet):
    """They began while there was no need to record them."""
    nodes = fleet(6, "v1")
    settle([nodes.begin(number, "v1") for number in range(6)])
    for number, node in enumerate(nodes.nodes):
        node.running = lambda n=number: [(stream_key("o", f"q{n}"), make_origin("v1"))]
    nodes.set_versions("v1", "v2")
    settle([nodes.begin(9, "v2")])
    gevent.sleep(4 * BATCH_S)
    nodes.start(6)
    assert [nodes.look_up(n).origin for n in range(6)] == [make_origin("v1")] * 6


def test_of_a_requests_attempts_the_last_one_counts(fleet):
    """The first failed before its first event; the caller has the second one's."""
    nodes = fleet(6, "v1", "v2")
    node = nodes.nodes[0]
    first = node.begin(make_possible("v1"), [KEY], 5, 1)
    second = node.begin(make_possible("v2"), [KEY], 5, 2)
    assert second.is_required
    assert settle([first, second]) == 2
    nodes.start(6)
    assert nodes.nodes[3].look_up(KEY, HOST, "/x").origin == make_origin("v2")


@pytest.mark.parametrize("answers", [True, False])
def test_a_recorder_out_of_step_hides_no_later_attempt(fleet, answers):
    """Guards against a stream that goes on at the version of its first attempt, since
    a recorder with an old list took the record of the second one for needless."""
    nodes = fleet(6, "v1")
    address = nodes.nodes[0].recorder_address()
    recorder = next(n for n in nodes.nodes if n.address == address)
    other = next(n for n in nodes.nodes if n is not recorder)
    settle([nodes.begin(nodes.nodes.index(recorder), "v1")])
    cut_off(nodes, recorder, "v1")
    recorder.recorder.store = MemoryStore()
    recorder.recorder.store.fault = store_down
    nodes.set_versions("v1", "v2")
    recorders = other.recorders
    for attempt, version in enumerate(("v2", "v1"), 1):
        other.recorders = recorders if answers or attempt > 1 else tuple
        recording = other.begin(make_possible(version), [KEY], 7, attempt)
        assert recording.wait(RECORDED_S) or not answers
    assert other.look_up(KEY, HOST, "/x").origin in (make_origin("v1"), None)


def test_two_streams_under_one_id_are_not_taken_for_each_other(fleet):
    """A caller reuses an id; what it takes up may be either stream."""
    nodes = fleet(6, "v1", "v2")
    settle(
        [
            nodes.nodes[0].begin(make_possible("v1"), [KEY], 5, 1),
            nodes.nodes[0].begin(make_possible("v2"), [KEY], 6, 1),
        ]
    )
    nodes.start(6)
    assert nodes.nodes[3].look_up(KEY, HOST, "/x").origin is None


def list_record(store):
    """Return a document of the list that is in a store."""
    return decode_list(written_lists(store)[-1])


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xc1",
        b'{"a": 1}',
        msgspec.msgpack.encode([1, [["h", "/", "s"]], True, 0]),
        msgspec.msgpack.encode([1, [], True, -5]),
        msgspec.msgpack.encode([1, [["h" * 9999, "/", "s", "v"]], True, 0]),
        msgspec.msgpack.encode([2, [[HOST, "/", "s", "v1"]], True, 0]),
    ],
    ids=["empty", "no-msgpack", "json", "short", "below-0", "long", "other-build"],
)
def test_nothing_is_concluded_from_a_list_that_cannot_be_read(fleet, value, caplog):
    """It is foreign, or from another version of the program; one line tells so."""
    store = MemoryStore()
    topic = store.topics[Topic.POSSIBLE_ORIGINS]
    topic.append(Record(0, LIST_KEY, value or None))
    nodes = fleet(6, "v1", store=store)
    with caplog.at_level(logging.INFO):
        findings = [nodes.look_up(number) for number in range(20)]
    assert {(f.origin, f.source) for f in findings} == {(None, "unknown")}
    lines = [m for m in caplog.messages if "event=origin_list_undecodable" in m]
    assert len(lines) <= len(nodes.nodes)


def test_a_list_of_another_build_is_left_as_it_is(fleet):
    """Nodes of that build go on with it."""
    value = msgspec.msgpack.encode([2, "something else"])
    store = MemoryStore()
    store.topics[Topic.POSSIBLE_ORIGINS].append(Record(0, LIST_KEY, value))
    nodes = fleet(6, "v1", store=store)
    recording = nodes.begin(0, "v1")
    assert not recording.wait(RECORDED_S)
    assert written_lists(store) == [value]


def test_a_list_that_replaces_an_unreadable_one_proves_nothing_yet(fleet):
    """Streams of before may have any origin."""
    store = MemoryStore()
    store.topics[Topic.POSSIBLE_ORIGINS].append(Record(0, LIST_KEY, b"\xc1"))
    nodes = fleet(1, "v1", store=store)
    assert settle([nodes.begin(0, "v1")]) == 1
    assert not list_record(store)[0].is_complete
    recorder = nodes.nodes[0].recorder
    recorder.sweep()
    assert not list_record(store)[0].is_complete
    recorder.incomplete_since -= MAX_STREAM_AGE_S
    recorder.sweep()
    assert list_record(store)[0].is_complete
    assert nodes.look_up(99).origin == make_origin("v1")


def test_a_list_that_nodes_of_an_earlier_build_do_not_keep_proves_nothing(fleet):
    """They begin streams and list no origins."""
    nodes = fleet(1, "v1")
    settle([nodes.begin(0, "v1")])
    nodes.nodes[0].view.unlisting_nodes = lambda: 1
    assert nodes.look_up(0).origin is None
    nodes.nodes[0].recorder.sweep()
    assert not list_record(nodes.store)[0].is_complete


def test_no_time_of_day_decides_how_long_an_origin_is_listed(fleet, monkeypatch):
    """Clocks are set back and ahead by years while origins are listed and removed."""
    nodes = fleet(1, "v1", "v2")
    real = time.time
    monkeypatch.setattr(time, "time", lambda: real() + 1e8)
    settle([nodes.begin(0, "v1"), nodes.begin(1, "v2")])
    monkeypatch.setattr(time, "time", lambda: real() - 1e8)
    nodes.set_versions("v2")
    recorder = nodes.nodes[0].recorder
    recorder.sweep()
    assert len(list_record(nodes.store)[0].entries) == 2
    for entry in recorder.disuse.since:
        recorder.disuse.since[entry] -= MAX_STREAM_AGE_S
    recorder.sweep()
    assert list_record(nodes.store)[0].entries == {make_possible("v2")}


@pytest.mark.parametrize("value", [b"", b"\xc1", msgspec.msgpack.encode([2, 1])])
def test_nothing_is_concluded_from_a_log_with_an_unreadable_record(fleet, value):
    """That record may hold a stream's last attempt."""
    nodes = fleet(6, "v1", "v2")
    settle([nodes.begin(0, "v1"), nodes.begin(1, "v2")])
    log = nodes.store.topics[Topic.STREAMS]
    log.append(Record(len(log), "", value))
    nodes.start(6)
    assert nodes.look_up(0).origin is None


@pytest.mark.parametrize("topic", [Topic.POSSIBLE_ORIGINS, Topic.STREAMS])
def test_nothing_is_concluded_from_reads_that_are_out_of_date(fleet, topic):
    """The store answers reads with its state of seconds ago as the nodes return."""
    store = MemoryStore()
    nodes = fleet(6, "v1", "v2", store=store)
    node = nodes.nodes[0]
    settle([node.begin(make_possible("v1"), [KEY], 5, 1)])
    store.stale[topic] = len(store.topics[topic])
    settle([node.begin(make_possible("v2"), [KEY], 5, 2)])
    extra = encode_list(*list_record(store))
    store.topics[Topic.POSSIBLE_ORIGINS].append(Record(9, LIST_KEY, extra))
    nodes.start(6)
    assert nodes.nodes[1].look_up(KEY, HOST, "/x").source == "unread"
    store.stale.clear()
    assert nodes.nodes[1].look_up(KEY, HOST, "/x").origin == make_origin("v2")


@pytest.mark.usefixtures("simulated_clock")
@pytest.mark.parametrize("call_s", [0.06, 0.25])
def test_a_slow_store_tells_where_each_stream_began(fleet, call_s):
    """Guards against refusals of streams while the store answers, though slowly."""
    nodes = fleet(6, "v1", "v2")
    settle(nodes.begin(number, ("v1", "v2")[number % 2]) for number in range(STREAMS))
    nodes.start(6)
    nodes.store.call_s = call_s
    lookups = []
    for number in range(STREAMS):
        lookups.append(gevent.spawn(nodes.look_up, number))
        gevent.sleep(0.01)
    gevent.joinall(lookups)
    found = [lookup.value.origin for lookup in lookups]
    assert found == [make_origin(("v1", "v2")[n % 2]) for n in range(STREAMS)]


@pytest.mark.usefixtures("simulated_clock")
def test_the_answer_of_a_recorder_counts_while_its_node_fails_to_read(fleet):
    """Guards against refusals where the recorder answers after the questions end."""
    nodes = fleet(6, "v1", "v2")
    settle([nodes.begin(0, "v1"), nodes.begin(1, "v2")])
    recorder = nodes.nodes[0].recorder_address()
    nodes.store.call_s = 0.1
    for node in nodes.nodes:
        if node.address != recorder:
            node.recorder.look_up = lambda job: job.done(Finding())
    for _ in range(10):
        assert nodes.look_up(1).origin == make_origin("v2")


@pytest.mark.usefixtures("simulated_clock")
@pytest.mark.parametrize("within_s", [0.0, 0.02, 0.3, 10.0])
def test_a_lookup_ends_before_its_request_is_due(fleet, within_s):
    """Guards against late responses while the store is silent."""
    nodes = fleet(6, "v1", "v2")
    settle([nodes.begin(0, "v1"), nodes.begin(1, "v2")])
    nodes.store.call_s = 1.5
    for node in nodes.nodes:
        began = time.monotonic()
        assert node.look_up(KEY, HOST, "/x", within_s).source == "unread"
        assert time.monotonic() - began <= min(within_s, LOOKUP_S) + 0.001


def test_a_silent_store_makes_no_stream_go_on_at_a_guess(fleet):
    nodes = fleet(6, "v1")
    settle([nodes.begin(0, "v1")])
    nodes.start(6)
    nodes.store.fault = store_down
    began = time.monotonic()
    assert nodes.look_up(0).source == "unread"
    assert time.monotonic() - began < 0.45


def test_the_log_is_read_from_where_old_streams_end(fleet):
    """Its beginning may be as old as the log's retention."""
    nodes = fleet(1, "v1", "v2")
    settle([nodes.begin(0, "v1")])
    recorder = nodes.nodes[0].recorder
    settle([nodes.begin(1, "v2")])
    gevent.sleep(2 * BATCH_S)
    recorder.appended = type(recorder.appended)(
        (at - 2 * MAX_STREAM_AGE_S, offset) for at, offset in recorder.appended
    )
    nodes.set_versions("v1", "v2", "v3")
    settle([nodes.begin(2, "v3")])
    assert list_record(nodes.store)[1] > 0


def test_a_log_whose_beginning_was_dropped_is_read_from_where_it_begins(fleet):
    """The store forgets its history; later streams still go on."""
    nodes = fleet(6, "v1", "v2")
    settle([nodes.begin(0, "v1")])
    log = nodes.store.topics[Topic.STREAMS]
    nodes.store.kept_from[Topic.STREAMS] = len(log)
    settle([nodes.begin(1, "v2")])
    nodes.start(6)
    assert nodes.look_up(0).origin is None
    assert nodes.look_up(1).origin == make_origin("v2")


def test_records_stay_small():
    """Recorders of large fleets write thousands of streams a second."""
    streams = [
        BegunStream(stream_key("o", f"q{n}"), make_origin(f"v{n % 2}"), 2**62 + n, 1)
        for n in range(1000)
    ]
    assert len(encode_streams(streams)) < 40_000


def unreadable_records():
    return [b"\xc1"] * 5_000


def sound_records():
    streams = [
        BegunStream(stream_key("o", f"q{n}"), make_origin("v1"), n, 1)
        for n in range(40_000)
    ]
    return [encode_streams(streams[n : n + 500]) for n in range(0, len(streams), 500)]


@pytest.mark.parametrize("make_records", [unreadable_records, sound_records])
def test_a_long_log_of_streams_holds_up_nothing(fleet, make_records):
    """Guards against a node whose loop stands still while it reads the whole log."""
    nodes = fleet(1, "v1", "v2", store=MemoryStore())
    settle([nodes.begin(0, "v1"), nodes.begin(1, "v2")])
    log = nodes.store.topics[Topic.STREAMS]
    for value in make_records():
        log.append(Record(len(log), "", value))
    nodes.start(1)
    recorder = nodes.nodes[0].recorder
    assert largest_gap_until_end_s(recorder._read_streams) < MAX_GAP_S
    assert recorder.recorded.next_offset == len(log)


def test_sweeps_are_rarer_than_the_times_that_they_measure():
    assert SWEEP_S < MAX_STREAM_AGE_S / 10


def find_alone(node, number):
    """Look a stream up as a node that hears from no other one."""
    findings = []
    key = stream_key("o", f"q{number}")
    node.recorder.look_up(LookupJob(key, HOST, "/x", findings.append))
    node.recorder._serve()
    return findings[0]


@pytest.mark.parametrize("others_see_it", [False, True], ids=["list", "sweep"])
def test_a_node_out_of_step_removes_no_version_that_has_returned(fleet, others_see_it):
    """Guards against streams of that version that go on at the only listed one."""
    nodes = fleet(2, "v1", "v2")
    settle([nodes.begin(0, "v1"), nodes.begin(1, "v2")])
    nodes.stop()
    stale, other = nodes.nodes
    cut_off(nodes, stale, "v1")
    stale.recorder.sweep()
    for entry in stale.recorder.disuse.since:
        stale.recorder.disuse.since[entry] -= MAX_STREAM_AGE_S
    cut_off(nodes, other, "v1")
    other.observe_view()
    cut_off(nodes, other, "v1", "v2")
    put, returned = nodes.store.put, []

    def put_late(*args, **options):
        """Stand still before the first write, while the version returns elsewhere."""
        if not returned:
            returned.append(other.begin(make_possible("v2"), [KEY], 5, 1))
            other.recorder._serve()
        return put(*args, **options)

    nodes.store.put = put_late
    stale.recorder.sweep()
    assert returned[0].is_recorded
    if others_see_it:
        stale.recorder.sweep()
    assert make_possible("v2") in list_record(nodes.store)[0].entries
    assert find_alone(stale, 77).origin is None


def test_a_list_without_a_version_that_serves_proves_nothing(fleet):
    """Guards against streams that began there while the store didn't answer."""
    nodes = fleet(1, "v1")
    settle([nodes.begin(0, "v1")])
    assert nodes.look_up(77).origin == make_origin("v1")
    nodes.set_versions("v1", "v2")
    assert find_alone(nodes.nodes[0], 77).origin is None
    settle([nodes.begin(1, "v1")])
    nodes.set_versions("v1")


@pytest.mark.parametrize("count", [1, 2, 6])
def test_a_recorder_that_has_read_no_servers_vouches_for_no_version(fleet, count):
    """Guards against streams joined where the recorder has just started."""
    nodes = fleet(count, "v1")
    settle([nodes.begin(0, "v1")])
    nodes.set_versions("v1", "v2")
    nodes.start(count)
    addresses = {node.address: node for node in nodes.nodes}
    recorder = addresses[nodes.nodes[0].recorder_address()]
    forget_servers(nodes, recorder)
    findings = [
        node.look_up(stream_key("o", "q77"), HOST, "/x") for node in nodes.nodes
    ]
    assert {finding.origin for finding in findings} == {None}


def test_a_node_that_stood_still_confirms_no_origin_that_was_removed_since(fleet):
    """Guards against streams at a version that left and returned meanwhile."""
    nodes = fleet(1, "v1", "v2")
    settle([nodes.begin(0, "v1"), nodes.begin(1, "v2")])
    node, now = nodes.nodes[0], time.monotonic()
    confirmations = node.confirmations
    for entry in confirmations.confirmed_at:
        confirmations.confirmed_at[entry] -= 2 * MAX_STREAM_AGE_S
    node.observe_view()
    assert not confirmations.is_confirmed(make_possible("v2"), now)
