import pytest
from endive_ctl import tables
from endive_ctl.loglines import read_lines
from endive_ctl.losses import LossReport, loss_cause
from log_builders import log_line, request_line


def losses_of(tmp_path, *lines, **options):
    path = tmp_path / "log"
    path.write_text("".join(lines))
    return LossReport.from_lines(read_lines([path]), **options)


@pytest.mark.parametrize(
    ("fields", "cause"),
    [
        ({}, "in time"),
        ({"outcome": "limit_exceeded"}, "limit_exceeded"),
        ({"first_ms": 1500, "queued_ms": 600}, "late: queued"),
        ({"first_ms": 1500, "queued_ms": 400}, "late: first byte"),
        ({"first_ms": 1500, "yielded": 1}, "late: behind others"),
        ({"first_ms": 1500, "servers": "s1,s2"}, "late: sent again"),
        ({"pause_ms": 400, "gap_ms": 500}, "late: pause"),
        ({"pause_ms": 400, "gap_ms": 300}, "in time"),
    ],
)
def test_a_request_is_counted_under_one_cause(tmp_path, fields, cause):
    path = tmp_path / "log"
    path.write_text(request_line(**fields))
    (line,) = read_lines([path])
    assert loss_cause(line) == cause


def test_both_tables_count_every_request_once(tmp_path):
    found = losses_of(
        tmp_path,
        log_line("start", at=0),
        request_line(at=1.0),
        request_line(at=3.0, first_ms=1500, ms=1900),
        request_line(at=3.0, route="notes", outcome="server_500"),
        request_line(at=3.5, outcome="unauthenticated"),
    )
    by_route = sum(sum(counts.values()) for counts in found.by_route.values())
    by_time = sum(sum(counts.values()) for counts in found.by_time.values())
    assert by_route == by_time == 3
    assert found.by_time[0.0] == {"in time": 1, "late: first byte": 1}


def test_the_log_gap_before_a_start_is_downtime(tmp_path):
    """A node is down for 1.7 s and restarts.

    Requests that arrived meanwhile are in no log; only the gap in the log shows them.
    """
    found = losses_of(
        tmp_path,
        log_line("start", at=0),
        request_line(at=5.0),
        log_line("start", at=6.7),
    )
    assert found.dark_s == {"n1": pytest.approx(1.7)}


def test_seconds_of_servers_ordered_are_added_up(tmp_path):
    order = {"service": "llm", "zone": "a", "reclaimable": True}
    found = losses_of(
        tmp_path,
        log_line("ordered", at=0, servers=2, **order),
        log_line("ordered", at=10, servers=3, **order),
        request_line(at=20),
    )
    assert found.servers_s == {("llm", "reclaimable"): pytest.approx(50)}


def test_the_tables_show_causes_by_route_and_time(tmp_path):
    found = losses_of(tmp_path, request_line(), request_line(first_ms=1500))
    page = tables.losses(found)
    assert all(word in page for word in ("ROUTE", "in time", "late: first byte"))
    assert "plans  1 " in page
    assert found.to_body()["routes"]["plans"] == {"in time": 1, "late: first byte": 1}
