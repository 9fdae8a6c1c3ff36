"""Entries of the store that can't be read, and what stands beside them."""

import pytest
from endive_gateway.interfaces import Record, Topic
from endive_gateway.listing import NodeList
from endive_gateway.server_following import ServerFollower
from endive_platform.wire import PlatformWire
from gateway_builders import make_context
from odd_documents import (
    DEEP,
    ODD_ADDRESSES,
    ODD_ENTRIES,
    ODD_NODE_ENTRIES,
    ODD_SERVER_IDS,
    entry,
    nested,
    node_entry,
)
from store_builders import MemoryStore


def put(store, key, value):
    """Append a record to the list of servers."""
    records = store.topics[Topic.SERVERS]
    records.append(Record(len(records), key, value))


def read(follower):
    """Read the list; a failure is only logged, as in the running loop."""
    try:
        follower.step()
    except Exception:
        return


@pytest.fixture
def store():
    return MemoryStore()


@pytest.fixture
def follower(store):
    context = make_context(store=store)
    context.wire = PlatformWire()
    return ServerFollower(context)


@pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_a_departure_after_an_unreadable_entry_is_seen(store, follower, odd):
    """Requests reached servers that had left, since no node read past the entry."""
    put(store, "i-1", entry())
    read(follower)
    put(store, "odd", odd)
    put(store, "i-1", entry(state="draining", sequence=2))
    put(store, "i-2", entry())
    read(follower)
    assert not follower.context.registry.get("i-1").usable
    assert set(follower.context.registry.servers) == {"i-1", "i-2"}


@pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_a_node_that_starts_beside_an_unreadable_entry_knows_the_others(
    store, follower, odd
):
    """After all nodes had restarted, none knew a server while the entry lay there."""
    put(store, "i-1", entry())
    put(store, "odd", odd)
    put(store, "i-2", entry())
    read(follower)
    assert set(follower.context.registry.servers) == {"i-1", "i-2"}
    assert follower.context.registry.is_loaded


@pytest.mark.parametrize("server_id", ODD_SERVER_IDS)
def test_an_entry_under_an_impossible_id_names_no_server(store, follower, server_id):
    """Each request placed there ended with an internal error."""
    put(store, server_id, entry())
    put(store, "i-2", entry())
    read(follower)
    assert set(follower.context.registry.servers) == {"i-2"}


@pytest.mark.parametrize("odd", ODD_NODE_ENTRIES.values(), ids=ODD_NODE_ENTRIES)
def test_the_nodes_beside_an_unreadable_entry_are_found(store, odd, caplog):
    """No node found the others, or each sent its messages to an address of none."""
    found = []
    nodes = NodeList(make_context(store=store), found.extend)
    store.put(Topic.NODES, "n-1", node_entry(address="127.0.0.2"))
    store.put(Topic.NODES, "odd", odd)
    store.put(Topic.NODES, "n-2", node_entry(address="127.0.0.3"))
    nodes.read()
    assert found == ["127.0.0.2", "127.0.0.3"]
    nodes.read()
    assert caplog.text.count("node_entry_undecodable") == 1


def test_addresses_of_no_node_are_not_taken_from_another_one(store):
    """A starting node passed on what an odd snapshot held, and sent messages there."""
    nodes = NodeList(make_context(store=store), lambda _addresses: None)
    nodes.learn([*ODD_ADDRESSES, "127.0.0.2"])
    assert nodes.addresses == ["127.0.0.2"]


@pytest.mark.parametrize(
    "odd",
    [
        {"cold_left_ms": 2**60},
        {"leaves_ms": "soon"},
        {"slots": 0},
        {"born": 1.5},
        {"address": ""},
        {"zone": None},
    ],
)
def test_a_departure_is_seen_in_an_entry_that_is_otherwise_unreadable(
    store, follower, odd
):
    """A server that leaves got requests for as long as its entry had one odd field."""
    put(store, "i-1", entry())
    put(store, "i-2", entry())
    read(follower)
    put(store, "i-1", entry(state="draining", sequence=2, **odd))
    read(follower)
    assert not follower.context.registry.get("i-1").usable
    assert "i-1" not in follower.newest
    put(store, "i-1", entry(sequence=3))
    read(follower)
    assert follower.context.registry.get("i-1").usable


@pytest.mark.parametrize(
    "odd",
    [b"[" * DEEP, nested(), nested(33), b'{"state": "ready"', b"9" * 20_000],
    ids=["breaks off", "deep", "one too deep", "an open object", "large"],
)
def test_a_departure_is_seen_beside_what_nests_deeply_or_is_large(store, follower, odd):
    """A server that said in such an entry that it leaves went on getting requests."""
    put(store, "i-1", entry())
    read(follower)
    leaving = entry(state="draining", hosts="%RAW", sequence=2)
    put(store, "i-1", leaving.replace(b'"%RAW"', odd))
    read(follower)
    assert not follower.context.registry.get("i-1").usable


@pytest.mark.parametrize(
    "value",
    [
        b'{"note": {"state": "draining"}, "state": "ready", "slots": 0}',
        b'{"note": "\\"state\\": \\"draining\\"", "state": "ready", "slots": 0}',
        b'["state", "draining"]',
        b'{"state": ["draining"]}',
    ],
)
def test_no_departure_is_read_from_another_field(store, follower, value):
    """A sound server would get no requests for what does not concern its state."""
    put(store, "i-1", entry())
    read(follower)
    put(store, "i-1", value)
    read(follower)
    assert follower.skipped
    assert follower.context.registry.get("i-1").usable


def test_a_listener_that_fails_keeps_no_other_from_a_change(store, follower):
    """A departure reached none of the parts that were to be told of it later."""
    registry, seen = follower.context.registry, []

    def fail():
        raise RuntimeError("no")

    registry.listeners.insert(0, fail)
    registry.listeners.append(lambda: seen.append(registry.get("i-1").usable))
    put(store, "i-1", entry())
    read(follower)
    put(store, "i-1", entry(state="draining", sequence=2))
    read(follower)
    assert seen == [True, False]
