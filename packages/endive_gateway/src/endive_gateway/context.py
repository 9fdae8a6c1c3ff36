"""The state and adapters that all parts of a gateway share."""

import random
import time
from collections.abc import Callable

from endive_core.clocks import ClusterClock
from endive_core.metering import UsageMeter
from endive_core.planned_stop import PlannedStop
from endive_core.possible_origins import Confirmations
from endive_core.retrying import FleetRetryBudget
from endive_core.routing import CallerLimits, OrganisationLimits, RoutingTable
from endive_core.shared_limits import SharedLimits
from endive_node.logs import log_event
from endive_node.refusals import RefusalLog
from gevent.event import Event

from endive_gateway.brittle_services import BrittleServices
from endive_gateway.connections import ConnectionPool
from endive_gateway.contention_exchange import ContentionExchange
from endive_gateway.interfaces import (
    Cloud,
    GatewaySettings,
    ServerEntry,
    Store,
    Wire,
)
from endive_gateway.leaving_servers import LAST_SERVER_MARGIN_S, LeavingServers
from endive_gateway.limit_sharing import LimitSharing
from endive_gateway.memory_budget import RequestMemory, ResponseMemory
from endive_gateway.metrics import GatewayMetrics
from endive_gateway.order_exchange import OrderExchange
from endive_gateway.origin_exchange import OriginExchange
from endive_gateway.origin_recorder import OriginRecorder
from endive_gateway.origin_records import OriginRecords
from endive_gateway.origin_view import OriginView
from endive_gateway.part_copying import PartCopying
from endive_gateway.path_monitor import PathMonitor
from endive_gateway.paths import ServerPaths
from endive_gateway.placing import Placer
from endive_gateway.prefix_fetching import PrefixFetching
from endive_gateway.rollout_observation import RolloutObserver
from endive_gateway.rollouts import Rollouts
from endive_gateway.server_checks import ServerChecks
from endive_gateway.server_processes import ServerProcesses
from endive_gateway.server_rests import ServerRests
from endive_gateway.server_statements import ServerStatements
from endive_gateway.servers import ServerRegistry
from endive_gateway.slot_leasing import SlotLeasing
from endive_gateway.slot_pooling import SlotPooling
from endive_gateway.speed_exchange import SpeedExchange
from endive_gateway.stream_affinity import Resumptions
from endive_gateway.transit_port import TransitPort
from endive_gateway.version_division import VersionDivision
from endive_gateway.workload import WorkloadMeter

START_WAIT_S = 0.5
"""Time after the start for which a request may wait until the configuration and the
servers have been read, seconds. The store usually answers both reads within 0.03 s, a
slow one within a few times that. Callers give up on a node that does not answer within
one second."""

CRASHES_LEARNED_S = 3.0
"""Time after the start until this node has learned of earlier crashes, seconds. Each
message of another node repeats one of them."""


class Context:
    """The state of one gateway, and its adapters to the platform.

    Attributes
    ----------
    table : RoutingTable or None
        The configuration in force; ``None`` before the first.
    document : bytes
        The encoded document of that configuration, as other nodes can fetch it.
    nodes : int
        Number of live nodes, this one included.
    started_at : float
        When this node started, seconds on the monotonic clock.
    take_units : callable
        Called with an organisation's limits and a request's units. Returns 0 and takes
        the units if the limits allow, else the seconds to wait.
    on_prompt : callable
        Called with a server's id, the prompt's uncached tokens and the server's prefill
        time in seconds when a prompt is sent to that server.
    paths : ServerPaths
        The ways to the servers.
    processes : ServerProcesses
        Which processes of the servers the connections lead to.
    checks : ServerChecks
        Tell a server that has failed from one that this node does not reach.
    path_monitor : PathMonitor
        Notices that requests to servers hang.
    transit_port : TransitPort
        Carries the connections of other nodes to servers.
    limit_sharing : LimitSharing
        The limits that backend servers name, shared with the other nodes.
    brittle_services : BrittleServices
        The services whose servers fail if they must reject much.
    server_rests : ServerRests
        The rests that servers have asked for.
    leaving_servers : LeavingServers
        The servers that have said that they leave.
    speed_exchange : SpeedExchange
        What servers state of their current speed.
    server_statements : ServerStatements
        All that servers state of themselves.
    origin_exchange : OriginExchange
        Where streams began, shared with the other nodes.
    origin_view : OriginView
        Where streams can begin now, as this node knows it.
    origin_recorder : OriginRecorder
        Reads and writes what the store keeps of origins.
    origin_records : OriginRecords
        Has origins recorded, and looks them up.
    resumptions : Resumptions
        Decides where streams go on that callers take up.
    rollouts : Rollouts
        The rollouts that this node knows of.
    version_division : VersionDivision
        Divides servers and requests between the versions of a rollout.
    rollout_observer : RolloutObserver
        Counts the responses of both versions.
    prefix_fetching : PrefixFetching
        Fetches of cached prompt parts from other servers.
    part_copying : PartCopying
        Requests sent to further copies of their prompt parts.
    slot_leasing : SlotLeasing
        Leases of those servers' slots, from the nodes that coordinate them.
    slot_pooling : SlotPooling
        Leases of any server's slot of a plain service with few of them.
    contention_exchange : ContentionExchange
        The nodes' demand by priority and organisation.
    order_exchange : OrderExchange
        The nodes' recent prefill work by length of the prompts.
    initialised : Event
        Set once the configuration and the list of servers have been read.
    incarnation : int
        Identifies this start of the node, and grows with each start.
    planned_stop : PlannedStop
        When this node ends, if it stops, and which requests it can answer until then.
    reported : int
        Newest usage window that any node is known to have reported.
    """

    def __init__(
        self, settings: GatewaySettings, wire: Wire, store: Store, cloud: Cloud
    ) -> None:
        self.wire = wire
        self.store = store
        self.cloud = cloud
        self.random = random.Random()
        self.table: RoutingTable | None = None
        self.document = b""
        self.nodes = 1
        self.registry = ServerRegistry()
        self.prefix_fetching = PrefixFetching(self.registry)
        self.part_copying = PartCopying()
        self.request_memory = RequestMemory.from_machine(settings.machine)
        self.response_memory = ResponseMemory.from_machine(settings.machine)
        self.apply_settings(settings)
        self.paths = ServerPaths(self.registry, self.random)
        self.checks = ServerChecks(self.paths)
        self.metrics = GatewayMetrics()
        self.refusals = RefusalLog(self.metrics.refusals)
        self.transit_port = TransitPort(
            self.paths,
            self.checks,
            self.metrics.transit_replies,
            lambda: self.settings.machine.carried_connections,
            self.refusals,
        )
        self.placer = Placer(
            self.registry,
            try_both=self.checks.try_both,
            fetching=self.prefix_fetching,
        )
        self.placer.trials.node = settings.location.address
        self.metrics.part_outcomes = self.placer.trials.outcomes
        self.rollouts = Rollouts(settings)
        self.version_division = VersionDivision(self.placer, self.rollouts)
        self.rollout_observer = RolloutObserver(
            self.rollouts, self.version_division, self.placer
        )
        self.metrics.fetch_outcomes = self.prefix_fetching.outcomes
        self.path_monitor = PathMonitor(self.paths, self.checks)
        self.path_monitor.on_silent = self.placer.pause_silent
        self.prefix_fetching.is_silent = self.path_monitor.silent.__contains__
        self.processes = ServerProcesses(self.registry, settings.server_heartbeat_s)
        self.pool = ConnectionPool(
            wire,
            self.paths,
            self.path_monitor,
            self.processes,
            self.response_memory,
        )
        self.path_monitor.on_dead_connections = self.pool.drop
        self.registry.restart_listeners.append(self.pool.drop)
        self.limits = SharedLimits(time.monotonic(), slack=settings.bounds.quota_slack)
        self.limits.terms_of = self._rate_and_burst
        self.limit_sharing = LimitSharing(
            settings.location.address,
            self.registry,
            self.placer,
            self.limits,
            self.random,
        )
        self.brittle_services = BrittleServices(self.registry, self.random)
        self.server_rests = ServerRests(
            settings.location.address,
            self.registry,
            self.placer,
            self.random,
            self.metrics.events,
        )
        self.leaving_servers = LeavingServers(self.registry, self.metrics.events)
        self.slot_leasing = SlotLeasing(
            settings.location.address,
            self.placer,
            self.brittle_services,
            self.metrics.slot_replies,
        )
        self.speed_exchange = SpeedExchange(
            self.registry,
            self.placer,
            self.metrics.events,
            lambda: self.settings.server_slowdowns,
        )
        self.slot_pooling = SlotPooling(
            self.slot_leasing,
            self.placer,
            self.metrics.slot_replies,
            lambda: self.settings.pools_slots,
        )
        self.server_statements = ServerStatements(
            self.limit_sharing,
            self.brittle_services,
            self.server_rests,
            self.leaving_servers,
            self.placer,
            self.slot_leasing,
            self.speed_exchange,
            self.slot_pooling,
        )
        self.paths.rests_for = self.server_rests.rests_for
        self.transit_port.is_resting = self.server_rests.is_resting
        location = settings.location
        self.incarnation = time.time_ns() // 1000
        self.origin_exchange = OriginExchange(
            location.address, location.zone, self.incarnation
        )
        self.origin_view = OriginView(self.registry, lambda: self.table)
        confirmations = Confirmations()
        self.origin_recorder = OriginRecorder(
            store,
            self.origin_view,
            confirmations,
            is_first_start=settings.is_first_start,
        )
        self.origin_records = OriginRecords(
            location.address, self.origin_recorder, confirmations, self.origin_view
        )
        self._connect_origins()
        self.resumptions = Resumptions(
            self.origin_exchange, self.origin_records, self.metrics.resumptions
        )
        self.registry.listeners.append(self._observe_versions)
        self.registry.version_listeners.append(self._doubt_streams)
        self.meter = UsageMeter(settings.bounds.usage_window_s)
        self.cluster_clock = ClusterClock(time.monotonic, time.time)
        self.rollouts.cluster_now = lambda: self.cluster_clock.now()
        self.contention_exchange = ContentionExchange(self.placer, self.cluster_clock)
        self.order_exchange = OrderExchange(self.placer)
        self.retry_budgets: dict[str, FleetRetryBudget] = {}
        self.work = WorkloadMeter()
        self.take_units: Callable[[OrganisationLimits, float], float] = (
            self._take_locally
        )
        self.on_prompt: Callable[[str, float, float], None] = lambda *sent: None
        self.initialised = Event()
        self.registry.listeners.append(self._update_initialised)
        self.started_at = time.monotonic()
        self.placer.trials.informed_from = self.started_at + CRASHES_LEARNED_S
        self.planned_stop = PlannedStop()
        self.reported = -1

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Use settings from now on."""
        self.settings = settings
        if hasattr(self, "rollouts"):
            self.rollouts.settings = settings
        self.registry.last_server_s = settings.bounds.drain_s - LAST_SERVER_MARGIN_S
        self.prefix_fetching.set_total(settings.bounds.fetch_bytes_per_s)
        for memory in (self.request_memory, self.response_memory):
            memory.resize(settings.machine)

    @property
    def version(self) -> int:
        """Version of the configuration in force; -1 before the first."""
        return self.table.version if self.table else -1

    def caller_limits(self) -> CallerLimits:
        """Return the limits on callers' connections that are in force."""
        return self.table.limits if self.table else CallerLimits()

    def terms(self, organisation: str) -> OrganisationLimits | None:
        """Return the limits in force of an organisation."""
        organisations = self.table.organisations if self.table else None
        return (organisations or {}).get(organisation)

    def _rate_and_burst(self, organisation: str) -> tuple[float, float] | None:
        terms = self.terms(organisation)
        return (terms.rate, terms.burst) if terms and terms.rate > 0 else None

    def _take_locally(self, terms: OrganisationLimits, units: float) -> float:
        """Take units without notifying other nodes."""
        return self.limits.wait_s(
            terms.name, units, time.monotonic(), rate=terms.rate, burst=terms.burst
        )

    def configure(self, table: RoutingTable, document: bytes, source: str) -> bool:
        """Put a configuration in force if it is newer; return whether it was.

        An older version never replaces a newer one, whatever its source.
        """
        if table.version <= self.version:
            return False
        log_event(
            "configuration",
            version=table.version,
            before=self.version,
            source=source,
            routes=len(table.routes),
        )
        self.table = table
        self.document = document
        self.origin_records.observe_view()
        self.placer.configure(table)
        self.contention_exchange.configure(table)
        self.order_exchange.configure(table)
        self._update_initialised()
        return True

    def _update_initialised(self) -> None:
        if self.table is not None and self.registry.is_loaded:
            self.initialised.set()

    def _connect_origins(self) -> None:
        """Let the exchange and the records of origins use one port and one view."""
        exchange, records = self.origin_exchange, self.origin_records
        exchange.receive_record = records.receive
        exchange.is_true = lambda claim, told_at: self.processes.is_still(
            claim.server_id, claim.incarnation, told_at
        )
        records.send = exchange.datagrams.send
        records.running = exchange.running
        self.origin_view.recorder = lambda: (
            records.recorder_address() == records.address
        )

    def _observe_versions(self) -> None:
        """Apply the software versions of all servers, leaving ones included."""
        self.origin_view.refresh()
        self.origin_records.observe_view()

    def _doubt_streams(self, former: ServerEntry) -> None:
        """Let no stream go on at a version that may not have begun it."""
        keys = self.origin_exchange.doubt((former.id, former.incarnation))
        self.origin_records.doubt(keys)

    def wait_until_initialised(self) -> None:
        """Wait until the configuration and servers are known, up to START_WAIT_S.

        When all nodes restart at once, for example after a power failure, callers reach
        a node before it has read them. A refusal would use up a caller's single retry
        for something that is known 30 ms later. The limit counts from the node's start,
        so a node that can't reach the store soon refuses at once.
        """
        left_s = self.started_at + START_WAIT_S - time.monotonic()
        if left_s > 0 and not self.initialised.is_set():
            self.initialised.wait(left_s)

    def set_nodes(self, nodes: int) -> None:
        """Set the number of live nodes, this one included."""
        self.nodes = nodes
        self.placer.set_nodes(nodes)

    def retry_budget(self, service: str) -> FleetRetryBudget:
        """Return this node's share of the retry budget of `service`."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = self.retry_budgets[service] = FleetRetryBudget(
                ratio=bounds.retry_ratio,
                slack=bounds.retry_slack,
                window_s=bounds.retry_window_s,
            )
        return budget
