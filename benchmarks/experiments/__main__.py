"""Command line: ``python -m experiments compare FILE --policies all,no-backlogs``."""

from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import fire

from experiments.causes import causes_of, causes_table
from experiments.deployment import Deployment
from experiments.kinds import kinds_table
from experiments.play import Simulation
from experiments.policies import POLICIES, options_of
from experiments.report import Figures, figures_of, plot, table

WORKERS = 4


def compare(
    file: str,
    policies: str = "all,no-backlogs,no-affinity",
    seeds: int = 6,
    page: str = "",
    picture: str = "",
    nodes: int = 0,
    workers: int = WORKERS,
) -> None:
    """Simulate policies on the same seeds; print a table with paired differences.

    Parameters
    ----------
    file
        A deployment in TOML; see ``benchmarks/experiments/deployments``.
    policies
        Names separated by commas; the others are compared with the first. A name may
        join several by a plus sign, as in ``before+fetch``.
    seeds
        Number of seeds, from 1 upwards.
    page, picture
        Files to which the tables and the plot are written, if given.
    nodes
        Number of nodes, if it is to differ from the deployment's.
    workers
        Processes that simulate at the same time.
    """
    names = policies.split(",") if isinstance(policies, str) else list(policies)
    for name in names:
        options_of(name)
    jobs = [(file, name, seed, nodes) for name in names for seed in range(1, seeds + 1)]
    with ProcessPoolExecutor(workers) as pool:
        found = list(pool.map(run_job, jobs))
    results = {name: [] for name in names}
    for (_, name, *_), figures in zip(jobs, found, strict=True):
        results[name].append(figures)
    kinds = {
        name: [figures.kinds for figures in found] for name, found in results.items()
    }
    markdown = table(results) + "\n\n" + kinds_table(kinds)
    print(markdown)
    if page:
        Path(page).write_text(markdown + "\n")
    if picture:
        plot(results, Path(picture))


def causes(
    file: str,
    policies: str = "all",
    seeds: int = 3,
    nodes: int = 0,
    workers: int = WORKERS,
) -> None:
    """Print why parts are prefilled again and how late servers are, by seed.

    The parameters are those of :func:`compare`.
    """
    names = policies.split(",") if isinstance(policies, str) else list(policies)
    jobs = [(file, name, seed, nodes) for name in names for seed in range(1, seeds + 1)]
    with ProcessPoolExecutor(workers) as pool:
        found = list(pool.map(causes_of, jobs))
    results = {name: [] for name in names}
    for (_, name, *_), row in zip(jobs, found, strict=True):
        results[name].append(row)
    print(causes_table(results))


def run_job(job: tuple[str, str, int, int]) -> Figures:
    """Simulate one policy on one seed.

    `job` is a file, a policy, a seed and a number of nodes, or 0 for the deployment's.
    """
    file, name, seed, nodes = job
    deployment = Deployment.from_file(file)
    if nodes:
        deployment = deployment.model_copy(update={"nodes": nodes})
    return figures_of(deployment, Simulation(deployment, options_of(name), seed).run())


if __name__ == "__main__":
    fire.Fire(
        {
            "compare": compare,
            "causes": causes,
            "policies": lambda: print(*POLICIES, sep="\n"),
        }
    )
