import builders
import pytest


def test_a_stand_in_that_ends_at_its_start_fails_the_test_at_once(tmp_path):
    """A test waited 45 s for it, and its output was lost with the test's folder."""
    cluster = builders.Cluster(tmp_path)
    try:
        standin = cluster.standin("cloud", "cloud", no_such_option=1)
        standin.process.wait()
        with pytest.raises(AssertionError, match="cloud ended with"):
            builders.wait_until(standin.is_ready, "cloud")
    finally:
        cluster.stop()
