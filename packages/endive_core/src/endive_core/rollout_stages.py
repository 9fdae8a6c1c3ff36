"""Decides the stages of a rollout over the duration of its order.

A version may go bad at any time before it is completed. The number of requests that it
has had must therefore be within the bound on exposure at every moment, not only while
it is young: the bulk of the exposure is kept for the last stage, in which it gets all
new requests while the old servers' requests end.
"""

import math
from collections import deque
from dataclasses import dataclass

from endive_core.rollout_evidence import RolloutTotals
from endive_core.rollouts import RolloutOrder, Stage, StageKind
from endive_core.version_comparison import NO_FINDING, Finding

STOP_SCORE = 6.5
"""Score from which on a version counts as bad at any time. The comparison is repeated
several times a second. With 6, two of 800 simulated good versions were
rolled back."""

FINAL_SCORE = 4.0
"""The same at the end, where the only other choice is to complete it."""

HESITATION_SCORE = 3.5
"""Score from which on the last stage is delayed, as far as the duration allows."""

TRIAL_PART = 0.4
"""Part of the bound on exposure that may be used before the last stage."""

USED_PART = 0.93
"""Part of the bound on exposure that is planned for at all. The rest is for requests
sent while a stop reaches the nodes."""

SMALL_PART = 0.4
"""Part of the time before the last stage for which the share stays small."""

SMALL_SHARE_PART = 0.6
"""The small share as a part of the mean one that the budget allows."""

MIN_SHARE = 0.005
MAX_TRIAL_SHARE = 0.34
MARGIN_PART, MIN_MARGIN_S, MAX_MARGIN_S = 0.1, 0.6, 4.0
"""Time between the planned completion and the end of the duration, as a part of it and
within bounds, seconds: for the write, which an unstable store delays."""

MIN_ALL_S = 0.3
MAX_ALL_PART, MAX_ALL_S = 0.25, 5.0
"""Length of the last stage, at least and at most, seconds and as a part of the
duration. Old requests need up to a few seconds to end."""

LEAD_FACTOR = 2.5
"""Time for which a route's requests go to the candidate before it is completed, as a
multiple of their mean duration: nearly all old ones have ended then."""

APPLY_S = 0.4
"""Time that a stage needs to reach the nodes, seconds."""

MIN_TRIAL_S, MIN_TRIAL_PART = 1.0, 0.1
"""Time for which a version is tried at least before the last stage, seconds and as a
part of the duration."""

FULL_LOAD_S, MIN_FULL_LOAD_S = 1.2, 0.8
"""Time for which a server of the candidate is to get the load of an old one within the
budget, and must at least, seconds. If it can, the share stays small until then."""

MIN_SMALL_PART = 0.35
"""Least small share, as a part of the mean one."""

MIN_JUDGED = 20
MIN_JUDGED_PART = 0.2
"""Responses of the candidate that are awaited before the share grows, at most, and as a
part of those that it may get before the last stage."""

EXPECTED_RATE_PART = 0.9
"""Part of the present rate of requests that is expected to stay until the end."""

RATE_WINDOW_S = 4.0
"""Time over which the rate of requests is measured, seconds."""

KNOWN_COVERAGE = 0.8
UNKNOWN_RATE_PART = 0.6
"""Part of the nodes whose totals must be known for the rate to count as known, and the
largest share before that, as a part of the bound's."""

READJUST_S, READJUST_FACTOR = 1.5, 1.35
"""Time after which a share is adjusted to the budget again, seconds, and the least
change. Each change is a record in the log."""

SERVER_ROUNDING = 0.15
"""Part by which a chosen server may exceed the load of an old one."""


@dataclass(frozen=True, slots=True)
class ExposureBounds:
    """Bounds on the requests that a bad version may get.

    Attributes
    ----------
    share : float
        Part of the requests that reach the service.
    slack : float
        Requests beyond that.
    """

    share: float = 0.1
    slack: float = 50.0


@dataclass(frozen=True, slots=True)
class RolloutView:
    """What the holder of the duties knows of a rollout.

    Attributes
    ----------
    elapsed_s : float
        Time since the order, seconds.
    candidate_servers, base_servers : int
        Usable servers of each side.
    finding : Finding
        The strongest evidence against the candidate.
    stopped : str
        Why a node has stopped sending to the candidate; empty if none has.
    lag_s : float
        Mean age of the other nodes' totals, seconds.
    reach_s : float
        Mean time that a stop needs to reach the nodes, seconds.
    is_applied : bool
        Whether all live nodes apply the newest stage.
    coverage : float
        Part of the live nodes whose totals are known.
    """

    elapsed_s: float
    candidate_servers: int
    base_servers: int
    totals: RolloutTotals
    finding: Finding = NO_FINDING
    stopped: str = ""
    lag_s: float = 0.0
    reach_s: float = 0.0
    is_applied: bool = True
    coverage: float = 1.0


@dataclass(frozen=True, slots=True)
class Decision:
    """A new stage, not yet numbered, and why."""

    stage: Stage
    reason: str


class RolloutPlan:
    """Decides the stages of one rollout.

    Attributes
    ----------
    began_s : float or None
        When the candidate first got requests, seconds since the order; for a successor,
        when it first saw that.
    staged_s : float
        When the present stage was first seen, seconds since the order.
    """

    def __init__(self, order: RolloutOrder, bounds: ExposureBounds) -> None:
        self.order = order
        self.bounds = bounds
        self.began_s: float | None = None
        self.stage_number = -1
        self.staged_s = 0.0
        self.samples: deque[tuple[float, int]] = deque()
        duration_s = order.duration_s
        margin_s = min(MAX_MARGIN_S, max(MIN_MARGIN_S, MARGIN_PART * duration_s))
        self.done_s = max(0.5 * duration_s, duration_s - margin_s)

    def decide(self, stage: Stage, view: RolloutView) -> Decision | None:
        """Return the next stage, or ``None`` to stay at `stage`."""
        if stage.kind.is_final:
            return None
        self._observe(stage, view)
        if view.stopped:
            return _end(StageKind.ROLLED_BACK, view.stopped)
        if view.finding.score >= STOP_SCORE:
            return _end(StageKind.ROLLED_BACK, str(view.finding))
        if view.elapsed_s >= self.done_s:
            return self._finish(stage, view)
        if not view.candidate_servers:
            return None
        if not view.base_servers and stage.kind is not StageKind.ALL:
            return _all("no other server is left")
        if stage.kind is StageKind.NONE:
            return self._share(StageKind.SMALL, stage, view, "servers are ready")
        if stage.kind is StageKind.ALL:
            return None
        if view.elapsed_s >= self._all_s(view) and self._is_sound(view):
            leads = tuple(sorted(self._leads(view).items()))
            return _all("no evidence against it", self.done_s, leads)
        return self._grow(stage, view)

    # Time and budget

    def _observe(self, stage: Stage, view: RolloutView) -> None:
        now = view.elapsed_s
        if stage.number != self.stage_number:
            self.stage_number, self.staged_s = stage.number, now
        if self.began_s is None and stage.kind is not StageKind.NONE:
            self.began_s = now
        self.samples.append((now, view.totals.requests))
        while len(self.samples) > 2 and now - self.samples[1][0] > RATE_WINDOW_S:
            self.samples.popleft()

    def rate(self, view: RolloutView) -> float:
        """Return the requests per second that reach the service.

        While some nodes' totals are not known, the others stand for them.
        """
        coverage = max(0.05, view.coverage)
        since_order = view.totals.requests / max(0.5, view.elapsed_s) / coverage
        (first_at, first), (last_at, last) = self.samples[0], self.samples[-1]
        if last_at - first_at < RATE_WINDOW_S / 2 or not self._is_rate_known(view):
            return since_order
        return max(0.0, (last - first) / (last_at - first_at))

    def _is_rate_known(self, view: RolloutView) -> bool:
        """Return whether the rate can be off by little only."""
        return view.coverage >= KNOWN_COVERAGE and view.elapsed_s >= RATE_WINDOW_S

    def budget(self, view: RolloutView) -> float:
        """Return the requests that the candidate may get in all, as planned."""
        left_s = max(0.0, self.order.duration_s - view.elapsed_s)
        expected = EXPECTED_RATE_PART * self.rate(view) * left_s
        total = view.totals.requests + expected
        return USED_PART * (self.bounds.share * total + self.bounds.slack)

    def exposed(self, stage: Stage, view: RolloutView) -> float:
        """Return the candidate's requests, those not reported yet included."""
        return view.totals.exposed + stage.share * self.rate(view) * view.lag_s

    def _all_s(self, view: RolloutView) -> float:
        """Return when the last stage begins, seconds since the order."""
        longest_s = max(self._leads(view).values(), default=0.0)
        start_s = self.done_s - max(MIN_ALL_S, longest_s) - APPLY_S
        trial_s = max(MIN_TRIAL_S, MIN_TRIAL_PART * self.order.duration_s)
        began_s = view.elapsed_s if self.began_s is None else self.began_s
        return max(start_s, min(began_s + trial_s, self.done_s - MIN_ALL_S))

    def _leads(self, view: RolloutView) -> dict[str, float]:
        """Return by route how long before the end its requests go to the candidate.

        The routes whose requests take longest are shifted first, so that few requests
        are left at the old servers when these stop. If all were shifted together, the
        bound on exposure would leave less than a second for all of them.
        """
        left = (1 - TRIAL_PART) * self.budget(view)
        left = min(left, self.budget(view) - view.totals.exposed)
        left -= self.rate(view) * view.reach_s
        counts = {name: c.base for name, c in view.totals.routes.items()}
        total = sum(base.responses for base in counts.values())
        if not total:
            return {}
        rate = max(0.01, self.rate(view))
        wanted = {
            name: LEAD_FACTOR * base.busy_ms / 1000 / max(1, base.ended) + 0.1
            for name, base in counts.items()
        }
        cost = sum(
            rate * counts[name].responses / total * wanted[name] for name in counts
        )
        part = min(1.0, max(0.0, left) / cost)
        longest_s = min(MAX_ALL_S, MAX_ALL_PART * self.order.duration_s)
        return {
            name: round(min(longest_s, max(MIN_ALL_S, part * lead_s)), 2)
            for name, lead_s in wanted.items()
        }

    # Stages

    def _trial_left(self, stage: Stage, view: RolloutView) -> float:
        """Return the requests that it may still get before the last stage."""
        left = TRIAL_PART * self.budget(view) - self.exposed(stage, view)
        return max(0.0, left)

    def _full_share(self, view: RolloutView) -> float:
        """Return the share that gives one server the load of an old one."""
        return min(MAX_TRIAL_SHARE, 1 / max(1, view.base_servers))

    def _share(
        self, kind: StageKind, stage: Stage, view: RolloutView, reason: str
    ) -> Decision:
        rate = max(0.01, self.rate(view))
        left = self._trial_left(stage, view)
        left_s = max(0.3, self._all_s(view) - view.elapsed_s)
        share = left / (rate * left_s)
        if kind is StageKind.SMALL:
            share *= self._small_part(share, left, rate, view)
        elif left >= MIN_FULL_LOAD_S * rate * self._full_share(view):
            share = max(share, self._full_share(view))
        most = view.candidate_servers / max(1, view.base_servers)
        if not self._is_rate_known(view):
            # Within the bound's share, the exposure is within the bound at any rate.
            most = min(most, UNKNOWN_RATE_PART * self.bounds.share)
        share = max(MIN_SHARE, min(share, MAX_TRIAL_SHARE, most))
        return Decision(
            Stage(kind, share=round(share, 4), servers=_servers(share, view)),
            f"{reason}; {share:.3f} of {rate:.0f} requests a second",
        )

    def _small_part(
        self, share: float, left: float, rate: float, view: RolloutView
    ) -> float:
        """Return the part of the mean share that is given while it is small.

        Where one server with the load of an old one takes more than the mean share,
        the requests for that are kept.
        """
        full = self._full_share(view)
        if full <= share or not left:
            return SMALL_SHARE_PART
        kept = FULL_LOAD_S * rate * full
        return max(MIN_SMALL_PART, min(SMALL_SHARE_PART, 1 - kept / left))

    def _grow_s(self, stage: Stage, view: RolloutView) -> float:
        """Return when the share is to grow, seconds since the order."""
        began_s = self.began_s or 0.0
        all_s = self._all_s(view)
        grow_s = began_s + SMALL_PART * (all_s - began_s)
        full = max(0.01, self.rate(view)) * self._full_share(view)
        full_load_s = self._trial_left(stage, view) / full
        if full_load_s < MIN_FULL_LOAD_S:
            return grow_s
        return max(grow_s, all_s - full_load_s)

    def _grow(self, stage: Stage, view: RolloutView) -> Decision | None:
        if view.finding.score >= HESITATION_SCORE:
            return None
        is_small = stage.kind is StageKind.SMALL
        if is_small and view.elapsed_s >= self._grow_s(stage, view):
            if not self._is_judged(view):
                return None
            kind, reason = StageKind.GROWING, "no evidence against it"
            return self._share(kind, stage, view, reason)
        if view.elapsed_s - self.staged_s < READJUST_S:
            return None
        decision = self._share(stage.kind, stage, view, "adjusted to the rate")
        factor = decision.stage.share / max(MIN_SHARE, stage.share)
        changed = not 1 / READJUST_FACTOR < factor < READJUST_FACTOR
        return decision if changed else None

    def _is_judged(self, view: RolloutView) -> bool:
        """Return whether enough responses have been judged.

        In a service with few requests, a part of those that the budget allows is.
        """
        judged = sum(c.candidate.responses for c in view.totals.routes.values())
        possible = min(TRIAL_PART * self.budget(view), 0.25 * view.totals.requests)
        return judged >= min(MIN_JUDGED, MIN_JUDGED_PART * possible)

    def _is_sound(self, view: RolloutView) -> bool:
        """Return whether the last stage may begin."""
        if view.finding.score >= HESITATION_SCORE:
            return False
        if 2 * view.candidate_servers < view.base_servers:
            return False
        return self._is_judged(view)

    def _finish(self, stage: Stage, view: RolloutView) -> Decision | None:
        """Decide the outcome at the planned end, or later if nobody could before."""
        if view.finding.score >= FINAL_SCORE:
            return _end(StageKind.ROLLED_BACK, str(view.finding))
        if not view.candidate_servers:
            return _end(StageKind.ROLLED_BACK, "no server has the version")
        if stage.kind is StageKind.NONE:
            return _end(StageKind.ROLLED_BACK, "no time was left to try it")
        if not self._is_judged(view):
            return _end(StageKind.ROLLED_BACK, "too few responses to judge it")
        if stage.kind is not StageKind.ALL:
            return _all("late; no evidence against it")
        if view.elapsed_s - self.staged_s < MIN_ALL_S:
            return None
        is_drained = view.is_applied and view.totals.base_left == 0
        if not is_drained and self._may_wait(stage, view):
            return None
        return _end(
            StageKind.COMPLETED,
            f"no evidence against it; {view.totals.base_left} old requests left",
        )

    def _may_wait(self, stage: Stage, view: RolloutView) -> bool:
        """Return whether old requests may be waited for, within time and budget."""
        latest_s = self.done_s + 0.4 * (self.order.duration_s - self.done_s)
        if view.elapsed_s >= latest_s:
            return False
        return self.exposed(stage, view) < self.budget(view)


def _all(
    reason: str, until_s: float = 0.0, leads: tuple[tuple[str, float], ...] = ()
) -> Decision:
    stage = Stage(StageKind.ALL, share=1.0, until_s=until_s, leads=leads)
    return Decision(stage, reason)


def _end(kind: StageKind, reason: str) -> Decision:
    return Decision(Stage(kind, share=float(kind is StageKind.COMPLETED)), reason)


def _servers(share: float, view: RolloutView) -> int:
    """Return how many of the candidate's servers get the load of an old one."""
    servers = math.ceil(share * max(1, view.base_servers) - SERVER_ROUNDING)
    return max(1, min(servers, view.candidate_servers))
