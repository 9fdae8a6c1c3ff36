import builders
import pytest


@pytest.fixture
def cluster(tmp_path):
    """Start separate processes, which end with the test."""
    started = builders.Cluster(tmp_path)
    yield started
    started.stop()
