"""Knows the services whose servers are brittle, together with the other gateways.

A brittle server fails if it must reject more than a few requests a second for lack of
room. It says so in its responses. Each node passes on in its state messages what
servers have told it or others; while any server of a service is brittle, all of them
count as such.
"""

import time
from random import Random

from endive_core.server_limits import LimitReport, ServerLimits
from endive_node.logs import log_event

from endive_gateway.interfaces import ResponseMetadata
from endive_gateway.limit_sharing import ID_BITS
from endive_gateway.servers import ServerRegistry


class BrittleServices:
    """The services with brittle servers.

    Attributes
    ----------
    reports : ServerLimits
        By server, the rejections a second that it tolerates, as it has said.
    names : set of str
        The services with a brittle server.
    """

    def __init__(self, registry: ServerRegistry, random: Random) -> None:
        self.registry = registry
        self.random = random
        self.reports = ServerLimits()
        self.names: set[str] = set()

    def observe(
        self,
        server: str,
        metadata: ResponseMetadata,
        sent_at: float,
        *,
        is_success: bool = True,
    ) -> None:
        """Apply what a server's response says, or no longer says.

        Parameters
        ----------
        sent_at : float
            When the request was sent, seconds on the monotonic clock.
        """
        if metadata.invalid_brittleness:
            found = metadata.invalid_brittleness
            log_event("server_brittleness_invalid", server=server, found=found)
            return
        rejections = metadata.brittle_rejections
        if rejections is None:
            # Only a success tells that a server is sound again, and only one to a
            # request that was sent after the server said that it is brittle.
            if not is_success or self.reports.limit(server) is None:
                return
            at = sent_at
        else:
            at = time.monotonic()
        report_id = self.random.getrandbits(ID_BITS)
        self._apply(LimitReport(server, rejections, at, report_id), peer="")

    def learn(self, peer: str, reports: list[LimitReport]) -> None:
        """Apply the reports that another node passes on."""
        for report in reports:
            if report.server in self.registry.servers:
                self._apply(report, peer)

    def _apply(self, report: LimitReport, peer: str) -> None:
        before = self.reports.limit(report.server)
        if not self.reports.learn(report):
            return
        log_event(
            "server_brittle",
            server=report.server,
            rejections=report.limit,
            before=before,
            peer=peer,
            age_s=round(time.monotonic() - report.at, 3),
        )
        self.refresh()

    def refresh(self) -> None:
        """Forget servers that are gone, and find the services anew."""
        if not self.reports.reports and not self.names:
            return
        servers = self.registry.servers
        self.reports.forget(servers, time.monotonic())
        self.names = {
            servers[server].entry.service for server in self.reports.limited()
        }
