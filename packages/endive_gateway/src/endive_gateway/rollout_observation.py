"""Counts the responses of both versions while a rollout runs."""

import time

import gevent
from endive_core.calls import Ticket
from endive_core.rollout_evidence import RolloutTotals
from endive_core.routing import Route
from endive_core.version_comparison import RATIO_LIMITS

from endive_gateway.exceptions import AttemptError
from endive_gateway.interfaces import ServerEntry
from endive_gateway.placing import Placer
from endive_gateway.rollouts import JUDGING_INTERVAL_S, Rollouts
from endive_gateway.version_division import VersionDivision

EXPECTED_PLAIN_PART = 0.2
EXPECTED_STREAM_PART = 0.05
"""Expected time to first byte as a part of the route's target, without the prefill of
the prompt. Only its ratio between the versions matters, and that the histogram covers
the times: half of the first tokens come within a twentieth of their targets, and plain
responses within a fifth."""

CHECK_INTERVAL_S = 0.5
"""Time between two reads of the orders while servers are withheld, seconds."""

MAX_STATED_SLOWDOWN = 4.0
"""Largest slowdown stated by a server that is taken into account."""


MAX_CRASHED = 512
"""Most ends of servers that are remembered. The attempts that one ends fail within
seconds."""


class Observation:
    """One attempt at a server of a service under a rollout.

    Attributes
    ----------
    slowdown : float
        What the server states of its speed.
    is_cold : bool
        Whether the server may be slow since it is new, so that times don't count.
    """

    __slots__ = (
        "ended",
        "expected_s",
        "is_cold",
        "is_counted",
        "is_timed",
        "route",
        "sent_at",
        "side",
        "slowdown",
        "ticket",
        "totals",
    )

    def __init__(
        self,
        totals: RolloutTotals,
        route: str,
        ticket: Ticket,
        expected_s: float,
        *,
        is_candidate: bool,
    ) -> None:
        counts = totals.route(route)
        self.side = counts.candidate if is_candidate else counts.base
        self.totals = totals
        self.route = route
        self.ticket = ticket
        self.expected_s = expected_s
        self.sent_at = time.monotonic()
        self.slowdown = 1.0
        self.is_timed = self.is_counted = self.ended = self.is_cold = False

    def update(self, now: float) -> bool:
        """Count what has become known; return whether anything has."""
        if self.is_timed:
            return False
        first = self.ticket.first_token_at
        if first is not None and first >= self.sent_at:
            self._add_time(first - self.sent_at)
            self._count()
            return True
        if now - self.sent_at > RATIO_LIMITS[-1] * self.expected_s * self.slowdown:
            self._add_time(now - self.sent_at)
            return True
        return False

    def finish(self, *, failed: bool) -> None:
        """Count the end of the attempt, if the version is answerable for it."""
        now = time.monotonic()
        self.update(now)
        self._count()
        self.side.failures += failed
        if not failed:
            self.side.ended += 1
            self.side.busy_ms += int(1000 * (now - self.sent_at))
        self.ended = True

    def abandon(self, *, timed_out: bool) -> None:
        """Count an attempt that was given up without an outcome.

        If its time was over, its first byte has taken at least as long.
        """
        now = time.monotonic()
        self.update(now)
        if timed_out and not self.is_timed:
            self._add_time(now - self.sent_at)
        self.ended = True

    def _add_time(self, seconds: float) -> None:
        self.is_timed = True
        if self.is_cold:
            return
        slowdown = min(MAX_STATED_SLOWDOWN, max(1.0, self.slowdown))
        self.side.add_time(seconds / (self.expected_s * slowdown))

    def _count(self) -> None:
        if not self.is_counted:
            self.is_counted = True
            self.side.responses += 1


class RolloutObserver:
    """Observes this node's attempts, and has the versions compared.

    Attributes
    ----------
    open : dict of Observation to None
        Attempts that have not ended.
    crashed : dict of str to None
        Ids with incarnations of the servers that crashed last, as an ordered set.
    is_evidence_new : bool
        Whether responses of a candidate have been counted since the last report.
    send_evidence : callable
        Tells the holder of the duties; called with nothing.
    """

    def __init__(
        self, rollouts: Rollouts, division: VersionDivision, placer: Placer
    ) -> None:
        self.rollouts = rollouts
        self.division = division
        self.placer = placer
        self.open: dict[Observation, None] = {}
        self.crashed: dict[str, None] = {}
        self.is_evidence_new = False
        self.next_check_at = 0.0
        self.send_evidence = lambda: None
        placer.crashes.listeners.append(lambda crash: self._note_crash(crash.server))

    def _note_crash(self, server: str) -> None:
        self.crashed.pop(server, None)
        self.crashed[server] = None
        if len(self.crashed) > MAX_CRASHED:
            del self.crashed[next(iter(self.crashed))]

    def run(self) -> None:
        """Update the counts and compare, without end; the body of a greenlet."""
        while True:
            gevent.sleep(JUDGING_INTERVAL_S)
            if self.rollouts.is_enabled:
                self.step()

    def step(self) -> None:
        """Update the counts, compare the versions and report new evidence."""
        now = time.monotonic()
        for observation in list(self.open):
            self._note(observation, changed=observation.update(now))
        for service, rollout in self.rollouts.rollouts.items():
            rollout.evidence.own.base_left = self.division.base_left(service)
        self.rollouts.judge()
        if self.rollouts.is_waiting() and now >= self.next_check_at:
            self.next_check_at = now + CHECK_INTERVAL_S
            self.rollouts.check_orders()
        if self.rollouts.is_waiting() or self.rollouts.rollouts:
            self.division.refresh_if_due()
        if self.is_evidence_new:
            self.is_evidence_new = False
            self.send_evidence()

    def count_request(self, service: str) -> None:
        """Count a request that reaches a service."""
        rollout = self.rollouts.rollouts.get(service)
        if rollout is not None:
            rollout.evidence.own.requests += 1

    def begin(
        self, entry: ServerEntry, route: Route, ticket: Ticket
    ) -> Observation | None:
        """Begin to observe an attempt that is sent now; ``None`` without a rollout."""
        rollout = self.rollouts.rollouts.get(entry.service)
        if rollout is None or not self.rollouts.is_recent(entry.service):
            return None
        totals = rollout.evidence.own
        is_candidate = self.division.is_candidate(entry)
        totals.exposed += is_candidate
        if not rollout.stage.number:
            return None
        observation = Observation(
            totals,
            route.name,
            ticket,
            self._expected_s(route, entry.service, ticket),
            is_candidate=is_candidate,
        )
        observation.is_cold = is_candidate and self.division.is_cold(entry)
        self.open[observation] = None
        return observation

    def _expected_s(self, route: Route, service: str, ticket: Ticket) -> float:
        """Return the time to first byte that is expected at a base server."""
        part = EXPECTED_STREAM_PART if route.engine else EXPECTED_PLAIN_PART
        expected_s = part * route.target_s
        base = self.placer.schedulers.get(service)
        if route.engine and base is not None and base.prefill is not None:
            expected_s += ticket.uncached_tokens * base.prefill.seconds_per_token
        return max(0.001, expected_s)

    def succeeded(self, observation: Observation | None) -> None:
        """Record the complete response of an attempt."""
        if observation is not None:
            observation.finish(failed=False)
            self._end(observation)

    def failed(
        self, observation: Observation | None, error: AttemptError, crash: str
    ) -> None:
        """Record a failed attempt, once it is known why.

        Parameters
        ----------
        crash : str
            The id that the end of the server's process would have.
        """
        if observation is None or observation.ended:
            return
        is_response = error.response is not None
        is_broken = error.started and error.is_server_fault
        if is_response or (is_broken and crash not in self.crashed):
            observation.finish(failed=True)
        else:
            observation.abandon(timed_out=False)
        self._end(observation)

    def abandoned(self, observation: Observation | None, *, timed_out: bool) -> None:
        """Record an attempt that ended without an outcome."""
        if observation is not None and not observation.ended:
            observation.abandon(timed_out=timed_out)
            self._end(observation)

    def _end(self, observation: Observation) -> None:
        self.open.pop(observation, None)
        self._note(observation, changed=True)

    def _note(self, observation: Observation, *, changed: bool) -> None:
        counts = observation.totals.routes.get(observation.route)
        if changed and counts is not None and observation.side is counts.candidate:
            self.is_evidence_new = True
