import pytest
from endive_core.pooled_servers import FAILURE_PAUSE_S, Outcome
from endive_core.slot_pool import MAX_RETRY_AFTER_S, MIN_WAIT_S, SlotPool
from endive_core.slot_queue import PoolRequest

TARGET_S = 0.4


class Pool:
    """A pool and what it has replied."""

    def __init__(self, servers=1, slots=1):
        self.replies = {}
        self.pool = SlotPool(self.reply)
        self.declare({f"i-{n}": (1, slots) for n in range(servers)})

    def reply(self, key, reply):
        if reply.is_final:
            self.replies[key[1]] = reply

    def declare(self, servers):
        self.pool.set_servers(servers)

    def ask(self, number, now=0.0, *, node="n", organisation="o", **options):
        values = {"priority": 5, "due_s": TARGET_S, "lease_s": 9.0} | options
        due = now + values.pop("due_s")
        request = PoolRequest(
            (node, number), organisation=organisation, due=due, **values
        )
        self.pool.request(request, now)

    def end(self, number, now, outcome=Outcome.ANSWERED, node="n"):
        self.pool.release((node, number), outcome, now)

    def granted(self):
        """Return the requests with a slot, in the order in which they got it."""
        return [n for n, reply in self.replies.items() if reply.server]

    def declined(self):
        return [n for n, reply in self.replies.items() if not reply.server]

    def server_of(self, number):
        return self.replies[number].server


def fill(pool, numbers, now=0.0, **options):
    """Take all slots, the places in advance included."""
    for number in numbers:
        pool.ask(number, now, **options)
    assert pool.granted() == list(numbers)


def test_a_request_takes_a_slot_at_any_server():
    """One would queue at the server that its node chose."""
    pool = Pool(servers=3, slots=2)
    for number in range(6):
        pool.ask(number)
    servers = [pool.server_of(number) for number in range(6)]
    assert sorted(servers) == ["i-0", "i-0", "i-1", "i-1", "i-2", "i-2"]


def test_a_request_waits_for_the_first_slot_that_is_free_anywhere():
    pool = Pool(servers=2, slots=1)
    fill(pool, range(4))
    pool.ask(9, 0.01)
    assert 9 not in pool.replies
    pool.end(1, 0.02)
    assert pool.server_of(9) == pool.server_of(1)


def test_priority_goes_first():
    pool = Pool()
    fill(pool, range(2))
    pool.ask(7, priority=2)
    pool.ask(8, priority=0)
    pool.end(0, 0.05)
    pool.end(1, 0.05)
    assert pool.granted()[2:] == [8, 7]


def test_organisations_take_turns():
    """One that sends a burst would hold up the others until its end."""
    pool = Pool(slots=2)
    fill(pool, range(3), organisation="many")
    for number in (3, 4):
        pool.ask(number, organisation="many", due_s=0.3)
    pool.ask(5, organisation="few")
    for number in range(3):
        pool.end(number, 0.05)
    assert pool.granted()[3] == 5


def test_the_earliest_deadline_of_an_organisation_goes_first():
    pool = Pool(slots=2)
    fill(pool, range(3))
    pool.ask(7, due_s=0.4)
    pool.ask(8, due_s=0.3)
    pool.end(0, 0.05)
    assert pool.granted()[3:] == [8]


def test_what_can_not_be_served_in_time_is_declined_at_once():
    """A late refusal costs callers more than an immediate one."""
    pool = Pool(slots=2)
    fill(pool, range(3))
    for number in range(3, 40):
        pool.ask(number)
    declined = pool.declined()
    assert len(declined) >= 25
    assert all(pool.replies[number].retry_after_s > 0 for number in declined)
    pool.ask(99, due_s=4.0)
    assert 99 not in pool.declined()


def test_nothing_is_declined_while_a_slot_is_free():
    """One that is late already may still be answered before its deadline."""
    pool = Pool()
    pool.ask(0, due_s=-1.0)
    assert pool.granted() == [0]


def test_a_request_is_declined_when_its_time_is_over():
    pool = Pool()
    fill(pool, range(2))
    pool.ask(7, due_s=0.0)
    pool.pool.update(MIN_WAIT_S + 0.001)
    assert pool.declined() == [7]


def test_the_server_is_chosen_that_ends_the_request_first():
    pool = Pool(servers=2, slots=2)
    pool.pool.report("i-0", 0, 2.5, 0.0)
    pool.pool.report("i-1", 0, 1.0, 0.0)
    fill(pool, range(2))
    assert {pool.server_of(0), pool.server_of(1)} == {"i-1"}
    pool.ask(2)
    assert pool.server_of(2) == "i-0"


def test_a_slowdown_is_forgotten_that_is_no_longer_reported():
    """A slow server gets no requests, so it reports no recovery."""
    pool = Pool(servers=2, slots=2)
    pool.pool.report("i-0", 0, 2.5, 0.0)
    for number in range(2):
        pool.ask(number, 0.6)
    assert {pool.server_of(0), pool.server_of(1)} == {"i-0", "i-1"}


def test_a_server_that_fails_gets_nothing_for_a_while():
    """Its slots are free at once after each failure, so it would get all requests."""
    pool = Pool(servers=2, slots=2)
    fill(pool, range(4))
    failing = [n for n in range(4) if pool.server_of(n) == "i-0"]
    for number in failing:
        pool.end(number, 0.1, Outcome.NOT_REACHED)
    pool.ask(10, 0.11)
    assert pool.server_of(10) == "i-1"
    later = 0.1 + FAILURE_PAUSE_S + 0.01
    pool.pool.update(later)
    pool.ask(20, later, avoid=frozenset({"i-1"}))
    pool.ask(21, later, avoid=frozenset({"i-1"}))
    assert pool.server_of(20) == "i-0"
    assert 21 not in pool.granted()


def test_one_failure_does_not_pause_a_server():
    """The node's own link may have failed."""
    pool = Pool(slots=2)
    pool.ask(0)
    pool.end(0, 0.1, Outcome.NOT_REACHED)
    pool.ask(1, 0.1)
    pool.end(1, 0.2)
    pool.ask(2, 0.2)
    pool.end(2, 0.3, Outcome.BROKEN)
    pool.ask(3, 0.3)
    assert pool.granted() == [0, 1, 2, 3]


def test_servers_that_fail_a_part_of_their_requests_are_not_paused():
    """One in seven fails by itself on some routes."""
    pool = Pool(slots=4)
    fill(pool, range(5))
    for number in range(3):
        pool.end(number, 0.1, Outcome.BROKEN)
    pool.ask(5, 0.11)
    assert 5 in pool.granted()
    pool.end(3, 0.12)
    pool.end(4, 0.13, Outcome.BROKEN)
    pool.ask(6, 0.14)
    assert 6 in pool.granted()


def test_a_restarted_server_starts_without_leases_and_failures():
    pool = Pool(slots=1)
    fill(pool, range(2))
    for number in range(2):
        pool.end(number, 0.1, Outcome.NOT_REACHED)
    pool.ask(2, 0.11, due_s=4.0)
    assert pool.granted() == [0, 1]
    pool.declare({"i-0": (2, 1)})
    pool.pool.update(0.12)
    assert pool.granted() == [0, 1, 2]


def test_the_return_of_a_lease_of_an_earlier_incarnation_changes_nothing():
    pool = Pool(slots=1)
    fill(pool, range(2))
    pool.declare({"i-0": (2, 1)})
    fill_again = range(10, 12)
    for number in fill_again:
        pool.ask(number, 0.1)
    pool.end(0, 0.2, Outcome.BROKEN)
    pool.ask(12, 0.2)
    assert pool.granted() == [0, 1, 10, 11]


def test_a_lease_that_is_not_returned_ends():
    """The return may be lost, or its node."""
    pool = Pool(slots=1)
    fill(pool, range(2), lease_s=1.0)
    pool.pool.update(1.0)
    pool.ask(2, 1.0)
    assert 2 in pool.granted()


def test_requests_and_leases_of_a_node_that_is_gone_end():
    pool = Pool(slots=1)
    fill(pool, range(2), node="gone")
    pool.ask(2, node="gone", due_s=4.0)
    pool.ask(3, due_s=4.0)
    pool.pool.withdraw({"n"}, 0.1)
    assert pool.granted() == [0, 1, 3]


def test_a_request_that_is_given_up_gets_no_slot():
    """Its caller may have left, or its node has asked another coordinator."""
    pool = Pool(slots=1)
    fill(pool, range(2))
    pool.ask(2)
    pool.end(2, 0.01, Outcome.UNUSED)
    pool.end(0, 0.05)
    assert pool.granted() == [0, 1]
    assert len(pool.pool.queue) == 0


@pytest.mark.parametrize("number", [1, 3])
def test_a_return_twice_frees_one_slot(number):
    pool = Pool(slots=2)
    fill(pool, range(3))
    for _ in range(number):
        pool.end(0, 0.05)
    for later in range(3, 6):
        pool.ask(later, 0.06)
    assert len(pool.granted()) == 4


def test_requests_without_a_lease_take_slots():
    """Those of nodes that pool no slots, or of the other part of a divided fleet."""
    pool = Pool(slots=4)
    pool.pool.report("i-0", 2, None, 0.0)
    for number in range(6):
        pool.ask(number, 0.01)
    assert len(pool.granted()) == 3


@pytest.mark.parametrize("rejects", [True, False])
def test_servers_that_must_not_reject_get_nothing_in_advance(rejects):
    """A server without a queue rejects it, and a brittle one then fails."""
    pool = Pool(slots=1)
    if rejects:
        pool.ask(0)
        pool.end(0, 0.0, Outcome.REJECTED)
    pool.pool.servers["i-0"].is_brittle = not rejects
    for number in (1, 2):
        pool.ask(number, 0.01)
    assert pool.granted()[-1] == 1
    pool.end(1, 0.05)
    assert pool.granted()[-1] == 2


def test_declined_requests_are_told_different_times():
    """If all returned together, all but a few would be declined again."""
    pool = Pool(slots=2)
    fill(pool, range(3))
    for number in range(3, 60):
        pool.ask(number)
    times = [pool.replies[number].retry_after_s for number in pool.declined()]
    assert times == sorted(times)
    assert times[-1] - times[0] > 1.0
    assert times[-1] <= MAX_RETRY_AFTER_S
