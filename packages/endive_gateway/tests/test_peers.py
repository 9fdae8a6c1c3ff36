import time
import zlib

import gevent
import msgspec
import pytest
from endive_core.crashes import Crash
from endive_gateway import peers as peers_module
from endive_gateway.configuration_exchange import unpacked
from endive_gateway.exceptions import StoreOutcomeUnknownError
from endive_gateway.interfaces import Topic
from endive_gateway.peers import Peers
from endive_gateway.state_messages import DECODER, StateMessage
from gateway_builders import make_context, make_table
from store_builders import MemoryStore, store_down


def telling(**options):
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


def test_a_telling_comes_back_from_its_bytes():
    assert DECODER.decode(msgspec.msgpack.encode(telling())) == telling()


def test_a_telling_fits_one_datagram():
    """A datagram over one frame is lost whole with any of its pieces."""
    organisations = {f"organisation-{n}": 123456.789 for n in range(8)}
    counts = dict.fromkeys(organisations, 1000)
    told = telling(spent=organisations, windows=dict.fromkeys((1, 2, 3), counts))
    assert len(msgspec.msgpack.encode(told)) < 1400


def test_what_a_peer_tells_is_taken_over(peers):
    peers.receive(telling(), "127.0.0.2")
    context = peers.context
    assert context.meter.total(7) == {"o": 3}
    assert context.reported == 4
    assert context.placer.crashes.count("f", time.monotonic()) == 1
    assert [peer.node for peer in peers.live()] == ["b"]


def test_a_telling_that_was_overtaken_is_dropped(peers):
    peers.receive(telling(sequence=5, fence=3), "127.0.0.2")
    peers.receive(telling(sequence=4, fence=0), "127.0.0.2")
    assert peers.known["127.0.0.2"].fence == 3
    peers.receive(telling(incarnation=2, sequence=1, fence=0), "127.0.0.2")
    assert peers.known["127.0.0.2"].fence == 0


def test_a_peer_that_stopped_is_forgotten_at_once(peers):
    peers.receive(telling(), "127.0.0.2")
    peers.receive(telling(sequence=2, gone=True), "127.0.0.2")
    assert not peers.known
    assert peers.context.limits.reachable_share(time.monotonic() + 5) == 1.0


def test_nodes_that_were_listed_are_believed_to_be_there_before_they_are_heard(peers):
    """Nodes start together, and one hears a third of the others at first. It must
    choose from the same nodes as they who adds up an organisation's spending."""
    peers._add("127.0.0.2")
    peers.receive(telling(), "127.0.0.3")
    assert peers.believed() == ["127.0.0.2", "127.0.0.3"]
    peers.known["127.0.0.2"].known_at -= peers.heard_s
    assert peers.believed() == ["127.0.0.3"]


def test_crashes_are_told_on(peers):
    peers.context.placer.crashes.add(Crash("f", "i-1@3", time.monotonic()))
    assert peers._telling(False).crashes[0][:2] == ("f", "i-1@3")


def test_failures_of_servers_are_told_to_all(peers):
    """A server fails each request. One node of sixty sends it one in three seconds,
    and would go on; only all together can tell."""
    placer = peers.context.placer
    placer.ejection.failed("i-1", time.monotonic())
    assert peers._telling(gone=False).failing == {"i-1": 1}
    peers.receive(telling(failing={"i-1": 9}), "127.0.0.2")
    servers = [f"i-{number}" for number in range(8)]
    assert placer.ejection.ejected(servers, time.monotonic()) == {"i-1"}


def test_nodes_find_each_other_by_the_store():
    store = MemoryStore()
    one, two = (Peers(make_context(make_table(), store=store, node=n)) for n in "ab")
    for peers, address in ((one, "127.0.0.2"), (two, "127.0.0.3")):
        peers.address = peers.list.address = address
    one.send_state = two.send_state = lambda *_arguments, **_options: None
    listing = [gevent.spawn(peers.list.follow) for peers in (one, two)]
    gevent.sleep(0.05)
    gevent.killall(listing)
    one.list.read()
    assert set(one.known) == {"127.0.0.3"}
    assert set(two.known) == {"127.0.0.2"}
    assert len(store.topics[Topic.NODES]) == 2


def test_a_node_the_store_turned_away_gets_the_configuration_from_another():
    """The store refuses one node and serves the others and the operators. A key that
    was taken away meanwhile would stay valid at that node."""
    ahead, behind = (make_context(make_table(), node=name) for name in "ab")
    ahead.configure(make_table(version=9), b"9", "test")
    port = 17_611
    serving, asking = Peers(ahead), Peers(behind)
    serving.port = asking.port = port
    serving.address = "127.0.0.1"
    asking.address = "127.0.0.4"
    serving.start()
    try:
        asking.receive(telling(version=9), "127.0.0.1")
        gevent.sleep(0.7)
    finally:
        serving.stop()
    assert behind.version == 9


def test_many_nodes_that_tell_less_often_are_not_silent(peers):
    """87 nodes tell each other every 0.9 s. Taken for silent between two tellings, they
    would leave parts of every limit to nodes that are there, and refuse callers."""
    peers._expect_tellings_each(0.87)
    peers.receive(telling(), "127.0.0.2")
    now = time.monotonic()
    assert peers.context.limits.reachable_share(now + 2.0) == 1.0
    assert peers.context.limits.reachable_share(now + 3.0) == 0.5
    assert peers.heard_s > 2.5


@pytest.mark.parametrize(
    "data", [b"", b"junk", zlib.compress(b"abc")[:-1], zlib.compress(bytes(20_000_000))]
)
def test_a_document_that_is_garbled_or_too_long_is_refused(data):
    with pytest.raises(OSError):
        unpacked(data)


def test_many_nodes_ask_for_a_configuration_at_once(peers):
    """Among 87 nodes most hear of a configuration from a few. One that waited for its
    next round of tellings, and the one after, had it in force three seconds late."""
    for number in range(30):
        peers._add(f"127.0.1.{number}")
    assert not peers.reads_alone()
    asked = []

    def pull_from(_holder, _port, _timeout_s):
        asked.append(time.monotonic())
        peers.context.configure(make_table(version=9), b"9", "test")

    peers.documents._pull_from = pull_from
    started = time.monotonic()
    peers.receive(telling(version=9), "127.0.0.2")
    peers.receive(telling(version=9, sequence=2), "127.0.0.2")
    gevent.sleep(0.2)
    assert len(asked) == 1
    assert asked[0] - started < 0.15


def starting_among(number):
    """Return the peers of a node that has just started and knows `number` others."""
    starting = Peers(make_context())
    for other in range(number):
        starting._add(f"127.0.1.{other}")
    starting.list.is_read.set()
    return starting


def test_a_node_that_starts_among_many_takes_the_configuration_from_another():
    """All nodes lose power together, and their links are slow. Were each to read a
    thousand routes from the store, callers would be turned away 0.6 s longer."""
    starting = starting_among(30)
    pulled = []

    def pull_from(holder, _port, _timeout_s):
        pulled.append(holder.node)
        starting.context.configure(make_table(version=9), b"9", "test")

    starting.documents._pull_from = pull_from
    starting.receive(telling(version=9), "127.0.0.2")
    started = time.monotonic()
    assert starting.await_first_configuration()
    assert pulled == ["b"]
    assert time.monotonic() - started < 0.1


@pytest.mark.parametrize("number", [3, 30])
def test_a_node_that_hears_of_no_configuration_reads_the_store_soon(number):
    """The first nodes to start find none that has it. Waiting on, all would wait."""
    started = time.monotonic()
    assert not starting_among(number).await_first_configuration()
    assert time.monotonic() - started < 0.15


def test_a_node_that_starts_waits_no_longer_than_for_the_list():
    """Few nodes start, and the store gives the list of nodes in milliseconds. Waiting
    out the longest time for it, each turns its callers away for a tenth of a second."""
    peers = Peers(make_context(make_table(), store=MemoryStore()))
    peers.send_state = lambda **_options: None
    listing = gevent.spawn(peers.list.follow)
    started = time.monotonic()
    assert not peers.await_first_configuration()
    listing.kill()
    assert time.monotonic() - started < 0.05


def test_a_newcomer_is_told_at_once_of_the_configuration(peers):
    """A node that starts would hear of one only with the next round of tellings, up to
    0.9 s later, and turn its callers away until then."""
    told = []
    peers.send_state = told.extend
    peers.receive(telling(version=-1), "127.0.0.2")
    peers.receive(telling(version=1, node="c"), "127.0.0.3")
    assert [peer.address for peer in told] == ["127.0.0.2"]


def test_urgent_news_reach_many_nodes_within_a_fraction_of_a_round(peers):
    """Eighty nodes are told ten at a time over 0.8 s. A server that leaves within a
    second can't wait for that."""
    for number in range(80):
        peers._add(f"127.0.1.{number}")
    told = []
    peers.send_state = lambda some: told.extend(peer.address for peer in some)
    loop = gevent.spawn(peers._broadcast_loop)
    gevent.sleep(0.02)
    told.clear()
    peers.hasten()
    gevent.sleep(0.35)
    loop.kill()
    assert len(set(told)) == 80


def test_a_node_whose_own_entry_is_not_taken_learns_of_the_others():
    """The store's answers to writes are lost while all nodes start. A node that tried
    only that again would serve without knowing of any other, and let through the whole
    of every limit."""
    store = MemoryStore()
    other, node = (Peers(make_context(make_table(), store=store, node=n)) for n in "ab")
    for peers, address in ((other, "127.0.0.2"), (node, "127.0.0.3")):
        peers.address = peers.list.address = address
    other.list.list_itself()

    def lose_writes(name):
        if name == "put":
            raise StoreOutcomeUnknownError("the answer was lost")

    store.fault = lose_writes
    node.send_state = lambda **_options: None
    listing = gevent.spawn(node.list.follow)
    gevent.sleep(0.05)
    listing.kill()
    assert set(node.known) == {"127.0.0.2"}


@pytest.fixture
def turned_away():
    """Peers of a node that the store turns away."""
    store = MemoryStore()
    store.fault = store_down
    return Peers(make_context(make_table(), store=store))


def pauses_of(turned_away, monkeypatch):
    """Return the first pauses between its reads of the nodes' list, seconds."""
    gaps = []

    def sleep(gap):
        gaps.append(gap)
        if len(gaps) == 12:
            raise gevent.GreenletExit

    monkeypatch.setattr(peers_module.gevent, "sleep", sleep)
    with pytest.raises(gevent.GreenletExit):
        turned_away.list.follow()
    return gaps


def test_a_store_that_turns_a_node_away_is_asked_ever_less_often(
    turned_away, monkeypatch
):
    """A third of 87 nodes are turned away for seconds, and each call is paid for."""
    turned_away.list.is_read.set()
    gaps = pauses_of(turned_away, monkeypatch)
    assert 0.2 < gaps[0] < 0.6
    assert all(1.5 < gap < 4.5 for gap in gaps[5:])


def test_a_node_that_knows_of_no_other_asks_for_them_often(turned_away, monkeypatch):
    """All nodes start while the store is away. When it is back, each serves at once;
    until it knows of the others, each lets through the whole of every limit."""
    assert max(pauses_of(turned_away, monkeypatch)) < 0.6
