"""Servers that start again under their id with other software."""

import random
from collections import Counter

import gevent

from soak.callers import KINDS, REFUSED_PAUSE_S, Caller
from soak.standins import EVENT_GAP_S

MIN_RESTART_GAP_S = 3.0
"""Least time between two starts of a server, seconds. Nodes may take two starts between
two reads of the servers for one."""

IDLE_WAIT_S, IDLE_POLL_S = 1.0, 0.005
"""Longest wait for a moment without a request, and time between two looks, seconds."""

UNLISTED_S = 0.6
"""Time from a start until the store has the server's new entry, seconds: half of a
heartbeat. Streams that begin and break off meanwhile are those of a process that no
node knows."""

CALLERS, BEGIN_S = 12, 1.0
"""Callers that begin streams once a server has started again, and for how long they do,
seconds."""

BREAKS, BREAK_GAP_S = 4, (0.1, 0.25)
"""How often that server's streams are broken off, and the time before each, seconds."""

SLOW_EVENT_S = 0.06
"""Time between two events of its streams, seconds."""


class StreamCaller(Caller):
    """Begins one stream after the other, and takes up those that break off."""

    def run_for(self, seconds):
        """Begin streams until `seconds` have passed, and end the last one."""
        kind = next(kind for kind in KINDS if kind.resumable)
        end = self.fleet.clock() + seconds
        while self.fleet.clock() < end:
            outcome = self.call(kind, f"{kind.path}x", self.organisation)
            if self.broken is not None:
                outcome = self._resume(kind)
            gevent.sleep(REFUSED_PAUSE_S if outcome != 200 else 0.0)


def server_starts_again(fleet, fault):
    """Start a server again under its id with other software, and break its streams off.

    Nodes that have not read its new entry yet take it for the former process, and
    others of the former version are there to take up its streams. What counts is the
    text that callers get.
    """
    if fleet.versions_change:
        return
    fleet.versions_change = True
    backend = _choose_idle(fleet)
    streams = _break_streams(fleet, backend, fault) if backend is not None else []
    fleet.versions_change = False
    gevent.joinall(streams)


def _choose_idle(fleet):
    """Return an engine whose version another one has; ``None`` if none may start again.

    If possible it runs no request, so that no node sees its process end.
    """
    found = _candidates(fleet)
    with gevent.Timeout(IDLE_WAIT_S, False):
        while all(backend.server.running for backend in found):
            gevent.sleep(IDLE_POLL_S)
            found = _candidates(fleet)
    found = _candidates(fleet)
    return min(found, key=lambda backend: backend.server.running, default=None)


def _candidates(fleet):
    """Return the engines that may start again now."""
    engines = [b for b in fleet.backends if b.service == "engine" and b.server]
    shared = Counter(backend.server.version for backend in engines)
    due_at = fleet.clock() - MIN_RESTART_GAP_S
    return [
        backend
        for backend in engines
        if shared[backend.server.version] > 1 and backend.started_at < due_at
    ]


def _break_streams(fleet, backend, fault):
    """Start a server again, begin streams and break its own off; return their ends."""
    backend.version = "v1" if backend.version != "v1" else "v2"
    # A node that is refused a connection knows that the process has ended.
    backend.restart_under(backend.server.id, holds_entry=True, down_s=0.0)
    server = backend.server
    if server is None:
        return []
    server.may_be_mistaken = True
    server.event_gap_s = SLOW_EVENT_S
    rng = random.Random(fault.target)
    callers = [StreamCaller(fleet, rng, "free") for _ in range(CALLERS)]
    streams = [gevent.spawn(caller.run_for, BEGIN_S) for caller in callers]
    gevent.sleep(UNLISTED_S)
    backend.link.reset()
    backend.holds_entry = False
    backend.send_heartbeat()
    for _ in range(BREAKS):
        gevent.sleep(rng.uniform(*BREAK_GAP_S))
        backend.link.reset()
    server.event_gap_s = EVENT_GAP_S
    return streams
