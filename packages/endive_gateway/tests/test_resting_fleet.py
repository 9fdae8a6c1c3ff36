import pytest
from endive_core.exceptions import ErrorKind
from rest_simulation import RestingFleet

REST_S = 3.0
TROUBLE_S = 7.0


def play(monkeypatch, nodes, *, per_node=3.0, part=0.5):
    """Let a part of the servers turn everybody away for a while, and return a fleet.

    Returns
    -------
    RestingFleet, list of str, float, float
        The fleet, the servers, and when they began and ceased to turn requests away.
    """
    servers = [f"i-{number}" for number in range(max(4, nodes * 2 // 5))]
    fleet = RestingFleet(monkeypatch, nodes, servers)
    per_s = per_node * nodes
    fleet.run(2.0, per_s)
    since, shed = fleet.clock.now, servers[: int(len(servers) * part)]
    fleet.shedding = dict.fromkeys(shed, REST_S)
    fleet.run(TROUBLE_S, per_s)
    until = fleet.clock.now
    fleet.shedding = {}
    fleet.run(5.0, per_s)
    return fleet, shed, since, until


@pytest.mark.parametrize(
    ("nodes", "per_node"), [(6, 7.0), (30, 7.0), (200, 3.0), (375, 1.0)]
)
def test_a_fleet_leaves_resting_servers_alone_and_returns_bit_by_bit(
    monkeypatch, nodes, per_node
):
    fleet, shed, since, until = play(monkeypatch, nodes, per_node=per_node)
    assert fleet.breaches() == []
    per_s = per_node * nodes
    assert sum(since <= at < until for at in fleet.served) > 0.9 * TROUBLE_S * per_s
    back = [server for server in shed if fleet.received_since(server, until)]
    assert len(back) > 0.9 * len(shed)
    for server in shed:
        assert fleet.most_within(server, 0.05, until) <= 8


@pytest.mark.parametrize("nodes", [6, 30])
def test_callers_are_refused_at_once_while_all_servers_rest(monkeypatch, nodes):
    fleet, _, since, until = play(monkeypatch, nodes, per_node=7.0, part=1.0)
    assert fleet.breaches() == []
    refused = [found for found in fleet.refused if since + 1.0 <= found[0] < until]
    assert {error.kind for _, error, _ in refused} <= {
        ErrorKind.OVERLOADED,
        ErrorKind.DEADLINE_EXCEEDED,
        ErrorKind.NO_SERVER,  # after two servers have turned it away
    }
    assert all(error.retry_after_s > 0 for _, error, _ in refused)
    held = [held_s for _, _, held_s in refused]
    assert sum(held_s > 0.5 for held_s in held) < 0.02 * len(held)


def test_nodes_that_tell_each_other_are_turned_away_less(monkeypatch):
    """Each node had to be turned away by each server itself."""
    with monkeypatch.context() as patch:
        told = len(play(patch, 30)[0].turned_away)
    with monkeypatch.context() as patch:
        patch.setattr("endive_gateway.server_rests.MIN_REPORTERS", 1_000)
        untold = len(play(patch, 30)[0].turned_away)
    assert told < 0.6 * untold
