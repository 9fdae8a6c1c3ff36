import pytest
from endive_core.messages import Endpoint, Piece, Request
from endive_node.request_registry import RequestRecord


@pytest.fixture
def record():
    request = Request("r-1", "kerloch", "default", "chat", Endpoint.CHAT, {}, "x", 9)
    record = RequestRecord(request, accepted_at=0.0, attempt=2)
    record.append(Piece("r-1", 2, 0, "a "))
    record.append(Piece("r-1", 2, 1, "b "))
    return record


@pytest.mark.parametrize(
    ("piece", "reason"),
    [
        (Piece("r-1", 2, 2, "c "), ""),
        (Piece("r-9", 2, 2, "c "), "foreign"),
        (Piece("r-1", 1, 2, "c "), "late"),
        (Piece("r-1", 2, 1, "b "), "repeated"),
        (Piece("r-1", 2, 3, "d "), "reordered"),
    ],
)
def test_only_the_next_piece_of_this_attempt_is_appended(record, piece, reason):
    """A server repeats, swaps or misdirects pieces, or an abandoned attempt still sends
    some; the caller would read a garbled response, or another caller's."""
    assert record.classify(piece) == reason
