"""Run every model check and print the state counts.

The exit code is 1 if a property is refuted, a state space is not fully explored, or a
mutant is not refuted.
"""

import sys
import time
from concurrent.futures import ProcessPoolExecutor

from spec.checker import Sweep, sweep, sweep_liveness
from spec.suite import LIVENESS, MUTANTS, SAFETY

WORKERS = 4


def main() -> int:
    """Check the specifications and their mutants; return the exit code."""
    started = time.monotonic()
    with ProcessPoolExecutor(WORKERS) as pool:
        safety = pool.map(sweep, SAFETY)
        liveness = pool.map(sweep_liveness, LIVENESS)
        mutants = list(pool.map(sweep, MUTANTS))
        sound = [*safety, *liveness]
    for result in (*sound, *mutants):
        print(result.describe())
    survivors = [mutant for mutant in mutants if not mutant.traces]
    failed = [result for result in sound if not result.holds]
    print_traces(failed)
    print(
        f"{sum(r.states for r in sound):,} states, {len(mutants)} mutants, "
        f"{len(failed)} failed, {len(survivors)} mutants not refuted, "
        f"{time.monotonic() - started:.0f} s"
    )
    return 1 if failed or survivors else 0


def print_traces(failed: list[Sweep]) -> None:
    """Print the shortest counterexample of each refuted property."""
    for result in failed:
        for name, trace in result.traces.items():
            print(f"{result.name} breaks {name!r}:")
            print("".join(f"  {label}\n" for label in trace), end="")


if __name__ == "__main__":
    sys.exit(main())
