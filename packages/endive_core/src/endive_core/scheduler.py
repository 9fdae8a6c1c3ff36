"""The facade of the decisions under load: one scheduler for each service and node.

It holds the state that admission, queueing, placement, shifting and retries share,
and does no I/O: the node tells it what happened and does what it answers. Time comes
in as an argument, randomness as an object, and it is used from one thread.
"""

from collections import Counter
from collections.abc import Iterable

from endive_core.admission import (
    Prediction,
    ReturnTimes,
    ServiceRate,
    WaitError,
    allowed_wait_s,
)
from endive_core.calls import Call, Dispatch, Refusal, Retry, Stage, Ticket, Tier
from endive_core.crashes import Crash, CrashTable
from endive_core.exceptions import ANSWERS, ErrorKind, RetryReason
from endive_core.messages import ServerView
from endive_core.outliers import OutlierDetector
from endive_core.placement import Placement
from endive_core.policy import Policy
from endive_core.queueing import FairQueue
from endive_core.quotas import Quota
from endive_core.resources import Deployment, Organisation, ServiceType
from endive_core.retrying import RetryBudget, retry_delay_s
from endive_core.servers import Random, ServerLoad, ServerSet
from endive_core.shifting import Shift, plan_shifts

FIRST_TOKENS_PER_SLOT_S = 50.0
FIRST_HELD_S = 4.0
"""Guesses until calls have finished: an engine's decode rate, and 200 tokens at it."""

PLAIN_CALLS_PER_SLOT_S = 20.0
PLAIN_HELD_S = 0.05
"""The same for a plain service, whose calls cost one token each."""

MOST_WITHIN_SHARE = 0.5
"""Part of the slots up to which one organisation is within its share, also when it is
alone: beyond it, it leaves the reserve free for others who may call at any moment."""

FAILURES = (RetryReason.CONNECT_FAILED, RetryReason.SERVER_FAILED)
"""Reasons after which a server gets no work for a while."""

MAX_BLAMED = 64
"""Crashes whose suspects are kept while their broken streams come in one by one."""

DEFAULT_DEPLOYMENT = Deployment(model="default", service="default")


class Scheduler:
    """Decides for one service at one node.

    Parameters
    ----------
    policy : Policy
        Limits, from the node's settings.
    random : Random
        Source of randomness, seeded by the node.
    crashes : CrashTable
        Shared by the node's schedulers, and merged with other nodes'.
    """

    def __init__(
        self,
        policy: Policy,
        random: Random,
        *,
        service_type: ServiceType = ServiceType.ENGINE,
        crashes: CrashTable | None = None,
    ) -> None:
        self.policy = policy
        self.random = random
        self.service_type = service_type
        self.servers = ServerSet(
            random,
            reserved_share=policy.reserved_share,
            divided_share=policy.divided_share,
            engine_queue_share=policy.engine_queue_share,
            giving_way=policy.giving_way,
        )
        self.placement = Placement(policy, self.servers, random)
        self.outliers = OutlierDetector(policy, self.servers)
        self.queue = FairQueue()
        self.crashes = crashes or crash_table(policy)
        self.rate = _first_rate(service_type)
        self.errors = {tier: WaitError() for tier in Tier}
        self.return_times = ReturnTimes(
            min_s=policy.min_retry_after_s, max_s=policy.max_retry_after_s
        )
        self.quotas: dict[str, Quota] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.running: dict[str, set[Ticket]] = {}
        self.held: Counter[str] = Counter()
        self.blamed: dict[str, set[Ticket]] = {}
        self.paused: list[ServerLoad] = []
        self.expired: list[Ticket] = []
        self.no_server_since: float | None = None
        self.refusals: Counter[ErrorKind] = Counter()
        self.retries: Counter[RetryReason] = Counter()

    @classmethod
    def from_policy(cls, policy: Policy, random: Random, **options) -> "Scheduler":
        """Return a scheduler with the limits in `policy`."""
        return cls(policy, random, **options)

    # What the node knows

    def set_servers(self, views: Iterable[ServerView]) -> None:
        """Take over the servers that the configuration declares."""
        if self.servers.set_servers(views):
            self.placement.set_members(list(self.servers.servers))

    def set_nodes(self, nodes: int) -> None:
        """Take over the number of live nodes, this one included."""
        self.servers.nodes = max(1, nodes)

    def set_organisations(self, organisations: dict[str, Organisation]) -> None:
        """Take over the declared organisations with their shares and limits."""
        for name, spec in organisations.items():
            self.quotas.setdefault(name, Quota(spec)).spec = spec
        for gone in self.quotas.keys() - organisations.keys():
            del self.quotas[gone]
        self.queue.shares = {name: o.share for name, o in organisations.items()}

    def set_deployments(self, deployments: dict[str, Deployment]) -> None:
        """Take over the deployments that use this service."""
        for name, spec in deployments.items():
            budget = self.budgets.get(name)
            if budget is None:
                budget = RetryBudget(spec.retry_ratio, self.policy.retry_burst)
                self.budgets[name] = budget
            budget.ratio = spec.retry_ratio
        for gone in self.budgets.keys() - deployments.keys():
            del self.budgets[gone]

    def report(
        self, server_id: str, running: int, waiting: int, *, as_of: float
    ) -> None:
        """Take over a server's load report of its state at clock time `as_of`."""
        self.servers.report(server_id, running, waiting, as_of=as_of)

    def cache_event(
        self, server_id: str, seq: int, *, stored: bool, blocks: list[int]
    ) -> None:
        """Take over one cache event of a server."""
        self.placement.prefixes.event(server_id, seq, stored=stored, blocks=blocks)

    def leaving(self, server_id: str) -> None:
        """Give a server no new work any more."""
        server = self.servers.servers.get(server_id)
        if server is not None:
            server.view.leaving = True
            self.servers.refresh(server)

    def leaving_zone(self, zone: str) -> None:
        """Give all servers of a zone under notice no new work any more."""
        for server in self.servers.servers.values():
            if server.view.zone == zone:
                self.leaving(server.id)

    # Admission and dispatch

    def offer(self, call: Call, now: float) -> Ticket | Refusal:
        """Admit `call` into the queue, or refuse it."""
        refusal = self._refusal(call, now)
        if refusal is not None:
            self.refusals[refusal.kind] += 1
            return refusal
        return self._enter(call, now)

    def take_over(self, call: Call, now: float) -> Ticket | Refusal:
        """Queue a call that was accepted already, here or at another node.

        The load this is for: a zone's nodes hand thousands of calls over within a
        second. What is accepted is answered, so they are neither refused for the
        wait that they cause nor held to a limit they have passed; only a call that
        crashes servers ends here.
        """
        if self.crashes.is_poison(call.fingerprint, now):
            self.refusals[ErrorKind.POISON_REQUEST] += 1
            return _refuse(
                ErrorKind.POISON_REQUEST, "servers crashed while running this request"
            )
        return self._enter(call, now)

    def _enter(self, call: Call, now: float) -> Ticket:
        cost = call.prompt_tokens + call.max_tokens * self.rate.answer_part
        ticket = Ticket(call, now, cost)
        ticket.suspect = self.crashes.count(call.fingerprint, now) > 0
        ticket.predicted_s = self.predict(call).wait_s
        ticket.tier = self._tier(call)
        quota = self.quotas.get(call.organisation)
        if quota is not None:
            quota.spend(call.tokens)
        self.queue.push(ticket)
        return ticket

    def _refusal(self, call: Call, now: float) -> Refusal | None:
        if self.crashes.is_poison(call.fingerprint, now):
            return _refuse(
                ErrorKind.POISON_REQUEST, "servers crashed while running this request"
            )
        if not self.servers.taking:
            return _refuse(ErrorKind.NO_SERVER, "no server takes work")
        quota = self.quotas.get(call.organisation)
        if quota is not None:
            wait = quota.wait_s(call.tokens, now, self.servers.nodes)
            if wait > 0:
                return _refuse(
                    ErrorKind.LIMIT_EXCEEDED,
                    "the organisation's limit is used up",
                    wait,
                )
        return self._overloaded(call, now)

    def _overloaded(self, call: Call, now: float) -> Refusal | None:
        prediction = self.predict(call)
        allowed = allowed_wait_s(
            call,
            prediction,
            margin=self.policy.admission_margin,
            max_bulk_wait_s=self.policy.max_bulk_wait_s,
        )
        if call.deadline is not None and now + prediction.first_token_s > call.deadline:
            return _refuse(
                ErrorKind.DEADLINE_EXCEEDED,
                "the deadline can't be met",
                max(self.policy.min_retry_after_s, prediction.wait_s),
            )
        key = (call.organisation, call.rank)
        cost_s = call.tokens * prediction.drain_s
        turn = self.return_times.may_enter(key, call.fingerprint, now)
        if prediction.long_wait_s <= allowed and (turn or not prediction.wait_s):
            if not turn:
                self.return_times.jumped(key, now, cost_s=cost_s)
            return None
        retry_after = self.return_times.give(
            key,
            call.fingerprint,
            now,
            excess_s=max(0.0, prediction.long_wait_s - allowed),
            cost_s=cost_s,
        )
        return _refuse(
            ErrorKind.OVERLOADED, "the latency target can't be met now", retry_after
        )

    def predict(self, call: Call) -> Prediction:
        """Return when the first token of `call` is expected."""
        slots = max(
            1.0, self.servers.own_total + len(self.servers.open[Tier.WITHIN_SHARE])
        )
        tokens_per_s = slots * self.rate.tokens_per_slot_s
        ahead = self.queue.tokens_ahead(call.rank, call.organisation)
        wait, allowance = ahead / tokens_per_s, 0.0
        tier = self._tier(call)
        if ahead or not self.servers.open[tier]:
            wait += self.rate.held_s / slots
            allowance = self.errors[tier].allowance_s(self.policy.wait_deviations)
        prefill = call.prompt_tokens / self._prefill_tokens_per_s()
        drain = self.rate.tokens_per_slot_s * self._slots_of(call.organisation)
        return Prediction(wait, allowance, self.rate.start_s + prefill, 1 / drain)

    def _prefill_tokens_per_s(self) -> float:
        for server in self.servers.servers.values():
            return server.view.prefill_tokens_per_s
        return 1.0

    def _slots_of(self, organisation: str) -> float:
        """Return how many of this node's slots `organisation` can count on.

        What the others leave, but at least its share.
        """
        slots = self._slots()
        held = self.servers.own_total - self.held[organisation]
        return max(1.0, slots - held, slots * self._share_now(organisation))

    def _slots(self) -> float:
        """Return this node's part of all slots."""
        part = max(self.servers.share, 1 / self.servers.nodes)
        return max(self.servers.own_total, self.servers.slots_total * part)

    def _share_now(self, organisation: str) -> float:
        """Return the organisation's share among those that hold slots now."""
        own = self.queue.share(organisation)
        others = sum(
            self.queue.share(name)
            for name, held in self.held.items()
            if held > 0 and name != organisation
        )
        return own / (own + others)

    def _tier(self, call: Call) -> Tier:
        """Return how much of the servers' slots `call` must leave free.

        Bulk leaves the most, organisations over their share of the slots some, so
        that a call of an organisation within its share finds a slot at once while a
        batch runs, and one over its share goes before bulk even of other nodes.
        """
        if call.bulk:
            return Tier.BULK
        part = min(MOST_WITHIN_SHARE, self._share_now(call.organisation))
        if self.held[call.organisation] >= max(1.0, part * self._slots()):
            return Tier.OVER_SHARE
        return Tier.WITHIN_SHARE

    def next_dispatch(self, now: float) -> Dispatch | None:
        """Return the next ticket to send and its server, or ``None`` for now.

        Call it after each offer, end and report, until it returns ``None``.
        """
        self._tick(now)
        for ticket in self.queue.heads(self.policy.queue_heads_tried):
            if ticket.call.deadline is not None and now >= ticket.call.deadline:
                self._expire(
                    ticket,
                    ErrorKind.DEADLINE_EXCEEDED,
                    "the deadline passed before a server was free",
                )
                continue
            server = self._server_for(ticket, now)
            if server is not None:
                self.queue.pop(ticket)
                self._dispatched(ticket, server, now)
                return Dispatch(ticket, server.id)
        return None

    def _server_for(self, ticket: Ticket, now: float) -> ServerLoad | None:
        tier = self._tier(ticket.call)
        if not ticket.call.non_idempotent and not ticket.suspect:
            probe = self.outliers.probe(now)
            if probe is not None and self.servers.has_room(probe, tier):
                ticket.uncached_tokens = float(ticket.call.prompt_tokens)
                return probe
        return self.placement.choose(ticket, now, tier)

    def _tick(self, now: float) -> None:
        self.outliers.compare(now)
        while self.paused and self.paused[0].view.failed_until <= now:
            server = self.paused.pop(0)
            server.paused = False
            self.servers.refresh(server)

        self._expire_without_servers(now)

    def _expire_without_servers(self, now: float) -> None:
        """Give up what is queued when no server has taken work for a while.

        Servers may be replaced within seconds of a reclaim; after that a caller is
        better told that its request was not run than left waiting.
        """
        if self.servers.taking:
            self.no_server_since = None
            return
        if self.no_server_since is None:
            self.no_server_since = now
        if now - self.no_server_since >= self.policy.no_server_wait_s:
            for ticket in self.queue.tickets():
                self._expire(ticket, ErrorKind.NO_SERVER, "no server takes work")

    def _expire(self, ticket: Ticket, kind: ErrorKind, message: str) -> None:
        self.queue.cancel(ticket)
        self._end(ticket)
        ticket.refusal = _refuse(kind, message)
        self.refusals[kind] += 1
        self.expired.append(ticket)

    def close(self) -> None:
        """Give up what is queued: the service is no longer declared."""
        for ticket in self.queue.tickets():
            self._expire(ticket, ErrorKind.NO_SERVER, "the service was deleted")

    def take_expired(self) -> list[Ticket]:
        """Return the queued tickets given up since the last call."""
        expired, self.expired = self.expired, []
        return expired

    def _dispatched(self, ticket: Ticket, server: ServerLoad, now: float) -> None:
        if not ticket.attempt:
            waited = now - ticket.accepted_at
            self.errors[ticket.tier].learn(waited - ticket.predicted_s)
        ticket.stage = Stage.DISPATCHED
        ticket.server = server.id
        ticket.attempt += 1
        ticket.dispatched_at = now
        ticket.first_token_at = None
        server.starting_tokens += ticket.uncached_tokens
        self.placement.pace(server, ticket.uncached_tokens, now)
        server.starting_suspects += ticket.suspect
        self.held[ticket.call.organisation] += 1
        self.running.setdefault(server.id, set()).add(ticket)
        self.servers.note(server, 1, now)
        if ticket.call.blocks:
            self.placement.prefixes.add(server.id, ticket.call.blocks)

    # What became of a dispatch

    def started(self, ticket: Ticket, now: float) -> None:
        """Note the first token of the attempt under way."""
        if ticket.stage is not Stage.DISPATCHED:
            return
        ticket.stage = Stage.STREAMING
        ticket.first_token_at = now
        server = self.servers.servers.get(ticket.server)
        seconds = now - ticket.dispatched_at
        prefill = ticket.uncached_tokens / self._prefill_tokens_per_s()
        self.rate.learn_start(seconds - prefill)
        if server is not None:
            self.servers.answered(server)
            self._no_longer_starting(ticket, server)
            self.outliers.observe(
                server, seconds=seconds, expected_s=self.rate.start_s + prefill
            )

    def _no_longer_starting(self, ticket: Ticket, server: ServerLoad) -> None:
        server.starting_tokens -= ticket.uncached_tokens
        server.starting_suspects -= ticket.suspect

    def finished(self, ticket: Ticket, now: float, *, tokens: int = 1) -> None:
        """Note the whole answer; `tokens` is its length."""
        ticket.tokens = tokens
        self.queue.settle(ticket, ticket.call.prompt_tokens + tokens)
        self.rate.learn(
            tokens=ticket.call.prompt_tokens + tokens,
            held_s=now - ticket.dispatched_at,
        )
        self.rate.learn_answer(tokens, ticket.call.max_tokens)
        self._budget(ticket).earn()
        self._release(ticket, now)
        self._end(ticket)

    def cancelled(self, ticket: Ticket, now: float) -> None:
        """Note that the caller hung up."""
        if ticket.stage is Stage.ENDED:
            return
        if ticket.stage is Stage.QUEUED:
            self.queue.cancel(ticket)
        else:
            self._release(ticket, now)
        self._end(ticket)

    def failed(
        self,
        ticket: Ticket,
        now: float,
        reason: RetryReason,
        *,
        started: bool,
        crashed: str = "",
        max_attempts: int = 4,
    ) -> Retry | Refusal:
        """Note a failed attempt; return whether and when it may be queued again.

        Parameters
        ----------
        started : bool
            Whether the server may have run anything of it.
        crashed : str
            If the server crashed: its name with the number of its incarnation.
        """
        server = self.servers.servers.get(ticket.server)
        if crashed and self._is_blamed(ticket, crashed):
            self.crashes.add(Crash(ticket.call.fingerprint, crashed, now))
            ticket.suspect = True
        if reason is not RetryReason.SERVER_BUSY:
            ticket.avoid.add(ticket.server)
        self._release(ticket, now)
        if server is not None:
            self._blame(server, reason, now)
        refusal = self._no_retry(ticket, now, reason, started, max_attempts)
        if refusal is not None:
            self.refusals[refusal.kind] += 1
            self._end(ticket)
            return refusal
        self.retries[reason] += 1
        return Retry(retry_delay_s(ticket.attempt, self.policy, self.random))

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

    def _blame(self, server: ServerLoad, reason: RetryReason, now: float) -> None:
        if reason is RetryReason.SERVER_BUSY:
            self.servers.busy(server)
        elif reason in FAILURES and self.servers.pause(server):
            pause = self.policy.failed_pause_s * 2 ** min(server.failures - 1, 16)
            pause = min(pause, self.policy.max_failed_pause_s)
            server.view.failed_until = now + pause
            self.paused.append(server)
            self.paused.sort(key=lambda paused: paused.view.failed_until)

    def _no_retry(
        self,
        ticket: Ticket,
        now: float,
        reason: RetryReason,
        started: bool,
        max_attempts: int,
    ) -> Refusal | None:
        call = ticket.call
        if self.crashes.is_poison(call.fingerprint, now):
            return _refuse(
                ErrorKind.POISON_REQUEST, "servers crashed while running this request"
            )
        if call.non_idempotent and started:
            return _refuse(
                ErrorKind.OUTCOME_UNKNOWN,
                "the server may have run the request; it is not sent again",
            )
        if ticket.attempt >= max_attempts or self.servers.all_tried(ticket.avoid):
            kind = ErrorKind.BACKEND_FAILED if started else ErrorKind.NO_SERVER
            return _refuse(kind, "all attempts failed")
        # The budget is for work that is repeated. What was never started cost next to
        # nothing, and a zone's dead servers would use it up for streams they broke.
        if started and not self._budget(ticket).spend(in_flight=self.servers.own_total):
            return _refuse(
                ErrorKind.RETRY_BUDGET_SPENT, "too many calls are being sent again"
            )
        return None

    def requeue(self, ticket: Ticket) -> None:
        """Queue a failed or moving ticket again, before its organisation's others."""
        ticket.stage = Stage.QUEUED
        self.queue.push(ticket, front=True)

    def shifts(self, server_id: str, *, seconds_left: float) -> list[Shift]:
        """Return how this node's streams leave a server under notice.

        The node stops each at the source, then calls :meth:`moved`.
        """
        server = self.servers.servers[server_id]
        return plan_shifts(
            self.running.get(server_id, ()),
            seconds_left=seconds_left,
            decode_tokens_per_s=server.view.decode_tokens_per_s,
            export_tokens_per_s=self.policy.export_tokens_per_s,
            margin_s=self.policy.notice_margin_s,
        )

    def moved(self, ticket: Ticket, now: float, *, tokens: int) -> None:
        """Queue a stream that was stopped at its source with `tokens` made so far."""
        ticket.tokens = tokens
        ticket.avoid.add(ticket.server)
        self._release(ticket, now)
        self.retries[RetryReason.SERVER_LEAVING] += 1
        self.requeue(ticket)

    def _release(self, ticket: Ticket, now: float) -> None:
        if not ticket.server:  # released already: cancelled while waiting to retry
            return
        self.held[ticket.call.organisation] -= 1
        self.running.get(ticket.server, set()).discard(ticket)
        server = self.servers.servers.get(ticket.server)
        if server is not None:
            if ticket.stage is Stage.DISPATCHED:
                self._no_longer_starting(ticket, server)
            self.servers.note(server, -1, now)
        ticket.server = ""

    def _end(self, ticket: Ticket) -> None:
        ticket.stage = Stage.ENDED
        quota = self.quotas.get(ticket.call.organisation)
        if quota is not None:
            quota.in_flight -= 1

    def _budget(self, ticket: Ticket) -> RetryBudget:
        name = ticket.call.deployment
        if name not in self.budgets:
            self.budgets[name] = RetryBudget(
                DEFAULT_DEPLOYMENT.retry_ratio, self.policy.retry_burst
            )
        return self.budgets[name]


def crash_table(policy: Policy) -> CrashTable:
    """Return an empty table with the limits in `policy`."""
    return CrashTable(
        refused_from=policy.crashes_refused_from,
        memory_s=policy.crash_memory_s,
        max_fingerprints=policy.max_crash_fingerprints,
    )


def _first_rate(service_type: ServiceType) -> ServiceRate:
    if service_type is ServiceType.PLAIN:
        return ServiceRate(PLAIN_CALLS_PER_SLOT_S, PLAIN_HELD_S)
    return ServiceRate(FIRST_TOKENS_PER_SLOT_S, FIRST_HELD_S)


def _refuse(
    kind: ErrorKind, message: str, retry_after_s: float | None = None
) -> Refusal:
    if retry_after_s is None:
        retry_after_s = ANSWERS[kind].retry_after_s
    return Refusal(kind, retry_after_s, message)
