"""Tests of what a starting node takes from another one."""

import time
import zlib
from contextlib import suppress

import gevent
import msgspec
import pytest
from endive_core.part_reports import PartCrash
from endive_gateway.bootstrap import DECODER
from endive_gateway.configuration_exchange import LENGTH_PREFIX
from endive_gateway.decoding import decode_msgpack
from endive_gateway.interfaces import ServerDelta, Topic
from endive_gateway.peers import Peers
from endive_gateway.server_following import MAX_BOOTSTRAP_AGE_S, ServerFollower
from gateway_builders import make_context, make_table
from gevent.server import StreamServer
from store_builders import MemoryStore, store_down, write
from test_peers import state_message

PORT = 17_631
SOON_S = 1.0
COMMON, BAD = 0xC0, tuple(range(0xBAD, 0xBAD + 6))
SERVER = {"service": "s", "address": "127.0.0.1:1", "zone": "z", "slots": 8}


def make_peers(address, store):
    peers = Peers(make_context(make_table(), store=store, node=address))
    peers.address = peers.node_list.address = address
    peers.port = PORT
    peers.servers = ServerFollower(peers.context, peers)
    return peers


def make_silent_peers(address, store):
    """Return the peers of a node that sends no messages."""
    peers = make_peers(address, store)
    peers.send_state = lambda *_peers, **_options: None
    return peers


def table_of(peers):
    """Return what a node knows of crashes by parts."""
    return peers.context.placer.trials.table


def note_crashes(peers, parts, rounds=3):
    """Let a node know of several crashes under each part, and of answers to others."""
    now = time.monotonic()
    table = table_of(peers)
    table.add_answers((COMMON,), now - 20.0)
    for number, part in enumerate(parts * rounds):
        at = now - 20.0 + number
        table.add(PartCrash(f"i-{number}@1", number, (COMMON, part), at - 0.1, at))
    table.add_answers((COMMON,), now)


@pytest.fixture
def complete():
    """A running node that knows another node and a server from the store."""
    store = MemoryStore()
    store.put(Topic.NODES, "n9", b'{"address":"127.0.0.9","incarnation":1}')
    write(store, Topic.SERVERS, "i-1", SERVER)
    peers = make_peers("127.0.0.1", store)
    peers.start()
    peers.node_list.read()
    peers.servers.step()
    yield peers
    peers.stop()


@pytest.fixture
def starting():
    """A node that has just started, and which the store does not answer."""
    store = MemoryStore()
    store.fault = store_down
    return make_silent_peers("127.0.0.4", store)


def is_soon(condition):
    end = time.monotonic() + SOON_S
    while not condition() and time.monotonic() < end:
        gevent.sleep(0.01)
    return condition()


def test_a_starting_node_takes_nodes_and_servers_from_another(complete, starting):
    """A hundred nodes start together before a store that answers a few calls at a time.
    Without servers they refuse every request until each has its own answers."""
    assert complete.is_complete()
    assert starting.lacks_bootstrap()
    starting.receive(state_message(complete=True), complete.address)
    assert is_soon(lambda: not starting.lacks_bootstrap())
    assert "127.0.0.9" in starting.known
    assert starting.context.registry.get("i-1").usable
    assert starting.servers.next_offset == complete.servers.next_offset


def tell_of_crashes(peers, source, **options):
    """Let a node get a message of one that knows of crashes."""
    crash = ("i-0@1", 0, (COMMON, BAD[0]), 20.1, 20.0)
    message = state_message(complete=True, part_crashes=[crash], **options)
    peers.receive(message, source.address)


def test_a_node_that_starts_takes_all_crashes_that_others_know(complete):
    """It learned of them one by one, and tried again each part that others refused."""
    note_crashes(complete, BAD)
    peers = make_silent_peers("127.0.0.4", complete.context.store)
    peers.node_list.read()
    peers.servers.step()
    tell_of_crashes(peers, complete, age_s=60.0)
    assert is_soon(lambda: not peers.lacks_bootstrap())
    for part in BAD:
        assert len(table_of(peers).evidence(part).rounds) == 3
    assert set(table_of(peers).suspected()) == set(BAD)
    told = [crash.server for crash in peers.part_exchange.news.fresh]
    assert told == ["i-0@1"]


def test_a_node_that_was_cut_off_takes_the_crashes_of_that_time(complete):
    """It tried again what the others had refused meanwhile."""
    peers = make_silent_peers("127.0.0.4", complete.context.store)
    peers.node_list.read()
    peers.servers.step()
    peers.receive(state_message(complete=True, age_s=60.0), complete.address)
    peers.last_seen_at -= 30.0
    note_crashes(complete, BAD)
    tell_of_crashes(peers, complete, age_s=61.0, sequence=2)
    assert is_soon(lambda: set(table_of(peers).suspected()) == set(BAD))


def test_nodes_that_start_together_do_not_take_crashes_from_each_other(complete):
    """Hundreds of nodes that start would send each other what none of them knows."""
    peers = make_silent_peers("127.0.0.4", complete.context.store)
    peers.node_list.read()
    peers.servers.step()
    tell_of_crashes(peers, complete, age_s=0.1)
    assert not peers.lacks_bootstrap()


def test_a_bootstrap_of_an_earlier_build_is_read(complete, starting):
    """Nodes of two builds run beside each other while one replaces the other."""
    *fields, _parts = msgspec.structs.astuple(complete.bootstrap())
    bootstrap = decode_msgpack(msgspec.msgpack.encode(fields), DECODER)
    starting.apply_bootstrap(bootstrap)
    assert not starting.lacks_bootstrap()


def test_a_node_that_has_taken_the_list_still_reads_it(complete, starting):
    """The other node may have read it before a third one registered."""
    starting.apply_bootstrap(complete.bootstrap())
    assert starting.node_list.is_known.is_set()
    assert not starting.node_list.is_read.is_set()


def test_a_complete_node_answers_a_starting_one_at_once(complete):
    """In a large fleet its next regular message may come two seconds later."""
    receivers = []
    complete.send_state = receivers.extend
    complete.receive(state_message(complete=False), "127.0.0.4")
    complete.receive(state_message(complete=True), "127.0.0.5")
    assert [peer.address for peer in receivers] == ["127.0.0.4"]


def test_a_starting_node_is_not_answered_each_time(complete):
    """It sends many messages. On small instances the answers of all complete nodes
    would delay its start."""
    receivers = []
    complete.send_state = receivers.extend
    for sequence in range(1, 9):
        complete.receive(state_message(sequence=sequence), "127.0.0.4")
    assert len(receivers) == 1


def test_a_node_that_has_run_for_long_is_not_answered(complete):
    """It is of an earlier build, or the store does not answer it."""
    receivers = []
    complete.send_state = receivers.extend
    complete.receive(state_message(age_s=60.0), "127.0.0.4")
    assert receivers == []


def test_the_first_nodes_that_know_the_servers_tell_all(complete):
    sent = []
    complete.send_state = lambda *peers: sent.append(peers)
    complete.context.registry.notify_listeners()
    complete.context.registry.notify_listeners()
    assert sent == [()]


def test_a_node_that_reads_the_list_last_says_that_it_is_complete():
    """Otherwise starting nodes learn of it only with its next regular message."""
    store = MemoryStore()
    store.put(Topic.NODES, "n9", b'{"address":"127.0.0.9","incarnation":1}')
    write(store, Topic.SERVERS, "i-1", SERVER)
    peers = make_peers("127.0.0.1", store)
    sent = []
    peers.send_state = lambda *_peers, **_options: sent.append(peers.is_complete())
    peers.context.registry.listeners.append(peers._announce_servers)
    peers.servers.step()
    peers.node_list.read()
    assert sent[-1]


@pytest.mark.parametrize("age_s", [-1.0, MAX_BOOTSTRAP_AGE_S + 0.1])
def test_old_servers_are_not_taken(complete, starting, age_s):
    """Among them may be a server that has left since."""
    bootstrap = complete.bootstrap()
    bootstrap.age_s = age_s
    starting.apply_bootstrap(bootstrap)
    assert not starting.servers.synced


def test_servers_that_a_node_has_read_itself_stay(complete):
    write(complete.context.store, Topic.SERVERS, "i-2", SERVER)
    bootstrap = complete.bootstrap()
    complete.servers.step()
    complete.apply_bootstrap(bootstrap)
    assert complete.context.registry.get("i-2") is not None


def test_a_read_that_began_before_a_bootstrap_removes_no_server(complete):
    """The store's answer is slow, and older than what another node has passed on."""
    store = complete.context.store
    follower = make_silent_peers("127.0.0.5", store).servers
    old_page = store.newest(Topic.SERVERS)
    write(store, Topic.SERVERS, "i-2", SERVER)
    complete.servers.step()
    bootstrap = complete.bootstrap()

    def answer_late(_topic):
        follower.readers.apply_bootstrap(bootstrap)
        return old_page

    store.newest = answer_late
    follower.step()
    assert set(follower.context.registry.servers) == {"i-1", "i-2"}


@pytest.mark.parametrize("data", [b"", b"junk", zlib.compress(b"\xc1")])
def test_a_bootstrap_that_can_not_be_decoded_is_dropped(starting, data):
    def send(sock, _address):
        sock.sendall(LENGTH_PREFIX.pack(len(data)) + data)

    server = StreamServer(("127.0.0.1", PORT), send)
    server.start()
    try:
        starting.receive(state_message(complete=True), "127.0.0.1")
        gevent.sleep(0.1)
        assert starting.lacks_bootstrap()
    finally:
        server.stop(0)


def broken(_name):
    raise RecursionError("too deep")


@pytest.mark.parametrize("fault", [store_down, broken])
def test_a_node_whose_reads_fail_learns_of_a_departure_from_others(complete, fault):
    """It missed a change that was told, and went on sending requests to the server."""
    store = MemoryStore()
    write(store, Topic.SERVERS, "i-1", SERVER)
    cut_off = make_silent_peers("127.0.0.4", store)
    cut_off.servers.step()
    cut_off.node_list.learn([])
    store.fault = fault
    for sequence in range(2, 40):
        write(
            complete.context.store,
            Topic.SERVERS,
            "i-1",
            SERVER | {"state": "leaving", "sequence": sequence},
        )
    complete.servers.step()
    with suppress(RecursionError):
        cut_off.servers.step()
    end = complete.servers.next_offset
    delta = ServerDelta(end - 1, end, b"", 0.1, 1)
    message = state_message(complete=True, server_delta=delta)
    cut_off.receive(message, complete.address)
    cut_off.receive(
        state_message(complete=True, server_delta=delta, sequence=2), complete.address
    )
    assert is_soon(lambda: not cut_off.context.registry.get("i-1").usable)
    assert not cut_off.servers.is_outdated


def test_a_node_that_can_read_takes_no_servers_from_others(complete):
    """It knows the list from the store sooner, and of its own."""
    store = MemoryStore()
    write(store, Topic.SERVERS, "i-1", SERVER)
    peers = make_silent_peers("127.0.0.4", store)
    peers.servers.step()
    peers.node_list.learn([])
    delta = ServerDelta(8, 9, b"", 0.1, 1)
    for sequence in (1, 2):
        message = state_message(complete=True, server_delta=delta, sequence=sequence)
        peers.receive(message, complete.address)
    assert not peers.bootstrap_exchange.pulling
