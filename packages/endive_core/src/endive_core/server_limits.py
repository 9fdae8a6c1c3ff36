"""Limits that backend servers name, as all nodes know them, and how nodes share them.

A server in need says in its responses how many requests a second it takes from all
nodes together, for as long as it says so. Nodes pass on what they were told, so that
one that has not sent a request there keeps the limit too.

A limit is shared by a few nodes, which all choose alike by hashing; the others send the
server nothing. A share for each node would be a fraction of a request, and hundreds of
nodes that each saved up one request could send them all at once. A node that asked
another one for each request would keep callers waiting.
"""

import heapq
import math
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from endive_core.hashing import rendezvous_score

MIN_SHARERS = 2
"""Nodes that share a limit of less than one request a second, at least."""

BURST_S = 0.5
"""Seconds of a node's share that it may send at once."""

MIN_RATE = 0.1
"""Least requests a second that are sent to a server, so that the end of its limit is
noticed."""

ENDED_MEMORY_S = 30.0
"""Time for which the end of a limit is passed on, seconds."""


@dataclass(frozen=True, slots=True)
class LimitReport:
    """What a server said about its limit.

    Attributes
    ----------
    limit : float or None
        Requests a second from all nodes together; ``None`` if it names no limit.
    at : float
        Clock time to which the statement applies, seconds.
    id : int
        Identifies the statement among all nodes.
    """

    server: str
    limit: float | None
    at: float
    id: int


@dataclass(frozen=True, slots=True)
class LimitShare:
    """A node's share of a server's limit.

    Attributes
    ----------
    limit : float
        Requests a second that the server takes from all nodes together.
    rate : float
        Requests a second that this node may send; 0 if others share the limit.
    burst : float
        Requests that it may send at once.
    reported_at : float
        When the server last named its limit, clock time in seconds.
    """

    limit: float
    rate: float
    burst: float
    reported_at: float


class ServerLimits:
    """The newest report of each server that names a limit, or did so recently.

    Attributes
    ----------
    reports : OrderedDict
        By server, in the order in which they are passed on to other nodes.
    restarted_at : dict of str to float
        By server that has started again, when this was learned. Earlier statements are
        those of its earlier incarnation.
    """

    def __init__(self) -> None:
        self.reports: OrderedDict[str, LimitReport] = OrderedDict()
        self.restarted_at: dict[str, float] = {}

    def limit(self, server: str) -> float | None:
        """Return the limit of `server`; ``None`` if it names none."""
        report = self.reports.get(server)
        return report.limit if report else None

    def limited(self) -> dict[str, LimitReport]:
        """Return by server the reports of those that name a limit."""
        return {s: r for s, r in self.reports.items() if r.limit is not None}

    def learn(self, report: LimitReport) -> bool:
        """Apply a report, unless a newer one is known.

        A report that is passed on arrives later each time, and counts from its least
        delayed message.

        Returns
        -------
        bool
            Whether the limit changed.
        """
        if report.at < self.restarted_at.get(report.server, -math.inf):
            return False
        known = self.reports.get(report.server)
        if known is not None and report.id == known.id:
            if report.at < known.at:
                self.reports[report.server] = report
            return False
        if known is not None and report.at <= known.at:
            return False
        self.reports[report.server] = report
        if report.limit == (known.limit if known else None):
            return False
        self.reports.move_to_end(report.server, last=False)
        return True

    def restart(self, server: str, now: float) -> None:
        """Forget what a server has stated that has started again."""
        self.reports.pop(server, None)
        self.restarted_at[server] = now

    def take(self, count: int) -> list[LimitReport]:
        """Return the next `count` reports for a message; each has its turn."""
        taken = []
        for _ in range(min(count, len(self.reports))):
            server, report = self.reports.popitem(last=False)
            self.reports[server] = report
            taken.append(report)
        return taken

    def forget(self, known_servers: Collection[str], now: float) -> None:
        """Drop the reports of servers that are gone, and ends that all nodes know."""
        for server, report in list(self.reports.items()):
            ended = report.limit is None and now - report.at > ENDED_MEMORY_S
            if ended or server not in known_servers:
                del self.reports[server]
        for server in self.restarted_at.keys() - known_servers:
            del self.restarted_at[server]


def sharers(server: str, limit: float, nodes: Iterable[str]) -> list[str]:
    """Return the nodes that share the limit of `server`.

    Their number depends on the limit, so that what they have saved up together stays a
    part of what the server tolerates in some seconds.
    """
    count = MIN_SHARERS + math.floor(limit)
    return heapq.nlargest(
        count, nodes, key=lambda node: (rendezvous_score(server, node), node)
    )


def share_of(
    node: str, sharing: Collection[str], report: LimitReport, *, reachable: float = 1.0
) -> LimitShare:
    """Return the share of `node` in the limit that a server has reported.

    Parameters
    ----------
    sharing : collection of str
        The nodes that share the limit; see :func:`sharers`.
    reachable : float
        Part of the limit that belongs to the nodes in contact. The others may have lost
        contact with this node only, and go on sending their part.
    """
    if node not in sharing:
        return LimitShare(report.limit, 0.0, 0.0, report.at)
    rate = max(MIN_RATE, report.limit * reachable) / len(sharing)
    return LimitShare(report.limit, rate, max(1.0, rate * BURST_S), report.at)
