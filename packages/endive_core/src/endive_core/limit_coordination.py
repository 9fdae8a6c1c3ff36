"""Which node adds up what an organisation spends, and when it tells the others.

The load this is for: an organisation floods a hundred nodes. They tell each other what
they have spent once a second; until then each lets through what all together may, and a
limit of 3,000 units in four seconds had 3,060. Told at once to all, each request would
cost a hundred datagrams.

So each node tells one other node at once, the same for all that know the same nodes:
one datagram a request. That node sees the whole, and tells all others when little is
left and each time that some of it went. An organisation far below its limit causes none
of that. Where a datagram is lost or the nodes disagree on who counts, what they tell
each other once a second makes good for it.

Among many nodes that is not enough when the machines are busy: a note that takes a
third of a second leaves as much of a flood unheard. So what a node may spend unheard is
bounded by its even part of what is left. For more it asks the node that adds up, and
waits some milliseconds for the answer.
"""

from collections.abc import Iterable

from endive_core.hashing import rendezvous_choice

TELL_BELOW = 0.5
"""Part of the allowance below which the others are told. Until then a hundred nodes
that each believe it is whole can't pass it: what is on the way to the counting node is
what was admitted within some milliseconds."""

TELL_EACH = 0.125
"""Part of the allowance that may be spent untold once it is that low. At most eight
rounds of datagrams then go out for each allowance that is spent."""


MAX_NODES_WITHOUT_GRANTS = 20
"""Nodes up to which none is asked. They tell each other all spending five times a
second, and together let through less unheard than operators tolerate."""

GRANT_TIMEOUT_S = 0.1
"""Longest wait for the answer of the node that adds up, seconds. It takes two ways of
the network, some milliseconds; a caller's target is a tenth of a second and more."""

COORDINATOR_BACKOFF_S = 3.0
"""Time for which a node that did not answer isn't asked again, seconds: another one
adds up. By then it is heard again, or no longer listed."""

MAX_GRANT_ATTEMPTS = 2
"""Nodes asked for one request, one after the other. Two that add up for an organisation
are seldom gone together, and a caller within its limit then waits for 0.1 s longer."""

GRANT_RETRY_AFTER_S = 0.2
"""Time after which a caller may come back that was refused since nobody answered,
seconds: a third node is asked then."""


def may_spend_without_grant(units: float, *, left: float, nodes: int) -> bool:
    """Return whether a node may spend `units` before any other has heard of it.

    Parameters
    ----------
    left : float
        Units of the allowance that are left, as far as this node knows.
    nodes : int
        Nodes that may do the same at the same moment, this one included.
    """
    return units * nodes <= left


def coordinator_for(organisation: str, nodes: Iterable[str]) -> str:
    """Return the node that adds up for `organisation`; all nodes choose the same."""
    return rendezvous_choice(organisation, list(nodes))


class UnsentSpending:
    """What the counting node knows of and has not told all others.

    Attributes
    ----------
    untold : dict of str to dict
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
        """Return the nodes whose spending all others must hear of now.

        Parameters
        ----------
        left, most : float
            Units of the allowance that are left, and what it holds when full.
        """
        by_node = self.unsent.get(organisation)
        if not by_node or left >= TELL_BELOW * most:
            return []
        if sum(by_node.values()) < TELL_EACH * most:
            return []
        return list(self.unsent.pop(organisation))
