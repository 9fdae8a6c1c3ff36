import random
import time
import uuid
import zlib
from types import SimpleNamespace

import pytest
from endive_gateway import following, server_following
from endive_gateway.following import RELAY_TIMEOUT_S
from endive_gateway.interfaces import ServerDelta, Topic
from endive_gateway.server_following import CHANGE_HISTORY_S, ServerFollower
from gateway_builders import make_context
from store_builders import MemoryStore, NonReader, store_down, write
from ticks import MAX_GAP_S, largest_gap_until_end_s


@pytest.fixture
def store():
    return MemoryStore()


@pytest.fixture
def context(store):
    return make_context(store=store)


def server(**options):
    return {"service": "s", "address": "127.0.0.1:1", "zone": "z", "slots": 8} | options


def test_servers_are_added_and_removed(context, store):
    follower = ServerFollower(context)
    write(store, Topic.SERVERS, "i-1", server())
    follower.step()
    assert context.registry.get("i-1").usable
    write(store, Topic.SERVERS, "i-1", None)
    follower.step()
    assert context.registry.get("i-1") is None


def test_an_invalid_entry_adds_and_removes_no_server(context, store):
    """Another writer writes invalid entries, also under a live server's id."""
    follower = ServerFollower(context)
    write(store, Topic.SERVERS, "i-1", server())
    follower.step()
    write(store, Topic.SERVERS, "i-2", {"service": 5})
    write(store, Topic.SERVERS, "i-1", ["?"])
    write(store, Topic.SERVERS, "i-3", server())
    follower.step()
    assert set(context.registry.servers) == {"i-1", "i-3"}


def test_servers_missing_after_an_outage_get_a_grace_period(context, store):
    follower = ServerFollower(context)
    write(store, Topic.SERVERS, "i-1", server())
    follower.step()
    store.fault = store_down
    follower.step()
    store.fault = None
    write(store, Topic.SERVERS, "i-1", None)
    follower.step()
    assert context.registry.get("i-1").usable


def test_servers_missing_from_a_full_read_are_dropped(context, store):
    follower = ServerFollower(context)
    write(store, Topic.SERVERS, "i-1", server())
    follower.step()
    write(store, Topic.SERVERS, "i-1", None)
    write(store, Topic.SERVERS, "i-2", server())
    store.kept_from[Topic.SERVERS] = 3
    follower.step()
    follower.step()
    assert set(context.registry.servers) == {"i-2"}


def test_many_unreadable_records_hold_up_nothing(context, store):
    """All records of another writer were applied in one turn of the event loop."""
    follower = ServerFollower(context)
    follower.step()
    for number in range(5_000):
        store.put(Topic.SERVERS, f"i-{number}", b"?")
    write(store, Topic.SERVERS, "i-last", server())
    assert largest_gap_until_end_s(follower.step) < MAX_GAP_S
    assert context.registry.get("i-last").usable


def test_records_that_a_peer_relays_while_a_page_is_applied_count_once(store):
    """Others run between two records, and may apply the same ones."""
    reader, listener = make_reader_and_listener(store)
    for number in range(2, 200):
        write(store, Topic.SERVERS, f"i-{number}", server(sequence=1))
    write(store, Topic.SERVERS, "i-1", server(sequence=2, state="draining"))
    reader.step()
    page = store.read(Topic.SERVERS, listener.next_offset)
    applied = []

    class Relaying:
        def checkpoint(self):
            applied.append(listener.next_offset)
            if len(applied) == 50:
                listener.apply_delta(reader.server_delta())

    listener.worker = Relaying()
    listener._apply_page(page)
    assert listener.next_offset == page.end
    assert len({record.offset for record in listener.changes}) == len(listener.changes)
    assert len(listener.context.registry.servers) == 199


def make_reader_and_listener(store):
    """Return a reader and a node that it relays to; both know one server."""
    write(store, Topic.SERVERS, "i-1", server(sequence=1))
    reader = ServerFollower(make_context(store=store))
    listener = ServerFollower(make_context(store=store), NonReader())
    reader.step()
    listener.step()
    return reader, listener


def test_relayed_changes_replace_reads(store):
    reader, listener = make_reader_and_listener(store)
    listener.apply_delta(reader.server_delta())
    calls = len(store.calls)
    write(store, Topic.SERVERS, "i-2", server(sequence=1))
    write(store, Topic.SERVERS, "i-1", server(sequence=2, state="leaving"))
    reader.step()
    listener.apply_delta(reader.server_delta())
    listener.step()
    assert len(store.calls) == calls + 1
    assert listener.context.registry.get("i-2").usable
    assert not listener.context.registry.get("i-1").usable


def test_changes_after_a_gap_lead_to_a_read(store):
    """A node missed several messages in a row. If it applied the next one, it would
    never learn of the server that began to leave in between."""
    reader, listener = make_reader_and_listener(store)
    listener.apply_delta(reader.server_delta())
    write(store, Topic.SERVERS, "i-1", server(sequence=2, state="leaving"))
    reader.step()
    reader.changes.clear()
    reader.history_start = reader.next_offset
    reader.checkpoints.clear()
    reader.checkpoints.append((time.monotonic(), reader.next_offset))
    listener.apply_delta(reader.server_delta())
    assert listener.context.registry.get("i-1").usable
    listener.relayed_at -= 10.0
    listener.step()
    assert not listener.context.registry.get("i-1").usable


def test_changes_too_large_for_a_datagram_lead_to_a_read_at_once(store):
    """A zone is reclaimed, and more servers begin to leave than fit into a message. A
    node that waited for changes that continue from its offset sent them requests for
    2.1 s."""
    reader, listener = make_reader_and_listener(store)
    listener.apply_delta(reader.server_delta())
    for number in range(30):
        write(store, Topic.SERVERS, f"i-{number + 10}", server(sequence=1))
    write(store, Topic.SERVERS, "i-1", server(sequence=2, state="leaving"))
    reader.step()
    listener.apply_delta(reader.server_delta())
    listener.step()
    assert not listener.context.registry.get("i-1").usable


def test_a_node_reads_the_store_itself_when_its_readers_can_not(store):
    reader, listener = make_reader_and_listener(store)
    listener.apply_delta(reader.server_delta())
    store.fault = store_down
    reader.step()
    assert reader.server_delta() is None
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


def test_changes_too_large_for_a_datagram_are_not_relayed(store):
    reader, listener = make_reader_and_listener(store)
    add_servers(store, 60)
    reader.step()
    server_delta = reader.server_delta()
    assert server_delta.first == server_delta.next
    assert not server_delta.changes


def test_changes_that_were_not_relayed_are_read_once(store):
    """Sixty servers start, more than fit into a message. Each node reads them once. If
    the gap stayed in all messages of the next seconds, each would read five times."""
    reader, listener = make_reader_and_listener(store)
    listener.apply_delta(reader.server_delta())
    add_servers(store, 60)
    reader.step()
    calls = len(store.calls)
    for _ in range(5):
        listener.apply_delta(reader.server_delta())
        listener.step()
    assert len(store.calls) == calls + 1
    assert len(listener.context.registry.servers) == 61


def test_changes_that_were_not_relayed_are_not_skipped_later(store, monkeypatch):
    """Sixty servers start, more than fit into a message, while an older checkpoint
    expires. If later messages then claimed to cover the offsets of the sixty without
    containing them, a node would count itself as up to date and send all requests to
    the few servers that it knows."""
    reader, listener = make_reader_and_listener(store)
    listener.apply_delta(reader.server_delta())
    add_servers(store, 60)
    reader.step()
    reader.server_delta()
    reader.checkpoints.appendleft((time.monotonic() - 2 * CHANGE_HISTORY_S, 1))
    listener.apply_delta(reader.server_delta())
    listener.step()
    assert len(listener.context.registry.servers) == 61


def test_the_servers_of_a_zone_fit_into_one_message(store):
    """Fifteen servers are reclaimed at once. The changes fit into one message, so that
    the other nodes need not read the store."""
    reader, listener = make_reader_and_listener(store)
    listener.apply_delta(reader.server_delta())
    add_servers(store, 15)
    reader.step()
    calls = len(store.calls)
    listener.apply_delta(reader.server_delta())
    listener.step()
    assert len(store.calls) == calls
    assert len(listener.context.registry.servers) == 16


@pytest.mark.parametrize("packed", [b"x", zlib.compress(b"x"), zlib.compress(b"")])
def test_undecodable_changes_lead_to_a_read(store, packed):
    reader, listener = make_reader_and_listener(store)
    listener.apply_delta(ServerDelta(0, 99, packed))
    assert not listener.is_relayed()
    assert listener.next_offset == reader.next_offset


def test_a_reader_that_sees_a_server_leave_broadcasts_at_once(store):
    """A server is gone 1.1 s after its notice. If the others learned of it with the
    next regular broadcast, up to 0.9 s later, the requests that they send it until then
    would be lost with it."""
    readers = NonReader()
    reader = ServerFollower(make_context(store=store), readers)
    write(store, Topic.SERVERS, "i-1", server(sequence=1))
    reader.step()
    write(store, Topic.SERVERS, "i-2", server(sequence=1))
    reader.step()
    assert not hasattr(readers, "broadcast_requested")
    write(store, Topic.SERVERS, "i-1", server(sequence=2, state="leaving"))
    reader.step()
    assert readers.broadcast_requested


def test_a_read_that_nodes_pass_on_grows_old(store, monkeypatch):
    """Messages take a while. If each node counted a read's age from their arrival, none
    would notice for seconds that no reader reaches the store."""
    now = [100.0]
    for module in (following, server_following):
        clock = SimpleNamespace(monotonic=lambda: now[0])
        monkeypatch.setattr(module, "time", clock)
        monkeypatch.setattr(module, "boot_time", lambda: now[0])
    write(store, Topic.SERVERS, "i-1", server(sequence=1))
    followers = [
        ServerFollower(make_context(store=store), NonReader()) for _ in range(3)
    ]
    for follower in followers:
        follower.step()
    for step in range(30):
        delta = followers[step % 3].server_delta()
        if delta is None:
            break
        now[0] += 0.03
        followers[(step + 1) % 3].apply_delta(delta)
    assert now[0] - 100.0 < RELAY_TIMEOUT_S + 0.1
    assert all(follower.age_s() > 0.8 for follower in followers)


def test_what_a_whole_read_drops_is_not_announced_as_no_change(store):
    """A starting node has taken the servers from another one, and its own read finds
    one gone. A message that it then sends must not let others skip that."""
    starting, other = (ServerFollower(make_context(store=store)) for _ in range(2))
    write(store, Topic.SERVERS, "i-1", server())
    write(store, Topic.SERVERS, "i-2", server())
    other.step()
    records = list(other.newest.values())
    starting.load(records, other.next_offset, 0.0, other.reads.newest)
    write(store, Topic.SERVERS, "i-1", None)
    page, announced = store.newest(Topic.SERVERS), []
    starting.context.registry.listeners.append(
        lambda: announced.append(starting.server_delta())
    )
    starting._set_newest(page.records, page.end)
    assert announced
    for delta in announced:
        other.apply_delta(delta)
    other.step()
    assert set(other.context.registry.servers) == {"i-2"}
