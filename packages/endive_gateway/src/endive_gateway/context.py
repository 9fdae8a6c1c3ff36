"""The central object that a gateway's parts are given."""

import random
import time

from endive_core.clocks import TrueTime
from endive_core.metering import Meter
from endive_core.retrying import FleetRetryBudget
from endive_core.routing import CallerLimits, RoutingTable
from endive_core.sharing import SharedLimits
from endive_node.logs import log_event

from endive_gateway.connections import ConnectionPool, is_listening
from endive_gateway.interfaces import Cloud, GatewaySettings, Store, Wire
from endive_gateway.metrics import GatewayMetrics
from endive_gateway.placing import ENGINE_PREFILL_TOKENS_PER_S, Placer
from endive_gateway.servers import ServerRegistry
from endive_gateway.working import WorkMeter


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
        self.meter = Meter(settings.bounds.usage_window_s)
        self.true_time = TrueTime(time.monotonic, time.time)
        self.budgets: dict[str, FleetRetryBudget] = {}
        self.metrics = GatewayMetrics()
        self.work = WorkMeter(ENGINE_PREFILL_TOKENS_PER_S)
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
        return True

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
