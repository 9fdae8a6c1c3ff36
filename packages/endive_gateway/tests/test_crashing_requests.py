import pytest
from endive_core.routing import OrganisationLimits
from gateway_builders import (
    RunningGateway,
    count_received_requests,
    make_route,
    make_table,
)
from server_builders import ScriptedServer, crash_server

TWO_KEYS = make_table(
    make_route(public=False),
    organisations={"o": OrganisationLimits("o"), "p": OrganisationLimits("p")},
    keys={"k1": "o", "k2": "o", "k3": "p"},
)


def crashing_servers(count):
    """Return servers that each crash on their first request."""
    servers = [ScriptedServer(server_id=f"i-{n}") for n in range(count)]
    for server in servers:
        server.script.append(crash_server(server))
    return servers


def test_a_crashing_request_is_recognised_after_its_callers_key_has_changed():
    """Under each of its organisation's keys it crashed two servers more."""
    with RunningGateway(*crashing_servers(5), table=TWO_KEYS) as running:
        first = running.call(method="POST", body=b"poison", key="k1")
        again = running.call(method="POST", body=b"poison", key="k2")
        assert count_received_requests(running) == 2
    assert (first.status, again.status) == (502, 503)


@pytest.mark.parametrize("other", [{"key": "k3"}, {"key": "k1", "target": "/y"}])
def test_another_callers_or_paths_requests_are_not_refused_with_it(other):
    with RunningGateway(*crashing_servers(5), table=TWO_KEYS) as running:
        running.call(method="POST", body=b"poison", key="k1")
        for server in running.servers:
            server.script.clear()
        options = {"method": "POST", "body": b"poison"} | other
        assert running.call(**options).status == 200
