import pytest
from simulated_time import simulated_time


@pytest.fixture
def simulated_clock(monkeypatch):
    """Let the nodes of a fleet not wait for each other's computing."""
    with simulated_time(monkeypatch) as clock:
        yield clock
