import http.client
import statistics
import subprocess
import sys
import time

import gevent
import pytest
from endive_standins.instances import Instances
from endive_standins.log import Log
from endive_standins.plain import Plain
from endive_standins.weights import Weights

CALLS = 20
APPEND = {"records": ["r"]}


def timed(action):
    start = time.perf_counter()
    action()
    return time.perf_counter() - start


def test_keep_alive_connection_is_as_fast_as_a_new_one(serve, over_socket):
    """With Nagle's algorithm the second write of a response waits for an ACK.

    On a keep-alive connection the client delays the ACK, so that each request takes
    40 ms more.
    """
    port = serve(Weights.from_config()).port
    kept = http.client.HTTPConnection("127.0.0.1", port)
    path = "/weights/w"
    fresh_s = [timed(lambda: over_socket(port, "GET", path)) for _ in range(CALLS)]
    kept_s = [
        timed(lambda: over_socket(port, "GET", path, connection=kept))
        for _ in range(CALLS)
    ]
    assert statistics.median(kept_s) < 5 * statistics.median(fresh_s)


def test_request_with_a_lost_response_is_applied_and_its_connection_closed(
    serve, over_socket, call
):
    """The service applies an append, but the response never reaches the writer."""
    log = Log.from_config()
    port = serve(log).port
    call(log, "POST", "/faults", {"lose_answers": 1})
    with pytest.raises(http.client.RemoteDisconnected):
        over_socket(port, "POST", "/streams/s/records", APPEND)
    assert over_socket(port, "POST", "/streams/s/records", APPEND)[0] == 200
    assert log.streams["s"].next == 2


def test_refused_append_does_not_count_as_a_lost_response(call):
    log = Log.from_config()
    call(log, "POST", "/faults", {"lose_answers": 1, "reject_next": 1})
    assert call(log, "POST", "/streams/s/records", APPEND)[0] == 503
    with pytest.raises(BrokenPipeError):
        call(log, "POST", "/streams/s/records", APPEND)


def test_crash_stops_the_embedded_server_without_responses(serve, over_socket, call):
    """The process crashes during requests; their connections close."""
    plain = Plain.from_config(service_s=5.0)
    server = serve(plain)
    pending = gevent.spawn(over_socket, server.port, "POST", "/work")
    while not plain.running:
        gevent.sleep(0.01)
    with pytest.raises(http.client.RemoteDisconnected):
        over_socket(server.port, "POST", "/faults", {"crash": True})
    with pytest.raises(http.client.RemoteDisconnected):
        pending.get()
    with pytest.raises(ConnectionRefusedError):
        over_socket(server.port, "GET", "/load")


def test_program_prints_when_it_is_ready_and_exits_on_a_crash():
    command = [sys.executable, "-m", "endive_standins.plain", "--id", "p7"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as program:
        try:
            port = int(program.stdout.readline().removeprefix("ready port="))
            connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
            connection.request("POST", "/faults", '{"crash": true}')
            with pytest.raises(http.client.RemoteDisconnected):
                connection.getresponse()
            assert program.wait(10) == 1
        finally:
            program.kill()


def test_concurrent_waiting_requests_get_their_own_responses(serve, over_socket):
    """Without monkey patching, all greenlets share bottle's thread locals.

    A waiting request would then respond with the status of a later one.
    """
    port = serve(Log.from_config()).port
    wait = "/streams/s/records?from=0&wait_s=0.3"
    waiting = [gevent.spawn(over_socket, port, "GET", wait) for _ in range(3)]
    gevent.sleep(0.1)
    assert over_socket(port, "POST", "/streams/s/records", {})[0] == 400
    gevent.joinall(waiting)
    assert [greenlet.value[0] for greenlet in waiting] == [200] * 3


def test_outage_fails_every_call_until_it_is_over(call):
    log = Log.from_config()
    call(log, "POST", "/faults", {"outage_s": 0.1})
    assert call(log, "GET", "/streams")[0] == 503
    time.sleep(0.11)
    assert call(log, "GET", "/streams")[0] == 200


@pytest.mark.parametrize("fault", ["freeze_s", "delay_s"])
def test_freeze_and_delay_delay_requests(call, fault):
    instances = Instances.from_config()

    def inject_and_call():
        # A freeze starts when it is injected, so part of it has passed at the request.
        call(instances, "POST", "/faults", {fault: 0.1})
        call(instances, "GET", "/instances")

    assert timed(inject_and_call) >= 0.1


def test_unknown_fault_is_rejected(call):
    status, body = call(Plain.from_config(), "POST", "/faults", {"crsh": True})
    assert (status, body["error"]["code"]) == (400, "invalid")


def test_fault_injection_keeps_other_faults(call):
    plain = Plain.from_config()
    call(plain, "POST", "/faults", {"reject_next": 2})
    call(plain, "POST", "/faults", {"delay_s": 0.0})
    assert plain.faults.reject_next == 2
