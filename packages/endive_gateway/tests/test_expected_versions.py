"""Callers that expect a version which servers may not hold."""

import time

import pytest
from endive_core.routing import RouteKind
from gateway_builders import RunningGateway, make_route, make_table
from server_builders import ScriptedServer, misdirected, ok

ROUTES = {
    "idempotent": {"kind": RouteKind.IDEMPOTENT},
    "unsafe": {"kind": RouteKind.NON_IDEMPOTENT},
}
SERVERS = 3
REQUESTS = 20


def gateway_of_versions(*held, **route):
    """Return a gateway with a server for each version in `held`."""

    def holding(version):
        def send(sock, received):
            expected = received.headers.get("weights", version)
            return (ok if expected == version else misdirected)(sock, received)

        return send

    servers = []
    for number, version in enumerate(held):
        servers.append(ScriptedServer(server_id=f"i-{number}"))
        servers[-1].answer_rest = holding(version)
    table = make_table(make_route(**({"max_attempts": 2} | route)))
    return RunningGateway(*servers, table=table)


@pytest.mark.parametrize("route", ROUTES.values(), ids=ROUTES)
def test_a_version_that_no_server_holds_costs_other_callers_nothing(route):
    """One caller's header took all servers of the service out of use."""
    refused, served, took = [], [], []
    with gateway_of_versions(*["3"] * SERVERS, **route) as running:
        for _ in range(REQUESTS):
            began_at = time.monotonic()
            refused.append(running.call(method="POST", body=b"{}", weights="9"))
            took.append(time.monotonic() - began_at)
            served.append(running.call(method="POST", body=b"{}").status)
        usable = [running.context.registry.get(s.id).usable for s in running.servers]
        received = [len(server.received) for server in running.servers]
    assert served == [200] * REQUESTS
    assert {got.status for got in refused} == {503}
    assert all("retry-after" in got.headers for got in refused)
    assert max(took) < 0.5
    assert usable == [True] * SERVERS
    assert sum(received) <= REQUESTS * 3


def test_a_request_goes_on_to_the_server_that_holds_its_version():
    """A server of another version is neither asked again nor blamed."""
    with gateway_of_versions("3", "4") as running:
        statuses = [running.call(weights="4").status for _ in range(REQUESTS)]
        retries = running.context.metrics.retries
        assert set(retries) <= {"version_mismatch"}
    assert statuses == [200] * REQUESTS


def test_retries_of_other_requests_are_not_spent_on_versions():
    """A service's budget of retries is for the failures of its servers."""
    with gateway_of_versions(*["3"] * SERVERS) as running:
        budget = running.context.retry_budget("s")
        spent = []
        budget.spend = lambda *args, **options: spent.append(args) or True
        for _ in range(REQUESTS):
            running.call(weights="9")
    assert spent == []


def test_another_server_that_names_itself_is_told_from_another_version():
    """The header of a caller must not hide that an address has a new owner."""
    with gateway_of_versions("3", "3") as running:
        other = misdirected_by("i-9")
        running.servers[0].answer_rest = other
        for _ in range(4):
            assert running.call(weights="3").status == 200
        assert not running.context.registry.get("i-0").usable
        assert running.context.registry.get("i-1").usable


def misdirected_by(server_id):
    """Return a script entry with which another server refuses and names itself."""

    def send(sock, received):
        head = f"Id: {received.headers['id']}\r\nServer: {server_id}\r\nRefused: 1\r\n"
        line = "HTTP/1.1 421 Misdirected Request\r\n"
        sock.sendall(f"{line}{head}Content-Length: 0\r\n\r\n".encode())

    return send
