"""Facade of admission, queueing, placement and retries: one scheduler per service.

Each node has one scheduler for each service. It holds the state that admission,
queueing, placement, stream moves and retries share, and does no I/O: the node reports
events to it and carries out its decisions. Time is an argument, randomness an object.
It is not thread-safe.
"""

from collections import Counter
from collections.abc import Iterable
from copy import deepcopy
from typing import TYPE_CHECKING

from endive_core.admission import Admission
from endive_core.calls import Call, Dispatch, Refusal, Retry, Stage, Ticket
from endive_core.contention import Contention
from endive_core.crashes import CrashTable, Success
from endive_core.exceptions import ErrorKind, RetryReason
from endive_core.expiry import Expiry
from endive_core.failures import FailureHandler
from endive_core.first_tokens import FirstTokenLearner
from endive_core.messages import ServerView
from endive_core.outliers import OutlierDetector
from endive_core.part_crashes import PartTable
from endive_core.part_trials import Judgement, PartTrials, Standing
from endive_core.placement import Placement
from endive_core.policy import Policy
from endive_core.prefilling import PrefillRate
from endive_core.prompt_order import PromptOrder
from endive_core.queueing import FairQueue
from endive_core.resting import Resting
from endive_core.servers import Random, ServerLoad, ServerSet
from endive_core.service_types import ServiceType
from endive_core.slot_usage import SlotUsage
from endive_core.stream_moves import StreamMove, plan_moves
from endive_core.throttling import Throttling

if TYPE_CHECKING:
    from endive_core.resources import Deployment, Organisation


NO_SERVER_FAULT = (
    RetryReason.SERVER_LEAVING,
    RetryReason.PATH_FAILED,
    RetryReason.FETCH_FAILED,
    RetryReason.ORIGIN_UNRECORDED,
    RetryReason.VERSION_MISMATCH,
)
"""Reasons that say nothing against a server although it may have run the call."""

NO_REASON_TO_AVOID = (
    RetryReason.SERVER_BUSY,
    RetryReason.SERVER_RESTING,
    RetryReason.SLOT_DECLINED,
    RetryReason.PART_SUSPECTED,
    RetryReason.PATH_FAILED,
)
"""Reasons for which the next attempt may go to the same server."""


class Scheduler:
    """Schedules the calls of one service at one node.

    Parameters
    ----------
    policy : Policy
        Limits and weights from the node's settings.
    random : Random
        Source of randomness, seeded by the node.
    crashes : CrashTable
        Shared by the node's schedulers, and merged with other nodes'.
    prefill : PrefillRate or None
        Learns the servers' prefill rate if operators don't declare it.
    trials : PartTrials or None
        Decides on requests whose parts may crash servers, of all services.
    """

    def __init__(
        self,
        policy: Policy,
        random: Random,
        *,
        service_type: ServiceType = ServiceType.ENGINE,
        crashes: CrashTable | None = None,
        prefill: PrefillRate | None = None,
        trials: PartTrials | None = None,
    ) -> None:
        self.prefill = prefill
        self.trials = trials or PartTrials(PartTable(policy.crash_memory_s))
        self.policy = policy
        self.random = random
        self.service_type = service_type
        self.servers = ServerSet(
            random,
            reserved_share=policy.reserved_share,
            divided_share=policy.divided_share,
            giving_way=policy.giving_way,
        )
        self.throttling = Throttling(self.servers)
        self.resting = Resting(self.servers)
        self.contention = Contention(policy, self.servers)
        self.order = PromptOrder(policy, self.contention)
        self.placement = Placement(policy, self.servers, random, self.order)
        self.outliers = OutlierDetector(policy, self.servers)
        self.queue = FairQueue()
        self.crashes = crashes or CrashTable.from_policy(policy)
        self.usage = SlotUsage(self.servers, self.queue)
        self.admission = Admission(
            policy,
            self.servers,
            self.queue,
            self.usage,
            self.crashes,
            service_type,
            self.throttling,
            self.resting,
            self.trials,
            self.contention,
        )
        self.first_tokens = FirstTokenLearner(
            self.servers, self.admission.rate, self.outliers, prefill
        )
        self.failures = FailureHandler(
            policy, self.servers, self.crashes, random, self.resting, self.trials
        )
        self.running = self.failures.running
        self.refusals: Counter[ErrorKind] = Counter()
        self.expiry = Expiry(
            policy,
            self.servers,
            self.queue,
            self.admission,
            self.refusals,
            self.throttling,
            self.resting,
        )
        self.retries: Counter[RetryReason] = Counter()

    @classmethod
    def from_policy(cls, policy: Policy, random: Random, **options) -> "Scheduler":
        """Return a scheduler with the limits in `policy`; see the class."""
        return cls(policy, random, **options)

    # State reported by the node

    def set_servers(self, views: Iterable[ServerView]) -> None:
        """Apply the servers that the configuration declares."""
        if self.servers.set_servers(views):
            self.placement.set_members(list(self.servers.servers))

    def forget_server(self, server_id: str) -> None:
        """Forget a server that has started again under the same id.

        Its load, latencies, failures and cached prompts are those of a process that is
        gone. It is known again from the next :meth:`set_servers` on.
        """
        self.servers.remove(server_id)
        self.placement.prefixes.drop_server(server_id)

    def set_nodes(self, nodes: int) -> None:
        """Set the number of live nodes, this one included."""
        self.servers.nodes = max(1, nodes)

    def set_organisations(self, organisations: dict[str, "Organisation"]) -> None:
        """Apply the declared organisations with their shares and limits."""
        self.admission.set_organisations(organisations)
        self.queue.shares = {name: o.share for name, o in organisations.items()}
        self.contention.weights = self.queue.shares

    def set_deployments(self, deployments: dict[str, "Deployment"]) -> None:
        """Apply the deployments that use this service."""
        self.failures.set_deployments(deployments)

    def report(
        self, server_id: str, running: int, waiting: int, *, as_of: float
    ) -> None:
        """Apply a server's load report of its state at clock time `as_of`, seconds."""
        self.servers.report(server_id, running, waiting, as_of=as_of)

    def state_speed(
        self,
        server_id: str,
        incarnation: int,
        slowdown: float,
        *,
        at: float,
        is_told: bool = False,
    ) -> bool:
        """Apply a server's statement of its speed; return whether it is new."""
        speeds = self.servers.speeds
        return speeds.state(server_id, incarnation, slowdown, at, is_told=is_told)

    def cache_event(
        self, server_id: str, seq: int, *, stored: bool, blocks: list[int]
    ) -> None:
        """Apply one cache event of a server."""
        self.placement.prefixes.apply_event(
            server_id, seq, stored=stored, blocks=blocks
        )

    def leaving(self, server_id: str) -> None:
        """Mark a server as leaving, so that it gets no new calls."""
        server = self.servers.servers.get(server_id)
        if server is not None:
            server.view.leaving = True
            self.servers.refresh(server)

    def pause(self, server_id: str, now: float) -> None:
        """Pause a server that does not answer; unless it is paused, or the last one."""
        server = self.servers.servers.get(server_id)
        if server is not None and not server.paused:
            self.failures.penalise_server(server, RetryReason.CONNECT_FAILED, now)

    def leaving_zone(self, zone: str) -> None:
        """Mark all servers of a zone under reclaim notice as leaving."""
        for server in self.servers.servers.values():
            if server.view.zone == zone:
                self.leaving(server.id)

    # Admission and dispatch

    def offer(
        self, call: Call, now: float, *, pooled: bool = False
    ) -> Ticket | Refusal:
        """Admit `call` into the queue, or refuse it.

        Parameters
        ----------
        pooled : bool
            Whether the call gets its server by :meth:`assign` and is not queued.
        """
        # A node that refuses all calls dispatches none, and has no other occasion.
        self._update_servers(now)
        refusal = self.admission.refusal(call, now, pooled=pooled)
        if refusal is not None:
            self.refusals[refusal.kind] += 1
            return refusal
        if not pooled:
            return self._enter(call, now)
        ticket = self.admission.enter(call, now)
        ticket.pooled = True
        return ticket

    def assign(self, ticket: Ticket, server_id: str, now: float) -> bool:
        """Dispatch a pooled ticket to a server; return whether it may go there."""
        server = self.servers.servers.get(server_id)
        if server is None or server.view.leaving:
            return False
        self._dispatched(ticket, server, now)
        return True

    def leave_pool(self, ticket: Ticket) -> None:
        """Queue a pooled ticket here after all."""
        ticket.pooled = False
        self.queue.push(ticket, front=True)

    def take_over(self, call: Call, now: float) -> Ticket | Refusal:
        """Queue a call that was accepted already, here or at another node.

        The nodes of a zone may hand over thousands of calls within a second. An
        accepted call must be answered, so it is neither refused for a long wait nor
        checked against a limit it has passed before. Only a call that crashes servers
        is refused.
        """
        if self.crashes.is_poison(call.fingerprint, now):
            self.refusals[ErrorKind.POISON_REQUEST] += 1
            return Refusal.from_kind(
                ErrorKind.POISON_REQUEST, "servers crashed while running this request"
            )
        return self._enter(call, now)

    def _enter(self, call: Call, now: float) -> Ticket:
        ticket = self.admission.enter(call, now)
        self.queue.push(ticket)
        return ticket

    def next_dispatch(self, now: float) -> Dispatch | None:
        """Return the next ticket to send and its server, or ``None`` if there is none.

        To be called after each offer, end and report, until it returns ``None``.
        """
        self._tick(now)
        while True:
            queued = len(self.queue.held)
            dispatch = self._next_of_heads(now)
            if dispatch is not None or len(self.queue.held) <= queued:
                return dispatch

    def _next_of_heads(self, now: float) -> Dispatch | None:
        """Return the next ticket to send, if it is among the heads of the queue."""
        for ticket in self.queue.heads(self.policy.queue_heads_tried):
            if ticket.call.deadline is not None and now >= ticket.call.deadline:
                self.expiry.expire_past_deadline(ticket)
                continue
            if self.crashes.is_poison(ticket.call.fingerprint, now):
                self.expiry.expire_poison(ticket)
                continue
            judgement = self._judge(ticket, now)
            if judgement.standing is Standing.REFUSED:
                self.expiry.expire_crashing_part(ticket)
                continue
            if judgement.standing is Standing.WAITING:
                self._hold(ticket, now)
                continue
            ticket.tried_parts = judgement.parts
            ticket.suspect |= bool(judgement.parts)
            server = self._server_for(ticket, now)
            if server is not None:
                server = self._server_in_time(ticket, server, now)
            if server is not None:
                self.queue.pop(ticket)
                self._dispatched(ticket, server, now)
                return Dispatch(ticket, server.id)
        return None

    def _judge(self, ticket: Ticket, now: float) -> Judgement:
        """Return what the suspected parts of a ticket's prompt let become of it."""
        waited_s = 0.0 if ticket.held_at is None else now - ticket.held_at
        return self.trials.judge(
            ticket.call.shared_parts, now, crashed=ticket.crashed, waited_s=waited_s
        )

    def _hold(self, ticket: Ticket, now: float) -> None:
        """Let a ticket wait for the trials of others, and hold up nothing behind it."""
        if ticket.held_at is None:
            ticket.held_at = now
            self.trials.count_waiting()
        if ticket.version is None:
            self.queue.hold(ticket)

    def _server_in_time(
        self, ticket: Ticket, server: ServerLoad, now: float
    ) -> ServerLoad | None:
        """Return `server`, or an earlier one if it would be late.

        If all would begin after the call's deadline, the call expires and the result
        is ``None``.
        """
        prediction = self.placement.predict_start(ticket, server, now)
        if prediction.late_s:
            tier = self.usage.tier(ticket.call)
            server = self.placement.earliest_server(ticket, now, tier) or server
            prediction = self.placement.predict_start(ticket, server, now)
        if prediction.late_s:
            self.expiry.expire_late(ticket, prediction.late_s)
            return None
        ticket.yields = prediction.yields
        return server

    def _server_for(self, ticket: Ticket, now: float) -> ServerLoad | None:
        tier = self.usage.tier(ticket.call)
        ticket.fetch = None
        silent = self.throttling.silent_server(now, tier)
        if silent is not None and self.placement.allows(ticket, silent, tier):
            ticket.uncached_tokens = float(ticket.call.prompt_tokens)
            return silent
        may_probe = not (ticket.call.non_idempotent or ticket.suspect)
        if may_probe and ticket.version is None:
            probe = self.outliers.probe(now)
            if probe is not None and self.servers.has_room(probe, tier):
                ticket.uncached_tokens = float(ticket.call.prompt_tokens)
                return probe
        return self.placement.choose(ticket, now, tier)

    def _update_servers(self, now: float) -> None:
        """Apply what time alone changes of which servers get work."""
        self.servers.expire_reports(now, self.admission.rate.held_s)
        self.update_speeds(now)
        self.outliers.update_outliers(now)
        self.failures.resume_paused(now)
        self.throttling.update(now)
        self.resting.update(now)

    def _tick(self, now: float) -> None:
        self._update_servers(now)
        self.first_tokens.update_prefill_rates(now)
        self.expiry.expire_without_servers(now)
        self.expiry.expire_without_version()
        self.expiry.expire_throttled(now)
        self.expiry.expire_resting(now)

    def update_speeds(self, now: float) -> None:
        """Let the servers' stated slowdowns age."""
        speeds = self.servers.speeds
        is_used = speeds.statements and self.service_type is ServiceType.PLAIN
        speeds.work_s = self.admission.rate.held_s if is_used else 0.0
        speeds.update(self.servers.servers, now)

    def take_estimates(self, other: "Scheduler") -> None:
        """Start from another scheduler's estimates of rates and times.

        The servers of a new version are taken to be as fast as the others at first.
        """
        vars(self.admission.rate).update(deepcopy(vars(other.admission.rate)))
        if self.prefill is not None and other.prefill is not None:
            vars(self.prefill).update(deepcopy(vars(other.prefill)))

    def close(self) -> None:
        """Expire all queued calls, since the service is no longer declared."""
        self.expiry.expire_all("the service was deleted")

    def take_expired(self) -> list[Ticket]:
        """Return the queued tickets expired since the last call."""
        return self.expiry.take()

    def _dispatched(self, ticket: Ticket, server: ServerLoad, now: float) -> None:
        if not (ticket.attempt or ticket.waited_for_rest):
            self.admission.waited(ticket, now - ticket.accepted_at)
        ticket.stage = Stage.DISPATCHED
        ticket.server = server.id
        ticket.server_load = server
        ticket.attempt += 1
        ticket.dispatched_at = now
        ticket.first_token_at = None
        if self.placement.fetching is not None:
            wait_s = self.placement.wait_s(
                ticket.call, server, now, ticket.uncached_tokens
            )
            self.placement.fetching.dispatched(ticket, server, wait_s, now)
        self.servers.adjust_prefill_backlog(
            server, 1, ticket.uncached_tokens, yields=ticket.yields
        )
        self.contention.dispatched(ticket)
        prefill_s = ticket.uncached_tokens / server.view.prefill_tokens_per_s
        self.order.dispatched(ticket, prefill_s, now)
        self.placement.pace(server, ticket.uncached_tokens, now)
        server.starting_suspects += ticket.suspect
        ticket.held_at = None
        self.trials.begin(ticket.tried_parts)
        self.usage.acquire(ticket.call.organisation)
        self.running.setdefault(server.id, set()).add(ticket)
        self.servers.adjust_in_flight(server, 1, now)
        self.throttling.sent(server.id, now)
        if ticket.call.blocks:
            self.placement.prefixes.add(server.id, ticket.call.blocks)

    # Outcome of an attempt

    def started(self, ticket: Ticket, now: float) -> None:
        """Record the first token of the current attempt."""
        if ticket.stage is not Stage.DISPATCHED:
            return
        ticket.stage = Stage.STREAMING
        ticket.first_token_at = now
        self._end_trial(ticket)
        self.contention.started(ticket, now)
        self.order.ended(ticket)
        self.trials.table.add_answers(ticket.call.shared_parts, now)
        if self.placement.fetching is not None:
            self.placement.fetching.started(ticket, now)
        server = self._server_load_of(ticket)
        if server is not None:
            self.servers.record_success(server)
            self.resting.answered(server)
            self._prefill_ended(ticket, server)
        self.first_tokens.learn(
            ticket,
            server,
            now - ticket.dispatched_at,
            now,
            tokens_per_s=self.admission.prefill_tokens_per_s(),
            group=self._wait_group(ticket),
        )

    def _wait_group(self, ticket: Ticket) -> int:
        """Return a number that tickets share whose prompts wait equally long."""
        if self.order.active:
            return ticket.order
        return self.contention.rank(-ticket.call.level)

    def _end_trial(self, ticket: Ticket) -> None:
        self.trials.end(ticket.tried_parts)
        ticket.tried_parts = ()

    def _prefill_ended(self, ticket: Ticket, server: ServerLoad) -> None:
        self.servers.adjust_prefill_backlog(
            server, -1, ticket.uncached_tokens, yields=ticket.yields
        )
        server.starting_suspects -= ticket.suspect

    def finished(self, ticket: Ticket, now: float, *, tokens: int = 1) -> None:
        """Record the complete answer; `tokens` is its length."""
        ticket.tokens = tokens
        self.crashes.add_success(Success(ticket.call.fingerprint, now))
        self.queue.settle(ticket, ticket.call.prompt_tokens + tokens)
        self.admission.answered(ticket, now)
        self.failures.budget(ticket.call.deployment).earn()
        self._release(ticket, now)
        self.admission.end(ticket)

    def cancelled(self, ticket: Ticket, now: float) -> None:
        """Record that the caller disconnected."""
        if ticket.stage is Stage.ENDED:
            return
        if ticket.stage is not Stage.QUEUED:
            self._release(ticket, now)
        elif not ticket.pooled:
            self.queue.cancel(ticket)
        self.admission.end(ticket)

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
        """Record a failed attempt and decide whether and when it is retried.

        Parameters
        ----------
        started : bool
            Whether the server may have executed any part of it.
        crashed : str
            If the server crashed, its name with the number of its incarnation.

        Returns
        -------
        Retry or Refusal
            The delay before the ticket may be queued again, or why it may not be.
        """
        server = self._server_load_of(ticket)
        self.failures.attribute_crash(ticket, crashed, now)
        if reason not in NO_REASON_TO_AVOID:
            ticket.avoid.add(ticket.server)
            self._allow_last_servers(ticket)
        if ticket.fetch is not None:
            ticket.may_fetch = False
            if ticket.stage is Stage.DISPATCHED:
                may_blame = started and reason is not RetryReason.PATH_FAILED
                self.placement.fetching.ended(ticket, now, failed=may_blame)
        self._release(ticket, now)
        self._count_server_failure(server, now, reason, started=started)
        decision = self.failures.decide_retry(
            ticket, now, started=started, max_attempts=max_attempts
        )
        if isinstance(decision, Refusal):
            self.refusals[decision.kind] += 1
            self.admission.end(ticket)
        else:
            self.retries[reason] += 1
        return decision

    def _allow_last_servers(self, ticket: Ticket) -> None:
        """Let a stream go back to servers that failed it if no other has its version.

        The server may have lost the connection only.
        """
        servers = self.servers.versions.get(ticket.version, ())
        ids = {server.id for server in servers}
        if ids <= ticket.avoid:
            ticket.avoid -= ids

    def count_failure(
        self, ticket: Ticket, now: float, reason: RetryReason, *, started: bool
    ) -> None:
        """Count a failed attempt against its server although it is not retried.

        Most requests must not be sent twice. If their failures did not count, a failing
        server would look as good as the others, or better, since it is idle sooner.
        """
        self._count_server_failure(
            self._server_load_of(ticket), now, reason, started=started
        )

    def _count_server_failure(
        self,
        server: ServerLoad | None,
        now: float,
        reason: RetryReason,
        *,
        started: bool,
    ) -> None:
        if server is None:
            return
        self.failures.penalise_server(server, reason, now)
        if started and reason not in NO_SERVER_FAULT:
            self.outliers.failed(server)

    def requeue(self, ticket: Ticket) -> None:
        """Queue a failed or moving ticket again, at its organisation's head."""
        ticket.stage = Stage.QUEUED
        if not ticket.pooled:
            self.queue.push(ticket, front=True)

    def plan_moves(self, server_id: str, *, seconds_left: float) -> list[StreamMove]:
        """Return how this node's streams leave a server under reclaim notice.

        The node stops each stream at the source, then calls :meth:`moved`.
        """
        server = self.servers.servers[server_id]
        return plan_moves(
            self.running.get(server_id, ()),
            seconds_left=seconds_left,
            decode_tokens_per_s=server.view.decode_tokens_per_s,
            export_tokens_per_s=self.policy.export_tokens_per_s,
            margin_s=self.policy.notice_margin_s,
        )

    def moved(self, ticket: Ticket, now: float, *, tokens: int) -> None:
        """Queue a stream that was stopped at its source after `tokens` tokens."""
        ticket.tokens = tokens
        ticket.avoid.add(ticket.server)
        self._release(ticket, now)
        self.retries[RetryReason.SERVER_LEAVING] += 1
        self.requeue(ticket)

    def _server_load_of(self, ticket: Ticket) -> ServerLoad | None:
        """Return the server of the current attempt, or ``None`` if it was removed."""
        server = self.servers.servers.get(ticket.server)
        return server if server is ticket.server_load else None

    def _release(self, ticket: Ticket, now: float) -> None:
        if not ticket.server:  # already released: cancelled while waiting for a retry
            return
        self.usage.release(ticket.call.organisation)
        self.running.get(ticket.server, set()).discard(ticket)
        self._end_trial(ticket)
        if ticket.fetch is not None and ticket.stage is Stage.DISPATCHED:
            self.placement.fetching.ended(ticket, now)
        self.contention.ended(ticket)
        self.order.ended(ticket)
        server = self._server_load_of(ticket)
        if server is not None:
            if ticket.stage is Stage.DISPATCHED:
                self._prefill_ended(ticket, server)
            self.servers.adjust_in_flight(server, -1, now)
        ticket.server = ""
