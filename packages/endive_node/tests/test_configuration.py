import gevent
import pytest
from endive_core.exceptions import EndiveError, ErrorKind
from endive_core.fold import ConfigurationFold
from endive_core.records import (
    CONFIGURATION_STREAM,
    SNAPSHOT_STREAM,
    Change,
    SnapshotTaken,
    encode,
)
from endive_node.configuration import (
    LAG_CHECK_INTERVAL_S,
    MAX_LAG_S,
    PEER_DISCOVERY_S,
    Configuration,
)
from endive_node.interfaces import (
    LogEntry,
    LogOffsetOutOfRangeError,
    LogPage,
    LogUnavailableError,
)
from endive_node.settings import ConfigurationSection
from endive_node.snapshot_writer import RANK_DELAY_S, SnapshotWriter
from endive_node.telemetry import MonotonicClock
from node_builders import FakeClock
from simulated_network import member


class FakeLog:
    """A log in memory, with settable retention and outages."""

    def __init__(self):
        self.streams = {}
        self.first = {}
        self.down = False

    def append(self, stream, records):
        if self.down:
            raise LogUnavailableError("down")
        stored = self.streams.setdefault(stream, [])
        stored.extend(records)
        return len(stored) - len(records)

    def read(self, stream, start, *, wait_s=0.0, limit=1000):
        if self.down:
            raise LogUnavailableError("down")
        records, first = self.streams.get(stream, []), self.first.get(stream, 0)
        if start < first:
            raise LogOffsetOutOfRangeError(first)
        page = enumerate(records[start : start + limit], start)
        return LogPage(first, len(records), [LogEntry(o, r) for o, r in page])


class FakeSource:
    """Another node with the state `fold`.

    `gone_node_offset` is the offset of a third node, which is gone.
    """

    def __init__(self, fold, gone_node_offset=-1):
        self.fold = fold
        self.gone_node_offset = gone_node_offset
        self.pulls = 0

    def highest_offset(self):
        return max(self.gone_node_offset, self.fold.offset)

    def reachable_offset(self):
        return self.fold.offset

    def pull(self):
        self.pulls += 1
        return self.fold.snapshot()


def change(number, name="vip"):
    body = {
        "kind": "priority",
        "name": name,
        "owner": "kerloch",
        "spec": {"level": number},
    }
    return Change(f"c-{name}-{number}", "priority", name, "ann", body=body)


def written(count):
    log = FakeLog()
    log.append(CONFIGURATION_STREAM, [encode(change(n)) for n in range(count)])
    return log


def folded(count):
    fold = ConfigurationFold()
    for offset in range(count):
        fold.apply(offset, change(offset))
    return fold


def level(configuration, name="vip"):
    return configuration.fold.get("priority", name).body["spec"]["level"]


def test_a_peer_that_is_behind_never_turns_the_state_back():
    """A node pulls from a peer that lags. Adopting the peer's older state would undo
    changes that operators were told are in force."""
    configuration = Configuration(written(6), FakeClock())
    configuration.step()
    configuration.source = FakeSource(folded(3))
    configuration.pull()
    assert (configuration.fold.offset, level(configuration)) == (5, 5)


def test_reading_goes_on_from_a_pulled_state():
    configuration = Configuration(written(4), FakeClock())
    configuration.log.down = True
    configuration.source = FakeSource(folded(4))
    with pytest.raises(LogUnavailableError):
        configuration.step()
    configuration._start_from_peers()
    assert configuration.ready.is_set()
    assert level(configuration) == 3
    configuration.log.down = False
    configuration.log.append(CONFIGURATION_STREAM, [encode(change(4))])
    configuration.step()
    assert level(configuration) == 4


def test_change_whose_only_holder_is_gone_keeps_nobody_from_starting():
    """During an outage of the log, the only node that has read the last change is
    reclaimed. A new node that waits for that change without a limit would not serve
    until the log responds again."""
    configuration = Configuration(written(4), FakeClock())
    configuration.log.down = True
    configuration.source = FakeSource(folded(4), gone_node_offset=4)
    configuration._start_from_peers()
    assert not configuration.ready.is_set(), (
        "a member not discovered yet may have the change"
    )
    configuration.clock.time += PEER_DISCOVERY_S + 1
    configuration._start_from_peers()
    assert configuration.ready.is_set()
    assert configuration.is_behind()


def test_node_that_the_log_leaves_behind_asks_a_member_once():
    """The log responds to other nodes but not to this one, which would route by an
    older configuration. Once no member has a newer one, further pulls would only load
    the members with half a megabyte each."""
    configuration = Configuration(written(4), MonotonicClock())
    configuration.step()
    configuration.source = FakeSource(folded(9), gone_node_offset=12)
    loop = gevent.spawn(configuration.watch_lag)
    gevent.sleep(MAX_LAG_S + 4 * LAG_CHECK_INTERVAL_S)
    loop.kill()
    assert (configuration.fold.offset, configuration.source.pulls) == (8, 1)


def test_watch_across_a_gap_is_told_so():
    """The node adopted a snapshot and does not know the single changes before it. A
    watch that continued without an error would miss them."""
    configuration = Configuration(written(2), FakeClock())
    configuration.step()
    configuration.adopt(folded(9).snapshot())
    with pytest.raises(EndiveError) as caught:
        configuration.history.since(1)
    assert caught.value.kind is ErrorKind.WATCH_TOO_OLD


def test_older_snapshot_that_arrived_late_is_passed_over():
    """A snapshot's append took effect long after its writer timed out. The last one in
    the stream then ends before the oldest record that the log retains."""
    log = written(20)
    log.append(SNAPSHOT_STREAM, [encode(folded(15).snapshot())])
    log.append(SNAPSHOT_STREAM, [encode(folded(5).snapshot())])
    log.first[CONFIGURATION_STREAM] = 12
    configuration = Configuration(log, FakeClock())
    configuration.step()
    configuration.step()
    assert (configuration.fold.offset, level(configuration)) == (19, 19)
    assert configuration.ready.is_set()


class FakeMembers:
    """Live members by number."""

    def __init__(self, *numbers):
        self.members = [member(number) for number in numbers]

    def live(self):
        return self.members


def test_snapshot_is_written_by_another_node_if_the_first_is_gone():
    """The node whose turn it is hangs. If no other node wrote, the log's retention
    would drop changes in force, and a new node would read an incomplete
    configuration."""
    log = written(12)
    settings = ConfigurationSection(snapshot_every_records=10)
    members, clock = FakeMembers(0, 1, 2), FakeClock()
    writers = []
    for each in members.live():
        configuration = Configuration(log, clock)
        configuration.step()
        writers.append(SnapshotWriter(configuration, members, each.id, settings))
    clock.time += 1
    (first,) = [writer for writer in writers if writer.is_due()]
    others = [writer for writer in writers if writer is not first]
    clock.time += RANK_DELAY_S
    second = next(writer for writer in others if writer.is_due())
    second.write()
    for writer in writers:
        writer.configuration.step()
        assert not writer.is_due()
    assert len(log.streams[SNAPSHOT_STREAM]) == 1
    taken = encode(SnapshotTaken(through=11))
    assert log.streams[CONFIGURATION_STREAM][-1] == taken


def test_snapshot_is_due_in_time_without_any_change():
    """Without any change for longer than the retention, the log drops the last
    snapshot."""
    clock, members = FakeClock(), FakeMembers(0)
    configuration = Configuration(written(2), clock)
    configuration.step()
    settings = ConfigurationSection(snapshot_every_s=100)
    writer = SnapshotWriter(configuration, members, "node-000", settings)
    for _ in range(3):
        clock.time += 101
        assert writer.is_due()
        writer.write()
        configuration.step()
        assert not writer.is_due()
