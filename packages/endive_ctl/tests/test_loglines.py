import tracemalloc

import pytest
from endive_ctl.files import FileError
from endive_ctl.loglines import read_lines
from log_builders import log_line

LARGE_FLEET_LINES = 200_000
MEASURED_LINES = 5_000
MAX_BYTES = 300e6 - 60e6
"""300 MB without what the interpreter and the libraries take."""


def written(tmp_path, *names_and_texts):
    paths = []
    for name, text in names_and_texts:
        paths.append(tmp_path / name)
        paths[-1].write_text(text)
    return paths


def test_lines_of_several_nodes_are_sorted_by_time(tmp_path):
    paths = written(
        tmp_path,
        ("a", log_line("start", at=12, node="a") + "no event here\n"),
        ("b", log_line("start", at=10, node="b", why='"a b"')),
    )
    lines = read_lines(paths)
    assert [(line.node, line.at) for line in lines] == [("b", 0), ("a", 2)]
    assert lines[0].fields == {"why": "a b"}


def test_logs_may_span_midnight(tmp_path):
    """Only the time of day of a log line is parsed.

    Sorted by it alone, lines from after midnight would come before those from before
    midnight.
    """
    before = log_line("start", at=86_399)
    after = log_line("stopped", at=1)
    (path,) = written(tmp_path, ("a", after + before))
    events = [(line.event, line.at) for line in read_lines([path])]
    assert events == [("start", 0), ("stopped", 2)]


def test_a_field_that_is_not_a_number_reads_as_0(tmp_path):
    (path,) = written(tmp_path, ("a", log_line("request", ms="None")))
    (line,) = read_lines([path])
    assert line.number("ms") == line.number("missing") == 0


@pytest.mark.parametrize("text", [None, "nothing logged\n"])
def test_a_file_without_events_raises_file_error(tmp_path, text):
    path = tmp_path / "log"
    if text is not None:
        path.write_text(text)
    with pytest.raises(FileError):
        read_lines([path])


def test_the_log_of_a_large_fleet_fits_in_300_mb(tmp_path):
    """Two hundred nodes log two hundred thousand lines in a minute and a half, most of
    them on servers. An operator's machine has to hold them."""
    entry = {"service": "plans", "zone": "brest", "state": "ready", "sequence": 1}
    lines = [
        log_line("server_entry", at=number / 100, server=f"i-{number % 80}", **entry)
        for number in range(MEASURED_LINES)
    ]
    (path,) = written(tmp_path, ("a", "".join(lines)))
    del lines
    tracemalloc.start()
    try:
        read = read_lines([path])
        _now, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(read) == MEASURED_LINES
    assert peak_bytes / MEASURED_LINES < MAX_BYTES / LARGE_FLEET_LINES
