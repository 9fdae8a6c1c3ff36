import pytest
from endive_core.reachability import (
    ALL_SERVICES,
    Block,
    ConnectResults,
    Reachability,
    ServerCondition,
)


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
    results = ConnectResults(directly, elsewhere)
    assert results.condition(through_transit=False) is condition


def test_a_failure_through_another_node_is_not_put_down_to_the_own_link():
    """A server that fails requests of nodes that are cut off would never count."""
    results = ConnectResults(directly=None, elsewhere=True)
    assert results.condition(through_transit=True) is ServerCondition.LISTENING


def silent(began_at, service="a"):
    return Block(service, began_at, refused=False)


def test_one_blocked_server_does_not_block_the_others():
    paths = Reachability()
    assert paths.block("a1", silent(1.0)) is None
    assert paths.is_blocked("a1", "a")
    assert not paths.is_blocked("a2", "a")


@pytest.mark.parametrize("service", ["a", "b"])
def test_a_node_that_hears_from_no_server_is_cut_off_from_all(service):
    """Else each server's first request would wait for a connection in vain."""
    paths = Reachability()
    paths.hear("a", 0.5)
    paths.hear("b", 0.4)
    paths.block("a1", silent(1.0))
    assert paths.block("s2", silent(1.2, service)) == ALL_SERVICES
    assert paths.is_cut_off
    assert paths.is_blocked("b3", "b")


def test_a_node_may_be_cut_off_from_one_service():
    paths = Reachability()
    paths.block("a1", silent(1.0))
    paths.hear("b", 1.1)
    assert paths.block("a2", silent(1.05)) == "a"
    assert paths.is_blocked("a3", "a")
    assert not paths.is_blocked("b1", "b")
    assert not paths.is_cut_off


def test_a_node_that_still_hears_from_servers_is_not_cut_off():
    """Connections may live on while new ones are refused."""
    paths = Reachability()
    paths.block("a1", silent(1.0))
    paths.hear("a", 1.1)
    assert paths.block("a2", silent(1.2)) is None
    assert not paths.is_blocked("a3", "a")


def test_an_arrival_ends_the_cut_and_leaves_the_blocks():
    paths = Reachability()
    paths.block("a1", silent(1.0))
    paths.block("a2", silent(1.0))
    paths.hear("a", 2.0)
    assert not paths.is_cut_off
    assert paths.is_blocked("a1", "a")
    assert not paths.is_blocked("a3", "a")


def test_a_blocked_server_that_is_reached_again_ends_its_services_blocks():
    paths = Reachability()
    for server in ("a1", "a2", "b1"):
        paths.block(server, silent(1.0, server[0]))
    assert paths.connected("a1", "a", 2.0)
    assert not paths.is_blocked("a2", "a")
    assert paths.is_blocked("b1", "b")


def test_a_server_reached_behind_a_supposed_cut_ends_no_block():
    """Only some of a service's servers may be cut off."""
    paths = Reachability()
    for server in ("a1", "a2", "b1"):
        paths.block(server, silent(1.0, server[0]))
    assert paths.is_blocked("a3", "a")
    assert paths.connected("a3", "a", 2.0)
    assert not paths.is_cut_off
    assert {"a1", "a2", "b1"} == paths.blocked.keys()


def test_reaching_another_server_does_not_end_a_block():
    paths = Reachability()
    paths.block("a1", silent(1.0))
    assert not paths.connected("a2", "a", 2.0)
    assert paths.is_blocked("a1", "a")


def test_servers_that_are_gone_are_forgotten():
    paths = Reachability()
    paths.block("a1", silent(1.0))
    paths.forget({"a2"})
    assert not paths.blocked


@pytest.mark.parametrize("refused", [False, True])
def test_open_connections_live_on_only_where_new_ones_are_refused(refused):
    """A request on a connection that hangs is lost."""
    paths = Reachability()
    paths.block("a1", Block("a", 1.0, refused=refused))
    assert paths.may_reuse("a1", "a") is refused
    assert paths.may_reuse("a2", "a")
    paths.block("a2", Block("a", 1.0, refused=refused))
    assert not paths.may_reuse("a1", "a")
    assert not paths.may_reuse("a3", "a")
