import pytest
from endive_core.charts import IllegalEventError
from endive_core.claims import Claimant, ClaimTable, ClaimVerdict
from endive_core.records import Claim, Release


def claim(claim_id, key="court-7"):
    return Claim(claim_id, key, f"node-{claim_id}", f"request-{claim_id}")


def fold(*records, window_s=100.0):
    """Apply (time, record) pairs; return the table and the claims' verdicts."""
    table = ClaimTable(window_s)
    outcomes = [table.apply(n, t, r) for n, (t, r) in enumerate(records)]
    return table, [o.verdict for o in outcomes if o is not None]


WON, LOST, VOID = ClaimVerdict.WON, ClaimVerdict.LOST, ClaimVerdict.VOID


def test_first_claim_in_the_log_wins():
    """A caller sends one key to two nodes at once; exactly one of them may run it."""
    table, verdicts = fold((0, claim("a")), (0, claim("b")))
    assert verdicts == [WON, LOST]
    assert table.outcome("b").holder == claim("a")


def test_release_frees_the_key_for_the_next_attempt():
    _, verdicts = fold((0, claim("a")), (1, Release("a", "court-7")), (2, claim("b")))
    assert verdicts == [WON, WON]


def test_claim_that_lands_after_its_release_is_void():
    """An append of a claim is answered 504 and takes effect later, after its node has
    released the claim. If it held the key, the caller's next attempt would be refused
    although nothing was run."""
    _, verdicts = fold((0, Release("a", "court-7")), (1, claim("a")), (2, claim("b")))
    assert verdicts == [VOID, WON]


def test_repeated_append_of_a_released_claim_stays_decided():
    """The answer to an append is lost and the node appends the claim again; the second
    copy reaches the log after the release."""
    _, verdicts = fold(
        (0, claim("a")),
        (1, Release("a", "court-7")),
        (2, claim("a")),
        (3, claim("b")),
    )
    assert verdicts == [WON, WON, WON]


def test_lost_claim_blocks_until_released():
    """One table has expired the first holder and another still contains it. They must
    not let two different later claims win."""
    _, verdicts = fold((0, claim("a")), (60, claim("b")), (110, claim("c")))
    assert verdicts == [WON, LOST, LOST]


def test_memory_is_bounded_by_the_window():
    table = ClaimTable(window_s=10.0)
    for n in range(1000):
        table.apply(2 * n, float(n), claim(f"c{n}", f"key-{n}"))
        table.apply(2 * n + 1, float(n), Release(f"c{n}", f"key-{n}"))
    assert len(table.entries) <= 11
    assert len(table.released) <= 11
    assert not table.unreleased


def test_claim_withdrawn_before_the_decision_is_never_used():
    """The log is slow, the node answers "not run" to its caller, and then the claim
    wins. If the claim were used, the caller's next attempt would run the request a
    second time."""
    claimant = Claimant(claim("a"))
    assert claimant.withdraw() == Release("a", "court-7")
    table, _ = fold((0, claim("a")))
    assert claimant.settle(table.outcome("a")) is None
    with pytest.raises(IllegalEventError):
        claimant.use()


def test_used_claim_cannot_be_released():
    claimant = Claimant(claim("a"))
    table, _ = fold((0, claim("a")))
    claimant.settle(table.outcome("a"))
    claimant.use()
    with pytest.raises(IllegalEventError):
        claimant.withdraw()
    claimant.not_started()
    assert claimant.withdraw().claim_id == "a"


def test_second_copy_of_a_release_changes_nothing():
    """A node sends its release to a second writer because the first is slow. The second
    copy arrives after the key's next claim has won, and must not release that claim."""
    release = Release("a", "court-7")
    records = [(0, claim("a")), (1, release), (2, claim("b")), (3, release)]
    _, verdicts = fold(*records, (4, claim("c")))
    assert verdicts == [WON, WON, LOST]
