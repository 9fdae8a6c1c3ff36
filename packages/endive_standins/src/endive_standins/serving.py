"""What every stand-in shares: its HTTP program, its fault orders and its server."""

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
    """Return a JSON answer."""
    headers = {"Content-Type": "application/json", **headers}
    return HTTPResponse(msgspec.json.encode(body), status, headers)


def error_response(status: int, code: str, **details: Any) -> HTTPResponse:
    """Return a JSON answer that carries an error code."""
    return json_response({"error": {"code": code, **details}}, status)


def not_executed_response(code: str) -> HTTPResponse:
    """Return the refusal of a call before it started to run."""
    return error_response(503, code, executed="no")


def rate_limit_response(wait_s: float) -> HTTPResponse:
    """Return the refusal of a call over a rate limit."""
    body = {"error": {"code": "over_rate", "retry_after_s": wait_s}}
    return json_response(body, 429, **{"Retry-After": str(int(wait_s) + 1)})


def read_body(kind: Any) -> Any:
    """Return the JSON body of the current request, validated as `kind`."""
    try:
        return msgspec.json.decode(request.environ[BODY_KEY], type=kind)
    except msgspec.DecodeError as error:
        raise error_response(400, "invalid", message=str(error)) from error


def query_parameter(name: str, kind: Callable[[str], Any], default: Any) -> Any:
    """Return a parameter of the current request's query."""
    try:
        return kind(request.query.get(name, default))
    except ValueError as error:
        raise error_response(400, "invalid", message=f"{name}: {error}") from error


def connection_closed_error() -> BrokenPipeError:
    """Return the error that makes pywsgi close a connection without an answer."""
    return BrokenPipeError(errno.EPIPE, "the stand-in closes the connection")


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
    """Rate limit with a burst of one second; a rate of 0 is no limit."""

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self.burst = self.level = max(1.0, per_s)
        self.filled_at = time.monotonic()

    def take(self) -> float:
        """Take one token, or return the seconds to wait for it."""
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
    """A value that is seen as it was some time ago."""

    def __init__(self, lag_s: float, value: Any) -> None:
        self.lag_s = lag_s
        self.history = [(0.0, value)]

    def set(self, value: Any) -> None:
        """Change the value."""
        if value != self.history[-1][1]:
            self.history.append((time.time(), value))
        self.get()

    def get(self) -> Any:
        """Return the newest value that is old enough to be seen."""
        cutoff = time.time() - self.lag_s
        while len(self.history) > 1 and self.history[1][0] <= cutoff:
            del self.history[0]
        return self.history[0][1]


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """The faults that any stand-in takes; what is counted applies to its work calls."""

    crash: bool = False
    outage_s: float = 0.0
    freeze_s: float = 0.0
    delay_s: float = 0.0
    reject_next: int = 0
    lose_answers: int = 0

    def consume(self, name: str) -> bool:
        """Use up one of a number of ordered faults; return whether one was left."""
        left = getattr(self, name)
        setattr(self, name, max(0, left - 1))
        return left > 0


class App(Bottle):
    """Bottle application that meets a stand-in's faults before it routes a call.

    Bottle keeps the current request and response in thread locals, which greenlets
    share in a process without monkey patching. So whatever may block comes before
    routing, a handler reads its request before it first blocks, and the first part of
    an answer is there when the handler returns.
    """

    def __init__(self, stand_in: "StandIn") -> None:
        super().__init__()
        self.config.update({"catchall": False, "json.enable": False})
        self.stand_in = stand_in

    def wsgi(self, environ: dict[str, Any], start_response: Callable) -> Iterable:
        """Answer one call, or do to it what the ordered faults say."""
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
    """A program that takes the place of one service, with faults to order."""

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
        """Build the stand-in from its flags, spelt with underscores."""
        return cls(cls.settings_type(**settings))

    def route(self, method: str, path: str, handler: Callable, body: Any = None):
        """Let a handler answer calls; it gets the body validated as `body`."""

        def call(**parts: str) -> HTTPResponse:
            result = handler(*([read_body(body)] if body else []), **parts)
            return result if isinstance(result, HTTPResponse) else json_response(result)

        self.app.route(path, method, call)

    def start(self) -> None:
        """Start what runs beside the calls."""

    def stop(self) -> None:
        """End what runs beside the calls."""

    def is_work(self, method: str, path: str) -> bool:
        """Return whether counted faults apply to such a call."""
        return method != "GET"

    def post_faults(self) -> dict[str, Any]:
        """Order faults; fields that aren't given stay as they are."""
        order = read_body(self.faults_type)
        given = read_body(dict)
        for name in given:
            setattr(self.faults, name, getattr(order, name))
        self.apply_faults(given)
        return {"ordered": sorted(given)}

    def apply_faults(self, given: dict[str, Any]) -> None:
        """Let the faults that were just ordered begin."""
        now = time.monotonic()
        if "outage_s" in given:
            self.outage_until = now + self.faults.outage_s
        if "freeze_s" in given:
            self.frozen_until = now + self.faults.freeze_s
        if self.faults.crash:
            self.crash()

    def in_outage(self) -> bool:
        """Return whether every call fails at present."""
        return time.monotonic() < self.outage_until

    def apply_call_faults(self, work: bool) -> HTTPResponse | None:
        """Hold a call up as ordered; return the refusal if it goes no further."""
        while (frozen_s := self.frozen_until - time.monotonic()) > 0:
            gevent.sleep(frozen_s)
        if self.faults.delay_s:
            gevent.sleep(self.faults.delay_s)
        if self.in_outage():
            return error_response(503, "outage")
        if work and self.faults.consume("reject_next"):
            return not_executed_response("busy")
        return None


class Handler(WSGIHandler):
    """Handler that shows its connection to the application and to the server."""

    def handle(self) -> None:
        """Serve one connection."""
        connection = self.socket
        self.server.connections.add(connection)
        try:
            super().handle()
        finally:
            self.server.connections.discard(connection)

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with the connection in it."""
        return {**super().get_environ(), SOCKET_KEY: self.socket}


def listen(port: int) -> socket.socket:
    """Return a listening socket; port 0 is any free port."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Nagle's algorithm holds the second write of an answer back until the client
    # acknowledges the first, which it delays: 40 ms a call on a kept connection, and
    # streams of small events suffer the same. Accepted sockets inherit the option.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((HOST, port))
    listener.listen(BACKLOG)
    return listener


class Server:
    """Listens on `port` of 127.0.0.1 for one stand-in."""

    def __init__(self, stand_in: StandIn, port: int = 0) -> None:
        self.stand_in = stand_in
        listener = listen(port)
        self.port = listener.getsockname()[1]
        self.wsgi = WSGIServer(
            listener, stand_in.app, spawn=Pool(), handler_class=Handler, log=None
        )
        self.wsgi.connections = set()

    def start(self) -> None:
        """Begin to accept calls."""
        self.stand_in.start()
        self.wsgi.start()

    def stop(self) -> None:
        """End at once, as a process does: every connection closes unanswered."""
        for connection in list(self.wsgi.connections):
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self.wsgi.stop(timeout=0)
        self.stand_in.stop()

    def crash(self) -> None:
        """Stop from within one of the server's own greenlets, which doesn't go on."""
        gevent.spawn(self.stop)
        Event().wait()


def serve(stand_in: StandIn, port: int = 0) -> Server:
    """Start a stand-in inside the current process; a crash stops only its server."""
    server = Server(stand_in, port)
    stand_in.crash = server.crash
    server.start()
    return server


def main(kind: type[StandIn]) -> None:
    """Run a stand-in as a program; its flags are the fields of its settings."""

    def run(port: int = 0, **settings: Any) -> None:
        server = Server(kind.from_config(**settings), port)
        server.start()
        print(f"ready port={server.port}", flush=True)
        Event().wait()

    fire.Fire(run)
