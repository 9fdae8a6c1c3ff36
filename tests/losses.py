"""Fleets of gateway processes that are killed while they forward streams.

Callers take their streams up again afterwards, in the ways that they may.
"""

import random
import tempfile
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field

import gevent
from soak.callers import KINDS, Caller
from soak.fleet import Backend, Fleet
from soak.play import wait_until_ready

RESUMABLE = next(kind for kind in KINDS if kind.resumable)
EVENT_GAP_S = 0.25
STREAMS = 20
EVENTS_BEFORE = 2
"""Time between the events of a stream, seconds, streams, and the events that each has
when the nodes are killed."""

STREAM_SLOTS = 2 * STREAMS
TAKE_UP_S = 20.0
"""Time within which a caller gets an answer to its take-up, the start of the nodes
included, seconds."""

TAKE_UP_PAUSE_S = 0.1
KNOWN_WITHIN_S = 1.5
"""Time within which all nodes know of a server that has come or gone, seconds."""


@dataclass
class Ends:
    """How the streams ended that were taken up.

    Attributes
    ----------
    went_on, refused, unanswered : list of str
        Software versions that began them.
    joined : list of tuple of str
        Versions of the events of streams that hold several.
    first_event_s : list of float
        Time from a take-up that went on to its first event, seconds.
    greenlets : list of Greenlet
        The callers that take their streams up.
    """

    went_on: list = field(default_factory=list)
    refused: list = field(default_factory=list)
    unanswered: list = field(default_factory=list)
    joined: list = field(default_factory=list)
    first_event_s: list = field(default_factory=list)
    greenlets: list = field(default_factory=list)

    def share(self, version):
        """Return the share of streams that went on, of those that `version` began."""
        taken_up = self.went_on + self.refused + self.unanswered
        return self.went_on.count(version) / taken_up.count(version)

    def __str__(self):
        kinds = ("went_on", "refused", "unanswered")
        return ", ".join(f"{k}: {' '.join(getattr(self, k)) or '-'}" for k in kinds)


class StreamCaller(Caller):
    """Begins a stream, and takes it up after the loss of its node."""

    def begin(self, node):
        """Begin a stream at a node, and read it until it ends or breaks off."""
        self.call(RESUMABLE, f"{RESUMABLE.path}x", self.organisation, node)

    def take_up_until_answered(self, ends, nodes, named):
        """Take the stream up until an answer tells whether it goes on.

        A caller comes back when an answer says so; after no time it can begin anew.
        """
        if self.broken is None:
            return
        began_by = self.broken.versions[0]
        end = self.fleet.clock() + TAKE_UP_S
        while self.fleet.clock() < end:
            sent_at = self.fleet.clock()
            outcome = self.take_up(RESUMABLE, self.random.choice(nodes), named)
            pause_s = self.retry_after_s
            if outcome == 200 or (isinstance(outcome, int) and not pause_s > 0):
                break
            gevent.sleep(pause_s if pause_s > 0 else TAKE_UP_PAUSE_S)
        if len(set(self.versions)) > 1:
            ends.joined.append(self.versions)
        if outcome == 200:
            ends.first_event_s.append(self.first_event_at - sent_at)
            ends.went_on.append(began_by)
        else:
            is_answered = isinstance(outcome, int)
            (ends.refused if is_answered else ends.unanswered).append(began_by)


class StreamFleet:
    """Gateway processes before engines, whose streams are slow enough to be cut.

    Attributes
    ----------
    engines : dict of str to list of Backend
        By software version.
    """

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.engines = {"v1": [b for b in fleet.backends if b.service == "engine"]}
        self.callers = []
        self.event_gap_s = EVENT_GAP_S
        self._slow_down()

    def _slow_down(self):
        for backends in self.engines.values():
            for backend in backends:
                backend.server.slots = STREAM_SLOTS
                backend.server.event_gap_s = self.event_gap_s
                backend.send_heartbeat()

    def start_engines(self, version, count=3, known_after_s=KNOWN_WITHIN_S):
        """Start engines of a software version, and let the nodes learn of them."""
        fleet = self.fleet
        for _ in range(count):
            number = next(fleet.backend_numbers)
            backend = Backend(fleet, number, "engine", version=version)
            fleet.backends.append(backend)
            self.engines.setdefault(version, []).append(backend)
        self._slow_down()
        gevent.sleep(known_after_s)

    def restart_as(self, version, *, entries_known):
        """Let the first engine start again under its id, with other software.

        Parameters
        ----------
        entries_known : bool
            Whether it writes its new entry; else its former one stands for now.
        """
        backend = self.engines["v1"].pop(0)
        backend.version = version
        backend.restart_under(backend.server.id, holds_entry=not entries_known)
        self.engines.setdefault(version, []).append(backend)
        self._slow_down()

    def write_entries(self):
        """Let all engines write their entries again."""
        for backends in self.engines.values():
            for backend in backends:
                backend.holds_entry = False
                backend.send_heartbeat()

    def stop_engines(self, version):
        """Take away the engines of a software version, and their entries."""
        for backend in self.engines.pop(version):
            server = backend.server
            backend.retire()
            backend.expire_entry(server.id)

    def refuse_engines(self):
        """Reset all connections to engines, and let no new ones open."""
        for backend in (b for backends in self.engines.values() for b in backends):
            backend.link.accepting = False
            backend.link.reset()

    def accept_engines(self):
        """Let connections to engines open again."""
        for backend in (b for backends in self.engines.values() for b in backends):
            backend.link.heal()

    def forget_streams(self):
        """Let no caller take its stream up."""
        self.callers = []

    def begin_streams(
        self,
        count=STREAMS,
        nodes=None,
        event_gap_s=EVENT_GAP_S,
        caller_type=StreamCaller,
    ):
        """Begin streams at all nodes in turn, and wait for their first events."""
        self.event_gap_s = event_gap_s
        self._slow_down()
        nodes = nodes or self.fleet.nodes
        callers = [
            caller_type(self.fleet, random.Random(self.random.random()), "free")
            for _ in range(count)
        ]
        for number, caller in enumerate(callers):
            gevent.spawn(caller.begin, nodes[number % len(nodes)])
        with gevent.Timeout(TAKE_UP_S):
            while any(c.received.count(b"\n\n") < EVENTS_BEFORE for c in callers):
                gevent.sleep(0.01)
        self.callers += callers

    def lose(self, nodes, down_s=1.0, meanwhile=lambda: None):
        """Kill nodes at once, and start them again after a while."""
        with ExitStack() as stack:
            for node in nodes:
                stack.enter_context(node.under_fault())
                node.begin_kill()
            for node in nodes:
                node.kill()
        meanwhile()
        gevent.sleep(down_s)
        for node in nodes:
            node.start()

    def begin_to_take_up(self, named="first", nodes=None):
        """Let all callers take their streams up; return the ends to come."""
        ends, callers = Ends(), self.callers
        self.callers = []
        nodes = nodes or self.fleet.nodes
        ends.greenlets = [
            gevent.spawn(caller.take_up_until_answered, ends, nodes, named)
            for caller in callers
        ]
        return ends

    def take_up(self, named="first", nodes=None):
        """Let all callers take their streams up; return how they ended."""
        ends = self.begin_to_take_up(named, nodes)
        gevent.joinall(ends.greenlets)
        return ends


@contextmanager
def running_fleet(slot, *, nodes=6, seed=1, stream_age_s=None, earlier=0):
    """Run a fleet with engines of version ``v1``; the soak's rules hold meanwhile.

    Parameters
    ----------
    stream_age_s : float or None
        Age up to which nodes assume that streams are taken up, seconds.
    earlier : int
        Number of nodes that do as those of the build before.
    """
    directory = tempfile.mkdtemp(prefix=f"losses-{seed}-")
    fleet = Fleet(
        directory, slot, nodes=nodes, stream_age_s=stream_age_s, earlier=earlier
    )
    loops = []
    try:
        wait_until_ready(fleet)
        loops = [gevent.spawn(fleet.lag.run), gevent.spawn(fleet.send_heartbeats)]
        yield StreamFleet(fleet, seed)
    finally:
        gevent.killall(loops)
        fleet.close()
