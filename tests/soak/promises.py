"""What callers and servers must see, checked while a seed is played."""

from collections import defaultdict, deque
from dataclasses import dataclass

QUOTA_WINDOW_S = 4.0
QUOTA_OVERAGE = 0.1
"""Window over which a limit holds, and by how much it may be passed there: the figures
of the platform's own rule, with half its window."""

THAW_S = 0.3
"""Time after a process or a link came back in which its calls don't count, seconds."""

LEASE_S = 3.0
"""Time within which the duties may not go to another node and back, seconds."""

LATE_S = 1.5
"""Time after a request's deadline by which it must have ended, seconds."""

IN_FORCE_S = 2.0
"""Time after its confirmation by which a configuration is in force, seconds."""

IN_TOUCH_S = 3.0
"""Time for which nothing may have kept news from a node that has to have them,
seconds."""

NOT_RUN = (408, 421, 429, 503)


@dataclass
class Asked:
    """One request as its caller sent it.

    Attributes
    ----------
    most : int
        Runs that it may have.
    units : int
        What it counts against its organisation's limit.
    """

    kind: str
    node: str
    organisation: str
    most: int
    units: int
    sent_at: float
    deadline_s: float


@dataclass
class Limit:
    """An organisation's limit, and what operators tolerate beyond it."""

    rate: float
    burst: float
    slack: float

    @property
    def most(self):
        """Units that may be run in one window."""
        allowed = self.rate * QUOTA_WINDOW_S + self.burst
        return allowed * (1 + QUOTA_OVERAGE) + self.slack


class Promises:
    """Takes what happens, and keeps a line for each broken promise.

    Attributes
    ----------
    broken : list of str
    counts : dict of str to int
        How requests ended.
    """

    def __init__(self, clock, limits):
        self.clock = clock
        self.limits = limits
        self.broken = []
        self.counts = defaultdict(int)
        self.asked = {}
        self.runs = defaultdict(list)
        self.not_run = {}
        self.spent = defaultdict(deque)
        self.fences = {}
        self.holders = {}
        self.acted = defaultdict(lambda: deque(maxlen=3))
        self.usage = {}
        self.versions = {}
        self.thawed = {}

    def break_(self, rule, text):
        self.broken.append(f"{self.clock():.3f} s: {rule}: {text}")

    # Callers

    def ask(self, request_id, asked):
        self.asked[request_id] = asked

    def end(self, request_id, outcome, *, whole=False, right=True):
        """Take the end of a request: a status, or how its connection ended."""
        asked = self.asked[request_id]
        self.counts[f"{asked.kind} {outcome}"] += 1
        if outcome in NOT_RUN:
            self.not_run[request_id] = outcome
            if self.runs[request_id]:
                self.break_("not run", f"{asked.kind} {request_id} said {outcome}")
        if whole and not right:
            self.break_("right answer", f"{asked.kind} {request_id}")

    def silent(self, request_id):
        """Take a connection closed without an answer by a node that was well."""
        asked = self.asked[request_id]
        if self.runs[request_id]:
            self.break_("answered", f"{asked.kind} {request_id} ran, {asked.node}")

    def hung(self, request_id):
        """Take a request that had not ended long after its deadline."""
        asked = self.asked[request_id]
        self.break_("deadline", f"{asked.kind} {request_id} at {asked.node}")

    def saw_version(self, node, asked_at, version):
        """Take that `node` served by `version` when it was asked at `asked_at`."""
        newest, since = self.versions.get(node, (0, 0.0))
        if version < newest and asked_at > since:
            self.break_("configuration", f"{node} has {version} after {newest}")
        elif version > newest:
            self.versions[node] = (version, self.clock())

    def late_version(self, node, version, newest):
        """Take that `node`, in touch, was asked for `version` and answered wrongly."""
        self.break_("configuration in time", f"{node}: {version}, newest {newest}")

    # Servers

    def ran(self, request_id, server, organisation):
        """Take that a server begins to run a request."""
        asked = self.asked.get(request_id)
        if asked is None:
            self.break_("as asked", f"{server} got {request_id}, never sent")
            return
        runs = self.runs[request_id]
        runs.append(server)
        if len(runs) > asked.most:
            self.break_("runs", f"{asked.kind} {request_id} at {runs}")
        if request_id in self.not_run:
            said = self.not_run[request_id]
            self.break_("not run", f"{asked.kind} {request_id} ran after {said}")
        if organisation != asked.organisation:
            self.break_("organisation", f"{request_id} as {organisation!r}")
        if len(runs) == 1:
            self._spend(organisation, asked.units)

    def _spend(self, organisation, units):
        limit = self.limits.get(organisation)
        if limit is None:
            return
        now, spent = self.clock(), self.spent[organisation]
        spent.append((now, units))
        while spent[0][0] < now - QUOTA_WINDOW_S:
            spent.popleft()
        total = sum(units for _, units in spent)
        if total > limit.most:
            self.break_("limit", f"{organisation} {total} of {limit.most:.0f}")
            spent.clear()

    # The platform

    def called(self, path, body, holder, fence):
        """Take a call that only the holder of the duties makes."""
        if self.clock() - self.thawed.get(holder, -THAW_S) < THAW_S:
            return
        subject = (path, body.get("service"), body.get("zone"))
        if fence < self.fences.get(subject, 0):
            self.break_("one holder", f"{holder} sent {fence} for {subject}")
        self.fences[subject] = max(fence, self.fences.get(subject, 0))
        if self.holders.setdefault(fence, holder) != holder:
            self.break_("one holder", f"{holder} and {self.holders[fence]} as {fence}")
        self._note_turn(holder)
        if path == "/usage":
            window, counts = body["window_id"], body["counts"]
            if self.usage.setdefault(window, counts) != counts:
                self.break_("usage", f"{window}: {self.usage[window]} and {counts}")

    def _note_turn(self, holder):
        turns, now = self.acted["holder"], self.clock()
        if turns and turns[-1][0] == holder:
            turns[-1] = (holder, now)
            return
        turns.append((holder, now))
        if len(turns) == 3 and turns[0][0] == holder and now - turns[0][1] < LEASE_S:
            self.break_("one holder", f"{holder} acted again within a lease")
