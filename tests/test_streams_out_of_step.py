"""Streams that callers take up at a gateway that was out of step with a release."""

import os

import pytest
from losses import running_fleet
from out_of_step import STREAM_AGE_S, ReleasePlay, draw_release

pytestmark = pytest.mark.processes
WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
SLOT = 110 + WORKER
"""Number of the loopback addresses that only this test worker uses."""

LEAST_SHARE = 0.9
"""Share of the streams that go on, of those whose version still serves."""


@pytest.mark.parametrize("seed", [17, 30, 36])
def test_a_node_out_of_step_with_a_release_joins_no_stream(seed):
    """It let streams of a version that it didn't know go on at another one, in a
    system like this one."""
    release = draw_release(seed)
    with running_fleet(SLOT, stream_age_s=STREAM_AGE_S, seed=seed) as fleet:
        ends = ReleasePlay(fleet, release).run()
        assert ends.joined == []
        assert fleet.fleet.checker.violations == []
    for version in release.going_on:
        assert ends.share(version) >= LEAST_SHARE, f"{release}: {ends}"
