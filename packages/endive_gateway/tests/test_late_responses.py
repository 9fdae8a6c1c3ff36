"""Servers that send a response twice, the second time where the next one is due."""

import pytest
from endive_core.routing import RouteKind
from endive_gateway.carried_ids import CarriedIds
from endive_gateway.connections import MAX_REQUESTS
from gateway_builders import RunningGateway, make_route, make_table
from path_builders import CutOffGateway
from server_builders import LateCopies, ScriptedServer

PATHS = {"direct": RunningGateway, "transit": CutOffGateway}


def gateway_before(copies, path, **route):
    """Return a gateway before a single server that answers as `copies` does."""
    server = ScriptedServer()
    server.answer_rest = copies.answer
    return PATHS[path](server, table=make_table(make_route(**route)))


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("refusals", [1, 3])
def test_a_late_refusal_is_not_the_answer_to_a_retry(refusals, path):
    """A request that ran was answered as refused, or sent again and run twice."""
    copies = LateCopies(refusals)
    route = {"kind": RouteKind.NON_IDEMPOTENT, "max_attempts": refusals + 1}
    with gateway_before(copies, path, **route) as running:
        got = running.call(request_id="q")
    assert (got.status, copies.ran["q"]) == (200, 1)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("between", [0, 20])
def test_a_late_refusal_is_not_the_answer_to_a_repeated_request(between, path):
    """The caller repeated its refused request, which ran and was refused again."""
    copies = LateCopies(1)
    route = {"kind": RouteKind.NON_IDEMPOTENT, "max_attempts": 1}
    with gateway_before(copies, path, **route) as running:
        caller = running.caller()
        statuses = []
        copies.refused.update(str(number) for number in range(between))
        for request_id in ("q", *map(str, range(between)), "q"):
            caller.send(request_id=request_id)
            statuses.append(caller.receive().status)
    assert statuses == [503] + [200] * (between + 1)
    assert copies.ran["q"] == 1


def test_connections_are_kept_for_other_requests():
    server = ScriptedServer()
    with RunningGateway(server) as running:
        caller = running.caller()
        for number in range(20):
            caller.send(request_id=f"q{number % 10}")
            assert caller.receive().status == 200
    assert server.connections == 2


def test_a_connection_carries_a_bounded_number_of_requests(monkeypatch):
    """What a connection remembers of its requests grew as long as it was open."""
    monkeypatch.setattr("endive_gateway.connections.MAX_REQUESTS", 5)
    server = ScriptedServer()
    with RunningGateway(server) as running:
        caller = running.caller()
        for _ in range(10):
            caller.send()
            assert caller.receive().status == 200
    assert server.connections == 2


def test_carried_ids_are_small():
    carried = CarriedIds()
    for number in range(MAX_REQUESTS):
        carried.add(f"request-{number}")
    assert all(f"request-{number}" in carried for number in range(MAX_REQUESTS))
    assert len(carried.digests) <= 8 * MAX_REQUESTS
