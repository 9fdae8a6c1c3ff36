import socket

import builders
import pytest
from endive_core.exceptions import EndiveError, ErrorKind
from endive_core.facts import Fact, FactKind
from endive_core.members import DATAGRAM_BYTES, Digest
from endive_core.membership import Timings
from endive_node.fact_exchange import FactExchange
from endive_node.gossip import (
    MAX_RECEIVED_AT_ONCE,
    REPLIES_PER_S,
    REPLY_BURST,
    DatagramError,
    Gossip,
    decode_digest,
    encode_digest,
    listen_udp,
)
from endive_node.notices import NoticeTable
from node_builders import FakeClock, request, serving
from simulated_network import SimulatedNetwork, member


def large_network():
    """Return a network whose members, facts and requests exceed one datagram."""
    network = SimulatedNetwork(80)
    network.run(10)
    node = next(iter(network.nodes.values()))
    for number in range(200):
        node.facts.crash(f"{number:032x}", f"node-{number:03d}", number)
    for number in range(20):
        node.wanted[(1 << 34) - 1 - number] = None
    return network, node


def test_datagrams_fit_one_mtu_and_come_back_whole():
    network, node = large_network()
    for _ in range(60):
        digest = node.digest()
        data = encode_digest(digest, network.time)
        assert len(data) <= DATAGRAM_BYTES
        back = decode_digest(data, network.time)
        assert (back.sender, back.beats, back.members, back.wanted) == (
            digest.sender,
            digest.beats,
            digest.members,
            digest.wanted,
        )
        assert [fact.key for fact in back.facts] == [f.key for f in digest.facts]


def test_garbled_datagrams_are_refused():
    """Any host can send to the port. If one bad datagram ended the receive loop, the
    node would receive no heartbeats any more and be removed by all others."""
    network, node = large_network()
    data = encode_digest(node.digest(), network.time)
    garbled = [b"", b"x", b"\xff" * 500, data[:200], bytes(300), data[40:]]
    garbled += [encode_digest(Digest(member(1, zone="")), 0.0)]
    for bad in garbled:
        with pytest.raises(DatagramError):
            decode_digest(bad, network.time)


def make_gossip(number):
    udp = listen_udp("127.0.0.1", builders.free_port())
    address = f"127.0.0.1:{udp.getsockname()[1]}"
    return Gossip(
        member(number, gossip_address=address),
        udp,
        FakeClock(),
        datagrams_per_s=3.0,
        timings=Timings(),
        seeds=set(),
        seed=number,
    )


def test_endless_questions_get_few_answers():
    """A faulty or forging node requests members without end. A reply to each request
    would use up the processor and the network of the node asked."""
    gossip = make_gossip(1)
    asker = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    asker.bind(("127.0.0.1", 0))
    asking = member(2, gossip_address=f"127.0.0.1:{asker.getsockname()[1]}")
    data = encode_digest(Digest(asking, wanted=[7]), 0.0)
    sent = []
    gossip.send = lambda digest, receiver: sent.append(receiver)
    for _ in range(500):
        gossip.receive(data, ("127.0.0.1", 1))
    asker.close()
    assert len(sent) == REPLY_BURST
    gossip.clock.time += 1.0
    for _ in range(500):
        gossip.receive(data, ("127.0.0.1", 1))
    gossip.socket.close()
    assert len(sent) == REPLY_BURST + REPLIES_PER_S


def test_listed_instances_only_add_addresses():
    gossip = make_gossip(1)
    port = gossip.members.me.gossip_address.rsplit(":", 1)[1]
    listed = gossip._listed_addresses(
        [
            {"id": "a", "address": "10.0.0.1", "role": "node", "state": "live"},
            {"id": "b", "address": "10.0.0.2:99", "role": "node", "state": "live"},
            {"id": "c", "address": "10.0.0.3", "role": "node", "state": "leaving"},
            {"id": "d", "address": "10.0.0.4", "role": "engine", "state": "live"},
        ]
    )
    gossip.socket.close()
    assert listed == {f"10.0.0.1:{port}", "10.0.0.2:99"}


def test_fact_keeps_its_time_left_between_clocks():
    sender = member(1)
    fact = Fact(FactKind.SERVER_LEAVING, "engine-1", "", 1, until=1030.0)
    data = encode_digest(Digest(sender, facts=[fact]), 1000.0)
    (back,) = decode_digest(data, 50.0).facts
    assert back.until == pytest.approx(80.0, abs=0.01)


def test_crash_is_told_at_once_to_a_node_known_by_address_only():
    """Nodes start together, and a request crashes two servers at one of them before it
    has received the others' heartbeats. If the others learnt of it only in the next
    rounds, the same request, retried by its caller, could crash two servers at each."""
    first, second = make_gossip(1), make_gossip(2)
    first.members.seeds = {second.members.me.gossip_address}
    first.facts.crash("poison", "engine-1@7", 1)
    first.announce()
    second.socket.settimeout(2.0)
    second.receive(*second.socket.recvfrom(65_535))
    assert second.facts.crashes("poison") == 1


def test_a_request_that_crashed_servers_does_not_overtake_the_news():
    """A request crashes two servers at one node, and its caller sends it to another
    one, which reads the request before the datagram that has arrived already."""
    first, second = make_gossip(1), make_gossip(2)
    first.members.seeds = {second.members.me.gossip_address}
    made = serving(None)
    dispatcher = made.dispatcher
    FactExchange(second, NoticeTable(second.clock), dispatcher.crashes)
    dispatcher.before_dispatch = second.receive_pending
    crashing = request(made, fingerprint="poison")
    for server in ("engine-1@7", "engine-2@7"):
        first.facts.crash("poison", server, 1)
    first.announce()
    ticket = dispatcher.admit(crashing)
    with pytest.raises(EndiveError) as raised:
        dispatcher.acquire(ticket)
    assert raised.value.kind is ErrorKind.POISON_REQUEST
    assert dispatcher.admit(request(made, fingerprint="other"))


def test_more_datagrams_than_are_processed_at_once_are_left_for_later():
    first, second = make_gossip(1), make_gossip(2)
    for _ in range(MAX_RECEIVED_AT_ONCE + 1):
        first.send(first.members.digest(), second.members.me.gossip_address)
    second.receive_pending()
    at_once = second.received_bytes
    second.receive_pending()
    assert 0 < second.received_bytes - at_once <= at_once / MAX_RECEIVED_AT_ONCE * 1.1
    second.receive_pending()
