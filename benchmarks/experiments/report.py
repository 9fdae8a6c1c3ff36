"""Results of simulations, compared in pairs: a table and a plot."""

import statistics
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from experiments.deployment import Deployment, Requests
from experiments.play import EndedRequest, Result

SERVER_PRICE = 3.2
"""Price of one second of an on-demand engine, in the unit of the requests' worth: the
price in the users' price lists."""

LATE_WORTH_SHARE = 0.1
"""Worth of a request answered after its target, as a fraction of one in time."""

CONFIDENCE_FACTOR = 1.96
"""Half width of a 95 % confidence interval in standard errors."""


HELD_SHARE = 1 / 8
"""Part of the target from which on a refusal is a late one."""

MIN_ORGANISATION_REQUESTS = 20
"""Requests of an organisation from which on its share is meaningful."""


@dataclass(frozen=True)
class KindFigures:
    """Summary of one class of requests; fractions of all its requests.

    Attributes
    ----------
    value : float
        Earned worth over the worth of all its requests in time.
    served, late, refused, lost : float
        Answered, also late; answered late; refused in the end; broken.
    turned_away : float
        Refused at least once.
    retried : float
        Of the requests that were sent again after a refusal, those served in time.
    held : float
        Refused after more than an eighth of the target.
    largest : float
        Answered among the largest tenth of its prompts, over `served`.
    worst_organisation : float
        The same for the organisation that is served least often.
    yielded : float
        Sent as late from the start.
    reasons : mapping of str to int
        Requests by the reason of their last refusal.
    """

    value: float
    served: float
    late: float
    refused: float
    lost: float
    turned_away: float
    retried: float
    held: float
    largest: float
    worst_organisation: float
    yielded: float
    reasons: Mapping[str, int]

    @classmethod
    def from_requests(
        cls, kind: Requests, ended: Sequence[EndedRequest]
    ) -> "KindFigures":
        """Summarise the requests of one class."""
        count = max(1, len(ended))
        target_s = kind.target_ms / 1000
        ok = [end for end in ended if end.outcome == "ok"]
        late = [end for end in ok if end.first_s > target_s]
        again = [end for end in ended if end.refused_s]
        late_worth = _late_worth(kind)
        value = len(ok) - len(late) + len(late) * late_worth / kind.worth
        served = len(ok) / count
        by_size = sorted(ended, key=lambda end: end.tokens)
        by_organisation: dict[str, list[EndedRequest]] = {}
        for end in ended:
            by_organisation.setdefault(end.organisation, []).append(end)
        shares = [
            _served(ends)
            for ends in by_organisation.values()
            if len(ends) >= MIN_ORGANISATION_REQUESTS
        ]
        held_s = HELD_SHARE * target_s
        return cls(
            value / count,
            served,
            len(late) / count,
            sum(end.outcome == "refused" for end in ended) / count,
            sum(end.outcome == "lost" for end in ended) / count,
            len(again) / count,
            sum(e.outcome == "ok" and e.first_s <= target_s for e in again)
            / max(1, len(again)),
            sum(max(end.refused_s) > held_s for end in again) / count,
            _served(by_size[-max(1, count // 10) :]) / max(1e-9, served),
            min(shares, default=1.0) / max(1e-9, served),
            sum(end.yielded for end in ended) / count,
            Counter(end.why for end in ended if end.why),
        )


def _served(ended: Sequence[EndedRequest]) -> float:
    return sum(end.outcome == "ok" for end in ended) / max(1, len(ended))


def _late_worth(kind: Requests) -> float:
    if kind.late_worth is None:
        return LATE_WORTH_SHARE * kind.worth
    return kind.late_worth


@dataclass(frozen=True)
class Figures:
    """Summary of one simulation.

    Attributes
    ----------
    served : float
        Worth of the answered requests over the worth of all requests.
    servers : float
        Price of the engines over the worth of all requests.
    read_again : float
        Fraction of the prefilled tokens whose prefill was avoidable.
    late, lost : dict of str to float
        Fractions of the requests by class.
    first_p99_s : dict of str to float
        99th percentile of the time to the first token by class, seconds.
    """

    served: float
    servers: float
    read_again: float
    late: Mapping[str, float]
    lost: Mapping[str, float]
    first_p99_s: Mapping[str, float]
    kinds: Mapping[str, KindFigures]
    preemptions: int

    @property
    def worth(self) -> float:
        """Served worth minus the engines' price."""
        return self.served - self.servers


def figures_of(deployment: Deployment, result: Result) -> Figures:
    """Summarise the result of one simulation."""
    requested_worth = served_worth = 0.0
    late, lost, p99 = {}, {}, {}
    for name, kind in deployment.requests.items():
        ended = [end for end in result.ended if end.kind == name]
        target_s = kind.target_ms / 1000
        ok = [end for end in ended if end.outcome == "ok"]
        late_count = sum(end.first_s > target_s for end in ok)
        requested_worth += kind.worth * len(ended)
        served_worth += kind.worth * len(ok)
        served_worth -= (kind.worth - _late_worth(kind)) * late_count
        late[name] = late_count / max(1, len(ended))
        lost[name] = 1 - len(ok) / max(1, len(ended))
        first_token_times = sorted(end.first_s for end in ok) or [0.0]
        p99[name] = first_token_times[int(0.99 * (len(first_token_times) - 1))]
    avoidable_share = result.read_again / max(1.0, result.read)
    servers = SERVER_PRICE * result.servers_s / requested_worth
    by_kind = {
        name: KindFigures.from_requests(
            kind, [end for end in result.ended if end.kind == name]
        )
        for name, kind in deployment.requests.items()
    }
    return Figures(
        served_worth / requested_worth,
        servers,
        avoidable_share,
        late,
        lost,
        p99,
        by_kind,
        result.preemptions,
    )


def kinds_table(results: Mapping[str, Sequence[Figures]]) -> str:
    """Return a Markdown table of each class of requests under each policy."""
    names = [
        "value",
        "served",
        "late",
        "refused",
        "lost",
        "turned_away",
        "retried",
        "held",
        "largest",
        "worst_organisation",
        "yielded",
    ]
    head = ["policy", "class", *(name.replace("_", " ") for name in names), "reasons"]
    lines = ["| " + " | ".join(head) + " |", "| --- " * len(head) + "|"]
    for policy, found in results.items():
        for kind in found[0].kinds:
            figures = [f.kinds[kind] for f in found]
            reasons = sum((Counter(f.reasons) for f in figures), Counter())
            row = [policy, kind]
            row += [f"{_mean(getattr(f, n) for f in figures):.3f}" for n in names]
            row.append("; ".join(f"{n} {why}" for why, n in reasons.most_common(4)))
            lines.append("| " + " | ".join(row) + " |")
    return "\n".join(lines)


def table(results: Mapping[str, Sequence[Figures]]) -> str:
    """Return a Markdown table; differences are paired with the first policy.

    Parameters
    ----------
    plays : mapping of str to sequence of Figures
        For each policy one summary a seed, in the same order of seeds.
    """
    first = next(iter(results.values()))
    kinds = list(first[0].late)
    head = ["policy", "worth", "difference", "served", "engines", "read again"]
    head.append("preempted")
    head += [f"{kind} late, p99 s" for kind in kinds]
    lines = ["| " + " | ".join(head) + " |", "| --- " * len(head) + "|"]
    for name, found in results.items():
        row = [
            name,
            f"{_mean(f.worth for f in found):.3f}",
            _difference(found, first),
            f"{_mean(f.served for f in found):.3f}",
            f"{_mean(f.servers for f in found):.3f}",
            f"{_mean(f.read_again for f in found):.3f}",
            f"{_mean(f.preemptions for f in found):.0f}",
        ]
        for kind in kinds:
            late = _mean(f.late[kind] for f in found)
            p99 = _mean(f.first_p99_s[kind] for f in found)
            row.append(f"{100 * late:.1f} %, {p99:.2f}")
        lines.append("| " + " | ".join(row) + " |")
    return "\n".join(lines)


def plot(results: Mapping[str, Sequence[Figures]], path: Path) -> None:
    """Plot each policy's worth by seed, minus the first policy's."""
    from matplotlib.figure import Figure

    first = next(iter(results.values()))
    figure = Figure(figsize=(7, 0.6 + 0.4 * len(results)))
    axes = figure.subplots()
    for row, found in enumerate(results.values()):
        differences = _differences(found, first)
        axes.plot(differences, [row] * len(differences), "o", alpha=0.5)
        axes.plot([statistics.mean(differences)], [row], "k|", markersize=18)
    axes.set_yticks(range(len(results)), list(results))
    axes.axvline(0.0, color="grey", linewidth=0.8)
    axes.set_xlabel("difference in worth to the first policy, a point a seed")
    figure.tight_layout()
    figure.savefig(path)


def _difference(found: Sequence[Figures], first: Sequence[Figures]) -> str:
    if found is first:
        return ""
    differences = _differences(found, first)
    if len(differences) < 2:
        return f"{differences[0]:+.3f}"
    error = statistics.stdev(differences) / len(differences) ** 0.5
    return f"{statistics.mean(differences):+.4f} ± {CONFIDENCE_FACTOR * error:.4f}"


def _differences(found: Sequence[Figures], first: Sequence[Figures]) -> list[float]:
    pairs = zip(found, first, strict=True)
    return [one.worth - other.worth for one, other in pairs]


def _mean(values) -> float:
    return statistics.mean(list(values))
