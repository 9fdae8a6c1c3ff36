import re
from pathlib import Path

import gevent
import pytest
from endive_core.routing import OrganisationLimits, RouteKind
from endive_gateway.connections import is_listening
from endive_node import logs
from gateway_builders import RunningGateway, make_route, make_table
from server_builders import ScriptedServer

PAGE = Path(__file__).resolve().parents[1] / "docs" / "OPERATIONS.md"
LINE = re.compile(r"^event=(\S+) .*$", re.MULTILINE)
KEY = re.compile(r"(\w+)=(?:\"[^\"]*\"|\S+)")


@pytest.fixture
def lines(monkeypatch):
    """All log lines that are written during a test."""
    found = []
    monkeypatch.setattr(
        logs.logger, "info", lambda text, *arguments: found.append(text % arguments)
    )
    return found


def shown():
    """Return the page's log lines, by event and keys."""
    text = PAGE.read_text().partition("# On the users' platform")[2]
    blocks = re.findall(r"```text\n(.*?)```", text, re.DOTALL)
    return {
        (match[1], tuple(KEY.findall(match[0])))
        for block in blocks
        for match in LINE.finditer(block)
    }


def written(lines):
    return {
        (match[1], tuple(KEY.findall(line)))
        for line in lines
        if (match := LINE.match(line))
    }


def test_the_lines_on_the_operators_page_are_those_that_are_written(lines):
    terms = OrganisationLimits("o", rate=0.01, burst=0.001)
    limited = make_table(
        make_route(public=False), organisations={"o": terms}, keys={"k": "o"}
    )
    with RunningGateway(ScriptedServer(), table=limited) as running:
        for _ in range(3):
            running.call(Key="k")
    with RunningGateway(table=make_table()) as running:
        running.call()
    server = ScriptedServer()

    def fall_over(sock, _seen):
        sock.close()
        server.stop()
        return False

    server.script.append(fall_over)
    unsafe = make_table(make_route(kind=RouteKind.NON_IDEMPOTENT, max_attempts=1))
    with RunningGateway(server, table=unsafe) as running:
        running.context.placer.is_listening = lambda address: False
        running.call(method="POST", body=b"x")
    gevent.sleep(0)
    assert shown() - written(lines) == set()
    assert len(shown()) == 4


def test_nobody_listens_is_told_from_silence():
    server = ScriptedServer()
    assert is_listening(server.address)
    server.stop()
    assert not is_listening(server.address)
