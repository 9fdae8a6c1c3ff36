import os
import time

import gevent
import pytest
from soak.fleet import Fleet

WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
SLOT = 80 + WORKER
"""Number of the loopback addresses that only this test worker uses."""

START_S = 20.0
SILENT_S = 3.0
CONTACT_S = 3.0
IN_FORCE_S = 2.0
"""Time after its confirmation within which a change is in force, seconds, once the
store has been reachable for `CONTACT_S`."""


@pytest.fixture
def fleet(request, tmp_path):
    started_fleet = Fleet(tmp_path, SLOT, nodes=request.param)
    loops = [
        gevent.spawn(started_fleet.send_heartbeats),
        gevent.spawn(started_fleet.lag.run),
    ]
    try:
        await_version(started_fleet, started_fleet.version, START_S)
        yield started_fleet
    finally:
        gevent.killall(loops)
        started_fleet.close()


def behind(fleet, version):
    """Return the nodes that have not put `version` in force yet."""
    line = f"event=configuration version={version} "
    return [n.name for n in fleet.nodes if line not in n.output.read_text()]


def await_version(fleet, version, seconds):
    """Wait until all nodes have `version` in force, for `seconds` at most.

    Lag of this process, in which the store runs too, isn't counted.
    """
    end = time.monotonic() + seconds - fleet.lag.stalled_s
    while (late := behind(fleet, version)) and left_s(fleet, end) > 0:
        gevent.sleep(0.05)
    assert late == []


def left_s(fleet, end):
    """Return the seconds left until `end`, extended by the lag since then."""
    return end + fleet.lag.stalled_s - time.monotonic()


@pytest.mark.parametrize("fleet", [3, 24], indirect=True)
def test_a_change_is_in_force_in_time_after_the_store_was_silent(fleet):
    """Reads that began while the store was silent never get a response. A node that
    waited for them would not see the changes that follow."""
    fleet.configure()
    await_version(fleet, fleet.version, IN_FORCE_S)
    fleet.store.silent = True
    fleet.configure()
    gevent.sleep(SILENT_S)
    fleet.store.silent = False
    gevent.sleep(CONTACT_S)
    fleet.configure()
    await_version(fleet, fleet.version, IN_FORCE_S)
