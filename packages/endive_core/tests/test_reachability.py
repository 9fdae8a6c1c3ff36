import pytest
from endive_core.reachability import ConnectResults, Reachability, ServerCondition


@pytest.mark.parametrize(
    ("directly", "elsewhere", "condition"),
    [
        (True, None, ServerCondition.LISTENING),
        (True, False, ServerCondition.LISTENING),
        (False, True, ServerCondition.BLOCKED),
        (None, True, ServerCondition.BLOCKED),
        (False, False, ServerCondition.CRASHED),
        (None, False, ServerCondition.CRASHED),
        (False, None, ServerCondition.CRASHED),
        (None, None, ServerCondition.UNKNOWN),
    ],
)
def test_another_node_tells_a_blocked_server_from_one_that_crashed(
    directly, elsewhere, condition
):
    """Servers behind a cut look as if they had crashed."""
    assert ConnectResults(directly, elsewhere).condition is condition


def test_one_blocked_server_does_not_block_the_others():
    paths = Reachability()
    assert not paths.block("s1", 1.0)
    assert paths.is_blocked("s1")
    assert not paths.is_blocked("s2")


def test_a_node_that_hears_from_no_server_is_cut_off_from_all():
    """Else each server's first request would wait for a connection in vain."""
    paths = Reachability()
    paths.hear(0.5)
    paths.block("s1", 1.0)
    assert paths.block("s2", 1.2)
    assert paths.cut_off_since == 1.0
    assert paths.is_blocked("s3")


def test_a_node_that_still_hears_from_a_server_is_not_cut_off():
    """Connections may live on while new ones are refused."""
    paths = Reachability()
    paths.block("s1", 1.0)
    paths.hear(1.1)
    assert not paths.block("s2", 1.2)
    assert not paths.is_blocked("s3")


def test_an_arrival_ends_the_cut_and_leaves_the_blocks():
    paths = Reachability()
    paths.block("s1", 1.0)
    paths.block("s2", 1.0)
    paths.hear(2.0)
    assert not paths.is_cut_off
    assert paths.is_blocked("s1")
    assert not paths.is_blocked("s3")


def test_a_blocked_server_that_is_reached_again_ends_all_blocks():
    paths = Reachability()
    paths.block("s1", 1.0)
    paths.block("s2", 1.0)
    assert paths.connected("s1", 2.0)
    assert not paths.is_blocked("s2")


def test_reaching_another_server_does_not_end_a_block():
    paths = Reachability()
    paths.block("s1", 1.0)
    assert not paths.connected("s2", 2.0)
    assert paths.is_blocked("s1")


def test_servers_that_are_gone_are_forgotten():
    paths = Reachability()
    paths.block("s1", 1.0)
    paths.forget({"s2"})
    assert not paths.blocked
