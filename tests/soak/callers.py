"""Callers that reuse connections and check the responses."""

import hashlib
import itertools
from dataclasses import dataclass, replace
from http.client import HTTPException, HTTPResponse, IncompleteRead

import gevent
from gevent import socket as gsocket

from soak.invariants import CONTACT_S, DEADLINE_GRACE_S, IN_FORCE_S, SentRequest
from soak.standins import (
    CRASHING_PATH,
    EVENT_VERSION,
    EVENTS,
    event,
    plain_body,
    versions_in,
)

HOST = "made.example"
CONNECT_S = 1.0
DEADLINE_S = 3.0
PROMPT_TOKENS, MAX_TOKENS = 60, 40
PLAIN_UNITS = 20
PROBE_GAP_S = 0.15
REFUSED_PAUSE_S = 0.1
CRASH_GAP_S = 0.6
PART_GAP_S = 0.25
FAVOURED_SHARE = 0.9
COMMON_PART = "aa"
"""Part that the prompts of all sound requests share."""

TAKE_UPS, TAKE_UP_PAUSE_S = 20, 0.3
"""How often a caller takes up a stream at most, and the pause before it tries again."""

TURNS = 3
"""How often each node gets a request that crashes servers after others have had it: at
times no server is left to crash."""

KNOWN_CRASHES, MAX_LATE_CRASHES = 3, 3
"""Crashes of servers by one request after which all nodes in contact must know of it,
and how many more it may then cause."""

MAX_STALL_S = DEADLINE_GRACE_S / 2
"""Lag of the soak's own event loop up to which a missed deadline counts as the node's,
seconds."""


@dataclass(frozen=True)
class RequestKind:
    """A kind of request; servers may run one of them `max_runs` times."""

    name: str
    path: str
    route_kind: str
    max_runs: int
    resumable: bool = False

    @property
    def streams(self):
        return self.route_kind == "streaming"


KINDS = (
    RequestKind("safe", "/safe/", "safe", 3),
    RequestKind("unsafe", "/unsafe/", "unsafe", 1),
    RequestKind("stream", "/stream/", "streaming", 1),
    RequestKind("resumable", "/stream-on/", "streaming", 3, resumable=True),
)


@dataclass(frozen=True)
class BrokenStream:
    """A stream that was broken off, and what its caller has of it.

    Attributes
    ----------
    first_id, last_id : str
        Ids of the tries that brought its first event and its last one.
    versions : tuple of str
        The software version that made each event.
    named_id : str
        Id of the try that the next one names.
    """

    first_id: str
    last_id: str
    versions: tuple[str, ...]
    named_id: str = ""

    @property
    def events(self):
        return len(self.versions)


class Caller:
    """Sends requests one after the other, each with its own id.

    Attributes
    ----------
    broken : BrokenStream or None
        The stream that the last request has left broken off.
    versions : tuple of str
        The software versions of the events of the last stream, over all its tries.
    first_event_at : float or None
        When the first bytes of the last answer came, seconds since the beginning.
    retry_after_s : float
        When the last answer says to come back, seconds; not a number if never.
    body : bytes
        The body of each request.
    """

    body = b"body"

    def __init__(self, fleet, random, organisation):
        self.versions, self.first_event_at = (), None
        self.retry_after_s = float("nan")
        self.fleet = fleet
        self.random = random
        self.organisation = organisation
        self.sock = None
        self.node = None
        self.broken = None
        self.received = b""

    def run(self):
        """Call until killed; the body of a greenlet."""
        while True:
            kind = self.random.choice(KINDS)
            outcome = self.call(kind, f"{kind.path}x", self.organisation)
            if kind.resumable and self.broken is not None:
                outcome = self._resume(kind)
            pause = self.random.expovariate(20)
            gevent.sleep(pause + (REFUSED_PAUSE_S if outcome != 200 else 0.0))

    def _resume(self, kind):
        """Take up the stream that was broken off, at any node, up to `TAKE_UPS` times.

        Each try names the first one or the last one that brought events.
        """
        for _ in range(TAKE_UPS):
            node = self.random.choice(self.fleet.nodes)
            named = self.random.choice(("first", "last"))
            outcome = self.take_up(kind, node, named)
            self.fleet.checker.counts[f"resumption {outcome}"] += 1
            if isinstance(outcome, int) or self.broken is None:
                break
            gevent.sleep(TAKE_UP_PAUSE_S)
        return outcome

    def take_up(self, kind, node, named):
        """Take up the stream that was broken off, at a node; return the outcome.

        Parameters
        ----------
        named : str
            The try that is named, of those that brought events: ``first`` or ``last``,
            or ``none``.
        """
        ids = {"first": self.broken.first_id, "last": self.broken.last_id, "none": ""}
        broken = replace(self.broken, named_id=ids[named])
        return self.call(kind, f"{kind.path}x", self.organisation, node, broken)

    def call(
        self, kind, path, organisation, node=None, resumes=None, parts=(COMMON_PART,)
    ):
        """Send one request and check how it ends; return the status or the failure.

        Parameters
        ----------
        resumes : BrokenStream or None
            The stream that it takes up.
        parts : tuple of str
            Ids of the parts of its prompt, but for the last one, which is its own; with
            a colon and a number of tokens if it isn't 20.
        """
        fleet = self.fleet
        self.broken, self.received, self.first_event_at = resumes, b"", None
        opens = self.random.random() < (0.05 if fleet.favoured is None else 0.5)
        if node is not None or self.sock is None or opens:
            self.close()
            self.node = node or self._choose_node()
            if not self.connect():
                return "no connection"
        is_crashing = parts != (COMMON_PART,)
        request_id, sent_at = self.register(kind, organisation, is_crashing=is_crashing)
        head = encode_request(
            kind, path, request_id, organisation, resumes, parts, self.body
        )
        return self.exchange(kind, head, request_id, sent_at, resumes)

    def register(self, kind, organisation, *, is_crashing=False):
        """Note a request that is sent now; return its id and when that is."""
        request_id = f"{self.random.getrandbits(64):016x}"
        units = PROMPT_TOKENS + MAX_TOKENS if kind.streams else PLAIN_UNITS
        sent_at = self.fleet.clock()
        self.fleet.checker.request_sent(
            request_id,
            SentRequest(
                kind.name,
                self.node.name,
                organisation,
                kind.max_runs,
                units,
                sent_at,
                DEADLINE_S,
                is_crashing=is_crashing,
            ),
        )
        return request_id, sent_at

    def _choose_node(self):
        """Return the node to which the platform hands a new connection."""
        favoured = self.fleet.favoured
        if favoured is not None and self.random.random() < FAVOURED_SHARE:
            return favoured
        return self.random.choice(self.fleet.nodes)

    def close(self):
        if self.sock is not None:
            self.sock.close()
        self.sock = None

    def connect(self):
        """Connect to the node; return whether it accepted."""
        host, port = self.node.link.address.rsplit(":", 1)
        try:
            self.sock = gsocket.create_connection((host, int(port)), CONNECT_S)
        except OSError:
            return False
        self.sock.settimeout(DEADLINE_S + DEADLINE_GRACE_S)
        return True

    def exchange(self, kind, head, request_id, sent_at, resumes):
        """Send bytes and check what comes; return the status or the failure."""
        checker = self.fleet.checker
        response = None
        stalled_s = self.fleet.lag.stalled_s
        try:
            with gevent.Timeout(DEADLINE_S + DEADLINE_GRACE_S, TimeoutError("hung")):
                self.sock.sendall(head)
                response = HTTPResponse(self.sock, method="POST")
                response.begin()
                body = self._read(response)
        except TimeoutError:
            self.close()
            stalled = self.fleet.lag.stalled_s - stalled_s > MAX_STALL_S
            if not stalled and self.node.was_healthy(sent_at):
                checker.deadline_missed(request_id)
            checker.request_ended(request_id, "stalled" if stalled else "hung")
            return "hung"
        except (OSError, HTTPException) as error:
            self.close()
            if kind.streams and getattr(response, "status", None) == 200:
                self._note_events(request_id, self.received)
            return self._handle_disconnect(kind, response, request_id, sent_at, error)
        if response.status == 200 and kind.streams:
            self._note_events(request_id, body)
            self.broken = None
        self.retry_after_s = float(response.headers.get("Retry-After", "nan"))
        if response.status in (502, 504) and self.node.was_healthy(sent_at):
            self._check_not_given_up(kind, request_id, sent_at)
        received = resumes.events if resumes is not None else 0
        correct = _is_correct(kind, request_id, response, body, received)
        checker.request_ended(
            request_id,
            response.status,
            complete=response.status == 200,
            correct=correct,
        )
        if response.will_close:
            self.close()
        return response.status

    def _read(self, response):
        """Return the body; keep what came of it should the stream break off."""
        self.received = b""
        while data := response.read1():
            self.first_event_at = self.first_event_at or self.fleet.clock()
            self.received += data
        if response.length:
            raise IncompleteRead(self.received, response.length)
        return self.received

    def _note_events(self, request_id, body):
        """Note the complete events of a try, and check the versions of all so far."""
        after = self.broken.events if self.broken is not None else 0
        self.fleet.checker.stream_received(request_id, body, after)
        versions = tuple(versions_in(body[: body.rfind(b"\n\n") + 2]))
        if not versions:
            return
        first_id = request_id
        if self.broken is not None:
            versions, first_id = self.broken.versions + versions, self.broken.first_id
        self.broken = BrokenStream(first_id, request_id, versions)
        self.versions = versions
        self.fleet.checker.check_text(first_id, versions)

    def _check_not_given_up(self, kind, request_id, sent_at):
        """Check that a request was not given up because its server was silent."""
        fleet = self.fleet
        running = fleet.checker.runs[request_id][-1:]
        for backend in fleet.backends:
            is_last = backend.server is not None and [backend.server.id] == running
            in_time = fleet.clock() - sent_at < DEADLINE_S - MAX_STALL_S
            if is_last and in_time and backend.silent and backend.is_sound(sent_at):
                fleet.checker.record_violation(
                    "silence", f"{kind.name} {request_id} at {running[0]}"
                )

    def _handle_disconnect(self, kind, response, request_id, sent_at, error):
        checker = self.fleet.checker
        if response is not None and response.headers is not None:
            if self.node.was_healthy(sent_at) and not self.node.was_cut(sent_at):
                self._check_not_given_up(kind, request_id, sent_at)
            checker.request_ended(request_id, "cut")
            return "cut"
        if self.node.was_healthy(sent_at):
            checker.connection_closed(request_id)
        checker.request_ended(request_id, "closed")
        return f"closed ({error!r})"


def encode_request(
    kind,
    path,
    request_id,
    organisation,
    resumes=None,
    parts=(COMMON_PART,),
    body=b"body",
):
    """Return the bytes of a request."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {int(DEADLINE_S * 1000)}",
        f"Content-Length: {len(body)}",
    ]
    if resumes is not None:
        lines.append(f"Last-Event-Id: {resumes.events}")
        if resumes.named_id:
            lines.append(f"Resumes: {resumes.named_id}")
    if organisation:
        lines.append(f"Authorization: Bearer key-{organisation}")
    if kind.streams:
        own = hashlib.sha256(request_id.encode()).hexdigest()[:8]
        sized = [part if ":" in part else f"{part}:20" for part in (*parts, own)]
        tokens = sum(int(part.partition(":")[2]) for part in sized)
        prefix = ",".join(sized)
        lines += [
            "Model: m",
            f"Token-Counts: {max(PROMPT_TOKENS, tokens)},{MAX_TOKENS}",
            f"Prompt-Prefix: {prefix}",
        ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def _is_correct(kind, request_id, response, body, received=0):
    """Return whether a complete response of status 200 has the expected content."""
    if response.status != 200:
        return True
    if not response.headers.get("Response-Seal"):
        return False
    if kind.streams:
        numbers = range(received, EVENTS)
        expected = b"".join(event(request_id, n + 1, "any") for n in numbers)
        return _without_versions(body) == _without_versions(expected)
    return body == plain_body(request_id)


def _without_versions(body):
    return EVENT_VERSION.sub(b"data: ", body)


class Prober(Caller):
    """Probes which version of the configuration each node serves."""

    def run(self):
        """See :meth:`Caller.run`."""
        probe = RequestKind("probe", "", "safe", 3)
        while True:
            gevent.sleep(PROBE_GAP_S)
            node = self.random.choice(self.fleet.nodes)
            newest = self.fleet.version
            version = self.random.choice((newest, newest, max(1, newest - 1)))
            due = self._is_due(node)
            probed_at, process = self.fleet.clock(), node.starts
            outcome = self.call(probe, f"/version-{version}/x", "", node)
            if node.starts != process:
                continue
            name = f"{node.name}#{process}"
            if outcome == 200:
                self.fleet.checker.version_served(name, probed_at, version)
            if due and is_stale(outcome, version, newest, self.fleet.version):
                self.fleet.checker.version_stale(name, version, newest)

    def _is_due(self, node):
        """Return whether `node` has to serve the newest version by now."""
        now = self.fleet.clock()
        confirmed = now - self.fleet.configured_at > IN_FORCE_S
        stalled_s = self.fleet.lag.stalled_within(IN_FORCE_S + CONTACT_S)
        return (
            confirmed and stalled_s < MAX_STALL_S and node.is_connected(now - CONTACT_S)
        )


class CrashingCaller(Caller):
    """Sends a request that crashes servers to all nodes, and checks how often it runs.

    Parameters
    ----------
    content : str
        Distinguishes this request from others that crash servers.

    Attributes
    ----------
    late_crashes : int
        Servers that it has crashed at nodes that had to know of three crashes.
    first_nodes : list of NodeProcess
        Nodes that get the request at first.
    turns : list of NodeProcess
        The other nodes, several times each, in the order in which they get it once the
        first ones must have told them of it.
    """

    def __init__(self, fleet, random, content):
        super().__init__(fleet, random, "")
        self.path = f"{CRASHING_PATH}/{content}"
        self.late_crashes = 0
        nodes = random.sample(fleet.nodes, len(fleet.nodes))
        half = len(nodes) // 2
        self.first_nodes, self.turns = nodes[:half], TURNS * nodes[half:]

    def run_for(self, seconds):
        """Send the request until `seconds` have passed."""
        checker = self.fleet.checker
        began_at = self.fleet.clock()
        end = began_at + seconds
        while self.fleet.clock() < end:
            node = self._next_node(began_at + seconds / 2)
            due, before = self._is_due(node), len(checker.crashes[self.path])
            self.call(KINDS[0], self.path, "free", node)
            self.late_crashes += due * (len(checker.crashes[self.path]) - before)
            if self.late_crashes > MAX_LATE_CRASHES:
                checker.record_violation(
                    "crashing request", f"{self.path} at {node.name}"
                )
                return
            gevent.sleep(CRASH_GAP_S)

    def _next_node(self, spread_at):
        """Return where to send next; all nodes get the request from `spread_at` on."""
        if not self.turns:
            return self.random.choice(self.fleet.nodes)
        if self._is_known(self.fleet.clock()) or self.fleet.clock() > spread_at:
            return self.turns.pop()
        return self.random.choice(self.first_nodes)

    def _is_known(self, now):
        """Return whether three crashes lie far enough back that nodes know them."""
        crashes = self.fleet.checker.crashes[self.path]
        return (
            len(crashes) >= KNOWN_CRASHES
            and now - crashes[KNOWN_CRASHES - 1] > CONTACT_S
        )

    def _is_due(self, node):
        """Return whether `node` must know of three crashes by now."""
        now = self.fleet.clock()
        return (
            self._is_known(now)
            and self.fleet.lag.stalled_within(CONTACT_S) < MAX_STALL_S
            and node.is_connected(now - CONTACT_S)
        )


class CrashingPartCaller(Caller):
    """Sends requests that share a part on which servers crash, and nothing else.

    Parameters
    ----------
    part : str
        Id of that part.
    """

    def __init__(self, fleet, random, part):
        super().__init__(fleet, random, "")
        self.part = part

    def run_for(self, seconds):
        """Send such requests to all nodes until `seconds` have passed."""
        end = self.fleet.clock() + seconds
        stream = KINDS[2]
        for number in itertools.count():
            if self.fleet.clock() >= end:
                return
            node = self.random.choice(self.fleet.nodes)
            parts = (COMMON_PART, f"{number:04x}", self.part)
            self.call(stream, f"{stream.path}{number}", "free", node, None, parts)
            gevent.sleep(PART_GAP_S)


def is_stale(outcome, version, newest_before, newest_after):
    """Return whether a probe of `version` shows that its node serves an older one.

    Each version that was the newest between the probe's start and its end is right.

    Parameters
    ----------
    newest_before, newest_after : int
        Newest version in the store when the probe started and when it ended.
    """
    if version < newest_before:
        return outcome == 200
    return outcome == 404 and version == newest_after
