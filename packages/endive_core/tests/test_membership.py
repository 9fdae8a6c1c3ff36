from dataclasses import replace

from endive_core.members import Digest, MemberState
from endive_core.membership import Timings
from simulated_network import SimulatedNetwork, member


def joined(count, **options):
    network = SimulatedNetwork(count, **options)
    network.seconds_until(network.all_live())
    return network


def first_of(network):
    return next(iter(network.nodes.values()))


def test_every_node_learns_of_every_other():
    network = SimulatedNetwork(30)
    assert network.seconds_until(network.all_live()) < 20
    network.run(60)
    assert all(network.all_live()(node) for node in network.nodes.values())


def test_lost_datagrams_suspect_nobody():
    """With a fifth of all datagrams lost no live node is suspected."""
    network = joined(30, loss=0.2)
    for _ in range(180):
        network.run_round()
        assert not any(node.suspected() for node in network.nodes.values())


def test_killed_node_is_suspected_then_removed():
    """A machine disappears without notice; peers must stop handing requests to it."""
    network = joined(12)
    gone = first_of(network)
    network.stop(gone)
    network.seconds_until(network.all_live(), limit_s=15)
    network.seconds_until(lambda node: node.get(gone.me.id) is None, limit_s=40)
    network.run(60)
    assert all(node.get(gone.me.id) is None for node in network.nodes.values())


def test_leaving_is_known_within_seconds():
    network = joined(30)
    leaving = first_of(network)
    leaving.set_state(MemberState.LEAVING)
    assert network.seconds_until(network.all_live()) < 8


def test_restart_with_an_earlier_clock_is_accepted():
    """A node is replaced under the same id by a machine whose clock is behind, so that
    its incarnation is lower than before. Peers must not ignore it as outdated."""
    network = joined(8)
    old = first_of(network)
    network.run(10)
    network.stop(old)
    address = "10.99.0.1:8083"
    earlier = old.me.incarnation - 500
    network.restart(old, incarnation=earlier, gossip_address=address)
    seconds = network.seconds_until(
        lambda node: node.get(old.me.id).gossip_address == address
    )
    assert seconds < 10
    network.run(30)
    assert all(network.all_live()(node) for node in network.nodes.values())


def test_restart_after_removal_with_an_earlier_clock_is_accepted():
    """As above, but the previous run was removed before the new one starts."""
    network = joined(8)
    old = first_of(network)
    network.stop(old)
    network.seconds_until(lambda node: node.get(old.me.id) is None)
    network.restart(old, incarnation=old.me.incarnation - 500)
    assert network.seconds_until(network.all_live()) < 10


def test_pause_of_this_node_suspects_nobody():
    """A node's machine is paused for a minute. When it resumes, it has received no
    heartbeat for a minute, and must not consider itself the only member."""
    network = joined(8)
    paused = first_of(network)
    network.paused = {paused.me.gossip_address}
    network.run(60)
    network.paused = set()
    paused.tick()
    assert len(paused.live()) == 8


def test_partitioned_regions_rejoin():
    """Two regions lose contact for five minutes, and each removes the other's nodes.
    When the network is restored, they must rejoin without a restart."""
    network = joined(12)
    addresses = sorted(network.nodes)
    left = set(addresses[:6])
    network.blocked = lambda sender, receiver: (sender in left) != (receiver in left)
    network.run(300)
    assert all(len(node.live()) == 6 for node in network.nodes.values())
    network.blocked = lambda sender, receiver: False
    assert network.seconds_until(network.all_live()) < 60


def test_outdated_entry_of_a_removed_member_does_not_add_it_again():
    """A delayed datagram contains a member that all nodes have removed."""
    network = joined(4, timings=Timings(suspect_after_s=2, remove_after_s=4))
    gone = first_of(network)
    late = Digest(gone.me, members=[gone.me])
    network.stop(gone)
    network.seconds_until(lambda node: node.get(gone.me.id) is None)
    node = first_of(network)
    node.receive(Digest(member(50), members=late.members))
    assert node.get(gone.me.id) is None
    node.receive(Digest(replace(gone.me, incarnation=gone.me.incarnation + 1)))
    assert node.get(gone.me.id) is not None


def test_highest_offset_and_facts_reach_all():
    network = joined(30)
    node = first_of(network)
    node.set_offset(77)
    node.facts.zone_under_notice("brest", until=network.time + 60)
    node.facts.crash("f" * 32, "node-000", 2)
    seconds = network.seconds_until(
        lambda node: (
            node.highest_offset == 77
            and node.facts.zones_under_notice() == {"brest"}
            and node.facts.crashes("f" * 32) == 2
        )
    )
    assert seconds < 10


def test_configuration_of_every_member_is_known_soon():
    """Operators read from it on how many nodes a change is in force."""
    network = joined(30)
    for node in network.nodes.values():
        node.set_offset(78)
    seconds = network.seconds_until(
        lambda node: all(m.configuration_offset == 78 for m in node.live())
    )
    assert seconds < 13
