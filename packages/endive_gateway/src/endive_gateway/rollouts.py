"""What a node knows of rollouts: orders, stages, stops and the totals of all nodes.

The holder of the duties decides the stages, see :mod:`.rollout_control`. Every node
compares the versions too, and stops sending to a bad one without waiting for it.
"""

import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from endive_core.rollout_evidence import FleetEvidence
from endive_core.rollout_stages import STOP_SCORE
from endive_core.rollouts import (
    NO_STAGE,
    OrderBook,
    RolloutOrder,
    Stage,
    StageKind,
)
from endive_core.version_admission import VersionAdmission
from endive_core.version_comparison import NO_FINDING, Finding
from endive_node.logs import log_event

from endive_gateway.clocks import boot_time
from endive_gateway.interfaces import GatewaySettings
from endive_gateway.rollout_messages import (
    MAX_ORDERS,
    MAX_REASON_LENGTH,
    MAX_TOTALS,
    OrderReport,
    RolloutReport,
    StageReport,
    TotalsReport,
)

CONTRACT = "rollout"
"""Name in the settings' `contracts` where rollouts may be ordered."""

JUDGING_INTERVAL_S = 0.2
"""Time between two comparisons of the versions at a node, seconds."""

OWN_STOP_MARGIN = 2.0
"""Score by which a node that isn't the holder must exceed the holder's limit before it
stops by itself. Hundreds of nodes compare nearly the same totals."""

ISOLATED_S = 1.5
"""Time without any node's message after which a node sends nothing to a candidate,
seconds: it would not learn of a stop."""

KEPT_S = 30.0
"""Time after the end of its duration for which the totals of an order are kept and
sent, seconds."""


@dataclass
class Rollout:
    """One order as this node knows it.

    Attributes
    ----------
    stage : Stage
        The newest stage received; see :meth:`Rollouts.stage` for the one applied.
    stop : str
        Why some node has stopped sending to the candidate; empty if none has.
    finding : Finding
        The strongest evidence against the candidate, as last computed here.
    began_at : float
        When this node learned of the order, seconds on the monotonic clock.
    """

    order: RolloutOrder
    stage: Stage = NO_STAGE
    stop: str = ""
    finding: Finding = NO_FINDING
    evidence: FleetEvidence = field(default_factory=FleetEvidence)
    began_at: float = field(default_factory=time.monotonic)

    @property
    def applied(self) -> Stage:
        """The stage with a stop taken into account."""
        if self.stop and self.stage.kind is not StageKind.COMPLETED:
            return Stage(StageKind.ROLLED_BACK, self.stage.number)
        return self.stage


class Rollouts:
    """The rollouts that this node knows of.

    Attributes
    ----------
    book : OrderBook
        The orders; proofs count on the boot clock.
    rollouts : dict of str to Rollout
        The newest order of each service.
    cluster_now : callable
        Returns seconds on the cluster clock.
    last_heard_at : callable
        Returns when the last message of any node arrived, on the monotonic clock.
    has_peers : callable
        Returns whether other nodes are known.
    on_change : callable
        Called without arguments when an order, a stage or a stop is new.
    announce : callable
        Tells some other nodes at once.
    check_orders : callable
        Reads the orders from the store soon, if this node reads it.
    is_holder : callable
        Returns whether this node holds the duties.
    """

    def __init__(self, settings: GatewaySettings) -> None:
        self.settings = settings
        self.book = OrderBook()
        self.admission = VersionAdmission(self.book)
        self.rollouts: dict[str, Rollout] = {}
        self.random = random.Random()
        self.cluster_now: Callable[[], float] = time.time
        self.last_heard_at: Callable[[], float] = time.monotonic
        self.has_peers: Callable[[], bool] = lambda: False
        self.on_change: Callable[[], None] = lambda: None
        self.announce: Callable[[], None] = lambda: None
        self.check_orders: Callable[[], None] = lambda: None
        self.is_holder: Callable[[], bool] = lambda: False

    @property
    def is_enabled(self) -> bool:
        """Whether rollouts may be ordered here, or one has been."""
        return CONTRACT in self.settings.contracts or bool(self.book.orders)

    # Orders

    def learn_orders(
        self, orders: Iterable[RolloutOrder], end: int, proven_at: float | None
    ) -> None:
        """Apply the orders that are known up to an offset.

        Parameters
        ----------
        proven_at : float or None
            When the list was known to be current, seconds on the boot clock.
        """
        before = self.book.proven_at
        is_new = self.book.merge(orders, end, proven_at)
        self._update_orders()
        if is_new:
            self._apply_orders()
        elif before != self.book.proven_at and self.is_waiting():
            self.on_change()

    def learn_order(self, order: RolloutOrder) -> None:
        """Apply an order that was read from the store just now."""
        order = RolloutOrder(
            order.service,
            order.to,
            order.duration_s,
            order.offset,
            self.cluster_now(),
        )
        is_new = self.book.put(order)
        self._update_orders()
        if is_new:
            self._apply_orders()

    def prove(self, end: int, at: float) -> None:
        """Record that the store had no order after `end` at `at` on the boot clock."""
        self.learn_orders((), end, at)

    def _update_orders(self) -> None:
        """Apply what has become known of the orders of known rollouts."""
        for service, rollout in self.rollouts.items():
            if rollout.order.offset == self.book.orders[service].offset:
                rollout.order = self.book.orders[service]

    def _apply_orders(self) -> None:
        for service, order in self.book.orders.items():
            known = self.rollouts.get(service)
            if known is not None and known.order.offset == order.offset:
                continue
            self.rollouts[service] = Rollout(order)
            log_event(
                "rollout_ordered",
                service=service,
                to=order.to,
                duration_s=order.duration_s,
                offset=order.offset,
                age_s=round(self.cluster_now() - order.at, 3),
            )
        self.on_change()
        self.announce()

    def is_waiting(self) -> bool:
        """Return whether any server is withheld until the orders are confirmed."""
        return self.admission.is_waiting

    # Stages

    def stage(self, service: str) -> Stage:
        """Return the stage that this node applies."""
        rollout = self.rollouts.get(service)
        if rollout is None:
            return NO_STAGE
        stage = rollout.applied
        if not stage.kind.is_final and self.is_isolated():
            return NO_STAGE
        return stage

    def elapsed_s(self, service: str) -> float:
        """Return the seconds since a service's order."""
        return self.cluster_now() - self.rollouts[service].order.at

    def is_isolated(self) -> bool:
        """Return whether no node's messages arrive at this one any more."""
        if not self.has_peers():
            return False
        return time.monotonic() - self.last_heard_at() > ISOLATED_S

    def is_recent(self, service: str) -> bool:
        """Return whether a service's order ended only seconds ago, or has not ended."""
        rollout = self.rollouts.get(service)
        if rollout is None:
            return False
        order = rollout.order
        return self.cluster_now() < order.at + order.duration_s + KEPT_S

    def is_running(self, service: str) -> bool:
        """Return whether a rollout of a service has not ended."""
        rollout = self.rollouts.get(service)
        if rollout is None or rollout.applied.kind.is_final:
            return False
        return bool(rollout.order.to) and self.is_recent(service)

    def running(self) -> int:
        """Return the number of rollouts that have not ended."""
        return sum(self.is_running(service) for service in self.rollouts)

    def set_stage(self, service: str, offset: int, stage: Stage) -> bool:
        """Apply a stage unless a newer one is known; return whether it was new."""
        rollout = self.rollouts.get(service)
        if rollout is None or rollout.order.offset != offset:
            return False
        if stage.number <= rollout.stage.number:
            return False
        rollout.stage = stage
        log_event(
            "rollout_stage",
            service=service,
            to=rollout.order.to,
            stage=stage.kind,
            share=stage.share,
            servers=stage.servers,
            number=stage.number,
        )
        self.on_change()
        self.announce()
        return True

    def stop(self, service: str, offset: int, reason: str, source: str) -> None:
        """Stop sending to a candidate until a newer order, unless it is completed."""
        rollout = self.rollouts.get(service)
        if rollout is None or rollout.order.offset != offset or rollout.stop:
            return
        if rollout.stage.kind is StageKind.COMPLETED:
            return
        rollout.stop = reason[:MAX_REASON_LENGTH]
        log_event(
            "rollout_stopped",
            service=service,
            to=rollout.order.to,
            reason=rollout.stop,
            source=source,
            exposed=rollout.evidence.total().exposed,
        )
        self.on_change()
        self.announce()

    def judge(self) -> None:
        """Compare the versions, and stop sending to those that are bad."""
        limit = STOP_SCORE + (0.0 if self.is_holder() else OWN_STOP_MARGIN)
        for service, rollout in self.rollouts.items():
            if rollout.applied.kind in (StageKind.NONE, StageKind.COMPLETED):
                continue
            if rollout.stop or not self.is_recent(service):
                continue
            rollout.finding = rollout.evidence.finding(time.monotonic())
            if rollout.finding.score >= limit:
                self.stop(
                    service, rollout.order.offset, str(rollout.finding), "this node"
                )

    # Messages

    def next_report(self) -> RolloutReport | None:
        """Return this node's part of the next state message."""
        if not self.is_enabled:
            return None
        orders = sorted(self.book.orders.values(), key=lambda order: -order.offset)
        proof_age_s = -1.0
        if self.book.proven_at is not None and len(orders) <= MAX_ORDERS:
            proof_age_s = round(max(0.0, boot_time() - self.book.proven_at), 3)
        return RolloutReport(
            self.book.end,
            proof_age_s,
            [OrderReport.from_order(order) for order in orders[:MAX_ORDERS]],
            self._stage_reports(),
            [
                TotalsReport.from_totals(
                    r.order,
                    self.stage(r.order.service).number,
                    r.evidence.own,
                    self.random,
                )
                for r in self._reported_totals()
            ],
        )

    def _stage_reports(self) -> list[StageReport]:
        """Return the newest stages, those of rollouts that have not ended first."""
        staged = [r for r in self.rollouts.values() if r.stage.number]
        staged.sort(
            key=lambda r: (not self.is_running(r.order.service), -r.order.offset)
        )
        return [_stage_report(rollout) for rollout in staged[:MAX_ORDERS]]

    def _reported_totals(self) -> list[Rollout]:
        """Return the rollouts whose totals the next message contains.

        If more run than one message has room for, they are drawn at random: totals only
        grow, so that each message makes up for those that left a rollout out.
        """
        running = [r for name, r in self.rollouts.items() if self.is_running(name)]
        if len(running) > MAX_TOTALS:
            return self.random.sample(running, MAX_TOTALS)
        ended = [
            rollout
            for name, rollout in self.rollouts.items()
            if self.is_recent(name) and not self.is_running(name)
        ]
        ended.sort(key=lambda rollout: -rollout.order.offset)
        return [*running, *ended][:MAX_TOTALS]

    def learn(
        self, address: str, incarnation: int, node: str, report: RolloutReport
    ) -> None:
        """Apply another node's report."""
        age_s = report.proof_age_s
        self.learn_orders(
            [order.to_order() for order in report.orders],
            report.end,
            boot_time() - age_s if age_s >= 0 else None,
        )
        for told in report.stages:
            try:
                stage = told.to_stage()
            except ValueError:
                log_event("rollout_stage_unknown", node=node, kind=told.kind)
                continue
            self.set_stage(told.service, told.offset, stage)
            if told.stop:
                self.stop(told.service, told.offset, told.stop, node)
        for totals in report.totals:
            rollout = self.rollouts.get(totals.service)
            if rollout is not None and rollout.order.offset == totals.offset:
                rollout.evidence.receive(
                    address, incarnation, totals.to_totals(), totals.stage
                )

    def forget_node(self, address: str) -> None:
        """Stop waiting for what a node that is gone had left to do."""
        for rollout in self.rollouts.values():
            rollout.evidence.forget_left(address)


def _stage_report(rollout: Rollout) -> StageReport:
    stage = rollout.stage
    return StageReport(
        rollout.order.service,
        rollout.order.offset,
        stage.kind.value,
        stage.number,
        stage.share,
        stage.servers,
        rollout.stop,
        stage.until_s,
        list(stage.leads),
    )
