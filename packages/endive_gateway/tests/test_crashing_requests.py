import functools

import gevent
import pytest
from endive_core.routing import OrganisationLimits
from gateway_builders import (
    RunningGateway,
    count_received_requests,
    make_route,
    make_table,
)
from server_builders import ScriptedServer, crash_server, ok

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


BAD, SHARED, OTHER = "11", "12", "13"


class PartServers:
    """Servers that end when they begin an answer on a part of a prompt."""

    def __init__(self, running, bad):
        self.running = running
        self.bad = bad
        self.ended = 0
        for server in running.servers:
            server.answer_rest = functools.partial(self.answer, server)

    def answer(self, server, sock, received):
        parts = received.headers.get("parts", "").split(",")[:-1]
        if self.bad not in parts:
            return ok(sock, received)
        gevent.sleep(0.02)
        self.ended += 1
        return crash_server(server)(sock, received)


def call_parts(running, number, *parts):
    """Send a request with these parts and one of its own; return its status."""
    return running.call(
        method="POST",
        target=f"/{number}",
        body=b"prompt %d" % number,
        parts=",".join([*parts, str(1_000 + number)]),
    ).status


def test_requests_that_share_a_crashing_part_are_refused_and_sound_ones_go_on():
    """Each request has another path and body, and cost servers of its own."""
    servers = [ScriptedServer(server_id=f"i-{n}") for n in range(12)]
    with RunningGateway(*servers) as running:
        crashing = PartServers(running, BAD)
        statuses = []
        for number in range(0, 20, 2):
            assert call_parts(running, number, SHARED, OTHER) == 200
            statuses.append(call_parts(running, number + 1, SHARED, BAD))
        assert crashing.ended <= 3
        assert set(statuses[2:]) == {503}
        assert call_parts(running, 99, OTHER) == 200


@pytest.mark.parametrize("attempt", range(6))
def test_a_crash_counts_though_most_other_servers_have_ended_too(attempt):
    """Those that were tried for comparison did not listen either, so that crashes went
    uncounted just when many servers ended."""
    servers = [ScriptedServer(server_id=f"i-{n}") for n in range(9)]
    once = make_table(make_route(max_attempts=1))
    with RunningGateway(*servers, table=once) as running:
        crashing, sound, *ended = servers
        for server in (sound, *ended):
            running.context.placer.pause_silent(server.id)
        for server in ended:
            server.stop()
        running.context.paths.random.seed(attempt)
        crashing.script.append(crash_server(crashing))
        running.call(method="POST", body=b"poison")
        assert sum(map(len, running.context.placer.crashes.crashes.values())) == 1
