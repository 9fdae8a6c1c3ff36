import pytest
from endive_core.fold import ConfigurationFold
from endive_core.records import Change

from spec.checker import sweep, sweep_liveness
from spec.configuration import ConfigurationModel, newest_usable_snapshot
from spec.mutants import FOLD_MUTANTS


@pytest.mark.parametrize("mutant", FOLD_MUTANTS, ids=lambda m: m.name)
def test_check_refutes_a_wrong_variant(mutant):
    """Each variant has one plausible fault, by which nodes differ permanently or an
    operator gets a wrong outcome."""
    assert sweep(mutant).traces


def test_specification_holds_for_racing_operators_and_a_restarted_node():
    result = sweep(ConfigurationModel())
    assert result.holds, result.traces
    assert result.states > 4_000


def test_every_change_can_still_be_in_force_everywhere():
    assert sweep_liveness(ConfigurationModel(truncations=0)).holds


def test_late_snapshot_before_a_gap_is_not_usable():
    """A snapshot's append takes effect late, when the log no longer keeps the records
    right after those that the snapshot covers. A node that starts from it would lack
    accepted changes permanently."""
    fold = ConfigurationFold()
    fold.apply(0, Change("a", "priority", "vip", body={}))
    early = fold.snapshot()
    fold.apply(1, Change("b", "priority", "vip", body={}))
    late = fold.snapshot()
    assert newest_usable_snapshot(1, [(2, late), (3, early)]) == late
    assert newest_usable_snapshot(2, [(3, early)]) is None
    assert newest_usable_snapshot(2, [(2, late), (3, early)]) == late
