"""Builders for tests of the gateway: scripted servers, callers, a store in memory."""

import json
import time
from collections import defaultdict

import gevent
from endive_core.clocks import TrueTime
from endive_core.routing import (
    OrganisationTerms,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    Split,
)
from endive_gateway.callers import CallerListener
from endive_gateway.context import Context
from endive_gateway.exceptions import (
    BadHeaderError,
    CloudEmptyError,
    CloudError,
    StoreConflictError,
    StoreError,
    StoreForgottenError,
    StoreUncertainError,
    UndecodableError,
)
from endive_gateway.forwarding import Forwarder
from endive_gateway.http import RequestParser
from endive_gateway.interfaces import (
    AnswerFacts,
    Bounds,
    GatewaySettings,
    Page,
    Place,
    PromptPart,
    Record,
    RequestFacts,
    ServerEntry,
    header_value,
)
from endive_node.sockets import listen_tcp
from gevent import socket
from gevent.server import StreamServer

HOST = "a.example"
SERVICE = "s"


class PlainWire:
    """Headers with names of the tests' own."""

    def decode_request(self, headers):
        facts = RequestFacts(_text(headers, b"id"))
        if not facts.id:
            raise BadHeaderError("Id is missing")
        budget = _text(headers, b"wait-ms")
        facts.budget_s = float(budget) / 1000 if budget else None
        facts.key = _text(headers, b"key")
        facts.last_event = _text(headers, b"after")
        tokens = _text(headers, b"tokens")
        if tokens:
            facts.prompt_tokens, facts.max_tokens = map(int, tokens.split(","))
        parts = _text(headers, b"parts")
        if parts:
            facts.parts = tuple(PromptPart(int(part), 100) for part in parts.split(","))
        return facts

    def encode_request(self, headers, facts, sending):
        ours = (b"wait-ms", b"key", b"after", b"meant", b"organisation")
        sent = [(n, v) for n, v in headers if n.lower() not in ours]
        sent.append((b"Wait-Ms", b"%d" % (sending.left_s * 1000)))
        sent.append((b"Meant", sending.server_id.encode()))
        sent.append((b"Organisation", sending.organisation.encode()))
        sent.append((b"Urgency", b"%d" % sending.urgency))
        if sending.last_event:
            sent.append((b"After", sending.last_event.encode()))
        return sent

    def kept(self):
        return frozenset({b"id"})

    def decode_answer(self, headers):
        return AnswerFacts(
            request_id=_text(headers, b"id"),
            sealed=bool(header_value(headers, b"signed")),
            not_run=bool(header_value(headers, b"refused")),
        )

    def own_answer(self, facts):
        return [(b"Id", facts.id.encode())] if facts.id else []

    def decode_configuration(self, value):
        try:
            return make_table(version=int(value))
        except ValueError as error:
            raise UndecodableError(str(error)) from None

    def decode_server(self, server_id, value):
        try:
            return ServerEntry(server_id, **json.loads(value))
        except (ValueError, TypeError) as error:
            raise UndecodableError(str(error)) from None


def _text(headers, name):
    return header_value(headers, name).decode()


class MemoryStore:
    """The platform's store, with faults to order.

    Attributes
    ----------
    fault : callable or None
        Called with the name of each call; may raise what the call then raises.
    lost : list
        Appends are done and their answers lost while it holds entries.
    """

    def __init__(self):
        self.topics = defaultdict(list)
        self.kept_from = defaultdict(int)
        self.fault = None
        self.lost = []
        self.calls = []

    def _begin(self, name):
        self.calls.append(name)
        if self.fault is not None:
            self.fault(name)

    def newest(self, topic):
        self._begin("newest")
        newest = {}
        for record in self.topics[topic]:
            newest[record.key] = record
        records = [r for r in newest.values() if r.value is not None]
        return Page(0, len(self.topics[topic]), records)

    def read(self, topic, start, *, wait_s=0.0):
        self._begin("read")
        first = self.kept_from[topic]
        if start < first:
            raise StoreForgottenError(first)
        records = self.topics[topic]
        return Page(first, len(records), records[start:])

    def append(self, topic, value, *, at=None):
        self._begin("append")
        offset = len(self.topics[topic])
        if at is not None and at != offset:
            raise StoreConflictError(offset)
        self.topics[topic].append(Record(offset, "", value))
        if self.lost:
            self.lost.pop()
            raise StoreUncertainError("the answer was lost")
        return offset

    def put(self, topic, key, value):
        self._begin("put")
        offset = len(self.topics[topic])
        self.topics[topic].append(Record(offset, key, value))


def write(store, topic, key, value):
    records = store.topics[topic]
    value = None if value is None else json.dumps(value).encode()
    records.append(Record(len(records), key, value))


def store_down(_name):
    raise StoreError("down")


class FewReaders:
    """Readers among which a node is not."""

    def is_reader(self):
        return False

    def reads_alone(self):
        return False

    def await_first_configuration(self):
        return True

    def rank(self):
        return 9

    def live_nodes(self):
        return 100

    def hasten(self):
        self.hastened = True


class RecordingCloud:
    """The platform's calls, recorded."""

    def __init__(self):
        self.usage = []
        self.orders = []
        self.empty = set()
        self.down = False

    def report_usage(self, holder, fence, window, counts):
        if self.down:
            raise CloudError("down")
        self.usage.append((holder, fence, window, dict(counts)))

    def order(self, holder, fence, order):
        if self.down:
            raise CloudError("down")
        if order.reclaimable and order.zone in self.empty:
            raise CloudEmptyError("none")
        self.orders.append((holder, fence, order))


class Seen:
    """One request as a server got it."""

    def __init__(self, message):
        self.method = message.method.decode()
        self.target = message.target.decode()
        self.headers = {n.decode().lower(): v.decode() for n, v in message.headers}
        self.body = b"".join(message.body)


class ScriptedServer:
    """A backend server that follows a script, one entry for each request.

    An entry is called with the socket and the request seen; one that is missing
    answers ``ok``.
    """

    def __init__(self, *script, server_id="i-1"):
        self.id = server_id
        self.script = list(script)
        self.seen = []
        self.connections = 0
        self.closed = []
        self.server = StreamServer(listen_tcp("127.0.0.1", 0), self._serve)
        self.server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server_port}"

    def stop(self):
        self.server.stop(0)

    def _serve(self, sock, _address):
        self.connections += 1
        parser = RequestParser(65_536, 10_000_000)
        try:
            while True:
                while not (parser.messages and parser.messages[0].complete):
                    data = sock.recv(65_536)
                    if not data:
                        self.closed.append(time.monotonic())
                        return
                    parser.feed(data)
                seen = Seen(parser.messages.popleft())
                self.seen.append(seen)
                entry = self.script.pop(0) if self.script else ok
                if entry(sock, seen) is False:
                    return
        except OSError:
            self.closed.append(time.monotonic())
        finally:
            sock.close()


def answer(status=200, body=b"fine", *, signed=True, extra="", request_id=None):
    """Return a script entry that answers with a length."""

    def send(sock, seen):
        sock.sendall(encoded(seen, status, body, signed, extra, request_id))

    return send


def encoded(seen, status=200, body=b"fine", signed=True, extra="", request_id=None):
    """Return the bytes of an answer."""
    signature = "Signed: yes\r\n" if signed else ""
    request_id = request_id or seen.headers["id"]
    head = (
        f"HTTP/1.1 {status} X\r\nId: {request_id}\r\n{signature}{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


ok = answer()
full = answer(503, b"full", extra="Refused: 1\r\n")
elsewhere = answer(421, b"", extra="Refused: 1\r\n")
failing = answer(500, b"failed")


def reset(sock, _seen):
    """Close without a word, as a crash does."""
    sock.close()
    return False


def raw(data, *, close=False):
    """Return a script entry that sends bytes as they are; ``%ID`` is the request's."""

    def send(sock, seen):
        sock.sendall(data.replace(b"%ID", seen.headers["id"].encode()))
        return False if close else None

    return send


def events(first, last, *, cut=b"", end=True, gap_s=0.0):
    """Return a script entry that streams events with ids from `first` to `last`."""

    def send(sock, seen):
        head = (
            f"HTTP/1.1 200 OK\r\nId: {seen.headers['id']}\r\nSigned: yes\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        sock.sendall(head.encode())
        for number in range(first, last + 1):
            sock.sendall(chunk(event(number)))
            gevent.sleep(gap_s)
        if cut:
            sock.sendall(chunk(cut))
        if not end:
            return False
        sock.sendall(b"0\r\n\r\n")
        return None

    return send


def event(number):
    """Return the bytes of one event."""
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def chunk(data):
    """Return one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def silent(_sock, _seen):
    """Never answer."""
    gevent.sleep(30)


def make_route(**options):
    """Return a route with everything a test doesn't care for."""
    values = {
        "name": "r",
        "host": HOST,
        "path_prefix": "/",
        "kind": RouteKind.IDEMPOTENT,
        "splits": (Split(SERVICE, 1.0),),
        "max_attempts": 2,
        "timeout_s": 2.0,
        "target_s": 1.0,
        "public": True,
    }
    return Route(**(values | options))


def make_table(*routes, version=1, organisations=None, keys=None, **options):
    """Return a routing table; without routes, with one that takes all."""
    return RoutingTable(
        version=version,
        routes=routes or (make_route(),),
        services={SERVICE: Service(SERVICE)},
        organisations=organisations,
        keys=keys or {},
        **options,
    )


def closed_table(**options):
    """Return a table with one route that needs the key ``k`` of ``o``."""
    return make_table(
        make_route(public=False, **options),
        organisations={"o": OrganisationTerms("o")},
        keys={"k": "o"},
    )


def make_context(table=None, *, store=None, cloud=None, node="n1", bounds=None):
    """Return a context without any loop running."""
    settings = GatewaySettings(
        place=Place(node, "127.0.0.1", "z", 0, 0, 0, zones=("z",)),
        bounds=bounds or Bounds(),
        duties=frozenset({"usage", "scale"}),
    )
    context = Context(
        settings, PlainWire(), store or MemoryStore(), cloud or RecordingCloud()
    )
    if table is not None:
        context.configure(table, b"", "test")
    return context


def make_entry(server_id="i-1", **options):
    """Return a server's entry."""
    values = {"service": SERVICE, "address": "127.0.0.1:1", "zone": "z", "slots": 8}
    return ServerEntry(server_id, **(values | options))


class Running:
    """A gateway's path with scripted servers behind it."""

    def __init__(self, *servers, table=None):
        self.servers = servers
        self.context = make_context(table or make_table())
        for server in servers:
            self.context.registry.put(make_entry(server.id, address=server.address))
        self.context.registry.known_once = True
        self.context.registry.changed()
        self.listener = CallerListener(
            listen_tcp("127.0.0.1", 0),
            Forwarder(self.context),
            self.context.caller_limits,
        )
        self.listener.start()
        self.pump = gevent.spawn(self.context.placer.pump_often)

    def caller(self):
        """Return a new connection of a caller."""
        return Caller(self.listener.port)

    def call(self, *args, **options):
        """Send one request on a connection of its own and return its answer."""
        caller = self.caller()
        caller.send(*args, **options)
        return caller.receive()

    def __enter__(self):
        return self

    def __exit__(self, *_exc_info):
        self.pump.kill()
        self.listener.stop_accepting()
        for server in self.servers:
            server.stop()


class Answer:
    """One answer as a caller got it.

    Attributes
    ----------
    whole : bool
        Whether it came to its proper end.
    """

    def __init__(self, status, headers, body, whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole

    @property
    def json(self):
        return json.loads(self.body)


class Caller:
    """A caller's connection, with bytes as a test wants them."""

    ids = iter(range(1, 1_000_000))

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.settimeout(10)
        self.buffer = b""

    def send(self, target="/x", *, method="GET", body=None, request_id=None, **headers):
        """Send one request."""
        request_id = request_id or f"q{next(self.ids)}"
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"Id: {request_id}"]
        lines += [f"{n.replace('_', '-')}: {v}" for n, v in headers.items()]
        if body is not None:
            lines.append(f"Content-Length: {len(body)}")
        self.raw("\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b""))
        return request_id

    def raw(self, data):
        """Send bytes."""
        self.sock.sendall(data)

    def _more(self):
        try:
            data = self.sock.recv(65_536)
        except ConnectionResetError:
            data = b""
        self.buffer += data
        return bool(data)

    def receive(self):
        """Return the next answer, or ``None`` if the connection ended before one."""
        while b"\r\n\r\n" not in self.buffer:
            if not self._more():
                return None
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        status = int(lines[0].split()[1])
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        if headers.get("transfer-encoding") == "chunked":
            body, whole = self._chunks()
        else:
            length = int(headers.get("content-length", 0))
            while len(self.buffer) < length and self._more():
                pass
            body, self.buffer = self.buffer[:length], self.buffer[length:]
            whole = len(body) == length
        return Answer(status, headers, body, whole)

    def _chunks(self):
        body = b""
        while True:
            while b"\r\n" not in self.buffer:
                if not self._more():
                    return body, False
            size, _, rest = self.buffer.partition(b"\r\n")
            length = int(size, 16)
            while len(rest) < length + 2:
                if not self._more():
                    return body + rest, False
                rest = self.buffer.partition(b"\r\n")[2]
            body += rest[:length]
            self.buffer = rest[length + 2 :]
            if not length:
                return body, True

    def ended(self):
        """Return whether the node has closed the connection."""
        return not self._more()

    def close(self):
        """Hang up."""
        self.sock.close()


def fixed_time(context, wall):
    """Let the context's true time stand at `wall`."""
    context.true_time = TrueTime(lambda: 0.0, lambda: wall)
