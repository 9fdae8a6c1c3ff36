"""Handles failed attempts: server pauses, crash attribution, retries and refusals."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from endive_core.calls import Refusal, Retry, Stage, Ticket
from endive_core.crashes import Crash, CrashTable
from endive_core.exceptions import ErrorKind, RetryReason
from endive_core.hashing import short_hash
from endive_core.part_reports import PartCrash
from endive_core.part_trials import PartTrials, Standing
from endive_core.policy import Policy
from endive_core.resting import Resting
from endive_core.retrying import DEFAULT_RETRY_RATIO, RetryBudget, retry_delay_s
from endive_core.servers import Random, ServerLoad, ServerSet

if TYPE_CHECKING:
    from endive_core.resources import Deployment

PAUSE_REASONS = (RetryReason.CONNECT_FAILED, RetryReason.SERVER_FAILED)
"""Reasons for which a server is paused."""

MAX_TRACKED_CRASHES = 64
"""Number of crashes whose possible causes are kept, since the broken streams of a crash
are reported one by one."""


@dataclass(frozen=True, slots=True)
class ReportedCrash:
    """The tickets that may have caused a crash, as it was first reported."""

    at: float
    suspects: set[Ticket]


class FailureHandler:
    """Decides after each failed attempt what becomes of the server and the request.

    A single server, a zone, or every server may fail. The server may be paused, its
    crash may be attributed to the request, and the request is either retried, which the
    caller does not notice, or refused with an error kind.

    Attributes
    ----------
    running : dict of str to set of Ticket
        Tickets dispatched to each server.
    reported_crashes : dict of str to ReportedCrash
        The recent crashes, by server with its incarnation.
    paused : list of ServerLoad
        Paused servers, the first to be resumed first.
    goes_elsewhere : bool
        Whether a retry may go to servers of another scheduler.
    """

    def __init__(
        self,
        policy: Policy,
        servers: ServerSet,
        crashes: CrashTable,
        random: Random,
        resting: Resting,
        trials: PartTrials,
    ) -> None:
        self.resting = resting
        self.trials = trials
        self.policy = policy
        self.servers = servers
        self.crashes = crashes
        self.random = random
        self.budgets: dict[str, RetryBudget] = {}
        self.running: dict[str, set[Ticket]] = {}
        self.reported_crashes: dict[str, ReportedCrash] = {}
        self.paused: list[ServerLoad] = []
        self.goes_elsewhere = False

    def set_deployments(self, deployments: dict[str, "Deployment"]) -> None:
        """Apply the deployments with their retry ratios."""
        for name, spec in deployments.items():
            self.budget(name).ratio = spec.retry_ratio
        for gone in self.budgets.keys() - deployments.keys():
            del self.budgets[gone]

    def budget(self, deployment: str) -> RetryBudget:
        """Return the retry budget of `deployment`."""
        if deployment not in self.budgets:
            self.budgets[deployment] = RetryBudget(
                DEFAULT_RETRY_RATIO, self.policy.retry_burst
            )
        return self.budgets[deployment]

    def attribute_crash(
        self, ticket: Ticket, crashed: str, now: float, *, ended_at: float | None = None
    ) -> None:
        """Count a server's crash against `ticket` if it may have caused the crash.

        Parameters
        ----------
        crashed : str
            Server with the number of its incarnation; empty if it did not crash.
        ended_at : float or None
            When its connection broke, clock time in seconds; ``None`` for now.
        """
        if not (crashed and self._may_have_caused(ticket, crashed, now)):
            return
        self.crashes.add(Crash(ticket.call.fingerprint, crashed, now))
        ticket.suspect = True
        if ticket.stage is Stage.DISPATCHED:
            ticket.crashed = True
            self.trials.table.report(
                PartCrash(
                    crashed,
                    short_hash(ticket.call.fingerprint),
                    ticket.call.shared_parts,
                    ticket.dispatched_at,
                    now if ended_at is None else ended_at,
                )
            )

    def _may_have_caused(self, ticket: Ticket, crashed: str, now: float) -> bool:
        """Return whether `ticket` may have caused the crash that ended it.

        A crash ends all requests on the server, but those without a first token are the
        likeliest cause; streams are suspected only if there were none. A server under a
        reclaim notice was reclaimed and did not crash. If every stream were suspected,
        requests that crashed nothing would be refused after the second reclaimed zone.
        A request that was sent after the report shows that the server still ran.
        """
        reported = self.reported_crashes.get(crashed)
        if reported is None or ticket.dispatched_at > reported.at:
            running = self.running.get(ticket.server, set())
            starting = {t for t in running if t.stage is Stage.DISPATCHED}
            server = self.servers.servers.get(ticket.server)
            leaving = server is not None and server.view.leaving
            suspects = set() if leaving else starting or set(running)
            reported = self.reported_crashes[crashed] = ReportedCrash(now, suspects)
            if len(self.reported_crashes) > MAX_TRACKED_CRASHES:
                del self.reported_crashes[next(iter(self.reported_crashes))]
        return ticket in reported.suspects

    def penalise_server(
        self, server: ServerLoad, reason: RetryReason, now: float
    ) -> None:
        """Pause a server that failed, or leave one alone that was busy."""
        if reason is RetryReason.SERVER_BUSY:
            self._refused(server, now)
        elif reason in PAUSE_REASONS and self.servers.pause(server):
            pause = self.policy.failed_pause_s * 2 ** min(server.failures - 1, 16)
            pause = min(pause, self.policy.max_failed_pause_s)
            server.view.failed_until = now + pause
            self.paused.append(server)
            self.paused.sort(key=lambda paused: paused.view.failed_until)

    def _refused(self, server: ServerLoad, now: float) -> None:
        pause_s = self.policy.refused_pause_s
        if pause_s:
            max_pause_s = self.policy.max_refused_pause_s
            self.resting.refused(server, now, pause_s=pause_s, max_pause_s=max_pause_s)
        else:
            self.servers.mark_full(server, now)

    def resume_paused(self, now: float) -> None:
        """Resume servers whose pause is over."""
        while self.paused and self.paused[0].view.failed_until <= now:
            server = self.paused.pop(0)
            server.paused = False
            self.servers.refresh(server)

    def decide_retry(
        self,
        ticket: Ticket,
        now: float,
        *,
        started: bool,
        max_attempts: int,
    ) -> Retry | Refusal:
        """Return the delay after which `ticket` is retried, or why it is refused.

        Parameters
        ----------
        started : bool
            Whether the server may have run any of the request.
        """
        refusal = self._retry_refusal(ticket, now, started, max_attempts)
        if refusal is not None:
            return refusal
        return Retry(retry_delay_s(ticket.attempt, self.policy, self.random))

    def _retry_refusal(
        self,
        ticket: Ticket,
        now: float,
        started: bool,
        max_attempts: int,
    ) -> Refusal | None:
        call = ticket.call
        if self.crashes.is_poison(call.fingerprint, now):
            return Refusal.from_kind(
                ErrorKind.POISON_REQUEST, "servers crashed while running this request"
            )
        if self.trials.judge(call.shared_parts, now).standing is Standing.REFUSED:
            return self.trials.refusal(self.policy)
        if call.non_idempotent and started:
            return Refusal.from_kind(
                ErrorKind.OUTCOME_UNKNOWN,
                "the server may have run the request; it is not sent again",
            )
        no_server = self.servers.all_tried(ticket.avoid) and not self.goes_elsewhere
        if ticket.attempt >= max_attempts or no_server:
            kind = ErrorKind.BACKEND_FAILED if started else ErrorKind.NO_SERVER
            return Refusal.from_kind(kind, "all attempts failed")
        # The budget limits repeated work; an attempt that was not started costs little.
        # If it counted, the streams broken by a zone's dead servers would spend the
        # budget on attempts that only fail to connect.
        if started and not self.budget(call.deployment).spend(
            in_flight=self.servers.own_in_flight
        ):
            return Refusal.from_kind(
                ErrorKind.RETRY_BUDGET_SPENT,
                "retry budget spent: too many calls are retried",
            )
        return None
