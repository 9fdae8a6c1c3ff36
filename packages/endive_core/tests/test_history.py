import pytest
from endive_core.exceptions import EndiveError, ErrorKind
from endive_core.history import ChangeHistory
from endive_core.records import Change


def change(name, body=None):
    return Change(f"id-{name}", "priority", name, "ann", body=body)


def test_changes_after_a_version_come_in_order():
    history = ChangeHistory()
    for offset in (3, 5, 9):
        history.add(offset, change(f"p{offset}", {"owner": "kerloch"}), None)
    assert [event.version for event in history.since(3)] == [5, 9]
    assert history.since(9) == []


def test_deletion_keeps_the_owner_it_had():
    """Operators see only changes of their own organisation, and a deletion has no body
    with an owner. Without the previous owner no operator would see the deletion."""
    history = ChangeHistory()
    stored = type("Stored", (), {"body": {"owner": "kerloch"}})
    history.add(1, change("p"), stored)
    (event,) = history.since(0)
    assert (event.owner, event.body) == ("kerloch", None)


def test_watch_from_a_version_that_is_too_old_is_told_so():
    """A watcher was disconnected for long, or the node started from a snapshot. The
    watcher must list the resources again; with a silent gap it would keep resources
    that were deleted."""
    history = ChangeHistory(max_events=2)
    for offset in range(4):
        history.add(offset, change(f"p{offset}", {"owner": "kerloch"}), None)
    assert len(history.since(1)) == 2
    with pytest.raises(EndiveError) as caught:
        history.since(0)
    assert caught.value.kind is ErrorKind.WATCH_TOO_OLD
    history.reset(50)
    assert history.since(50) == []
    with pytest.raises(EndiveError):
        history.since(3)


def test_large_changes_are_kept_by_size():
    """A script changes large services all day; without the limit on size the history
    would take hundreds of MB on every node."""
    history = ChangeHistory(max_size=100)
    for offset in range(50):
        history.add(offset, change("p", {"owner": "kerloch"}), None, size=30)
    assert [event.version for event in history.since(46)] == [47, 48, 49]
    with pytest.raises(EndiveError):
        history.since(45)
