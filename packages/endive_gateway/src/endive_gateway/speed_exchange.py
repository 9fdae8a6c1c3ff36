"""What servers state of their current speed, kept and passed on to other nodes.

A node of a large fleet hears from a server about once a second, and a server may become
slow and fast again within a second. The nodes therefore pass the statements on in their
state messages.
"""

import math
import time
from collections import Counter
from collections.abc import Callable

from endive_core.scheduler import Scheduler
from endive_core.server_speed import ServerSpeeds
from endive_node.logs import log_event

from endive_gateway.interfaces import ResponseMetadata
from endive_gateway.placing import Placer
from endive_gateway.servers import ServerRegistry

SlowdownReport = tuple[str, float, float]
"""A server, how long work takes there as a multiple of the usual time, and the age of
that statement in seconds."""

MAX_REPORTS = 8
"""Most servers' slowdowns in one state message; some 270 bytes."""

TRANSIT_S = 0.01
"""Time that a message takes on the network and in the two processes, at most as a rule,
seconds."""

SUMMARY_INTERVAL_S = 10.0
"""Time between two log lines on the servers of a service, seconds. Their speed changes
many times a second."""


class SpeedExchange:
    """The statements of servers on their speed, from their responses and other nodes.

    Parameters
    ----------
    is_enabled : callable
        Returns whether the settings allow the statements to be used.

    Attributes
    ----------
    hop_s : float
        Time for which a received message may have been on its way unread, seconds.
        Without it, statements that nodes pass on to each other would grow younger.
    incarnations : dict of str to (int, float)
        Incarnation of each server, and when this node learned of it, seconds on the
        monotonic clock.
    """

    def __init__(
        self,
        registry: ServerRegistry,
        placer: Placer,
        events: Counter[str],
        is_enabled: Callable[[], bool],
    ) -> None:
        self.registry = registry
        self.placer = placer
        self.events = events
        self.is_enabled = is_enabled
        self.hop_s = TRANSIT_S
        self.incarnations: dict[str, tuple[int, float]] = {}
        self.next_summary_at = float("-inf")
        registry.listeners.append(self.apply_servers)

    def observe(self, server: str, metadata: ResponseMetadata) -> None:
        """Apply what a server's response states."""
        if metadata.slowdown is None or not self.is_enabled():
            return
        if self._state(server, metadata.slowdown, time.monotonic()):
            self.events["slowdown_stated"] += 1

    def learn(self, reports: list[SlowdownReport]) -> None:
        """Apply what another node passes on.

        A statement that is older than the news of the server's start may come from its
        earlier incarnation.
        """
        if not self.is_enabled():
            return
        received_at = time.monotonic() - self.hop_s - TRANSIT_S
        for server, slowdown, age_s in reports[:MAX_REPORTS]:
            if not (math.isfinite(slowdown) and 0 <= age_s < math.inf):
                continue
            at = received_at - age_s
            _, since = self.incarnations.get(server, (0, math.inf))
            if at > since and self._state(server, slowdown, at, is_told=True):
                self.events["slowdown_told"] += 1
        self._update(time.monotonic())

    def _state(
        self, server: str, slowdown: float, at: float, *, is_told: bool = False
    ) -> bool:
        scheduler = self._scheduler(server)
        if scheduler is None or server not in self.incarnations:
            return False
        incarnation, _ = self.incarnations[server]
        return scheduler.state_speed(
            server, incarnation, slowdown, at=at, is_told=is_told
        )

    def _scheduler(self, server: str) -> Scheduler | None:
        view = self.placer.views.get(server)
        return self.placer.schedulers.get(view.service) if view else None

    def next_reports(self) -> list[SlowdownReport]:
        """Return the statements that the next state message passes on.

        Each service has its part of them. A service with many servers would otherwise
        leave no room for those of one with few, each of which matters more.
        """
        now = time.monotonic()
        stated = sorted(self._stated().values(), key=lambda s: len(s.statements))
        reports: list[SlowdownReport] = []
        for number, speeds in enumerate(stated):
            part = (MAX_REPORTS - len(reports)) // (len(stated) - number)
            reports += speeds.next_reports(now, part)
        return reports

    def refresh(self) -> None:
        """Forget what is old or not wanted, and let the rest age."""
        now = time.monotonic()
        if stated := self._stated():
            kept = self.incarnations if self.is_enabled() else {}
            incarnations = {server: number for server, (number, _) in kept.items()}
            for speeds in stated.values():
                speeds.keep(incarnations, now)
        self._update(now)
        self._log_summary(now)

    def apply_servers(self) -> None:
        """Note which servers are new or have started again."""
        now, known = time.monotonic(), self.registry.servers
        for gone in self.incarnations.keys() - known.keys():
            del self.incarnations[gone]
        for server, state in known.items():
            incarnation = state.entry.incarnation
            before = self.incarnations.get(server)
            if before is None or before[0] != incarnation:
                self.incarnations[server] = (incarnation, now)
        self.refresh()

    def _update(self, now: float) -> None:
        for scheduler in self.placer.schedulers.values():
            scheduler.update_speeds(now)

    def _stated(self) -> dict[str, ServerSpeeds]:
        """Return by service what its servers have stated, if they have."""
        return {
            name: scheduler.servers.speeds
            for name, scheduler in self.placer.schedulers.items()
            if scheduler.servers.speeds.statements
        }

    def _log_summary(self, now: float) -> None:
        stated = self._stated()
        if now < self.next_summary_at or not stated:
            return
        self.next_summary_at = now + SUMMARY_INTERVAL_S
        for service, speeds in stated.items():
            ages = [now - statement.at for statement in speeds.statements.values()]
            log_event(
                "server_speeds",
                service=service,
                servers=len(ages),
                mean=round(speeds.mean, 3),
                holds_s=speeds.hold.seconds,
                capacity=round(speeds.capacity, 3),
                age_s=round(sum(ages) / len(ages), 3),
            )

    # Gauges

    def slow_servers(self) -> int:
        """Return how many servers are expected to work slowly now."""
        return sum(
            speeds.is_slow(server)
            for name, speeds in self._stated().items()
            for server in self.placer.schedulers[name].servers.servers.values()
        )
