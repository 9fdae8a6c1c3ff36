"""Compare policies for requests beyond an organisation's limit, in simulated time.

``PYTHONPATH=packages/endive_core/tests python benchmarks/bench_limit_order.py`` prints
the table of docs/design/limit-order.md.
"""

from collections import Counter
from statistics import mean, median
from unittest.mock import patch

from endive_core import limit_order
from endive_core.limit_order import LimitOrder
from endive_core.shared_limits import SharedLimits
from limit_order_simulation import FLOOD_AT_S, FLOOD_S, Caller, CallerFleet, flooded

SIZES = (6, 30, 86)
SEEDS = (1, 2, 3, 4)
FACTORS = (1.2, 2.6, 7.0)
TARGETS_S = {"clinic": 0.535, "refill": 1.219, "shop": 3.015}
IN_TIME_SHARE = 0.6
"""Share of the target by which a request has to be admitted to be in time."""
VALUES = {"clinic": 4.8, "refill": 0.68, "shop": 0.22}
LATE_VALUES = {"clinic": 0.19, "refill": 0.068, "shop": 0.032}
AFTER_S = 3.0

_receive = SharedLimits.receive
POLICIES = {
    "half of the rate promised at any time": {"NEAR_RATE_SHARE": 0.5},
    "a tenth at any time": {"LATER_RATE_SHARE": 0.1},
    "0.7 beyond 5 s": {"LATER_RATE_SHARE": 0.7},
    "windows of 0.5 s of 4 s": {"WINDOW_S": 0.5, "PERIOD_WINDOWS": 8},
    "no reserve for returns": {"RETURN_RESERVE": 0.0},
    "no reserve for urgent requests": {"PRIORITY_RESERVE": 0.0},
}


def value(caller: Caller) -> float:
    """Return what a caller's request is worth as it was admitted."""
    name = caller.kind.name
    if caller.admitted_at is None:
        return 0.0
    waited_s = caller.admitted_at - caller.first_at
    if waited_s >= caller.kind.deadline_s:
        return 0.0
    in_time = waited_s < IN_TIME_SHARE * TARGETS_S[name]
    return VALUES[name] if in_time else LATE_VALUES[name]


def part_of_value(fleet: CallerFleet) -> float:
    """Return the value of the flood's requests over that of all in time."""
    end = FLOOD_AT_S + FLOOD_S + AFTER_S
    callers = [c for c in fleet.callers if FLOOD_AT_S <= c.first_at < end]
    return sum(map(value, callers)) / sum(VALUES[c.kind.name] for c in callers)


def row(name: str, factor: float, *, ordered: bool = True) -> str:
    """Return the figures of one policy as a row."""
    fleets = [
        flooded(size, factor=factor, ordered=ordered, seed=seed)
        for size in SIZES
        for seed in SEEDS
    ]
    returned, admitted = map(sum, zip(*(f.honest() for f in fleets), strict=True))
    told = [c.told[0] for fleet in fleets for c in fleet.callers if c.told]
    sent, first, both = Counter(), Counter(), Counter()
    for caller in (c for fleet in fleets for c in fleet.callers):
        if FLOOD_AT_S <= caller.first_at < FLOOD_AT_S + FLOOD_S:
            kind, is_admitted = caller.kind.name, caller.admitted_at is not None
            sent[kind] += 1
            both[kind] += is_admitted
            first[kind] += is_admitted and not caller.told
    parts = (f"{both[k] / sent[k]:.2f} ({first[k] / sent[k]:.2f})" for k in VALUES)
    most = max(fleet.most_in_window() for fleet in fleets)
    return (
        f"| {name}, {factor:g} times | {admitted:,} of {returned:,} "
        f"| {median(told):.2f} | {mean(map(part_of_value, fleets)):.3f} "
        f"| {' | '.join(parts)} | {most:,.0f} |"
    )


def main() -> None:
    """Print a row for each policy."""
    for factor in FACTORS:
        print(row("before", factor, ordered=False), flush=True)
        print(row("as built", factor), flush=True)
    for name, changed in POLICIES.items():
        with patch.multiple(limit_order, **changed):
            print(row(name, 2.6), flush=True)
    with patch.object(LimitOrder, "in_window", lambda order, claim, now: False):
        print(row("no windows", 2.6), flush=True)
    with patch.object(
        SharedLimits,
        "receive",
        lambda limits, origin, spent, now, refused: _receive(
            limits, origin, spent, now
        ),
    ):
        print(row("refusals not exchanged", 2.6), flush=True)


if __name__ == "__main__":
    main()
