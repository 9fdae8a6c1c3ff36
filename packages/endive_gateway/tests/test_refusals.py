import pytest
from refusal_simulation import RefusingFleet

MEASURED_S = 5.0


def fleet_of(monkeypatch, servers, *, tells_load, nodes=1):
    names = [f"i-{number}" for number in range(servers)]
    return RefusingFleet(monkeypatch, nodes, names, tells_load=tells_load)


def served_share(fleet, per_s):
    """Return the served part of the requests of the next seconds."""
    since, before = fleet.clock.now, len(fleet.refused)
    fleet.run(MEASURED_S, per_s)
    served = sum(at >= since for at in fleet.served)
    return served / (served + len(fleet.refused) - before)


def cost(monkeypatch, servers, per_s, *, refusals, tells_load):
    """Return the part of the next seconds' requests that some refusals cost."""
    shares = []
    for count in (0, refusals):
        with monkeypatch.context() as patch:
            fleet = fleet_of(patch, servers, tells_load=tells_load)
            fleet.run(1.0, per_s)
            fleet.to_refuse["i-0"] = count
            if count > 1:
                while fleet.to_refuse["i-0"]:
                    fleet.run(0.1, per_s)
                fleet.run(1.0, per_s)
            shares.append(served_share(fleet, per_s))
    return shares[0] - shares[1]


@pytest.mark.parametrize("tells_load", [False, True])
@pytest.mark.parametrize("servers", [1, 2, 8])
@pytest.mark.parametrize("per_s", [20, 100, 300])
def test_one_refusal_costs_hardly_a_request(monkeypatch, per_s, servers, tells_load):
    """The server counted as full for half a second, or for good if it tells no load."""
    options = {"refusals": 1, "tells_load": tells_load}
    assert cost(monkeypatch, servers, per_s, **options) < 0.01


@pytest.mark.parametrize("tells_load", [False, True])
def test_a_refusal_as_the_first_answer_costs_hardly_a_request(monkeypatch, tells_load):
    fleet = fleet_of(monkeypatch, 1, tells_load=tells_load)
    fleet.to_refuse["i-0"] = 1
    assert served_share(fleet, 100) > 0.99


@pytest.mark.parametrize("tells_load", [False, True])
@pytest.mark.parametrize("servers", [1, 2, 8])
@pytest.mark.parametrize("per_s", [20, 100, 300])
def test_ten_refusals_in_a_row_cost_little_once_the_server_answers_again(
    monkeypatch, per_s, servers, tells_load
):
    options = {"refusals": 10, "tells_load": tells_load}
    assert cost(monkeypatch, servers, per_s, **options) < 0.05


@pytest.mark.parametrize("tells_load", [False, True])
@pytest.mark.parametrize("servers", [1, 4])
def test_a_full_server_gets_one_request_a_second_as_a_probe(
    monkeypatch, servers, tells_load
):
    fleet = fleet_of(monkeypatch, servers, tells_load=tells_load)
    fleet.run(1.0, 100)
    fleet.full.add("i-0")
    fleet.run(3.0, 100)
    since = fleet.clock.now
    fleet.run(10.0, 100)
    assert 1 <= sum(at >= since for at, _, _ in fleet.refusals) <= 11


@pytest.mark.parametrize(("nodes", "per_node"), [(200, 2.0), (375, 1.0)])
def test_a_fleet_probes_a_full_server_less_than_each_node_alone(
    monkeypatch, nodes, per_node
):
    servers = nodes // 10
    fleet = fleet_of(monkeypatch, servers, tells_load=False, nodes=nodes)
    fleet.run(1.0, per_node * nodes)
    fleet.full.update(("i-0", "i-1", "i-2"))
    fleet.run(2.0, per_node * nodes)
    since = fleet.clock.now
    fleet.run(12.0, per_node * nodes)
    refused = sum(at >= since for at, _, _ in fleet.refusals)
    usual = len(fleet.full) * 12.0 * per_node * nodes / servers
    assert 2 <= refused < 0.75 * usual
