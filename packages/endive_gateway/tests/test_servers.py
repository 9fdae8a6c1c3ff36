from endive_gateway.interfaces import ServerState
from endive_gateway.servers import RETURN_GRACE_S, ServerRegistry
from gateway_builders import make_entry


def test_an_older_entry_that_comes_late_says_nothing_new():
    """The store tells of a leaving server, then once more of the time before. Believed,
    the server would get requests until it is gone, and lose them."""
    registry = ServerRegistry()
    registry.put(make_entry(sequence=3, state=ServerState.LEAVING))
    assert not registry.put(make_entry(sequence=2))
    assert not registry.get("i-1").usable


def test_a_server_that_started_again_counts_anew():
    """A server crashes and comes back under its id, its count starting from one. Taken
    for old news, it would stay unknown for as long as it had lived before."""
    registry = ServerRegistry()
    registry.put(make_entry(sequence=900, incarnation=1, state=ServerState.LEAVING))
    assert registry.put(make_entry(sequence=1, incarnation=2))
    assert registry.get("i-1").usable


def test_only_a_change_of_meaning_is_a_change():
    registry = ServerRegistry()
    assert registry.put(make_entry(sequence=1))
    assert not registry.put(make_entry(sequence=2))
    assert registry.put(make_entry(sequence=3, state=ServerState.LEAVING))


def test_an_entry_that_goes_in_quiet_times_is_believed_at_once():
    registry = ServerRegistry()
    registry.put(make_entry())
    assert registry.drop("i-1", 2.0, after_outage=False)
    assert registry.get("i-1") is None


def test_an_entry_that_lapsed_with_the_store_gets_time_to_come_back():
    """The store was away for seconds and forgot all servers, which live. Believed at
    once, every request would be refused until they have written again."""
    registry = ServerRegistry()
    registry.put(make_entry(sequence=4))
    assert not registry.drop("i-1", 10.0, after_outage=True)
    assert registry.get("i-1").usable
    assert not registry.sweep(10.0 + RETURN_GRACE_S - 0.1)
    registry.put(make_entry(sequence=5))
    assert not registry.sweep(10.0 + RETURN_GRACE_S + 0.1)
    assert registry.get("i-1").usable


def test_a_lapsed_server_that_does_not_come_back_is_given_up():
    registry = ServerRegistry()
    registry.put(make_entry())
    registry.drop("i-1", 10.0, after_outage=True)
    assert registry.has_lapsed
    assert registry.sweep(10.0 + RETURN_GRACE_S)
    assert registry.get("i-1") is None


def test_a_leaving_server_whose_entry_lapsed_gets_no_grace():
    registry = ServerRegistry()
    registry.put(make_entry(state=ServerState.LEAVING))
    assert registry.drop("i-1", 2.0, after_outage=True)


def test_a_server_whose_address_another_has_waits_for_a_new_entry():
    registry = ServerRegistry()
    registry.put(make_entry(sequence=1))
    registry.mark_misidentified("i-1")
    registry.put(make_entry(sequence=2))
    assert not registry.get("i-1").usable
    registry.put(make_entry(sequence=3, address="127.0.0.1:2"))
    assert registry.get("i-1").usable
