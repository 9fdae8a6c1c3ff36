from random import Random

import pytest
from endive_core.ejection import (
    HOLD_S,
    LEAST_FAILURES,
    LEAST_SERVERS,
    MOST_SHARE,
    MOST_TOLD,
    RATIO,
    WINDOW_S,
    ClusterEjection,
)

SERVERS = [f"s{number}" for number in range(45)]
LIARS = set(SERVERS[:4])
TELL_S = 0.7

FEW_SERVERS = ("server-a", "server-b", "server-c")
MANY_NODES = 100
REQUESTS_PER_S = 35
FAILING_SHARE = 0.69
TOLD_EVERY_S = 1.0
LENGTH_S = 25.0


def failed(made, server, times, now=10.0):
    for _ in range(times):
        made.failed(server, now)


def failures_of(nodes, *, telling, seconds=8.0, each_s=0.001):
    """Play `nodes` before servers of which four fail all; return the failed share."""
    random = Random(7)
    fleet = [ClusterEjection() for _ in range(nodes)]
    suspects = [set() for _ in fleet]
    asked = lost = 0
    for tick in range(int(seconds / each_s)):
        now = tick * each_s
        number = random.randrange(nodes)
        if telling and tick % int(TELL_S / nodes / each_s + 1) == 0:
            teller = (tick // int(TELL_S / nodes / each_s + 1)) % nodes
            told = fleet[teller].own_counts(now)
            for other in range(nodes):
                if other != teller:
                    fleet[other].receive(str(teller), told, now)
        if tick % 50 == 0:
            suspects[number] = fleet[number].ejected(SERVERS, now)
            for other in range(nodes):
                suspects[other] = fleet[other].ejected(SERVERS, now)
        open_ = [s for s in SERVERS if s not in suspects[number]]
        server = random.choice(open_)
        asked += 1
        if server in LIARS:
            lost += 1
            fleet[number].failed(server, now)
    return lost / asked


def test_sixty_nodes_together_avoid_servers_that_fail_everything():
    """A thousand requests a second go to 45 servers of which four answer each with a
    failure. Each node alone sees too few of them; together they cut the failures to a
    third within eight seconds."""
    assert failures_of(60, telling=False) > 0.08
    assert failures_of(60, telling=True) < 0.03


def test_one_nodes_failures_alone_suspect_nobody():
    made = ClusterEjection()
    failed(made, "s1", 50)
    assert made.ejected(SERVERS, 10.1) == set()


def test_where_all_servers_fail_alike_none_is_suspected():
    """A fault that all share, such as bad requests, would else leave the load to a few
    servers, one after the other."""
    made = ClusterEjection()
    made.receive("b", dict.fromkeys(SERVERS, LEAST_FAILURES), 10.0)
    made.receive("c", dict.fromkeys(SERVERS, LEAST_FAILURES), 10.0)
    made.receive("d", {"s1": int(RATIO)}, 10.0)
    assert made.ejected(SERVERS, 10.1) == set()


def test_at_most_a_part_of_the_servers_is_suspected():
    made = ClusterEjection()
    made.receive("b", dict.fromkeys(SERVERS[:8], 1000), 10.0)
    made.receive("c", dict.fromkeys(SERVERS[:8], 1000), 10.0)
    made.receive("d", dict.fromkeys(SERVERS[8:20], 2000), 10.0)
    made.receive("e", dict.fromkeys(SERVERS[8:20], 2000), 10.0)
    assert len(made.ejected(SERVERS, 10.1)) <= MOST_SHARE * len(SERVERS)


def test_a_suspect_is_tried_again_and_longer_avoided_if_it_still_fails():
    made = ClusterEjection()
    made.receive("b", {"s1": 9}, 10.0)
    failed(made, "s1", 3)
    assert made.ejected(SERVERS, 10.1) == {"s1"}
    tried = 10.1 + HOLD_S + 0.1
    assert made.ejected(SERVERS, tried) == set()
    made.receive("b", {"s1": 9}, tried)
    failed(made, "s1", 3, tried)
    assert made.ejected(SERVERS, tried + 0.1) == {"s1"}
    assert made.ejected(SERVERS, tried + HOLD_S + 1.0) == {"s1"}
    assert made.ejected(SERVERS, tried + 2 * HOLD_S + 1.0) == set()


def test_what_a_node_told_long_ago_counts_no_more():
    made = ClusterEjection()
    made.receive("b", {"s1": 9}, 10.0)
    failed(made, "s1", 3, 10.0 + WINDOW_S)
    assert made.ejected(SERVERS, 10.1 + WINDOW_S) == set()


def test_a_telling_stays_small():
    made = ClusterEjection()
    for server in SERVERS:
        made.failed(server, 1.0)
    assert len(made.own_counts(1.0)) == MOST_TOLD


def failures_of_few(seed, failing):
    """Play many nodes before three servers; return the part of requests that fail."""
    random = Random(seed)
    fleet = [ClusterEjection() for _ in range(MANY_NODES)]
    told_at = [random.random() * TOLD_EVERY_S for _ in fleet]
    asked = lost = 0
    while (now := asked / REQUESTS_PER_S) < LENGTH_S:
        for number, due_at in enumerate(told_at):
            if now >= due_at:
                told_at[number] += TOLD_EVERY_S
                tell_others(fleet, number, now)
        node = random.choice(fleet)
        suspects = node.ejected(FEW_SERVERS, now)
        server = random.choice([s for s in FEW_SERVERS if s not in suspects])
        asked += 1
        if server in failing and random.random() < FAILING_SHARE:
            node.failed(server, now)
            lost += 1
    return lost / asked


def tell_others(fleet, number, now):
    told = fleet[number].own_counts(now)
    for other, node in enumerate(fleet):
        if other != number:
            node.receive(str(number), told, now)


@pytest.mark.parametrize("seed", range(5))
def test_one_failing_server_of_three_is_found_by_many_nodes(seed):
    """One of three servers answers two requests in three with a failure, and a hundred
    nodes send it a request in ten seconds each. Callers would get a failure for 23
    requests in 100 for as long as it goes on; under 10 do."""
    assert failures_of_few(seed, FEW_SERVERS[:1]) < 0.1


def test_one_of_two_servers_is_not_suspected():
    """Without a third server nothing says which of two is the odd one."""
    servers = FEW_SERVERS[: LEAST_SERVERS - 1]
    made = ClusterEjection()
    failed(made, servers[0], LEAST_FAILURES, now=1.0)
    made.receive("other", {servers[0]: LEAST_FAILURES}, 1.0)
    assert made.ejected(servers, 1.0) == set()


def test_two_failing_servers_of_three_keep_their_work():
    """Where most servers fail, the third alone could not carry the load."""
    assert failures_of_few(1, FEW_SERVERS[:2]) == pytest.approx(0.46, abs=0.08)
