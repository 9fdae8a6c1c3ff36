"""Division of the prompt tokens that can begin in time among organisations."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass
class Shares:
    """What part of a level's requests can be served in time.

    Attributes
    ----------
    overall : float
        Part of all tokens asked for.
    fraction : float
        Part of the requests of organisations that no node names.
    organisations : dict of str to float
        Part of the requests of those that are named.
    within : dict of str to bool
        Whether the named ones ask for no more than an equal share of the capacity.
    recovery_s : float
        Time until the backlog allows all requests again, seconds.
    """

    overall: float = 1.0
    fraction: float = 1.0
    organisations: dict[str, float] = field(default_factory=dict)
    within: dict[str, bool] = field(default_factory=dict)
    recovery_s: float = 0.0

    def of(self, organisation: str) -> float:
        """Return the part of an organisation's requests that can be in time."""
        return self.organisations.get(organisation, self.fraction)


def divide(
    budget: float,
    offered: float,
    named: Mapping[str, float],
    weights: Mapping[str, float],
    *,
    min_share: float,
) -> Shares:
    """Divide the budget of one priority among organisations by max-min fairness.

    Parameters
    ----------
    budget, offered : float
        Tokens a second that can begin in time, and that are asked for.
    named : mapping of str to float
        Those asked for by the organisations that nodes name.
    weights : mapping of str to float
        Declared shares of organisations; 1 by default.
    min_share : float
        Part of the usual fraction that each organisation keeps at least.
    """
    rest = max(0.0, offered - sum(named.values()))
    overall = min(1.0, budget / max(1e-9, offered))
    if overall >= 1.0:
        active = max(2, len(named))
        return Shares(
            within={n: asked <= budget / active for n, asked in named.items()}
        )
    remaining, ceiling = budget - rest, 0.0
    if remaining <= 0:
        return Shares(overall, overall, dict.fromkeys(named, overall))
    by_name = {name: weights.get(name, 1.0) for name in named}
    total_weight = sum(by_name.values())
    for name in sorted(named, key=lambda n: named[n] / by_name[n]):
        ceiling = remaining / total_weight
        if named[name] > ceiling * by_name[name]:
            break
        remaining -= named[name]
        total_weight -= by_name[name]
    least = min_share * overall
    fractions = {
        name: max(least, min(1.0, ceiling * by_name[name] / max(1e-9, asked)))
        for name, asked in named.items()
    }
    return Shares(overall, 1.0, fractions, {n: f >= 1.0 for n, f in fractions.items()})
