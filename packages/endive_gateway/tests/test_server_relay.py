"""Tests of how changes of the servers spread among many nodes, without a network."""

import heapq
import random
from types import SimpleNamespace

import pytest
from endive_gateway import following, server_following
from endive_gateway.bootstrap import REFRESH_INTERVAL_S
from endive_gateway.following import RELAY_TIMEOUT_S
from endive_gateway.interfaces import ServerDelta, Topic
from endive_gateway.peers import (
    BROADCAST_INTERVAL_PER_NODE_S,
    BROADCAST_INTERVAL_S,
    DATAGRAMS_PER_STEP,
    MAX_READERS,
)
from endive_gateway.server_following import (
    BEHIND_TIMEOUT_S,
    SERVER_READ_INTERVAL_S,
    ServerFollower,
)
from gateway_builders import make_context
from store_builders import MemoryStore, NonReader, store_down, write

WARM_UP_S = 3.0
SERVERS = 40

MAX_STALENESS_S = 0.4
MAX_LEAVING_REQUESTS_S = 2.0
"""Time for which a leaving server may get requests, seconds."""

LOST_DATAGRAMS = 0.01

HEARTBEAT_S = 1.2
"""Time between two entries of a server, seconds."""


OUTAGE_S = 6.0
MAX_READS_PER_S = 60.0
"""Reads that a store which answers none gets from a fleet of any size: ten of the
readers, and those of the others one after the other."""


class FleetMember(NonReader):
    """Readers as a node of the simulated fleet sees them."""

    def __init__(self, nodes):
        self.nodes = nodes

    def live_node_count(self):
        return self.nodes


class Reader(FleetMember):
    """Readers as a node sees them that is a reader itself."""

    def is_reader(self):
        return True


class SimulatedFleet:
    """Nodes that follow the servers and send each other what changed.

    Each node sends its changes to some others at a time, and reaches all of them within
    the regular time between two state messages to one node.
    """

    def __init__(self, nodes, monkeypatch):
        self.now = 0.0
        self.rng = random.Random(1)
        for module in (following, server_following):
            clock = SimpleNamespace(monotonic=self.clock)
            monkeypatch.setattr(module, "time", clock)
            monkeypatch.setattr(module, "boot_time", self.clock)
        self.store = MemoryStore()
        for number in range(SERVERS):
            self.write_server(f"i-{number}", sequence=1)
        self.followers = [
            ServerFollower(
                make_context(store=self.store),
                (Reader if number < MAX_READERS else FleetMember)(nodes),
            )
            for number in range(nodes)
        ]
        interval_s = max(BROADCAST_INTERVAL_S, BROADCAST_INTERVAL_PER_NODE_S * nodes)
        self.step_s = interval_s * DATAGRAMS_PER_STEP / nodes
        self.others = [self.rng.sample(self.followers, nodes) for _ in range(nodes)]
        self.events = []
        for number in range(nodes):
            self.add(self.rng.uniform(0, SERVER_READ_INTERVAL_S), self.read, number)
            self.add(self.rng.uniform(0, self.step_s), self.send, number, 0)

    def clock(self):
        return self.now

    def write_server(self, server_id, **options):
        entry = {"service": "s", "address": "127.0.0.1:1", "zone": "z", "slots": 8}
        write(self.store, Topic.SERVERS, server_id, entry | options)

    def add(self, at, action, *about):
        heapq.heappush(self.events, (at, self.rng.random(), action, about))

    def run_until(self, end, is_over=lambda: False):
        while self.events[0][0] < end and not is_over():
            self.now, _tie, action, about = heapq.heappop(self.events)
            action(*about)

    def read(self, number):
        self.add(self.now + self.followers[number].step(), self.read, number)

    def send(self, number, first):
        delta = self.followers[number].server_delta()
        others = self.others[number]
        if delta is not None:
            for other in others[first : first + DATAGRAMS_PER_STEP]:
                if self.rng.random() >= LOST_DATAGRAMS:
                    other.apply_delta(delta)
        first = first + DATAGRAMS_PER_STEP
        self.add(self.now + self.step_s, self.send, number, first % max(1, len(others)))

    def knowing(self, server_id):
        """Return the number of nodes that know that a server leaves."""
        known = (
            follower.context.registry.get(server_id) for follower in self.followers
        )
        return sum(server is not None and not server.usable for server in known)


SIZES = pytest.mark.parametrize("nodes", [30, 200, 375])
SIZES_OF_ALL = pytest.mark.parametrize("nodes", [6, 30, 200, 375])


@SIZES
def test_all_nodes_know_a_leaving_server_soon(nodes, monkeypatch):
    """A reader's messages reach 375 nodes only within 3.75 s. Until a node knows that a
    server leaves, its requests are lost with the server."""
    fleet = SimulatedFleet(nodes, monkeypatch)
    fleet.run_until(WARM_UP_S)
    fleet.write_server("i-7", sequence=2, state="leaving")
    fleet.run_until(WARM_UP_S + 9.0, lambda: fleet.knowing("i-7"))
    first_known_at = fleet.now
    fleet.run_until(WARM_UP_S + 9.0, lambda: fleet.knowing("i-7") == nodes)
    assert fleet.now - first_known_at < MAX_STALENESS_S


@SIZES
def test_reads_of_the_servers_do_not_grow_with_the_nodes(nodes, monkeypatch):
    """The platform charges for each read."""
    fleet = SimulatedFleet(nodes, monkeypatch)
    fleet.run_until(WARM_UP_S)
    before = len(fleet.store.calls)
    fleet.run_until(2 * WARM_UP_S)
    reads_per_s = (len(fleet.store.calls) - before) / WARM_UP_S
    assert reads_per_s <= 1.1 * MAX_READERS / SERVER_READ_INTERVAL_S


def test_the_age_of_relayed_servers_counts_from_the_readers_read(monkeypatch):
    """If each relay started the age anew, nodes would keep each other up to date
    without a reader, and operators would not see that nobody reaches the store."""
    fleet = SimulatedFleet(30, monkeypatch)
    assert fleet.followers[-1].age_s() == -1.0
    fleet.run_until(WARM_UP_S)
    assert max(follower.age_s() for follower in fleet.followers) < RELAY_TIMEOUT_S
    fleet.store.fault = store_down
    fleet.run_until(WARM_UP_S + 3.0)
    assert min(follower.age_s() for follower in fleet.followers) > 2.0
    assert all(follower.server_delta() is None for follower in fleet.followers)


@SIZES
def test_reads_of_a_store_that_answers_none_do_not_grow_with_the_nodes(
    nodes, monkeypatch
):
    """If all nodes read when their readers get no answers, a store that was slow for a
    moment gets more reads than it can answer, and stays slow."""
    fleet = SimulatedFleet(nodes, monkeypatch)
    fleet.run_until(WARM_UP_S)
    fleet.store.fault = store_down
    before = len(fleet.store.calls)
    fleet.run_until(WARM_UP_S + OUTAGE_S)
    reads = len(fleet.store.calls) - before
    assert reads <= MAX_READS_PER_S * OUTAGE_S


@SIZES
def test_another_node_soon_reads_for_readers_that_the_store_rejects(nodes, monkeypatch):
    """The store rejects all readers and answers the other nodes. Until one of these
    reads, none learns of a server that leaves."""
    fleet = SimulatedFleet(nodes, monkeypatch)
    fleet.run_until(WARM_UP_S)
    for follower in fleet.followers[:MAX_READERS]:
        follower.context.store = MemoryStore()
        follower.context.store.fault = store_down
    fleet.write_server("i-7", sequence=2, state="leaving")
    fleet.run_until(WARM_UP_S + 9.0, lambda: fleet.knowing("i-7") >= 0.99 * nodes)
    assert fleet.now - WARM_UP_S < RELAY_TIMEOUT_S + SERVER_READ_INTERVAL_S


@SIZES
def test_changes_that_never_were_keep_no_node_from_later_ones(nodes, monkeypatch):
    """All nodes read on from an offset that the topic never reached."""
    fleet = SimulatedFleet(nodes, monkeypatch)
    fleet.run_until(WARM_UP_S)
    end = fleet.followers[0].next_offset
    odd = ServerDelta(end, 2**50, b"", 0.1, 77)
    for follower in fleet.followers:
        follower.apply_delta(odd)
    fleet.write_server("i-7", sequence=2, state="leaving")
    fleet.run_until(WARM_UP_S + 9.0, lambda: fleet.knowing("i-7") == nodes)
    assert fleet.now - WARM_UP_S < MAX_LEAVING_REQUESTS_S


@SIZES_OF_ALL
def test_all_nodes_return_from_an_entry_with_a_number_ahead(nodes, monkeypatch):
    """They went on using another writer's entry under a server's id."""
    fleet = SimulatedFleet(nodes, monkeypatch)
    fleet.run_until(WARM_UP_S)
    fleet.write_server("i-7", sequence=2**50, address="127.0.0.1:9")
    fleet.run_until(fleet.now + HEARTBEAT_S)
    fleet.write_server("i-7", sequence=2)
    fleet.run_until(fleet.now + SERVER_READ_INTERVAL_S + MAX_STALENESS_S)
    registries = [follower.context.registry for follower in fleet.followers]
    assert {r.get("i-7").entry.address for r in registries} == {"127.0.0.1:1"}


@SIZES_OF_ALL
def test_late_entries_between_newer_ones_bring_no_leaving_server_back(
    nodes, monkeypatch
):
    """Nodes that don't read the store are told of changes only."""
    fleet = SimulatedFleet(nodes, monkeypatch)
    fleet.run_until(WARM_UP_S)
    fleet.write_server("i-7", sequence=30, state="leaving")
    fleet.run_until(fleet.now + MAX_LEAVING_REQUESTS_S)
    for newer in range(31, 36):
        fleet.write_server("i-7", sequence=newer - 5)
        fleet.run_until(fleet.now + HEARTBEAT_S / 2)
        fleet.write_server("i-7", sequence=newer, state="leaving")
        fleet.run_until(fleet.now + HEARTBEAT_S / 2)
        assert fleet.knowing("i-7") == nodes


@SIZES
def test_an_offset_that_the_topic_does_not_reach_is_given_up(nodes, monkeypatch):
    """A node that took it from another one's snapshot followed no change any more."""
    fleet = SimulatedFleet(nodes, monkeypatch)
    fleet.followers[0].load([], 2**40, 0.1, 77)
    fleet.run_until(WARM_UP_S)
    fleet.write_server("i-7", sequence=2, state="leaving")
    fleet.run_until(BEHIND_TIMEOUT_S + 2 * SERVER_READ_INTERVAL_S + MAX_STALENESS_S)
    assert fleet.knowing("i-7") == nodes


class RefreshingFleet(SimulatedFleet):
    """A fleet whose outdated nodes take the servers from others.

    Attributes
    ----------
    refreshes : int
        How often one has tried to.
    """

    def __init__(self, nodes, monkeypatch):
        super().__init__(nodes, monkeypatch)
        self.refreshes = 0
        for number in range(nodes):
            self.add(self.rng.uniform(0, REFRESH_INTERVAL_S), self.refresh, number)

    def refresh(self, number):
        follower = self.followers[number]
        sources = [other for other in self.followers if other.is_current]
        if follower.is_outdated and sources:
            self.refreshes += 1
            source = self.rng.choice(sources)
            records = list(source.newest.values())
            read = source.reads.newest
            follower.load(records, source.next_offset, source.age_s(), read)
        self.add(self.now + REFRESH_INTERVAL_S, self.refresh, number)


@SIZES_OF_ALL
def test_nodes_that_cannot_read_get_past_a_change_that_they_missed(nodes, monkeypatch):
    """A node that the store rejects stayed at a change that was too large to relay."""
    fleet = RefreshingFleet(nodes, monkeypatch)
    fleet.run_until(WARM_UP_S)
    for follower in fleet.followers[nodes // 2 :]:
        follower.context.store = MemoryStore()
        follower.context.store.fault = store_down
    for number in range(SERVERS):
        version = (
            f"{fleet.rng.getrandbits(200):x}"  # keeps the changes from one message
        )
        options = {"state": "leaving", "software_version": version}
        fleet.write_server(f"i-{number}", sequence=2, **options)
    fleet.run_until(WARM_UP_S + 9.0, lambda: fleet.knowing("i-7") == nodes)
    assert fleet.now - WARM_UP_S < MAX_LEAVING_REQUESTS_S
    assert fleet.refreshes <= 2 * nodes


@SIZES_OF_ALL
def test_no_node_asks_others_for_servers_that_none_can_read(nodes, monkeypatch):
    """All nodes would send each other the whole list while the store is away."""
    fleet = RefreshingFleet(nodes, monkeypatch)
    fleet.run_until(WARM_UP_S)
    fleet.store.fault = store_down
    fleet.run_until(WARM_UP_S + OUTAGE_S)
    assert fleet.refreshes == 0
