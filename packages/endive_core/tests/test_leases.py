import itertools

from endive_core.leases import DutyKind, DutyLog, DutyRecord, Lease

LEASE_S, MARGIN_S = 2.4, 0.5


def make_log():
    return DutyLog(lease_s=LEASE_S, margin_s=MARGIN_S)


def record(kind, holder, fence=0, **body):
    return DutyRecord(kind, holder, 1, fence, -1, body)


def test_the_first_claim_needs_no_wait():
    duty_log = make_log()
    duty_log.observe_end(0, 10.0)
    assert duty_log.may_claim("a", 10.0)


def test_a_claim_waits_until_the_holder_must_have_stopped():
    """A holder dies, or is paused and resumes before its lease ends. If a successor
    acted before the end of the lease, both would order servers."""
    duty_log = make_log()
    duty_log.fold(0, record(DutyKind.CLAIM, "a"))
    duty_log.observe_end(1, 10.0)
    lease = Lease()
    lease.extend(1, 10.0, duty_log)
    assert not duty_log.may_claim("b", 12.0)
    claim_at = next(
        t / 100 for t in itertools.count(1000) if duty_log.may_claim("b", t / 100)
    )
    assert not lease.held(claim_at)


def test_a_renewal_restarts_the_wait():
    duty_log = make_log()
    duty_log.fold(0, record(DutyKind.CLAIM, "a"))
    duty_log.observe_end(1, 10.0)
    duty_log.fold(1, record(DutyKind.RENEWAL, "a", 1))
    duty_log.observe_end(2, 12.0)
    assert not duty_log.may_claim("b", 14.0)
    assert duty_log.may_claim("b", 12.0 + LEASE_S + MARGIN_S)


def test_a_release_lets_another_node_act_at_once():
    duty_log = make_log()
    duty_log.fold(0, record(DutyKind.CLAIM, "a"))
    duty_log.fold(1, record(DutyKind.RELEASE, "a", 1))
    duty_log.observe_end(2, 10.0)
    assert duty_log.may_claim("b", 10.0)
    assert not duty_log.may_claim("a", 10.0)


def test_a_former_holder_waits_even_after_a_release():
    """Two nodes release the duties one after the other. If the first claimed them again
    at once, the platform would see the holders a, b, a within one lease."""
    duty_log = make_log()
    duty_log.fold(0, record(DutyKind.CLAIM, "a"))
    duty_log.fold(1, record(DutyKind.RELEASE, "a", 1))
    duty_log.fold(2, record(DutyKind.CLAIM, "b"))
    duty_log.fold(3, record(DutyKind.RELEASE, "b", 3))
    duty_log.observe_end(4, 10.0)
    assert not duty_log.may_claim("a", 10.5)
    assert duty_log.may_claim("c", 10.5)


def test_fences_rise_with_each_claim():
    duty_log = make_log()
    duty_log.fold(4, record(DutyKind.CLAIM, "a"))
    assert duty_log.tenure.fence == 5
    duty_log.fold(9, record(DutyKind.CLAIM, "a"))
    assert duty_log.tenure.fence == 10


def test_the_first_record_of_a_window_decides_its_counts():
    """A holder dies after it recorded a usage window, before or after it reported it.
    Its successor must report the same counts, or the platform gets two versions."""
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


def test_the_holder_is_known_after_the_log_dropped_the_claim():
    duty_log = make_log()
    duty_log.fold(40, DutyRecord(DutyKind.RENEWAL, "a", 1, 12, 6))
    duty_log.observe_end(41, 10.0)
    assert (duty_log.tenure.holder, duty_log.tenure.fence) == ("a", 12)
    assert duty_log.reported == 6
    assert not duty_log.may_claim("b", 10.1)


def test_the_wait_counts_from_a_peers_report_of_the_same_end():
    """A holder dies, and a candidate that has not read the log yet takes over. If the
    wait counted from its first read, no servers would be ordered for another three
    seconds."""
    duty_log = make_log()
    duty_log.observe_peer_end(1, 10.0)
    duty_log.fold(0, record(DutyKind.CLAIM, "a"))
    duty_log.observe_end(1, 12.8)
    assert not duty_log.may_claim("b", 12.8)
    assert duty_log.may_claim("b", 10.0 + LEASE_S + MARGIN_S)


def test_an_end_beyond_the_peers_report_restarts_the_wait():
    duty_log = make_log()
    duty_log.observe_peer_end(1, 10.0)
    duty_log.fold(0, record(DutyKind.CLAIM, "a"))
    duty_log.fold(1, record(DutyKind.RENEWAL, "a", 1))
    duty_log.observe_end(2, 12.8)
    assert not duty_log.may_claim("b", 12.8 + LEASE_S)
    assert duty_log.may_claim("b", 12.8 + LEASE_S + MARGIN_S)
