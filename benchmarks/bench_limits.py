"""Measure the effect of halving and doubling each limit of the scheduling policy.

``make bench-limits`` prints the table. Loads, seed and model are those of
``make bench-decisions``.
"""

from concurrent.futures import ProcessPoolExecutor

from bench_decisions import SEED, make_scheduler
from endive_core.policy import Policy
from endive_node.settings import PolicySection
from pydantic import ValidationError
from scenarios import SCENARIOS, run
from workloads import Outcome

WORKERS = 10
LOADS = ("steady 70%", "saturation, bulk", "overload 150%", "slow server", "zone gone")
FACTORS = (0.5, 2.0)


def with_scaled_limit(limit: str, factor: float) -> Policy | None:
    """Return the policy with one limit scaled.

    Returns ``None`` if the value stays the same or is out of the limit's range.
    """
    default = getattr(Policy(), limit)
    value = type(default)(default * factor)
    if value == default:
        return None
    try:
        return PolicySection.model_validate({limit: value})
    except ValidationError:
        return None


def run_case(load: str, policy: Policy) -> Outcome:
    """Run one load with one policy."""
    scenario = next(s for s in SCENARIOS if s.name == load)
    return run(scenario, lambda m, n: make_scheduler(m, n, policy), SEED)


def cases() -> list[tuple[str, Policy]]:
    """Return the policies to run with their names; the default comes first."""
    named = [("default", Policy())]
    for limit in PolicySection.model_fields:
        for factor in FACTORS:
            policy = with_scaled_limit(limit, factor)
            if policy is not None:
                named.append((f"{limit} = {getattr(policy, limit):g}", policy))
    return named


def row(name: str, outcomes: list[Outcome]) -> str:
    """Return one row: within target, goodput and recomputed tokens of each load."""
    cells = (
        f"{o.within:.3f} / {o.goodput:.3f} / {o.recomputed // 1000}" for o in outcomes
    )
    return f"| {name} | {' | '.join(cells)} |"


def main() -> None:
    """Run every load with each limit halved and doubled."""
    named = cases()
    with ProcessPoolExecutor(WORKERS) as pool:
        jobs = [
            [pool.submit(run_case, load, policy) for load in LOADS]
            for _, policy in named
        ]
        print(f"| limit | {' | '.join(LOADS)} |")
        print("| --- |" + " --- |" * len(LOADS))
        for (name, _), row_jobs in zip(named, jobs, strict=True):
            print(row(name, [job.result() for job in row_jobs]), flush=True)


if __name__ == "__main__":
    main()
