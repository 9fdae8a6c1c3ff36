"""Coordination of shared limits: one coordinator per organisation adds up its spending.

If one organisation floods a hundred nodes that broadcast their spending once a second,
each node admits up to the whole limit until the next broadcast: a limit of 3,000 units
in four seconds admitted 3,060. Sending each request's spending to all nodes
would cost a hundred datagrams per request.

Each node therefore reports each request at once to one coordinator, which all nodes
with the same view of the cluster choose alike: one datagram per request. The
coordinator sees the total. When little of the limit is left, it sends the spending it
knows of to all nodes, in steps. An organisation far below its limit causes no such
broadcasts. Where a datagram is lost or nodes disagree on the coordinator, the state
broadcasts once a second correct it.

On busy machines that is not enough among many nodes: while a datagram takes a third of
a second, a third of a second of the flood is unreported. What a node may spend
unreported is therefore bounded by its even part of what is left. For more it asks the
coordinator for a grant, and waits some milliseconds for the answer.
"""

from collections.abc import Iterable

from endive_core.hashing import rendezvous_choice

BROADCAST_BELOW_SHARE = 0.5
"""Share of the allowance left below which the coordinator informs all nodes. Above it,
even a hundred nodes that each believe the allowance is full can't exceed it: what is on
its way to the coordinator was admitted within some milliseconds."""

BROADCAST_STEP_SHARE = 0.125
"""Share of the allowance that may be spent before all nodes are informed again, once it
is that low. At most eight rounds of datagrams are sent for each allowance spent."""

MAX_NODES_WITHOUT_GRANTS = 20
"""Number of nodes up to which no grants are needed. So few nodes broadcast their
spending five times a second, and together they admit less unreported than operators
tolerate."""

GRANT_TIMEOUT_S = 0.1
"""Longest wait for the coordinator's answer, seconds. A round trip takes some
milliseconds; callers' latency targets are a tenth of a second and more."""

COORDINATOR_BACKOFF_S = 3.0
"""Seconds for which a coordinator that did not answer isn't asked again; another node
takes its place. By then it is either in contact again or no longer listed."""

MAX_GRANT_ATTEMPTS = 2
"""Coordinators that may leave one request unanswered, one after the other. Two in a row
are seldom gone together, and a caller within its limit then waits 0.1 s longer."""

MAX_GRANT_REQUESTS = 8
"""Coordinators asked for one request, those that decline included. A node that has just
started declines until it knows what the others have spent, which takes one state
message of each; declining takes some milliseconds."""

GRANT_RETRY_AFTER_S = 0.2
"""Retry-after for a caller refused because no coordinator answered, seconds. On the
retry a third node is asked."""


def may_spend_without_grant(units: float, *, left: float, nodes: int) -> bool:
    """Return whether a node may spend `units` before any other node knows of it.

    Parameters
    ----------
    left : float
        Units of the allowance that are left, as far as this node knows.
    nodes : int
        Nodes that may do the same at the same time, this one included.
    """
    return units * nodes <= left


def coordinator_for(organisation: str, nodes: Iterable[str]) -> str:
    """Return the coordinator of `organisation`; the same `nodes` give the same one."""
    return rendezvous_choice(organisation, list(nodes))


class UnsentSpending:
    """Spending that the coordinator has counted and not yet sent to all nodes.

    Attributes
    ----------
    unsent : dict of str to dict
        Units by node, for each organisation.
    """

    def __init__(self) -> None:
        self.unsent: dict[str, dict[str, float]] = {}

    def add(self, organisation: str, node: str, units: float) -> None:
        """Count `units` that `node` has spent."""
        if units > 0:
            by_node = self.unsent.setdefault(organisation, {})
            by_node[node] = by_node.get(node, 0.0) + units

    def take_due(self, organisation: str, *, left: float, most: float) -> list[str]:
        """Return the nodes whose spending is now due to be sent to all nodes.

        They are taken off what is pending.

        Parameters
        ----------
        left, most : float
            Units of the allowance that are left, and its capacity when full.
        """
        by_node = self.unsent.get(organisation)
        if not by_node or left >= BROADCAST_BELOW_SHARE * most:
            return []
        if sum(by_node.values()) < BROADCAST_STEP_SHARE * most:
            return []
        return list(self.unsent.pop(organisation))
