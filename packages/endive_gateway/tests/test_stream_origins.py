"""Where streams began, kept by a fleet of nodes."""

from collections import Counter

import pytest
from endive_core.stream_origins import (
    AMBIGUOUS,
    Member,
    OriginTable,
    OwnerChoice,
    StreamOrigin,
    stream_key,
)
from endive_gateway.origin_exchange import OriginExchange

FLEETS = [6, 30, 200, 375]
ZONES = ("a", "b", "c")
ORIGIN = StreamOrigin("s", "v1")
STREAMS = 300
LEFT_S = 3600.0
"""Time until the streams' deadlines, seconds: longer than any of these tests."""


class FleetOfExchanges:
    """Nodes that exchange origins of streams; datagrams arrive at once.

    Attributes
    ----------
    sent : Counter
        Datagrams sent by each node.
    """

    def __init__(self, count):
        self.nodes = {}
        self.sent = Counter()
        for number in range(count):
            self.start(f"10.0.{number // 250}.{number % 250}", number, 1)

    def start(self, address, number, incarnation):
        """Start a node, which knows nothing yet."""
        node = OriginExchange(address, ZONES[number % len(ZONES)], incarnation)
        node.datagrams.send = self.deliver_from(address)
        node.live_members = lambda: {
            other.address: other.self_member
            for other in self.nodes.values()
            if other is not node
        }
        self.nodes[address] = node

    def deliver_from(self, sender):
        def send(message, receivers):
            self.sent[sender] += len(receivers)
            for receiver in receivers:
                if receiver in self.nodes:
                    self.nodes[receiver].receive(message, sender)

        return send

    def begin_streams(self):
        """Let the nodes in turn begin streams; return each key with its node."""
        addresses = list(self.nodes)
        began = {}
        for number in range(STREAMS):
            key, address = (
                stream_key("o", f"q{number}"),
                addresses[number % len(addresses)],
            )
            self.nodes[address].tell(key, ORIGIN, LEFT_S)
            began[key] = address
        return began

    def forget_members(self):
        """Let each node look for the live ones when it asks next."""
        for node in self.nodes.values():
            node.choose_at = float("-inf")

    def let_tellers_notice(self):
        """Let the nodes that began streams notice which nodes are live."""
        for node in self.nodes.values():
            if len(node.own):
                node.update_members(0.0)
        self.forget_members()

    def knows(self, key, address):
        node = self.nodes[address]
        return (node.known(key) or node.ask(key).origin) == ORIGIN

    def known_share(self, keys):
        """Return the share of streams whose origins another node finds out."""
        addresses = list(self.nodes)
        found = [
            self.knows(key, addresses[(7 * number + 3) % len(addresses)])
            for number, key in enumerate(keys)
        ]
        return sum(found) / len(found)


@pytest.mark.parametrize("count", FLEETS)
def test_an_origin_survives_the_node_that_began_the_stream(count):
    """Each node is lost in turn, and another one takes its streams up."""
    fleet = FleetOfExchanges(count)
    began = fleet.begin_streams()
    for lost in list(dict.fromkeys(began.values()))[:20]:
        node = fleet.nodes.pop(lost)
        fleet.forget_members()
        assert fleet.known_share([k for k, a in began.items() if a == lost]) == 1.0
        fleet.nodes[lost] = node


@pytest.mark.parametrize("count", FLEETS)
def test_an_origin_survives_an_availability_zone(count):
    """All nodes of a zone are lost at once."""
    fleet = FleetOfExchanges(count)
    began = fleet.begin_streams()
    for address, node in list(fleet.nodes.items()):
        if node.self_member.zone == "a":
            del fleet.nodes[address]
    fleet.forget_members()
    assert fleet.known_share(began) == 1.0


@pytest.mark.parametrize("count", FLEETS)
def test_an_origin_survives_a_restart_of_one_node_after_the_other(count):
    """The owners of a stream restart, a node that stops hands over what it keeps, and
    the nodes that began streams tell new owners."""
    fleet = FleetOfExchanges(count)
    began = fleet.begin_streams()
    addresses = list(fleet.nodes)
    key, teller = next(iter(began.items()))
    owners = [a for a in fleet.nodes[teller].choice.owners(key) if a != teller]
    for address in [*owners, teller]:
        fleet.nodes[address].hand_over()
        fleet.start(address, addresses.index(address), 2)
        fleet.let_tellers_notice()
    assert fleet.known_share(list(began)[:100]) == 1.0


@pytest.mark.parametrize("count", FLEETS)
def test_the_cost_of_an_origin_does_not_grow_with_the_fleet(count):
    """A stream costs two datagrams at most, a question four, with its replies."""
    fleet = FleetOfExchanges(count)
    began = fleet.begin_streams()
    assert fleet.sent.total() <= 2 * STREAMS
    kept = sum(len(node.table) for node in fleet.nodes.values())
    assert kept <= 3 * STREAMS
    fleet.sent.clear()
    fleet.known_share(began)
    assert fleet.sent.total() <= 4 * STREAMS


def test_after_the_loss_of_all_nodes_nobody_knows_a_stream():
    """It must then not go on at a guessed version."""
    fleet = FleetOfExchanges(6)
    began = fleet.begin_streams()
    for number, address in enumerate(list(fleet.nodes)):
        fleet.start(address, number, 2)
    assert fleet.known_share(began) == 0.0


def test_lost_datagrams_are_asked_for_again():
    """The first question to each owner is lost."""
    fleet = FleetOfExchanges(6)
    (key, began), *_ = fleet.begin_streams().items()
    asking = next(n for n in fleet.nodes.values() if n.known(key) is None)
    deliver, lost = asking.datagrams.send, []

    def send(message, receivers):
        if len(lost) < 1:
            lost.append(message)
        else:
            deliver(message, receivers)

    asking.datagrams.send = send
    assert asking.ask(key).origin == ORIGIN


def test_nodes_of_an_earlier_version_own_no_origins():
    """They don't understand the messages, so their zone is not known."""
    fleet = FleetOfExchanges(6)
    node = next(iter(fleet.nodes.values()))
    assert set(node.live_members()) == set(fleet.nodes) - {node.address}
    node.live_members = dict
    node.update_members(0.0)
    assert node.choice.owners(stream_key("o", "q")) == [node.address]


def test_a_request_id_used_for_two_streams_names_neither():
    """A caller that reuses an id must not get one stream's version for the other."""
    table, key = OriginTable(), stream_key("o", "q")
    table.put(key, ORIGIN, 10.0, 0.0)
    table.put(key, ORIGIN, 12.0, 1.0)
    assert table.get(key, 11.0) == ORIGIN
    table.put(key, StreamOrigin("s", "v2"), 12.0, 2.0)
    assert table.get(key, 3.0) == AMBIGUOUS
    assert table.get(key, 12.0) is None


def test_the_origins_of_two_organisations_are_kept_apart():
    """One organisation's ids must not say anything of another's streams."""
    assert stream_key("a", "q") != stream_key("b", "q")


def test_a_table_forgets_the_oldest_origins():
    """Its memory is bounded whatever the rate of streams."""
    table = OriginTable(limit=10)
    for number in range(100):
        table.put(b"%d" % number, ORIGIN, 50.0, 0.0)
    assert len(table) == 10
    assert table.get(b"99", 1.0) == ORIGIN


def test_members_are_chosen_alike_whatever_order_they_come_in():
    """Nodes with the same view must compute the same owners."""
    fleet = FleetOfExchanges(30)
    for node in fleet.nodes.values():
        node.update_members(0.0)
    first, *others = fleet.nodes.values()
    for number in range(50):
        key = stream_key("o", str(number))
        assert all(n.choice.owners(key) == first.choice.owners(key) for n in others)


def test_a_ring_that_was_changed_is_that_of_its_members():
    """Nodes that learned of members in another order must agree on owners."""
    members = {f"10.0.0.{n}": Member(ZONES[n % 3], n) for n in range(40)}
    fresh, changed = OwnerChoice(), OwnerChoice()
    fresh.set_members(members)
    for count in (10, 40, 25, 0, 30, 40):
        changed.set_members(dict(list(members.items())[:count]))
    for number in range(200):
        key = stream_key("o", str(number))
        assert fresh.owners(key) == changed.owners(key)
