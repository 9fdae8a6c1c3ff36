"""Shares the limits that backend servers name with the other gateways.

Who may send how much follows from the limit and the nodes that are presumed to be live,
so no message is needed for a request.
"""

import time
from collections.abc import Callable
from random import Random

from endive_core.server_limits import LimitReport, LimitShare, share_of, sharers
from endive_core.shared_limits import SharedLimits
from endive_node.logs import log_event

from endive_gateway.interfaces import ResponseMetadata
from endive_gateway.placing import Placer
from endive_gateway.servers import ServerRegistry
from endive_gateway.stated_values import StatedValues


class LimitSharing(StatedValues):
    """Keeps the limits of servers together with the other nodes.

    Attributes
    ----------
    shares : dict of str to LimitShare
        This node's shares by server, as the placer has them.
    nodes : set of str
        The nodes among which `sharers` were chosen.
    sharers : dict
        By server, its limit and the nodes that share it.
    peer_addresses : callable
        Returns the addresses of the other nodes that are presumed to be live.
    """

    event, field = "server_limit", "limit"

    def __init__(
        self,
        address: str,
        registry: ServerRegistry,
        placer: Placer,
        limits: SharedLimits,
        random: Random,
    ) -> None:
        super().__init__(registry, random)
        self.address = address
        self.placer = placer
        self.limits = limits
        self.shares: dict[str, LimitShare] = {}
        self.nodes: set[str] = set()
        self.sharers: dict[str, tuple[float, list[str]]] = {}
        self.peer_addresses: Callable[[], list[str]] = list

    def read(self, metadata: ResponseMetadata) -> tuple[float | None, str]:
        """See :meth:`StatedValues.read`."""
        return metadata.request_limit, metadata.invalid_limit

    def apply(self) -> None:
        """Work out this node's shares anew, for the nodes that are live now."""
        if not self.reports.reports and not self.shares:
            return
        now = time.monotonic()
        limited = self.reports.limited()
        nodes = {self.address, *self.peer_addresses()} if limited else set()
        reachable = self.limits.reachable_share(now) if limited else 1.0
        shares = {
            server: share_of(
                self.address, self._sharers(report, nodes), report, reachable=reachable
            )
            for server, report in limited.items()
        }
        for server, share in shares.items():
            known = self.shares.get(server)
            if known is None or (known.limit, known.rate) != (share.limit, share.rate):
                log_event(
                    "server_limit_share",
                    server=server,
                    limit=share.limit,
                    rate=share.rate,
                    nodes=len(nodes),
                )
        self.shares = shares
        self.placer.set_limit_shares(shares)

    def _sharers(self, report: LimitReport, nodes: set[str]) -> list[str]:
        """Return the nodes that share a limit, chosen anew only after a change."""
        if nodes != self.nodes:
            self.nodes, self.sharers = nodes, {}
        limit, chosen = self.sharers.get(report.server, (None, []))
        if limit != report.limit:
            chosen = sharers(report.server, report.limit, nodes)
            self.sharers[report.server] = (report.limit, chosen)
        return chosen

    def limited_servers(self) -> int:
        """Return how many servers name a limit."""
        return len(self.shares)

    def shared_rate(self) -> float:
        """Return the requests a second that this node may send to limited servers."""
        return sum(share.rate for share in self.shares.values())
