"""The gateway of one process: creates its components, starts and stops them."""

import socket
import time
from dataclasses import replace
from functools import partial

import gevent
from endive_node.logs import log_event
from endive_node.sockets import listen_tcp
from gevent.event import Event

from endive_gateway.autoscaling import Autoscaler
from endive_gateway.bounded_server import BoundedServer
from endive_gateway.callers import CallerListener
from endive_gateway.configuration import ConfigurationFollower
from endive_gateway.context import Context
from endive_gateway.duties import Duties
from endive_gateway.forwarding import Forwarder
from endive_gateway.interfaces import Cloud, GatewaySettings, Store, Wire
from endive_gateway.loops import keep_running
from endive_gateway.metrics import MetricsServer
from endive_gateway.peers import Peers
from endive_gateway.placement_queries import explain_placement
from endive_gateway.prompts import PromptAnnouncer
from endive_gateway.server_following import ServerFollower
from endive_gateway.spending import SpendingExchange
from endive_gateway.turns import turn_scheduler

POOL_SWEEP_INTERVAL_S = 0.5
"""Time between two sweeps of idle connections to servers, seconds: their time-outs are
whole seconds."""

DEREGISTRATION_S = 3.0
"""Time after the signal to stop for which callers' idle connections stay open, seconds.
The load balancer probes once a second and removes a node after two failures. Until then
new connections arrive, and closing one could lose a request that is on its way."""

DRAIN_POLL_S = 0.05
"""Time between two checks of a stopping node for unfinished requests, seconds."""

ANSWERING_S = 0.1
"""Time before the end of a drain at which requests are refused that have not been read
whole, or whose responses have not begun, seconds."""

EXIT_MARGIN_S = 0.4
"""Time before the end of the grace period at which the process exits, seconds. It then
closes its connections properly; SIGKILL would not."""

MAX_PROBES = 32
"""Readiness probes that may be open at once. A load balancer has one or two."""

READINESS_RESPONSE = b"HTTP/1.1 %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class Gateway:
    """All components of a gateway process.

    Parameters
    ----------
    caller_socket : socket or None
        Listening, non-blocking socket for callers, if the process opened it already.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        wire: Wire,
        store: Store,
        cloud: Cloud,
        caller_socket: socket.socket | None = None,
    ) -> None:
        self.settings = settings
        self.context = Context(settings, wire, store, cloud)
        self.transit = self.context.transit_port
        location = settings.location
        self.callers = CallerListener(
            caller_socket or listen_tcp(location.address, location.caller_port),
            Forwarder(self.context),
            self.context.caller_limits,
            self.context.request_memory,
            settings.machine.caller_connections,
            self.context.refusals,
        )
        self.readiness = BoundedServer(
            listen_tcp(location.address, location.ready_port),
            self._answer_ready,
            lambda: MAX_PROBES,
            self.context.refusals,
            "readiness",
        )
        self.peers = Peers(self.context)
        self.spending = SpendingExchange(
            self.context,
            self.peers.presumed_live,
            lambda: self.peers.sequence,
            self.peers.node_list.is_known,
        )
        self.prompts = PromptAnnouncer(
            self.context.placer.backlogs, self.peers.presumed_live, time.monotonic
        )
        self.configuration = ConfigurationFollower(self.context, self.peers)
        self.servers = ServerFollower(self.context, self.peers)
        self.peers.servers = self.servers
        self.peers.configuration = self.configuration
        self.context.rollouts.check_orders = self.configuration.check_soon
        self.context.processes.read_at = self.servers.newest_read_at
        self.context.resumptions.read_at = self.servers.newest_read_at
        self.context.origin_view.ages_s = [
            self.configuration.proof_age_s,
            self.servers.age_s,
        ]
        self.duties = Duties(
            self.context, self.peers, Autoscaler(self.context, self.peers)
        )
        self.context.metrics.turn_lengths = turn_scheduler().lengths
        self.stopped = Event()
        self.stopping_at: float | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send new connections."""
        return (
            self.stopping_at is None
            and self.context.table is not None
            and self.context.registry.is_loaded
        )

    def start(self) -> None:
        """Start all components."""
        location = self.settings.location
        log_event(
            "start", node=location.node, zone=location.zone, address=location.address
        )
        loops = [
            self.configuration.run,
            self.servers.run,
            self.context.placer.poll_queues,
            self.context.paths.probe_blocked,
            self.context.path_monitor.run,
            self.context.slot_leasing.run,
            self.context.origin_exchange.run,
            self.context.origin_records.run,
            self.context.origin_recorder.run,
            self.context.rollout_observer.run,
            self._sweep,
        ]
        if self.settings.duties:
            loops.append(self.duties.run)
        if location.metrics_port:
            self._register_metrics()
            self.metrics = MetricsServer(
                location.address, location.metrics_port, self.context.metrics
            )
            self.metrics.queries["/placement"] = partial(
                explain_placement, self.context
            )
            self.metrics.start()
        self.peers.start()
        self.spending.start(location.peer_port + 1)
        self.prompts.datagrams.start(location.address, location.peer_port + 2)
        self.context.on_prompt = self.prompts.announce
        origins = self.context.origin_exchange
        origins.datagrams.start(location.address, location.peer_port + 4)
        slot_leasing = self.context.slot_leasing
        slot_leasing.datagrams.start(location.address, location.peer_port + 3)
        self.context.paths.transit.port = location.peer_port + 2
        self.context.transit_port.start(location.address, location.peer_port + 2)
        for loop in loops:
            gevent.spawn(keep_running, loop)
        self.readiness.start()
        self.callers.start()

    def _register_metrics(self) -> None:
        """Register metrics that show how current this node's view is."""
        add_gauge = self.context.metrics.add_gauge
        add_gauge("endive_configuration_version", lambda: self.context.version)
        add_gauge(
            "endive_configuration_proof_age_seconds", self.configuration.proof_age_s
        )
        for follower in (self.configuration, self.servers):
            topic = follower.topic.value
            add_gauge(
                "endive_store_answer_age_seconds", follower.answer_age_s, topic=topic
            )
            add_gauge(
                "endive_store_read_waiting_seconds", follower.waiting_s, topic=topic
            )
        add_gauge("endive_servers_age_seconds", self.servers.age_s)
        sharing = self.context.limit_sharing
        add_gauge("endive_limited_servers", sharing.limited_servers)
        add_gauge("endive_limited_servers_rate", sharing.shared_rate)
        add_gauge(
            "endive_servers_leaving", self.context.leaving_servers.leaving_servers
        )
        add_gauge("endive_servers_resting", self.context.server_rests.resting_servers)
        add_gauge("endive_servers_slow_now", self.context.speed_exchange.slow_servers)
        origins = self.context.origin_exchange
        add_gauge("endive_stream_origins", lambda: len(origins.table))
        parts = self.context.placer.trials.table
        add_gauge("endive_parts_suspected", lambda: len(parts.suspected()))
        contention = self.context.contention_exchange
        add_gauge("endive_contention_refused", contention.shed)
        add_gauge("endive_contention_late", contention.late)
        add_gauge("endive_contention_least_part", contention.least_part)
        order = self.context.order_exchange
        add_gauge("endive_prompts_overtaking", order.overtakers)
        add_gauge("endive_prompts_overtaking_longest_seconds", order.longest_s)
        leasing = self.context.slot_leasing
        add_gauge(
            "endive_services_brittle", lambda: len(self.context.brittle_services.names)
        )
        add_gauge("endive_slots_leased", leasing.leased)
        rollouts, division = self.context.rollouts, self.context.version_division
        add_gauge("endive_rollouts_running", rollouts.running)
        add_gauge("endive_servers_withheld", division.withheld_servers)
        fetching = self.context.prefix_fetching
        add_gauge("endive_prefix_fetched_tokens", fetching.fetched_tokens)
        add_gauge("endive_fetch_sources_paused", fetching.paused_sources)
        copying = self.context.part_copying
        add_gauge("endive_further_copy_requests", lambda: copying.requests)
        pooling = self.context.slot_pooling
        add_gauge("endive_services_pooled", lambda: len(pooling.pooled))
        add_gauge("endive_pool_slots_leased", pooling.coordinator.leased)
        add_gauge("endive_pool_requests_waiting", pooling.coordinator.queued)
        reachability = self.context.paths.reachability
        add_gauge("endive_servers_blocked", lambda: len(reachability.blocked))
        add_gauge("endive_services_cut_off", lambda: len(reachability.cut_off))
        add_gauge("endive_transit_carried", lambda: self.transit.carried)
        add_gauge(
            "endive_transit_opened", self.context.paths.transit.choice.opened.total
        )
        memory, callers = self.context.request_memory, self.callers
        add_gauge("endive_request_memory_bytes", lambda: memory.used)
        add_gauge("endive_request_memory_limit_bytes", lambda: memory.total)
        add_gauge("endive_long_head_bytes", lambda: memory.long_heads)
        add_gauge("endive_caller_connections", lambda: len(callers.connections))
        add_gauge("endive_caller_connections_waiting", lambda: len(callers.waiting))
        add_gauge("endive_caller_connections_limit", lambda: callers.most_connections)
        add_gauge("endive_nodes_live", self.peers.live_node_count)
        add_gauge("endive_nodes_known", lambda: self.context.nodes)

    def _answer_ready(self, sock, _address) -> None:
        """Answer a readiness probe; the response is the same for every path."""
        with gevent.Timeout(1.0, False):
            while sock.recv(4096):
                status = b"200 OK" if self.is_ready else b"503 Service Unavailable"
                sock.sendall(READINESS_RESPONSE % status)
                break

    def _sweep(self) -> None:
        while True:
            gevent.sleep(POOL_SWEEP_INTERVAL_S)
            self.context.pool.sweep()

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed settings, apart from the node's addresses.

        New addresses need a restart; the current ones are kept.
        """
        if settings == self.settings:
            log_event("reload", changed="nothing")
            return
        if settings.location != self.settings.location:
            log_event("reload", kept=self.settings.location, found=settings.location)
            settings = replace(settings, location=self.settings.location)
        log_event("reload", bounds=settings.bounds, duties=sorted(settings.duties))
        self.settings = settings
        self.context.apply_settings(settings)
        self.callers.most_connections = settings.machine.caller_connections

    def drain(self) -> None:
        """Stop: accept no new requests, finish those accepted, then set `stopped`."""
        if self.stopping_at is not None:
            return
        self.stopping_at = time.monotonic()
        log_event("stopping", busy=self.callers.busy, carried=self.transit.carried)
        self.callers.stopping = True
        self.transit.accepting = False
        self.peers.urgent.set()
        gevent.spawn(self.duties.release)
        grace = self.settings.bounds.grace_s - EXIT_MARGIN_S
        end = self.stopping_at + grace
        self.context.planned_stop.ends_at = end - ANSWERING_S
        deregistered_at = self.stopping_at + min(DEREGISTRATION_S, grace)
        while time.monotonic() < deregistered_at:
            self.callers.refuse_hopeless()
            gevent.sleep(DRAIN_POLL_S)
        self.callers.stop_accepting()
        self._wait_until_idle(end - ANSWERING_S)
        self.callers.refuse_unanswered()
        self._wait_until_idle(end)
        self.context.origin_exchange.hand_over()
        self.peers.send_state(gone=True)
        log_event("stopped", unfinished=self.callers.busy, carried=self.transit.carried)
        self.stopped.set()

    def _wait_until_idle(self, end: float) -> None:
        """Wait until all requests are answered, at most until `end`."""
        while time.monotonic() < end and (self.callers.busy or self.transit.carried):
            self.callers.close_idle()
            self.callers.refuse_hopeless()
            gevent.sleep(DRAIN_POLL_S)
