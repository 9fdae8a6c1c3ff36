import json
import time

import pytest
from endive_gateway.following import (
    FAILED_GAP_S,
    MAX_FAILED_GAP_S,
    ConfigurationFollower,
    ServerFollower,
)
from endive_gateway.interfaces import Record, Topic
from gateway_builders import MemoryStore, make_context, make_table, store_down


class FewReaders:
    """Readers among which a node is not."""

    def is_reader(self):
        return False

    def reads_alone(self):
        return False

    def await_first_configuration(self):
        return True


@pytest.fixture
def store():
    return MemoryStore()


@pytest.fixture
def context(store):
    return make_context(store=store)


def write(store, topic, key, value):
    records = store.topics[topic]
    value = None if value is None else json.dumps(value).encode()
    records.append(Record(len(records), key, value))


def server(**options):
    return {"service": "s", "address": "127.0.0.1:1", "zone": "z", "slots": 8} | options


def test_each_new_version_comes_into_force(context, store):
    write(store, Topic.CONFIGURATION, "config", 3)
    follower = ConfigurationFollower(context)
    follower.step()
    assert context.version == 3
    write(store, Topic.CONFIGURATION, "config", 7)
    follower.step()
    assert context.version == 7


def test_no_path_brings_an_older_version_back(context, store):
    """A node has a version from another node, then reads the store, which is behind.
    A key that was taken away would be valid again."""
    follower = ConfigurationFollower(context)
    write(store, Topic.CONFIGURATION, "config", 9)
    follower.step()
    write(store, Topic.CONFIGURATION, "config", 8)
    follower.step()
    assert context.version == 9


def test_an_undecodable_configuration_changes_nothing(context, store):
    write(store, Topic.CONFIGURATION, "config", 9)
    follower = ConfigurationFollower(context)
    follower.step()
    write(store, Topic.CONFIGURATION, "config", "none")
    write(store, Topic.CONFIGURATION, "other", 12)
    follower.step()
    assert context.version == 9


def test_a_forgotten_history_is_read_as_a_whole(context, store):
    """The store drops its records while a node waits for the next one. A node that
    only went on reading would miss the change that was among them."""
    follower = ConfigurationFollower(context)
    write(store, Topic.CONFIGURATION, "config", 1)
    follower.step()
    write(store, Topic.CONFIGURATION, "config", 2)
    write(store, Topic.CONFIGURATION, "config", 3)
    store.kept_from[Topic.CONFIGURATION] = 3
    assert follower.step() == 0.0
    follower.step()
    assert context.version == 3


def test_the_last_configuration_stays_while_the_store_is_away(context, store):
    follower = ConfigurationFollower(context)
    write(store, Topic.CONFIGURATION, "config", 1)
    follower.step()
    store.fault = store_down
    gaps = [follower.step() for _ in range(6)]
    assert context.version == 1
    assert all(0.5 * FAILED_GAP_S < gap <= MAX_FAILED_GAP_S for gap in gaps)
    assert gaps[-1] > gaps[0]


def test_servers_come_and_go(context, store):
    follower = ServerFollower(context)
    write(store, Topic.SERVERS, "i-1", server())
    follower.step()
    assert context.registry.get("i-1").usable
    write(store, Topic.SERVERS, "i-1", None)
    follower.step()
    assert context.registry.get("i-1") is None


def test_an_entry_of_another_writer_names_no_server_and_hides_none(context, store):
    """Something else writes broken entries, also under a live server's id."""
    follower = ServerFollower(context)
    write(store, Topic.SERVERS, "i-1", server())
    follower.step()
    write(store, Topic.SERVERS, "i-2", {"service": 5})
    write(store, Topic.SERVERS, "i-1", ["?"])
    write(store, Topic.SERVERS, "i-3", server())
    follower.step()
    assert set(context.registry.servers) == {"i-1", "i-3"}


def test_servers_missing_after_an_outage_get_their_grace(context, store):
    follower = ServerFollower(context)
    write(store, Topic.SERVERS, "i-1", server())
    follower.step()
    store.fault = store_down
    follower.step()
    store.fault = None
    write(store, Topic.SERVERS, "i-1", None)
    follower.step()
    assert context.registry.get("i-1").usable


def test_servers_missing_from_the_whole_list_are_gone(context, store):
    follower = ServerFollower(context)
    write(store, Topic.SERVERS, "i-1", server())
    follower.step()
    write(store, Topic.SERVERS, "i-1", None)
    write(store, Topic.SERVERS, "i-2", server())
    store.kept_from[Topic.SERVERS] = 3
    follower.step()
    follower.step()
    assert set(context.registry.servers) == {"i-2"}


def told(store):
    """Return a reader and a node that is told, both knowing one server."""
    write(store, Topic.SERVERS, "i-1", server(sequence=1))
    reader = ServerFollower(make_context(store=store))
    listener = ServerFollower(make_context(store=store), FewReaders())
    reader.step()
    listener.step()
    return reader, listener


def test_a_node_that_is_told_need_not_read(store):
    reader, listener = told(store)
    listener.hear(reader.news())
    calls = len(store.calls)
    write(store, Topic.SERVERS, "i-2", server(sequence=1))
    write(store, Topic.SERVERS, "i-1", server(sequence=2, state="leaving"))
    reader.step()
    listener.hear(reader.news())
    listener.step()
    assert len(store.calls) == calls + 1
    assert listener.context.registry.get("i-2").usable
    assert not listener.context.registry.get("i-1").usable


def test_news_that_do_not_join_what_is_known_are_left_to_an_own_read(store):
    """A node missed several tellings in a row. Taking the next ones as they are, it
    would never hear of the server that began to leave in between."""
    reader, listener = told(store)
    listener.hear(reader.news())
    write(store, Topic.SERVERS, "i-1", server(sequence=2, state="leaving"))
    reader.step()
    reader.changes.clear()
    reader.floor = reader.next
    reader.marks.clear()
    reader.marks.append((time.monotonic(), reader.next))
    listener.hear(reader.news())
    assert listener.context.registry.get("i-1").usable
    listener.relayed_at -= 10.0
    listener.step()
    assert not listener.context.registry.get("i-1").usable


def test_changes_that_fit_no_datagram_make_the_others_read_at_once(store):
    """A zone is reclaimed, and more servers begin to leave than a telling has room for.
    A node that waited for news it can join sent them requests for 2.1 seconds."""
    reader, listener = told(store)
    listener.hear(reader.news())
    for number in range(30):
        write(store, Topic.SERVERS, f"i-{number + 10}", server(sequence=1))
    write(store, Topic.SERVERS, "i-1", server(sequence=2, state="leaving"))
    reader.step()
    listener.hear(reader.news())
    listener.step()
    assert not listener.context.registry.get("i-1").usable


def test_a_node_reads_by_itself_when_its_readers_lose_the_store(store):
    reader, listener = told(store)
    listener.hear(reader.news())
    store.fault = store_down
    reader.step()
    assert reader.news() is None
    store.fault = None
    listener.relayed_at -= 10.0
    calls = len(store.calls)
    listener.step()
    assert len(store.calls) == calls + 1


def test_more_changes_than_a_datagram_holds_are_not_told(store):
    reader, listener = told(store)
    for number in range(30):
        write(store, Topic.SERVERS, f"i-{number + 10}", server(sequence=1))
    reader.step()
    news = reader.news()
    assert news.first == news.next
    assert not news.changes


def test_a_configuration_from_another_node_is_not_read_again(context, store):
    """After a power loss a node has the configuration from another one. Reading it from
    the store all the same would fill its slow link while callers come back."""
    write(store, Topic.CONFIGURATION, "config", 3)
    follower = ConfigurationFollower(context, FewReaders())
    context.configure(make_table(version=3), b"3", "b")
    follower.relayed_at = time.monotonic()
    reads = []
    store.newest = lambda topic: reads.append(topic)
    assert follower.step() > 0
    assert not reads
