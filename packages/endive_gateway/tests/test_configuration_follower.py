import time

import pytest
from endive_gateway import following
from endive_gateway.configuration import ConfigurationFollower
from endive_gateway.following import FAILED_GAP_S, MAX_FAILED_GAP_S
from endive_gateway.interfaces import Topic
from gateway_builders import (
    FewReaders,
    MemoryStore,
    make_context,
    make_table,
    store_down,
    write,
)


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
    assert all(0.5 * FAILED_GAP_S < gap <= MAX_FAILED_GAP_S for gap in gaps)
    assert gaps[-1] > gaps[0]


def test_a_configuration_from_another_node_is_not_read_again(context, store):
    """After a power loss a node has the configuration from another one. Reading it from
    the store all the same would fill its slow link while callers come back."""
    write(store, Topic.CONFIGURATION, "config", 3)
    follower = ConfigurationFollower(context, FewReaders())
    context.configure(make_table(version=3), b"3", "b")
    follower.relayed_at = time.monotonic()
    reads = []
    store.newest = lambda topic: reads.append(topic)
    assert follower.step() > 0
    assert not reads
