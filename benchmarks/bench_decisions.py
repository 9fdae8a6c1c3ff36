"""Compare the scheduler's outcomes under load with baselines; fixed seeds.

``make bench-decisions`` runs all scenarios and writes the tables and the plot of
docs/DECISIONS.md. ``--only NAME`` runs the scenarios whose name contains NAME, with the
scheduler alone, and writes no files.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random

import decision_cost
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
from scenarios import ORGANISATIONS, SCENARIOS, Scenario, run
from workloads import Outcome, max_min_shares

SEED = 5
WORKERS = 4
PAGE = Path(__file__).parent.parent / "docs" / "DECISIONS.md"
PLOT = PAGE.parent / "decisions.svg"
MARKERS = ("<!-- figures -->\n", "<!-- end of figures -->")


def make_scheduler(
    model: Model, number: int, policy: Policy | None = None
) -> Scheduler:
    """Return the production scheduler for one node."""
    scheduler = Scheduler.from_policy(policy or Policy(), Random(1000 + number))
    scheduler.set_servers(model.cluster.views())
    scheduler.set_nodes(model.cluster.nodes)
    scheduler.set_organisations(
        {name: Organisation() for name in (*ORGANISATIONS, "broker")}
    )
    return scheduler


def make_baseline(kind, model: Model, number: int):
    """Return a baseline scheduler of class `kind` for one node."""
    baseline = kind(model.cluster.views(), Random(1000 + number))
    baseline.nodes = model.cluster.nodes
    return baseline


BASELINES = {
    "round robin": RoundRobin,
    "least reported load": LeastReported,
    "affinity without bounds": UnboundedAffinity,
    "first come first served": FirstComeFirstServed,
}
DECIDERS = ("endivestack", *BASELINES)


def run_one(scenario: Scenario, decider: str) -> Outcome:
    """Run one scenario with the scheduler or baseline named `decider`."""
    if decider in BASELINES:
        kind = BASELINES[decider]
        return run(scenario, lambda m, n: make_baseline(kind, m, n), SEED)
    return run(scenario, make_scheduler, SEED)


def fair_share(scenario: Scenario, outcome: Outcome) -> float:
    """Return the least ratio of an organisation's tokens to its max-min fair share."""
    cluster = scenario.cluster
    capacity = cluster.servers * cluster.slots * cluster.decode_tokens_per_s
    capacity *= scenario.end - scenario.start
    fair = max_min_shares(outcome.offered, capacity)
    return min(outcome.shares.get(name, 0) / part for name, part in fair.items())


def outcome_rows(scenario: Scenario, results: dict[str, Outcome]) -> list[str]:
    """Return the table rows of one scenario."""
    rows = []
    for decider, o in results.items():
        p95 = f"{o.p95_s:.2f}" if o.p95_s < 1e6 else "never"
        cells = (
            scenario.name,
            decider,
            f"{o.within:.3f}",
            f"{o.within_worst:.3f}",
            p95,
            f"{o.refused:,}",
            f"{o.honest:.2f}" if o.returns else "-",
            f"{o.goodput:.3f}",
            f"{o.recomputed:,}",
            f"{o.wasted:,}",
            f"{o.server_s:.3f}",
            f"{fair_share(scenario, o):.2f}",
        )
        rows.append("| " + " | ".join(cells) + " |")
    return rows


OUTCOME_HEAD = [
    "| load | decisions | within target | worst organisation | first token at 95 in "
    "100, s | refusals | honest | goodput | recomputed tokens | wasted tokens | "
    "server-seconds a good answer | least of fair share |",
    "| --- | --- | " + " | ".join(["---:"] * 10) + " |",
]


def class_rows(results: dict[tuple[str, str], Outcome]) -> list[str]:
    """Return rows of the fraction within target by organisation and priority."""
    rows = ["| load | " + " | ".join((*ORGANISATIONS, "broker")) + " |"]
    rows.append("| --- |" + " ---: |" * (len(ORGANISATIONS) + 1))
    for (scenario, decider), o in results.items():
        if decider != DECIDERS[0]:
            continue
        cells = []
        for name in (*ORGANISATIONS, "broker"):
            parts = [
                f"{part:.3f}" + (f" (level {level})" if level else "")
                for (organisation, level), part in sorted(o.by_class.items())
                if organisation == name
            ]
            cells.append(", ".join(parts) or "-")
        rows.append(f"| {scenario} | " + " | ".join(cells) + " |")
    return rows


def cost_rows() -> list[str]:
    """Return rows of the time and memory that decisions take."""
    rows = [
        "| servers | queued | offer, us | dispatch, us | finish, us | report, us | "
        "held, KB |",
        "|" + " ---: |" * 7,
    ]
    sizes = [(n, 10) for n in decision_cost.SERVER_COUNTS]
    sizes += [(100, queued) for queued in decision_cost.QUEUE_LENGTHS[1:]]
    for servers, queued in sizes:
        c = decision_cost.cost(servers, queued)
        rows.append(
            f"| {servers:,} | {queued:,} | {c.offer_us:.0f} | {c.dispatch_us:.0f} | "
            f"{c.finish_us:.0f} | {c.report_us:.0f} | "
            f"{f'{c.kilobytes:,.0f}' if c.kilobytes else '-'} |"
        )
    rows += [
        "",
        "| servers | rendezvous, us | ring, us | making the ring, ms | comparing all "
        "servers, ms |",
        "|" + " ---: |" * 5,
    ]
    for servers in decision_cost.SERVER_COUNTS:
        rendezvous, ring = decision_cost.affinity_costs(servers)
        rows.append(
            f"| {servers:,} | {rendezvous:.0f} | {ring:.1f} | "
            f"{decision_cost.ring_ms(servers):.1f} | "
            f"{decision_cost.comparison_ms(servers):.2f} |"
        )
    return rows


def plot(results: dict[tuple[str, str], Outcome]) -> None:
    """Plot the fraction within target and the recomputed tokens."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "decisions"
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(11, 5), sharey=True)
    loads = [scenario.name for scenario in SCENARIOS]
    height = 0.8 / len(DECIDERS)
    for number, decider in enumerate(DECIDERS):
        places = [y + number * height for y in range(len(loads))]
        chosen = [results[load, decider] for load in loads]
        axes[0].barh(places, [o.within for o in chosen], height, label=decider)
        axes[1].barh(places, [o.recomputed / 1e6 for o in chosen], height)
    axes[0].axvline(0.95, color="black", linewidth=0.8, linestyle="--")
    axes[0].set_xlabel("admitted interactive calls within target")
    axes[1].set_xlabel("recomputed tokens, millions")
    axes[0].set_yticks([y + 0.3 for y in range(len(loads))], loads)
    axes[0].invert_yaxis()
    figure.legend(loc="upper center", ncols=len(DECIDERS), fontsize="small")
    figure.savefig(PLOT, metadata={"Date": None})


def write_page(rows: list[str]) -> None:
    """Replace the rows between the markers of the page."""
    before, rest = PAGE.read_text().split(MARKERS[0])
    after = rest.split(MARKERS[1])[1]
    PAGE.write_text(before + MARKERS[0] + "\n".join(rows) + "\n" + MARKERS[1] + after)


def main(arguments: list[str]) -> None:
    """Run the scenarios that `arguments` select; see the module."""
    only = arguments[1] if arguments[:1] == ["--only"] else ""
    deciders = DECIDERS[:1] if only else DECIDERS
    jobs = [(s, d) for s in SCENARIOS if only in s.name for d in deciders]
    with ProcessPoolExecutor(WORKERS) as pool:
        outcomes = list(pool.map(run_one, *zip(*jobs, strict=True)))
    results = {(s.name, d): o for (s, d), o in zip(jobs, outcomes, strict=True)}
    rows = list(OUTCOME_HEAD)
    for scenario in dict.fromkeys(s for s, _ in jobs):
        rows += outcome_rows(scenario, {d: results[scenario.name, d] for d in deciders})
    if not only:
        rows += ["", *class_rows(results), "", *cost_rows()]
    print("\n".join(rows))
    if not only:
        plot(results)
        write_page(rows)


if __name__ == "__main__":
    main(sys.argv[1:])
