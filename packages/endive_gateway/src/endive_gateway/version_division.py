"""Divides servers and requests between the two versions of a service under a rollout.

While an order is known, the candidate's servers have a scheduler of their own beside
the service's. At completion it becomes the service's.
"""

import hashlib
import time
from collections.abc import Iterator

from endive_core.calls import Call, Ticket
from endive_core.rollouts import Stage, StageKind
from endive_core.routing import Service
from endive_core.scheduler import Scheduler
from endive_core.traffic_shares import ShareAccumulator
from endive_core.version_admission import Division, VersionedServer
from endive_node.logs import log_event

from endive_gateway.clocks import boot_time
from endive_gateway.interfaces import NOT_A_VERSION, ServerEntry
from endive_gateway.placing import KEY_SEPARATOR, Placer
from endive_gateway.rollouts import Rollouts

CANDIDATE_SUFFIX = f"{KEY_SEPARATOR}candidate"
"""Ends the key of a candidate's scheduler."""

COLD_S = 2.5
"""Time for which the times to first byte of a candidate's server aren't counted after
it is first used, seconds: its caches fill then."""


class VersionDivision:
    """Divides the servers and requests of the services of one node.

    Attributes
    ----------
    divisions : dict of str to Division
        By service, as last computed.
    used_since : dict of str to float
        By id, when a candidate's server was first chosen, on the monotonic clock.
    """

    def __init__(self, placer: Placer, rollouts: Rollouts) -> None:
        self.placer = placer
        self.rollouts = rollouts
        self.divisions: dict[str, Division] = {}
        self.accumulators: dict[str, ShareAccumulator] = {}
        self.logged_withheld: dict[str, frozenset[str]] = {}
        self.applied: dict[str, Stage] = {}
        self.used_since: dict[str, float] = {}
        placer.groups = self.groups
        placer.schedulers_for = self.schedulers_for
        placer.scheduler_for_retry = self.scheduler_for_retry
        rollouts.on_change = self.refresh

    # Servers

    def groups(self) -> Iterator[tuple[str, Service, list[ServerEntry]]]:
        """Yield the key of each scheduler, its service and its servers."""
        registry = self.placer.registry
        self.used_since = {
            server: at
            for server, at in self.used_since.items()
            if server in registry.servers
        }
        waiting = False
        for name, service in self.placer.services.items():
            usable = [s.entry for s in registry.of_service(name) if s.usable]
            if not self.rollouts.is_enabled:
                yield name, service, usable
                continue
            division = self._divide(name, usable)
            waiting |= division.is_waiting
            yield name, service, [e for e in usable if e.id in division.ordinary]
            chosen = self._chosen_candidates(name, usable, division)
            is_new = name + CANDIDATE_SUFFIX not in self.placer.schedulers
            if chosen or not is_new:
                yield name + CANDIDATE_SUFFIX, service, chosen
                candidate = self.placer.schedulers[name + CANDIDATE_SUFFIX]
                if is_new:
                    candidate.take_estimates(self.placer.schedulers[name])
                candidate.failures.goes_elsewhere = bool(division.ordinary)
        if waiting and not self.rollouts.admission.is_waiting:
            self.rollouts.check_orders()
        self.rollouts.admission.is_waiting = waiting

    def _divide(self, service: str, usable: list[ServerEntry]) -> Division:
        stage = self.rollouts.stage(service)
        division = self.rollouts.admission.divide(
            service,
            [_versioned(entry) for entry in usable],
            stage,
            boot_time(),
            is_recent=self.rollouts.is_recent(service),
        )
        if stage.kind is StageKind.COMPLETED:
            self._adopt(service)
        self.divisions[service] = division
        if division.withheld != self.logged_withheld.get(service, frozenset()):
            self.logged_withheld[service] = division.withheld
            log_event(
                "servers_withheld",
                service=service,
                servers=len(division.withheld),
                first=min(division.withheld, default=""),
                ordinary=len(division.ordinary),
                candidates=len(division.candidates),
                unconfirmed=division.is_waiting,
            )
        return division

    def _adopt(self, service: str) -> None:
        """Make the candidate's scheduler the service's."""
        candidate = self.placer.schedulers.pop(service + CANDIDATE_SUFFIX, None)
        if candidate is None:
            return
        if not candidate.servers.servers:
            self.placer.retire(candidate)
            return
        old = self.placer.schedulers.get(service)
        self.placer.schedulers[service] = candidate
        candidate.failures.goes_elsewhere = False
        for server in candidate.servers.servers.values():
            server.view.service = service
        if old is not None:
            self.placer.move_queued(old, candidate)
            self.placer.retire(old)

    def _chosen_candidates(
        self, service: str, usable: list[ServerEntry], division: Division
    ) -> list[ServerEntry]:
        """Return the candidate's servers that get requests now.

        All nodes choose the same ones, so that each gets the load of an old server.
        """
        entries = [e for e in usable if e.id in division.candidates]
        stage = self.rollouts.stage(service)
        if stage.servers and division.ordinary:
            entries.sort(key=lambda entry: _rank(entry.id))
            entries = entries[: stage.servers]
        if stage.share:
            for entry in entries:
                self.used_since.setdefault(entry.id, time.monotonic())
        return entries

    def is_cold(self, entry: ServerEntry) -> bool:
        """Return whether a candidate's server may be slow since it is new."""
        used_s = time.monotonic() - self.used_since.get(entry.id, 0.0)
        return entry.cold_left_s > 0 or used_s < COLD_S

    def is_withheld(self, entry: ServerEntry) -> bool:
        """Return whether a server may get nothing now."""
        division = self.divisions.get(entry.service)
        return division is not None and entry.id in division.withheld

    def withheld_servers(self) -> int:
        """Return the number of servers that get nothing."""
        return sum(len(division.withheld) for division in self.divisions.values())

    def counts_as_base(self, entry: ServerEntry) -> bool:
        """Return whether a server counts as capacity of its service."""
        division = self.divisions.get(entry.service)
        if division is None or not division.ordinary:
            return True
        if entry.id in division.candidates:
            return False
        return entry.id in division.unproven or entry.id not in division.withheld

    def is_candidate(self, entry: ServerEntry) -> bool:
        """Return whether a server has the version of its service's order."""
        rollout = self.rollouts.rollouts.get(entry.service)
        if rollout is None or entry.software_version_label.startswith(NOT_A_VERSION):
            return False
        return entry.software_version_label == rollout.order.to

    def refresh(self) -> None:
        """Apply what has changed, and let queued requests go where they now belong."""
        self.applied = self._stages()
        self.placer.refresh()
        for service in self.rollouts.rollouts:
            self._move_queued(service)

    def refresh_if_due(self) -> None:
        """Apply a stage that changed without a message, by this node's isolation."""
        if self._stages() != self.applied or self.rollouts.is_waiting():
            self.refresh()
            return
        for service, stage in self.applied.items():
            if stage.kind is StageKind.ALL:
                self._move_queued(service)

    def _stages(self) -> dict[str, Stage]:
        return {name: self.rollouts.stage(name) for name in self.rollouts.rollouts}

    def _move_queued(self, service: str) -> None:
        base = self.placer.schedulers.get(service)
        candidate = self.placer.schedulers.get(service + CANDIDATE_SUFFIX)
        if base is None or candidate is None:
            return
        stage = self.rollouts.stage(service)
        if stage.kind is StageKind.ALL or not base.servers.servers:
            self.placer.move_queued(
                base,
                candidate,
                lambda ticket: self._gets_all(service, ticket.call.deployment),
            )
        elif not candidate.servers.servers or not self.rollouts.stage(service).share:
            self.placer.move_queued(candidate, base)

    # Requests

    def schedulers_for(self, service: str, call: Call) -> list[Scheduler]:
        """Return the schedulers to which a new request is offered, one by one."""
        base = self.placer.schedulers.get(service)
        candidate = self.placer.schedulers.get(service + CANDIDATE_SUFFIX)
        if base is None or candidate is None:
            return [base] if base is not None else []
        if call.software_version is not None:
            is_candidate = call.software_version in candidate.servers.versions
            return [candidate if is_candidate else base]
        if self._gets_all(service, call.deployment):
            return [candidate]
        stage = self.rollouts.stage(service)
        if not candidate.servers.servers or stage.kind is StageKind.ALL:
            return [base]
        accumulator = self.accumulators.setdefault(
            service, ShareAccumulator(self.placer.random)
        )
        if not accumulator.takes_next(stage.share):
            return [base]
        if not candidate.servers.available[candidate.usage.tier(call)]:
            accumulator.give_back()
            return [base]
        return [candidate, base]

    def _gets_all(self, service: str, route: str) -> bool:
        """Return whether all requests of a route go to the candidate if not bound."""
        base = self.placer.schedulers.get(service)
        candidate = self.placer.schedulers.get(service + CANDIDATE_SUFFIX)
        if candidate is None or not candidate.servers.servers:
            return False
        if base is None or not base.servers.servers:
            return True
        stage = self.rollouts.stage(service)
        if stage.kind is not StageKind.ALL or not candidate.servers.accepting:
            return False
        return stage.has_begun(route, self.rollouts.elapsed_s(service))

    def scheduler_for_retry(self, ticket: Ticket) -> Scheduler | None:
        """Return the scheduler for the next attempt; ``None`` to keep the present one.

        A request that failed at the candidate goes to the base, so that a bad version
        costs its caller only time.
        """
        service = self.placer.service_of(ticket)
        if service is None or ticket.version is not None:
            return None
        key = service + CANDIDATE_SUFFIX
        if self._gets_all(service, ticket.call.deployment):
            return self.placer.schedulers[key]
        base = self.placer.schedulers.get(service)
        return base if base is not None and base.servers.servers else None

    def base_left(self, service: str) -> int:
        """Return this node's requests that are queued for the base or run there."""
        base = self.placer.schedulers.get(service)
        if base is None or service + CANDIDATE_SUFFIX not in self.placer.schedulers:
            return 0
        return base.servers.own_in_flight + len(base.queue)


def _versioned(entry: ServerEntry) -> VersionedServer:
    label = entry.software_version_label
    is_readable = not label.startswith(NOT_A_VERSION)
    return VersionedServer(entry.id, label, entry.incarnation, is_readable)


def _rank(server_id: str) -> bytes:
    return hashlib.blake2b(server_id.encode(), digest_size=8).digest()
