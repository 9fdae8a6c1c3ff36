import gevent
import pytest
from endive_standins.log import Log

RECORDS = "/streams/s/records"


@pytest.fixture
def log():
    return Log.from_config()


def read(call, log, query="from=0"):
    return call(log, "GET", f"{RECORDS}?{query}")


def test_offsets_start_at_0_in_each_stream(call, log):
    _, first = call(log, "POST", RECORDS, {"records": ["a", "b"]})
    _, second = call(log, "POST", RECORDS, {"records": ["c"]})
    _, other = call(log, "POST", "/streams/t/records", {"records": ["x"]})
    assert (first["offset"], first["next"]) == (0, 2)
    assert (second["offset"], other["offset"]) == (2, 0)
    streams = {"s": {"first": 0, "next": 3}, "t": {"first": 0, "next": 1}}
    assert call(log, "GET", "/streams") == (200, {"streams": streams})


def test_read_returns_records_from_an_offset_up_to_the_limit(call, log):
    call(log, "POST", RECORDS, {"records": list("abcd")})
    _, page = read(call, log, "from=1&limit=2")
    assert [(r["offset"], r["body"]) for r in page["records"]] == [(1, "b"), (2, "c")]
    assert (page["first"], page["next"]) == (0, 4)


def test_unknown_stream_is_empty(call, log):
    assert read(call, log) == (200, {"first": 0, "next": 0, "records": []})


def test_reader_waits_for_the_requested_record(call, log):
    gevent.spawn_later(0.05, call, log, "POST", RECORDS, {"records": ["late"]})
    _, page = read(call, log, "from=0&wait_s=5")
    assert page["records"][0]["body"] == "late"


def test_outage_ends_a_wait(call, log):
    """A read that kept waiting during an outage would look like a log that works."""
    gevent.spawn_later(0.05, call, log, "POST", "/faults", {"outage_s": 1})
    assert read(call, log, "from=0&wait_s=5")[0] == 503


@pytest.mark.parametrize("body", [{"records": []}, {"records": ["a", 1]}, {}])
def test_invalid_append_writes_nothing(call, log, body):
    assert call(log, "POST", RECORDS, body)[0] == 400
    assert log.streams == {}


def test_appends_over_the_rate_are_refused_over_all_streams(call):
    log = Log.from_config(appends_per_s=2)
    paths = [RECORDS, "/streams/t/records", RECORDS]
    answers = [call(log, "POST", path, {"records": ["a"]}) for path in paths]
    assert [status for status, _ in answers] == [200, 200, 429]
    assert 0 < answers[2][1]["error"]["retry_after_s"] <= 0.5


def test_delayed_append_returns_504_and_is_applied_later(call, log):
    """An append times out, and its record appears after the writer gave up."""
    late = {"count": 1, "delay_s": 0.05}
    call(log, "POST", "/faults", {"late_appends": late})
    assert call(log, "POST", RECORDS, {"records": ["late"]})[0] == 504
    call(log, "POST", RECORDS, {"records": ["next"]})
    assert [r["body"] for r in read(call, log)[1]["records"]] == ["next"]
    gevent.sleep(0.1)
    assert [r["body"] for r in read(call, log)[1]["records"]] == ["next", "late"]


def test_read_below_the_first_offset_returns_410_with_the_first_offset(call, log):
    call(log, "POST", RECORDS, {"records": list("abc")})
    call(log, "POST", "/faults", {"forget_before": {"stream": "s", "offset": 2}})
    status, body = read(call, log)
    assert (status, body["error"]["first"]) == (410, 2)
    assert [r["body"] for r in read(call, log, "from=2")[1]["records"]] == ["c"]


def test_retention_drops_old_records_and_keeps_offsets(call):
    log = Log.from_config(retention_s=0.05)
    call(log, "POST", RECORDS, {"records": ["old"]})
    gevent.sleep(0.1)
    assert call(log, "POST", RECORDS, {"records": ["new"]})[1]["offset"] == 1
    assert read(call, log)[0] == 410
