import re
from pathlib import Path

import gevent
import pytest
from endive_core.reachability import ConnectResults
from endive_core.routing import OrganisationLimits, RouteKind
from endive_core.stream_origins import StreamOrigin, stream_key
from endive_node import logs
from gateway_builders import (
    SERVICE,
    RunningGateway,
    make_context,
    make_route,
    make_table,
)
from server_builders import ScriptedServer, answer

OPERATIONS_PAGE = Path(__file__).resolve().parents[1] / "docs" / "OPERATIONS.md"
LINE_PATTERN = re.compile(r"^event=(\S+) .*$", re.MULTILINE)
REFUSED = ConnectResults(directly=False, elsewhere=None)
KEY_PATTERN = re.compile(r"(\w+)=(?:\"[^\"]*\"|\S+)")


@pytest.fixture
def log_lines(monkeypatch):
    """All log lines written during a test."""
    found = []
    monkeypatch.setattr(
        logs.logger, "info", lambda text, *arguments: found.append(text % arguments)
    )
    return found


def documented_lines():
    """Return the log lines on the operations page, by event and keys."""
    text = OPERATIONS_PAGE.read_text().partition("# On the users' platform")[2]
    blocks = re.findall(r"```text\n(.*?)```", text, re.DOTALL)
    return {
        (match[1], tuple(KEY_PATTERN.findall(match[0])))
        for block in blocks
        for match in LINE_PATTERN.finditer(block)
    }


def written_lines(log_lines):
    """Return the written log lines, by event and keys."""
    return {
        (match[1], tuple(KEY_PATTERN.findall(line)))
        for line in log_lines
        if (match := LINE_PATTERN.match(line))
    }


def refuse_for_want_of_room():
    """Let a gateway refuse a head, and close an idle connection for a new one."""
    with RunningGateway(ScriptedServer()) as running:
        running.context.request_memory.total = 0
        caller = running.caller()
        caller.raw(b"GET /x HTTP/1.1\r\n")
        assert caller.receive().status == 503
        running.listener.most_connections = 1
        callers = [running.caller() for _ in range(3)]
        gevent.sleep(0.05)
        for caller in callers:
            caller.close()


def test_the_documented_log_lines_are_those_written(log_lines):
    limits = OrganisationLimits("o", rate=0.01, burst=0.001)
    limited = make_table(
        make_route(public=False), organisations={"o": limits}, keys={"k": "o"}
    )
    with RunningGateway(ScriptedServer(), table=limited) as running:
        for _ in range(3):
            running.call(Key="k")
    with RunningGateway(table=make_table()) as running:
        running.call()
    refuse_for_want_of_room()
    server = ScriptedServer()

    def crash(sock, _seen):
        sock.close()
        server.stop()
        return False

    server.script.append(crash)
    unsafe = make_table(make_route(kind=RouteKind.NON_IDEMPOTENT, max_attempts=1))
    with RunningGateway(server, table=unsafe) as running:
        running.context.placer.try_both = lambda *server: REFUSED
        running.call(method="POST", body=b"x")
    crashing = [ScriptedServer(crash, server_id=f"i-{n}") for n in range(2)]
    with RunningGateway(*crashing, table=unsafe) as running:
        running.context.placer.try_both = lambda *server: REFUSED
        for number in range(3):
            running.call(method="POST", body=b"%d" % number, parts=f"11,{90 + number}")
    resting = answer(503, b"", extra="Refused: 1\r\nRest: 1.2\r\n")
    with RunningGateway(ScriptedServer(resting)) as running:
        running.call(wait_ms=200)
    stream = make_table(make_route(kind=RouteKind.STREAM, resumable=True))
    with RunningGateway(ScriptedServer(), table=stream) as running:
        running.context.origin_exchange.tell(
            stream_key("", "q4"), StreamOrigin(SERVICE, "v0"), 5.0
        )
        running.call(After="3", Resumes="q4")
    gevent.sleep(0)
    assert documented_lines() - written_lines(log_lines) == set()
    assert len(documented_lines()) == 11


def test_a_closed_port_is_detected():
    server, checks = ScriptedServer(), make_context().checks
    assert checks.try_both("i-1", server.address).directly
    server.stop()
    assert checks.try_both("i-1", server.address) == REFUSED


@pytest.mark.parametrize(
    ("results", "event"),
    [
        (ConnectResults(directly=True, elsewhere=None), "server_still_listens"),
        (ConnectResults(directly=None, elsewhere=None), "server_state_unknown"),
    ],
)
def test_a_server_whose_state_is_unknown_is_not_logged_as_listening(
    log_lines, results, event
):
    server = ScriptedServer()
    server.script.append(lambda sock, _seen: sock.close() or False)
    with RunningGateway(
        server, table=make_table(make_route(max_attempts=1))
    ) as running:
        running.context.placer.try_both = lambda *server: results
        running.call()
    assert [line for line in log_lines if line.startswith(f"event={event} ")]
