"""Results of each class of requests: its value, refusals and fairness."""

import statistics
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from experiments.deployment import Requests
from experiments.outcomes import EndedRequest

LATE_WORTH_SHARE = 0.1
"""Worth of a request answered after its target, as a fraction of one in time."""

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
        late_worth = late_worth_of(kind)
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


def late_worth_of(kind: Requests) -> float:
    """Return the worth of a late request of a class."""
    if kind.late_worth is None:
        return LATE_WORTH_SHARE * kind.worth
    return kind.late_worth


def kinds_table(results: Mapping[str, Sequence[Mapping[str, KindFigures]]]) -> str:
    """Return a Markdown table of each class of requests under each policy.

    Parameters
    ----------
    results : mapping of str to sequence of mapping of str to KindFigures
        For each policy one mapping a seed, from the class's name to its summary.
    """
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
        for kind in found[0]:
            figures = [f[kind] for f in found]
            reasons = sum((Counter(f.reasons) for f in figures), Counter())
            row = [policy, kind]
            row += [
                f"{statistics.mean(getattr(f, n) for f in figures):.3f}" for n in names
            ]
            row.append("; ".join(f"{n} {why}" for why, n in reasons.most_common(4)))
            lines.append("| " + " | ".join(row) + " |")
    return "\n".join(lines)
