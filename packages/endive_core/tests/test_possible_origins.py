"""Which origins streams may have, as nodes list, confirm and remove them."""

import pytest
from endive_core.possible_origins import (
    CONFIRMED_PART,
    MAX_STREAM_AGE_S,
    Confirmations,
    Disuse,
    OriginList,
    PossibleOrigin,
)
from endive_core.stream_origins import RESTART_NOTICE_S, RecentBeginnings, StreamOrigin

V1, V2 = StreamOrigin("s", "v1"), StreamOrigin("s", "v2")
HOST = "a.example"
ENTRY = PossibleOrigin(HOST, "/", V1)
OTHER = PossibleOrigin(HOST, "/", V2)


def listed(*entries, is_complete=True):
    return OriginList(frozenset(entries), is_complete)


@pytest.mark.parametrize(
    ("origins", "expected"),
    [
        (listed(ENTRY), V1),
        (listed(ENTRY, OTHER), None),
        (listed(ENTRY, is_complete=False), None),
        (listed(), None),
        (listed(PossibleOrigin("b.example", "/", V1)), None),
    ],
)
def test_an_origin_is_certain_only_if_a_complete_list_has_no_other(origins, expected):
    """A list that may lack an origin must not lead to a guess."""
    assert origins.only_origin(HOST, "/x/y") == expected


@pytest.mark.parametrize("prefix", ["/", "/x/", "/x/y/"])
def test_a_stream_may_have_begun_under_a_former_route_of_its_path(prefix):
    """The route was split since, and leads to another service now."""
    origins = listed(ENTRY, PossibleOrigin(HOST, prefix, V2))
    assert origins.only_origin(HOST, "/x/y/z") is None
    assert origins.only_origin(HOST, "/w/z") == (None if prefix == "/" else V1)


def test_an_origin_is_removed_only_after_the_age_of_a_stream_without_a_use():
    """A stream that began there just before must not be taken for another one's."""
    disuse = Disuse()
    assert not disuse.observe([ENTRY], lambda entry: False, 0.0)
    assert not disuse.observe([ENTRY], lambda entry: False, MAX_STREAM_AGE_S - 0.1)
    assert disuse.observe([ENTRY], lambda entry: False, MAX_STREAM_AGE_S) == {ENTRY}


@pytest.mark.parametrize("end", ["usable", "wanted", "view"])
def test_a_use_starts_the_time_anew(end):
    """A server of the version returned, a node wanted to begin a stream there, or the
    view was not current for a while."""
    disuse = Disuse()
    disuse.observe([ENTRY], lambda entry: False, 0.0)
    if end == "usable":
        disuse.observe([ENTRY], lambda entry: True, 30.0)
    elif end == "wanted":
        disuse.used([ENTRY])
    else:
        disuse.clear()
    assert not disuse.observe([ENTRY], lambda entry: False, 50.0)
    assert not disuse.observe([ENTRY], lambda entry: False, 100.0)
    assert disuse.observe([ENTRY], lambda entry: False, 110.0) == {ENTRY}


def test_a_confirmation_ends_before_another_node_may_have_removed_the_origin():
    """Two nodes pass it on, each from a view that is nearly too old."""
    confirmations = Confirmations()
    confirmations.confirm(ENTRY, 0.0, is_shared=False)
    lasts_s = CONFIRMED_PART * MAX_STREAM_AGE_S
    assert confirmations.is_confirmed(ENTRY, lasts_s)
    assert not confirmations.is_confirmed(ENTRY, lasts_s + 0.1)
    assert 2 * lasts_s < MAX_STREAM_AGE_S


def test_an_origin_that_disappeared_has_to_be_confirmed_again():
    """It may have been removed from the list before it returned."""
    confirmations = Confirmations()
    confirmations.confirm(ENTRY, 0.0, is_shared=False)
    confirmations.observe(lambda entry: True, 20.0)
    assert confirmations.is_confirmed(ENTRY, 40.0)
    confirmations.observe(lambda entry: False, 41.0)
    confirmations.observe(lambda entry: True, 42.0)
    assert not confirmations.is_confirmed(ENTRY, 42.0)


def test_a_route_shares_origins_for_as_long_as_streams_of_before_may_go_on():
    confirmations = Confirmations()
    assert confirmations.share(ENTRY, 0.0)
    assert not confirmations.share(OTHER, 10.0)
    assert confirmations.is_shared(OTHER, 10.0 + MAX_STREAM_AGE_S - 0.1)
    assert not confirmations.is_shared(OTHER, 10.0 + MAX_STREAM_AGE_S)


def test_streams_that_began_shortly_before_a_restart_was_known_are_found():
    """The process that began them may have been the new one already."""
    recent = RecentBeginnings()
    server = ("i-1", 7)
    recent.add(server, b"old", 0.0)
    recent.add(server, b"new", RESTART_NOTICE_S)
    recent.add(("i-2", 7), b"elsewhere", RESTART_NOTICE_S)
    assert recent.take(server, RESTART_NOTICE_S + 0.1) == [b"new"]
    assert len(recent.streams) == 2
