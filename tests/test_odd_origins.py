"""Records of the origins of streams that no node has written."""

import pytest
from endive_core.stream_origins import StreamOrigin
from endive_gateway.exceptions import UndecodableError
from endive_gateway.interfaces import Topic
from endive_gateway.origin_documents import (
    BegunStream,
    decode_list,
    encode_streams,
)
from gateway_builders import make_context
from store_builders import MemoryStore

DEEP = b"\x91" * 60_000
ODD_DOCUMENTS = {
    "empty": b"",
    "not msgpack": b"\xc1",
    "nested": b"\x95\x01\x90\xc3\x00" + DEEP,
    "nested streams": b"\x94\x01\x90\x90" + DEEP,
    "large offset": b"\x94\x01\x90\xc3\xcf" + b"\xff" * 8,
    "offset below 0": b"\x94\x01\x90\xc3\xff",
}
odd_documents = pytest.mark.parametrize(
    "odd", ODD_DOCUMENTS.values(), ids=ODD_DOCUMENTS
)


@odd_documents
def test_an_odd_list_of_origins_is_not_read(odd):
    """The loop of the node that records origins ended at it, again and again."""
    with pytest.raises(UndecodableError):
        decode_list(odd)


@odd_documents
def test_the_streams_beside_an_odd_record_are_read(odd):
    """No stream was taken up any more: each read of the log ended at the record."""
    store = MemoryStore()
    recorder = make_context(store=store).origin_recorder
    stream = BegunStream(b"k", StreamOrigin("s", "v"), 1, 1)
    store.append(Topic.STREAMS, odd)
    store.append(Topic.STREAMS, encode_streams([stream]))
    recorder._read_streams()
    assert b"k" in recorder.recorded.found
    assert recorder.recorded.next_offset == 2
