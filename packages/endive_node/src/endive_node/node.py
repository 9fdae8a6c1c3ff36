"""The node: creates all parts of the process, starts and stops them."""

import gevent
from endive_core.members import MemberState
from gevent.event import Event

from endive_node.backends import BackendClients
from endive_node.call_memory import CallMemory
from endive_node.callers import CallerApi
from endive_node.claiming import LogClaims
from endive_node.configuration import Configuration
from endive_node.connection_limit import ConnectionLimit
from endive_node.dispatching import Dispatcher
from endive_node.fact_exchange import FactExchange
from endive_node.gossip import Gossip
from endive_node.handover import Handover
from endive_node.listeners import HttpListener
from endive_node.logs import log_event
from endive_node.notices import NoticeTable, NoticeWatcher
from endive_node.operators import OperatorApi
from endive_node.peers import PeerConfigurationSource, PeerHandler, PeerListener
from endive_node.platform import HttpCloud, HttpInstanceList, HttpLog
from endive_node.request_lookup import Locator
from endive_node.server_polling import ServerPoller
from endive_node.serving import Serving
from endive_node.settings import Settings
from endive_node.snapshot_writer import SnapshotWriter
from endive_node.stream_mover import StreamMover
from endive_node.telemetry import Metrics, MonotonicClock

DESCRIPTOR_SHARES = {"callers": 0.5, "operators": 0.1, "peers": 0.1}
"""Shares of the process's descriptors that connections to its ports may take. The rest
is left to connections to servers, to the platform and to other nodes."""

DRAIN_POLL_S = 0.05
MAX_DRAIN_S = 600.0
"""Longest time that a planned stop waits for unfinished answers, seconds."""


class Node:
    """One serving process; every instance runs the same one.

    The command ``endive-node`` runs it. Tests create it with :meth:`from_settings`
    and fakes for the platform.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = MonotonicClock()
        self.metrics = Metrics()
        platform = settings.platform
        self.log = HttpLog(platform.log, platform.timeout_s)
        self.configuration = Configuration(self.log, self.clock)
        self.clients = BackendClients.from_settings(settings.backends)
        self.dispatcher = Dispatcher(
            self.configuration.catalogue,
            self.clock,
            self.metrics,
            settings.policy,
            max_attempts=settings.limits.max_attempts,
            is_listening=self.clients.is_listening,
        )
        self.configuration.listeners.append(lambda _: self.dispatcher.refresh())
        self._make_gossip()
        self.server_poller = ServerPoller(
            self.dispatcher,
            self.clients,
            settings.backends,
            self.clock,
            self.members,
        )
        self.claims = LogClaims(
            settings.node.id,
            self.log,
            self.members,
            self.clock,
            settings.claims,
            self.metrics,
        )
        self.serving = Serving(
            node_id=settings.node.id,
            catalogue=self.configuration.catalogue,
            dispatcher=self.dispatcher,
            clients=self.clients,
            limits=settings.limits,
            metrics=self.metrics,
            clock=self.clock,
            claims=self.claims,
        )
        self._make_handover()
        self._make_listeners()
        self.greenlets: list[gevent.Greenlet] = []
        self.stopped = Event()

    @classmethod
    def from_settings(cls, settings: Settings) -> "Node":
        """Return a node whose ports are bound and which is not started yet."""
        return cls(settings)

    def _make_handover(self) -> None:
        settings, platform = self.settings, self.settings.platform
        self.notices = NoticeTable(self.clock)
        cloud = platform.cloud and HttpCloud(platform.cloud, platform.timeout_s)
        self.notice_watcher = NoticeWatcher(
            self.notices, cloud, self.instance_list, platform.notice_poll_s
        )
        self.handover = Handover(
            self.serving, settings.node, self.members, self.notices
        )
        self.fact_exchange = FactExchange(
            self.gossip, self.notices, self.dispatcher.crashes
        )
        self.dispatcher.before_dispatch = self.gossip.receive_pending
        self.stream_mover = StreamMover(self.serving, self.dispatcher, self.notices)
        self.configuration.listeners.append(
            lambda _: self.stream_mover.mark_leaving_servers()
        )
        self.serving.request_locator = Locator(
            settings.node.id, self.members, self.notices, self.clock
        )

    def _make_listeners(self) -> None:
        section = self.settings.node
        callers = CallerApi(
            self.serving,
            self.settings.limits.max_body_bytes,
            self.configuration.ready.is_set,
        )
        operators = OperatorApi(self)
        handler = PeerHandler(
            section.id,
            self.configuration,
            self.serving.traces,
            self.handover,
            self.claims,
        )
        limits = {
            name: ConnectionLimit(share, name, self.metrics.refusal_log)
            for name, share in DESCRIPTOR_SHARES.items()
        }
        memory = CallMemory.from_config(self.settings.limits.memory_mb)
        max_header_bytes = self.settings.limits.max_header_bytes
        self.callers = HttpListener(
            callers.app,
            section.address,
            section.caller_port,
            limits["callers"],
            memory,
            max_header_bytes,
        )
        self.operators = HttpListener(
            operators.app,
            section.address,
            section.operator_port,
            limits["operators"],
            memory,
            max_header_bytes,
        )
        self.peers = PeerListener(
            handler, section.address, section.peer_port, limits["peers"]
        )
        self.members.set_peer_address(f"{section.address}:{self.peers.port}")

    def _make_gossip(self) -> None:
        platform = self.settings.platform
        self.instance_list = platform.instances and HttpInstanceList(
            platform.instances, platform.timeout_s
        )
        self.gossip = Gossip.from_settings(
            self.settings, self.clock, self.instance_list
        )
        self.members = self.gossip.members
        self.facts = self.gossip.facts
        self.gossip.register_metrics(self.metrics)
        self._make_snapshots()

    def _make_snapshots(self) -> None:
        configuration = self.configuration
        configuration.source = PeerConfigurationSource(
            self.members, self.gossip.random.shuffle
        )
        self.snapshots = SnapshotWriter(
            configuration,
            self.members,
            self.settings.node.id,
            self.settings.configuration,
        )
        gauge = self.metrics.gauge
        gauge("endive_configuration_offset", lambda: configuration.fold.offset)
        gauge("endive_configuration_behind", lambda: int(configuration.is_behind()))
        gauge("endive_configuration_pulls", lambda: configuration.pulls)
        gauge(
            "endive_configuration_snapshot_offset",
            lambda: configuration.snapshot_through,
        )
        self.configuration.listeners.append(
            lambda _: self.members.set_offset(self.configuration.fold.offset)
        )

    def start(self) -> None:
        """Start all listeners and loops."""
        for listener in (self.peers, self.operators, self.callers):
            listener.start()
        self.gossip.start()
        loops = (
            self.configuration.follow,
            self.configuration.watch_lag,
            self.snapshots.run,
            self.join,
            self.serving.expire,
            self.dispatcher.poll_queues,
            self.server_poller.follow,
            self.notice_watcher.watch_notices,
            self.notice_watcher.watch_list,
        )
        for loop in loops:
            self.greenlets.append(gevent.spawn(loop))
        log_event(
            "node_started",
            id=self.settings.node.id,
            zone=self.settings.node.zone,
            callers=self.callers.port,
            operators=self.operators.port,
            peers=self.peers.port,
        )

    def join(self) -> None:
        """Announce this node as live once it has a configuration."""
        self.configuration.ready.wait()
        if not self.serving.leaving:
            self.members.set_state(MemberState.LIVE)

    def drain(self) -> None:
        """Stop as planned: finish all answers under way and accept no new requests.

        The load balancer learns of the stop from /healthz, with a delay. If the node
        refused calls or closed its port at once, the calls that the balancer still
        sends would fail. It therefore first responds 503 on /healthz and accepts
        calls for `drain_settle_s` seconds.
        """
        if self.serving.leaving:
            return
        self.serving.leaving = True
        self.members.leave()
        gevent.sleep(self.settings.node.drain_settle_s)
        self.serving.stopping = True
        log_event("node_draining", in_flight=len(self.serving.registry.unfinished()))
        deadline = self.clock.now() + MAX_DRAIN_S
        while self._busy() and self.clock.now() < deadline:
            gevent.sleep(DRAIN_POLL_S)
        self.stop()

    def _busy(self) -> bool:
        """Return whether an answer is in progress, to a caller or from a server."""
        return bool(
            self.serving.registry.unfinished() or self.callers.calls_in_progress
        )

    def stop(self) -> None:
        """Stop all listeners and loops at once."""
        self.callers.stop(timeout_s=1.0)
        self.operators.stop(timeout_s=1.0)
        self.peers.stop()
        self.gossip.stop()
        gevent.killall(self.greenlets)
        log_event("node_stopped", id=self.settings.node.id)
        self.stopped.set()
