import time
from collections import Counter

import gevent
from endive_node.call_memory import COPIES, CallMemory
from endive_node.connection_limit import ConnectionLimit
from endive_node.listeners import HttpListener
from endive_node.refusals import RefusalLog
from gevent import socket

MEMORY_BYTES = 10**6
MAX_HEADER_BYTES = 10_000
CALLS = 20
EVENTS = 30
EVENT = b"data: token\n\n"
RESPONSE_END = b"0\r\n\r\n"
MAX_SLOWDOWN = 25
"""Small events take a few times as long as one large one; a stall of 40 ms for each
call takes over a hundred times as long."""


def listener_of(application, most=1_000):
    """Return a listener that takes so many connections."""
    refusals = RefusalLog(Counter())
    limit = ConnectionLimit(1.0, "test", refusals, descriptors=lambda: most)
    memory = CallMemory(MEMORY_BYTES)
    return HttpListener(application, "127.0.0.1", 0, limit, memory, MAX_HEADER_BYTES)


def application(environ, start_response):
    start_response("200 OK", [("Content-Type", "text/event-stream")])
    if environ["PATH_INFO"] == "/large":
        yield EVENT * EVENTS
        return
    for _ in range(EVENTS):
        yield EVENT
        gevent.sleep(0)


def time_calls(port, path):
    """Return the seconds of each of CALLS calls on one connection kept alive."""
    connection = socket.create_connection(("127.0.0.1", port))
    took = []
    for _ in range(CALLS):
        started = time.perf_counter()
        connection.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        data = b""
        while not data.endswith(RESPONSE_END):
            data += connection.recv(65536)
        took.append(time.perf_counter() - started)
    connection.close()
    return took


def fastest_seconds(listener, path, runs):
    """Return the seconds of CALLS calls, taking for each the shortest of `runs` runs.

    A stall occurs in every run. Other processes on the machine delay single calls, and
    while there are many of them almost every run contains a delayed call.
    """
    listener.start()
    try:
        time_calls(listener.port, path)
        timed = [time_calls(listener.port, path) for _ in range(runs)]
    finally:
        listener.stop(0)
    return sum(map(min, zip(*timed, strict=True)))


def slowdown(listener):
    """Return how many times as long many small events take as one large one."""
    large = fastest_seconds(listener_of(application), "/large", runs=30)
    return fastest_seconds(listener, "/small", runs=9) / large


def test_small_events_are_not_delayed():
    """Nagle's algorithm waits for the receiver's delayed ACK before it sends the next
    small write, so that a caller gets a stream's tokens in bursts 40 ms apart."""
    assert slowdown(listener_of(application)) < MAX_SLOWDOWN


def test_the_check_fails_without_tcp_nodelay():
    """The same measurement without the option shows the stall, so the check above can
    fail."""
    listener = listener_of(application)
    listener.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
    assert slowdown(listener) > MAX_SLOWDOWN


def test_accepted_connections_inherit_the_option():
    listener = listener_of(application)
    client = socket.create_connection(("127.0.0.1", listener.port))
    accepted, _ = listener.socket.accept()
    assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    for each in (client, accepted, listener.socket):
        each.close()


UNFINISHED_BODY = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc"


def read_body(environ, start_response):
    environ["wsgi.input"].read()
    start_response("200 OK", [("Content-Length", "0")])
    return [b""]


def test_connections_that_wait_evict_and_others_do_not():
    """Idle connections took all descriptors, and no call was answered."""
    is_released = gevent.event.Event()

    def wait(environ, start_response):
        is_released.wait()
        return read_body(environ, start_response)

    listener = listener_of(wait, most=2)
    listener.start()
    callers = []
    for data in (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", UNFINISHED_BODY, b""):
        callers.append(socket.create_connection(("127.0.0.1", listener.port)))
        callers[-1].sendall(data)
        gevent.sleep(0.05)
    busy, unfinished, idle = callers
    assert unfinished.recv(100) in (b"", b"HTTP/1.1 500")
    idle.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    gevent.sleep(0.05)
    refused = socket.create_connection(("127.0.0.1", listener.port)).recv(1_000)
    assert refused.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: " in refused
    is_released.set()
    for caller in (busy, idle):
        assert caller.recv(100).startswith(b"HTTP/1.1 200 ")
    listener.stop(0)


def response_to(listener, data):
    """Return the response to the bytes of a request, on a connection of its own."""
    with socket.create_connection(("127.0.0.1", listener.port)) as caller:
        caller.settimeout(10)
        caller.sendall(data)
        received = b""
        while piece := caller.recv(65_536):
            received += piece
    return received


LAST = b"Connection: close\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nHost: x\r\n"


def test_heads_are_bounded_one_by_one_and_together():
    """A head of 90 long lines took 5 MB, on any number of connections."""
    listener = listener_of(read_body)
    listener.start()
    line = b"A: " + b"x" * 3_000 + b"\r\n"
    too_large = response_to(listener, GET + 4 * line + LAST)
    assert too_large.startswith(b"HTTP/1.1 431 ")
    assert b"larger than 10000 bytes" in too_large
    many = response_to(listener, GET + b"A: b\r\n" * 100 + LAST)
    assert many.startswith(b"HTTP/1.1 431 ")
    assert response_to(listener, GET + 3 * line + LAST).startswith(b"HTTP/1.1 200 ")
    memory = listener.server.memory
    memory.used = MEMORY_BYTES - 9_000 * COPIES
    refused = response_to(listener, GET + 3 * line + LAST)
    assert refused.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: " in refused
    assert response_to(listener, GET + LAST).startswith(b"HTTP/1.1 200 ")
    gevent.sleep(0.05)
    assert memory.used == MEMORY_BYTES - 9_000 * COPIES
    listener.stop(0)


def test_a_caller_that_goes_gives_back_the_memory_of_its_call():
    """Memory that is never given back leaves no room for any call."""
    listener = listener_of(read_body)
    listener.start()
    with socket.create_connection(("127.0.0.1", listener.port)) as caller:
        caller.sendall(UNFINISHED_BODY)
        gevent.sleep(0.05)
        assert listener.server.memory.used > 0
    gevent.sleep(0.05)
    assert listener.server.memory.used == 0
    listener.stop(0)


def test_a_short_chunked_body_takes_no_more_than_its_bytes():
    """The most that a body may have was held for it until its call was answered."""
    sizes = []

    def read_most(environ, start_response):
        environ["wsgi.input"].read(100_000)
        sizes.append(listener.server.memory.used)
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    listener = listener_of(read_most)
    listener.start()
    head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n" + LAST
    response = response_to(listener, head + b"1\r\na\r\n0\r\n\r\n")
    assert response.startswith(b"HTTP/1.1 200 ")
    assert sizes == [COPIES * (len(head) + 1)]
    listener.stop(0)


def test_the_lines_of_a_chunked_body_do_not_count_as_its_head():
    listener = listener_of(read_body)
    listener.start()
    body = b"1\r\na\r\n" * MAX_HEADER_BYTES + b"0\r\n\r\n"
    head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
    assert response_to(listener, head + LAST + body).startswith(b"HTTP/1.1 200 ")
    listener.stop(0)
