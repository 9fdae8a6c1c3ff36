"""What a failed attempt means: for its server, for the request, and for a retry."""

from typing import TYPE_CHECKING

from endive_core.calls import Refusal, Retry, Stage, Ticket
from endive_core.crashes import Crash, CrashTable
from endive_core.exceptions import ErrorKind, RetryReason
from endive_core.policy import Policy
from endive_core.retrying import DEFAULT_RETRY_RATIO, RetryBudget, retry_delay_s
from endive_core.servers import Random, ServerLoad, ServerSet

if TYPE_CHECKING:
    from endive_core.resources import Deployment

FAILURES = (RetryReason.CONNECT_FAILED, RetryReason.SERVER_FAILED)
"""Reasons after which a server gets no work for a while."""

MAX_BLAMED = 64
"""Crashes whose suspects are kept while their broken streams come in one by one."""


class FailureHandler:
    """Decides after each failed attempt: pause the server, blame, retry or refuse.

    The load this is for: a server, a zone, or every server fails. Callers meet it as
    a retry that they don't notice, or as one of the kinds of refusal.
    """

    def __init__(
        self, policy: Policy, servers: ServerSet, crashes: CrashTable, random: Random
    ) -> None:
        self.policy = policy
        self.servers = servers
        self.crashes = crashes
        self.random = random
        self.budgets: dict[str, RetryBudget] = {}
        self.running: dict[str, set[Ticket]] = {}
        self.blamed: dict[str, set[Ticket]] = {}
        self.paused: list[ServerLoad] = []

    def set_deployments(self, deployments: dict[str, "Deployment"]) -> None:
        """Take over the deployments with their retry ratios."""
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

    def attribute_crash(self, ticket: Ticket, crashed: str, now: float) -> None:
        """Count a server's crash against `ticket` if it may have caused it."""
        if crashed and self._is_blamed(ticket, crashed):
            self.crashes.add(Crash(ticket.call.fingerprint, crashed, now))
            ticket.suspect = True

    def _is_blamed(self, ticket: Ticket, crashed: str) -> bool:
        """Return whether `ticket` may have caused the crash that ended it.

        All that ran on the server broke, but what was starting is the likeliest
        cause; streams are blamed only if nothing was. A server under notice was
        reclaimed, and no request is to blame. Blaming every stream would refuse
        innocent ones after the second reclaimed zone.
        """
        if crashed not in self.blamed:
            running = self.running.get(ticket.server, set())
            starting = {t for t in running if t.stage is Stage.DISPATCHED}
            server = self.servers.servers.get(ticket.server)
            leaving = server is not None and server.view.leaving
            self.blamed[crashed] = set() if leaving else starting or set(running)
            if len(self.blamed) > MAX_BLAMED:
                del self.blamed[next(iter(self.blamed))]
        return ticket in self.blamed[crashed]

    def penalise_server(
        self, server: ServerLoad, reason: RetryReason, now: float
    ) -> None:
        """Give a server that failed no work for a while."""
        if reason is RetryReason.SERVER_BUSY:
            self.servers.busy(server)
        elif reason in FAILURES and self.servers.pause(server):
            pause = self.policy.failed_pause_s * 2 ** min(server.failures - 1, 16)
            pause = min(pause, self.policy.max_failed_pause_s)
            server.view.failed_until = now + pause
            self.paused.append(server)
            self.paused.sort(key=lambda paused: paused.view.failed_until)

    def resume_paused(self, now: float) -> None:
        """Give paused servers work again whose time is over."""
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
        """Return whether and when `ticket` may be queued again."""
        refusal = self._no_retry(ticket, now, started, max_attempts)
        if refusal is not None:
            return refusal
        return Retry(retry_delay_s(ticket.attempt, self.policy, self.random))

    def _no_retry(
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
        if call.non_idempotent and started:
            return Refusal.from_kind(
                ErrorKind.OUTCOME_UNKNOWN,
                "the server may have run the request; it is not sent again",
            )
        if ticket.attempt >= max_attempts or self.servers.all_tried(ticket.avoid):
            kind = ErrorKind.BACKEND_FAILED if started else ErrorKind.NO_SERVER
            return Refusal.from_kind(kind, "all attempts failed")
        # The budget is for work that is repeated. What was never started cost next to
        # nothing, and a zone's dead servers would use it up for streams they broke.
        if started and not self.budget(call.deployment).spend(
            in_flight=self.servers.own_in_flight
        ):
            return Refusal.from_kind(
                ErrorKind.RETRY_BUDGET_SPENT, "too many calls are being sent again"
            )
        return None
