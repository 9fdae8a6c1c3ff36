import os
import time

import pytest
from endive_gateway.logstream import BURST_LINES, MAX_PENDING_BYTES, LogStream
from endive_node.logs import MAX_VALUE_CHARACTERS, format_event


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    yield reading, writing
    os.close(reading)
    os.close(writing)


def read_all(reading):
    data = b""
    while True:
        try:
            piece = os.read(reading, 65_536)
        except BlockingIOError:
            return data.decode()
        if not piece:
            return data.decode()
        data += piece


def test_lines_come_whole_and_in_order(pipe):
    stream = LogStream(pipe[1])
    for number in range(50):
        stream.write(f"event=x number={number}\n")
    assert read_all(pipe[0]).splitlines() == [f"event=x number={n}" for n in range(50)]


def test_a_reader_that_stalls_holds_nothing_up(pipe):
    """The log collector stops reading. Writes must not block, and the next line written
    must report how many lines were dropped."""
    stream = LogStream(pipe[1])
    started = time.monotonic()
    for _ in range(1500):
        stream.write("event=x " + "a" * 200 + "\n")
    assert time.monotonic() - started < 1.0
    assert len(stream.pending) <= MAX_PENDING_BYTES
    assert stream.dropped > 0
    read_all(pipe[0])
    stream.flush()
    stream.write("event=later\n")
    text = read_all(pipe[0])
    assert "event=logs_dropped lines=" in text
    assert text.endswith("event=later\n")


def test_a_flood_of_lines_is_bounded(pipe):
    stream = LogStream(pipe[1])
    total = 0
    for _ in range(20_000):
        stream.write("event=x\n")
        total += len(read_all(pipe[0]).splitlines())
    assert total < BURST_LINES * 1.5


def test_a_reader_that_is_gone_is_no_error(pipe):
    reading, writing = os.pipe()
    stream = LogStream(writing)
    os.close(reading)
    stream.write("event=x\n")
    os.close(writing)
    assert not stream.pending


def test_the_end_of_the_process_is_quiet(pipe):
    """The logging library closes its stream when the process exits. A stream without
    ``close`` logged a traceback at each planned stop."""
    stream = LogStream(pipe[1])
    stream.write("event=x\n")
    stream.close()
    assert read_all(pipe[0]) == "event=x\n"


def test_a_long_value_that_a_caller_chose_is_cut_short():
    """Ids of 14,000 characters made lines of that length, hundreds of them a second."""
    line = format_event("request", request="q" * 14_000, outcome="ok")
    assert len(line) < MAX_VALUE_CHARACTERS + 100
    assert line.endswith("... outcome=ok")
