import gevent
import pytest
from endive_gateway import following
from endive_gateway.clocks import boot_time
from endive_gateway.configuration import ConfigurationFollower
from endive_gateway.exceptions import StoreError
from endive_gateway.following import MAX_READ_BACKOFF_S, MIN_READ_BACKOFF_S
from endive_gateway.interfaces import Bounds, Topic
from gateway_builders import make_context, make_table
from store_builders import MemoryStore, NonReader, store_down, write


@pytest.fixture
def store():
    return MemoryStore()


@pytest.fixture
def context(store):
    return make_context(store=store)


def test_each_new_version_comes_into_force(context, store):
    write(store, Topic.CONFIGURATION, "config", 3)
    follower = ConfigurationFollower(context)
    follower.step()
    assert context.version == 3
    write(store, Topic.CONFIGURATION, "config", 7)
    follower.step()
    assert context.version == 7


def test_a_read_that_returns_nothing_can_be_told_from_one_that_waits(
    context, store, monkeypatch
):
    """Both leave the configuration as it is."""
    lines = []
    monkeypatch.setattr(
        following, "log_event", lambda event, **about: lines.append((event, about))
    )
    follower = ConfigurationFollower(context)
    assert follower.answer_age_s() == -1.0
    follower.step()
    assert follower.waiting_s() == 0.0
    waiting = []
    store.fault = lambda name: waiting.append(follower.waiting_s())
    follower.step()
    assert waiting[0] > 0.0
    assert 0.0 <= follower.answer_age_s() < 1.0
    event, about = lines[-1]
    assert event == "store_waited"
    assert about["records"] == 0


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
    assert all(0.5 * MIN_READ_BACKOFF_S < gap <= MAX_READ_BACKOFF_S for gap in gaps)
    assert gaps[-1] > gaps[0]


def test_a_configuration_from_another_node_is_not_read_again(context, store):
    """After a power loss a node has the configuration from another one. Reading it from
    the store all the same would fill its slow link while callers come back."""
    write(store, Topic.CONFIGURATION, "config", 3)
    follower = ConfigurationFollower(context, NonReader())
    context.configure(make_table(version=3), b"3", "b")
    reads = []
    store.newest = lambda topic: reads.append(topic)
    assert follower.step() > 0
    assert not reads


class DeafStore(MemoryStore):
    """Never answers a read that waits, and all others."""

    def __init__(self):
        super().__init__()
        self.unanswered = 0

    def read(self, topic, start, *, wait_s=0.0):
        if wait_s:
            self.unanswered += 1
            gevent.sleep(wait_s)
            raise StoreError("no answer in time")
        return super().read(topic, start)


def overdue(follower):
    """Let the last proof be as old as the bound."""
    follower.freshness.proven_at = boot_time() - follower.freshness.bound_s


def test_a_change_is_found_though_no_waiting_read_is_answered(monkeypatch):
    """The store may fall silent while a node waits for a change, and stay so to it."""
    store = DeafStore()
    write(store, Topic.CONFIGURATION, "config", 3)
    context = make_context(store=store, bounds=Bounds(config_s=0.2))
    running = gevent.spawn(ConfigurationFollower(context).run)
    try:
        gevent.sleep(MIN_READ_BACKOFF_S)
        assert context.version == 3
        write(store, Topic.CONFIGURATION, "config", 7)
        gevent.sleep(0.2)
        assert context.version == 7
        gevent.sleep(0.05)
        assert store.unanswered == 2
    finally:
        running.kill()


def test_a_waiting_read_that_missed_a_change_is_begun_anew(context):
    """Another node told of the change; this one's own read had been lost."""
    follower = ConfigurationFollower(context)
    context.configure(make_table(version=3), b"3", "store")
    follower.on_applied(None)
    follower.long_poll = gevent.spawn(gevent.sleep, 9.0)
    follower.read_started_at = boot_time()
    follower.freshness.prove(boot_time())
    first = follower.long_poll
    follower.check()
    assert follower.long_poll is first
    context.configure(make_table(version=4), b"4", "b")
    follower.check()
    gevent.sleep(0)
    assert first.dead
    assert not follower.long_poll.dead
    follower.long_poll.kill()


def test_a_node_does_not_ask_for_what_others_know(context, store):
    follower = ConfigurationFollower(context, NonReader())
    write(store, Topic.CONFIGURATION, "config", 3)
    context.configure(make_table(version=3), b"3", "b")
    overdue(follower)
    follower.observe_peer_proof(3, 0.1)
    assert follower.check() > 0
    assert store.calls == []


def test_a_proof_of_a_newer_version_says_nothing_of_an_older_one(context, store):
    """A node that took it so would go on with the old one for as long."""
    follower = ConfigurationFollower(context, NonReader())
    write(store, Topic.CONFIGURATION, "config", 4)
    context.configure(make_table(version=3), b"3", "b")
    overdue(follower)
    follower.observe_peer_proof(4, 0.1)
    follower.check()
    assert context.version == 4


def test_a_node_that_is_told_reads_by_itself_once_nothing_is_proven(context, store):
    """Readers that know of the servers may know nothing of the configuration."""
    follower = ConfigurationFollower(context, NonReader())
    write(store, Topic.CONFIGURATION, "config", 4)
    context.configure(make_table(version=3), b"3", "b")
    overdue(follower)
    follower.observe_peer_proof(3, -1.0)
    follower.check()
    assert context.version == 4


def test_a_check_that_fails_is_repeated_before_the_bound(context, store):
    follower = ConfigurationFollower(context)
    context.configure(make_table(version=3), b"3", "b")
    store.fault = store_down
    overdue(follower)
    assert all(follower.check() <= MAX_READ_BACKOFF_S for _ in range(6))
    assert follower.unavailable_since is not None


def test_among_many_nodes_a_check_that_fails_waits_for_its_turn(context, store):
    """A store that comes back is not met by all nodes at once."""
    follower = ConfigurationFollower(context, NonReader())
    context.configure(make_table(version=3), b"3", "b")
    store.fault = store_down
    overdue(follower)
    assert follower.check() > MAX_READ_BACKOFF_S


def test_a_check_that_failed_does_not_outlast_the_stores_return(store):
    """Among many nodes the first to ask sleeps on, though another got an answer."""
    context = make_context(store=store, bounds=Bounds(config_s=0.3))
    write(store, Topic.CONFIGURATION, "config", 3)
    context.configure(make_table(version=3), b"3", "b")
    follower = ConfigurationFollower(context, NonReader())
    store.fault = store_down
    running = gevent.spawn(follower.run)
    try:
        gevent.sleep(0.3)
        store.fault = None
        follower.observe_peer_proof(3, 0.0)
        write(store, Topic.CONFIGURATION, "config", 4)
        gevent.sleep(0.3)
        assert context.version == 4
    finally:
        running.kill()
