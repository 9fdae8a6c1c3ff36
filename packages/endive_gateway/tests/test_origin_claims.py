"""Streams whose nodes are lost before it is known which process began them."""

import time

import gevent
import pytest
from endive_core.stream_origins import AMBIGUOUS, UNCONFIRMED, StreamOrigin, stream_key
from endive_gateway.origin_claims import OriginClaim, OriginClaims
from endive_gateway.origin_exchange import OriginExchange
from endive_gateway.origin_messages import OriginNote
from endive_gateway.server_processes import ServerProcesses
from endive_gateway.servers import ServerRegistry
from gateway_builders import make_entry
from test_stream_origins import FLEETS, LEFT_S, STREAMS, FleetOfExchanges

ORIGIN = StreamOrigin("s", "v1")
CLAIM = OriginClaim(ORIGIN, "i-1", 1)
HEARTBEAT_S = 1.2
REGISTERED_S = ServerProcesses(ServerRegistry(), HEARTBEAT_S).registration_s
SETTLING_S = 0.3
KEY = stream_key("o", "q")


class ClaimingFleet(FleetOfExchanges):
    """Nodes that begin streams at a process that they don't know.

    Attributes
    ----------
    is_true : bool
        Whether the reads of the servers show that the claims are true.
    """

    is_true = False

    def start(self, address, number, incarnation):
        super().start(address, number, incarnation)
        self.nodes[address].is_true = lambda claim, told_at: self.is_true

    def begin_streams(self):
        addresses = list(self.nodes)
        began = {}
        for number in range(STREAMS):
            key = stream_key("o", f"q{number}")
            address = addresses[number % len(addresses)]
            self.nodes[address].tell(key, UNCONFIRMED, LEFT_S, claim=CLAIM)
            began[key] = address
        return began

    def settle(self):
        for node in self.nodes.values():
            node.settle()


@pytest.mark.parametrize("count", FLEETS)
def test_owners_confirm_streams_whose_nodes_were_lost_before_they_could(count):
    """Guards against streams that stay unconfirmed for ever, and go on nowhere."""
    fleet = ClaimingFleet(count)
    began = fleet.begin_streams()
    for lost in list(dict.fromkeys(began.values()))[: count // 6]:
        del fleet.nodes[lost]
    fleet.forget_members()
    fleet.settle()
    assert fleet.known_share(began) == 0.0
    fleet.is_true = True
    fleet.settle()
    assert fleet.known_share(began) > 0.9


def test_owners_that_are_chosen_later_confirm_streams_too():
    """Guards against claims that only the first owners of a stream hear of."""
    fleet = ClaimingFleet(6)
    began = fleet.begin_streams()
    for address in list(fleet.nodes)[:2]:
        number = int(address.rpartition(".")[2])
        fleet.start(address, number, 2)
    fleet.let_tellers_notice()
    for address in list(fleet.nodes)[2:4]:
        del fleet.nodes[address]
    fleet.forget_members()
    fleet.is_true = True
    fleet.settle()
    restarted = set(list(fleet.nodes)[:2])
    survives = [key for key, address in began.items() if address not in restarted]
    assert fleet.known_share(survives) > 0.9


@pytest.fixture
def owner():
    node = OriginExchange("10.0.0.1", "a", 1)
    node.is_true = lambda claim, told_at: claim == CLAIM
    return node


def note(origin, *claims):
    claims = [
        (KEY, c.origin.service, c.origin.version, c.server_id, c.incarnation)
        for c in claims
    ]
    return OriginNote([(KEY, origin.service, origin.version, LEFT_S)], claims)


def test_an_owner_keeps_what_it_has_confirmed_when_it_is_told_again(owner):
    """Guards against streams that are ambiguous since a claim arrived twice."""
    owner.receive(note(UNCONFIRMED, CLAIM), "10.0.0.2")
    owner.settle()
    owner.receive(note(UNCONFIRMED, CLAIM), "10.0.0.2")
    owner.receive(note(ORIGIN), "10.0.0.2")
    owner.settle()
    assert owner.known(KEY) == ORIGIN


def test_an_owner_believes_the_node_that_began_a_stream_in_doubt(owner):
    """Guards against a claim that outlives the doubt of the node that made it."""
    owner.receive(note(UNCONFIRMED, CLAIM), "10.0.0.2")
    owner.settle()
    owner.receive(note(AMBIGUOUS), "10.0.0.2")
    assert owner.known(KEY) == AMBIGUOUS


def test_a_doubt_ends_the_claim(owner):
    """Guards against a claim that is confirmed after its node has withdrawn it."""
    owner.receive(note(UNCONFIRMED, CLAIM), "10.0.0.2")
    owner.receive(note(AMBIGUOUS), "10.0.0.2")
    owner.settle()
    assert owner.known(KEY) == AMBIGUOUS


def test_two_claims_under_one_request_id_confirm_neither(owner):
    """Guards against a stream that goes on at the version of another one."""
    other = OriginClaim(StreamOrigin("s", "v2"), "i-2", 1)
    owner.receive(note(UNCONFIRMED, other), "10.0.0.2")
    owner.receive(note(UNCONFIRMED, CLAIM), "10.0.0.3")
    owner.settle()
    assert owner.known(KEY) == UNCONFIRMED


def test_a_note_of_an_earlier_version_claims_nothing(owner):
    """Guards against mixed fleets in which unconfirmed streams are lost."""
    owner.receive(note(UNCONFIRMED), "10.0.0.2")
    owner.settle()
    assert owner.known(KEY) == UNCONFIRMED


def test_claims_are_forgotten_with_their_streams(owner):
    """Guards against claims that pile up for the life of a node."""
    owner.table.limit = 10
    for number in range(40):
        claim = CLAIM if number % 2 else OriginClaim(ORIGIN, "i-9", 1)
        owner.tell(stream_key("o", f"q{number}"), UNCONFIRMED, 1.0, claim=claim)
    owner.settle()
    assert len(owner.claims.open) + len(owner.claims.settled) == 10


def test_an_owner_confirms_without_being_asked():
    """Guards against a claim that is confirmed too late, when its server is gone."""
    owner = OriginExchange("10.0.0.1", "a", 1)
    owner.is_true = lambda claim, told_at: True
    loop = gevent.spawn(owner.run)
    owner.receive(note(UNCONFIRMED, CLAIM), "10.0.0.2")
    gevent.sleep(SETTLING_S)
    loop.kill()
    assert owner.claims.open == {}
    assert owner.known(KEY) == ORIGIN


@pytest.mark.parametrize(
    ("read_after_s", "incarnation", "is_true"),
    [
        (REGISTERED_S, 1, True),
        (REGISTERED_S - 0.01, 1, False),
        (-1.0, 1, False),
        (REGISTERED_S, 2, False),
        (REGISTERED_S, None, False),
    ],
)
def test_only_a_later_read_that_finds_the_entry_confirms_a_claim(
    read_after_s, incarnation, is_true
):
    """Guards against a guess at the software of a server that has started again."""
    registry = ServerRegistry()
    processes = ServerProcesses(registry, HEARTBEAT_S)
    told_at = time.monotonic()
    processes.read_at = lambda: told_at + read_after_s
    if incarnation is not None:
        registry.put(make_entry("i-1", incarnation=incarnation))
    assert processes.is_still("i-1", 1, told_at) == is_true


def test_a_claim_counts_from_when_it_was_first_told():
    """Guards against a claim that each repetition puts off."""
    claims, told = OriginClaims(), []
    claims.add(KEY, CLAIM, 1.0)
    claims.add(KEY, CLAIM, 2.0)
    claims.settle(lambda claim, told_at: told.append(told_at))
    assert told == [1.0]
