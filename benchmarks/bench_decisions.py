"""Outcomes of the decisions under load against baselines; fixed seeds.

Run by ``make bench-decisions``; the table and the plot stand in docs/DECISIONS.md.
"""

import sys
from random import Random

from baselines import (
    FirstComeFirstServed,
    LeastReported,
    RoundRobin,
    UnboundedAffinity,
)
from endive_core.policy import Policy
from endive_core.resources import Organisation
from endive_core.scheduler import Scheduler
from load_model import Model
from scenarios import ORGANISATIONS, SCENARIOS, run

SEED = 5


def make_scheduler(
    model: Model, number: int, policy: Policy | None = None
) -> Scheduler:
    """Return the real decision object for one node."""
    made = Scheduler.from_policy(policy or Policy(), Random(1000 + number))
    made.set_servers(model.cluster.views())
    made.set_nodes(model.cluster.nodes)
    made.set_organisations(
        {name: Organisation() for name in (*ORGANISATIONS, "broker")}
    )
    return made


def baseline(kind):
    """Return a maker of baselines of `kind`."""

    def make(model: Model, number: int):
        made = kind(model.cluster.views(), Random(1000 + number))
        made.nodes = model.cluster.nodes
        return made

    return make


DECIDERS = {
    "endive": make_scheduler,
    "round robin": baseline(RoundRobin),
    "least reported": baseline(LeastReported),
    "affinity, no bounds": baseline(UnboundedAffinity),
    "fcfs": baseline(FirstComeFirstServed),
}


def selected(argument):
    """Return the deciders to run."""
    return {k: v for k, v in DECIDERS.items() if argument in k}


def main(names: list[str]) -> None:
    """Run all scenarios, or those whose name holds one of `names`."""
    for scenario in SCENARIOS:
        wanted = [name for name in names if name != "-e"]
        if wanted and not any(name in scenario.name for name in wanted):
            continue
        print(scenario.name)
        for name, make in selected("endive" if "-e" in names else "").items():
            o = run(scenario, make, SEED)
            print(
                f"  {name:20} within {o.within:.3f} worst {o.within_worst:.3f}",
                f"p95 {o.p95_s:7.2f} refused {o.refused:6} gave up {o.gave_up:5}",
                f"honest {o.honest:.2f} goodput {o.goodput:.3f}",
                f"recomputed {o.recomputed:9} of {o.prefilled:9}",
                f"wasted {o.wasted:7} server-s {o.server_s:.3f}",
                flush=True,
            )


if __name__ == "__main__":
    main(sys.argv[1:])
