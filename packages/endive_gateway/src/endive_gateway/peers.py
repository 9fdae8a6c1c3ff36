"""What gateways tell each other: small datagrams, and configurations on request.

The datagrams are msgpack by ``msgspec``, which each process needs anyway: thrift's
library takes a fifth of the time in which a node starts, and while all nodes start
anew, no caller is served.

Nothing here has to arrive. A datagram holds whole figures, never changes of figures,
so the next one makes good for one that was lost.
"""

import time

import gevent
from endive_core.crashes import Crash
from endive_core.shared_limits import SILENCE_TIMEOUT_S, SpendingOrigin
from endive_node.logs import log_event
from gevent.event import Event

from endive_gateway.clocks import boot_time
from endive_gateway.configuration import ConfigurationFollower
from endive_gateway.configuration_exchange import DocumentExchange
from endive_gateway.context import Context
from endive_gateway.datagrams import DatagramPort
from endive_gateway.following import ServerFollower
from endive_gateway.listing import NodeList
from endive_gateway.nodes import Peer
from endive_gateway.state_messages import DECODER, StateMessage

BROADCAST_INTERVAL_S = 0.2
BROADCAST_INTERVAL_PER_NODE_S = 0.01
"""Time between two tellings, seconds, at least and for each node known. What one node
sends and receives then stays under 200 datagrams a second however many nodes there
are; the limits shared by them are counted over 8 seconds."""

LEAST_READERS = 4
NODES_PER_READER = 10
"""Nodes that read the list of servers for all, at least, and for how many nodes one
more. Each read is paid for, and 87 nodes made 290 a second."""

FEW_NODES = 20
"""Nodes up to which each one reads the configuration itself."""

AT_ONCE = 10
"""Datagrams sent at once; 10 of a kilobyte take 16 ms of the slowest link."""

URGENT_STEP_S = 0.025
"""Time between ten datagrams and the next ten when a server leaves, seconds: 87 nodes
are told within 0.23 s, at 3 Mbit/s."""

MOST_CRASHES = 4
"""Crashes in one telling; each is told again until it is forgotten."""

HEARD_S = 1.5
"""Time after which a silent node isn't counted as live, seconds: several tellings may
be lost in a row."""

MISSED_TELLINGS = 3
"""Tellings in a row that may be missing before a node counts as silent."""

FORGOTTEN_S = 30.0
"""Time after which nothing is sent to a silent node any more, seconds."""

LIST_READ_S = 0.1
"""Longest time that a node that starts waits for the list of nodes, seconds; the store
mostly gives it within 10 ms."""

GREETINGS = 6
"""Nodes that tell a newcomer at once that they have a configuration. One is enough;
several spread the newcomers that start together."""


class Peers:
    """The other nodes, and the loops that talk with them.

    Attributes
    ----------
    fence : int
        Fencing number of the duties that this node holds; 0 if it doesn't.
    duty_end : int
        Newest known end of the duties' log.
    duty_moved_at : float or None
        When it was first heard of, on the boot clock; the log moved there earlier.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        location = context.settings.location
        self.me = location.node
        self.address = location.address
        self.port = location.peer_port
        self.known: dict[str, Peer] = {}
        self.sequence = 0
        self.fence = 0
        self.duty_end = 0
        self.duty_moved_at: float | None = None
        self.logged_live = 0
        self.heard_s = HEARD_S
        self.documents = DocumentExchange(context, self.live)
        self.list = NodeList(context, self._take_listed)
        self.urgent = Event()
        self.datagrams = DatagramPort("tellings", DECODER, self.receive)
        self.loops: list[gevent.Greenlet] = []
        self.servers: ServerFollower | None = None
        self.configuration: ConfigurationFollower | None = None
        for seed in location.seeds:
            self._add(seed)

    def start(self) -> None:
        """Start listening and telling."""
        self.datagrams.start(self.address, self.port)
        self.documents.start(self.address, self.port + 1)
        loops = (self._broadcast_loop, self.list.follow)
        self.loops = [gevent.spawn(loop) for loop in loops]

    def stop(self) -> None:
        """Stop the loops and close the ports."""
        gevent.killall(self.loops)
        self.documents.stop()
        self.datagrams.stop()

    def live(self) -> list[Peer]:
        """Return the nodes heard a short while ago."""
        now = time.monotonic()
        return [p for p in self.known.values() if now - p.heard_at < self.heard_s]

    def believed(self) -> list[str]:
        """Return the addresses of the nodes heard, or listed, a short while ago.

        Nodes that start together read the same list before they hear each other. Had
        each only those that it has heard, they would choose different ones to add up
        what an organisation spends.
        """
        now = time.monotonic()
        return [
            peer.address
            for peer in self.known.values()
            if now - max(peer.heard_at, peer.known_at) < self.heard_s
        ]

    def is_reader(self) -> bool:
        """Return whether this node reads the store for the others.

        The nodes that have run for longest do, a tenth of all and four at least: more
        than are cut off or turned away together as a rule.
        """
        live = self.live()
        readers = max(LEAST_READERS, (len(live) + 1) // NODES_PER_READER)
        return self.older_among(live) < readers

    def rank(self) -> int:
        """Return how many live nodes have run for longer than this one."""
        return self.older_among(self.live())

    def live_nodes(self) -> int:
        """Return how many nodes are in touch, this one included."""
        return len(self.live()) + 1

    def older_among(self, peers: list[Peer]) -> int:
        """Return how many of `peers` have run for longer than this node."""
        own = (self.context.incarnation, self.me)
        return sum((peer.incarnation, peer.node) < own for peer in peers)

    def reads_alone(self) -> bool:
        """Return whether the nodes are so few that each reads the configuration."""
        return len(self.known) + 1 <= FEW_NODES

    def await_first_configuration(self) -> bool:
        """Let another of many nodes hand over its configuration; say whether one did.

        Few nodes read the store at once.
        """
        self.list.is_read.wait(LIST_READ_S)
        return not self.reads_alone() and self.documents.await_first()

    def _greet(self, peer: Peer) -> None:
        """Tell a node that has no configuration yet that this one has."""
        holders = 1 + sum(other.version >= 0 for other in self.live())
        if self.context.random.random() < GREETINGS / holders:
            self.send_state([peer])

    def _take_listed(self, addresses: list[str]) -> None:
        """Take over which nodes the list names, and tell them of this one."""
        for address in addresses:
            known = address in self.known
            if self._add(address) is not None and not known:
                self.context.limits.add_peer(address, time.monotonic())
        self.context.set_nodes(len(self.known) + 1)
        self.send_state()

    def _add(self, address: str) -> Peer | None:
        if address == self.address:
            return None
        peer = self.known.get(address)
        if peer is None:
            peer = self.known[address] = Peer(address, known_at=time.monotonic())
        return peer

    # Telling

    def _broadcast_loop(self) -> None:
        while True:
            nodes = len(self.known) + 1
            gap = max(BROADCAST_INTERVAL_S, BROADCAST_INTERVAL_PER_NODE_S * nodes)
            self._expect_tellings_each(gap)
            gap *= self.context.random.uniform(0.9, 1.1)
            steps = max(1, -(-(nodes - 1) // AT_ONCE))
            if self.urgent.is_set():
                self.urgent.clear()
                gap = min(gap, URGENT_STEP_S * steps)
            self._tell_in_steps(gap / steps)
            self._look_after()

    def _expect_tellings_each(self, gap_s: float) -> None:
        """Set how long a node may be unheard, from how often it tells.

        Had 87 nodes the time of eight, each would take half of the others for silent
        and leave half of every limit to them.
        """
        self.heard_s = max(HEARD_S, MISSED_TELLINGS * gap_s)
        self.context.limits.silence_timeout_s = max(
            SILENCE_TIMEOUT_S, MISSED_TELLINGS * gap_s
        )

    def _tell_in_steps(self, step_s: float) -> None:
        """Tell all others, a few each `step_s` seconds, or until there is urgent news.

        The slowest links carry 5 Mbit/s. A hundred datagrams at once wait there for a
        fifth of a second, or are dropped, always the same ones.
        """
        peers = list(self.known.values())
        for first in range(0, max(1, len(peers)), AT_ONCE):
            self.send_state(peers[first : first + AT_ONCE])
            if self.urgent.wait(step_s):
                return

    def hasten(self) -> None:
        """Tell all others soon of a server that leaves, if this node reads for them.

        Among 87 nodes the next round takes 0.9 s, and a reclaimed server may be gone
        after 1.1 s, with all requests that it got meanwhile.
        """
        if self.is_reader() and not self.reads_alone():
            self.urgent.set()

    def send_state(
        self, peers: list[Peer] | None = None, *, gone: bool = False
    ) -> None:
        """Send this node's figures to `peers`, or to all others."""
        self.sequence += 1
        told = list(self.known.values()) if peers is None else peers
        self.datagrams.send(self._telling(gone), [peer.address for peer in told])

    def _telling(self, gone: bool) -> "StateMessage":
        context = self.context
        for service, parts in context.placer.occupied_servers().items():
            context.work.set_running(service, parts)
        now = time.monotonic()
        recent = context.placer.crashes.recent(now, limit=MOST_CRASHES)
        return StateMessage(
            node=self.me,
            incarnation=context.incarnation,
            sequence=self.sequence,
            wall_ms=int(time.time() * 1000),
            version=context.version,
            gone=gone,
            spent=context.limits.own_totals(),
            work=context.work.update(now),
            windows=context.meter.own_totals(),
            crashes=[
                (crash.fingerprint, crash.server, now - crash.at) for crash in recent
            ],
            fence=self.fence,
            reported=context.reported,
            news=self.servers.news() if self.servers and self.is_reader() else None,
            duty_end=self.duty_end,
            failing=context.placer.ejection.own_counts(now),
            age_s=now - context.started_at,
            starting=context.placer.own_backlogs(),
            proof_age_s=self.configuration.proof_age_s() if self.configuration else -1,
        )

    def _look_after(self) -> None:
        """Count who is there."""
        now = time.monotonic()
        for address, peer in list(self.known.items()):
            if now - max(peer.heard_at, peer.known_at) > FORGOTTEN_S:
                del self.known[address]
        live = len(self.live())
        if live != self.logged_live:
            log_event(
                "peers", live=live, before=self.logged_live, known=len(self.known)
            )
            self.logged_live = live
        self.context.limits.remove_silent_peers(now)
        self.context.set_nodes(len(self.known) + 1)

    # Hearing

    def receive(self, telling: "StateMessage", address: str) -> None:
        """Take over what another node tells."""
        peer = self._add(address)
        if peer is None:
            return
        age = (telling.incarnation, telling.sequence)
        if age <= (peer.incarnation, peer.sequence):
            return
        now = time.monotonic()
        peer.node, peer.incarnation, peer.sequence = telling.node, *age
        peer.heard_at = now
        peer.version = telling.version
        peer.fence = telling.fence
        peer.work = telling.work
        context = self.context
        context.reported = max(context.reported, telling.reported)
        self.see_duty_end(telling.duty_end)
        context.cluster_clock.receive(address, telling.wall_ms / 1000)
        spender = SpendingOrigin(address, *age, telling.age_s)
        context.limits.receive(spender, telling.spent, now)
        context.meter.receive(address, telling.incarnation, telling.windows)
        for fingerprint, server, age_s in telling.crashes:
            context.placer.crashes.add(Crash(fingerprint, server, now - age_s))
        context.placer.ejection.receive(address, telling.failing, now)
        context.placer.backlogs.receive(address, telling.starting, now)
        if telling.version < 0 <= context.version:
            self._greet(peer)
        if telling.version > context.version:
            self.documents.pull(self.port + 1, alone=self.reads_alone())
        if telling.news is not None and self.servers is not None:
            self.servers.receive(telling.news)
        if self.configuration is not None:
            self.configuration.hear_proof(telling.version, telling.proof_age_s)
        if telling.gone:
            log_event("peer_gone", peer=telling.node)
            context.limits.remove_peer(address)
            self.known.pop(address, None)

    def see_duty_end(self, end: int) -> None:
        """Note how far the duties' log goes, as read or told."""
        if end > self.duty_end:
            self.duty_end = end
            self.duty_moved_at = boot_time()
