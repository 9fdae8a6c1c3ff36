from dataclasses import replace

from endive_core.members import Digest, MemberState
from endive_core.membership import Timings
from made_network import Fleet, member


def joined(count, **options):
    fleet = Fleet(count, **options)
    fleet.seconds_until(fleet.all_live())
    return fleet


def first_of(fleet):
    return next(iter(fleet.nodes.values()))


def test_every_node_learns_of_every_other():
    fleet = Fleet(30)
    assert fleet.seconds_until(fleet.all_live()) < 20
    fleet.run(60)
    assert all(fleet.all_live()(node) for node in fleet.nodes.values())


def test_lost_datagrams_suspect_nobody():
    """With a fifth of all datagrams lost no live node is suspected."""
    fleet = joined(30, loss=0.2)
    for _ in range(180):
        fleet.round()
        assert not any(node.suspected() for node in fleet.nodes.values())


def test_killed_node_is_suspected_then_removed():
    """A machine disappears without notice; peers must stop handing requests to it."""
    fleet = joined(12)
    gone = first_of(fleet)
    fleet.stop(gone)
    fleet.seconds_until(fleet.all_live(), limit_s=15)
    fleet.seconds_until(lambda node: node.get(gone.me.id) is None, limit_s=40)
    fleet.run(60)
    assert all(node.get(gone.me.id) is None for node in fleet.nodes.values())


def test_leaving_is_known_within_seconds():
    fleet = joined(30)
    leaving = first_of(fleet)
    leaving.set_state(MemberState.LEAVING)
    assert fleet.seconds_until(fleet.all_live()) < 8


def test_restart_with_an_earlier_clock_is_accepted():
    """A node is replaced under the same id by a machine whose clock is behind, so that
    its incarnation is lower than before. Peers must not ignore it as outdated."""
    fleet = joined(8)
    old = first_of(fleet)
    fleet.run(10)
    fleet.stop(old)
    address = "10.99.0.1:8083"
    earlier = old.me.incarnation - 500
    fleet.restart(old, incarnation=earlier, gossip_address=address)
    seconds = fleet.seconds_until(
        lambda node: node.get(old.me.id).gossip_address == address
    )
    assert seconds < 10
    fleet.run(30)
    assert all(fleet.all_live()(node) for node in fleet.nodes.values())


def test_restart_after_removal_with_an_earlier_clock_is_accepted():
    """As above, but the previous run was removed before the new one starts."""
    fleet = joined(8)
    old = first_of(fleet)
    fleet.stop(old)
    fleet.seconds_until(lambda node: node.get(old.me.id) is None)
    fleet.restart(old, incarnation=old.me.incarnation - 500)
    assert fleet.seconds_until(fleet.all_live()) < 10


def test_pause_of_this_node_suspects_nobody():
    """A node's machine is paused for a minute. When it resumes, it has received no
    heartbeat for a minute, and must not consider itself the only member."""
    fleet = joined(8)
    paused = first_of(fleet)
    fleet.paused = {paused.me.gossip_address}
    fleet.run(60)
    fleet.paused = set()
    paused.tick()
    assert len(paused.live()) == 8


def test_partitioned_regions_rejoin():
    """Two regions lose contact for five minutes, and each removes the other's nodes.
    When the network is restored, they must rejoin without a restart."""
    fleet = joined(12)
    addresses = sorted(fleet.nodes)
    left = set(addresses[:6])
    fleet.blocked = lambda sender, receiver: (sender in left) != (receiver in left)
    fleet.run(300)
    assert all(len(node.live()) == 6 for node in fleet.nodes.values())
    fleet.blocked = lambda sender, receiver: False
    assert fleet.seconds_until(fleet.all_live()) < 60


def test_outdated_entry_of_a_removed_member_does_not_add_it_again():
    """A delayed datagram contains a member that all nodes have removed."""
    fleet = joined(4, timings=Timings(suspect_after_s=2, remove_after_s=4))
    gone = first_of(fleet)
    late = Digest(gone.me, members=[gone.me])
    fleet.stop(gone)
    fleet.seconds_until(lambda node: node.get(gone.me.id) is None)
    node = first_of(fleet)
    node.receive(Digest(member(50), members=late.members))
    assert node.get(gone.me.id) is None
    node.receive(Digest(replace(gone.me, incarnation=gone.me.incarnation + 1)))
    assert node.get(gone.me.id) is not None


def test_highest_offset_and_facts_reach_all():
    fleet = joined(30)
    node = first_of(fleet)
    node.set_offset(77)
    node.facts.zone_under_notice("brest", until=fleet.time + 60)
    node.facts.crash("f" * 32, "node-000", 2)
    seconds = fleet.seconds_until(
        lambda node: (
            node.highest_offset == 77
            and node.facts.zones_under_notice() == {"brest"}
            and node.facts.crashes("f" * 32) == 2
        )
    )
    assert seconds < 10


def test_configuration_of_every_member_is_known_soon():
    """Operators read from it on how many nodes a change is in force."""
    fleet = joined(30)
    for node in fleet.nodes.values():
        node.set_offset(78)
    seconds = fleet.seconds_until(
        lambda node: all(m.configuration_offset == 78 for m in node.live())
    )
    assert seconds < 13
