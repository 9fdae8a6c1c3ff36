from types import SimpleNamespace

import pytest
from endive_gateway.interfaces import ServerState
from endive_gateway.servers import (
    CONTRADICTED_S,
    LAPSE_GRACE_S,
    MAX_CONTRADICTED_S,
    ServerRegistry,
)
from gateway_builders import make_entry


@pytest.fixture
def clock(monkeypatch):
    made = SimpleNamespace(now=100.0)
    monkeypatch.setattr("time.monotonic", lambda: made.now)
    return made


def test_an_older_entry_that_arrives_late_is_ignored():
    """The store returns a leaving server's entry, and after it an older one. If that
    were applied, the server would get requests until it is gone, and they would be
    lost."""
    registry = ServerRegistry()
    registry.put(make_entry(sequence=3, state=ServerState.LEAVING))
    assert not registry.put(make_entry(sequence=2))
    assert not registry.get("i-1").usable


@pytest.mark.parametrize("ahead", [4, 2**50])
def test_a_departure_is_seen_after_an_entry_with_a_number_ahead(ahead):
    """Requests reached a server that had left, since another writer's entry under its
    id counted as newer than its own."""
    registry = ServerRegistry()
    registry.put(make_entry(sequence=1))
    registry.put(make_entry(sequence=ahead))
    assert registry.put(make_entry(sequence=3, state=ServerState.LEAVING))
    assert not registry.get("i-1").usable


@pytest.mark.parametrize("state", ServerState)
def test_an_entry_with_a_number_far_ahead_gives_way_to_the_servers_own(state):
    """A server was used at another writer's address, or not at all, until it ended."""
    registry = ServerRegistry()
    registry.put(make_entry(sequence=1))
    foreign = {"address": "127.0.0.1:9", "state": state}
    registry.put(make_entry(sequence=2**50, **foreign))
    assert registry.put(make_entry(sequence=2))
    assert registry.get("i-1").entry == make_entry(sequence=2)
    assert registry.get("i-1").usable


def test_late_entries_bring_no_leaving_server_back():
    """A slow store carries out the last ready entries behind the leaving one."""
    registry = ServerRegistry()
    registry.put(make_entry(sequence=6, state=ServerState.LEAVING))
    for sequence in (3, 4, 5):
        registry.put(make_entry(sequence=sequence))
        assert not registry.get("i-1").usable


def test_late_entries_of_a_process_that_ended_do_not_replace_its_successor():
    """Streams would go on at the former software version."""
    registry = ServerRegistry()
    registry.put(make_entry(incarnation=1, sequence=6, software_version="v1"))
    registry.put(make_entry(incarnation=2, sequence=1, software_version="v2"))
    for sequence in (7, 8, 9):
        late = make_entry(incarnation=1, sequence=sequence, software_version="v1")
        registry.put(late)
    assert registry.get("i-1").entry.software_version == "v2"


def test_a_late_entry_of_another_address_does_not_make_a_server_leave():
    """A sound server got no requests for an entry under its id that isn't its own."""
    registry = ServerRegistry()
    registry.put(make_entry(sequence=9))
    other = {"address": "127.0.0.1:9", "state": ServerState.LEAVING}
    registry.put(make_entry(sequence=1, **other))
    assert registry.get("i-1").usable


def test_a_restarted_server_begins_a_new_sequence():
    """A server crashes and restarts under its id, with sequence numbers from one. If
    its entries were ignored as old ones, it would stay unused for as long as it had run
    before."""
    registry = ServerRegistry()
    registry.put(make_entry(sequence=900, incarnation=1, state=ServerState.LEAVING))
    assert registry.put(make_entry(sequence=1, incarnation=2))
    assert registry.get("i-1").usable


def test_a_new_sequence_number_alone_is_no_change():
    registry = ServerRegistry()
    assert registry.put(make_entry(sequence=1))
    assert not registry.put(make_entry(sequence=2))
    assert registry.put(make_entry(sequence=3, state=ServerState.LEAVING))


def test_a_deleted_entry_drops_the_server_at_once():
    registry = ServerRegistry()
    registry.put(make_entry())
    assert registry.drop("i-1", 2.0, after_outage=False)
    assert registry.get("i-1") is None


def test_an_entry_that_lapsed_in_an_outage_gets_a_grace_period():
    """The store was unavailable for seconds and all entries lapsed, though the servers
    run. If they were dropped at once, every request would be refused until they have
    written their entries again."""
    registry = ServerRegistry()
    registry.put(make_entry(sequence=4))
    assert not registry.drop("i-1", 10.0, after_outage=True)
    assert registry.get("i-1").usable
    assert not registry.sweep(10.0 + LAPSE_GRACE_S - 0.1)
    registry.put(make_entry(sequence=5))
    assert not registry.sweep(10.0 + LAPSE_GRACE_S + 0.1)
    assert registry.get("i-1").usable


def test_a_lapsed_server_is_dropped_after_its_grace_period():
    registry = ServerRegistry()
    registry.put(make_entry())
    registry.drop("i-1", 10.0, after_outage=True)
    assert registry.has_lapsed
    assert registry.sweep(10.0 + LAPSE_GRACE_S)
    assert registry.get("i-1") is None


def test_a_leaving_server_gets_no_grace_period():
    registry = ServerRegistry()
    registry.put(make_entry(state=ServerState.LEAVING))
    assert registry.drop("i-1", 2.0, after_outage=True)


def test_a_server_that_stays_listed_is_tried_again_after_another_answered(clock):
    """Nothing but a new address or process made it usable again."""
    registry, notified = ServerRegistry(), []
    registry.listeners.append(lambda: notified.append(clock.now))
    registry.put(make_entry())
    for pause_s in (5.0, 10.0, 20.0):
        registry.mark_misidentified("i-1")
        clock.now += pause_s - 0.1
        registry.settle()
        assert not registry.get("i-1").usable
        clock.now += 0.1
        registry.settle()
        assert registry.get("i-1").usable
        assert notified[-1] == clock.now


def test_the_pause_after_another_server_answered_is_bounded(clock):
    registry = ServerRegistry()
    registry.put(make_entry())
    for _ in range(2000):
        registry.mark_misidentified("i-1")
        clock.now += MAX_CONTRADICTED_S
        registry.settle()
        assert registry.get("i-1").usable


def test_a_new_process_at_an_address_begins_with_the_first_pause(clock):
    registry = ServerRegistry()
    for incarnation in range(1, 9):
        registry.put(make_entry(incarnation=incarnation))
        registry.mark_misidentified("i-1")
        assert registry.get("i-1").contradicted_until == clock.now + CONTRADICTED_S


def test_a_server_whose_address_another_has_is_unusable_until_a_new_entry():
    registry = ServerRegistry()
    registry.put(make_entry(sequence=1))
    registry.mark_misidentified("i-1")
    registry.put(make_entry(sequence=2))
    assert not registry.get("i-1").usable
    registry.put(make_entry(sequence=3, address="127.0.0.1:2"))
    assert registry.get("i-1").usable
