"""What backend servers state of themselves: read, kept and passed on at one place."""

import time
from typing import Any

from endive_core.server_limits import LimitReport, ServerLimits

from endive_gateway.brittle_services import BrittleServices
from endive_gateway.interfaces import ResponseMetadata
from endive_gateway.leaving_servers import MISDIRECTED_STATUS, LeavingServers
from endive_gateway.limit_sharing import MAX_REPORTS, LimitSharing
from endive_gateway.server_rests import ServerRests
from endive_gateway.state_messages import StateMessage, ToldReport


class ServerStatements:
    """The statements of servers, as this node and the others know them.

    Attributes
    ----------
    limits : LimitSharing
        How many requests servers take from all nodes together.
    brittle : BrittleServices
        Which of them fail if they must reject much.
    rests : ServerRests
        Which want no requests from a node for a while.
    leaving : LeavingServers
        Which leave.
    """

    def __init__(
        self,
        limits: LimitSharing,
        brittle: BrittleServices,
        rests: ServerRests,
        leaving: LeavingServers,
    ) -> None:
        self.limits = limits
        self.brittle = brittle
        self.rests = rests
        self.leaving = leaving

    def observe(
        self,
        server: str,
        status: int,
        metadata: ResponseMetadata,
        sent_at: float,
        *,
        through: str,
    ) -> None:
        """Apply what a server's response states.

        Parameters
        ----------
        sent_at : float
            When the request was sent, seconds on the monotonic clock.
        through : str
            IP address of the node through which the response came, or empty.
        """
        self.leaving.observe(server, status, metadata, through)
        if status == MISDIRECTED_STATUS:
            return
        self.rests.observe(server, status, metadata, through)
        is_success = 200 <= status < 300 and metadata.signed
        self.limits.observe(server, metadata, sent_at, is_success=is_success)
        self.brittle.observe(server, metadata, sent_at, is_success=is_success)

    def refresh(self) -> None:
        """Forget what is over, and servers that are gone."""
        for part in (self.limits, self.brittle, self.rests, self.leaving):
            part.refresh()

    def next_fields(self) -> dict[str, Any]:
        """Return the fields of the next state message that pass statements on."""
        now = time.monotonic()
        return {
            "server_limits": _encode(self.limits.reports, now),
            "brittle_servers": _encode(self.brittle.reports, now),
            "rests": self.rests.next_rests(),
            "unwilling_servers": self.rests.next_unwilling(),
            "leaving_servers": self.leaving.next_words(),
        }

    def learn(self, message: StateMessage, address: str, *, is_transit: bool) -> None:
        """Apply what another node passes on.

        Parameters
        ----------
        address : str
            IP address of the node.
        is_transit : bool
            Whether connections of this node go through it.
        """
        now = time.monotonic()
        if message.server_limits:
            self.limits.learn(message.node, _decode(message.server_limits, now))
        if message.brittle_servers:
            self.brittle.learn(message.node, _decode(message.brittle_servers, now))
        if message.rests:
            self.rests.learn(address, message.rests, is_transit=is_transit)
        if message.leaving_servers:
            self.leaving.learn(message.node, message.leaving_servers)
        if message.unwilling_servers:
            self.rests.learn_unwilling(message.unwilling_servers)


def _encode(reports: ServerLimits, now: float) -> list[ToldReport]:
    """Return the next reports for a message, with their ages."""
    return [
        (report.server, report.limit, now - report.at, report.id)
        for report in reports.take(MAX_REPORTS)
    ]


def _decode(reports: list[ToldReport], now: float) -> list[LimitReport]:
    """Return the reports of a message that arrived at `now`."""
    return [
        LimitReport(server, limit, now - age_s, report_id)
        for server, limit, age_s, report_id in reports
    ]
