import pytest

from spec.checker import sweep, sweep_liveness
from spec.claims import ClaimsModel
from spec.mutants import CLAIM_MUTANTS


@pytest.mark.parametrize("mutant", CLAIM_MUTANTS, ids=lambda m: m.name)
def test_check_refutes_a_wrong_variant(mutant):
    """Each variant has one plausible fault. If the check passed one of them, it would
    not detect the same fault in the node either."""
    assert sweep(mutant).traces


def test_specification_holds_with_repeated_appends_and_refusals():
    result = sweep(ClaimsModel((2, 1), copies=2, dispatches=2))
    assert result.holds, result.traces
    assert result.states > 10_000


def test_partial_sweep_is_not_taken_for_a_proof():
    assert not sweep(ClaimsModel((2, 1)), max_states=100).holds


def test_every_sending_can_still_be_answered():
    assert sweep_liveness(ClaimsModel((2, 1), dispatches=2)).holds


class RunsOnce(ClaimsModel):
    """States, wrongly, that nothing runs after an earlier "not run"."""

    def invariants(self):
        return {"unreachable": self.never_run_after_not_run}

    def never_run_after_not_run(self, state):
        first, second = state["submissions"]
        return not (first.executed == "no" and second.executed == "yes")


def test_key_of_a_request_that_was_not_run_still_runs():
    """The invariants would hold vacuously if nothing ever ran. A caller that was told
    "not run" must be able to get its answer by a retry."""
    assert sweep(RunsOnce((1, 1))).traces
