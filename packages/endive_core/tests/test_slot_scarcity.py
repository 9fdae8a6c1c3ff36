import pytest
from endive_core.slot_scarcity import SlotScarcity, scarce_utilisation


@pytest.mark.parametrize(("slots", "least", "most"), [(1, 0.07, 0.1), (6, 0.45, 0.55)])
def test_fewer_slots_a_server_are_scarce_earlier(slots, least, most):
    """One busy slot of one fills a server, and one of six does not."""
    assert least < scarce_utilisation(slots) < most


def test_slots_are_scarce_until_clearly_fewer_are_busy():
    """Requests would else change between leases and none at each report."""
    scarcity = SlotScarcity()
    seen = [scarcity.is_scarce("s", used, 6) for used in (0.3, 0.55, 0.4, 0.2, 0.4)]
    assert seen == [False, True, True, False, False]
