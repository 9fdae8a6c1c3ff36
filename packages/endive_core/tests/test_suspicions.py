from random import Random

from endive_core.suspicions import (
    HOLD_S,
    LEAST_FAILURES,
    MOST_SHARE,
    MOST_TOLD,
    RATIO,
    WINDOW_S,
    Suspicions,
)

SERVERS = [f"s{number}" for number in range(45)]
LIARS = set(SERVERS[:4])
TELL_S = 0.7


def failed(made, server, times, now=10.0):
    for _ in range(times):
        made.failed(server, now)


def failures_of(nodes, *, telling, seconds=8.0, each_s=0.001):
    """Play `nodes` before servers of which four fail all; return the failed share."""
    random = Random(7)
    fleet = [Suspicions() for _ in range(nodes)]
    suspects = [set() for _ in fleet]
    asked = lost = 0
    for tick in range(int(seconds / each_s)):
        now = tick * each_s
        number = random.randrange(nodes)
        if telling and tick % int(TELL_S / nodes / each_s + 1) == 0:
            teller = (tick // int(TELL_S / nodes / each_s + 1)) % nodes
            told = fleet[teller].tell(now)
            for other in range(nodes):
                if other != teller:
                    fleet[other].hear(str(teller), told, now)
        if tick % 50 == 0:
            suspects[number] = fleet[number].suspects(SERVERS, now)
            for other in range(nodes):
                suspects[other] = fleet[other].suspects(SERVERS, now)
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
    made = Suspicions()
    failed(made, "s1", 50)
    assert made.suspects(SERVERS, 10.1) == set()


def test_where_all_servers_fail_alike_none_is_suspected():
    """A fault that all share, such as bad requests, would else leave the load to a few
    servers, one after the other."""
    made = Suspicions()
    made.hear("b", dict.fromkeys(SERVERS, LEAST_FAILURES), 10.0)
    made.hear("c", dict.fromkeys(SERVERS, LEAST_FAILURES), 10.0)
    made.hear("d", {"s1": int(RATIO)}, 10.0)
    assert made.suspects(SERVERS, 10.1) == set()


def test_at_most_a_part_of_the_servers_is_suspected():
    made = Suspicions()
    made.hear("b", dict.fromkeys(SERVERS[:8], 1000), 10.0)
    made.hear("c", dict.fromkeys(SERVERS[:8], 1000), 10.0)
    made.hear("d", dict.fromkeys(SERVERS[8:20], 2000), 10.0)
    made.hear("e", dict.fromkeys(SERVERS[8:20], 2000), 10.0)
    assert len(made.suspects(SERVERS, 10.1)) <= MOST_SHARE * len(SERVERS)


def test_a_suspect_is_tried_again_and_longer_avoided_if_it_still_fails():
    made = Suspicions()
    made.hear("b", {"s1": 9}, 10.0)
    failed(made, "s1", 3)
    assert made.suspects(SERVERS, 10.1) == {"s1"}
    tried = 10.1 + HOLD_S + 0.1
    assert made.suspects(SERVERS, tried) == set()
    made.hear("b", {"s1": 9}, tried)
    failed(made, "s1", 3, tried)
    assert made.suspects(SERVERS, tried + 0.1) == {"s1"}
    assert made.suspects(SERVERS, tried + HOLD_S + 1.0) == {"s1"}
    assert made.suspects(SERVERS, tried + 2 * HOLD_S + 1.0) == set()


def test_what_a_node_told_long_ago_counts_no_more():
    made = Suspicions()
    made.hear("b", {"s1": 9}, 10.0)
    failed(made, "s1", 3, 10.0 + WINDOW_S)
    assert made.suspects(SERVERS, 10.1 + WINDOW_S) == set()


def test_a_telling_stays_small():
    made = Suspicions()
    for server in SERVERS:
        made.failed(server, 1.0)
    assert len(made.tell(1.0)) == MOST_TOLD
