"""Calls to a platform that responds slowly, or not at all."""

import gevent
import pytest
from endive_platform import calls as calls_module
from endive_platform.calls import CallFailedError, PlatformCalls
from gevent.server import StreamServer

TIMEOUT_S = 0.1
SLOW_S = 0.25
LOOPS = 8
RETRY_S = 0.02
SILENCE_S = 2.0
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


@pytest.fixture(autouse=True)
def short_timeout(monkeypatch):
    monkeypatch.setattr(calls_module, "READ_TIMEOUT_S", TIMEOUT_S)


@pytest.fixture
def connections():
    """Connections that the platform of the test has accepted."""
    return []


@pytest.fixture
def platform(connections):
    """A platform that responds after `SLOW_S`, and a client."""

    def respond(sock, _address):
        connections.append(sock)
        while sock.recv(65_536):
            gevent.sleep(SLOW_S)
            sock.sendall(RESPONSE)

    server = StreamServer(("127.0.0.1", 0), respond)
    server.start()
    yield PlatformCalls(f"127.0.0.1:{server.server_port}")
    server.stop(0)


@pytest.fixture
def silent_platform(connections):
    """A platform that accepts connections and never responds, and a client."""

    def accept(sock, _address):
        connections.append(sock)
        while sock.recv(65_536):
            pass
        connections.remove(sock)

    server = StreamServer(("127.0.0.1", 0), accept)
    server.start()
    yield PlatformCalls(f"127.0.0.1:{server.server_port}")
    server.stop(0)


def test_a_platform_that_responds_slowly_is_waited_for(platform):
    """A call that is given up and sent again lengthens the platform's queue, so that no
    call would ever be answered in time."""
    with pytest.raises(CallFailedError):
        platform.call("GET", "/x")
    gevent.sleep(SLOW_S)
    assert platform.call("GET", "/x").status == 200


def call_repeatedly(client, failures):
    while True:
        try:
            client.call("GET", "/x")
        except CallFailedError as error:
            failures.append(error)
            gevent.sleep(RETRY_S)


def test_a_silent_platform_gets_few_calls(silent_platform):
    """All loops of a node call the platform again and again. A hundred nodes would send
    it more calls than it can handle at its return."""
    failures = []
    loops = [
        gevent.spawn(call_repeatedly, silent_platform, failures) for _ in range(LOOPS)
    ]
    gevent.sleep(SILENCE_S)
    gevent.killall(loops)
    received = sum(error.sent for error in failures)
    assert LOOPS <= received <= LOOPS + SILENCE_S / 0.4


def test_calls_that_were_given_up_keep_no_connections(silent_platform, connections):
    """Otherwise connections pile up until the platform's descriptors run out."""
    loops = [gevent.spawn(call_repeatedly, silent_platform, []) for _ in range(LOOPS)]
    gevent.sleep(3 * TIMEOUT_S)
    gevent.sleep(RETRY_S)  # after a standstill the time-outs end with the sleep before
    assert 1 <= len(connections) <= 2
    gevent.killall(loops)
    gevent.sleep(0.05)
    assert len(connections) <= 1


def test_a_call_given_up_before_it_was_sent_keeps_no_connection(
    silent_platform, connections
):
    """A node that gets no processor time for a while gives a call up before the
    greenlet that was to send it has begun, so that this can't close its connection."""
    silent_platform._timeout_s = lambda: 0.0
    errors = []
    for _ in range(4):
        with pytest.raises(CallFailedError) as failure:
            silent_platform.call("GET", "/x", wait_s=1e-9)
        errors.append(failure)  # with the frames, which refer to the connection
    gevent.sleep(0.05)
    assert not connections
