"""Shares the limits that backend servers name with the other gateways.

Each node passes on in its state messages what servers have told it or others. Who may
send how much follows from the limit and the nodes that are presumed to be live, so no
message is needed for a request.
"""

import time
from collections.abc import Callable
from random import Random

from endive_core.server_limits import (
    LimitReport,
    LimitShare,
    ServerLimits,
    share_of,
    sharers,
)
from endive_core.shared_limits import SharedLimits
from endive_node.logs import log_event

from endive_gateway.interfaces import ResponseMetadata
from endive_gateway.placing import Placer
from endive_gateway.servers import ServerRegistry

MAX_REPORTS = 8
"""Most servers' limits in one state message."""

ID_BITS = 62
"""Random bits of a report's id: the integers of the messages have up to 63."""


class LimitSharing:
    """Keeps the limits of servers together with the other nodes.

    Attributes
    ----------
    reports : ServerLimits
        What servers have said, to this node or to others.
    shares : dict of str to LimitShare
        This node's shares by server, as the placer has them.
    nodes : set of str
        The nodes among which `sharers` were chosen.
    sharers : dict
        By server, its limit and the nodes that share it.
    peer_addresses : callable
        Returns the addresses of the other nodes that are presumed to be live.
    """

    def __init__(
        self,
        address: str,
        registry: ServerRegistry,
        placer: Placer,
        limits: SharedLimits,
        random: Random,
    ) -> None:
        self.address = address
        self.registry = registry
        self.placer = placer
        self.limits = limits
        self.random = random
        self.reports = ServerLimits()
        self.shares: dict[str, LimitShare] = {}
        self.nodes: set[str] = set()
        self.sharers: dict[str, tuple[float, list[str]]] = {}
        self.peer_addresses: Callable[[], list[str]] = list

    def observe(
        self,
        server: str,
        metadata: ResponseMetadata,
        sent_at: float,
        *,
        is_success: bool = True,
    ) -> None:
        """Apply what a server's response says about its limit.

        Only a success without a limit ends one: a server in need may fail a request
        before it gets to name its limit.

        Parameters
        ----------
        sent_at : float
            When the request was sent, seconds on the monotonic clock.
        """
        if metadata.invalid_limit:
            log_event(
                "server_limit_invalid", server=server, found=metadata.invalid_limit
            )
            return
        before, limit = self.reports.limit(server), metadata.request_limit
        if limit is None and (before is None or not is_success):
            return
        # A server may have begun a response without a limit before it named one, and
        # the response may arrive later.
        at = sent_at if limit is None else time.monotonic()
        report = LimitReport(server, limit, at, self.random.getrandbits(ID_BITS))
        if self.reports.learn(report):
            self._log_change(server, before, peer="", age_s=0.0)
            self.refresh()

    def learn(self, peer: str, reports: list[LimitReport]) -> None:
        """Apply the reports that another node passes on."""
        changed = False
        for report in reports:
            before = self.reports.limit(report.server)
            if report.server in self.registry.servers and self.reports.learn(report):
                changed = True
                age_s = time.monotonic() - report.at
                self._log_change(report.server, before, peer=peer, age_s=age_s)
        if changed:
            self.refresh()

    def _log_change(
        self, server: str, before: float | None, *, peer: str, age_s: float
    ) -> None:
        log_event(
            "server_limit",
            server=server,
            limit=self.reports.limit(server),
            before=before,
            peer=peer,
            age_s=round(age_s, 3),
        )

    def refresh(self) -> None:
        """Work out this node's shares anew, for the nodes that are live now."""
        if not self.reports.reports and not self.shares:
            return
        now = time.monotonic()
        self.reports.forget(self.registry.servers, now)
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
