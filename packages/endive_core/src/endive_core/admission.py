"""Admission control: predict the time to first token, and refuse calls that miss it.

Under overload, a call that waits and then misses its latency target occupies a slot for
an answer that nobody waits for, and its caller learns too late to go elsewhere. A call
that is refused at once costs nothing, and its ``Retry-After`` names a time at which it
will be admitted.
"""

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from endive_core.calls import Call, Refusal, Stage, Ticket, Tier
from endive_core.contention import Contention
from endive_core.crashes import CrashTable
from endive_core.estimators import ServiceRate, WaitErrorEstimate
from endive_core.exceptions import ErrorKind
from endive_core.part_trials import PartTrials, Standing
from endive_core.policy import Policy
from endive_core.queueing import FairQueue
from endive_core.quotas import Quota
from endive_core.resting import Resting
from endive_core.retry_after import RetryWindows
from endive_core.servers import ServerSet
from endive_core.service_types import ServiceType
from endive_core.slot_usage import SlotUsage
from endive_core.throttling import Throttling

if TYPE_CHECKING:
    from endive_core.resources import Organisation

MIN_WAIT_SHARE = 0.25
"""Share of the latency target that any call may wait in the queue. A prompt whose own
prefill takes longer than the target never meets it, now or later, so telling its caller
to retry would mislead; it is admitted while the wait is short."""

NO_SERVER_OF_VERSION = "no server has the software version that began the stream"
"""Message of a refusal."""

START_EXPIRY_S = 2.0
"""Time after the last first token from which on a node without requests under way
admits one as if servers started it at once, seconds."""


@dataclass(frozen=True)
class Prediction:
    """Predicted time to first token of a call, in seconds from now.

    Attributes
    ----------
    wait_s : float
        Mean time in the node's queue.
    allowance_s : float
        Margin to add to `wait_s` so that few calls wait longer.
    service_s : float
        Time at the server until the first token.
    seconds_per_token : float
        Time by which the wait grows for each further token queued.
    """

    wait_s: float
    allowance_s: float
    service_s: float
    seconds_per_token: float

    @property
    def first_token_s(self) -> float:
        """Mean seconds from now to the first token."""
        return self.wait_s + self.service_s

    @property
    def long_wait_s(self) -> float:
        """Seconds in the queue that few calls exceed."""
        return self.wait_s + self.allowance_s


def allowed_wait_s(
    call: Call, prediction: Prediction, *, margin: float, max_bulk_wait_s: float
) -> float:
    """Return the longest wait in the queue with which `call` is still admitted."""
    if call.bulk:
        return max_bulk_wait_s
    left = call.target_s * margin - prediction.service_s
    return max(left, call.target_s * MIN_WAIT_SHARE)


class Admission:
    """Admits a call, or refuses it with a reason and a time to retry.

    Callers see the refusals as ``overloaded``, ``limit_exceeded``,
    ``deadline_exceeded``, ``no_server`` and ``poison_request``, each within a
    millisecond.
    """

    def __init__(
        self,
        policy: Policy,
        servers: ServerSet,
        queue: FairQueue,
        usage: SlotUsage,
        crashes: CrashTable,
        service_type: ServiceType,
        throttling: Throttling,
        resting: Resting,
        trials: PartTrials,
        contention: Contention,
    ) -> None:
        self.contention = contention
        self.resting = resting
        self.trials = trials
        self.policy = policy
        self.servers = servers
        self.queue = queue
        self.usage = usage
        self.crashes = crashes
        self.throttling = throttling
        self.rate = ServiceRate.for_service(service_type)
        self.wait_errors = {tier: WaitErrorEstimate() for tier in Tier}
        self.retry_windows = RetryWindows(
            min_s=policy.min_retry_after_s, max_s=policy.max_retry_after_s
        )
        self.quotas: dict[str, Quota] = {}

    def set_organisations(self, organisations: dict[str, "Organisation"]) -> None:
        """Apply the declared organisations and their limits."""
        for name, spec in organisations.items():
            self.quotas.setdefault(name, Quota(spec)).spec = spec
        for gone in self.quotas.keys() - organisations.keys():
            del self.quotas[gone]

    def refusal(
        self, call: Call, now: float, *, pooled: bool = False
    ) -> Refusal | None:
        """Return why `call` is refused, or ``None`` if it may be admitted.

        Parameters
        ----------
        pooled : bool
            Whether another node decides if a slot is free in time.
        """
        if self.crashes.is_poison(call.fingerprint, now):
            return Refusal.from_kind(
                ErrorKind.POISON_REQUEST, "servers crashed while running this request"
            )
        if self.trials.judge(call.shared_parts, now).standing is Standing.REFUSED:
            return self.trials.refusal(self.policy)
        if not self.servers.accepting:
            return Refusal.from_kind(ErrorKind.NO_SERVER, "no server takes work")
        version = call.software_version
        if version is not None and version not in self.servers.versions:
            return Refusal.from_kind(
                ErrorKind.STREAM_NOT_RESUMABLE, NO_SERVER_OF_VERSION
            )
        quota = self.quotas.get(call.organisation)
        if quota is not None:
            wait = quota.wait_s(call.tokens, now, self.servers.nodes)
            if wait > 0:
                return Refusal.from_kind(
                    ErrorKind.LIMIT_EXCEEDED,
                    "the organisation's limit is used up",
                    wait,
                )
        if pooled:
            return None
        return self.contention.refusal(call, now) or self._overloaded(call, now)

    def throttled_refusal(self, wait_s: float) -> Refusal:
        """Return the refusal of a call that servers' limits keep waiting for `wait_s`.

        Other nodes share the limits too, so the caller is told to retry when any of
        them may send a call.
        """
        policy = self.policy
        retry_after_s = min(wait_s, self.throttling.gap_s(), policy.max_retry_after_s)
        return Refusal.from_kind(
            ErrorKind.OVERLOADED,
            "the limits that the servers name are used up",
            max(policy.min_retry_after_s, retry_after_s),
        )

    def resting_refusal(self, call: Call, wait_s: float, now: float) -> Refusal:
        """Return the refusal of a call that resting servers keep waiting for `wait_s`.

        The callers are told different times after it, so that they don't all return in
        the same moment.
        """
        retry_after_s = self.retry_windows.assign(
            (call.organisation, call.rank),
            call.fingerprint,
            now,
            excess_s=wait_s,
            cost_s=self._cost_s(call),
            closed_s=wait_s,
        )
        return Refusal.from_kind(
            ErrorKind.OVERLOADED,
            f"all servers have turned requests away; none is sent for {wait_s:.3f} s",
            retry_after_s,
        )

    def _cost_s(self, call: Call) -> float:
        """Return the time in which the organisation's share of slots serves a call."""
        return call.tokens / self._organisation_tokens_per_s(call.organisation)

    def _organisation_tokens_per_s(self, organisation: str) -> float:
        return self.rate.tokens_per_slot_s * self.usage.slots_of(organisation)

    def _overloaded(self, call: Call, now: float) -> Refusal | None:
        throttled_s = self.throttling.wait_s(now, len(self.queue))
        if throttled_s == math.inf:
            return self.throttled_refusal(throttled_s)
        prediction = self.predict(call, now)
        allowed = allowed_wait_s(
            call,
            prediction,
            margin=self.policy.admission_margin,
            max_bulk_wait_s=self.policy.max_bulk_wait_s,
        )
        deadline = math.inf if call.deadline is None else call.deadline
        is_late = now + prediction.first_token_s > deadline
        resting_s = self.resting.wait_s(now)
        if resting_s and (is_late or prediction.long_wait_s > allowed):
            return self.resting_refusal(call, resting_s, now)
        if is_late:
            return Refusal.from_kind(
                ErrorKind.DEADLINE_EXCEEDED,
                "the deadline can't be met",
                max(self.policy.min_retry_after_s, prediction.wait_s),
            )
        key = (call.organisation, call.rank)
        cost_s = call.tokens * prediction.seconds_per_token
        cost_s = max(cost_s, self.throttling.call_s())
        in_turn = self.retry_windows.may_enqueue(key, call.fingerprint, now)
        if prediction.long_wait_s <= allowed and (in_turn or not prediction.wait_s):
            if not in_turn:
                self.retry_windows.enqueued_early(key, now, cost_s=cost_s)
            return None
        retry_after = self.retry_windows.assign(
            key,
            call.fingerprint,
            now,
            excess_s=max(0.0, prediction.long_wait_s - allowed),
            cost_s=cost_s,
        )
        return Refusal.from_kind(
            ErrorKind.OVERLOADED,
            "the latency target can't be met now: "
            f"{prediction.wait_s:.3f} s in the queue, {prediction.allowance_s:.3f} s"
            f" of allowance, {allowed:.3f} s allowed",
            retry_after,
        )

    def predict(self, call: Call, now: float) -> Prediction:
        """Return when the first token of `call` is expected."""
        slots = max(
            1.0,
            self.servers.own_in_flight + len(self.servers.available[Tier.WITHIN_SHARE]),
        )
        slots = max(1.0, slots * self._share_of_version(call.software_version))
        slots *= self.servers.speeds.capacity
        tokens_per_s = slots * self.rate.tokens_per_slot_s
        ahead = self.queue.tokens_ahead(
            call.rank, call.organisation, call.software_version
        )
        wait, allowance = ahead / tokens_per_s, 0.0
        tier = self.usage.tier(call)
        resting_s = self.resting.wait_s(now)
        if ahead or not (resting_s or self.servers.available[tier]):
            wait += self.rate.held_s / slots
            allowance = self.wait_errors[tier].allowance_s(self.policy.wait_deviations)
        throttled_s = self.throttling.wait_s(now, len(self.queue))
        wait = max(wait, throttled_s, resting_s)
        prefill = call.prompt_tokens / self.prefill_tokens_per_s()
        return Prediction(
            wait,
            allowance,
            (self._start_s(now) + prefill) / self.servers.speeds.capacity,
            1 / self._organisation_tokens_per_s(call.organisation),
        )

    def _share_of_version(self, version: str | None) -> float:
        """Return the part of the servers that a stream of `version` may go to."""
        if version is None or not self.servers.servers:
            return 1.0
        servers = self.servers.versions.get(version, ())
        return len(servers) / len(self.servers.servers)

    def _start_s(self, now: float) -> float:
        """Return the time that a server is expected to take to start a call, seconds.

        After a time in which servers hung, the estimate may exceed every deadline. A
        node that then refused all calls would have no call to correct it with.
        """
        unknown = now - self.rate.started_at >= START_EXPIRY_S
        if unknown and not self.servers.own_in_flight:
            return 0.0
        return self.rate.start_s

    def prefill_tokens_per_s(self) -> float:
        """Return the declared prefill rate, which all servers of a service share."""
        for server in self.servers.servers.values():
            return server.view.prefill_tokens_per_s
        return 1.0

    def enter(self, call: Call, now: float) -> Ticket:
        """Return the ticket of an admitted call and charge it to the quota."""
        cost = call.prompt_tokens + call.max_tokens * self.rate.answer_share
        ticket = Ticket(call, now, cost)
        ticket.version = call.software_version
        ticket.suspect = self.crashes.count(call.fingerprint, now) > 0
        ticket.predicted_s = self.predict(call, now).wait_s
        ticket.tier = self.usage.tier(call)
        ticket.excess = self.contention.exceeds(call, now)
        quota = self.quotas.get(call.organisation)
        if quota is not None:
            quota.spend(call.tokens)
        return ticket

    def end(self, ticket: Ticket) -> None:
        """Mark an admitted call as ended and release its place in the quota."""
        ticket.stage = Stage.ENDED
        quota = self.quotas.get(ticket.call.organisation)
        if quota is not None:
            quota.in_flight -= 1

    def waited(self, ticket: Ticket, seconds: float) -> None:
        """Update the error estimate with the time a call was queued."""
        self.wait_errors[ticket.tier].learn(seconds - ticket.predicted_s)

    def answered(self, ticket: Ticket, now: float) -> None:
        """Update the rate estimates from a complete answer."""
        held_s = now - ticket.dispatched_at
        server = ticket.server_load
        if server is not None:
            held_s /= self.servers.speeds.over(server.slowdown, held_s)
        self.rate.learn(tokens=ticket.call.prompt_tokens + ticket.tokens, held_s=held_s)
        self.rate.learn_answer(ticket.tokens, ticket.call.max_tokens)
