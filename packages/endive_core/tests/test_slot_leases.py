import pytest
from endive_core.slot_leases import INITIAL_HOLD_S, ServerSlots


class Coordinator:
    """A server's slots, with the replies to requests of one node."""

    def __init__(self, slots=2):
        self.replies = {}
        self.slots = ServerSlots(slots, self.reply)

    def reply(self, key, granted):
        assert key not in self.replies
        self.replies[key] = granted

    def ask(self, number, now=0.0, *, priority=5, wait_s=1.0, lease_s=9.0, node="n"):
        self.slots.request((node, number), priority, wait_s, lease_s, now)

    def granted(self):
        return [number for (_, number), granted in self.replies.items() if granted]

    def declined(self):
        return [number for (_, number), granted in self.replies.items() if not granted]


def test_no_more_slots_are_leased_than_there_are():
    coordinator = Coordinator(slots=2)
    for number in range(4):
        coordinator.ask(number)
    assert coordinator.granted() == [0, 1]
    coordinator.slots.release(("n", 0), 0.1)
    assert coordinator.granted() == [0, 1, 2]


def test_requests_of_higher_priority_are_served_first():
    coordinator = Coordinator(slots=1)
    coordinator.ask(0)
    coordinator.ask(1, priority=7)
    coordinator.ask(2, priority=3)
    coordinator.ask(3, priority=3)
    for number in (0, 2):
        coordinator.slots.release(("n", number), 0.1)
    assert coordinator.granted() == [0, 2, 3]


def test_what_can_not_be_served_in_time_is_declined_at_once():
    coordinator = Coordinator(slots=1)
    coordinator.ask(0)
    coordinator.ask(1, wait_s=INITIAL_HOLD_S / 2)
    assert coordinator.declined() == [1]
    assert not coordinator.slots.queue


def test_the_expected_wait_follows_the_time_for_which_slots_are_held():
    coordinator = Coordinator(slots=1)
    for number in range(100):
        coordinator.ask(number, now=number)
        coordinator.slots.release(("n", number), number + 0.8)
    coordinator.ask(100, now=100.0)
    coordinator.ask(101, now=100.0, wait_s=0.7)
    assert coordinator.declined() == [101]


def test_a_request_that_has_waited_too_long_is_declined():
    coordinator = Coordinator(slots=1)
    coordinator.ask(0)
    coordinator.ask(1, wait_s=0.2)
    coordinator.slots.update(0.19)
    assert not coordinator.declined()
    coordinator.slots.update(0.21)
    assert coordinator.declined() == [1]


def test_a_lease_that_is_not_returned_ends():
    coordinator = Coordinator(slots=1)
    coordinator.ask(0, lease_s=3.0)
    coordinator.ask(1, now=2.5)
    coordinator.slots.update(2.9)
    assert coordinator.granted() == [0]
    coordinator.slots.update(3.0)
    assert coordinator.granted() == [0, 1]


def test_leases_of_nodes_that_are_gone_end():
    coordinator = Coordinator(slots=2)
    coordinator.ask(0, node="gone")
    coordinator.ask(1)
    coordinator.ask(2)
    coordinator.slots.withdraw({"n"}, 0.1)
    assert coordinator.granted() == [0, 1, 2]


@pytest.mark.parametrize(("load", "granted"), [(0, 4), (1, 3), (2, 2), (9, 2)])
def test_requests_that_hold_no_lease_take_slots(load, granted):
    """Nodes that don't know yet that the server is brittle send without a lease, and
    those that have lost contact lease from another node."""
    coordinator = Coordinator(slots=4)
    coordinator.slots.report(load, 0.0)
    for number in range(5):
        coordinator.ask(number, now=0.1)
    assert len(coordinator.granted()) == granted
    coordinator.slots.update(1.05)
    assert len(coordinator.granted()) == 4


def test_a_request_whose_lease_was_just_returned_is_known():
    """The server's statement of its load was on its way when the lease came back."""
    coordinator = Coordinator(slots=2)
    coordinator.ask(0)
    coordinator.ask(1)
    coordinator.slots.release(("n", 0), 0.1)
    coordinator.slots.report(2, 0.105)
    coordinator.ask(2, now=0.11)
    assert coordinator.granted() == [0, 1, 2]


def test_a_return_twice_or_without_a_lease_changes_nothing():
    coordinator = Coordinator(slots=1)
    coordinator.slots.release(("n", 7), 0.0)
    coordinator.ask(0)
    coordinator.slots.release(("n", 0), 0.1)
    coordinator.slots.release(("n", 0), 0.1)
    coordinator.ask(1, now=0.2)
    coordinator.ask(2, now=0.2)
    assert coordinator.granted() == [0, 1]


def test_a_new_coordinator_leases_half_until_it_knows_the_load():
    """Another one that it can't reach may have leased the slots to the other nodes."""
    coordinator = Coordinator(slots=4)
    coordinator.slots.take_over(0.0)
    for number in range(4):
        coordinator.ask(number)
    assert coordinator.granted() == [0, 1]
    coordinator.slots.update(0.3)
    assert coordinator.granted() == [0, 1, 2, 3]


def test_requests_of_nodes_that_lose_contact_together_take_slots():
    """Each half of a divided fleet otherwise leases all slots at the same moment."""
    coordinator = Coordinator(slots=4)
    coordinator.ask(0, node="lost-1")
    coordinator.ask(1, node="lost-2")
    coordinator.slots.withdraw({"n"}, 0.1)
    for number in range(2, 6):
        coordinator.ask(number, now=0.1)
    assert coordinator.granted() == [0, 1, 2, 3]
    coordinator.slots.update(0.4)
    assert coordinator.granted() == [0, 1, 2, 3, 4, 5]
