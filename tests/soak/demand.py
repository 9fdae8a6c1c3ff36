"""A burst of the least urgent prompts, and the rule that holds meanwhile."""

import heapq
import itertools
import random

import gevent
from gevent.event import Event

from soak.callers import DEADLINE_S, KINDS, Caller
from soak.invariants import CONTACT_S, MIN_SOUND_TRIES

SLOTS = 64
TOKENS_PER_S = 12_000
PROMPT_TOKENS = 600
"""Slots of an engine, its prefill rate, and the length of each prompt: an engine begins
20 prompts a second, so that its time for prefill is short and its slots are not."""

URGENT, PATIENT = KINDS[2], KINDS[3]
TARGETS_S = {URGENT.name: 0.4, PATIENT.name: 1.2}
URGENCY = {
    URGENT.name: {"priority": 0, "target_latency_ms": 400},
    PATIENT.name: {"priority": 2, "target_latency_ms": 1200},
}
"""Targets of the two kinds, seconds, and what their routes say in the configuration."""

URGENT_PER_S = 12
PATIENT_PER_S = {False: 12, True: 90}
"""Requests a second; the least urgent ones outside the burst and in it: together 1.7
times what three engines begin."""

TOLERATED = 0.05
"""Share of its requests by which the most urgent kind may be in time less often."""


class PrefillQueue:
    """The prompts that wait for one engine: the most urgent first, one at a time."""

    def __init__(self):
        self.waiting = []
        self.numbers = itertools.count()
        self.is_busy = False

    def run(self, priority, seconds):
        """Wait for a prompt's turn, and compute it."""
        if self.is_busy:
            turn = Event()
            heapq.heappush(self.waiting, (priority, next(self.numbers), turn))
            turn.wait()
        self.is_busy = True
        try:
            gevent.sleep(seconds)
        finally:
            if self.waiting:
                heapq.heappop(self.waiting)[-1].set()
            else:
                self.is_busy = False


class DemandBurst:
    """Time in which routes of two priorities share engines, and demand exceeds them.

    Counted are requests in the burst from `CONTACT_S` after its beginning on, at nodes
    without a fault.

    Attributes
    ----------
    begun : dict of str to float
        When the prompt of each request was computed, seconds since the beginning.
    """

    slots, urgency = SLOTS, URGENCY

    def __init__(self, fleet):
        self.fleet = fleet
        self.queues = {}
        self.begun = {}
        self.began_at = self.ended_at = float("inf")

    def prefill(self, server, request_id, environ):
        """Compute a prompt at a server's rate, in the order of priority."""
        tokens = int(environ["HTTP_TOKEN_COUNTS"].partition(",")[0])
        priority = int(environ.get("HTTP_REQUEST_PRIORITY", 5))
        queue = self.queues.setdefault(server.id, PrefillQueue())
        queue.run(priority, tokens / TOKENS_PER_S)
        self.begun[request_id] = self.fleet.clock()

    def send(self, kind, seconds, per_s):
        """Send requests of one kind, each to any node, until `seconds` have passed."""
        rng = random.Random(kind.name)
        end = self.fleet.clock() + seconds
        while self.fleet.clock() < end:
            gevent.spawn(self._send_one, kind, rng)
            gevent.sleep(rng.expovariate(per_s))

    def _send_one(self, kind, rng):
        caller = Caller(self.fleet, rng, "free")
        part = f"de{rng.getrandbits(32):08x}:{PROMPT_TOKENS}"
        node = rng.choice(self.fleet.nodes)
        caller.call(kind, f"{kind.path}d", "free", node, None, (part,))
        caller.close()

    def check(self):
        """Check the rule; called when all requests of the burst have ended."""
        in_time = {URGENT.name: [], PATIENT.name: []}
        for request_id, request in self.fleet.checker.requests.items():
            if not self._is_counted(request_id, request):
                continue
            late_at = request.sent_at + TARGETS_S[request.kind]
            begun_at = self.begun.get(request_id, float("inf"))
            in_time[request.kind].append(begun_at <= late_at)
        urgent, patient = in_time[URGENT.name], in_time[PATIENT.name]
        if min(len(urgent), len(patient)) < MIN_SOUND_TRIES:
            return
        shares = [sum(found) / len(found) for found in (urgent, patient)]
        if shares[0] < shares[1] - TOLERATED:
            self.fleet.checker.record_violation(
                "priority",
                f"of the most urgent {sum(urgent)} of {len(urgent)} in time, of the "
                f"least urgent {sum(patient)} of {len(patient)}",
            )

    def _is_counted(self, request_id, request):
        """Return whether a request came in the burst, within its limit, to a node
        that had to serve it."""
        return (
            request.kind in TARGETS_S
            and self.began_at + CONTACT_S <= request.sent_at < self.ended_at
            and self.fleet.checker.outcomes.get(request_id) != 429
            and self.fleet.is_connected(request.node, self.began_at)
        )


def demand_burst(fleet, fault):
    """Let demand of the least urgent kind exceed what the engines begin for a while."""
    if fleet.demand is not None:
        return
    usual = fleet.engine
    fleet.demand = demand = DemandBurst(fleet)
    fleet.engine = usual | {"slots": SLOTS}
    _configure(fleet)
    before_s, burst_s = CONTACT_S + 1.0, CONTACT_S + 4.0 + fault.for_s
    whole_s = before_s + burst_s
    senders = [gevent.spawn(demand.send, URGENT, whole_s, URGENT_PER_S)]
    demand.send(PATIENT, before_s, PATIENT_PER_S[False])
    demand.began_at = fleet.clock()
    demand.send(PATIENT, burst_s, PATIENT_PER_S[True])
    demand.ended_at = fleet.clock()
    gevent.joinall(senders)
    gevent.sleep(DEADLINE_S)
    demand.check()
    fleet.demand, fleet.engine = None, usual
    _configure(fleet)


def _configure(fleet):
    """Write the configuration, and let the engines state their slots by it."""
    fleet.configure()
    for backend in fleet.backends:
        if backend.server is not None:
            backend.server.slots = backend.usual_slots
