from endive_gateway.events import EventSplitter


def test_only_whole_events_pass():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert splitter.last_id == "1"
    assert splitter.feed(b"ta: b\n\n") == b"id: 2\ndata: b\n\n"
    assert splitter.last_id == "2"
    assert splitter.count == 2


def test_the_half_of_a_broken_event_is_dropped_before_a_new_run():
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    splitter.discard_partial()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


def test_line_ends_of_both_kinds_are_known():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 7\r\ndata: a\r\n\r\n") == b"id: 7\r\ndata: a\r\n\r\n"
    assert splitter.last_id == "7"


def test_an_id_inside_data_is_no_id():
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: id: 9\n\n")
    assert splitter.last_id == "1"


def test_what_follows_the_last_event_is_not_lost():
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\n: end")
    assert splitter.rest() == b": end"
