"""Fetches between engines whose links hang, and the rule that holds meanwhile."""

import itertools
import random
from collections import Counter, defaultdict

import gevent

from soak.callers import DEADLINE_S, KINDS, Caller
from soak.invariants import CONTACT_S

ENGINE = {
    "slots": 6,
    "moves": True,
    "kv_token_bytes": 18_432,
    "link_mbps": 550_000,
    "kv_capacity": 480_000,
}
HANG_S = 1.2
"""Time for which a server waits for a source that doesn't answer, seconds: within the
callers' deadline, so that no request is lost by waiting once."""

SHARED_TOKENS = 24_000
"""Tokens of the shared part of a round. Their prefill takes longer than the target, so
that even a source of which that delay is expected would be worth its fetch."""

ROUND_S = 0.2
ROUND_REQUESTS = 4
FETCHES_S = 10.0
MAX_HUNG = 8
"""Time for which such requests come, seconds, and those of a node that may hang on one
source meanwhile: two pauses end in that time, and some requests are under way when the
first of them is late."""

PAUSED_S = 2.5
MAX_AGAIN = 2
"""Time after a request has hung on a source in which its node must not name that
source, seconds, and requests of a node that may all the same, all sources together. A
pause takes 4 s from the time on at which a request is late."""


class HangingFetches:
    """What nodes ask servers to fetch while no server reaches another one.

    Attributes
    ----------
    hung : Counter
        Requests that waited for a source, by node and source.
    requests : set of str
        Their ids.
    ended_at : dict of (str, str) to list of float
        When such requests had waited, by node and source, seconds since the beginning.
    again : Counter
        Requests for a source on which one had hung just before, by node.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.hung = Counter()
        self.requests = set()
        self.ended_at = defaultdict(list)
        self.again = Counter()
        self.is_over = False

    def fetch(self, request_id, source):
        """Let a server wait for its source."""
        request = self.fleet.checker.requests.get(request_id)
        if request is None or self.is_over:
            return
        self.requests.add(request_id)
        key = (request.node, source)
        self.hung[key] += 1
        if self.hung[key] == MAX_HUNG + 1:
            self.fleet.checker.record_violation("fetch", f"{key} named again and again")
        self._check_pause(key)
        gevent.sleep(HANG_S)
        self.ended_at[key].append(self.fleet.clock())

    def _check_pause(self, key):
        """Check that a node leaves a source alone on which a request has hung."""
        since = self.fleet.clock() - PAUSED_S
        if not any(ended_at >= since for ended_at in self.ended_at[key]):
            return
        node = key[0]
        self.again[node] += 1
        if self.again[node] == MAX_AGAIN + 1:
            self.fleet.checker.record_violation("fetch", f"{node} pauses no source")

    def check(self):
        """Check that no request was lost; called when all of the time have ended."""
        outcomes = self.fleet.checker.outcomes
        lost = Counter(outcomes.get(request_id) for request_id in self.requests)
        del lost[200]
        if lost:
            self.fleet.checker.record_violation("fetch", f"ended with {dict(lost)}")


class FetchCaller(Caller):
    """Sends requests to one node, several at once with the same long part."""

    def __init__(self, fleet, random, node):
        super().__init__(fleet, random, "")
        self.only_node = node

    def run_for(self, seconds):
        """Send rounds of requests until `seconds` have passed."""
        end = self.fleet.clock() + seconds
        for number in itertools.count():
            if self.fleet.clock() >= end:
                return
            gevent.spawn(self.send_round, f"fe{number:04x}:{SHARED_TOKENS}")
            gevent.sleep(ROUND_S)

    def send_round(self, part):
        """Send several requests at once when one with the same part has been served."""
        self.another().send(KINDS[3], part)
        for index in range(ROUND_REQUESTS - 1):
            gevent.spawn(self.another().send, KINDS[3 - index % 2], part)

    def another(self):
        """Return a caller with a connection of its own."""
        return FetchCaller(self.fleet, self.random, self.only_node)

    def send(self, kind, part):
        """Send one request."""
        self.call(kind, f"{kind.path}f", "free", self.only_node, None, (part,))
        self.close()


def fetches_hang(fleet, fault):
    """Let no engine reach another one while requests ask for fetches."""
    if fleet.engine is ENGINE:
        return
    fleet.engine = ENGINE
    fleet.configure()
    gevent.sleep(CONTACT_S)
    fleet.hanging_fetches = hanging = HangingFetches(fleet)
    node = fleet.nodes[fault.target % len(fleet.nodes)]
    FetchCaller(fleet, random.Random(fault.target), node).run_for(FETCHES_S)
    hanging.is_over = True
    gevent.sleep(DEADLINE_S)
    hanging.check()
