import time

import gevent
from endive_node.listeners import HttpListener
from gevent import socket

CALLS = 20
EVENTS = 30
EVENT = b"data: token\n\n"
END_OF_ANSWER = b"0\r\n\r\n"
MOST_TIMES_SLOWER = 25
"""Small events cost a few times one large one; a stall of 40 ms a call costs over a
hundred times as much."""


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
        while not data.endswith(END_OF_ANSWER):
            data += connection.recv(65536)
        took.append(time.perf_counter() - started)
    connection.close()
    return took


def least(listener, path, runs):
    """Return the seconds of CALLS calls, of each the shortest of some runs.

    A stall is there in each run. Other processes disturb a call now and then, and a
    whole run nearly always once they are many.
    """
    listener.start()
    try:
        time_calls(listener.port, path)
        timed = [time_calls(listener.port, path) for _ in range(runs)]
    finally:
        listener.stop(0)
    return sum(map(min, zip(*timed, strict=True)))


def slowdown(listener):
    """Return how many times longer many small events take than one large one."""
    large = least(HttpListener(application, "127.0.0.1", 0), "/large", runs=30)
    return least(listener, "/small", runs=9) / large


def test_small_events_are_not_held_back():
    """Nagle's algorithm waits for the receiver's delayed ACK before it sends the next
    small write, so a caller sees the tokens of a stream in bursts, 40 ms apart."""
    assert slowdown(HttpListener(application, "127.0.0.1", 0)) < MOST_TIMES_SLOWER


def test_the_check_fails_without_tcp_nodelay():
    """The same measurement with the option taken off again shows the stall, so the
    check above is known to be able to fail."""
    listener = HttpListener(application, "127.0.0.1", 0)
    listener.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
    assert slowdown(listener) > MOST_TIMES_SLOWER


def test_accepted_connections_inherit_the_option():
    listener = HttpListener(application, "127.0.0.1", 0)
    client = socket.create_connection(("127.0.0.1", listener.port))
    accepted, _ = listener.socket.accept()
    assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    for each in (client, accepted, listener.socket):
        each.close()
