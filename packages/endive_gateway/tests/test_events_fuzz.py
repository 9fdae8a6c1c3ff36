"""Streams in pieces of any size, and with any foreign bytes in them."""

import re

from endive_gateway.events import EventSplitter
from endive_gateway.interfaces import EventFormat
from hypothesis import example, given, settings
from hypothesis import strategies as st

FORMAT = EventFormat(first_id=1)
LINE_END = re.compile(r"\r\n|\n|\r")
LINE_ENDS = st.sampled_from(["\n", "\r\n", "\r"])
FUZZ = settings(derandomize=True, database=None, deadline=None, max_examples=300)
TEXT = st.text(st.characters(codec="utf-8", exclude_characters="\r\n\0"), max_size=8)
EXTRA = st.builds(
    str.format,
    st.sampled_from([": {}", ":{}", "data:{}", "data: {}", "event: {}", "retry:{}"]),
    TEXT,
)
FOREIGN = st.one_of(
    st.binary(min_size=1, max_size=12),
    st.text("\r\n\0: id0123data", min_size=1, max_size=24).map(str.encode),
    st.sampled_from(
        [
            b"\n\n",
            b"\r\r",
            b"id: 1\ndata: x\n\n",
            b"HTTP/1.1 200 OK\r\n\r\n",
            b"\xff\n\n",
        ]
    ),
)


@st.composite
def streams(draw, first=1):
    """Return the parts of a stream: events with ids from `first` on, and comments."""
    end = draw(LINE_ENDS)
    parts = []
    for number in range(first, first + draw(st.integers(1, 5))):
        if draw(st.booleans()):
            parts.append(f": {draw(TEXT)}{end}{end}")
        lines = [f"id: {number}", f"data: {draw(TEXT)}", *draw(st.lists(EXTRA))]
        parts.append("".join(line + end for line in draw(st.permutations(lines))) + end)
    return [part.encode() for part in parts]


def pieces(data, cuts):
    """Return `data` cut at some places."""
    places = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[a:b] for a, b in zip(places, places[1:], strict=False)]


def read_ids(data):
    """Return the ids of a whole stream's events as a caller reads them.

    Fails unless each block of lines is an event or a comment.
    """
    text = data.decode()
    assert "\0" not in text
    *lines, rest = LINE_END.split(text)
    assert rest == ""
    ids, block = [], []
    for line in lines:
        if line:
            block.append(line)
            continue
        fields = [f.partition(":")[::2] for f in block if not f.startswith(":")]
        assert block and {name.encode() for name, _ in fields} <= FORMAT.fields
        if fields:
            found = [value.strip() for name, value in fields if name == "id"]
            assert len(found) == 1 and "data" in dict(fields)
            ids += found
        block = []
    assert not block
    return ids


def forward(splitter, parts):
    """Return what a splitter lets pass until the first violation, and at the end."""
    passed = b""
    for part in parts:
        passed += splitter.feed(part)
        assert splitter.last_id == ([""] + read_ids(passed))[-1]
        if splitter.violation:
            return passed
    return passed


@FUZZ
@given(streams(), st.lists(st.integers(0)))
def test_sound_events_pass_unchanged_in_any_pieces(parts, cuts):
    """A check of events that depends on how they arrive loses sound ones."""
    stream = b"".join(parts)
    splitter = EventSplitter(FORMAT)
    passed = b"".join(splitter.feed(piece) for piece in pieces(stream, cuts))
    assert not splitter.violation
    assert not splitter.is_inside_event
    assert passed + splitter.rest() == stream
    assert splitter.count == int(splitter.last_id) == len(read_ids(stream))


@FUZZ
@given(streams(), FOREIGN, st.integers(0), st.lists(st.integers(0)))
@example([b"id: 1\rdata: a\r\r", b"id: 2\rdata: b\r\r"], b"\n", 16, [])
def test_foreign_bytes_anywhere_let_nothing_pass_but_events(parts, foreign, at, cuts):
    """Callers got pieces that no run had made, from a server in trouble."""
    stream = b"".join(parts)
    at %= len(stream) + 1
    spoilt = stream[:at] + foreign + stream[at:]
    splitter = EventSplitter(FORMAT)
    passed = forward(splitter, pieces(spoilt, cuts))
    ids = read_ids(passed)
    assert ids == [str(number) for number in range(1, len(ids) + 1)]
    assert splitter.count == len(ids)
    if not splitter.violation and not splitter.is_inside_event:
        rest = LINE_END.split(splitter.rest().decode())
        assert all(not line or line.startswith(":") for line in rest)


@FUZZ
@given(streams(), st.integers(0), st.data())
def test_a_stream_goes_on_at_another_server_wherever_it_broke_off(parts, at, data):
    """Two servers of one service may end their lines in different ways."""
    stream = b"".join(parts)
    splitter = EventSplitter(FORMAT)
    passed = splitter.feed(stream[: at % (len(stream) + 1)])
    splitter.discard_partial()
    rest = data.draw(streams(first=splitter.count + 1))
    passed += splitter.feed(b"".join(rest))
    assert not splitter.violation
    passed += splitter.rest()
    assert read_ids(passed) == [str(n) for n in range(1, splitter.count + 1)]


class SingleBlockSplitter(EventSplitter):
    """Checks block by block, without the pattern of runs."""

    def _find_run_end(self, start):
        return 0


@FUZZ
@given(streams(), FOREIGN, st.integers(0), st.lists(st.integers(0)))
def test_runs_of_blocks_are_judged_like_single_blocks(parts, foreign, at, cuts):
    """A pattern that accepts more than the check of one block would let bytes pass."""
    stream = b"".join(parts)
    at %= len(stream) + 1
    spoilt = stream[:at] + foreign + stream[at:]
    by_run, by_block = EventSplitter(FORMAT), SingleBlockSplitter(FORMAT)
    for piece in pieces(spoilt, cuts):
        assert by_run.feed(piece) == by_block.feed(piece)
        assert by_run.pending == by_block.pending
    assert by_run.violation == by_block.violation
    assert by_run.last_id == by_block.last_id
    assert by_run.count == by_block.count
    assert by_run.next_number == by_block.next_number
