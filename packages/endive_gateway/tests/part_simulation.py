"""Builder of a fleet in simulated time whose servers crash on parts of prompts."""

import itertools
from dataclasses import dataclass, field
from types import SimpleNamespace

import msgspec
from core_builders import call
from endive_core.exceptions import EndiveError, RetryReason
from endive_core.reachability import ConnectResults
from endive_gateway.bootstrap import DECODER
from endive_gateway.crash_exchange import ANNOUNCEMENT_DELAY_S
from endive_gateway.peers import Peer, Peers
from fleet_simulation import SimulatedFleet
from gateway_builders import SERVICE, make_context, make_entry, make_table

ONE_WAY_S = 0.002
"""Time of a message between two nodes, or a node and a server, seconds."""

START_S = 0.08
"""Mean time until a server begins to write an answer, seconds."""

WRITE_S = 0.25
"""Time in which it writes one, seconds."""

CHECK_S = 0.02
"""Time to find out that a server has ended, seconds."""

DOWN_S = 3.0
"""Time until a server that has ended is back under a new id, seconds."""

PULL_S = 0.05
"""Time in which a node takes what another one knows, seconds."""

SLOTS = 8
MAX_ATTEMPTS = 3
DEADLINE_S = 3.0
TARGET_S = 0.5
POLL_S = 0.01
CONTACT_S = 3.0
"""Time within which all nodes in contact must have heard of a crash, seconds."""

KNOWN_CRASHES = 5
"""Crashes after which all nodes in contact must know of a part."""


@dataclass
class PartServer:
    """A server that ends when it begins to write an answer on a crashing part.

    Attributes
    ----------
    requests : dict of PartRequest to None
        Its requests in the order of their arrival; that of a set would vary by run.
    """

    fleet: "PartFleet"
    id: str
    is_up: bool = True
    requests: dict = field(default_factory=dict)

    def arrive(self, request):
        if not self.is_up:
            request.fail(RetryReason.CONNECT_FAILED, started=False)
            return
        self.requests[request] = None
        wait_s = START_S * self.fleet.random.lognormvariate(-0.125, 0.5)
        self.fleet.at(self.fleet.clock.now + wait_s, self.begin, request)
        for part in request.crashing_parts:
            self.fleet.arrivals[part].append(self.fleet.clock.now)

    def begin(self, request):
        if request not in self.requests:
            return
        if request.crashing_parts:
            for part in request.crashing_parts:
                self.fleet.crashes[part].append(self.fleet.clock.now)
            self.crash()
            return
        now = self.fleet.clock.now
        self.fleet.at(now + ONE_WAY_S, request.begun)
        self.fleet.at(now + WRITE_S, self.finish, request)

    def finish(self, request):
        if request in self.requests:
            del self.requests[request]
            self.fleet.at(self.fleet.clock.now + ONE_WAY_S, request.finished)

    def crash(self):
        """End with all requests; another start follows."""
        if not self.is_up:
            return
        self.is_up = False
        self.fleet.ended += 1
        for request in self.requests:
            request.fail(RetryReason.SERVER_FAILED, started=True)
        self.requests.clear()
        self.fleet.at(self.fleet.clock.now + DOWN_S, self.fleet.replace, self)


class PartRequest:
    """A request at one node."""

    def __init__(self, fleet, node, parts, *, retryable):
        self.fleet = fleet
        self.node = node
        self.placer = node.context.placer
        self.parts = parts
        self.retryable = retryable
        self.sent_at = fleet.clock.now
        self.has_begun = False
        self.attempts = 0
        self.ticket = None
        self.server = None

    @property
    def crashing_parts(self):
        return [part for part in self.parts if part in self.fleet.crashing]

    def enter(self):
        number = next(self.fleet.numbers)
        asked = call(
            number,
            fingerprint=f"f{number}",
            shared_parts=self.parts,
            target_s=TARGET_S,
            deadline=self.sent_at + DEADLINE_S,
            non_idempotent=not self.retryable,
            prompt_tokens=0,
            max_tokens=1,
        )
        try:
            self.ticket = self.placer.admit(SERVICE, asked)
        except EndiveError as error:
            self.end_with(str(error.kind), str(error))
        else:
            self.wait()

    def wait(self):
        """Send the request once a server is assigned; queues are polled."""
        result = self.placer.waiting.get(self.ticket)
        if result is None:
            return
        if not result.ready():
            for scheduler in self.placer.schedulers.values():
                self.placer.dispatch_queued(scheduler)
        if not result.ready():
            self.fleet.at(self.fleet.clock.now + POLL_S, self.wait)
            return
        try:
            view = result.get()
        except EndiveError as error:
            self.end_with(str(error.kind), str(error))
            return
        self.server = self.fleet.servers[view.id]
        self.attempts += 1
        due = self.fleet.clock.now + ONE_WAY_S
        self.fleet.at(due, self.server.arrive, self)

    def begun(self):
        if self.ticket in self.placer.ticket_schedulers:
            self.has_begun = True
            self.placer.started(self.ticket)

    def finished(self):
        if self.ticket in self.placer.ticket_schedulers:
            self.placer.finished(self.ticket, 1)
            self.end_with("ok")

    def fail(self, reason, *, started):
        due = self.fleet.clock.now + ONE_WAY_S + (CHECK_S if started else 0.0)
        self.fleet.at(due, self.failed, reason, started)

    def failed(self, reason, started):
        if self.ticket not in self.placer.ticket_schedulers:
            return
        if started:
            reason = self.placer.explain_failure(self.ticket, reason)
        if started and (self.has_begun or not self.retryable):
            self.placer.count_final_failure(self.ticket, reason, started=started)
            self.end_with("broken off")
            return
        try:
            self.placer.failed(
                self.ticket,
                reason,
                started=started,
                max_attempts=MAX_ATTEMPTS + 20 * (not started),
            )
        except EndiveError as error:
            self.end_with(str(error.kind), str(error))
        else:
            self.wait()

    def end_with(self, outcome, message=""):
        if self.ticket is not None:
            self.placer.end(self.ticket)
        self.fleet.ends.append(
            End(
                self.sent_at,
                self.parts,
                bool(self.crashing_parts),
                outcome,
                message,
                self.fleet.clock.now - self.sent_at,
            )
        )


@dataclass(frozen=True)
class End:
    """How a request ended, and its time, seconds."""

    sent_at: float
    parts: tuple
    is_bad: bool
    outcome: str
    message: str
    took_s: float


class KnownServers:
    """The servers that a node has read; here all nodes learn of them by themselves."""

    is_current = synced = True
    is_outdated = False

    def __init__(self):
        self.newest = {}
        self.next_offset = 0
        self.reads = SimpleNamespace(newest=0)

    def age_s(self):
        return 0.0

    def load(self, records, end, age_s, read):
        pass

    def server_delta(self):
        return None


class PartFleet(SimulatedFleet):
    """Nodes before servers that end when they begin an answer on some parts.

    Attributes
    ----------
    crashing : set of int
        The parts that crash servers now.
    crashes, arrivals : dict of int to list of float
        By part, when servers ended on it, and when requests with it reached servers.
    ended : int
        Servers that have ended, whatever the cause.
    sent_bytes : int
        Bytes that the nodes have sent of crashes and answers.
    """

    def __init__(
        self, monkeypatch, nodes, *, servers=12, seed=1, loss=0.0, crashing=()
    ):
        monkeypatch.setattr("gevent.sleep", lambda seconds=0: None)
        self.loss = loss
        self.crashing = set(crashing)
        self.crashes = {part: [] for part in crashing}
        self.arrivals = {part: [] for part in crashing}
        self.ended = 0
        self.ends = []
        self.sent_messages = 0
        self.sent_bytes = 0
        self.count = servers
        self.servers = {}
        self.starts = itertools.count()
        for _ in range(servers):
            server = PartServer(self, f"i-{next(self.starts)}")
            self.servers[server.id] = server
        super().__init__(monkeypatch, nodes, seed)

    def prepare(self, node):
        context = node.context
        node.datagrams.send = self.deliver_later(node.address)
        context.placer.trials.node = node.address
        context.placer.random.seed(node.address)
        context.placer.on_crash = self.announce_soon(node)
        node.part_exchange.announce_soon = context.placer.on_crash
        context.placer.try_both = lambda *server: ConnectResults(False, False)
        for server in self.servers.values():
            if server.is_up:
                context.registry.put(make_entry(server.id, slots=SLOTS))
        context.registry.is_loaded = True
        context.registry.notify_listeners()
        node.servers = KnownServers()
        node.node_list.is_known.set()
        node.bootstrap_exchange.pull = lambda _port: self.pull_later(node)
        super().prepare(node)

    def pull_later(self, node):
        """Let a node take what another one knows, some time after it has asked."""
        source = self.random.choice(node.bootstrap_sources())
        data = msgspec.msgpack.encode(self.node_at(source.address).bootstrap())
        due = self.clock.now + PULL_S
        self.at(due, node.apply_bootstrap, DECODER.decode(data))

    def announce_soon(self, node):
        """Return what announces a node's new crashes after a short delay."""
        due = []

        def announce():
            due.clear()
            node._announce_crashes()

        def soon():
            if not due:
                due.append(self.clock.now + ANNOUNCEMENT_DELAY_S)
                self.at(due[0], announce)

        return soon

    def deliver_later(self, sender):
        """Return a function that sends messages over a network that loses some."""

        def send(message, receivers):
            news = message.part_crashes, message.part_answers
            size = len(msgspec.msgpack.encode(news))
            for receiver in receivers:
                self.sent_messages += 1
                self.sent_bytes += size
                if self.random.random() >= self.loss and self.reaches(sender, receiver):
                    due = self.clock.now + ONE_WAY_S
                    self.at(due, self.node_at(receiver).receive, message, sender)

        return send

    def node_at(self, address):
        if len(self.__dict__.get("by_address", ())) != len(self.nodes):
            self.by_address = {node.address: node for node in self.nodes}
        return self.by_address[address]

    def restart(self, nodes):
        """Start nodes again, which then know nothing of earlier crashes."""
        for former in nodes:
            node = Peers(make_context(make_table(), node=former.node_name))
            node.address = former.address
            for address in former.known:
                node.known[address] = Peer(address, added_at=self.clock.now)
            self.nodes[self.nodes.index(former)] = node
            self.by_address[node.address] = node
            self.prepare(node)
            self.at(self.clock.now, self.broadcast, node, 0)

    def broadcast(self, node, step):
        if self.node_at(node.address) is node:
            super().broadcast(node, step)

    def replace(self, server):
        """Start a server again under a new id, which nodes learn at various times."""
        started = PartServer(self, f"i-{next(self.starts)}")
        self.servers[started.id] = started
        for node in self.nodes:
            due = self.clock.now + self.random.uniform(0.01, 0.3)
            self.at(due, self.learn_start, node, server.id, started.id)

    def learn_start(self, node, gone, started):
        registry = node.context.registry
        registry.drop(gone, self.clock.now, after_outage=False)
        registry.put(make_entry(started, slots=SLOTS))
        registry.notify_listeners()

    def send_every(self, gap_s, make_parts, *, until, retryable=True, random=True):
        """Let requests come with the parts that `make_parts` returns."""

        def send():
            node = self.random.choice(self.nodes)
            PartRequest(self, node, make_parts(), retryable=retryable).enter()
            pause = self.random.expovariate(1 / gap_s) if random else gap_s
            if self.clock.now + pause < until:
                self.at(self.clock.now + pause, send)

        self.at(self.clock.now + self.random.random() * gap_s, send)

    def running(self):
        """Return the servers that are up."""
        return [server for server in self.servers.values() if server.is_up]

    def crash_every(self, gap_s, *, until):
        """Let servers end one after the other, whatever they run."""

        def crash():
            up = self.running()
            if len(up) > self.count / 4:
                self.random.choice(up).crash()
            if self.clock.now + gap_s < until:
                self.at(self.clock.now + gap_s, crash)

        self.at(self.clock.now + gap_s, crash)

    def late_arrivals(self, part, within_s=CONTACT_S):
        """Return how often a part reached servers after all nodes had to know of it."""
        crashes = self.crashes[part]
        if len(crashes) < KNOWN_CRASHES:
            return 0
        known_at = crashes[KNOWN_CRASHES - 1] + within_s
        return sum(at > known_at for at in self.arrivals[part])

    def sound_share(self, since=0.0, part=None):
        """Return the share of sound requests that were answered or broken off midway.

        Those whose server ended are the crash's loss; what matters here is that they
        were sent and begun.
        """
        ends = [
            end
            for end in self.ends
            if not end.is_bad
            and end.sent_at >= since
            and (part is None or part in end.parts)
        ]
        begun = sum(end.outcome in ("ok", "broken off") for end in ends)
        return begun / max(1, len(ends))

    def refused(self):
        """Return the sound requests that were refused for a part of their prompts."""
        return [e for e in self.ends if not e.is_bad and "on a part" in e.message]
