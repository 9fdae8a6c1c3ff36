import gevent
import pytest
from endive_core.reachability import ConnectResults
from endive_gateway.path_monitor import HOPELESS_S, MIN_CHECK_GAP_S, PathMonitor
from gateway_builders import make_context, make_entry, make_table

REACHED = ConnectResults(directly=True, elsewhere=None)
SILENT = ConnectResults(directly=None, elsewhere=None)


class FakeConnection:
    """A connection whose unacknowledged bytes a test sets."""

    def __init__(self, server_id="i-1", *, repeatable=True, unacknowledged=0):
        self.server_id = server_id
        self.repeatable = repeatable
        self.stream = self
        self.unacknowledged = unacknowledged
        self.closed = False

    def unacknowledged_bytes(self):
        return self.unacknowledged

    def close(self):
        self.closed = True


class FakeChecks:
    """Checks whose results a test sets, by server."""

    def __init__(self):
        self.results = {}
        self.tried = []

    def try_both(self, server_id, _address):
        self.tried.append(server_id)
        return self.results.get(server_id, REACHED)


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        now = 1_000.0

    monkeypatch.setattr("time.monotonic", lambda: Clock.now)
    return Clock


@pytest.fixture
def monitor(clock):
    context = make_context(make_table())
    for number in range(1, 7):
        context.registry.put(make_entry(f"i-{number}"))
    context.registry.notify_listeners()
    monitor = PathMonitor(context.paths, FakeChecks())
    monitor.silenced, monitor.dropped = [], []
    monitor.on_silent = monitor.silenced.append
    monitor.on_dead_connections = monitor.dropped.append
    return monitor


def advance(monitor, clock, seconds):
    """Let the monitor look every tenth of a second."""
    for _ in range(round(seconds * 10)):
        clock.now += 0.1
        monitor.look()
        while monitor.checking:
            gevent.sleep(0)


def test_a_response_that_comes_soon_leads_to_no_check(monitor, clock):
    connection = FakeConnection()
    for _ in range(20):
        monitor.sent(connection)
        advance(monitor, clock, 0.2)
        monitor.heard(connection)
        monitor.ended(connection)
    assert not monitor.checks.tried


def test_a_silent_service_is_checked_once_a_second(monitor, clock):
    """A prompt may take a server for seconds."""
    monitor.sent(FakeConnection())
    advance(monitor, clock, 5.0)
    assert monitor.checks.tried.count("i-1") <= 5


def test_a_silent_server_gets_no_work_and_its_repeatable_requests_move(monitor, clock):
    """They waited until the kernel gave the connection up."""
    may, must_not = FakeConnection(), FakeConnection(repeatable=False)
    for connection in (may, must_not):
        connection.unacknowledged = 100
        monitor.sent(connection)
    monitor.checks.results["i-1"] = SILENT
    advance(monitor, clock, 0.5)
    assert monitor.silenced == ["i-1"]
    assert not may.closed
    advance(monitor, clock, HOPELESS_S + MIN_CHECK_GAP_S)
    assert may.closed
    assert not must_not.closed


def test_a_server_that_goes_on_is_not_silent_any_more(monitor, clock):
    connection = FakeConnection(unacknowledged=100)
    monitor.sent(connection)
    monitor.checks.results["i-1"] = SILENT
    advance(monitor, clock, 0.8)
    connection.unacknowledged = 0
    monitor.heard(connection)
    assert not monitor.silent
    monitor.checks.results.clear()
    advance(monitor, clock, 2.0)
    assert not connection.closed


def test_a_dead_connection_to_a_server_that_is_reached_is_given_up(monitor, clock):
    """Open connections may go silent for good while new ones work."""
    connection = FakeConnection(unacknowledged=100)
    monitor.sent(connection)
    advance(monitor, clock, HOPELESS_S + 2 * MIN_CHECK_GAP_S)
    assert connection.closed
    assert "i-1" in monitor.dropped


def test_a_long_body_on_a_thin_link_is_not_taken_for_a_dead_connection(monitor, clock):
    """Its bytes are acknowledged one after the other."""
    connection = FakeConnection(unacknowledged=100_000)
    monitor.sent(connection)
    for _ in range(40):
        advance(monitor, clock, 0.1)
        connection.unacknowledged -= 1_000
    assert not connection.closed
    assert not monitor.dropped


def test_a_check_tries_few_servers(monitor, clock):
    """A node may have requests at dozens of servers."""
    for number in range(1, 7):
        monitor.sent(FakeConnection(f"i-{number}", unacknowledged=10))
    advance(monitor, clock, 0.4)
    assert len(monitor.checks.tried) == 4
