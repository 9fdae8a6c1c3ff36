"""The central object that a gateway's parts are given."""

import random
import time
from collections.abc import Callable

from endive_core.clocks import ClusterClock
from endive_core.metering import UsageMeter
from endive_core.retrying import FleetRetryBudget
from endive_core.routing import CallerLimits, OrganisationLimits, RoutingTable
from endive_core.shared_limits import SharedLimits
from endive_node.logs import log_event
from gevent.event import Event

from endive_gateway.connections import ConnectionPool, is_listening
from endive_gateway.interfaces import Cloud, GatewaySettings, Store, Wire
from endive_gateway.metrics import GatewayMetrics
from endive_gateway.placing import Placer
from endive_gateway.servers import ServerRegistry
from endive_gateway.workload import WorkloadMeter

START_WAIT_S = 0.5
"""Time after the start for which a request may wait until the configuration and the
servers are known, seconds. The store mostly gives both within 0.03 s, a slow one may
need a few times that; callers give up on a node that says nothing for a second."""


class Context:
    """What one gateway knows, and the adapters it speaks through.

    Attributes
    ----------
    table : RoutingTable or None
        The configuration in force; ``None`` before the first.
    document : bytes
        The same as the operators wrote it, for other nodes.
    nodes : int
        Known nodes, this one included.
    started_at : float
        When this node started, seconds on the monotonic clock.
    take_units : callable
        Called with an organisation's terms and a request's units; returns 0 if it may
        spend them, else the seconds to wait.
    on_prompt : callable
        Called with server, tokens and the server's time in seconds when a prompt is
        sent.
    informed : Event
        Set once the configuration and the list of servers have been read.
    reported : int
        Newest window of usage that any node is known to have reported.
    """

    def __init__(
        self, settings: GatewaySettings, wire: Wire, store: Store, cloud: Cloud
    ) -> None:
        self.settings = settings
        self.wire = wire
        self.store = store
        self.cloud = cloud
        self.random = random.Random()
        self.table: RoutingTable | None = None
        self.document = b""
        self.nodes = 1
        self.registry = ServerRegistry()
        self.placer = Placer(self.registry, is_listening=is_listening)
        self.pool = ConnectionPool(wire)
        self.limits = SharedLimits(time.monotonic(), slack=settings.bounds.quota_slack)
        self.meter = UsageMeter(settings.bounds.usage_window_s)
        self.cluster_clock = ClusterClock(time.monotonic, time.time)
        self.budgets: dict[str, FleetRetryBudget] = {}
        self.metrics = GatewayMetrics()
        self.work = WorkloadMeter()
        self.take_units: Callable[[OrganisationLimits, float], float] = self._take_alone
        self.on_prompt: Callable[[str, float, float], None] = lambda *sent: None
        self.informed = Event()
        self.registry.listeners.append(self._see_informed)
        self.incarnation = time.time_ns() // 1000
        self.started_at = time.monotonic()
        self.reported = -1

    @property
    def version(self) -> int:
        """Version of the configuration in force; -1 before the first."""
        return self.table.version if self.table else -1

    def caller_limits(self) -> CallerLimits:
        """Return the limits in force."""
        return self.table.limits if self.table else CallerLimits()

    def terms(self, organisation: str) -> OrganisationLimits | None:
        """Return the terms in force of an organisation."""
        organisations = self.table.organisations if self.table else None
        return (organisations or {}).get(organisation)

    def _take_alone(self, terms: OrganisationLimits, units: float) -> float:
        """Spend without a word to other nodes."""
        return self.limits.wait_s(
            terms.name, units, time.monotonic(), rate=terms.rate, burst=terms.burst
        )

    def configure(self, table: RoutingTable, document: bytes, source: str) -> bool:
        """Put a configuration in force unless a newer one is; return whether it was.

        Whatever path it came by, an older version never replaces a newer one.
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
        self.placer.configure(table)
        self._see_informed()
        return True

    def _see_informed(self) -> None:
        if self.table is not None and self.registry.is_loaded:
            self.informed.set()

    def await_information(self) -> None:
        """Wait until the configuration and servers are known, if that can be soon.

        Nodes that start again after all lost power are reached by callers in the same
        moment. A refusal would use up their one further try for what is known in 30 ms.
        A node without a store is not waited for again and again: it refuses at once.
        """
        left_s = self.started_at + START_WAIT_S - time.monotonic()
        if left_s > 0 and not self.informed.is_set():
            self.informed.wait(left_s)

    def set_nodes(self, nodes: int) -> None:
        """Take over the number of live nodes, this one included."""
        self.nodes = nodes
        self.placer.set_nodes(nodes)

    def retries(self, service: str) -> FleetRetryBudget:
        """Return this node's part of the repeats to `service`."""
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = self.budgets[service] = FleetRetryBudget(
                ratio=bounds.retry_ratio,
                slack=bounds.retry_slack,
                window_s=bounds.retry_window_s,
            )
        return budget
