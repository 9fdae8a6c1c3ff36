"""Exchange of state between gateways: periodic datagrams, and configurations on demand.

The datagrams are encoded in msgpack by ``msgspec``, which each process imports anyway.
Importing the thrift library would take a fifth of a node's start-up time, and while all
nodes restart, no caller is served.

Delivery is not guaranteed. A datagram contains totals, never increments, so the next
one makes up for one that was lost. Only the changes of servers are increments; a node
that misses some reads the store.
"""

import time

import gevent
from endive_core.crash_news import FRESH_RECEIVERS
from endive_core.shared_limits import SILENCE_TIMEOUT_S, SpendingOrigin
from endive_core.stream_origins import Member
from endive_node.logs import log_event
from gevent.event import Event

from endive_gateway.bootstrap import Bootstrap, BootstrapExchange
from endive_gateway.clocks import boot_time
from endive_gateway.configuration import ConfigurationFollower
from endive_gateway.configuration_exchange import ConfigurationExchange
from endive_gateway.context import Context
from endive_gateway.crash_exchange import ANNOUNCEMENT_DELAY_S, CrashExchange
from endive_gateway.datagrams import DatagramPort
from endive_gateway.following import RELAY_TIMEOUT_S
from endive_gateway.interfaces import Record
from endive_gateway.listing import NodeList
from endive_gateway.loops import keep_running
from endive_gateway.nodes import RESTART_MARGIN_S, Peer
from endive_gateway.part_exchange import PartExchange
from endive_gateway.server_following import ServerFollower
from endive_gateway.state_messages import DECODER, StateMessage

BROADCAST_INTERVAL_S = 0.2
BROADCAST_INTERVAL_PER_NODE_S = 0.01
"""Time between two state messages to the same peer, seconds: at least, and for each
known node. A node then sends and receives fewer than 200 datagrams a second in total at
any number of nodes. The shared rate limits are counted over 8 s."""

MIN_READERS = 4
MAX_READERS = 8
NODES_PER_READER = 10
"""Least and largest number of nodes that read the servers' entries for all, and number
of nodes between them for which there is one reader. The platform charges for each read,
and 87 nodes made 290 a second when all of them read."""

MAX_NODES_ALL_READ = 20
"""Largest number of nodes at which each reads the configuration from the store."""

DATAGRAMS_PER_STEP = 10
"""Datagrams sent at once; 10 of 1 KB take 16 ms on the slowest link."""

URGENT_STEP_S = 0.025
"""Time between two steps of an urgent broadcast, when a server leaves, seconds. It
reaches 87 nodes within 0.23 s, at 3 Mbit/s."""

EVIDENCE_INTERVAL_S = 0.25
EVIDENCE_INTERVAL_PER_NODE_S = 0.005
"""Least time between two messages with new totals of a rollout to the holder of the
duties, seconds: at least, and for each node. The holder then gets at most 200 a second
at any number of nodes."""

LIVE_TIMEOUT_S = 1.5
"""Least time without a message after which a node no longer counts as live, seconds.
Several messages in a row may be lost."""

MISSED_BROADCASTS = 3
"""Consecutive state messages that may be missing before a node counts as silent."""

RECEIVE_PAUSE_FRACTION = 0.025
MAX_RECEIVE_PAUSE_S = 0.05
"""Time for which state messages are left to arrive before they are handled together, as
a fraction of the time between two messages of one node, and at most, seconds."""

FORGET_AFTER_S = 30.0
"""Time without a message after which a node is removed, seconds."""

LIST_WAIT_S = 0.1
"""Longest time for which a starting node waits for the list of nodes, seconds. The
store usually returns it within 10 ms."""

GREETERS = 6
"""Mean number of nodes that send a starting node a message at once, to announce what it
can take from them. One would be enough; several spread the pulls of nodes that start
together."""


GREETING_INTERVAL_S = 0.5
"""Least time between two such messages to one node, seconds. A starting node sends many
messages, and on a small instance each one that it receives delays its start."""

STARTING_S = 10.0
"""Time since its start for which a node may lack the list of nodes or the servers,
seconds."""


class Peers:
    """The other nodes, and the exchange of messages with them.

    Attributes
    ----------
    known : dict of str to Peer
        The other nodes by IP address.
    sequence : int
        Number of state messages that this node has sent.
    fence : int
        Fencing number of the duties that this node holds; 0 if it doesn't hold them.
    duty_log_end : int
        Newest known end of the duties log.
    duty_log_moved_at : float or None
        When this node learned of that end, on the boot clock; the log reached it
        earlier.
    live_timeout_s : float
        Time without a message after which a node no longer counts as live, seconds.
    urgent : Event
        Set while the next broadcast must be sent quickly.
    last_seen_at : float
        When the last state message of any node arrived, on the monotonic clock.
    announced : bool
        Whether this node has been complete since its start.
    away_until : float
        Until when this node heard of no other, on the monotonic clock: when it started,
        or when messages arrive again.
    has_evidence : bool
        Whether this node has taken since then what another one knows of crashes.
    lacks_crashes : bool
        Whether it has not, although another one tells of crashes.
    crash_exchange : CrashExchange
        The crashes that the nodes tell each other.
    part_exchange : PartExchange
        The same, by parts of prompts.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        location = context.settings.location
        self.node_name = location.node
        self.address = location.address
        self.port = location.peer_port
        self.known: dict[str, Peer] = {}
        self.sequence = 0
        self.fence = 0
        self.duty_log_end = 0
        self.duty_log_moved_at: float | None = None
        self.logged_live = 0
        self.live_timeout_s = LIVE_TIMEOUT_S
        self.configuration_exchange = ConfigurationExchange(context, self.live)
        self.bootstrap_exchange = BootstrapExchange(context, self)
        self.node_list = NodeList(context, self._add_listed)
        self.crash_exchange = CrashExchange(
            context.placer.crashes, self._announce_crashes
        )
        self.part_exchange = PartExchange(
            context.placer.trials.table, self.crash_exchange.announce_soon
        )
        context.placer.on_crash = self.crash_exchange.announce_soon
        context.limit_sharing.peer_addresses = self.presumed_live
        context.slot_leasing.peer_addresses = self.presumed_live
        context.slot_pooling.peer_addresses = self.pool_coordinators
        context.slot_leasing.choice.incarnation = self.incarnation_of
        context.slot_pooling.choice.incarnation = self.incarnation_of
        context.origin_exchange.live_members = self.live_members
        context.origin_records.recorders = self.origin_recorders
        context.origin_view.unlisting_nodes = self.unlisting_nodes
        context.server_rests.announce = self._announce_rest
        context.leaving_servers.announce = self._announce_leaving
        context.rollouts.announce = self._announce_rollouts
        context.rollouts.has_peers = lambda: bool(self.known)
        context.rollouts.last_heard_at = lambda: self.last_seen_at
        context.rollouts.is_holder = lambda: self.fence > 0
        context.rollout_observer.send_evidence = self._send_evidence
        self.urgent = Event()
        self.last_seen_at = float("-inf")
        self.announced = False
        self.away_until = context.started_at
        self.has_evidence = False
        self.lacks_crashes = False
        self.next_evidence_at = 0.0
        self.rollout_announcement: gevent.Greenlet | None = None
        self.datagrams = DatagramPort("tellings", DECODER, self.receive)
        self.loops: list[gevent.Greenlet] = []
        self.servers: ServerFollower | None = None
        self.configuration: ConfigurationFollower | None = None
        for seed in location.seeds:
            self._add_peer(seed)

    def start(self) -> None:
        """Open the ports and start the loops."""
        self.datagrams.start(self.address, self.port)
        self.configuration_exchange.start(self.address, self.port + 1)
        self.bootstrap_exchange.start(self.address, self.port)
        self.context.registry.listeners.append(self._announce_servers)
        loops = (self._broadcast_loop, self.node_list.follow)
        self.loops = [gevent.spawn(keep_running, loop) for loop in loops]

    def stop(self) -> None:
        """Stop the loops and close the ports."""
        gevent.killall(self.loops)
        self.configuration_exchange.stop()
        self.bootstrap_exchange.stop()
        self.datagrams.stop()

    def live(self) -> list[Peer]:
        """Return the nodes from which a message arrived recently."""
        now = time.monotonic()
        return [
            p for p in self.known.values() if now - p.last_seen_at < self.live_timeout_s
        ]

    def presumed_live(self) -> list[str]:
        """Return the addresses of nodes that are live or were listed recently.

        Nodes that start together read the same list before they receive each other's
        messages. If each counted only the nodes that it has heard from, they would
        choose different coordinators for an organisation's limit.
        """
        now = time.monotonic()
        return [
            peer.address
            for peer in self.known.values()
            if now - max(peer.last_seen_at, peer.added_at) < self.live_timeout_s
        ]

    def incarnation_of(self, address: str) -> int:
        """Return the latest known start of the node with an address, or 0."""
        peer = self.known.get(address)
        return 0 if peer is None else peer.incarnation

    def pool_coordinators(self) -> list[str]:
        """Return the addresses of live nodes that coordinate pools of slots."""
        return [peer.address for peer in self.live() if peer.pools_slots]

    def live_members(self) -> dict[str, Member]:
        """Return the live nodes that keep origins of streams, by address."""
        return {
            peer.address: Member(peer.zone, peer.incarnation)
            for peer in self.live()
            if peer.zone
        }

    def origin_recorders(self) -> list[str]:
        """Return the addresses of live nodes that record where streams begin."""
        return [peer.address for peer in self.live() if peer.records_origins]

    def unlisting_nodes(self) -> int:
        """Return how many live nodes begin streams and list no origins."""
        return sum(not peer.records_origins for peer in self.live())

    def is_reader(self) -> bool:
        """Return whether this node reads the store on behalf of the others.

        The readers are the nodes that have run for longest, four to eight of them. That
        is more than usually lose the network or the store together.
        """
        live = self.live()
        tenth = (len(live) + 1) // NODES_PER_READER
        return self.older_among(live) < min(MAX_READERS, max(MIN_READERS, tenth))

    def rank(self) -> int:
        """Return how many live nodes have run for longer than this one."""
        return self.older_among(self.live())

    def live_node_count(self) -> int:
        """Return how many nodes are live, this one included."""
        return len(self.live()) + 1

    def is_isolated(self) -> bool:
        """Return whether no node's messages arrive at this one any more."""
        return time.monotonic() - self.last_seen_at > RELAY_TIMEOUT_S

    def older_among(self, peers: list[Peer]) -> int:
        """Return how many of `peers` have run for longer than this node."""
        own = (self.context.incarnation, self.node_name)
        return sum((peer.incarnation, peer.node) < own for peer in peers)

    def every_node_reads(self) -> bool:
        """Return whether so few nodes run that each reads the configuration itself."""
        return len(self.known) + 1 <= MAX_NODES_ALL_READ

    def await_first_configuration(self) -> bool:
        """Wait for a peer's configuration; return whether one arrived.

        Where few nodes run, each reads the store at once and doesn't wait.
        """
        self.node_list.is_read.wait(LIST_WAIT_S)
        return not self.every_node_reads() and self.configuration_exchange.await_first()

    def _greet(self, peer: Peer, now: float) -> None:
        """Send a message to a node that lacks what this one has, with some probability.

        It announces that this node has a configuration, or knows the nodes and servers;
        `GREETERS` nodes do so on average.
        """
        if now - peer.greeted_at < GREETING_INTERVAL_S:
            return
        is_starting = now - peer.started_at < STARTING_S
        if peer.version < 0 <= self.context.version:
            sources = 1 + sum(other.version >= 0 for other in self.live())
        elif is_starting and not peer.complete and self.is_complete():
            sources = 1 + len(self.complete_peers())
        else:
            return
        peer.greeted_at = now
        if self.context.random.random() < GREETERS / sources:
            self.send_state([peer])

    # Passing on the list of nodes and the servers

    def is_complete(self) -> bool:
        """See :meth:`endive_gateway.bootstrap.Participant.is_complete`."""
        servers = self.servers
        return (
            self.node_list.is_known.is_set()
            and servers is not None
            and servers.is_current
        )

    def lacks_bootstrap(self) -> bool:
        """See :meth:`endive_gateway.bootstrap.Participant.lacks_bootstrap`."""
        return (
            self.lacks_crashes
            or not self.node_list.is_known.is_set()
            or (self.servers is not None and not self.servers.synced)
        )

    def bootstrap_sources(self) -> list[Peer]:
        """See :meth:`endive_gateway.bootstrap.Participant.bootstrap_sources`.

        A node that has just started itself may not know of earlier crashes.
        """
        complete = self.complete_peers()
        return [peer for peer in complete if self._knows_earlier(peer)] or complete

    def _knows_earlier(self, peer: Peer) -> bool:
        """Return whether a node has run since before this one came."""
        return peer.started_at < self.away_until - RESTART_MARGIN_S

    def _note_contact(self, now: float) -> None:
        """Record that a message has come, maybe after a time without any."""
        if now - self.last_seen_at > self.live_timeout_s:
            self.away_until = now
            self.has_evidence = self.lacks_crashes = False
        self.last_seen_at = now

    def _note_crashes(self, peer: Peer, now: float) -> None:
        """Record that a node has told of crashes.

        Nodes that start together know of none; there would be nothing to take.
        """
        is_new_here = now - self.away_until < STARTING_S
        if is_new_here and not self.has_evidence and self._knows_earlier(peer):
            self.lacks_crashes = True

    def complete_peers(self) -> list[Peer]:
        """Return the live nodes that can pass on the list of nodes and the servers."""
        return [peer for peer in self.live() if peer.complete]

    def bootstrap(self) -> Bootstrap:
        """See :meth:`endive_gateway.bootstrap.Participant.bootstrap`."""
        servers = self.servers
        return Bootstrap(
            self.node_list.addresses,
            [(r.offset, r.key, r.value) for r in servers.newest.values()],
            servers.next_offset,
            servers.age_s(),
            servers.reads.newest,
            self.part_exchange.evidence(time.monotonic()),
        )

    def apply_bootstrap(self, bootstrap: Bootstrap) -> None:
        """See :meth:`endive_gateway.bootstrap.Participant.apply_bootstrap`."""
        self.node_list.learn(bootstrap.addresses)
        if self.servers is not None:
            records = [Record(*server) for server in bootstrap.servers]
            self.servers.load(
                records, bootstrap.next_offset, bootstrap.age_s, bootstrap.read
            )
        if bootstrap.parts is not None:
            self.part_exchange.learn_evidence(bootstrap.parts, time.monotonic())
        self.has_evidence, self.lacks_crashes = True, False

    def _announce_servers(self) -> None:
        """Tell all nodes that this one is complete, if it is one of the first."""
        if self.announced or not self.is_complete():
            return
        self.announced = True
        if len(self.complete_peers()) < GREETERS:
            self.send_state()

    def _add_listed(self, addresses: list[str]) -> None:
        """Add the nodes in the list, and send them this node's state."""
        for address in addresses:
            known = address in self.known
            if self._add_peer(address) is not None and not known:
                self.context.limits.add_peer(address, time.monotonic())
        self.context.set_nodes(len(self.known) + 1)
        self.announced = self.announced or self.is_complete()
        self.send_state()

    def _add_peer(self, address: str) -> Peer | None:
        if address == self.address:
            return None
        peer = self.known.get(address)
        if peer is None:
            peer = self.known[address] = Peer(address, added_at=time.monotonic())
        return peer

    # Sending

    def _broadcast_loop(self) -> None:
        while True:
            nodes = len(self.known) + 1
            interval_s = max(
                BROADCAST_INTERVAL_S, BROADCAST_INTERVAL_PER_NODE_S * nodes
            )
            self._set_timeouts(interval_s)
            interval_s *= self.context.random.uniform(0.9, 1.1)
            steps = max(1, -(-(nodes - 1) // DATAGRAMS_PER_STEP))
            if self.urgent.is_set():
                self.urgent.clear()
                interval_s = min(interval_s, URGENT_STEP_S * steps)
            self._broadcast_in_steps(interval_s / steps)
            self._expire_peers()

    def _set_timeouts(self, interval_s: float) -> None:
        """Set the time-outs of silent nodes from the time between two messages.

        With the time-out of eight nodes, each of 87 nodes would count half of the
        others as silent and reserve half of every limit for them.

        The pause between two batches of messages follows it too. A starting node has
        none, since it waits for a message of a node that has the configuration.
        """
        self.live_timeout_s = max(LIVE_TIMEOUT_S, MISSED_BROADCASTS * interval_s)
        if self.context.initialised.is_set():
            self.datagrams.pause_s = min(
                MAX_RECEIVE_PAUSE_S, RECEIVE_PAUSE_FRACTION * interval_s
            )
        self.context.speed_exchange.hop_s = self.datagrams.pause_s
        self.context.contention_exchange.set_interval(interval_s)
        self.context.order_exchange.set_interval(interval_s)
        self.context.limits.silence_timeout_s = max(
            SILENCE_TIMEOUT_S, MISSED_BROADCASTS * interval_s
        )

    def _broadcast_in_steps(self, step_s: float) -> None:
        """Send this node's state to all peers, a few of them every `step_s` seconds.

        An urgent broadcast interrupts it. The slowest links carry 5 Mbit/s: a hundred
        datagrams sent at once are queued there for 0.2 s, or some are dropped, always
        those to the same nodes.
        """
        peers = list(self.known.values())
        for first in range(0, max(1, len(peers)), DATAGRAMS_PER_STEP):
            self.send_state(peers[first : first + DATAGRAMS_PER_STEP])
            self.context.server_statements.refresh()
            if self.urgent.wait(step_s):
                return

    def broadcast_soon(self) -> None:
        """Make the next broadcast urgent, if this node is a reader.

        Called when a server leaves. With 87 nodes a regular broadcast takes 0.9 s, and
        a reclaimed server may be gone after 1.1 s, together with the requests that it
        got meanwhile.
        """
        if self.is_reader() and not self.every_node_reads():
            self.urgent.set()

    def _announce_crashes(self) -> None:
        """Send a message to some nodes, which pass its crashes on."""
        self.send_state(self._some_peers())

    def _some_peers(self) -> list[Peer]:
        """Return some nodes that pass on what is new, drawn at random."""
        peers = list(self.known.values())
        if len(peers) > FRESH_RECEIVERS:
            peers = self.context.random.sample(peers, FRESH_RECEIVERS)
        return peers

    def _announce_leaving(self, through: str) -> None:
        """Send a server's announced departure to some nodes, which pass it on.

        Parameters
        ----------
        through : str
            IP address of the node that carried it, which is told first, or empty.
        """
        peers = [p for p in self._some_peers() if p.address != through]
        if through in self.known:
            peers.insert(0, self.known[through])
        self.send_state(peers)

    def _announce_rollouts(self) -> None:
        """Send what is new of a rollout; the holder and the readers send it to all."""
        if self.rollout_announcement is None:
            self.rollout_announcement = gevent.spawn_later(
                ANNOUNCEMENT_DELAY_S, self._send_rollouts
            )

    def _send_rollouts(self) -> None:
        self.rollout_announcement = None
        if self.fence or self.is_reader():
            self.urgent.set()
        self.send_state(self._some_peers())

    def _send_evidence(self) -> None:
        """Send this node's totals to the holder of the duties and one other node.

        Good and bad responses are sent alike. If only bad ones were sent at once, the
        rate of failures would be overestimated.
        """
        now = time.monotonic()
        if now < self.next_evidence_at:
            self.context.rollout_observer.is_evidence_new = True
            return
        self.next_evidence_at = now + max(
            EVIDENCE_INTERVAL_S, EVIDENCE_INTERVAL_PER_NODE_S * (len(self.known) + 1)
        )
        live = self.live()
        peers = [peer for peer in live if peer.fence]
        if live:
            peers.append(self.context.random.choice(live))
        self.send_state(peers)

    def _announce_rest(self, server: str, through: str) -> None:
        """Tell the nodes whose requests a server's rest concerns, besides this one."""
        addresses = {through, *self.context.transit_port.carried_for.get(server, ())}
        peers = [self.known[a] for a in addresses if a in self.known]
        if peers:
            self.send_state(peers)

    def send_state(
        self, peers: list[Peer] | None = None, *, gone: bool = False
    ) -> None:
        """Send this node's state to `peers`, or to all others.

        Parameters
        ----------
        peers : list of Peer or None
            ``None`` for all known nodes.
        gone : bool
            Whether this node has stopped and this is its last message.
        """
        self.sequence += 1
        receivers = list(self.known.values()) if peers is None else peers
        self.datagrams.send(
            self._state_message(gone, len(receivers)),
            [peer.address for peer in receivers],
        )

    def _state_message(self, gone: bool, receivers: int = 1) -> "StateMessage":
        context = self.context
        for service, parts in context.placer.occupied_servers().items():
            context.work.set_running(service, parts)
        now = time.monotonic()
        return StateMessage(
            node=self.node_name,
            incarnation=context.incarnation,
            sequence=self.sequence,
            wall_ms=int(time.time() * 1000),
            version=context.version,
            gone=gone,
            spent=context.limits.own_totals(),
            work=context.work.update(now),
            windows=context.meter.own_totals(),
            crashes=self.crash_exchange.next_crashes(now, receivers),
            fence=self.fence,
            reported=context.reported,
            server_delta=self.servers.server_delta()
            if self.servers and self._relays_servers()
            else None,
            duty_log_end=self.duty_log_end,
            server_failures=context.placer.ejection.own_counts(now),
            age_s=now - context.started_at,
            pending_prompt_tokens=context.placer.own_backlogs(),
            proof_age_s=self.configuration.proof_age_s() if self.configuration else -1,
            complete=self.is_complete(),
            proof=self.configuration.proofs.newest if self.configuration else 0,
            successes=self.crash_exchange.next_successes(now, receivers),
            carried=context.transit_port.offer(),
            zone=context.settings.location.zone,
            part_crashes=self.part_exchange.next_crashes(now, receivers),
            part_answers=self.part_exchange.next_answers(now, receivers),
            rollouts=context.rollouts.next_report(),
            slow_sources=context.prefix_fetching.next_reports(),
            pools_slots=context.settings.pools_slots,
            demand=context.contention_exchange.next_demand(),
            prompt_work=context.order_exchange.next_work(),
            late_prompts=context.contention_exchange.next_late(),
            records_origins=True,
            **context.server_statements.next_fields(),
        )

    def _relays_servers(self) -> bool:
        """Return whether this node's messages contain changes of the servers.

        In a large fleet those of all nodes do. A message of a reader reaches each of
        them only once in seconds.
        """
        return not self.every_node_reads() or self.is_reader()

    def _expire_peers(self) -> None:
        """Remove nodes that have been silent for long, and update the node count."""
        now = time.monotonic()
        for address, peer in list(self.known.items()):
            if now - max(peer.last_seen_at, peer.added_at) > FORGET_AFTER_S:
                del self.known[address]
            if now - peer.last_seen_at > self.live_timeout_s:
                self.context.paths.transit.choice.offers.discard(address)
        live = len(self.live())
        if live != self.logged_live:
            log_event(
                "peers", live=live, before=self.logged_live, known=len(self.known)
            )
            self.logged_live = live
        self.context.limits.remove_silent_peers(now)
        self.context.set_nodes(len(self.known) + 1)

    # Receiving

    def receive(self, message: "StateMessage", address: str) -> None:
        """Apply another node's state message, unless it arrived out of order."""
        if address not in self.known and address != self.address:
            self.node_list.observe_unknown(address, message.age_s)
        peer = self._add_peer(address)
        if peer is None:
            return
        now = time.monotonic()
        order = (message.incarnation, message.sequence)
        started_at = now - message.age_s
        if not peer.is_superseded_by(*order, started_at):
            return
        if message.incarnation == peer.incarnation:
            started_at = min(started_at, peer.started_at)
        peer.started_at = started_at
        peer.node, peer.incarnation, peer.sequence = message.node, *order
        peer.last_seen_at = now
        self._note_contact(now)
        peer.version = message.version
        peer.zone = message.zone
        peer.complete = message.complete
        peer.pools_slots = message.pools_slots
        peer.records_origins = message.records_origins
        peer.fence = message.fence
        peer.work = message.work
        context = self.context
        context.reported = max(context.reported, message.reported)
        self.observe_duty_log_end(message.duty_log_end)
        context.cluster_clock.receive(address, message.wall_ms / 1000)
        origin = SpendingOrigin(address, *order, message.age_s)
        context.limits.receive(origin, message.spent, now)
        context.meter.receive(address, message.incarnation, message.windows)
        self.crash_exchange.learn(message.node, message.crashes, message.successes, now)
        self.part_exchange.learn(
            message.node, message.part_crashes, message.part_answers, now
        )
        is_transit = address in context.paths.transit.choice.opened
        context.server_statements.learn(message, address, is_transit=is_transit)
        context.paths.transit.choice.offers.set(address, message.carried)
        if message.part_crashes:
            self._note_crashes(peer, now)
        context.placer.ejection.receive(address, message.server_failures, now)
        context.placer.backlogs.receive(address, message.pending_prompt_tokens, now)
        if message.rollouts is not None:
            context.rollouts.learn(
                address, message.incarnation, message.node, message.rollouts
            )
        context.prefix_fetching.receive(address, message.slow_sources)
        context.contention_exchange.learn(address, message.demand, message.late_prompts)
        context.order_exchange.learn(address, message.prompt_work)
        self._greet(peer, now)
        if message.complete and self.lacks_bootstrap():
            self.bootstrap_exchange.pull(self.port)
        elif message.complete and self.servers and self.servers.is_outdated:
            self.bootstrap_exchange.refresh(self.port)
        if message.version > context.version:
            self.configuration_exchange.pull(
                self.port + 1, reads_store=self.every_node_reads()
            )
        if message.server_delta is not None and self.servers is not None:
            self.servers.apply_delta(message.server_delta)
        if self.configuration is not None:
            self.configuration.observe_peer_proof(
                message.version, message.proof_age_s, message.proof
            )
        if message.gone:
            log_event("peer_gone", peer=message.node)
            context.limits.remove_peer(address)
            context.rollouts.forget_node(address)
            context.contention_exchange.remove(address)
            context.order_exchange.remove(address)
            context.paths.transit.choice.offers.discard(address)
            self.known.pop(address, None)

    def observe_duty_log_end(self, end: int) -> None:
        """Record the end of the duties log, as read or as a peer reports it."""
        if end > self.duty_log_end:
            self.duty_log_end = end
            self.duty_log_moved_at = boot_time()
