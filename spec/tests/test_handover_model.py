import pytest

from spec.checker import sweep, sweep_liveness
from spec.handover import HandoverModel
from spec.mutants import HANDOVER_MUTANTS


@pytest.mark.parametrize("mutant", HANDOVER_MUTANTS, ids=lambda m: m.name)
def test_check_refutes_a_wrong_variant(mutant):
    """Each variant has one plausible fault while two zones are reclaimed: a caller is
    told "not run" of a request that runs, or a non-idempotent request runs twice."""
    assert sweep(mutant).traces


def test_non_idempotent_request_has_one_sender_while_two_zones_go():
    result = sweep(HandoverModel(non_idempotent=True))
    assert result.holds, result.traces
    assert result.states > 5_000


@pytest.mark.parametrize("kind", [True, False])
def test_every_accepted_request_can_still_end(kind):
    assert sweep_liveness(HandoverModel(kind, count=2)).holds
