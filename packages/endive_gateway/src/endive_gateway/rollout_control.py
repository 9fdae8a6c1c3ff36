"""Decides the stages of rollouts and writes their outcomes, at the duties' holder.

A decision is in the log of the duties before anything follows from it, except that a
stop is announced at once.
"""

import math
import time
from collections.abc import Mapping
from dataclasses import dataclass, replace

from endive_core.crash_news import FRESH_RECEIVERS
from endive_core.rollout_stages import (
    Decision,
    ExposureBounds,
    RolloutPlan,
    RolloutView,
)
from endive_core.rollouts import (
    FENCE_SHIFT,
    NO_STAGE,
    RolloutOrder,
    RolloutRecord,
    Stage,
    StageKind,
)
from endive_core.version_comparison import NO_FINDING
from endive_node.logs import log_event

from endive_gateway.context import Context
from endive_gateway.interfaces import Topic
from endive_gateway.peers import (
    EVIDENCE_INTERVAL_PER_NODE_S,
    EVIDENCE_INTERVAL_S,
    Peers,
)
from endive_gateway.rollouts import Rollout

READ_BACK_S = 0.8
"""Time after an outcome was written until it is read back, seconds. A former holder's
write may arrive as late."""

HOP_S = 0.06
"""Time until a node that learns of a stop has told others, seconds: the delay of the
announcement and the pause between two batches of received messages."""

MAX_LAG_S = 0.6
"""Largest mean age of the totals of the candidate's requests, seconds. In a large fleet
a node has few of them, and sends its totals after each."""

READ_BACKS = 3
"""Times that an outcome is read back."""


@dataclass
class Outcome:
    """An outcome as it was last written to the store.

    Attributes
    ----------
    check_at : float
        When it is read back, seconds on the monotonic clock.
    checks_left : int
        How often it is read back before it is taken to stand.
    """

    value: bytes
    check_at: float
    checks_left: int


class RolloutController:
    """The rollouts at the holder of the duties.

    Attributes
    ----------
    plans : dict of str to RolloutPlan
        By service.
    outcomes : dict of (str, str) to Outcome
        By key and version, what this node has written in this tenure.
    """

    def __init__(self, context: Context, peers: Peers) -> None:
        self.context = context
        self.peers = peers
        self.plans: dict[str, RolloutPlan] = {}
        self.outcomes: dict[tuple[str, str], Outcome] = {}

    def begin_tenure(self) -> None:
        """Start a tenure as holder: what a former holder wrote is not known."""
        self.plans.clear()
        self.outcomes.clear()

    # Decisions

    def next_records(
        self, records: Mapping[str, RolloutRecord], fence: int
    ) -> dict[str, RolloutRecord]:
        """Return the records that are to be written to the log.

        Parameters
        ----------
        records : mapping of str to RolloutRecord
            By service, as the log has them.
        """
        rollouts = self.context.rollouts
        rollouts.learn_orders([record.order for record in records.values()], 0, None)
        changed = {}
        for service, rollout in rollouts.rollouts.items():
            record = records.get(service)
            if record is None or record.order.offset != rollout.order.offset:
                record = changed[service] = self._first_record(record, rollout)
            elif record.order.latest < rollout.order.latest:
                # A successor that reads the repetition in the store must know it.
                record = changed[service] = replace(record, order=rollout.order)
            decided = self._decide(record, rollout, fence)
            if decided is not None:
                changed[service] = decided
        return changed

    def _first_record(
        self, former: RolloutRecord | None, rollout: Rollout
    ) -> RolloutRecord:
        """Return the record of a new order, which ends a former one."""
        replaced = ""
        if former is not None and not former.stage.kind.is_final:
            replaced = former.order.to if former.order.to != rollout.order.to else ""
        return RolloutRecord(rollout.order, NO_STAGE, "ordered", replaced)

    def _decide(
        self, record: RolloutRecord, rollout: Rollout, fence: int
    ) -> RolloutRecord | None:
        if record.stage.kind.is_final:
            return None
        if not record.order.to:
            stage = Stage(StageKind.ROLLED_BACK)
            return record.advance(fence, stage, "the order was withdrawn")
        plan = self.plans.get(record.order.service)
        if plan is None or plan.order.offset != record.order.offset:
            bounds = self.context.settings.bounds
            plan = self.plans[record.order.service] = RolloutPlan(
                record.order,
                ExposureBounds(bounds.exposure_share, bounds.exposure_slack),
            )
        if record.stage.number >> FENCE_SHIFT != fence:
            # Nodes may have received stages of the former holder that are not in the
            # log; the present one is announced again under a newer number.
            return record.advance(fence, record.stage, record.reason)
        view = self._view(record, rollout)
        decision = plan.decide(record.stage, view)
        if decision is None or not self._may_decide(decision):
            return None
        log_event(
            "rollout_decided",
            service=record.order.service,
            to=record.order.to,
            stage=decision.stage.kind,
            share=decision.stage.share,
            servers=decision.stage.servers,
            reason=decision.reason,
            elapsed_s=round(view.elapsed_s, 3),
            requests=view.totals.requests,
            exposed=view.totals.exposed,
            budget=round(plan.budget(view), 1),
            score=round(view.finding.score, 2),
        )
        _log_evidence(record.order, view)
        if decision.stage.kind is StageKind.ROLLED_BACK:
            self.context.rollouts.stop(
                record.order.service, record.order.offset, decision.reason, "holder"
            )
        return record.advance(fence, decision.stage, decision.reason)

    def _may_decide(self, decision: Decision) -> bool:
        """Return whether this node knows enough for a decision.

        Without the messages of others it doesn't know what the candidate does there.
        """
        if decision.stage.kind is StageKind.ROLLED_BACK:
            return True
        return not self.context.rollouts.is_isolated()

    def _view(self, record: RolloutRecord, rollout: Rollout) -> RolloutView:
        live = {peer.address for peer in self.peers.live()}
        for address in rollout.evidence.stages.keys() - live:
            rollout.evidence.forget_left(address)
        division = self.context.version_division.divisions.get(record.order.service)
        nodes = len(self.peers.known) + 1
        interval_s = max(EVIDENCE_INTERVAL_S, EVIDENCE_INTERVAL_PER_NODE_S * nodes)
        lag_s = min(interval_s, MAX_LAG_S)
        reach_s = HOP_S * (1 + math.log(nodes, FRESH_RECEIVERS))
        finding = NO_FINDING
        if not rollout.stop and record.stage.kind is not StageKind.NONE:
            finding = rollout.evidence.finding(time.monotonic())
        return RolloutView(
            elapsed_s=self.context.cluster_clock.now() - record.order.at,
            candidate_servers=len(division.candidates) if division else 0,
            base_servers=len(division.ordinary) if division else 0,
            totals=rollout.evidence.total(),
            finding=finding,
            stopped=rollout.stop,
            lag_s=lag_s if nodes > 1 else 0.0,
            reach_s=reach_s if nodes > 1 else 0.0,
            is_applied=self._is_applied(record, rollout),
            coverage=self._coverage(rollout),
        )

    def _coverage(self, rollout: Rollout) -> float:
        """Return the part of the live nodes whose totals are known."""
        live = {peer.address for peer in self.peers.live()}
        known = live & rollout.evidence.stages.keys()
        return (1 + len(known)) / (1 + len(live))

    def _is_applied(self, record: RolloutRecord, rollout: Rollout) -> bool:
        """Return whether all live nodes have stated that they apply the stage."""
        stages = rollout.evidence.stages
        return all(
            stages.get(peer.address, 0) >= record.stage.number
            for peer in self.peers.live()
        )

    # Effects

    def carry_out(self, records: Mapping[str, RolloutRecord]) -> None:
        """Announce the stages that are in the log, and write the outcomes.

        Raises
        ------
        StoreError
            If an outcome could not be written; it is tried again.
        """
        for service, record in records.items():
            order = record.order
            self.context.rollouts.set_stage(service, order.offset, record.stage)
        for record in records.values():
            order = record.order
            if record.replaced and self.context.rollouts.is_recent(order.service):
                former = replace(order, to=record.replaced)
                self._write(former, StageKind.ROLLED_BACK, is_newest=False)
            if record.stage.kind is not StageKind.NONE and order.to:
                self._write(order, record.stage.kind)

    def _write(
        self, order: RolloutOrder, kind: StageKind, *, is_newest: bool = True
    ) -> None:
        """Write an outcome unless it stands; raises StoreError."""
        key, value = self.context.wire.encode_rollout_status(
            order.service, kind, order.to
        )
        known = self.outcomes.get((key, order.to))
        now = time.monotonic()
        if known is not None and known.value == value:
            if known.checks_left and now >= known.check_at:
                self._read_back(known, key, now)
            return
        checks = READ_BACKS if kind.is_final and is_newest else 0
        outcome = Outcome(value, now + READ_BACK_S, checks)
        if kind.is_final and is_newest and known is None:
            # A former holder may have written it, at any time before.
            if not self.context.rollouts.is_recent(order.service):
                return
            self._read_back(outcome, key, now)
        else:
            self._put(key, value)
        self.outcomes[key, order.to] = outcome

    def _read_back(self, outcome: Outcome, key: str, now: float) -> None:
        """Write an outcome again if the newest record is another one."""
        page = self.context.store.newest(Topic.STATUS)
        newest = [record.value for record in page.records if record.key == key]
        outcome.check_at = now + READ_BACK_S
        outcome.checks_left -= 1
        if newest != [outcome.value]:
            self._put(key, outcome.value)

    def _put(self, key: str, value: bytes) -> None:
        self.context.store.put(Topic.STATUS, key, value)
        log_event("rollout_status", key=key, value=value.decode("utf-8", "replace"))


def _log_evidence(order: RolloutOrder, view: RolloutView) -> None:
    """Log the counts of both versions by route, as a decision is based on them."""
    for route, counts in view.totals.routes.items():
        log_event(
            "rollout_evidence",
            service=order.service,
            to=order.to,
            route=route,
            responses=counts.candidate.responses,
            failures=counts.candidate.failures,
            median=counts.candidate.median_ratio(),
            base_responses=counts.base.responses,
            base_failures=counts.base.failures,
            base_median=counts.base.median_ratio(),
        )
