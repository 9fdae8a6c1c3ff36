"""Builders for tests of records of origins: fleets of recorders before one store."""

import random
from collections import Counter

import gevent
from endive_core.possible_origins import Confirmations, PossibleOrigin
from endive_core.routing import RouteKind
from endive_core.stream_origins import StreamOrigin, stream_key
from endive_gateway.interfaces import Topic
from endive_gateway.origin_recorder import OriginRecorder
from endive_gateway.origin_records import OriginRecords
from endive_gateway.origin_view import OriginView
from endive_gateway.servers import ServerRegistry
from gateway_builders import HOST, SERVICE, make_entry, make_route, make_table
from store_builders import MemoryStore

STORE_CALL_S = 0.004
DATAGRAM_S = 0.001
LOST_SHARE = 0.02
"""Time of a call to the store, and of a datagram, and share of datagrams that are lost.
"""


class SlowStore(MemoryStore):
    """A store whose calls take their time.

    Attributes
    ----------
    call_s : float
        Time of each call, seconds.
    """

    def __init__(self):
        super().__init__()
        self.call_s = STORE_CALL_S

    def _begin(self, name):
        super()._begin(name)
        gevent.sleep(self.call_s)


def make_origin(version, service=SERVICE):
    return StreamOrigin(service, version)


def make_possible(version, path_prefix="/", service=SERVICE):
    return PossibleOrigin(HOST, path_prefix, make_origin(version, service))


def resumable_table():
    return make_table(make_route(kind=RouteKind.STREAM, resumable=True))


class RecorderFleet:
    """Nodes that have origins recorded, with servers of some versions.

    Attributes
    ----------
    nodes : list of OriginRecords
    sent : Counter
        Datagrams by kind of message.
    """

    def __init__(self, count, *versions, store=None, seed=1):
        self.store = store or SlowStore()
        self.random = random.Random(seed)
        self.table = resumable_table()
        self.registry = ServerRegistry()
        self.sent = Counter()
        self.loops = []
        self.nodes = []
        self.set_versions(*versions)
        self.start(count, is_first_start=True)

    def set_versions(self, *versions):
        """Let the service's servers be one of each of some versions."""
        self.registry.servers.clear()
        for version in versions:
            entry = make_entry(f"i-{version}", software_version=version)
            self.registry.put(entry)
        for node in self.nodes:
            node.view.refresh()
            node.observe_view()

    def start(self, count, *, is_first_start=False):
        """Start nodes, which know nothing but the servers and each other."""
        self.stop()
        addresses = [f"10.0.{n // 250}.{n % 250}" for n in range(count)]
        self.nodes = [self._node(address, is_first_start) for address in addresses]
        by_address = {node.address: node for node in self.nodes}
        for node in self.nodes:
            node.recorders = lambda own=node.address: [a for a in addresses if a != own]
            node.send = self._send_from(node.address, by_address)
        self.loops = [
            gevent.spawn(loop)
            for node in self.nodes
            for loop in (node.run, node.recorder.run)
        ]

    def _node(self, address, is_first_start):
        view = OriginView(self.registry, lambda: self.table)
        view.refresh()
        confirmations = Confirmations()
        recorder = OriginRecorder(
            self.store, view, confirmations, is_first_start=is_first_start
        )
        node = OriginRecords(address, recorder, confirmations, view)
        view.recorder = lambda: node.recorder_address() == address
        return node

    def _send_from(self, sender, by_address):
        def send(message, receivers):
            self.sent[type(message).__name__] += len(receivers)
            for receiver in receivers:
                if self.random.random() >= LOST_SHARE:
                    gevent.spawn_later(
                        DATAGRAM_S, by_address[receiver].receive, message, sender
                    )

        return send

    def stop(self):
        gevent.killall(self.loops)
        self.loops = []

    def begin(self, number, version):
        """Begin a stream at a node in turn; return its recording, if it needs one."""
        node = self.nodes[number % len(self.nodes)]
        key = stream_key("o", f"q{number}")
        return node.begin(make_possible(version), [key], number, 1)

    def look_up(self, number):
        """Look a stream up at any node."""
        node = self.random.choice(self.nodes)
        return node.look_up(stream_key("o", f"q{number}"), HOST, "/x")

    def recorded_calls(self):
        """Return the store calls so far by name, and forget them."""
        calls = Counter(self.store.calls)
        self.store.calls.clear()
        return calls


def written_lists(store):
    """Return the lists that were written to a store."""
    return [record.value for record in store.topics[Topic.POSSIBLE_ORIGINS]]


def cut_off(fleet, node, *versions):
    """Let a node hear of nothing but servers of some versions."""
    registry = ServerRegistry()
    for version in versions:
        registry.put(make_entry(f"i-{version}", software_version=version))
    view = OriginView(registry, lambda: fleet.table)
    view.refresh()
    node.view = node.recorder.view = view
    node.recorders = tuple


def forget_servers(fleet, node):
    """Let a node know what one does that has just started, before it has read any."""
    cut_off(fleet, node)
    node.view.ages_s = [lambda: -1.0]
