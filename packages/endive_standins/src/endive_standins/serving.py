"""Shared parts of the stand-ins: HTTP application, fault injection and server."""

import errno
import os
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from functools import partial
from typing import Any

import fire
import gevent
import msgspec
from bottle import Bottle, HTTPResponse, request, response
from gevent import socket
from gevent.event import Event
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

HOST = "127.0.0.1"
BACKLOG = 1024
CRASH_EXIT_STATUS = 1
BODY_KEY = "endive_standins.body"
SOCKET_KEY = "endive_standins.socket"


def json_response(body: Any, status: int = 200, **headers: str) -> HTTPResponse:
    """Return a response with a JSON body."""
    headers = {"Content-Type": "application/json", **headers}
    return HTTPResponse(msgspec.json.encode(body), status, headers)


def error_response(status: int, code: str, **details: Any) -> HTTPResponse:
    """Return a JSON response with an error code."""
    return json_response({"error": {"code": code, **details}}, status)


def not_executed_response(code: str) -> HTTPResponse:
    """Return the 503 response for a request that was not executed."""
    return error_response(503, code, executed="no")


def rate_limit_response(wait_s: float) -> HTTPResponse:
    """Return the 429 response for a request over a rate limit."""
    body = {"error": {"code": "over_rate", "retry_after_s": wait_s}}
    return json_response(body, 429, **{"Retry-After": str(int(wait_s) + 1)})


def read_body(body_type: Any) -> Any:
    """Return the JSON body of the current request, validated as `body_type`.

    Raises
    ------
    HTTPResponse
        A 400 response, if the body is invalid.
    """
    try:
        return msgspec.json.decode(request.environ[BODY_KEY], type=body_type)
    except msgspec.DecodeError as error:
        raise error_response(400, "invalid", message=str(error)) from error


def query_parameter(name: str, convert: Callable[[str], Any], default: Any) -> Any:
    """Return a query parameter of the current request, or its default.

    Raises
    ------
    HTTPResponse
        A 400 response, if the parameter is invalid.
    """
    try:
        return convert(request.query.get(name, default))
    except ValueError as error:
        raise error_response(400, "invalid", message=f"{name}: {error}") from error


def connection_closed_error() -> BrokenPipeError:
    """Return the error on which pywsgi closes a connection without a response."""
    return BrokenPipeError(errno.EPIPE, "connection closed by the stand-in")


def client_disconnected(environ: dict[str, Any]) -> bool:
    """Return whether the client of a request has closed its connection."""
    connection = environ.get(SOCKET_KEY)
    if connection is None:
        return False
    connection.settimeout(0.0)
    try:
        return connection.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        connection.settimeout(None)


class TokenBucket:
    """Rate limit with a burst of one second; a rate of 0 means no limit."""

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self.burst = self.level = max(1.0, per_s)
        self.filled_at = time.monotonic()

    def take(self) -> float:
        """Take one token and return 0, or return the seconds until there is one."""
        if not self.per_s:
            return 0.0
        now = time.monotonic()
        gained = (now - self.filled_at) * self.per_s
        self.level = min(self.burst, self.level + gained)
        self.filled_at = now
        if self.level < 1.0:
            return (1.0 - self.level) / self.per_s
        self.level -= 1.0
        return 0.0


class DelayedValue:
    """A value whose changes become visible `lag_s` seconds later."""

    def __init__(self, lag_s: float, value: Any) -> None:
        self.lag_s = lag_s
        self.history = [(0.0, value)]

    def set(self, value: Any) -> None:
        """Change the value."""
        if value != self.history[-1][1]:
            self.history.append((time.time(), value))
        self.get()

    def get(self) -> Any:
        """Return the newest visible value."""
        cutoff = time.time() - self.lag_s
        while len(self.history) > 1 and self.history[1][0] <= cutoff:
            del self.history[0]
        return self.history[0][1]


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that every stand-in supports.

    The counted faults, `reject_next` and `lose_answers`, apply only to work requests
    (see `StandIn.is_work`).

    Attributes
    ----------
    crash : bool
        The process exits at once; within another process only the server stops.
    outage_s : float
        Every request returns 503 for this time, seconds.
    freeze_s : float
        No request is processed for this time, seconds.
    delay_s : float
        Delay of every request, seconds.
    reject_next : int
        Number of next requests that return 503 and are not executed.
    lose_answers : int
        Number of next successful requests whose connection closes without a response.
    """

    crash: bool = False
    outage_s: float = 0.0
    freeze_s: float = 0.0
    delay_s: float = 0.0
    reject_next: int = 0
    lose_answers: int = 0

    def consume(self, name: str) -> bool:
        """Decrement a counted fault; return whether it was above 0."""
        left = getattr(self, name)
        setattr(self, name, max(0, left - 1))
        return left > 0


class App(Bottle):
    """Bottle application that applies a stand-in's faults before it routes a request.

    Bottle keeps the current request and response in thread locals, which all greenlets
    share in a process without monkey patching, so another request may replace them
    while a greenlet blocks. Therefore faults block before the routing, a handler reads
    its request before it first blocks, and the first part of a response is ready when
    the handler returns.
    """

    def __init__(self, stand_in: "StandIn") -> None:
        super().__init__()
        self.config.update({"catchall": False, "json.enable": False})
        self.stand_in = stand_in

    def wsgi(self, environ: dict[str, Any], start_response: Callable) -> Iterable:
        """Process one request, subject to the injected faults."""
        environ[BODY_KEY] = environ["wsgi.input"].read()
        if environ["PATH_INFO"] == "/faults":
            return super().wsgi(environ, start_response)
        work = self.stand_in.is_work(environ["REQUEST_METHOD"], environ["PATH_INFO"])
        refusal = self.stand_in.apply_call_faults(work)
        if refusal is not None:
            start_response(refusal.status_line, refusal.headerlist)
            return [refusal.body]
        result = super().wsgi(environ, start_response)
        took_effect = work and response.status_code < 300
        if took_effect and self.stand_in.faults.consume("lose_answers"):
            raise connection_closed_error()
        return result


class StandIn:
    """Base class of the stand-ins: a simulated service with fault injection."""

    settings_type: type
    faults_type: type[Faults] = Faults

    def __init__(self, settings: Any) -> None:
        self.settings = settings
        self.faults = self.faults_type()
        self.outage_until = self.frozen_until = 0.0
        self.crash: Callable[[], None] = partial(os._exit, CRASH_EXIT_STATUS)
        self.app = App(self)
        self.route("POST", "/faults", self.post_faults)

    @classmethod
    def from_config(cls, **settings: Any) -> "StandIn":
        """Create a stand-in from its flags, given as keyword arguments."""
        return cls(cls.settings_type(**settings))

    def route(self, method: str, path: str, handler: Callable, body: Any = None):
        """Route requests to a handler, with the body validated as the type `body`."""

        def call(**parts: str) -> HTTPResponse:
            result = handler(*([read_body(body)] if body else []), **parts)
            return result if isinstance(result, HTTPResponse) else json_response(result)

        self.app.route(path, method, call)

    def start(self) -> None:
        """Start background tasks."""

    def stop(self) -> None:
        """Stop background tasks."""

    def is_work(self, method: str, path: str) -> bool:
        """Return whether counted faults apply to such a request."""
        return method != "GET"

    def post_faults(self) -> dict[str, Any]:
        """Inject faults; fields that aren't given keep their values."""
        order = read_body(self.faults_type)
        given = read_body(dict)
        for name in given:
            setattr(self.faults, name, getattr(order, name))
        self.apply_faults(given)
        return {"ordered": sorted(given)}

    def apply_faults(self, given: dict[str, Any]) -> None:
        """Apply the faults in `given`, the fields of the last fault injection."""
        now = time.monotonic()
        if "outage_s" in given:
            self.outage_until = now + self.faults.outage_s
        if "freeze_s" in given:
            self.frozen_until = now + self.faults.freeze_s
        if self.faults.crash:
            self.crash()

    def in_outage(self) -> bool:
        """Return whether there is an injected outage now."""
        return time.monotonic() < self.outage_until

    def apply_call_faults(self, work: bool) -> HTTPResponse | None:
        """Delay a request as injected; return an error response if it is to fail."""
        while (remaining_s := self.frozen_until - time.monotonic()) > 0:
            gevent.sleep(remaining_s)
        if self.faults.delay_s:
            gevent.sleep(self.faults.delay_s)
        if self.in_outage():
            return error_response(503, "outage")
        if work and self.faults.consume("reject_next"):
            return not_executed_response("busy")
        return None


class Handler(WSGIHandler):
    """Handler that registers its connection with the server and the application."""

    def handle(self) -> None:
        """Serve one connection."""
        connection = self.socket
        self.server.connections.add(connection)
        try:
            super().handle()
        finally:
            self.server.connections.discard(connection)

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment, with the connection added."""
        return {**super().get_environ(), SOCKET_KEY: self.socket}


def listen(port: int) -> socket.socket:
    """Return a listening socket; port 0 selects a free port."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # With Nagle's algorithm the second write of a response waits until the client
    # acknowledges the first one, and clients delay acknowledgements. This costs 40 ms a
    # request on a keep-alive connection, and delays streams of small events likewise.
    # Accepted sockets inherit the option.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((HOST, port))
    listener.listen(BACKLOG)
    return listener


class Server:
    """HTTP server for one stand-in, on `port` of 127.0.0.1."""

    def __init__(self, stand_in: StandIn, port: int = 0) -> None:
        self.stand_in = stand_in
        listener = listen(port)
        self.port = listener.getsockname()[1]
        self.wsgi = WSGIServer(
            listener, stand_in.app, spawn=Pool(), handler_class=Handler, log=None
        )
        self.wsgi.connections = set()

    def start(self) -> None:
        """Start to accept connections."""
        self.stand_in.start()
        self.wsgi.start()

    def stop(self) -> None:
        """Stop at once, as if the process ended: all connections close."""
        for connection in list(self.wsgi.connections):
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self.wsgi.stop(timeout=0)
        self.stand_in.stop()

    def crash(self) -> None:
        """Stop from within one of the server's greenlets; this never returns."""
        gevent.spawn(self.stop)
        Event().wait()


def serve(stand_in: StandIn, port: int = 0) -> Server:
    """Serve a stand-in within this process; a crash stops only its server."""
    server = Server(stand_in, port)
    stand_in.crash = server.crash
    server.start()
    return server


def main(stand_in_type: type[StandIn]) -> None:
    """Run a stand-in as a program, with the fields of its settings as flags."""

    def run(port: int = 0, **settings: Any) -> None:
        server = Server(stand_in_type.from_config(**settings), port)
        server.start()
        print(f"ready port={server.port}", flush=True)
        Event().wait()

    fire.Fire(run)
