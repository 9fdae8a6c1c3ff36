import random
import time
import uuid
import zlib

import pytest
from endive_gateway.following import (
    HISTORY_S,
    ServerFollower,
)
from endive_gateway.interfaces import ServerNews, Topic
from gateway_builders import make_context
from store_builders import FewReaders, MemoryStore, store_down, write


@pytest.fixture
def store():
    return MemoryStore()


@pytest.fixture
def context(store):
    return make_context(store=store)


def server(**options):
    return {"service": "s", "address": "127.0.0.1:1", "zone": "z", "slots": 8} | options


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
    listener.receive(reader.news())
    calls = len(store.calls)
    write(store, Topic.SERVERS, "i-2", server(sequence=1))
    write(store, Topic.SERVERS, "i-1", server(sequence=2, state="leaving"))
    reader.step()
    listener.receive(reader.news())
    listener.step()
    assert len(store.calls) == calls + 1
    assert listener.context.registry.get("i-2").usable
    assert not listener.context.registry.get("i-1").usable


def test_news_that_do_not_join_what_is_known_are_left_to_an_own_read(store):
    """A node missed several tellings in a row. Taking the next ones as they are, it
    would never hear of the server that began to leave in between."""
    reader, listener = told(store)
    listener.receive(reader.news())
    write(store, Topic.SERVERS, "i-1", server(sequence=2, state="leaving"))
    reader.step()
    reader.changes.clear()
    reader.floor = reader.next
    reader.marks.clear()
    reader.marks.append((time.monotonic(), reader.next))
    listener.receive(reader.news())
    assert listener.context.registry.get("i-1").usable
    listener.relayed_at -= 10.0
    listener.step()
    assert not listener.context.registry.get("i-1").usable


def test_changes_that_fit_no_datagram_make_the_others_read_at_once(store):
    """A zone is reclaimed, and more servers begin to leave than a telling has room for.
    A node that waited for news it can join sent them requests for 2.1 seconds."""
    reader, listener = told(store)
    listener.receive(reader.news())
    for number in range(30):
        write(store, Topic.SERVERS, f"i-{number + 10}", server(sequence=1))
    write(store, Topic.SERVERS, "i-1", server(sequence=2, state="leaving"))
    reader.step()
    listener.receive(reader.news())
    listener.step()
    assert not listener.context.registry.get("i-1").usable


def test_a_node_reads_by_itself_when_its_readers_lose_the_store(store):
    reader, listener = told(store)
    listener.receive(reader.news())
    store.fault = store_down
    reader.step()
    assert reader.news() is None
    store.fault = None
    listener.relayed_at -= 10.0
    calls = len(store.calls)
    listener.step()
    assert len(store.calls) == calls + 1


def add_servers(store, number):
    for _ in range(number):
        server_id, port = f"i-{uuid.uuid4().hex}", random.randrange(1, 65_536)
        entry = server(address=f"10.1.2.3:{port}", sequence=1)
        write(store, Topic.SERVERS, server_id, entry)


def test_more_changes_than_a_datagram_holds_are_not_told(store):
    reader, listener = told(store)
    add_servers(store, 60)
    reader.step()
    news = reader.news()
    assert news.first == news.next
    assert not news.changes


def test_changes_that_did_not_fit_are_read_once(store):
    """Sixty servers start, more than a telling holds. Each node reads them once; were
    they missing from all tellings of the next seconds, each would read five times."""
    reader, listener = told(store)
    listener.receive(reader.news())
    add_servers(store, 60)
    reader.step()
    calls = len(store.calls)
    for _ in range(5):
        listener.receive(reader.news())
        listener.step()
    assert len(store.calls) == calls + 1
    assert len(listener.context.registry.servers) == 61


def test_what_did_not_fit_is_not_told_as_known_later(store, monkeypatch):
    """Sixty servers start, more than a telling holds, and the history's end passes an
    older moment. Were the tellings then to begin before the sixty, without them, a node
    would take itself to know all, and leave its callers to the few it has."""
    reader, listener = told(store)
    listener.receive(reader.news())
    add_servers(store, 60)
    reader.step()
    reader.news()
    reader.marks.appendleft((time.monotonic() - 2 * HISTORY_S, 1))
    listener.receive(reader.news())
    listener.step()
    assert len(listener.context.registry.servers) == 61


def test_the_servers_of_a_zone_fit_into_one_telling(store):
    """Fifteen servers are reclaimed at once. Each node is told of all of them, and need
    not read the store."""
    reader, listener = told(store)
    listener.receive(reader.news())
    add_servers(store, 15)
    reader.step()
    calls = len(store.calls)
    listener.receive(reader.news())
    listener.step()
    assert len(store.calls) == calls
    assert len(listener.context.registry.servers) == 16


@pytest.mark.parametrize("packed", [b"x", zlib.compress(b"x"), zlib.compress(b"")])
def test_news_that_can_not_be_read_lead_to_an_own_read(store, packed):
    reader, listener = told(store)
    listener.receive(ServerNews(0, 99, packed))
    assert not listener.is_relayed()
    assert listener.next == reader.next


def test_a_reader_that_sees_a_server_leave_tells_the_others_at_once(store):
    """A server is gone 1.1 s after its notice. Told with the next round, up to 0.9 s
    later, the others would send it requests that it takes along."""
    readers = FewReaders()
    reader = ServerFollower(make_context(store=store), readers)
    write(store, Topic.SERVERS, "i-1", server(sequence=1))
    reader.step()
    write(store, Topic.SERVERS, "i-2", server(sequence=1))
    reader.step()
    assert not hasattr(readers, "hastened")
    write(store, Topic.SERVERS, "i-1", server(sequence=2, state="leaving"))
    reader.step()
    assert readers.hastened
