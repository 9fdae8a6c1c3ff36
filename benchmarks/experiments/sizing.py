"""How late simulated servers are there for the load, and how many nobody needed."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from endive_core.capacity import TOLERATED_ZONE_LOSSES
from endive_core.load_sizing import TARGET_UTILISATION
from endive_gateway.placing import INTERLEAVING_FACTOR

from experiments.deployment import Deployment
from experiments.traffic import Arrival

SMOOTHING_S = 1.0
"""Time over which the arriving work is averaged, seconds."""

EVENT_S = 10.0
"""Time after the start of a burst or reclaim in which capacity is awaited, seconds."""


@dataclass(frozen=True)
class Sample:
    """Numbers of engines at one time.

    Attributes
    ----------
    ready, paid : int
        Engines that serve and are not about to leave, and all that cost money.
    measured : float
        Work per second that the autoscaler measures, in engines.
    """

    at: float
    ready: int
    paid: int
    measured: float


@dataclass
class SizingTrace:
    """Arriving work and numbers of engines of one simulation.

    Work counts what each request computes whatever is cached, scaled so that its mean
    equals that of the work that the autoscaler measures.

    Attributes
    ----------
    work : dict of int to float
        Arriving work by tenth of a second, seconds of one engine.
    events : list of (str, float)
        Starts of the bursts and reclaims.
    """

    deployment: Deployment
    work: dict[int, float] = field(default_factory=lambda: defaultdict(float))
    samples: list[Sample] = field(default_factory=list)
    events: list[tuple[str, float]] = field(default_factory=list)

    def arrive(self, arrival: Arrival) -> None:
        """Count the work of an arriving request."""
        engines = self.deployment.engines
        prompt_s = arrival.parts[-1][1] / engines.tokens_per_ms / 1000
        decode_s = arrival.answer_tokens * engines.step_ms / 1000 / engines.slots
        self.work[int(10 * arrival.at)] += prompt_s / INTERLEAVING_FACTOR + decode_s

    def needed(self) -> list[float]:
        """Return the engines that the arriving work requires, by sample."""
        end = min(self.deployment.seconds, self.samples[-1].at)
        samples = [s for s in self.samples if s.at <= end]
        total = sum(self.work.values()) / self.deployment.seconds
        measured = sum(s.measured for s in samples) / len(samples)
        scale = measured / total / TARGET_UTILISATION
        half = int(5 * SMOOTHING_S)
        return [
            scale
            * sum(self.work.get(i, 0.0) for i in range(at - half, at + half))
            / SMOOTHING_S
            for at in (int(10 * s.at) for s in samples)
        ]

    def figures(self) -> dict[str, float]:
        """Return engine-seconds needed, missing, paid and not needed, and delays."""
        needed = self.needed()
        pairs = list(zip(self.samples, needed, strict=False))
        step_s = self.samples[1].at - self.samples[0].at
        zones = self.deployment.zones
        kept = zones / max(1, zones - TOLERATED_ZONE_LOSSES)
        found = {
            "needed": step_s * sum(needed),
            "missing": step_s * sum(max(0.0, n - s.ready) for s, n in pairs),
            "paid": step_s * sum(s.paid for s, _ in pairs),
            "not needed": step_s * sum(max(0.0, s.paid - kept * n) for s, n in pairs),
        }
        return found | dict(self._delays(pairs))

    def _delays(self, pairs) -> Iterator[tuple[str, float]]:
        """Yield for each event the seconds of `EVENT_S` after it without capacity."""
        step_s = pairs[1][0].at - pairs[0][0].at
        for name, begin in self.events:
            after = [(s, n) for s, n in pairs if begin <= s.at < begin + EVENT_S]
            short = [s.at for s, n in after if s.ready < n]
            yield f"{name} at {begin:.0f}: short s", step_s * len(short)
            yield f"{name} at {begin:.0f}: last s", max(short, default=begin) - begin
