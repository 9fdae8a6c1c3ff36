"""Fakes of the platform and of backend servers that speak their published protocols.

They run in the soak's process, which therefore observes each call and each run.
"""

import base64
import hashlib
import json
import re
import socket
import struct
import zlib
from collections import Counter
from urllib.parse import parse_qsl

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from soak.endless_bodies import send_without_end
from soak.faulty_answers import LONG_BODY_BYTES, send_half, send_invalid
from soak.foreign_bytes import SpoiltStream
from soak.invariants import LimitedServer, RestingServer
from soak.network import reset

FRAME = struct.Struct(">I")
ENDS = struct.Struct(">QQ")
CONFIGURATION = "keyed.op"
STATUS = "keyed.status"
SERVERS = "keyed.servers"
EVENTS = 8
EVENT_GAP_S = 0.03
WORK_S = 0.02
CRASHING_PATH = "/safe/crash"
SLOW_PATH, SLOW_S = "/slow", 0.7
"""End of the paths of slow requests, and the time that they take, seconds."""

LONG_PART_TOKENS = 1_000
PREFILL_TOKENS_PER_S = 60_000
"""Least length of a part of a prompt that takes time to compute, and the rate."""

EVENT_VERSION = re.compile(rb"^data: (\S+) ", re.MULTILINE)
SLOTS = 6
QUEUE = 6


class Handler(WSGIHandler):
    """Gives the application the caller's socket, to reset the connection with."""

    def get_environ(self):
        environ = super().get_environ()
        environ["soak.socket"] = self.socket
        return environ


class Listener:
    """An HTTP server whose open connections can be reset together."""

    def __init__(self, host, port):
        self.pool = Pool()
        self.server = WSGIServer(
            (host, port),
            self.application,
            log=None,
            error_log=None,
            handler_class=Handler,
            spawn=self.pool,
        )
        self.server.start()
        self.sockets = set()

    @property
    def address(self):
        return "{}:{}".format(*self.server.address)

    def application(self, environ, start):
        self.sockets.add(environ["soak.socket"])
        try:
            body = environ["wsgi.input"].read()
        except OSError:
            return []  # the connection ended before the request was complete
        return self.handle(environ, body, start)

    def handle(self, environ, body, start):
        raise NotImplementedError

    def stop(self):
        """Stop and reset all connections, as the death of a process does."""
        self.server.close()
        for sock in self.sockets:
            reset(sock)
        self.pool.kill(block=False)


def respond(start, status, data=b"", headers=()):
    """Send a response with `data`, encoded as JSON unless it is bytes."""
    if not isinstance(data, bytes):
        data = json.dumps(data).encode()
    names = {"Content-Length": str(len(data))} | dict(headers)
    start(f"{status} Some Reason", list(names.items()))
    return [data]


def send_unframed(sock, headers, pieces):
    """Send a response without a length or chunks, which the connection's end ends."""
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "Connection: close"])
    try:
        sock.sendall(head.encode() + b"\r\n\r\n")
        for piece in pieces:
            sock.sendall(piece)
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        pass  # the node has closed the connection
    return []


def broken_off(events, drawn):
    """Yield some of the events and a part of the next one, as `drawn` says."""
    passed = drawn % EVENTS
    for number, piece in enumerate(events):
        if number == passed:
            yield piece[: 1 + drawn // EVENTS % (len(piece) - 1)]
            return
        yield piece


class FakeStore(Listener):
    """The platform's store: a log of records by topic.

    Attributes
    ----------
    down : bool
        Whether every call is refused with 503.
    losing_responses : bool
        Whether appends are carried out and their responses lost.
    silent : bool
        Whether calls that arrive now never get a response; their connections stay open.
    fault_ended_at : float
        When the last fault ended, seconds on the monotonic clock; infinite during one.
    stale_ends : Counter or None
        Where reads say that the topics end, if they are out of date.
    call_s : float
        Time to handle one call, seconds. If it isn't 0, calls are handled one after the
        other, also those that were given up.
    """

    def __init__(self, host, port, *, call_s=0.0):
        self.call_s = call_s
        self.busy = BoundedSemaphore(1)
        self.topics = {}
        self.appended = Event()
        self.down = self.losing_responses = self.silent = False
        self.fault_ended_at = 0.0
        self.stale_ends = None
        super().__init__(host, port)

    def become_stale(self):
        """Answer reads with what the topics hold now, whatever comes later."""
        ends = {topic: len(records) for topic, records in self.topics.items()}
        self.stale_ends = Counter(ends)

    def put(self, topic, key, value):
        """Append one keyed record, as the operators and the servers do."""
        name = key.encode()
        self._append(topic, [bytes([len(name)]) + name + value])

    def _append(self, topic, records):
        self.topics.setdefault(topic, []).extend(records)
        self.appended.set()
        self.appended.clear()

    def handle(self, environ, body, start):
        if self.silent:
            Event().wait()
        if self.down:
            return respond(start, 503)
        if self.call_s:
            with self.busy:
                gevent.sleep(self.call_s)
        query = dict(parse_qsl(environ["QUERY_STRING"]))
        records = self.topics.setdefault(query.get("topic", ""), [])
        call = environ["PATH_INFO"]
        if call == "/log-append":
            return self._handle_append(environ, start, query, records, body)
        if self.stale_ends is not None:
            records = records[: self.stale_ends[query["topic"]]]
        if call == "/log-read":
            return self._handle_read(start, query, records)
        if call == "/log-newest":
            return respond(start, 200, _newest(records))
        return respond(start, 404)

    def _handle_append(self, environ, start, query, records, body):
        if "at" in query and int(query["at"]) != len(records):
            return respond(start, 412, {"end": len(records)})
        offset, found = len(records), []
        while body:
            (length,) = FRAME.unpack_from(body)
            found.append(body[FRAME.size : FRAME.size + length])
            body = body[FRAME.size + length :]
        self._append(query["topic"], found)
        if self.losing_responses:
            reset(environ["soak.socket"])
        return respond(start, 200, {"offset": offset, "end": len(records)})

    def _handle_read(self, start, query, records):
        first = int(query["from"])
        with gevent.Timeout(int(query.get("wait_ms", 0)) / 1000 or 0.001, False):
            while len(records) <= first and not self.down:
                self.appended.wait()
        framed = [FRAME.pack(len(record)) + record for record in records[first:]]
        return respond(start, 200, ENDS.pack(len(records), 0) + b"".join(framed))


def _newest(records):
    items = {}
    for offset, record in enumerate(records):
        end = 1 + record[0]
        items[record[1:end]] = (offset, record[end:])
    return {
        "items": [
            {
                "key": key.decode(),
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in sorted(items.items())
            if value
        ],
        "truncated": False,
        "end": len(records),
    }


class FakeCloud(Listener):
    """The cloud service that receives orders of servers and usage reports.

    Attributes
    ----------
    late_report : LateReport or None
        Set while one usage report is late.
    """

    def __init__(self, host, port, checker):
        self.checker = checker
        self.late_report = None
        self.down = self.losing_responses = False
        super().__init__(host, port)

    def handle(self, environ, body, start):
        if self.down:
            return respond(start, 503)
        holder = environ["HTTP_DUTY_HOLDER"]
        counts = environ["PATH_INFO"] == "/usage" and not self.checker.is_resuming(
            holder
        )
        if self.late_report is not None and counts:
            self.late_report.receive(holder)
        self.checker.duty_called(
            environ["PATH_INFO"],
            json.loads(body),
            holder,
            int(environ["HTTP_FENCING_TOKEN"]),
        )
        if self.losing_responses:
            reset(environ["soak.socket"])
        return respond(start, 200, {})


def plain_body(request_id):
    """Return the expected response body of a plain request."""
    return hashlib.sha256(request_id.encode()).hexdigest().encode() * 8


def event(request_id, number, version):
    """Return the expected bytes of one event of a stream, made by `version`."""
    data = hashlib.sha256(f"{request_id}/{number}".encode()).hexdigest()
    return f"id: {number}\ndata: {version} {data}\n\n".encode()


def versions_in(body):
    """Return the software versions that made the events of a stream, in order."""
    return [match[1].decode() for match in EVENT_VERSION.finditer(body)]


class FakeServer(Listener):
    """A backend server.

    Attributes
    ----------
    error_share : float
        Share of requests that get a 500 after they ran.
    work_s, event_gap_s : float
        Time to run a plain request, and between two events of a stream, seconds.
    limit : float or None
        Requests a second that it takes from all nodes together, named in its responses.
    rest_s : float or None
        Time for which it asks each node for rest whose request it turns away, as it
        does with all; ``None`` if it serves requests.
    running_ids : set of str
        The requests that it runs.
    leaving : bool
        Whether it says in its responses that it leaves, whatever its entry says.
    says_state : bool
        Whether it says in its responses that it leaves as soon as its entry does.
    drained_at : float or None
        When its entry first said that it leaves, seconds since the beginning.
    unframed : bool
        Whether its responses have neither a length nor chunks.
    broken_share : float
        Share of its streams without a length or chunks that end inside an event.
    endless_share : float
        Share of its answers in place of which it sends bytes without end.
    foreign_share : float
        Share of its streams that hold bytes that are no part of them.
    cut_share : float
        Share of its answers that have no length and are reset amid their bodies.
    invalid_share : float
        Share of its answers in place of which it sends what is none.
    copies : SecondCopies or None
        The refusals that it sends twice, while it does.
    backend : Backend
        What this server runs for.
    version : str
        Version of its software.
    parts : set of str
        The long parts of prompts that it has computed.
    slowdown : float
        How long work takes there now, as a multiple of the usual time.
    may_be_mistaken : bool
        Whether nodes may take it for an earlier server of other software. They may then
        send a stream on to it, though they must pass none of its events on.
    """

    def __init__(self, host, port, *, server_id, service, born, checker, backend):
        self.id = server_id
        self.backend = backend
        self.version = backend.version
        self.slots = backend.usual_slots
        self.limit = None
        self.limited = None
        self.rest_s = None
        self.resting = RestingServer()
        self.leaving = False
        self.says_state = True
        self.drained_at = None
        self.told_at = {}
        self.service = service
        self.born = born
        self.checker = checker
        self.running = 0
        self.running_ids = set()
        self.error_share = 0.0
        self.unframed = False
        self.broken_share = 0.0
        self.endless_share = 0.0
        self.foreign_share = 0.0
        self.cut_share = self.invalid_share = 0.0
        self.copies = None
        self.work_s = WORK_S
        self.slowdown = 1.0
        self.may_be_mistaken = False
        self.event_gap_s = EVENT_GAP_S
        self.number = 0
        self.parts = set()
        super().__init__(host, port)

    def entry(self, address, zone, state="ready", leaves_s=None):
        """Return the next entry that this server writes to the store."""
        self.number += 1
        entry = {
            "service": self.service,
            "address": address,
            "zone": zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "sequence": self.number,
            "born": self.born,
        }
        if leaves_s is not None:
            entry |= {"spot": True, "leaves_ms": leaves_s * 1000}
        return json.dumps(entry).encode()

    def application(self, environ, start):
        """Handle a request; answer a long one before it is read if it is to be cut."""
        sock = environ["soak.socket"]
        if self.copies is not None:
            self.copies.send_pending(sock)
        request_id = environ.get("HTTP_REQUEST_ID", "")
        is_long = int(environ.get("CONTENT_LENGTH") or 0) >= LONG_BODY_BYTES
        if is_long and self._draws(f"{request_id}/cut", self.cut_share):
            return send_half(sock, *self._cut_answer(environ, request_id))
        return super().application(environ, start)

    def _cut_answer(self, environ, request_id):
        """Return the headers and the first part of the body of an answer."""
        self.checker.spoilt.add(request_id)
        headers = {"Request-Id": request_id, "Response-Seal": "made"}
        if not environ["PATH_INFO"].startswith("/stream"):
            body = plain_body(request_id)
            return headers, body[: len(body) // 2]
        headers["Content-Type"] = "text/event-stream"
        first = int(environ.get("HTTP_LAST_EVENT_ID") or 0) + 1
        pieces = [event(request_id, first, self.version)]
        self.checker.pieces[request_id].update(pieces)
        return headers, b"".join(pieces)

    def handle(self, environ, body, start):
        request_id = environ.get("HTTP_REQUEST_ID", "")
        headers = {
            "Request-Id": request_id,
            "Server-Load": self._load(),
        }
        headers |= self._limit_headers(request_id)
        headers |= self._leaving_headers(request_id)
        brittle = self.backend.brittle
        if brittle is not None:
            headers["Server-Brittle"] = str(brittle.rejections)
        if environ.get("HTTP_EXPECT_INSTANCE", self.id) != self.id:
            return respond(start, 421, b"", headers | {"Not-Run": "1"})
        if environ.get("HTTP_EXPECT_VERSION", self.version) != self.version:
            told = {"Not-Run": "1", "Instance-Id": self.id}
            return respond(start, 421, b"", headers | told)
        if self._turns_away(request_id):
            rest = {"Not-Run": "1", "Retry-After": f"{self.rest_s:.3g}"}
            return respond(start, 503, b"", headers | rest)
        few_slots = self.backend.few_slots
        if few_slots is not None:
            few_slots.arrived(self.backend, request_id)
        room = brittle.room if brittle is not None else QUEUE
        if not request_id or self.running >= self.slots + room:
            if brittle is not None:
                brittle.rejected(self.backend, request_id)
            return respond(start, 503, b"", headers | {"Not-Run": "1"})
        if self.copies is not None:
            refusal = headers | {"Not-Run": "1"}
            if self.copies.refuses(request_id, environ["soak.socket"], refusal):
                return respond(start, 503, b"", refusal)
        headers["Response-Seal"] = "made"
        rollout = self.backend.fleet.rollouts.get(self.service)
        if rollout is not None:
            rollout.received(self.backend)
        for part in self.crashing_parts(environ):
            part.received(self._node_of(request_id))
        if self.backend.uneven is not None:
            self.backend.uneven.received(self, self._node_of(request_id))
        self.checker.request_started(
            request_id, self.id, environ.get("HTTP_TENANT", "")
        )
        self.running += 1
        self.running_ids.add(request_id)
        try:
            hanging = self.backend.fleet.hanging_fetches
            if hanging is not None and "HTTP_KV_FETCH" in environ:
                hanging.fetch(request_id, environ["HTTP_KV_FETCH"])
            self._prefill(request_id, environ)
            if environ["PATH_INFO"].startswith(CRASHING_PATH):
                self.checker.server_crashed(environ["PATH_INFO"])
                self.backend.crash_soon()
                Event().wait()
            for part in self.crashing_parts(environ):
                self.backend.crash_soon()
                part.server_ended()
                Event().wait()
            if self._draws(f"{request_id}/version", self.backend.failing):
                if rollout is not None:
                    rollout.failed()
                return respond(start, 500, b"no", headers)
            if self._draws(request_id, self.error_share):
                return respond(start, 500, b"no", headers)
            if self._draws(f"{request_id}/endless", self.endless_share):
                return send_without_end(environ["soak.socket"], request_id)
            if self._draws(f"{request_id}/invalid", self.invalid_share):
                self.checker.spoilt.add(request_id)
                return send_invalid(environ["soak.socket"], request_id)
            if environ["PATH_INFO"].endswith(SLOW_PATH):
                gevent.sleep(SLOW_S)
            if self._draws(f"{request_id}/cut", self.cut_share):
                answer = self._cut_answer(environ, request_id)
                return send_half(environ["soak.socket"], *answer)
            if environ["PATH_INFO"].startswith("/stream"):
                return self._stream(request_id, environ, start, headers)
            more_s = few_slots.work_s if few_slots else 0.0
            gevent.sleep((self.work_s + more_s) * self.slowdown)
            headers["Server-Load"] = self._load()
            if self.backend.uneven is not None:
                node = self._node_of(request_id)
                self.backend.uneven.told(self.id, node, self.slowdown)
            if self.unframed:
                body = [plain_body(request_id)]
                return send_unframed(environ["soak.socket"], headers, body)
            return respond(start, 200, plain_body(request_id), headers)
        finally:
            self.running -= 1
            self.running_ids.discard(request_id)

    def _prefill(self, request_id, environ):
        """Compute the long parts of a prompt that this server has not computed yet.

        While demand exceeds what the engines begin, each prompt takes its time.
        """
        demand = self.backend.fleet.demand
        if demand is not None and "HTTP_TOKEN_COUNTS" in environ:
            demand.prefill(self, request_id, environ)
            return
        for entry in environ.get("HTTP_PROMPT_PREFIX", "").split(","):
            part, _, tokens = entry.partition(":")
            if int(tokens or 0) >= LONG_PART_TOKENS and part not in self.parts:
                gevent.sleep(int(tokens) / PREFILL_TOKENS_PER_S)
                self.parts.add(part)

    def _load(self):
        """Return the load that this server states, with its slowdown if it changes."""
        load = f"{self.running},0,{self.slots}"
        if self.backend.uneven is None:
            return load
        return f"{load},{100 * self.slowdown:.0f}"

    def crashing_parts(self, environ):
        """Return the parts of a prompt, its last one aside, that crash servers now."""
        entries = environ.get("HTTP_PROMPT_PREFIX", "").split(",")[:-1]
        names = [entry.partition(":")[0] for entry in entries]
        parts = self.backend.fleet.crashing_parts
        return [parts[name] for name in names if name in parts]

    def _node_of(self, request_id):
        """Return the node that sent a request; ``None`` if it is not known."""
        request = self.checker.requests.get(request_id)
        return request.node if request is not None else None

    def _turns_away(self, request_id):
        """Check the rests asked for, and return whether to ask for another one."""
        self.checker.resting_server_received(
            self.id, self.resting, request_id, self.backend.is_undisturbed
        )
        node = self._node_of(request_id)
        if self.rest_s is None or node is None:
            return False
        self.resting.ask(node, self.checker.clock(), self.rest_s)
        return True

    def _leaving_headers(self, request_id):
        """Return the announcement that this server leaves, and note who got it."""
        self.checker.leaving_server_received(
            self.id, self.told_at, request_id, self.backend.is_undisturbed
        )
        self.checker.drained_server_received(
            self.id, self.drained_at, request_id, self.backend.fleet.is_in_contact
        )
        says_so = self.says_state and self.backend.state == "draining"
        if not (self.leaving or says_so):
            return {}
        node = self._node_of(request_id)
        if node is not None:
            self.told_at.setdefault(node, self.checker.clock())
        return {"Server-Leaving": "1"}

    def _limit_headers(self, request_id):
        """Count a request against this server's limit; return the limit's header."""
        if self.limit is None:
            self.limited = None
            return {}
        now = self.checker.clock()
        if self.limited is None or self.limited.limit != self.limit:
            self.limited = LimitedServer(self.limit, now)
        self.checker.limited_server_received(
            self.id, self.limited, request_id, self.backend.is_undisturbed
        )
        request = self.checker.requests.get(request_id)
        if request is not None:
            self.limited.told_at.setdefault(request.node, now)
        return {"Server-Limit": f"{self.limit:g}"}

    def _draws(self, request_id, share):
        # CRC-32, since the built-in hash of a string differs between processes.
        drawn = zlib.crc32(f"{request_id}/{self.id}".encode()) % 100
        return drawn < share * 100

    def _stream(self, request_id, environ, start, headers):
        first = int(environ.get("HTTP_LAST_EVENT_ID") or 0) + 1
        headers |= {"Content-Type": "text/event-stream"}
        began_as = environ.get("HTTP_RESUMES") if first > 1 else None
        stream = began_as or request_id
        if not self.may_be_mistaken:
            self.checker.stream_goes_on(stream, first - 1, self.version)
        events = self._events(request_id, first, stream)
        if self._draws(f"{request_id}/foreign", self.foreign_share):
            return self._spoilt(request_id, first, environ, start, headers, events)
        if self.unframed:
            if self._draws(request_id, self.broken_share):
                events = broken_off(events, zlib.crc32(request_id.encode()))
            return send_unframed(environ["soak.socket"], headers, events)
        start("200 OK", list(headers.items()))
        return events

    def _spoilt(self, request_id, first, environ, start, headers, events):
        """Send a stream that holds foreign bytes."""
        spoilt = SpoiltStream.draw(f"{request_id}/{self.id}", first - 1)
        if spoilt.framing == "connection":
            pieces = spoilt.pieces(events)
            return send_unframed(environ["soak.socket"], headers, pieces)
        if spoilt.framing == "length":
            numbers = range(first, EVENTS + 1)
            planned = [event(request_id, number, self.version) for number in numbers]
            length = sum(map(len, spoilt.pieces(planned)))
            headers = headers | {"Content-Length": str(length)}
        start("200 OK", list(headers.items()))
        return spoilt.pieces(events)

    def _events(self, request_id, first, stream):
        self.running += 1
        self.running_ids.add(request_id)
        try:
            for number in range(first, EVENTS + 1):
                gevent.sleep(self.event_gap_s)
                piece = event(request_id, number, self.version)
                if not self.may_be_mistaken:
                    self.checker.event_made(stream, number, self.version)
                self.checker.pieces[request_id].add(piece)
                yield piece
        finally:
            self.running -= 1
            self.running_ids.discard(request_id)
