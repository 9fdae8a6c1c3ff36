"""Figures of the causes of recomputed parts and of the delays of servers."""

from collections.abc import Mapping, Sequence

from experiments.deployment import Deployment
from experiments.play import Simulation
from experiments.policies import options_of
from experiments.traffic import Profile


def causes_of(job: tuple[str, str, int, int]) -> dict[str, float]:
    """Simulate one policy on one seed; return its figures by name."""
    file, name, seed, nodes = job
    deployment = Deployment.from_file(file)
    if nodes:
        deployment = deployment.model_copy(update={"nodes": nodes})
    simulation = Simulation(deployment, options_of(name), seed)
    profile = Profile.draw(deployment, seed)
    trace = simulation.servers.sizing
    for kind, begin, _, factor in profile.kind_bursts:
        trace.events.append((f"{kind} x{factor:.1f}", begin))
    for _, begin, _, factor in profile.organisation_bursts:
        trace.events.append((f"organisation x{factor:.1f}", begin))
    result = simulation.run()
    found = {"read, M": result.read / 1e6, "read again, M": result.read_again / 1e6}
    tokens = simulation.servers.recomputed.tokens
    for (cause, depth), count in sorted(tokens.items()):
        found[f"{cause}, part {depth}, M"] = count / 1e6
    return found | trace.figures()


def causes_table(results: Mapping[str, Sequence[Mapping[str, float]]]) -> str:
    """Return a Markdown table with a row per figure, a column per policy and seed."""
    columns = [(name, row) for name, found in results.items() for row in found]
    names = list(dict.fromkeys(key for _, row in columns for key in row))
    head = ["figure", *(name for name, _ in columns)]
    lines = ["| " + " | ".join(head) + " |", "| --- " * len(head) + "|"]
    for key in names:
        cells = [f"{row[key]:.2f}" if key in row else "" for _, row in columns]
        lines.append("| " + " | ".join([key, *cells]) + " |")
    return "\n".join(lines)
