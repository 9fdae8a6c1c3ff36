import itertools

from endive_core.leases import DutyKind, DutyLog, DutyRecord, Lease

LEASE_S, MARGIN_S = 2.4, 0.5


def make_log():
    return DutyLog(lease_s=LEASE_S, margin_s=MARGIN_S)


def record(kind, holder, fence=0, **body):
    return DutyRecord(kind, holder, 1, fence, -1, body)


def test_the_first_claim_needs_no_wait():
    duty_log = make_log()
    duty_log.see_end(0, 10.0)
    assert duty_log.may_claim("a", 10.0)


def test_a_claim_waits_until_the_holder_must_have_stopped():
    """A holder dies, or pauses and wakes with its lease in mind. A successor that acts
    before the lease is over would order servers beside it."""
    duty_log = make_log()
    duty_log.fold(0, record(DutyKind.CLAIM, "a"))
    duty_log.see_end(1, 10.0)
    lease = Lease()
    lease.extend(1, 10.0, duty_log)
    assert not duty_log.may_claim("b", 12.0)
    claim_at = next(
        t / 100 for t in itertools.count(1000) if duty_log.may_claim("b", t / 100)
    )
    assert not lease.held(claim_at)


def test_a_renewal_starts_the_wait_anew():
    duty_log = make_log()
    duty_log.fold(0, record(DutyKind.CLAIM, "a"))
    duty_log.see_end(1, 10.0)
    duty_log.fold(1, record(DutyKind.RENEWAL, "a", 1))
    duty_log.see_end(2, 12.0)
    assert not duty_log.may_claim("b", 14.0)
    assert duty_log.may_claim("b", 12.0 + LEASE_S + MARGIN_S)


def test_a_release_lets_another_node_act_at_once():
    duty_log = make_log()
    duty_log.fold(0, record(DutyKind.CLAIM, "a"))
    duty_log.fold(1, record(DutyKind.RELEASE, "a", 1))
    duty_log.see_end(2, 10.0)
    assert duty_log.may_claim("b", 10.0)
    assert not duty_log.may_claim("a", 10.0)


def test_a_former_holder_waits_even_after_a_release():
    """Two nodes stop one after the other. If the first took the duties back at once,
    the platform would see holders a, b, a within a lease."""
    duty_log = make_log()
    duty_log.fold(0, record(DutyKind.CLAIM, "a"))
    duty_log.fold(1, record(DutyKind.RELEASE, "a", 1))
    duty_log.fold(2, record(DutyKind.CLAIM, "b"))
    duty_log.fold(3, record(DutyKind.RELEASE, "b", 3))
    duty_log.see_end(4, 10.0)
    assert not duty_log.may_claim("a", 10.5)
    assert duty_log.may_claim("c", 10.5)


def test_fences_rise_with_each_claim():
    duty_log = make_log()
    duty_log.fold(4, record(DutyKind.CLAIM, "a"))
    assert duty_log.tenure.fence == 5
    duty_log.fold(9, record(DutyKind.CLAIM, "a"))
    assert duty_log.tenure.fence == 10


def test_the_first_record_of_a_window_decides_its_counts():
    """A holder dies after it recorded a window and before or after it reported it. Its
    successor must report the same counts, or the platform gets two."""
    duty_log = make_log()
    duty_log.fold(0, record(DutyKind.CLAIM, "a"))
    duty_log.fold(1, record(DutyKind.USAGE, "a", 1, window=7, counts={"o": 3}))
    duty_log.fold(2, record(DutyKind.CLAIM, "b"))
    duty_log.fold(3, record(DutyKind.USAGE, "b", 3, window=7, counts={"o": 4}))
    assert duty_log.usage[7] == {"o": 3}
    assert duty_log.reported == 7


def test_late_records_of_a_former_holder_are_void():
    duty_log = make_log()
    duty_log.fold(0, record(DutyKind.CLAIM, "a"))
    duty_log.fold(1, record(DutyKind.CLAIM, "b"))
    duty_log.fold(2, record(DutyKind.USAGE, "a", 1, window=7, counts={"o": 3}))
    assert 7 not in duty_log.usage
    duty_log.fold(3, record(DutyKind.RELEASE, "a", 1))
    assert not duty_log.tenure.released


def test_a_log_that_forgot_its_claim_still_names_the_holder():
    duty_log = make_log()
    duty_log.fold(40, DutyRecord(DutyKind.RENEWAL, "a", 1, 12, 6))
    duty_log.see_end(41, 10.0)
    assert (duty_log.tenure.holder, duty_log.tenure.fence) == ("a", 12)
    assert duty_log.reported == 6
    assert not duty_log.may_claim("b", 10.1)


def test_the_wait_counts_from_when_the_log_was_told_to_have_moved():
    """A holder dies, and a candidate that never read the log takes over. Counted from
    its first read, servers would not be ordered for three seconds more."""
    duty_log = make_log()
    duty_log.hear_end(1, 10.0)
    duty_log.fold(0, record(DutyKind.CLAIM, "a"))
    duty_log.see_end(1, 12.8)
    assert not duty_log.may_claim("b", 12.8)
    assert duty_log.may_claim("b", 10.0 + LEASE_S + MARGIN_S)


def test_a_log_that_moved_on_since_it_was_told_of_starts_the_wait():
    duty_log = make_log()
    duty_log.hear_end(1, 10.0)
    duty_log.fold(0, record(DutyKind.CLAIM, "a"))
    duty_log.fold(1, record(DutyKind.RENEWAL, "a", 1))
    duty_log.see_end(2, 12.8)
    assert not duty_log.may_claim("b", 12.8 + LEASE_S)
    assert duty_log.may_claim("b", 12.8 + LEASE_S + MARGIN_S)
