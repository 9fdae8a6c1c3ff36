"""Builders for tests of the gateway: a wire, gateways in front of servers, callers."""

import json
import time

import gevent
from endive_core.clocks import ClusterClock
from endive_core.possible_origins import PossibleOrigin
from endive_core.rollouts import RolloutOrder, StageKind
from endive_core.routing import (
    OrganisationLimits,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    Split,
)
from endive_core.stream_origins import StreamOrigin
from endive_gateway.callers import CallerListener
from endive_gateway.context import Context
from endive_gateway.exceptions import (
    BadHeaderError,
    UndecodableError,
)
from endive_gateway.forwarding import Forwarder
from endive_gateway.interfaces import (
    Bounds,
    EventFormat,
    GatewaySettings,
    NodeLocation,
    PromptPart,
    RequestMetadata,
    ResponseMetadata,
    ServerEntry,
    header_value,
)
from endive_gateway.nodes import Peer
from endive_gateway.origin_recorder import RecordJob
from endive_gateway.peers import Peers
from endive_node.sockets import listen_tcp
from gevent import socket
from gevent.event import Event
from server_builders import ScriptedServer, ok
from store_builders import MemoryStore, RecordingCloud

HOST = "a.example"
SERVICE = "s"
LONG_S = 3600.0


class PlainWire:
    """A wire that uses header names of the tests' own."""

    def decode_request(self, headers):
        metadata = RequestMetadata(_text(headers, b"id"))
        if not metadata.id:
            raise BadHeaderError("Id is missing")
        budget = _text(headers, b"wait-ms")
        metadata.budget_s = float(budget) / 1000 if budget else None
        metadata.key = _text(headers, b"key")
        metadata.last_event_id = _text(headers, b"after")
        metadata.resumes = _text(headers, b"resumes")
        metadata.expects_version = bool(_text(headers, b"weights"))
        tokens = _text(headers, b"tokens")
        if tokens:
            metadata.prompt_tokens, metadata.max_tokens = map(int, tokens.split(","))
        parts = _text(headers, b"parts")
        if parts:
            metadata.parts = tuple(map(_part, parts.split(",")))
            metadata.shared_parts = tuple(
                dict.fromkeys(part.id for part in metadata.parts[:-1])
            )
        return metadata

    def encode_request(self, headers, metadata, forwarding):
        ours = (b"wait-ms", b"key", b"after", b"meant", b"organisation")
        sent = [(n, v) for n, v in headers if n.lower() not in ours]
        sent.append((b"Wait-Ms", b"%d" % (forwarding.left_s * 1000)))
        sent.append((b"Meant", forwarding.server_id.encode()))
        sent.append((b"Organisation", forwarding.organisation.encode()))
        sent.append((b"Urgency", b"%d" % forwarding.server_priority))
        if forwarding.last_event_id:
            sent.append((b"After", forwarding.last_event_id.encode()))
        if forwarding.fetch_source:
            sent.append((b"Fetch", forwarding.fetch_source.encode()))
        return sent

    def event_format(self):
        return EventFormat(first_id=1)

    def end_to_end_headers(self):
        return frozenset({b"id"})

    def decode_response(self, headers):
        limit = _text(headers, b"limit")
        brittle = _text(headers, b"brittle")
        rest = _text(headers, b"rest")
        return ResponseMetadata(
            request_id=_text(headers, b"id"),
            signed=bool(header_value(headers, b"signed")),
            not_run=bool(header_value(headers, b"refused")),
            server_id=_text(headers, b"server"),
            request_limit=float(limit) if limit else None,
            brittle_rejections=float(brittle) if brittle else None,
            rest_s=float(rest) if rest else None,
            leaving=bool(header_value(headers, b"leaving")),
        )

    def own_response_headers(self, metadata):
        return [(b"Id", metadata.id.encode())] if metadata.id else []

    def decode_configuration(self, value):
        try:
            return make_table(version=int(value))
        except ValueError as error:
            raise UndecodableError(str(error)) from None

    def decode_rollout(self, record):
        service = record.key.removeprefix("order/")
        if service == record.key:
            return None
        try:
            to, duration_s = json.loads(record.value or b'["", 0]')
        except ValueError as error:
            raise UndecodableError(str(error)) from None
        return RolloutOrder(service, to, float(duration_s), record.offset)

    def encode_rollout_status(self, service, kind, to):
        is_final = kind in (StageKind.COMPLETED, StageKind.ROLLED_BACK)
        state = kind.value if is_final else "serving"
        return f"outcome/{service}", f"{state} {to}".encode()

    def decode_server(self, server_id, value):
        try:
            return ServerEntry(server_id, **json.loads(value))
        except (ValueError, TypeError) as error:
            raise UndecodableError(str(error)) from None


def _part(value):
    """Return a part with 100 tokens, or as many as stand behind a colon."""
    part_id, _, tokens = value.partition(":")
    return PromptPart(int(part_id), int(tokens or 100))


def _text(headers, name):
    return header_value(headers, name).decode()


def make_route(**options):
    """Return a route with defaults for all options not given."""
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
    """Return a routing table; by default its only route matches all paths."""
    return RoutingTable(
        version=version,
        routes=routes or (make_route(),),
        services={SERVICE: Service(SERVICE)},
        organisations=organisations,
        keys=keys or {},
        **options,
    )


def authenticated_table(**options):
    """Return a table whose only route requires the key ``k`` of organisation ``o``."""
    return make_table(
        make_route(public=False, **options),
        organisations={"o": OrganisationLimits("o")},
        keys={"k": "o"},
    )


def make_context(
    table=None,
    *,
    store=None,
    cloud=None,
    node="n1",
    bounds=None,
    is_first_start=True,
    wire=None,
):
    """Return a context whose background loops are not running."""
    settings = GatewaySettings(
        location=NodeLocation(node, "127.0.0.1", "z", 0, 0, 0, zones=("z",)),
        bounds=bounds or Bounds(),
        duties=frozenset({"usage", "scale"}),
        is_first_start=is_first_start,
    )
    context = Context(
        settings, wire or PlainWire(), store or MemoryStore(), cloud or RecordingCloud()
    )
    if table is not None:
        context.configure(table, b"", "test")
    return context


def connected_peers(count):
    """Return `count` nodes that know each other and receive messages at once."""
    addresses = [f"10.0.{number // 250}.{number % 250}" for number in range(count)]
    nodes = {}

    def deliver(sender):
        def send(message, receivers):
            for receiver in receivers:
                nodes[receiver].receive(message, sender)

        return send

    for number, address in enumerate(addresses):
        node = Peers(make_context(make_table(), node=f"n{number}"))
        node.address = address
        node.known = {
            other: Peer(other, added_at=time.monotonic())
            for other in addresses
            if other != address
        }
        node.datagrams.send = deliver(address)
        nodes[address] = node
    return list(nodes.values())


def make_entry(server_id="i-1", **options):
    """Return a server's registration entry."""
    values = {"service": SERVICE, "address": "127.0.0.1:1", "zone": "z", "slots": 8}
    return ServerEntry(server_id, **(values | options))


def list_origins(context, *versions, path_prefix="/", service=SERVICE):
    """List software versions as origins that streams of a route may have."""
    listed = Event()
    entries = tuple(
        PossibleOrigin(HOST, path_prefix, StreamOrigin(service, version))
        for version in versions
    )
    job = RecordJob(entries, (), lambda *result: listed.set())
    context.origin_recorder.record(job)
    assert listed.wait(1.0)


class RunningGateway:
    """A gateway's request path in front of scripted servers."""

    def __init__(
        self, *servers, table=None, store=None, is_first_start=True, wire=None
    ):
        self.servers = servers
        self.context = make_context(
            table or make_table(),
            store=store,
            is_first_start=is_first_start,
            wire=wire,
        )
        for server in servers:
            entry = make_entry(
                server.id,
                address=server.address,
                software_version=server.software_version,
            )
            self.context.registry.put(entry)
        self.context.registry.is_loaded = True
        self.context.registry.notify_listeners()
        self.listener = CallerListener(
            listen_tcp("127.0.0.1", 0),
            Forwarder(self.context),
            self.context.caller_limits,
            self.context.request_memory,
            self.context.settings.machine.caller_connections,
            self.context.refusals,
        )
        self.listener.start()
        loops = (
            self.context.placer.poll_queues,
            self.context.origin_records.run,
            self.context.origin_recorder.run,
        )
        self.loops = [gevent.spawn(loop) for loop in loops]

    def caller(self):
        """Return a new connection of a caller."""
        return Caller(self.listener.port)

    def call(self, *args, **options):
        """Send one request on a new connection and return its response."""
        caller = self.caller()
        caller.send(*args, **options)
        return caller.receive()

    def __enter__(self):
        return self

    def __exit__(self, *_exc_info):
        gevent.killall(self.loops)
        self.listener.stop_accepting()
        # One that still has bytes to read would go on beside the next test.
        gevent.killall([c.greenlet for c in list(self.listener.connections)])
        for server in self.servers:
            server.stop()


class Response:
    """One response as a caller received it.

    Attributes
    ----------
    whole : bool
        Whether it is complete.
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
    """A caller's connection, on which a test can also send raw bytes."""

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
        """Return the next response, or ``None`` if the connection ended before one."""
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
        return Response(status, headers, body, whole)

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
        """Close the connection."""
        self.sock.close()


def gateway_with_two_servers(first, second=ok, **route):
    """Return a gateway and two servers; the first request follows `first`."""
    script = [first, second]

    def next_entry(sock, received):
        return (script.pop(0) if script else ok)(sock, received)

    servers = [
        ScriptedServer(next_entry, next_entry, server_id=name)
        for name in ("i-1", "i-2")
    ]
    return RunningGateway(*servers, table=make_table(make_route(**route)))


def count_received_requests(running):
    """Return how many requests the servers of a running gateway received."""
    return sum(len(server.received) for server in running.servers)


def freeze_time(context, wall):
    """Fix the context's cluster clock at `wall`, seconds."""
    context.cluster_clock = ClusterClock(lambda: 0.0, lambda: wall)
