from random import Random

import pytest
from endive_core.ejection import (
    BASE_EJECTION_S,
    FAILURE_RATIO,
    MAX_EJECTED_SHARE,
    MAX_REPORTED_SERVERS,
    MIN_FAILURES,
    MIN_SERVERS,
    WINDOW_S,
    ClusterEjection,
)

SERVERS = [f"s{number}" for number in range(45)]
FAILING_SERVERS = set(SERVERS[:4])
GOSSIP_INTERVAL_S = 0.7

FEW_SERVERS = ("server-a", "server-b", "server-c")
MANY_NODES = 100
REQUESTS_PER_S = 35
FAILING_SHARE = 0.69
MANY_NODES_GOSSIP_INTERVAL_S = 1.0
DURATION_S = 25.0


def failed(made, server, times, now=10.0):
    for _ in range(times):
        made.failed(server, now)


def failed_share(nodes, *, gossip, seconds=8.0, each_s=0.001):
    """Simulate `nodes` with four failing servers; return the share of failures."""
    random = Random(7)
    trackers = [ClusterEjection() for _ in range(nodes)]
    ejected = [set() for _ in trackers]
    requests = failures = 0
    for tick in range(int(seconds / each_s)):
        now = tick * each_s
        number = random.randrange(nodes)
        if gossip and tick % int(GOSSIP_INTERVAL_S / nodes / each_s + 1) == 0:
            sender = (tick // int(GOSSIP_INTERVAL_S / nodes / each_s + 1)) % nodes
            counts = trackers[sender].own_counts(now)
            for other in range(nodes):
                if other != sender:
                    trackers[other].receive(str(sender), counts, now)
        if tick % 50 == 0:
            ejected[number] = trackers[number].ejected(SERVERS, now)
            for other in range(nodes):
                ejected[other] = trackers[other].ejected(SERVERS, now)
        usable = [s for s in SERVERS if s not in ejected[number]]
        server = random.choice(usable)
        requests += 1
        if server in FAILING_SERVERS:
            failures += 1
            trackers[number].failed(server, now)
    return failures / requests


def test_sixty_nodes_together_avoid_servers_that_fail_everything():
    """A thousand requests per second are sent to 45 servers, of which four fail every
    request. Each node alone sees too few failures; together the nodes reduce the failed
    requests to a third within eight seconds."""
    assert failed_share(60, gossip=False) > 0.08
    assert failed_share(60, gossip=True) < 0.03


def test_failures_at_a_single_node_eject_no_server():
    made = ClusterEjection()
    failed(made, "s1", 50)
    assert made.ejected(SERVERS, 10.1) == set()


def test_where_all_servers_fail_alike_none_is_ejected():
    """Otherwise a fault that all servers share, such as invalid requests, would eject
    one server after the other and leave the load to a few."""
    made = ClusterEjection()
    made.receive("b", dict.fromkeys(SERVERS, MIN_FAILURES), 10.0)
    made.receive("c", dict.fromkeys(SERVERS, MIN_FAILURES), 10.0)
    made.receive("d", {"s1": int(FAILURE_RATIO)}, 10.0)
    assert made.ejected(SERVERS, 10.1) == set()


def test_at_most_a_part_of_the_servers_is_ejected():
    made = ClusterEjection()
    made.receive("b", dict.fromkeys(SERVERS[:8], 1000), 10.0)
    made.receive("c", dict.fromkeys(SERVERS[:8], 1000), 10.0)
    made.receive("d", dict.fromkeys(SERVERS[8:20], 2000), 10.0)
    made.receive("e", dict.fromkeys(SERVERS[8:20], 2000), 10.0)
    assert len(made.ejected(SERVERS, 10.1)) <= MAX_EJECTED_SHARE * len(SERVERS)


def test_an_ejected_server_is_tried_again_and_ejected_for_longer_if_it_still_fails():
    made = ClusterEjection()
    made.receive("b", {"s1": 9}, 10.0)
    failed(made, "s1", 3)
    assert made.ejected(SERVERS, 10.1) == {"s1"}
    resumed_at = 10.1 + BASE_EJECTION_S + 0.1
    assert made.ejected(SERVERS, resumed_at) == set()
    made.receive("b", {"s1": 9}, resumed_at)
    failed(made, "s1", 3, resumed_at)
    assert made.ejected(SERVERS, resumed_at + 0.1) == {"s1"}
    assert made.ejected(SERVERS, resumed_at + BASE_EJECTION_S + 1.0) == {"s1"}
    assert made.ejected(SERVERS, resumed_at + 2 * BASE_EJECTION_S + 1.0) == set()


def test_old_counts_of_another_node_expire():
    made = ClusterEjection()
    made.receive("b", {"s1": 9}, 10.0)
    failed(made, "s1", 3, 10.0 + WINDOW_S)
    assert made.ejected(SERVERS, 10.1 + WINDOW_S) == set()


def test_the_exchanged_counts_are_bounded():
    made = ClusterEjection()
    for server in SERVERS:
        made.failed(server, 1.0)
    assert len(made.own_counts(1.0)) == MAX_REPORTED_SERVERS


def failed_share_of_few(seed, failing):
    """Simulate many nodes with three servers; return the failed share of requests."""
    random = Random(seed)
    trackers = [ClusterEjection() for _ in range(MANY_NODES)]
    next_gossip_at = [random.random() * MANY_NODES_GOSSIP_INTERVAL_S for _ in trackers]
    requests = failures = 0
    while (now := requests / REQUESTS_PER_S) < DURATION_S:
        for number, due_at in enumerate(next_gossip_at):
            if now >= due_at:
                next_gossip_at[number] += MANY_NODES_GOSSIP_INTERVAL_S
                gossip_counts(trackers, number, now)
        node = random.choice(trackers)
        ejected = node.ejected(FEW_SERVERS, now)
        server = random.choice([s for s in FEW_SERVERS if s not in ejected])
        requests += 1
        if server in failing and random.random() < FAILING_SHARE:
            node.failed(server, now)
            failures += 1
    return failures / requests


def gossip_counts(trackers, number, now):
    counts = trackers[number].own_counts(now)
    for other, node in enumerate(trackers):
        if other != number:
            node.receive(str(number), counts, now)


@pytest.mark.parametrize("seed", range(5))
def test_one_failing_server_of_three_is_found_by_many_nodes(seed):
    """One of three servers fails two requests in three, and each of a hundred nodes
    sends it one request in ten seconds. Without ejection 23 requests in 100 would fail
    for as long as the fault lasts; with it, less than 10 do."""
    assert failed_share_of_few(seed, FEW_SERVERS[:1]) < 0.1


def test_one_of_two_servers_is_not_ejected():
    """With two servers there is no majority to compare with."""
    servers = FEW_SERVERS[: MIN_SERVERS - 1]
    made = ClusterEjection()
    failed(made, servers[0], MIN_FAILURES, now=1.0)
    made.receive("other", {servers[0]: MIN_FAILURES}, 1.0)
    assert made.ejected(servers, 1.0) == set()


def test_two_failing_servers_of_three_keep_their_work():
    """Where most servers fail, the third alone could not carry the load."""
    assert failed_share_of_few(1, FEW_SERVERS[:2]) == pytest.approx(0.46, abs=0.08)
