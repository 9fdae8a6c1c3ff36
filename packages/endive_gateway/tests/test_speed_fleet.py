import itertools

import pytest
from gateway_builders import SERVICE
from speed_simulation import WARM_UP_S, SpeedFleet, play

SECONDS = 18.0


def late_share(fleet):
    return 1 - fleet.figures()[0]


def served_in_time(monkeypatch, nodes, way="stated", *, load=0.3, stated=None, cut=()):
    """Return the share served in time, with false statements or nodes cut off."""
    with monkeypatch.context() as patch:
        fleet = SpeedFleet(patch, nodes, way, seconds=SECONDS)
        if stated is not None:
            fleet.servers["i-1"].stated = stated
        fleet.reaches = lambda sender, receiver: not cut
        fleet.run(SECONDS, load)
        return fleet.figures()[0]


def test_fewer_requests_are_late_where_servers_state_their_speed(monkeypatch):
    """Guards against nodes that send work to a server in a slow phase."""
    counts, stated = (
        play(monkeypatch, 30, way, 0.3, seconds=SECONDS) for way in ("counts", "stated")
    )
    assert late_share(stated) < 0.6 * late_share(counts)
    assert stated.refused == 0


def test_a_server_in_a_slow_phase_gets_less_than_its_even_share(monkeypatch):
    """Guards against statements that arrive when a phase is over."""
    fleet = SpeedFleet(monkeypatch, 30, seconds=SECONDS)
    arrivals = []
    for server in fleet.servers.values():
        arrive = server.arrive

        def record(request, server=server, arrive=arrive):
            now = fleet.clock.now
            slow = [s.phases.slowdown(now) > 1.0 for s in fleet.servers.values()]
            if now > 1_000.0 + WARM_UP_S and sum(slow) == 1:
                arrivals.append(server.phases.slowdown(now) > 1.0)
            arrive(request)

        server.arrive = record
    fleet.run(SECONDS, 0.3)
    assert sum(arrivals) < 0.6 * len(arrivals) / 3


@pytest.mark.parametrize(
    "stated",
    [lambda _: None, lambda _: 1.0, lambda _: 2.5, lambda _: 0.09, lambda _: 100.0],
    ids=["none", "usual", "slow", "9", "10000"],
)
def test_a_server_that_states_nothing_or_one_value_costs_little(monkeypatch, stated):
    """Guards against a server that is lost, or flooded, for what it states."""
    counts = served_in_time(monkeypatch, 6, "counts", load=0.6)
    assert served_in_time(monkeypatch, 6, load=0.6, stated=stated) > counts - 0.02


def test_statements_that_stop_are_forgotten(monkeypatch):
    fleet = SpeedFleet(monkeypatch, 6, seconds=SECONDS)
    fleet.run(8.0, 0.3)
    for server in fleet.servers.values():
        server.stated = lambda _: None
    fleet.run(4.0, 0.3)
    speeds = fleet.nodes[0].context.placer.schedulers[SERVICE].servers.speeds
    expected = [speeds.expected(server, fleet.clock.now) for server in fleet.servers]
    assert max(expected) - min(expected) < 0.05
    fleet.run(32.0, 0.1)
    assert not speeds.statements
    assert speeds.capacity == 1.0


def test_nodes_that_hear_nothing_from_others_serve_as_by_counts(monkeypatch):
    """Guards against decisions on old statements where messages are lost."""
    counts = served_in_time(monkeypatch, 30, "counts", load=0.6, cut=True)
    assert served_in_time(monkeypatch, 30, load=0.6, cut=True) > counts - 0.02


def test_all_nodes_learn_how_long_a_phase_lasts(monkeypatch):
    """Guards against a node that takes a second-old statement for news."""
    fleet = play(monkeypatch, 30, "stated", 0.3, seconds=SECONDS)
    for node in itertools.islice(fleet.nodes, 5):
        speeds = node.context.placer.schedulers[SERVICE].servers.speeds
        assert 0.2 <= speeds.hold.seconds <= 1.0
        assert 1.05 <= speeds.mean <= 1.45
