"""The parts of a node that its runs share."""

from dataclasses import dataclass

from endive_node.backends import BackendClients
from endive_node.dispatching import Dispatcher
from endive_node.interfaces import Claims, Clock
from endive_node.request_traces import TraceStore
from endive_node.telemetry import Metrics


@dataclass(frozen=True, slots=True)
class RunContext:
    """The parts of a node that each run calls."""

    node_id: str
    dispatcher: Dispatcher
    clients: BackendClients
    metrics: Metrics
    clock: Clock
    claims: Claims
    traces: TraceStore
