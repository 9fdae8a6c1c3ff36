from random import Random

from core_builders import view
from endive_core.calls import Tier
from endive_core.servers import MIN_REPORT_EXPIRY_S, ServerSet


def servers(*, count=1, slots=32, nodes=7, seed=1):
    made = ServerSet(Random(seed), reserved_share=0.08, divided_share=0.1)
    made.nodes = nodes
    made.set_servers(view(f"s{i}", slots=slots) for i in range(count))
    return made


def fill(made, tier, now=1.0):
    sent = 0
    while open_servers := [
        s for s in made.available[tier].items if made.has_room(s, tier)
    ]:
        made.adjust_in_flight(made.random.choice(open_servers), 1, now)
        sent += 1
    return sent


def test_nodes_that_read_the_same_report_do_not_all_fill_its_free_slots():
    """Seven nodes, each with a queue, read that 4 of 32 slots are free. If each filled
    them, 28 requests would be sent to 4 slots and wait for streams to end."""
    sent = 0
    for seed in range(70):
        made = servers(seed=seed)
        for _ in range(4):
            made.adjust_in_flight(made.servers["s0"], 1, 0.1)
        made.report("s0", 28, 0, as_of=0.5)
        sent += fill(made, Tier.WITHIN_SHARE)
    assert 0.6 * 40 < sent < 1.6 * 40


def test_burst_at_all_nodes_does_not_overrun_idle_servers():
    """A batch reaches all nodes in the same second. The servers' reports show all slots
    as free until half a second later."""
    sent = sum(fill(servers(count=8, seed=seed), Tier.BULK) for seed in range(7))
    assert 8 * 32 * 0.5 < sent <= 8 * 32 * 1.1


def test_slot_freed_by_this_node_is_used_before_the_next_report():
    made = servers()
    made.report("s0", 31, 0, as_of=0.5)
    server = made.servers["s0"]
    server.grants[Tier.WITHIN_SHARE] = 0
    made.refresh(server)
    assert not made.has_room(server, Tier.WITHIN_SHARE)
    made.adjust_in_flight(server, -1, 1.0)
    assert made.has_room(server, Tier.WITHIN_SHARE)


def test_bulk_leaves_the_reserve_free():
    made = servers(nodes=1)
    made.report("s0", 0, 0, as_of=0.5)
    sent = fill(made, Tier.BULK)
    assert sent == 32 - made.servers["s0"].reserved[Tier.BULK]
    assert fill(made, Tier.WITHIN_SHARE) == 32 - sent


def test_own_sends_before_the_report_are_not_counted_twice():
    made = servers()
    server = made.servers["s0"]
    made.adjust_in_flight(server, 1, 1.0)
    made.adjust_in_flight(server, 1, 2.0)
    made.report("s0", 1, 0, as_of=1.5)
    assert server.load == 2


def test_dead_server_gets_one_request_at_a_time_until_it_answers():
    made = servers(count=2)
    server = made.servers["s0"]
    made.pause(server)
    server.paused = False
    made.refresh(server)
    made.adjust_in_flight(server, 1, 1.0)
    assert server.id not in made.available[Tier.WITHIN_SHARE].positions
    made.record_success(server)
    assert server.id in made.available[Tier.WITHIN_SHARE].positions


def test_last_server_is_never_paused():
    made = servers()
    assert not made.pause(made.servers["s0"])
    assert len(made.accepting) == 1


def test_a_removed_server_is_not_indexed_again_when_its_last_request_ends():
    """A server is paused or marked slow, then removed, and a request that still ran
    there ends. If the server were indexed again, it would be chosen for a request,
    which would fail because the server is no longer known."""
    made = servers(count=2)
    gone = made.servers["s0"]
    made.pause(gone)
    made.set_servers([view("s1", slots=32)])
    gone.paused = False
    made.refresh(gone)
    made.record_success(gone)
    for members in (made.accepting, *made.available.values()):
        assert "s0" not in members.positions


def test_many_nodes_find_the_few_idle_slots_of_a_small_service():
    """87 nodes share four idle servers of six slots. A single request must not wait
    because the other 86 nodes might send one at the same moment."""
    made = servers(count=4, slots=6, nodes=87)
    for server in made.servers:
        made.report(server, 0, 0, as_of=1.0)
    assert all(
        made.has_room(server, Tier.WITHIN_SHARE) for server in made.servers.values()
    )


def test_servers_that_leave_together_leave_the_rest_in_the_same_order():
    """A zone's servers are removed at once. If they were removed in the order of a set,
    which differs between processes, the servers drawn at random afterwards would differ
    too, and simulations with the same seed could not be compared."""
    made = servers(count=40)
    one_by_one = servers(count=40)
    names = list(made.servers)
    gone = names[5:30]
    made.set_servers([made.servers[name].view for name in names if name not in gone])
    left = set(names)
    for name in sorted(gone):
        left.discard(name)
        one_by_one.set_servers([one_by_one.servers[n].view for n in names if n in left])
    for tier in Tier:
        assert list(made.available[tier].positions) == list(
            one_by_one.available[tier].positions
        )
        assert [s.id for s in made.available[tier].items] == [
            s.id for s in one_by_one.available[tier].items
        ]


def test_an_old_report_of_a_full_server_expires_for_organisations_over_their_share():
    """It left a slot for those within their share only, and none of them called."""
    for seed in range(20):
        made = servers(seed=seed, slots=6, nodes=6)
        server = made.servers["s0"]
        made.adjust_in_flight(server, 1, 0.1)
        made.report("s0", 6, 1, as_of=0.2)
        made.adjust_in_flight(server, -1, 0.3)
        made.expire_reports(0.3 + MIN_REPORT_EXPIRY_S, 0.1)
        assert server.has_free_slots(Tier.OVER_SHARE), seed
