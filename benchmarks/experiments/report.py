"""Results of simulations, compared in pairs: a table and a plot."""

import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from experiments.deployment import Deployment
from experiments.kinds import KindFigures, late_worth_of
from experiments.outcomes import Result

SERVER_PRICE = 3.2
"""Price of one second of an on-demand engine, in the unit of the requests' worth: the
price in the users' price lists."""

CONFIDENCE_FACTOR = 1.96
"""Half width of a 95 % confidence interval in standard errors."""


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
    first_p50_s : dict of str to float
        Its median.
    read_mtokens, read_again_mtokens : float
        Prefilled tokens, and those whose prefill was avoidable, millions.
    fetches, needless_fetches, empty_fetches, dead_fetches : int
        Fetches between engines, and those whose destination had all parts, whose source
        had none, and whose source was gone.
    fetched_mtokens : float
        Tokens that they copied, millions.
    kinds : dict of str to KindFigures
        Summary of each class.
    preemptions : int
        Requests that an engine preempted.
    """

    served: float
    servers: float
    read_again: float
    late: Mapping[str, float]
    lost: Mapping[str, float]
    first_p99_s: Mapping[str, float]
    first_p50_s: Mapping[str, float]
    read_mtokens: float
    read_again_mtokens: float
    fetches: int
    needless_fetches: int
    empty_fetches: int
    dead_fetches: int
    fetched_mtokens: float
    kinds: Mapping[str, KindFigures]
    preemptions: int

    @property
    def worth(self) -> float:
        """Served worth minus the engines' price."""
        return self.served - self.servers


def figures_of(deployment: Deployment, result: Result) -> Figures:
    """Summarise the result of one simulation."""
    requested_worth = served_worth = 0.0
    late, lost, p99, p50, kinds = {}, {}, {}, {}, {}
    for name, kind in deployment.requests.items():
        ended = [end for end in result.ended if end.kind == name]
        target_s = kind.target_ms / 1000
        ok = [end for end in ended if end.outcome == "ok"]
        late_count = sum(end.first_s > target_s for end in ok)
        requested_worth += kind.worth * len(ended)
        served_worth += kind.worth * len(ok)
        served_worth -= (kind.worth - late_worth_of(kind)) * late_count
        kinds[name] = KindFigures.from_requests(kind, ended)
        late[name] = late_count / max(1, len(ended))
        lost[name] = 1 - len(ok) / max(1, len(ended))
        first_token_times = sorted(end.first_s for end in ok) or [0.0]
        p50[name] = first_token_times[len(first_token_times) // 2]
        p99[name] = first_token_times[int(0.99 * (len(first_token_times) - 1))]
    avoidable_share = result.read_again / max(1.0, result.read)
    servers = SERVER_PRICE * result.servers_s / requested_worth
    links = result.links
    return Figures(
        served_worth / requested_worth,
        servers,
        avoidable_share,
        late,
        lost,
        p99,
        p50,
        result.read / 1e6,
        result.read_again / 1e6,
        links.fetches,
        links.needless,
        links.empty,
        links.dead,
        links.fetched / 1e6,
        kinds,
        result.preemptions,
    )


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
    head += [f"{kind} late, lost, p50 and p99 s" for kind in kinds]
    has_fetches = any(f.fetches for found in results.values() for f in found)
    if has_fetches:
        head += [
            "read, read again, fetched, M tokens",
            "fetches, needless, empty, dead",
        ]
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
            lost = _mean(f.lost[kind] for f in found)
            p50 = _mean(f.first_p50_s[kind] for f in found)
            p99 = _mean(f.first_p99_s[kind] for f in found)
            row.append(f"{100 * late:.1f} %, {100 * lost:.1f} %, {p50:.3f}, {p99:.2f}")
        if has_fetches:
            tokens = [
                _mean(f.read_mtokens for f in found),
                _mean(f.read_again_mtokens for f in found),
                _mean(f.fetched_mtokens for f in found),
            ]
            row.append(", ".join(f"{count:.2f}" for count in tokens))
            counts = [
                _mean(f.fetches for f in found),
                _mean(f.needless_fetches for f in found),
                _mean(f.empty_fetches for f in found),
                _mean(f.dead_fetches for f in found),
            ]
            row.append(", ".join(f"{count:.0f}" for count in counts))
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
