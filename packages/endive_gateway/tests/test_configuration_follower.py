import gevent
import pytest
from endive_gateway import configuration, following
from endive_gateway.clocks import boot_time
from endive_gateway.configuration import ConfigurationFollower
from endive_gateway.exceptions import StoreError, StoreHeldBackError
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


def test_a_read_that_returns_nothing_is_distinguishable_from_one_that_waits(
    context, store, monkeypatch
):
    """Neither changes the configuration, so the log and the metrics must differ."""
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
    """A node that has a newer version from a peer reads an older one from the store. If
    it applied that, a revoked key would be valid again."""
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


def test_records_that_the_store_dropped_lead_to_a_full_read(context, store):
    """The store drops records that a node has not read yet. A node that only continued
    to read from the oldest retained one could miss a change."""
    follower = ConfigurationFollower(context)
    write(store, Topic.CONFIGURATION, "config", 1)
    follower.step()
    write(store, Topic.CONFIGURATION, "config", 2)
    write(store, Topic.CONFIGURATION, "config", 3)
    store.kept_from[Topic.CONFIGURATION] = 3
    assert follower.step() == 0.0
    follower.step()
    assert context.version == 3


def test_the_last_configuration_stays_while_the_store_is_unavailable(context, store):
    follower = ConfigurationFollower(context)
    write(store, Topic.CONFIGURATION, "config", 1)
    follower.step()
    store.fault = store_down
    gaps = [follower.step() for _ in range(6)]
    assert context.version == 1
    assert all(0.5 * MIN_READ_BACKOFF_S < gap <= MAX_READ_BACKOFF_S for gap in gaps)
    assert gaps[-1] > gaps[0]


def test_a_configuration_from_a_peer_is_not_read_from_the_store(context, store):
    """After a power loss a node has the configuration from a peer. Reading it from the
    store as well would occupy its slow link while callers reconnect."""
    write(store, Topic.CONFIGURATION, "config", 3)
    follower = ConfigurationFollower(context, NonReader())
    context.configure(make_table(version=3), b"3", "b")
    reads = []
    store.newest = lambda topic: reads.append(topic)
    assert follower.step() > 0
    assert not reads


class NoLongPollStore(MemoryStore):
    """Answers every read except long polls."""

    def __init__(self):
        super().__init__()
        self.unanswered = 0

    def read(self, topic, start, *, wait_s=0.0):
        if wait_s:
            self.unanswered += 1
            gevent.sleep(wait_s)
            raise StoreError("no answer in time")
        return super().read(topic, start)


def make_overdue(follower):
    """Make the last proof as old as the bound."""
    follower.freshness.proven_at = boot_time() - follower.freshness.bound_s


def test_a_change_is_found_though_no_long_poll_is_answered(monkeypatch):
    """The store may stop answering long polls while it answers other reads."""
    store = NoLongPollStore()
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


def test_a_long_poll_that_missed_a_change_is_restarted(context):
    """A peer sent the change, so the node's own long poll must have been lost."""
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


def test_a_node_does_not_read_what_a_peer_has_confirmed(context, store):
    follower = ConfigurationFollower(context, NonReader())
    write(store, Topic.CONFIGURATION, "config", 3)
    context.configure(make_table(version=3), b"3", "b")
    make_overdue(follower)
    follower.observe_peer_proof(3, 0.1)
    assert follower.check() > 0
    assert store.calls == []


def test_a_proof_of_a_newer_version_does_not_confirm_an_older_one(context, store):
    """A node that counted it as one would keep the old version for longer."""
    follower = ConfigurationFollower(context, NonReader())
    write(store, Topic.CONFIGURATION, "config", 4)
    context.configure(make_table(version=3), b"3", "b")
    make_overdue(follower)
    follower.observe_peer_proof(4, 0.1)
    follower.check()
    assert context.version == 4


def test_a_node_reads_the_store_itself_when_peers_have_no_proof(context, store):
    """Readers that relay the servers may have no proof for the configuration."""
    follower = ConfigurationFollower(context, NonReader())
    write(store, Topic.CONFIGURATION, "config", 4)
    context.configure(make_table(version=3), b"3", "b")
    make_overdue(follower)
    follower.observe_peer_proof(3, -1.0)
    follower.check()
    assert context.version == 4


def test_a_failed_check_is_repeated_before_the_bound(context, store):
    follower = ConfigurationFollower(context)
    context.configure(make_table(version=3), b"3", "b")
    store.fault = store_down
    make_overdue(follower)
    assert all(follower.check() <= MAX_READ_BACKOFF_S for _ in range(6))
    assert follower.unavailable_since is not None


def test_in_a_large_fleet_a_failed_check_is_repeated_later(context, store):
    """So that not all nodes call a store at once when it is available again."""
    follower = ConfigurationFollower(context, NonReader())
    context.configure(make_table(version=3), b"3", "b")
    store.fault = store_down
    make_overdue(follower)
    assert follower.check() > MAX_READ_BACKOFF_S


def test_a_check_that_failed_does_not_outlast_the_stores_return(store):
    """In a large fleet the first node to check still sleeps after a failed check,
    although a peer has got an answer meanwhile."""
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


def test_a_check_that_was_not_sent_is_soon_tried_again(context, store):
    """Calls to a store that does not answer are held back. In a large fleet a check
    that counted as failed for it would be repeated only after the bound."""

    def hold_back(_name):
        raise StoreHeldBackError("earlier calls got no response")

    write(store, Topic.CONFIGURATION, "config", 4)
    context.configure(make_table(version=3), b"3", "b")
    follower = ConfigurationFollower(context, NonReader())
    make_overdue(follower)
    store.fault = hold_back
    assert follower.check() <= 0.1
    store.fault = None
    follower.check()
    assert context.version == 4


def test_a_proof_that_nodes_pass_on_grows_old(store, monkeypatch):
    """Nodes tell each other how old their proof is, in messages that take a while. The
    store was silent for 6 s, and 85 nodes believed a proof to be 1.2 s old, so that
    none of them checked."""
    now = [100.0]
    monkeypatch.setattr(configuration, "boot_time", lambda: now[0])
    write(store, Topic.CONFIGURATION, "config", 3)
    followers = [
        ConfigurationFollower(make_context(store=store), NonReader()) for _ in range(2)
    ]
    for follower in followers:
        follower.context.configure(make_table(version=3), b"3", "b")
    followers[0]._note_answer(now[0])
    for step in range(100):
        sender, receiver = followers[step % 2], followers[1 - step % 2]
        age_s, read = sender.proof_age_s(), sender.proofs.newest
        now[0] += 0.03
        receiver.observe_peer_proof(3, age_s, read)
    assert min(follower.proof_age_s() for follower in followers) > 2.9


def test_orders_are_read_beside_the_configuration(context, store):
    """An order is passed over, or one that can't be read ends the reading."""
    write(store, Topic.CONFIGURATION, "order/s", ["v2", 10.0])
    write(store, Topic.CONFIGURATION, "order/t", "unreadable")
    write(store, Topic.CONFIGURATION, "config", 3)
    follower = ConfigurationFollower(context)
    follower.step()
    assert context.version == 3
    assert context.rollouts.rollouts["s"].order.to == "v2"
    write(store, Topic.CONFIGURATION, "order/s", ["v3", 10.0])
    follower.step()
    assert context.rollouts.rollouts["s"].order.to == "v3"


def test_a_read_proves_that_no_order_was_missed(context, store):
    """Servers of a version without an order are withheld although the store answers."""
    write(store, Topic.CONFIGURATION, "config", 3)
    follower = ConfigurationFollower(context)
    before = boot_time()
    follower.step()
    assert context.rollouts.book.is_proven_since(before)


def test_a_node_that_withholds_a_server_reads_at_once(context, store):
    """It waits for the next regular check, nearly a second later."""
    write(store, Topic.CONFIGURATION, "config", 3)
    follower = ConfigurationFollower(context)
    follower.step()
    reads = store.calls.count("read")
    follower.check_soon()
    follower.check()
    assert store.calls.count("read") == reads + 1
