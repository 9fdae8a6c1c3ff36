import gevent
from endive_gateway.exceptions import StoreError
from endive_gateway.interfaces import Topic
from endive_gateway.listing import NodeList
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
