import gevent
import pytest
from endive_gateway import listing
from endive_gateway.exceptions import StoreError
from endive_gateway.interfaces import Topic
from endive_gateway.listing import NodeList, refresh_interval_s
from gateway_builders import make_context
from store_builders import MemoryStore

CALL_TIMEOUT_S = 1.5
SILENT_S = 0.2
SOON_S = 0.5
LONG_SILENCE_S = 1.0


class SilentStore(MemoryStore):
    """Never answers a call that started while `silent` was set."""

    silent = True

    def _begin(self, name):
        super()._begin(name)
        if self.silent:
            gevent.sleep(CALL_TIMEOUT_S)
            raise StoreError("no answer in time")


def test_a_node_knows_the_others_as_soon_as_the_store_answers_it():
    """Until it knows the others it admits the whole of every rate limit by itself."""
    store = SilentStore()
    store.silent = False
    store.put(Topic.NODES, "n2", b'{"address":"127.0.0.2","incarnation":1}')
    store.silent = True
    found = []
    following = gevent.spawn(NodeList(make_context(store=store), found.extend).follow)
    try:
        gevent.sleep(SILENT_S)
        store.silent = False
        gevent.sleep(SOON_S)
        assert "127.0.0.2" in found
    finally:
        following.kill()


def test_the_first_attempts_write_one_entry_at_a_time():
    """A fleet that starts in a silence of the store would write more often than the
    store accepts writes, if each attempt to read the list also wrote an entry."""
    store = SilentStore()
    following = gevent.spawn(NodeList(make_context(store=store), list).follow)
    try:
        gevent.sleep(LONG_SILENCE_S)
        assert store.calls.count("put") == 1
        assert store.calls.count("newest") > 1
    finally:
        following.kill()


@pytest.mark.parametrize("nodes", [1, 8, 30, 200, 375, 3000])
def test_reads_of_the_list_do_not_grow_with_the_nodes(nodes):
    """The platform charges for each call, and 195 nodes that each read the list every
    20 s made two in five of all calls."""
    assert nodes / refresh_interval_s(nodes) <= 8 / refresh_interval_s(8)


@pytest.fixture
def short_interval(monkeypatch):
    """Reads of the list that follow each other soon, in a fleet of any size."""
    monkeypatch.setattr(listing, "MIN_LIST_READ_INTERVAL_S", 0.1)
    monkeypatch.setattr(listing, "REREAD_SPREAD_S", 0.1)
    monkeypatch.setattr(listing, "REREAD_SPREAD_PER_NODE_S", 0.0)


def reads_after_messages(senders, age_s):
    """Return how often unknown nodes' messages had the list read within 0.9 s."""
    store = MemoryStore()
    context = make_context(store=store)
    context.set_nodes(200)
    node_list = NodeList(context, list)
    following = gevent.spawn(node_list.follow)
    try:
        gevent.sleep(0.05)
        for number in range(senders):
            node_list.observe_unknown(f"127.0.1.{number}", age_s)
        gevent.sleep(0.9)
        return store.calls.count("newest") - 1
    finally:
        following.kill()


def test_the_list_is_read_again_when_a_partition_ends(short_interval):
    """Both sides have forgotten each other. In a large fleet, which seldom reads the
    list, they would spend every limit twice until each node had read it."""
    assert reads_after_messages(senders=3, age_s=60.0) == 1


@pytest.mark.parametrize(("senders", "age_s"), [(1, 60.0), (30, 1.0)])
def test_single_or_starting_nodes_cause_no_read_of_the_list(
    short_interval, senders, age_s
):
    """Each such node sends the others its state. If they all read the list, a node that
    was suspended would cause four calls of each of 195 nodes."""
    assert reads_after_messages(senders, age_s) == 0
