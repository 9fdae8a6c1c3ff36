"""Compares the responses of two software versions, by route, with a confidence.

The statistic is the logarithm of a Bayes factor: how much better the candidate's counts
are explained by any higher rate of failures than by the highest rate that is plausible
for the base. It may be computed after each response. A fixed count of failures would
roll back good versions of routes that fail by themselves, and find bad ones late on
routes with few requests.
"""

import math
from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass, field

RATIO_LIMITS = (0.25, 0.5, 1.0, 1.5, 2.25, 3.4, 5.0, 8.0, 16.0)
"""Limits of the histogram of times to first byte, as multiples of the expected time. A
version that is several times slower moves a response by two or more."""

FAILURE_TOLERANCE = 0.02
SLOW_TOLERANCE = 0.10
"""Increase of the rate of failures, and of the part of slow responses, that is no
reason to roll back. Two sets of sound servers differ by a few hundredths in the part
of slow ones because of their load."""

BASE_DEVIATIONS = 1.5
"""Standard deviations by which the base's rate may be higher than observed."""

SLOW_WEIGHT = 0.5
"""Weight of a response in the comparison of times. Responses of one server within a
fraction of a second are slow together."""

MIN_CANDIDATE_RESPONSES = 4
MIN_BASE_RESPONSES = 8
"""Responses of each version from which on a route is compared."""

ALL_ROUTES = "*"
"""Name of the comparison over all routes together."""


@dataclass(slots=True)
class VersionCounts:
    """Counts of one version's responses on a route since the order.

    Attributes
    ----------
    responses : int
        Attempts whose response has begun, or that have failed before.
    failures : int
        Those that failed, also after their first byte.
    times : list of int
        Histogram of times to first byte, one more than `RATIO_LIMITS`.
    """

    responses: int = 0
    failures: int = 0
    times: list[int] = field(default_factory=lambda: [0] * (len(RATIO_LIMITS) + 1))

    def add_time(self, ratio: float) -> None:
        """Count a time to first byte, as a multiple of the expected time."""
        self.times[bisect_right(RATIO_LIMITS, ratio)] += 1

    def add(self, other: "VersionCounts", sign: int = 1) -> None:
        """Add the counts of another one, or subtract them."""
        self.responses += sign * other.responses
        self.failures += sign * other.failures
        for index, count in enumerate(other.times[: len(self.times)]):
            self.times[index] += sign * count

    def copy(self) -> "VersionCounts":
        """Return a copy."""
        return VersionCounts(self.responses, self.failures, list(self.times))


@dataclass(slots=True)
class RouteCounts:
    """The counts of both versions on one route."""

    candidate: VersionCounts = field(default_factory=VersionCounts)
    base: VersionCounts = field(default_factory=VersionCounts)

    def add(self, other: "RouteCounts", sign: int = 1) -> None:
        """Add the counts of another one, or subtract them."""
        self.candidate.add(other.candidate, sign)
        self.base.add(other.base, sign)

    def copy(self) -> "RouteCounts":
        """Return a copy."""
        return RouteCounts(self.candidate.copy(), self.base.copy())


@dataclass(frozen=True, slots=True)
class Finding:
    """The strongest evidence against a candidate.

    Attributes
    ----------
    score : float
        Logarithm of the Bayes factor; 0 without evidence.
    measure : str
        ``failures``, or ``slower than`` with the multiple of the expected time.
    candidate, base : tuple of int
        How many of how many responses.
    """

    score: float = 0.0
    route: str = ""
    measure: str = ""
    candidate: tuple[int, int] = (0, 0)
    base: tuple[int, int] = (0, 0)

    def __str__(self) -> str:
        bad, total = self.candidate
        base_bad, base_total = self.base
        return (
            f"{self.measure} on {self.route}: {bad} of {total},"
            f" base {base_bad} of {base_total}, score {self.score:.1f}"
        )


NO_FINDING = Finding()


def compare(routes: Mapping[str, RouteCounts]) -> Finding:
    """Return the strongest evidence that the candidate is worse than the base."""
    findings = [NO_FINDING, *_pooled(routes)]
    for route, counts in routes.items():
        findings += _route_findings(route, counts)
    return max(findings, key=lambda finding: finding.score)


def _route_findings(route: str, counts: RouteCounts) -> list[Finding]:
    candidate, base = counts.candidate, counts.base
    findings = []
    if candidate.responses >= MIN_CANDIDATE_RESPONSES:
        bad, total = min(candidate.failures, candidate.responses), candidate.responses
        rate = _base_rate(base.failures, base.responses, FAILURE_TOLERANCE)
        findings.append(
            Finding(
                _score(bad, total, rate),
                route,
                "failures",
                (bad, total),
                (base.failures, base.responses),
            )
        )
    total, base_total = sum(candidate.times), sum(base.times)
    if total < MIN_CANDIDATE_RESPONSES or base_total < MIN_BASE_RESPONSES:
        return findings
    slow, base_slow = total, base_total
    for index, limit in enumerate(RATIO_LIMITS):
        slow -= candidate.times[index]
        base_slow -= base.times[index]
        rate = _base_rate(base_slow, base_total, SLOW_TOLERANCE)
        score = _score(SLOW_WEIGHT * slow, SLOW_WEIGHT * total, rate)
        measure = f"slower than {limit:g} times expected"
        findings.append(
            Finding(score, route, measure, (slow, total), (base_slow, base_total))
        )
    return findings


def _pooled(routes: Mapping[str, RouteCounts]) -> list[Finding]:
    """Compare the failures on all routes, each weighted by what the base would have."""
    bad = total = base_bad = base_total = 0
    expected = 0.0
    for counts in routes.values():
        candidate, base = counts.candidate, counts.base
        rate = _base_rate(base.failures, base.responses, FAILURE_TOLERANCE)
        bad += min(candidate.failures, candidate.responses)
        total += candidate.responses
        expected += rate * candidate.responses
        base_bad += base.failures
        base_total += base.responses
    if total < MIN_CANDIDATE_RESPONSES:
        return []
    score = _score(bad, total, expected / total)
    return [
        Finding(score, ALL_ROUTES, "failures", (bad, total), (base_bad, base_total))
    ]


def _base_rate(bad: float, total: float, tolerance: float) -> float:
    """Return the highest plausible rate of the base, plus the tolerance."""
    rate = (bad + 0.5) / (total + 1)
    deviation = math.sqrt(rate * (1 - rate) / (total + 1))
    return min(0.99, rate + BASE_DEVIATIONS * deviation + tolerance)


def _score(bad: float, total: float, rate: float) -> float:
    """Return the logarithm of the Bayes factor of any rate against at most `rate`."""
    if total <= 0 or bad <= rate * total:
        return 0.0
    good = max(0.0, total - bad)
    any_rate = math.lgamma(bad + 1) + math.lgamma(good + 1) - math.lgamma(total + 2)
    base_rate = bad * math.log(rate) + good * math.log1p(-rate)
    return max(0.0, any_rate - base_rate)
