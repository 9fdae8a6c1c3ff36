"""Fixtures that send requests to stand-ins, with and without a socket."""

import http.client
import io
import json
import random
from wsgiref.util import setup_testing_defaults

import gevent
import pytest
from endive_standins import serving

PORTS = range(12000, 14900)


def call_app(stand_in, method, path, body=None, **headers):
    """Send a request to the WSGI application; return the status and the body."""
    raw = b"" if body is None else json.dumps(body).encode()
    path, _, query = path.partition("?")
    environ = {"REQUEST_METHOD": method, "PATH_INFO": path, "QUERY_STRING": query}
    environ |= {"wsgi.input": io.BytesIO(raw), **headers}
    setup_testing_defaults(environ)
    statuses = []
    chunks = stand_in.app(environ, lambda status, *_: statuses.append(status))
    text = b"".join(chunks).decode()
    is_json = text.startswith("{")
    return int(statuses[0][:3]), json.loads(text) if is_json else text


def stream_app(stand_in, path, body):
    """Request a stream; return its events."""
    _, text = call_app(stand_in, "POST", path, {**body, "stream": True})
    lines = text.split("\n\n")
    assert lines.pop() == ""
    assert lines.pop() == "data: [DONE]"
    return [json.loads(line.removeprefix("data: ")) for line in lines]


def request_once(port, method, path, body=None, connection=None):
    """Send a request over a socket, in a thread; return the status and the body."""

    def run():
        http_connection = connection or http.client.HTTPConnection(
            "127.0.0.1", port, timeout=10
        )
        http_connection.request(
            method, path, None if body is None else json.dumps(body)
        )
        answer = http_connection.getresponse()
        return answer.status, answer.read()

    return gevent.get_hub().threadpool.apply(run)


@pytest.fixture
def call():
    return call_app


@pytest.fixture
def stream():
    return stream_app


@pytest.fixture
def over_socket():
    return request_once


@pytest.fixture
def serve():
    """Return a function that serves stand-ins on free ports until the test ends."""
    servers = []

    def start(stand_in):
        for port in random.sample(PORTS, 100):
            try:
                servers.append(serving.serve(stand_in, port))
            except OSError:
                continue
            return servers[-1]
        raise RuntimeError("no free port")

    yield start
    for server in servers:
        server.stop()
