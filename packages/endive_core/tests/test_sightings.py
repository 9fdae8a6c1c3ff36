import random

import pytest
from endive_core.sightings import KEPT_S, Sightings

DELAY_S = 0.03
MAX_ERROR_S = 0.4
INTERVAL_S = 0.1
PEERS_PER_ROUND = 10
OBSERVED_S = 6.0


def test_the_least_delayed_message_counts():
    sightings = Sightings()
    sightings.observe(7, 5.2)
    assert sightings.observe(7, 5.0) == 5.0
    assert sightings.observe(7, 5.5) == 5.0
    assert sightings.newest_at() == 5.0


def test_the_newest_event_is_found_and_old_ones_are_forgotten():
    sightings = Sightings()
    assert sightings.newest_at() is None
    sightings.observe(1, 5.0)
    sightings.observe(2, 4.0)
    assert sightings.newest == 1
    sightings.observe(3, 5.0 + KEPT_S)
    assert sightings.newest == 3
    assert set(sightings.times) == {1, 3}


@pytest.mark.parametrize("nodes", [2, 8, 85, 375])
def test_an_event_that_nodes_pass_on_grows_old_as_time_passes(nodes):
    """Each message takes a while. If each node counted from its arrival, the event
    would seem recent for as long as the nodes went on telling each other of it."""
    rng = random.Random(1)
    known = [Sightings() for _ in range(nodes)]
    known[0].observe(1, 0.0)
    known[min(3, nodes - 1)].observe(2, 0.001)
    for step in range(int(OBSERVED_S / INTERVAL_S)):
        now = step * INTERVAL_S
        for sender in range(nodes):
            event, at = known[sender].newest, known[sender].newest_at()
            if at is None:
                continue
            for receiver in rng.sample(range(nodes), min(nodes, PEERS_PER_ROUND)):
                known[receiver].observe(event, now + DELAY_S - (now - at))
    believed = max(sightings.newest_at() for sightings in known)
    assert believed < MAX_ERROR_S
