"""Keeps a value that backend servers state in their responses, with the other gateways.

Each node passes on in its state messages what servers have told it or others.
"""

import time
from random import Random
from typing import ClassVar

from endive_core.server_limits import LimitReport, ServerLimits
from endive_node.logs import log_event

from endive_gateway.interfaces import ResponseMetadata
from endive_gateway.quantities import MAX_NUMBER
from endive_gateway.servers import ServerRegistry
from endive_gateway.state_messages import ValueReport

MAX_REPORTS = 8
"""Most servers' values in one state message."""

ID_BITS = 62
"""Random bits of a report's id: the integers of the messages have up to 63."""


class StatedValues:
    """The newest value of each server that states one.

    Subclasses name the value and act on its changes.

    Attributes
    ----------
    event, field : str
        Names of the log line of a change and of the value in it.
    reports : ServerLimits
        What servers have said, to this node or to others.
    invalid : set of str
        Servers whose value can't be read.
    """

    event: ClassVar[str]
    field: ClassVar[str]

    def __init__(self, registry: ServerRegistry, random: Random) -> None:
        self.registry = registry
        self.random = random
        self.reports = ServerLimits()
        self.invalid: set[str] = set()
        registry.restart_listeners.append(self.forget_server)

    def read(self, metadata: ResponseMetadata) -> tuple[float | None, str]:
        """Return the value in a response, if any, and what of it can't be read."""
        raise NotImplementedError

    def apply(self) -> None:
        """Act on changed values, servers or nodes."""
        raise NotImplementedError

    def observe(
        self,
        server: str,
        metadata: ResponseMetadata,
        sent_at: float,
        *,
        is_success: bool = True,
    ) -> None:
        """Apply what a server's response states, or no longer states.

        Only a success without a value ends one: a server in need may fail a request
        before it gets to state its value.

        Parameters
        ----------
        sent_at : float
            When the request was sent, seconds on the monotonic clock.
        """
        value, invalid = self.read(metadata)
        if invalid:
            if server not in self.invalid:
                self.invalid.add(server)
                log_event(f"{self.event}_invalid", server=server, found=invalid)
            return
        before = self.reports.limit(server)
        if value is None and (before is None or not is_success):
            return
        # A server may have begun a response without a value before it stated one, and
        # the response may arrive later.
        at = sent_at if value is None else time.monotonic()
        report = LimitReport(server, value, at, self.random.getrandbits(ID_BITS))
        if self._learn(report, peer=""):
            self.refresh()

    def learn(self, peer: str, reports: list[LimitReport]) -> None:
        """Apply the reports that another node passes on."""
        known = [r for r in reports if r.server in self.registry.servers]
        changed = [self._learn(report, peer) for report in known]
        if any(changed):
            self.refresh()

    def _learn(self, report: LimitReport, peer: str) -> bool:
        """Record a report; return whether it changes a value."""
        before = self.reports.limit(report.server)
        if not self.reports.learn(report):
            return False
        log_event(
            self.event,
            server=report.server,
            **{self.field: report.limit},
            before=before,
            peer=peer,
            age_s=round(time.monotonic() - report.at, 3),
        )
        return True

    def next_reports(self) -> list[ValueReport]:
        """Return the next reports for a state message, with their ages."""
        now = time.monotonic()
        return [
            (report.server, report.limit, min(MAX_NUMBER, now - report.at), report.id)
            for report in self.reports.take(MAX_REPORTS)
        ]

    def learn_told(self, peer: str, told: list[ValueReport]) -> None:
        """Apply the reports of another node's state message."""
        now = time.monotonic()
        reports = [
            LimitReport(server, v, now - age, id_) for server, v, age, id_ in told
        ]
        self.learn(peer, reports)

    def forget_server(self, server: str) -> None:
        """Forget what a server has stated that has started again."""
        self.reports.restart(server, time.monotonic())
        self.invalid.discard(server)
        self.refresh()

    def refresh(self) -> None:
        """Forget servers that are gone, and act on what is known now."""
        self.invalid &= self.registry.servers.keys()
        self.reports.forget(self.registry.servers, time.monotonic())
        self.apply()
