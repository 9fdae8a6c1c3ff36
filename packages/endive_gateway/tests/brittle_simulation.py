"""Builder of a fleet in simulated time before servers that are brittle."""

import functools
import itertools
from collections import deque

from core_builders import call
from endive_core.exceptions import EndiveError, ErrorKind, RetryReason
from endive_gateway.attempts import SLOT_WAIT_FRACTION
from endive_gateway.exceptions import SlotDeclinedError
from endive_gateway.failed_attempts import MAX_SLOT_REQUESTS
from endive_gateway.interfaces import ResponseMetadata
from endive_gateway.slot_leasing import REPLY_MARGIN_S, UPDATE_INTERVAL_S
from fleet_simulation import SimulatedFleet
from gateway_builders import SERVICE, make_entry

ONE_WAY_S = 0.002
SERVICE_S = 0.09
SLOTS = 6
DOWN_S = 4.0
MAX_ATTEMPTS = 2
TARGET_S = 0.4
DEADLINE_S = 3.0
POLL_S = 0.002


class BrittleServer:
    """A server with slots, a queue, and a limit to what it may reject.

    Attributes
    ----------
    room : int
        Requests that may wait.
    brittle : float or None
        Requests a second that it tolerates to reject, as it says.
    is_fragile : bool
        Whether it fails if it rejects more.
    failures : list of float
        When it failed.
    """

    def __init__(self, fleet, server_id):
        self.fleet = fleet
        self.id = server_id
        self.room = 24
        self.brittle = None
        self.is_fragile = False
        self.running = 0
        self.waiting = deque()
        self.rejected = deque()
        self.rejected_total = 0
        self.failures = []
        self.starts = 0
        self.down_until = 0.0

    @property
    def is_up(self):
        return self.fleet.clock.now >= self.down_until

    def arrive(self, request):
        """Take a request, or reject it."""
        if not self.is_up:
            request.fail(RetryReason.CONNECT_FAILED, started=False)
        elif self.running < SLOTS:
            self.run(request)
        elif len(self.waiting) < self.room:
            self.waiting.append(request)
        else:
            self.reject(request)

    def run(self, request):
        self.running += 1
        work_s = SERVICE_S * self.fleet.random.lognormvariate(-0.125, 0.5)
        due = self.fleet.clock.now + work_s
        self.fleet.at(due, self.end, request, self.starts)

    def end(self, request, start):
        if start != self.starts:
            return
        self.running -= 1
        request.answer()
        if self.waiting:
            self.run(self.waiting.popleft())

    def reject(self, request):
        now = self.fleet.clock.now
        self.rejected_total += 1
        self.rejected.append(now)
        while self.rejected[0] < now - 1.0:
            self.rejected.popleft()
        if self.is_fragile and len(self.rejected) > self.brittle:
            self.restart()
            request.fail(RetryReason.SERVER_FAILED, started=True)
        else:
            request.reject()

    def restart(self):
        """End with all requests; another start follows."""
        self.failures.append(self.fleet.clock.now)
        self.down_until = self.fleet.clock.now + DOWN_S
        self.starts += 1
        self.running = 0
        self.waiting.clear()
        self.rejected.clear()


class SimulatedRequest:
    """A request at one node."""

    def __init__(self, fleet, node, ticket):
        self.fleet = fleet
        self.node = node
        self.placer = node.context.placer
        self.ticket = ticket
        self.received_at = fleet.clock.now
        self.leasing = node.context.slot_leasing
        self.server = None
        self.lease = None
        self.declined = 0
        self.asked_at = self.sent_at = self.wait_s = 0.0

    def wait_for_server(self):
        """Send the request once a server is assigned; queues are polled each 10 ms."""
        result = self.placer.waiting.get(self.ticket)
        if result is None:
            return
        if not result.ready():
            for scheduler in self.placer.schedulers.values():
                self.placer.dispatch_queued(scheduler)
        if not result.ready():
            self.fleet.at(self.fleet.clock.now + 0.01, self.wait_for_server)
            return
        try:
            view = result.get()
        except EndiveError as error:
            self.end_with(error)
            return
        self.server = self.fleet.servers[view.id]
        self.asked_at = self.fleet.clock.now
        left_s = TARGET_S - (self.asked_at - self.received_at)
        self.wait_s = max(0.02, SLOT_WAIT_FRACTION * left_s)
        self.lease = self.leasing.ask(
            view, priority=5, wait_s=self.wait_s, lease_s=DEADLINE_S
        )
        self.wait_for_slot()

    def wait_for_slot(self):
        """Send the request once a slot of a brittle server is leased."""
        now = self.fleet.clock.now
        if self.lease is None:
            self.send()
        elif self.lease.granted.ready():
            if self.lease.granted.get():
                self.send()
            else:
                self.slot_declined()
        elif now - self.asked_at > self.wait_s + REPLY_MARGIN_S:
            self.leasing.give_up(self.lease)
            self.slot_declined()
        else:
            self.fleet.at(now + POLL_S, self.wait_for_slot)

    def slot_declined(self):
        self.lease = None
        self.declined += 1
        is_late = self.fleet.clock.now - self.received_at >= TARGET_S
        if is_late or self.declined == MAX_SLOT_REQUESTS:
            self.end_with(EndiveError(ErrorKind.OVERLOADED, "no slot"))
        else:
            reason = SlotDeclinedError("no slot").reason
            self.retry(reason, started=False, extra=self.declined)

    def send(self):
        self.sent_at = self.fleet.clock.now
        self.fleet.at(self.sent_at + ONE_WAY_S, self.server.arrive, self)

    def metadata(self):
        return ResponseMetadata(
            running=self.server.running,
            waiting=len(self.server.waiting),
            slots=SLOTS,
            brittle_rejections=self.server.brittle,
        )

    def observe(self, *, not_run):
        metadata = self.metadata()
        metadata.not_run = not_run
        self.placer.report(self.server.id, metadata.running, metadata.waiting)
        self.leasing.report(self.lease, metadata.running + metadata.waiting)
        self.node.context.brittle_services.observe(
            self.server.id, metadata, self.sent_at, is_success=not not_run
        )

    def release(self):
        self.leasing.release(self.lease)
        self.lease = None

    def answer(self):
        self.fleet.at(self.fleet.clock.now + ONE_WAY_S, self.answered)

    def answered(self):
        if self.ticket in self.placer.ticket_schedulers:
            self.observe(not_run=False)
            self.release()
            self.placer.finished(self.ticket, 1)
            self.placer.end(self.ticket)
            waited_s = self.fleet.clock.now - self.received_at
            self.fleet.ends.append((self.received_at, "ok", waited_s))

    def reject(self):
        self.fleet.at(self.fleet.clock.now + ONE_WAY_S, self.rejected)

    def rejected(self):
        self.observe(not_run=True)
        self.retry(RetryReason.SERVER_BUSY, started=False)

    def fail(self, reason, *, started):
        due = self.fleet.clock.now + ONE_WAY_S
        self.fleet.at(due, self.retry, reason, started)

    def retry(self, reason, started, extra=0):
        self.release()
        if self.ticket not in self.placer.ticket_schedulers:
            return
        try:
            self.placer.failed(
                self.ticket,
                reason,
                started=started,
                max_attempts=MAX_ATTEMPTS + extra,
            )
        except EndiveError as error:
            self.end_with(error)
        else:
            self.wait_for_server()

    def end_with(self, error):
        self.placer.end(self.ticket)
        held_s = self.fleet.clock.now - self.received_at
        self.fleet.ends.append((self.received_at, str(error.kind), held_s))


class BrittleFleet(SimulatedFleet):
    """Nodes before servers of a plain service.

    Attributes
    ----------
    ends : list of (float, str, float)
        When requests came, ``ok`` or the kind of error, and their time, seconds.
    slot_messages : int
        Messages about slots that nodes have sent each other.
    favoured, favoured_share : int, float
        Index of a node, and the share of all requests that come there besides its own.
    max_returns : int
        How often a caller returns that was refused.
    """

    def __init__(self, monkeypatch, nodes, servers, seed=1):
        monkeypatch.setattr("gevent.sleep", lambda seconds=0: None)
        self.servers = {
            f"i-{number}": BrittleServer(self, f"i-{number}")
            for number in range(servers)
        }
        self.ends = []
        self.slot_messages = 0
        self.favoured, self.favoured_share = 0, 0.0
        self.max_returns = 0
        super().__init__(monkeypatch, nodes, seed)

    @property
    def capacity_per_s(self):
        """Requests a second that all servers together can run."""
        return len(self.servers) * SLOTS / SERVICE_S

    def prepare(self, node):
        context = node.context
        context.placer.random.seed(node.address)
        leasing = context.slot_leasing
        leasing.address = node.address
        leasing.datagrams.send = self.deliver_later(node.address)
        self.at(self.clock.now, self.update_slots, leasing)
        for server in self.servers:
            context.registry.put(make_entry(server, slots=SLOTS))
        context.registry.is_loaded = True
        context.registry.notify_listeners()
        super().prepare(node)

    def deliver_later(self, sender):
        """Return a function that sends messages about slots over a network."""

        def send(message, receivers):
            for receiver in receivers:
                self.slot_messages += 1
                if self.reaches(sender, receiver):
                    leasing = self.by_address[receiver].context.slot_leasing
                    due = self.clock.now + ONE_WAY_S
                    self.at(due, leasing.receive, message, sender)

        return send

    @functools.cached_property
    def by_address(self):
        return {node.address: node for node in self.nodes}

    def update_slots(self, leasing):
        leasing.update()
        self.at(self.clock.now + UPDATE_INTERVAL_S, self.update_slots, leasing)

    def say_brittle(self, rejections):
        """Let the servers say how many rejections they tolerate, or none."""
        for server in self.servers.values():
            server.brittle = rejections
            server.is_fragile &= rejections is not None

    def narrow(self, room):
        """Let fewer requests wait, and let servers fail that reject too many."""
        for server in self.servers.values():
            server.room, server.is_fragile = room, True

    def run(self, seconds, load):
        """Let requests arrive for some seconds, at `load` times the capacity."""
        end = self.clock.now + seconds
        self.at(self.clock.now, self.request, load * self.capacity_per_s, end)
        self.run_until(end)

    def request(self, per_s, end):
        node = self.random.choice(self.nodes)
        if self.random.random() < self.favoured_share:
            node = self.nodes[self.favoured]
        now = self.clock.now
        self.admit(node, next(self.numbers), now + DEADLINE_S)
        if now < end:
            self.at(now + self.random.expovariate(per_s), self.request, per_s, end)

    def admit(self, node, number, deadline, returns=0):
        """Let a request come; one that is refused returns `returns` times as told."""
        now = self.clock.now
        try:
            ticket = node.context.placer.admit(
                SERVICE,
                call(
                    f"q{number}",
                    fingerprint=f"f{number}",
                    prompt_tokens=0,
                    max_tokens=1,
                    target_s=TARGET_S,
                    deadline=deadline,
                ),
            )
        except EndiveError as error:
            self.ends.append((now, str(error.kind), 0.0))
            wait_s = error.retry_after_s or 0.0
            if returns < self.max_returns and wait_s <= (deadline - now) / 3:
                again = self.random.choice(self.nodes)
                due = now + wait_s
                self.at(due, self.admit, again, number, deadline, returns + 1)
        else:
            SimulatedRequest(self, node, ticket).wait_for_server()

    def failures_since(self, since):
        """Return how often servers failed since a time."""
        failures = itertools.chain(
            *(server.failures for server in self.servers.values())
        )
        return sum(at >= since for at in failures)

    def served_share(self, since, *, within_s=TARGET_S):
        """Return the share of the requests since a time that were answered in time."""
        ends = [(end, took) for at, end, took in self.ends if at >= since]
        in_time = sum(end == "ok" and took <= within_s for end, took in ends)
        return in_time / max(1, len(ends))
