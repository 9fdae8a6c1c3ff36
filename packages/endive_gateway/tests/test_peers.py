import time
import zlib

import gevent
import msgspec
import pytest
from endive_core.crashes import Crash
from endive_gateway import peers as peers_module
from endive_gateway.configuration_exchange import decompress
from endive_gateway.exceptions import StoreOutcomeUnknownError
from endive_gateway.interfaces import Bounds, Topic
from endive_gateway.peers import Peers
from endive_gateway.state_messages import DECODER, StateMessage
from gateway_builders import make_context, make_table
from store_builders import MemoryStore, store_down


def state_message(**options):
    values = {
        "node": "b",
        "incarnation": 1,
        "sequence": 1,
        "wall_ms": 1_000_000,
        "version": 1,
        "gone": False,
        "spent": {"o": 5.0},
        "work": {"s": 0.5},
        "windows": {7: {"o": 3}},
        "crashes": [("f", "i-1", 1.0)],
        "fence": 0,
        "reported": 4,
    }
    return StateMessage(**(values | options))


@pytest.fixture
def peers():
    return Peers(make_context(make_table()))


def test_a_state_message_survives_encoding():
    assert DECODER.decode(msgspec.msgpack.encode(state_message())) == state_message()


def test_a_state_message_fits_one_datagram():
    """A datagram larger than one frame is lost if any of its fragments is."""
    organisations = {f"organisation-{n}": 123456.789 for n in range(8)}
    counts = dict.fromkeys(organisations, 1000)
    message = state_message(
        spent=organisations, windows=dict.fromkeys((1, 2, 3), counts)
    )
    assert len(msgspec.msgpack.encode(message)) < 1400


def test_a_peers_state_is_applied(peers):
    peers.receive(state_message(), "127.0.0.2")
    context = peers.context
    assert context.meter.total(7) == {"o": 3}
    assert context.reported == 4
    assert context.placer.crashes.count("f", time.monotonic()) == 1
    assert [peer.node for peer in peers.live()] == ["b"]


def test_a_state_message_that_arrives_out_of_order_is_dropped(peers):
    peers.receive(state_message(sequence=5, fence=3), "127.0.0.2")
    peers.receive(state_message(sequence=4, fence=0), "127.0.0.2")
    assert peers.known["127.0.0.2"].fence == 3
    peers.receive(state_message(incarnation=2, sequence=1, fence=0), "127.0.0.2")
    assert peers.known["127.0.0.2"].fence == 0


def test_a_node_that_restarts_with_its_clock_set_back_is_heard(peers):
    """Its incarnation is lower than before. If its messages were dropped, it would
    count as silent for half a minute, and what it spends would not count."""
    peers.receive(state_message(incarnation=9_000_000, age_s=60.0), "127.0.0.2")
    restarted = state_message(incarnation=5_000_000, fence=3, age_s=0.2)
    peers.receive(restarted, "127.0.0.2")
    assert peers.known["127.0.0.2"].fence == 3


def test_a_late_message_of_the_process_before_a_restart_is_dropped(peers):
    """Its incarnation is higher if the clock was set back."""
    peers.receive(state_message(incarnation=5_000_000, fence=3, age_s=0.2), "127.0.0.2")
    late = state_message(incarnation=9_000_000, sequence=700, age_s=60.0)
    peers.receive(late, "127.0.0.2")
    assert peers.known["127.0.0.2"].fence == 3


def test_a_peer_that_stopped_is_removed_at_once(peers):
    peers.receive(state_message(), "127.0.0.2")
    peers.receive(state_message(sequence=2, gone=True), "127.0.0.2")
    assert not peers.known
    assert peers.context.limits.reachable_share(time.monotonic() + 5) == 1.0


def test_listed_nodes_are_presumed_live_before_their_first_message(peers):
    """Nodes start together, and one of them first receives messages from a third of the
    others. It must choose an organisation's coordinator from the same nodes as they
    do."""
    peers._add_peer("127.0.0.2")
    peers.receive(state_message(), "127.0.0.3")
    assert peers.presumed_live() == ["127.0.0.2", "127.0.0.3"]
    peers.known["127.0.0.2"].added_at -= peers.live_timeout_s
    assert peers.presumed_live() == ["127.0.0.3"]


def test_crashes_are_relayed(peers):
    peers.context.placer.crashes.add(Crash("f", "i-1@3", time.monotonic()))
    assert peers._state_message(False).crashes[0][:2] == ("f", "i-1@3")


def test_server_failures_are_shared_by_all_nodes(peers):
    """A server fails every request. Each of sixty nodes sends it only one in three
    seconds, too few to detect that alone; together they can."""
    placer = peers.context.placer
    placer.ejection.failed("i-1", time.monotonic())
    assert peers._state_message(gone=False).server_failures == {"i-1": 1}
    peers.receive(state_message(server_failures={"i-1": 9}), "127.0.0.2")
    servers = [f"i-{number}" for number in range(8)]
    assert placer.ejection.ejected(servers, time.monotonic()) == {"i-1"}


def test_nodes_find_each_other_by_the_store():
    store = MemoryStore()
    one, two = (Peers(make_context(make_table(), store=store, node=n)) for n in "ab")
    for peers, address in ((one, "127.0.0.2"), (two, "127.0.0.3")):
        peers.address = peers.node_list.address = address
    one.send_state = two.send_state = lambda *_arguments, **_options: None
    listing = [gevent.spawn(peers.node_list.follow) for peers in (one, two)]
    gevent.sleep(0.05)
    gevent.killall(listing)
    one.node_list.read()
    assert set(one.known) == {"127.0.0.3"}
    assert set(two.known) == {"127.0.0.2"}
    assert len(store.topics[Topic.NODES]) == 2


def test_a_node_that_the_store_rejects_pulls_the_configuration_from_a_peer():
    """The store rejects one node's calls and serves the others and the operators. A key
    that is revoked meanwhile would stay valid at that node."""
    ahead, behind = (make_context(make_table(), node=name) for name in "ab")
    ahead.configure(make_table(version=9), b"9", "test")
    port = 17_611
    serving, asking = Peers(ahead), Peers(behind)
    serving.port = asking.port = port
    serving.address = "127.0.0.1"
    asking.address = "127.0.0.4"
    serving.start()
    try:
        asking.receive(state_message(version=9), "127.0.0.1")
        assert wait_for_version(behind, 9, Bounds().config_s)
    finally:
        serving.stop()


def wait_for_version(context, version, seconds):
    """Return whether `version` came into force within `seconds`."""
    end = time.monotonic() + seconds
    while context.version != version and time.monotonic() < end:
        gevent.sleep(0.01)
    return context.version == version


def test_a_pull_without_an_answer_is_repeated_before_a_change_is_late(peers):
    """The peer that was asked first hangs, or its answer comes too late. A node that
    waited for it would go on serving the older configuration."""
    asked = []

    def pull_from(source, _port, timeout_s):
        asked.append(source.node)
        if len(asked) == 1:
            gevent.sleep(timeout_s)
        else:
            peers.context.configure(make_table(version=9), b"9", "test")

    peers.configuration_exchange._pull_from = pull_from
    peers.receive(state_message(version=9), "127.0.0.2")
    assert wait_for_version(peers.context, 9, Bounds().config_s / 2)
    assert len(asked) == 2


def test_a_message_from_a_forgotten_node_is_noted_in_the_list(peers):
    """After a partition the messages of forgotten nodes show that the list of nodes has
    to be read again; messages of known nodes don't."""
    peers.node_list.is_read.set()
    peers.receive(state_message(age_s=60.0), "127.0.0.2")
    peers.receive(state_message(age_s=60.0, sequence=2), "127.0.0.2")
    peers.receive(state_message(age_s=1.0), "127.0.0.3")
    peers.receive(state_message(age_s=60.0), peers.address)
    assert peers.node_list.unlisted == {"127.0.0.2"}


def test_nodes_that_send_less_often_in_a_large_fleet_are_not_silent(peers):
    """87 nodes send each other a message every 0.9 s. If they counted as silent between
    two messages, each node would reserve parts of every limit for them and refuse
    callers."""
    peers._set_timeouts(0.87)
    peers.receive(state_message(), "127.0.0.2")
    now = time.monotonic()
    assert peers.context.limits.reachable_share(now + 2.0) == 1.0
    assert peers.context.limits.reachable_share(now + 3.0) == 0.5
    assert peers.live_timeout_s > 2.5


@pytest.mark.parametrize(
    ("nodes", "max_pause_s"), [(8, 0.01), (30, 0.01), (200, 0.05), (3000, 0.05)]
)
def test_messages_wait_for_a_small_part_of_the_time_between_them(
    peers, nodes, max_pause_s
):
    """Waiting saves processor time among many nodes. Among few, where messages come
    often, limits and backlogs would be noticeably older."""
    for number in range(nodes - 1):
        peers._add_peer(f"127.0.{number // 250}.{number % 250}")
    interval_s = max(0.2, 0.01 * nodes)
    peers._set_timeouts(interval_s)
    assert peers.datagrams.pause_s == 0.0
    peers.context.initialised.set()
    peers._set_timeouts(interval_s)
    assert 0 < peers.datagrams.pause_s <= max_pause_s


@pytest.mark.parametrize(
    "data", [b"", b"junk", zlib.compress(b"abc")[:-1], zlib.compress(bytes(20_000_000))]
)
def test_a_corrupt_or_too_large_configuration_is_refused(data):
    with pytest.raises(OSError):
        decompress(data)


def test_a_node_in_a_large_fleet_pulls_a_newer_configuration_at_once(peers):
    """Most of 87 nodes learn of a configuration from a few. A node that waited for its
    next two rounds of messages had it in force three seconds late."""
    for number in range(30):
        peers._add_peer(f"127.0.1.{number}")
    assert not peers.every_node_reads()
    asked = []

    def pull_from(_holder, _port, _timeout_s):
        asked.append(time.monotonic())
        peers.context.configure(make_table(version=9), b"9", "test")

    peers.configuration_exchange._pull_from = pull_from
    started = time.monotonic()
    peers.receive(state_message(version=9), "127.0.0.2")
    peers.receive(state_message(version=9, sequence=2), "127.0.0.2")
    gevent.sleep(0.2)
    assert len(asked) == 1
    assert asked[0] - started < 0.15


def make_starting_peers(number):
    """Return the peers of a node that has just started and knows `number` nodes."""
    starting = Peers(make_context())
    for other in range(number):
        starting._add_peer(f"127.0.1.{other}")
    starting.node_list.is_read.set()
    return starting


def test_a_starting_node_in_a_large_fleet_pulls_from_a_peer():
    """All nodes lose power together, and their links are slow. If each read a thousand
    routes from the store, callers would be refused for 0.6 s longer."""
    starting = make_starting_peers(30)
    pulled = []

    def pull_from(holder, _port, _timeout_s):
        pulled.append(holder.node)
        starting.context.configure(make_table(version=9), b"9", "test")

    starting.configuration_exchange._pull_from = pull_from
    starting.receive(state_message(version=9), "127.0.0.2")
    started = time.monotonic()
    assert starting.await_first_configuration()
    assert pulled == ["b"]
    assert time.monotonic() - started < 0.1


@pytest.mark.parametrize("number", [3, 30])
def test_a_starting_node_without_a_source_reads_the_store_soon(number):
    """No node has a configuration when the first ones start. If they waited for a
    source, all would wait for each other."""
    starting = make_starting_peers(number)
    started = time.monotonic()
    assert not starting.await_first_configuration()
    assert time.monotonic() - started < 0.15


def test_a_starting_node_in_a_small_fleet_waits_only_for_the_list():
    """Few nodes start, and the store returns the list of nodes within milliseconds. If
    each waited for the maximum time, it would refuse its callers for 0.1 s."""
    peers = Peers(make_context(make_table(), store=MemoryStore()))
    peers.send_state = lambda **_options: None
    listing = gevent.spawn(peers.node_list.follow)
    started = time.monotonic()
    assert not peers.await_first_configuration()
    listing.kill()
    assert time.monotonic() - started < 0.05


def test_a_starting_node_is_sent_a_message_at_once(peers):
    """Otherwise a starting node would learn of a configuration only with the next
    regular message, up to 0.9 s later, and refuse its callers until then."""
    receivers = []
    peers.send_state = receivers.extend
    peers.receive(state_message(version=-1), "127.0.0.2")
    peers.receive(state_message(version=1, node="c"), "127.0.0.3")
    assert [peer.address for peer in receivers] == ["127.0.0.2"]


def test_an_urgent_broadcast_reaches_many_nodes_quickly(peers):
    """A regular broadcast to eighty nodes, ten at a time, takes 0.8 s. That is too slow
    for a server that leaves within a second."""
    for number in range(80):
        peers._add_peer(f"127.0.1.{number}")
    receivers = []
    peers.send_state = lambda some: receivers.extend(peer.address for peer in some)
    loop = gevent.spawn(peers._broadcast_loop)
    gevent.sleep(0.02)
    receivers.clear()
    peers.broadcast_soon()
    gevent.sleep(0.35)
    loop.kill()
    assert len(set(receivers)) == 80


def test_a_node_whose_entry_is_not_confirmed_learns_of_the_others():
    """The store's answers to writes are lost while all nodes start. A node that only
    retried its write would serve without knowing any other node, and admit the whole of
    every limit."""
    store = MemoryStore()
    other, node = (Peers(make_context(make_table(), store=store, node=n)) for n in "ab")
    for peers, address in ((other, "127.0.0.2"), (node, "127.0.0.3")):
        peers.address = peers.node_list.address = address
    other.node_list.register()

    def lose_writes(name):
        if name == "put":
            raise StoreOutcomeUnknownError("the answer was lost")

    store.fault = lose_writes
    node.send_state = lambda **_options: None
    listing = gevent.spawn(node.node_list.follow)
    gevent.sleep(0.05)
    listing.kill()
    assert set(node.known) == {"127.0.0.2"}


@pytest.fixture
def rejected_peers():
    """Peers of a node whose calls the store rejects."""
    store = MemoryStore()
    store.fault = store_down
    return Peers(make_context(make_table(), store=store))


def retry_delays(rejected_peers, monkeypatch):
    """Return the first delays between its reads of the list of nodes, seconds."""
    gaps = []

    def sleep(gap):
        gaps.append(gap)
        if len(gaps) == 12:
            raise gevent.GreenletExit

    monkeypatch.setattr(peers_module.gevent, "sleep", sleep)
    with pytest.raises(gevent.GreenletExit):
        rejected_peers.node_list.follow()
    return gaps


def test_failed_reads_of_a_known_list_back_off(rejected_peers, monkeypatch):
    """The store rejects a third of 87 nodes for seconds, and each call is charged."""
    rejected_peers.node_list.is_read.set()
    gaps = retry_delays(rejected_peers, monkeypatch)
    assert 0.2 < gaps[0] < 0.6
    assert all(1.5 < gap < 4.5 for gap in gaps[5:])


def test_failed_reads_of_an_unknown_list_are_retried_often(rejected_peers, monkeypatch):
    """All nodes start during an outage of the store. Afterwards each serves at once,
    and admits the whole of every limit until it knows the others."""
    assert max(retry_delays(rejected_peers, monkeypatch)) < 0.6
