import builders
import pytest


@pytest.fixture
def cluster(tmp_path):
    """Separate processes that end with the test."""
    started = builders.Cluster(tmp_path)
    yield started
    started.stop()
