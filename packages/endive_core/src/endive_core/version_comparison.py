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
"""Increase of the rate of failures that is no reason to roll back."""

BASE_DEVIATIONS = 1.0
"""Standard deviations by which the base's rate of failures may be higher than
observed."""

SOUND_PARTS = (0.1, 0.4, 0.8)
"""Parts of the responses of a sound version that may take one step longer in the
histogram, 1.5 times or up to twice as long. Two sets of sound servers differ by that
because of their load and of what their caches hold; the best explanation counts."""

SLOW_PARTS = (0.3, 0.6, 0.95)
SLOW_STEPS = (2, 3, 4)
"""Parts of the responses of a slow version that are slow, and steps of the histogram by
which they are: 2.5 to 7 times. All combinations are compared with the base."""

SLOW_WEIGHT = 0.5
"""Weight of a response in the comparison of times. Responses of one server within a
fraction of a second are slow together."""

SMOOTHING = 3.0
"""Responses by which the base's histogram is smoothed: that many are spread over all
its steps."""

MIN_CANDIDATE_RESPONSES = 4
MIN_BASE_RESPONSES = 8
"""Responses of each version from which on a route is compared."""

ALL_ROUTES = "*"
"""Name of the comparison over all routes together."""

_STEPS = range(len(RATIO_LIMITS) + 1)


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
    ended, busy_ms : int
        Complete responses, and the sum of the times that they took, milliseconds.
    """

    responses: int = 0
    failures: int = 0
    ended: int = 0
    busy_ms: int = 0
    times: list[int] = field(default_factory=lambda: [0] * (len(RATIO_LIMITS) + 1))

    def add_time(self, ratio: float) -> None:
        """Count a time to first byte, as a multiple of the expected time."""
        self.times[bisect_right(RATIO_LIMITS, ratio)] += 1

    def add(self, other: "VersionCounts", sign: int = 1) -> None:
        """Add the counts of another one, or subtract them."""
        self.responses += sign * other.responses
        self.failures += sign * other.failures
        self.ended += sign * other.ended
        self.busy_ms += sign * other.busy_ms
        for index, count in enumerate(other.times[: len(self.times)]):
            self.times[index] += sign * count

    def median_ratio(self) -> float:
        """Return a limit of the histogram below which half of the times are."""
        below, half = 0, sum(self.times) / 2
        for limit, count in zip(RATIO_LIMITS, self.times, strict=False):
            below += count
            if below >= half:
                return limit
        return math.inf

    def copy(self) -> "VersionCounts":
        """Return a copy."""
        return VersionCounts(
            self.responses, self.failures, self.ended, self.busy_ms, list(self.times)
        )


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


def compare(
    routes: Mapping[str, RouteCounts],
    *,
    with_times: bool = True,
    longer: Mapping[str, RouteCounts] | None = None,
) -> Finding:
    """Return the strongest evidence that the candidate is worse than the base.

    Parameters
    ----------
    with_times : bool
        Whether times to first byte are compared, besides failures.
    longer : mapping of str to RouteCounts or None
        The counts of a longer time, of which `routes` is a part. The base may fail as
        often as in the worse of both: within seconds a route that fails one call in
        seven may have none of 37 fail.
    """
    rates = _base_rates(routes)
    for route, rate in _base_rates(longer or {}).items():
        rates[route] = max(rate, rates.get(route, 0.0))
    findings = [NO_FINDING, _pooled_failures(routes, rates)]
    for route, counts in routes.items():
        findings.append(_failures(route, counts, rates[route]))
    if with_times:
        scores = {route: _slow_scores(counts) for route, counts in routes.items()}
        if len(routes) > 1:
            score = _mean_score(list(scores.values()))
            findings.append(_slow_finding(score, ALL_ROUTES, list(routes.values())))
        for route, counts in routes.items():
            score = _mean_score([scores[route]])
            findings.append(_slow_finding(score, route, [counts]))
    return max(findings, key=lambda finding: finding.score)


def _base_rates(routes: Mapping[str, RouteCounts]) -> dict[str, float]:
    return {
        route: _base_rate(counts.base.failures, counts.base.responses)
        for route, counts in routes.items()
    }


def _failures(route: str, counts: RouteCounts, rate: float) -> Finding:
    candidate, base = counts.candidate, counts.base
    if candidate.responses < MIN_CANDIDATE_RESPONSES:
        return NO_FINDING
    bad, total = min(candidate.failures, candidate.responses), candidate.responses
    return Finding(
        _score(bad, total, rate),
        route,
        "failures",
        (bad, total),
        (base.failures, base.responses),
    )


def _slow_scores(counts: RouteCounts) -> list[float]:
    """Return for each hypothesis how much better it explains the candidate's times."""
    base_total = sum(counts.base.times)
    if not any(counts.candidate.times) or base_total < MIN_BASE_RESPONSES:
        return [0.0] * (len(SLOW_PARTS) * len(SLOW_STEPS))
    steps = len(counts.base.times)
    weight = base_total + SMOOTHING
    base = [(n + SMOOTHING / steps) / weight for n in counts.base.times]
    times = counts.candidate.times
    sound = max(_log_likelihood(times, _shifted(base, 1, p)) for p in SOUND_PARTS)
    return [
        SLOW_WEIGHT * (_log_likelihood(times, _shifted(base, shift, part)) - sound)
        for part in SLOW_PARTS
        for shift in SLOW_STEPS
    ]


def _log_likelihood(counts: list[int], histogram: list[float]) -> float:
    return sum(
        count * math.log(part)
        for count, part in zip(counts, histogram, strict=True)
        if count
    )


def _shifted(histogram: list[float], steps: int, part: float) -> list[float]:
    """Return a histogram of which a part takes some steps longer."""
    result = [(1 - part) * value for value in histogram]
    for step, value in enumerate(histogram):
        result[min(step + steps, len(histogram) - 1)] += part * value
    return result


def _mean_score(routes: list[list[float]]) -> float:
    """Return the score of all hypotheses together, summed over routes."""
    sums = [sum(scores) for scores in zip(*routes, strict=True)]
    if not sums:
        return 0.0
    most = max(sums)
    total = sum(math.exp(score - most) for score in sums)
    return most + math.log(total / len(sums))


def _slow_finding(score: float, route: str, counts: list[RouteCounts]) -> Finding:
    if score <= 0.0:
        return NO_FINDING
    candidate = [sum(c.candidate.times[step] for c in counts) for step in _STEPS]
    base = [sum(c.base.times[step] for c in counts) for step in _STEPS]
    half = sum(base) / 2
    median = next(step for step in _STEPS if sum(base[: step + 1]) >= half)
    limit = min(median + 1, len(RATIO_LIMITS) - 1)
    return Finding(
        score,
        route,
        f"slower than {RATIO_LIMITS[limit]:g} times expected",
        (sum(candidate[limit + 1 :]), sum(candidate)),
        (sum(base[limit + 1 :]), sum(base)),
    )


def _pooled_failures(
    routes: Mapping[str, RouteCounts], rates: Mapping[str, float]
) -> Finding:
    """Compare the failures on all routes, each weighted by what the base would have."""
    bad = total = base_bad = base_total = 0
    expected = 0.0
    for route, counts in routes.items():
        candidate, base = counts.candidate, counts.base
        bad += min(candidate.failures, candidate.responses)
        total += candidate.responses
        expected += rates[route] * candidate.responses
        base_bad += base.failures
        base_total += base.responses
    if total < MIN_CANDIDATE_RESPONSES:
        return NO_FINDING
    score = _score(bad, total, expected / total)
    return Finding(score, ALL_ROUTES, "failures", (bad, total), (base_bad, base_total))


def _base_rate(bad: float, total: float) -> float:
    """Return the highest plausible rate of the base, plus the tolerance."""
    rate = (bad + 0.5) / (total + 1)
    deviation = math.sqrt(rate * (1 - rate) / (total + 1))
    return min(0.99, rate + BASE_DEVIATIONS * deviation + FAILURE_TOLERANCE)


def _score(bad: float, total: float, rate: float) -> float:
    """Return the logarithm of the Bayes factor of any rate against at most `rate`."""
    if total <= 0 or bad <= rate * total:
        return 0.0
    good = max(0.0, total - bad)
    any_rate = math.lgamma(bad + 1) + math.lgamma(good + 1) - math.lgamma(total + 2)
    base_rate = bad * math.log(rate) + good * math.log1p(-rate)
    return max(0.0, any_rate - base_rate)
