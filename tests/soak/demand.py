"""A burst of the least urgent prompts, and the rule that holds meanwhile."""

import heapq
import itertools
import math
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
"""Requests a second; the least urgent ones outside bursts and in them: together 1.7
times what three engines begin."""

BACKLOG = 48
BACKLOG_S = 4.0
"""Prompts at the engines from which on none of the least urgent kind is sent in the
first burst, and the time for which that one is counted, seconds. In order of arrival,
prompts then wait for longer than the most urgent target and not as long as the least
urgent one. Without a bound all may be late, whatever their order."""

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
    """Times in which routes of two priorities share engines, and demand exceeds them.

    Counted are requests in each of them from `CONTACT_S` after its beginning on, at
    nodes without a fault.

    Attributes
    ----------
    excessive_kind : str
        The kind of which more requests come than the engines begin.
    begun : dict of str to float
        When the prompt of each request was computed, seconds since the beginning.
    times : list of (float, float)
        Beginning and end of each, seconds since the beginning.
    random : dict of str to random.Random
        By kind, what its requests are drawn from, their ids among it.
    """

    slots, urgency, excessive_kind = SLOTS, URGENCY, PATIENT.name

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.queues = {}
        self.begun = {}
        self.times = []
        self.random = {
            kind.name: random.Random(f"{kind.name}/{seed}")
            for kind in (URGENT, PATIENT)
        }

    @property
    def backlog(self):
        """Prompts that the engines have and have not computed."""
        return sum(len(q.waiting) + q.is_busy for q in self.queues.values())

    def prefill(self, server, request_id, environ):
        """Compute a prompt at a server's rate, in the order of priority."""
        tokens = int(environ["HTTP_TOKEN_COUNTS"].partition(",")[0])
        priority = int(environ.get("HTTP_REQUEST_PRIORITY", 5))
        queue = self.queues.setdefault(server.id, PrefillQueue())
        queue.run(priority, tokens / TOKENS_PER_S)
        self.begun[request_id] = self.fleet.clock()

    def send_burst(self, seconds, max_backlog=math.inf):
        """Send many requests of the least urgent kind, and note when.

        Parameters
        ----------
        max_backlog : float
            Prompts at the engines from which on none is sent.
        """
        began_at = self.fleet.clock()
        self.send(PATIENT, seconds, PATIENT_PER_S[True], max_backlog)
        self.times.append((began_at, self.fleet.clock()))

    def send(self, kind, seconds, per_s, max_backlog=math.inf):
        """Send requests of one kind, each to any node, until `seconds` have passed."""
        rng = self.random[kind.name]
        end = self.fleet.clock() + seconds
        while self.fleet.clock() < end:
            if self.backlog < max_backlog:
                gevent.spawn(self._send_one, kind, rng)
            gevent.sleep(rng.expovariate(per_s))

    def _send_one(self, kind, rng):
        caller = Caller(self.fleet, rng, "free")
        part = f"de{rng.getrandbits(32):08x}:{PROMPT_TOKENS}"
        node = rng.choice(self.fleet.nodes)
        caller.call(kind, f"{kind.path}d", "free", node, None, (part,))
        caller.close()

    def check(self):
        """Check the rule; called when all requests of the times have ended."""
        for began_at, ended_at in self.times:
            self._check_time(began_at, ended_at)

    def _check_time(self, began_at, ended_at):
        in_time = {URGENT.name: [], PATIENT.name: []}
        for request_id, request in self.fleet.checker.requests.items():
            is_meanwhile = began_at + CONTACT_S <= request.sent_at < ended_at
            if not is_meanwhile or not self._is_counted(request_id, request, began_at):
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

    def _is_counted(self, request_id, request, since):
        """Return whether a request came within its limit to a node that had to serve
        it, one without a fault since then."""
        return (
            request.kind in TARGETS_S
            and self.fleet.checker.outcomes.get(request_id) != 429
            and self.fleet.is_connected(request.node, since)
        )


def demand_burst(fleet, fault):
    """Let demand of the least urgent kind exceed what the engines begin for a while, up
    to a backlog at first."""
    if fleet.demand is not None:
        return
    usual = fleet.engine
    fleet.demand = demand = DemandBurst(fleet, fault.target)
    fleet.engine = usual | {"slots": SLOTS}
    _configure(fleet)
    before_s, burst_s = CONTACT_S + 1.0, CONTACT_S + 4.0 + fault.for_s
    limited_s = CONTACT_S + BACKLOG_S
    whole_s = before_s + limited_s + burst_s
    senders = [gevent.spawn(demand.send, URGENT, whole_s, URGENT_PER_S)]
    demand.send(PATIENT, before_s, PATIENT_PER_S[False])
    demand.send_burst(limited_s, BACKLOG)
    demand.send_burst(burst_s)
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
