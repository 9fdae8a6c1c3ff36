"""Checks what callers, servers and the platform observe during a soak run."""

from collections import Counter, defaultdict, deque
from dataclasses import dataclass

from soak.foreign_bytes import first_foreign

QUOTA_WINDOW_S = 4.0
QUOTA_OVERAGE = 0.1
"""Window over which a limit holds, seconds, and share by which it may be exceeded in
it. The share is that of the platform's own rule; the window is half of the rule's."""

RESUME_GRACE_S = 0.3
"""Time after a process or a link resumed during which its calls aren't checked,
seconds."""

LEASE_S = 3.0
"""Time within which the duties must not pass to another node and back, seconds."""

DEADLINE_GRACE_S = 1.5
"""Time after its deadline within which a request must have ended, seconds."""

IN_FORCE_S = 2.0
"""Time after its confirmation within which a configuration is in force, seconds."""

CONTACT_S = 3.0
"""Time for which a node must have been able to receive changes before it has to serve
the newest configuration, seconds."""

BRITTLE_SLOTS = 2
BRITTLE_ROOM = 1
"""Requests that a brittle server runs at once, and that may wait there."""

LIMIT_WINDOW_S = 4.0
LIMIT_TOLD_S = 0.5
"""Window over which a server's limit holds, and time after which a node that has passed
on a response with the limit must keep it, seconds."""

REST_TOLD_S = 0.5
MAX_IN_REST = 2
"""Time after which a node that was asked for rest must keep it, and requests that may
reach the server until the end of the rest all the same."""

DRAIN_S = 2.0
LEAVING_GRACE_S = 0.2
"""Time for which a server that has said that it leaves may get requests, and grace for
the way of its response to the node, seconds."""

MAX_FAILED_TRIES = 10
"""First tries that may fail at nodes that reach no server, plus one in 50 of all."""

KNOWN_PART_CRASHES, MAX_LATE_PART_REQUESTS = 5, 3
"""Servers ended on a part of a prompt after which all nodes in contact must know of it,
and requests with it that may then reach servers."""

SLOW_TOLD_S = (0.1, 0.6)
MAX_SLOW_SHARE = 0.5
"""Times since a server has stated to a node that it is slow between which the node must
know that, seconds, and share of its even share that it may get meanwhile."""

MIN_SOUND_TRIES = 20
"""Least number of sound requests that are compared."""

NOT_RUN = (408, 421, 429, 503)
"""HTTP statuses that say that the request was not run."""


@dataclass
class SentRequest:
    """A request as its caller sent it.

    Attributes
    ----------
    max_runs : int
        How often servers may run it.
    units : int
        Units that count against its organisation's limit.
    """

    kind: str
    node: str
    organisation: str
    max_runs: int
    units: int
    sent_at: float
    deadline_s: float
    is_crashing: bool = False


@dataclass
class Limit:
    """An organisation's limit, and the units tolerated beyond it."""

    rate: float
    burst: float
    slack: float

    @property
    def max_units(self):
        """Units that may be run within one window."""
        allowed = self.rate * QUOTA_WINDOW_S + self.burst
        return allowed * (1 + QUOTA_OVERAGE) + self.slack


class LimitedServer:
    """What a server that names a limit has received since.

    Parameters
    ----------
    now : float
        When it names the limit first, seconds since the beginning.
    """

    def __init__(self, limit, now):
        self.limit = limit
        self.since = now + CONTACT_S
        self.told_at = {}
        self.arrivals = deque()

    def received(self, node, now):
        """Count a request from `node` if the node has been told."""
        if now - self.told_at.get(node, now) >= LIMIT_TOLD_S and now > self.since:
            self.arrivals.append((now, node))
        while self.arrivals and self.arrivals[0][0] < now - LIMIT_WINDOW_S:
            self.arrivals.popleft()

    def exceeded_by(self, is_counted):
        """Return how many requests of the nodes that count were too many."""
        count = sum(is_counted(node) for _, node in self.arrivals)
        return count - (1.5 * LIMIT_WINDOW_S * self.limit + 5)


class RestingServer:
    """What a server receives from the nodes that it has asked for rest."""

    def __init__(self):
        self.windows = defaultdict(list)

    def ask(self, node, now, rest_s):
        """Note that the server asks a node for rest."""
        self.windows[node].append([now + REST_TOLD_S, now + rest_s, 0])

    def received(self, node, now):
        """Count a request; return whether it is one too many in a rest."""
        windows = [w for w in self.windows[node] if w[1] > now]
        self.windows[node] = windows
        for window in windows:
            window[2] += window[0] < now
        return any(window[2] > MAX_IN_REST for window in windows)


class BrittleTime:
    """A time in which the servers of a service fail if they reject much.

    Attributes
    ----------
    rejections : int
        Requests a second that each of them tolerates to reject, as it says.
    slots, room : int
        Requests that each runs at once, and that may wait there.
    failures : int
        How often a server has failed after most of what it had rejected came from nodes
        without another fault.
    """

    def __init__(self, fleet, backends, rejections):
        self.fleet = fleet
        self.backends = backends
        self.rejections = rejections
        self.slots = BRITTLE_SLOTS
        self.narrows_at = fleet.clock() + CONTACT_S
        self.recent = defaultdict(deque)
        self.failures = 0

    @property
    def room(self):
        is_narrow = self.fleet.clock() >= self.narrows_at
        return BRITTLE_ROOM if is_narrow else 5 * BRITTLE_SLOTS

    def rejected(self, backend, request_id):
        """Count a request that a server rejects for lack of room."""
        request = self.fleet.checker.requests.get(request_id)
        now, recent = self.fleet.clock(), self.recent[backend]
        if request is None or now < self.narrows_at:
            return
        recent.append((now, backend.is_undisturbed(request.node)))
        while recent[0][0] < now - 1.0:
            recent.popleft()
        if len(recent) > self.rejections:
            self.failures += 2 * sum(counts for _, counts in recent) > len(recent)
            recent.clear()
            backend.crash_soon()

    def end(self):
        """Check the rule; called when the servers are sound again."""
        if self.failures > 2 + len(self.backends) / 10:
            self.fleet.checker.record_violation(
                "brittle",
                f"{len(self.backends)} servers that tolerate {self.rejections} "
                f"rejections a second failed {self.failures} times",
            )


class ServersCut:
    """Compares how nodes that reach no server serve their callers with the others.

    Only nodes that have no other fault count, and requests from `CONTACT_S` after the
    beginning on.
    """

    def __init__(self, fleet, nodes):
        self.fleet = fleet
        self.nodes = nodes
        self.began_at = fleet.clock()
        self.counted = {}

    def end(self):
        """Note which nodes count; called before the cut ends."""
        own = {node.name for node in self.nodes}
        for node in self.fleet.nodes:
            is_counted = node.is_connected(self.began_at)
            if is_counted and (node.name in own or not node.was_cut(self.began_at)):
                self.counted[node.name] = node.name in own
        self.ended_at = self.fleet.clock()

    def check(self):
        """Check the rule; called when all requests of the time have ended."""
        checker = self.fleet.checker
        tries, served = Counter(), Counter()
        since = self.began_at + CONTACT_S
        for request_id, request in checker.requests.items():
            outcome = checker.outcomes.get(request_id)
            if request.node not in self.counted or outcome == 429:
                continue
            if since <= request.sent_at < self.ended_at and request.kind != "probe":
                tries[self.counted[request.node]] += 1
                served[self.counted[request.node]] += outcome == 200
        failed = tries[True] - served[True]
        far_worse = served[True] * tries[False] * 3 < served[False] * tries[True] * 2
        if far_worse and failed > MAX_FAILED_TRIES + tries.total() / 50:
            checker.record_violation(
                "cut off",
                f"{[node.name for node in self.nodes]} served {served[True]} of "
                f"{tries[True]}, the others {served[False]} of {tries[False]}",
            )


class UnevenConnections:
    """Compares how callers are served while one node gets most new connections.

    Counted are the requests that a node has read, from `CONTACT_S` after the beginning
    on, and those of the time before. A kind of which servers can't begin all is not
    counted: whichever node gets its requests has to refuse some.

    Attributes
    ----------
    excessive_kinds : set of str
        Kinds of which more requests come than servers can begin.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.began_at = fleet.clock()
        self.ended_at = None
        self.excessive_kinds = set()
        self._note_excess()

    def end(self):
        self.ended_at = self.fleet.clock()
        self._note_excess()

    def _note_excess(self):
        # A burst lasts longer than this time, so it goes on at one of its ends.
        if self.fleet.demand is not None:
            self.excessive_kinds.add(self.fleet.demand.excessive_kind)

    def check(self):
        """Check the rule; called when all requests of the time have ended."""
        checker = self.fleet.checker
        tries, served = Counter(), Counter()
        for request_id, request in checker.requests.items():
            outcome = checker.outcomes.get(request_id)
            if outcome in (429, "closed", None) or request.kind == "probe":
                continue
            if request.kind in self.excessive_kinds:
                continue
            before = request.sent_at < self.began_at
            if before or self.began_at + CONTACT_S <= request.sent_at < self.ended_at:
                tries[before] += 1
                served[before] += outcome == 200
        worse = served[False] * tries[True] * 4 < served[True] * tries[False] * 3
        if min(tries.values(), default=0) >= MIN_SOUND_TRIES and worse:
            checker.record_violation(
                "uneven",
                f"served {served[False]} of {tries[False]}, before {served[True]} of "
                f"{tries[True]}",
            )


class UnevenSpeeds:
    """What servers get that state how fast they work, while it changes.

    Counted are requests from nodes to which one server of the service has just stated
    that it is slow, as it still is, if no server of the service has another fault.

    Attributes
    ----------
    counted, at_slow : int
        Requests at all servers, and at the slow ones.
    """

    def __init__(self, fleet, backends):
        self.fleet = fleet
        self.backends = backends
        self.told_at = {}
        self.counted = self.at_slow = 0

    def told(self, server, node, slowdown):
        """Note that a response with a server's slowdown went to a node."""
        self.told_at.pop((server, node), None)
        if slowdown > 1.0:
            self.told_at[server, node] = self.fleet.clock()

    def received(self, server, node):
        """Count a request that a server has received from a node."""
        now = self.fleet.clock()
        least, most = SLOW_TOLD_S
        servers = [b.server for b in self.backends if b.server is not None]
        is_known = any(
            s.slowdown > 1.0
            and least <= now - self.told_at.get((s.id, node), 0.0) <= most
            for s in servers
        )
        if is_known and all(self._is_up(b, node) for b in self.backends):
            self.counted += 1
            self.at_slow += server.slowdown > 1.0

    def _is_up(self, backend, node):
        """Return whether a node has been able to use a backend's server for a while."""
        since = self.fleet.clock() - CONTACT_S
        return (
            backend.is_undisturbed(node)
            and backend.is_sound(since)
            and backend.started_at < since
        )

    def end(self):
        """Check the rule; called when the servers work as usual again."""
        even_share = 1 / len(self.backends)
        is_much = self.at_slow > MAX_SLOW_SHARE * even_share * self.counted
        if self.counted >= MIN_SOUND_TRIES and is_much:
            self.fleet.checker.record_violation(
                "slow server",
                f"servers that stated to be slow got {self.at_slow} of {self.counted}",
            )


class SoundRequests:
    """How many sound requests begin, before and while others cause trouble.

    Attributes
    ----------
    kinds : tuple of str
        The kinds of requests that are counted.
    """

    def __init__(self, fleet, kinds):
        self.fleet = fleet
        self.kinds = kinds
        self.began_at = fleet.clock()
        self.ended_at = None

    def end(self):
        """Note that no more troublesome requests come."""
        self.ended_at = self.fleet.clock()

    def check(self, since):
        """Check how many began from `since` on; when all of the time have ended."""
        tries, served = Counter(), Counter()
        for request_id, request in self.fleet.checker.requests.items():
            outcome = self.fleet.checker.outcomes.get(request_id)
            if request.kind not in self.kinds or outcome == 429:
                continue
            if not self.fleet.is_connected(request.node, request.sent_at - CONTACT_S):
                continue
            is_meanwhile = since <= request.sent_at < self.ended_at
            if is_meanwhile and not request.is_crashing:
                tries[True] += 1
                served[True] += outcome in (200, "cut")
            elif request.sent_at < self.began_at:
                tries[False] += 1
                served[False] += outcome in (200, "cut")
        enough = min(tries[True], tries[False]) >= MIN_SOUND_TRIES
        if enough and served[True] * tries[False] * 2 < served[False] * tries[True]:
            self.fleet.checker.record_violation(
                "sound requests",
                f"begun {served[True]} of {tries[True]}, before {served[False]} of "
                f"{tries[False]}",
            )


class CrashingPart:
    """A part of a prompt on which servers crash, and what nodes do meanwhile.

    Sound requests share a part and the caller with those that hold it.

    Attributes
    ----------
    ended : list of float
        When servers ended on it.
    late : int
        Requests with it that reached servers from nodes that had to know of it.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.sound = SoundRequests(fleet, ("stream", "resumable"))
        self.ended = []
        self.late = 0

    def server_ended(self):
        self.ended.append(self.fleet.clock())

    def received(self, node):
        """Count a request with the part that a server has received from a node."""
        if len(self.ended) < KNOWN_PART_CRASHES:
            return
        now = self.fleet.clock()
        known_at = self.ended[KNOWN_PART_CRASHES - 1] + CONTACT_S
        if now > known_at and self.fleet.is_connected(node, now - CONTACT_S):
            self.late += 1
            if self.late == MAX_LATE_PART_REQUESTS + 1:
                self.fleet.checker.record_violation(
                    "crashing part", f"{len(self.ended)} servers ended, from {node}"
                )

    def end(self):
        """Note that no more such requests come."""
        self.sound.end()

    def check(self):
        """Check how sound requests were served; when all of the time have ended."""
        last = self.ended[:KNOWN_PART_CRASHES][-1:] or [self.sound.began_at]
        self.sound.check(since=last[0] + 2 * CONTACT_S)


class InvariantChecker:
    """Receives observations, and records a line for each violated invariant.

    Attributes
    ----------
    violations : list of str
    counts : dict of str to int
        Requests by kind and outcome.
    late_requests : dict of str to bool
        The requests that came late in a planned stop, and whether they came whole.
    spoilt : set of str
        The requests that got a cut answer, or none, from a faulty server.
    only : str
        The rule whose violations are recorded; all if empty.
    """

    def __init__(self, clock, limits):
        self.clock = clock
        self.limits = limits
        self.violations = []
        self.counts = defaultdict(int)
        self.requests = {}
        self.runs = defaultdict(list)
        self.not_run = {}
        self.spent = defaultdict(deque)
        self.newest_tokens = {}
        self.holders = {}
        self.recent_holders = defaultdict(lambda: deque(maxlen=3))
        self.usage = {}
        self.versions = {}
        self.resumed_at = {}
        self.crashes = defaultdict(list)
        self.outcomes = {}
        self.event_versions = {}
        self.pieces = defaultdict(set)
        self.late_requests = {}
        self.spoilt = set()
        self.only = ""

    def record_violation(self, rule, text):
        if self.only not in ("", rule):
            return
        self.violations.append(f"{self.clock():.3f} s: {rule}: {text}")

    # Callers

    def request_sent(self, request_id, request):
        self.requests[request_id] = request

    def request_ended(self, request_id, outcome, *, complete=False, correct=True):
        """Record the end of a request: a status, or how its connection ended."""
        request = self.requests[request_id]
        self.outcomes[request_id] = outcome
        self.counts[f"{request.kind} {outcome}"] += 1
        if outcome in NOT_RUN:
            self.not_run[request_id] = outcome
            if self.runs[request_id]:
                self.record_violation(
                    "not run", f"{request.kind} {request_id} ran and got {outcome}"
                )
        if isinstance(outcome, int) and not 200 <= outcome <= 599:
            self.record_violation("wrong response", f"{request_id} got {outcome}")
        if complete and not correct:
            self.record_violation("wrong response", f"{request.kind} {request_id}")

    def check_late_requests(self, *, is_planned):
        """Check how requests ended that came late in the planned stop of their node.

        Parameters
        ----------
        is_planned : bool
            Whether the node met no other fault meanwhile.
        """
        late, self.late_requests = self.late_requests, {}
        for request_id, is_finished in late.items() if is_planned else ():
            outcome = self.outcomes.get(request_id, "no answer")
            is_right = outcome == 503 or (is_finished and outcome == 200)
            if not is_right and request_id not in self.spoilt:
                ran = "ran" if self.runs[request_id] else "did not run"
                self.record_violation(
                    "late request", f"{request_id} {ran} and got {outcome}"
                )

    def connection_closed(self, request_id):
        """Record that a healthy node closed a connection without a response."""
        request = self.requests[request_id]
        if self.runs[request_id]:
            self.record_violation(
                "no response", f"{request.kind} {request_id} ran, {request.node}"
            )

    def deadline_missed(self, request_id):
        """Record a request that had not ended `DEADLINE_GRACE_S` after its deadline."""
        request = self.requests[request_id]
        self.record_violation(
            "deadline", f"{request.kind} {request_id} at {request.node}"
        )

    def version_served(self, node, probed_at, version):
        """Record that `node` served configuration `version` at `probed_at` or later."""
        newest, since = self.versions.get(node, (0, 0.0))
        if version < newest and probed_at > since:
            self.record_violation(
                "configuration", f"{node} served {version} after {newest}"
            )
        elif version > newest:
            self.versions[node] = (version, self.clock())

    def version_stale(self, node, version, newest):
        """Record that `node`, though connected, doesn't serve the newest version."""
        self.record_violation(
            "configuration in time",
            f"{node}: wrong response for {version}, newest {newest}",
        )

    # Servers

    def request_started(self, request_id, server, organisation):
        """Record that a server begins to run a request."""
        request = self.requests.get(request_id)
        if request is None:
            self.record_violation(
                "unknown request", f"{server} received {request_id}, which wasn't sent"
            )
            return
        runs = self.runs[request_id]
        runs.append(server)
        if len(runs) > request.max_runs:
            self.record_violation("runs", f"{request.kind} {request_id} at {runs}")
        if request_id in self.not_run:
            status = self.not_run[request_id]
            self.record_violation(
                "not run", f"{request.kind} {request_id} ran after {status}"
            )
        if organisation != request.organisation:
            self.record_violation("organisation", f"{request_id} as {organisation!r}")
        if len(runs) == 1:
            self._spend(organisation, request.units)

    def event_made(self, stream, number, version):
        """Record the software version of the server that makes an event of a stream.

        Parameters
        ----------
        stream : str
            Id of the request that began the stream.
        """
        self.event_versions[stream, number] = version

    def stream_goes_on(self, stream, after, version):
        """Check the version of the server at which a stream goes on after an event."""
        before = self.event_versions.get((stream, after), version)
        if before != version:
            self.record_violation(
                "software version", f"{stream} after {after}: {before}, then {version}"
            )

    def check_text(self, stream, versions):
        """Check that all events that a caller has of a stream are of one version."""
        if len(set(versions)) > 1:
            self.record_violation("joined text", f"{stream}: {' '.join(versions)}")

    def stream_received(self, request_id, body, after):
        """Check that a caller holds nothing of a stream but what servers have made.

        Parameters
        ----------
        body : bytes
            What came of the response, complete or not.
        after : int
            Id of the event after which the caller took the stream up; 0 if it began.
        """
        foreign = first_foreign(body, self.pieces[request_id], after)
        if foreign:
            self.record_violation("foreign piece", f"{request_id}: {foreign!r}")

    def server_crashed(self, path):
        """Record that a request to `path` has crashed a server."""
        self.crashes[path].append(self.clock())

    def limited_server_received(self, server, limited, request_id, is_counted):
        """Check the limit that a server names, at each request that it receives.

        Parameters
        ----------
        is_counted : callable
            Returns whether a node was neither restarted, paused nor cut off.
        """
        request = self.requests.get(request_id)
        if request is None:
            return
        limited.received(request.node, self.clock())
        if limited.exceeded_by(is_counted) > 0:
            counts = [node for _, node in limited.arrivals]
            self.record_violation(
                "server limit", f"{server}, {limited.limit:g} a second: {counts}"
            )
            limited.arrivals.clear()

    def resting_server_received(self, server, resting, request_id, is_counted):
        """Check the rests that a server has asked for, at each request it receives.

        Parameters
        ----------
        is_counted : callable
            Returns whether a node was neither restarted, paused nor cut off.
        """
        request = self.requests.get(request_id)
        if request is None or not resting.received(request.node, self.clock()):
            return
        if is_counted(request.node):
            self.record_violation("rest", f"{server} from {request.node}")

    def leaving_server_received(self, server, told_at, request_id, is_counted):
        """Check that a node sends nothing to a server that has told it that it leaves.

        Parameters
        ----------
        told_at : dict of str to float
            By node, when the server has told it first.
        is_counted : callable
            Returns whether a node was neither restarted, paused nor cut off.
        """
        request = self.requests.get(request_id)
        if request is None or request.node not in told_at:
            return
        over_s = request.sent_at - told_at[request.node] - DRAIN_S
        if over_s > LEAVING_GRACE_S and is_counted(request.node):
            self.record_violation(
                "leaving", f"{server} from {request.node}, {over_s:.1f} s too late"
            )

    def drained_server_received(self, server, drained_at, request_id, is_counted):
        """Check that a server gets nothing once its entry has said that it leaves.

        Parameters
        ----------
        drained_at : float or None
            When the store had that entry.
        is_counted : callable
            Returns whether a node could read the store all the time.
        """
        request = self.requests.get(request_id)
        if request is None or drained_at is None:
            return
        over_s = request.sent_at - drained_at - DRAIN_S
        if over_s > LEAVING_GRACE_S and is_counted(request.node):
            self.record_violation(
                "drain", f"{server} from {request.node}, {over_s:.1f} s too late"
            )

    def _spend(self, organisation, units):
        limit = self.limits.get(organisation)
        if limit is None:
            return
        now, spent = self.clock(), self.spent[organisation]
        spent.append((now, units))
        while spent[0][0] < now - QUOTA_WINDOW_S:
            spent.popleft()
        total = sum(units for _, units in spent)
        if total > limit.max_units:
            self.record_violation(
                "limit", f"{organisation} {total} of {limit.max_units:.0f}"
            )
            spent.clear()

    # The platform

    def is_resuming(self, holder):
        """Return whether calls of a node don't count, as it was paused or cut off."""
        resumed_at = self.resumed_at.get(holder, -RESUME_GRACE_S)
        return self.clock() - resumed_at < RESUME_GRACE_S

    def duty_called(self, path, body, holder, fencing_token):
        """Record a call that only the holder of the duties may make."""
        if self.is_resuming(holder):
            return
        subject = (path, body.get("service"), body.get("zone"))
        if fencing_token < self.newest_tokens.get(subject, 0):
            self.record_violation(
                "one holder", f"{holder} sent {fencing_token} for {subject}"
            )
        self.newest_tokens[subject] = max(
            fencing_token, self.newest_tokens.get(subject, 0)
        )
        if self.holders.setdefault(fencing_token, holder) != holder:
            self.record_violation(
                "one holder",
                f"{holder} and {self.holders[fencing_token]} both use {fencing_token}",
            )
        self._check_turns(holder)
        if path == "/usage":
            window, counts = body["window_id"], body["counts"]
            if self.usage.setdefault(window, counts) != counts:
                self.record_violation(
                    "usage", f"{window}: {self.usage[window]}, then {counts}"
                )

    def _check_turns(self, holder):
        turns, now = self.recent_holders["holder"], self.clock()
        if turns and turns[-1][0] == holder:
            turns[-1] = (holder, now)
            return
        turns.append((holder, now))
        if len(turns) == 3 and turns[0][0] == holder and now - turns[0][1] < LEASE_S:
            self.record_violation("one holder", f"{holder} acted again within a lease")
