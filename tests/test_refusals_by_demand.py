"""Refusals by demand in simulated deployments, compared with the engines' real work."""

from pathlib import Path

import pytest
from experiments.deployment import Deployment
from experiments.options import Options
from experiments.play import Simulation

FOLDER = Path(__file__).parents[1] / "benchmarks" / "experiments" / "deployments"
IDLE_PART = 0.1
"""Part of a target below which an engine's waiting prompts are hardly any work."""


class RefusalWatch(Simulation):
    """A simulation that notes the engines' mean work at each refusal by demand.

    Attributes
    ----------
    work_at_refusals : list of float
        Time for the prompts at an engine, as a part of the refused request's target.
    """

    def __init__(self, deployment, seed):
        super().__init__(deployment, Options(), seed)
        self.work_at_refusals = []
        for node in self.nodes:
            contention = node.scheduler.contention
            contention.refusal = self._watched(contention, contention.refusal)

    def _watched(self, contention, real):
        def refusal(call, now):
            found = real(call, now)
            if found is not None:
                target_s = contention.levels[contention.rank(-call.level)].target_s
                self.work_at_refusals.append(self._work_s() / target_s)
            return found

        return refusal

    def _work_s(self):
        engines = self.servers.engines.values()
        tokens = sum(self._tokens(engine) for engine in engines)
        return tokens / len(engines) / (1000 * self.deployment.engines.tokens_per_ms)

    def _tokens(self, engine):
        tokens = engine.prefilling.prompt_tokens_left if engine.prefilling else 0.0
        for _, _, stream in engine.waiting_heap:
            tokens += stream.parts[-1][1] + stream.answered
            tokens += sum(count for _, count in engine._uncached_parts(stream))
        return tokens


@pytest.mark.parametrize("seed", [1, 2])
def test_requests_are_refused_only_while_prompts_wait_at_the_engines(seed):
    """A quarter of the refusals came while the engines had less than a tenth of the
    target to compute: the learned rate was too low, and prompts in progress counted as
    waiting."""
    deployment = Deployment.from_file(FOLDER / "messages-8.toml")
    watch = RefusalWatch(deployment, seed)
    watch.run()
    refusals = watch.work_at_refusals
    assert len(refusals) > 30
    too_early = sum(part < IDLE_PART for part in refusals)
    assert too_early <= 0.02 * len(refusals)
