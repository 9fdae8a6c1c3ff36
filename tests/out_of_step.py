"""Releases during which one node of a fleet stands still or is cut off.

Servers of a new version join meanwhile, and streams begin there at the other nodes.
They break, and their callers take them up at the node that was out of step.
"""

import random
import signal
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass

import gevent
from losses import STREAMS, Ends, StreamCaller

FAULTS = ("stands still", "no nodes", "no store", "neither")
"""What happens to the node: what it doesn't reach, or that its process is stopped."""

ENDINGS = ("callers", "links", "servers", "nodes")
"""How streams break: the connections of callers or servers are reset, the servers of
the new version end, or the other nodes do."""

OLD_LEAVES = ("never", "before", "with the streams", "after")
"""When the servers of the old version leave."""

STREAM_AGE_S = 8.0
"""Age up to which nodes assume that streams are taken up, seconds."""

MAX_TAKE_UP_DELAY_S = 1.0
"""Longest time until callers come after the node is back in step, seconds."""

REFUSED_S = 0.3
"""Time for which servers refuse connections, seconds: all attempts fail in it."""


@dataclass(frozen=True)
class Release:
    """One release, and what one node goes through meanwhile.

    Attributes
    ----------
    node : int
        Number of the node that is out of step.
    fault, ending, old_leaves : str
        See `FAULTS`, `ENDINGS` and `OLD_LEAVES`.
    returns : bool
        Whether the new version has served before, and its origin is about to be
        removed from the list.
    joined_after_s, known_after_s, stays_s : float
        Time from the beginning of the fault until servers join, from then until streams
        begin, and from the break of the streams to the end of the fault, seconds.
    early : float
        Part of the callers that take their streams up before the fault ends.
    named : str
        The try that callers name.
    """

    seed: int
    node: int
    fault: str
    ending: str
    old_leaves: str
    returns: bool
    joined_after_s: float
    known_after_s: float
    stays_s: float
    early: float
    named: str

    @property
    def going_on(self):
        """The versions whose streams go on.

        Where servers or nodes are lost right after streams began, nobody may know where
        some began; see the limits in docs/design/stream-origins.md.
        """
        if self.ending in ("servers", "nodes"):
            return ()
        return ("v1", "v2") if self.old_leaves == "never" else ("v2",)


def draw_release(seed, *, nodes=6):
    """Return a release that depends on nothing but the seed."""
    rng = random.Random(seed)
    return Release(
        seed=seed,
        node=rng.randrange(nodes),
        fault=FAULTS[seed % len(FAULTS)],
        ending=ENDINGS[seed // len(FAULTS) % len(ENDINGS)],
        old_leaves=rng.choice(OLD_LEAVES),
        returns=rng.random() < 0.3,
        joined_after_s=rng.uniform(0.05, 0.5),
        known_after_s=rng.uniform(0.7, 1.5),
        stays_s=rng.uniform(0.2, 1.2),
        early=rng.choice((0.0, 0.3, 0.7)),
        named=rng.choice(("first", "last")),
    )


@contextmanager
def out_of_step(node, fault):
    """Stop a node's process, or cut it off."""
    with node.under_fault():
        if fault == "stands still":
            node.signal(signal.SIGSTOP)
        if fault in ("no store", "neither"):
            node.store_link.accepting = False
            node.store_link.reset()
        if fault in ("no nodes", "neither"):
            node.leave_peers()
        try:
            yield
        finally:
            node.rejoin_peers()
            node.store_link.heal()
            node.signal(signal.SIGCONT)


class UniqueCaller(StreamCaller):
    """Sends a prompt that shares nothing with others.

    Connections that are reset amid a request look like a server that crashes on it.
    """

    def call(self, kind, path, organisation, node=None, resumes=None):
        """See :meth:`Caller.call`."""
        name = f"{id(self):x}"
        return super().call(
            kind, f"{kind.path}{name}", organisation, node, resumes, parts=(name,)
        )


class ReleasePlay:
    """Plays a release with a running fleet.

    Attributes
    ----------
    ends : Ends
        How the streams end that were taken up.
    """

    def __init__(self, fleet, release):
        self.fleet = fleet
        self.release = release
        self.random = random.Random(release.seed)
        self.node = fleet.fleet.nodes[release.node]
        self.others = [n for n in fleet.fleet.nodes if n is not self.node]
        self.ends = Ends()
        self.callers = []

    def run(self):
        """Play the release; return how the streams ended."""
        release, fleet = self.release, self.fleet
        if release.returns:
            self._let_new_version_leave()
        self._begin_streams(4, [self.node])
        with ExitStack() as stack, out_of_step(self.node, release.fault):
            gevent.sleep(release.joined_after_s)
            fleet.start_engines("v2", known_after_s=release.known_after_s)
            if release.old_leaves == "before":
                fleet.stop_engines("v1")
            self._begin_streams(STREAMS, self.others)
            self._break_streams(stack)
            early = [c for c in fleet.callers if self.random.random() < release.early]
            self._take_up_within(early, release.stays_s)
            gevent.sleep(release.stays_s)
        late = [c for c in fleet.callers if c not in early]
        self._take_up_within(late, MAX_TAKE_UP_DELAY_S)
        if release.old_leaves == "after":
            gevent.sleep(self.random.uniform(0.0, MAX_TAKE_UP_DELAY_S))
            fleet.stop_engines("v1")
        gevent.joinall(self.ends.greenlets)
        return self.ends

    def _begin_streams(self, count, nodes):
        self.fleet.begin_streams(count, nodes, caller_type=UniqueCaller)

    def _let_new_version_leave(self):
        """Let the new version serve, and wait until its origin is nearly removed."""
        self.fleet.start_engines("v2")
        self._begin_streams(6, self.fleet.fleet.nodes)
        self.fleet.stop_engines("v2")
        self.fleet.forget_streams()
        gevent.sleep(STREAM_AGE_S + self.random.uniform(-2.0, 1.0))

    def _break_streams(self, stack):
        fleet, release = self.fleet, self.release
        if release.old_leaves == "with the streams":
            fleet.stop_engines("v1")
        if release.ending == "servers":
            fleet.stop_engines("v2")
            fleet.start_engines("v2", known_after_s=0.0)
        elif release.ending == "links":
            fleet.refuse_engines()
            gevent.sleep(REFUSED_S)
            fleet.accept_engines()
        elif release.ending == "nodes":
            fleet.lose(self.others, down_s=0.3)
        for node in fleet.fleet.nodes:
            node.link.reset()

    def _take_up_within(self, callers, seconds):
        """Let callers take their streams up, a third of them at once."""
        for caller in callers:
            delay_s = max(0.0, self.random.uniform(-0.5, 1.0)) * seconds
            self.ends.greenlets.append(
                gevent.spawn_later(delay_s, self._take_up, caller)
            )

    def _take_up(self, caller):
        caller.take_up_until_answered(self.ends, [self.node], self.release.named)
