import base64
import json
import struct
import time
import tracemalloc

import gevent
import pytest
from endive_gateway.exceptions import (
    CloudCapacityError,
    CloudError,
    StoreConflictError,
    StoreError,
    StoreOffsetOutOfRangeError,
    StoreOutcomeUnknownError,
    UndecodableError,
)
from endive_gateway.interfaces import Order, Topic
from endive_platform import calls as calls_module
from endive_platform.calls import CallFailedError, PlatformCalls
from endive_platform.cloud import PlatformCloud
from endive_platform.entries import decode_server
from endive_platform.store import PlatformStore
from gevent.server import StreamServer
from ticks import MAX_GAP_S, largest_gap_until_end_s


class Response:
    def __init__(self, status, data=b""):
        self.status = status
        self.data = data if isinstance(data, bytes) else json.dumps(data).encode()


class ScriptedCalls:
    """Scripted responses of the platform, one for each call."""

    def __init__(self, *script):
        self.script = list(script)
        self.recorded = []

    def call(self, method, path, *, query=None, body=None, headers=None, wait_s=0.0):
        self.recorded.append((method, path, query, body, headers))
        entry = self.script.pop(0)
        if isinstance(entry, Exception):
            raise entry
        return entry


def keyed(key, value):
    return bytes([len(key)]) + key + value


def framed(*records, end, first=0):
    data = struct.pack(">QQ", end, first)
    return data + b"".join(struct.pack(">I", len(r)) + r for r in records)


def store(*script):
    return PlatformStore(ScriptedCalls(*script))


def test_records_are_read_with_their_offsets_and_keys():
    data = framed(keyed(b"i-1", b"{}"), keyed(b"i-2", b""), end=9)
    page = store(Response(200, data)).read(Topic.SERVERS, 7)
    assert [(r.offset, r.key, r.value) for r in page.records] == [
        (7, "i-1", b"{}"),
        (8, "i-2", None),
    ]
    assert page.end == 9


def test_a_record_without_a_key_is_all_value():
    page = store(Response(200, framed(b"abc", end=1))).read(Topic.DUTIES, 0)
    assert page.records[0].value == b"abc"


def test_a_page_of_many_records_holds_up_nothing():
    """A page of the smallest records was read in one turn of the event loop."""
    data = framed(*[keyed(b"i", b"x")] * 80_000, end=80_000)
    reads = []

    def read():
        reads.append(store(Response(200, data)).read(Topic.SERVERS, 0))

    assert largest_gap_until_end_s(read) < MAX_GAP_S
    assert len(reads[0].records) == 80_000


@pytest.mark.parametrize("data", [b"", b"short", framed(b"abc", end=1)[:-1]])
def test_a_truncated_response_is_an_error(data):
    with pytest.raises(StoreError):
        store(Response(200, data)).read(Topic.DUTIES, 0)


@pytest.mark.parametrize("odd", [b"", b"\x04i-1", b"\xffi-1", b"\xff"])
def test_a_record_that_is_shorter_than_its_key_deletes_no_other_key(odd):
    """A server was dropped at all nodes by a record that began like its own."""
    data = framed(odd, keyed(b"i-2", b"{}"), end=2)
    page = store(Response(200, data)).read(Topic.SERVERS, 0)
    first, second = page.records
    assert (first.key, bool(first.value)) == ("", True)
    assert (second.offset, second.key, second.value) == (1, "i-2", b"{}")


def test_a_key_that_is_no_text_spoils_no_other_record():
    """One record with a key of other bytes must not end the read of the topic."""
    data = framed(keyed(b"\xff\xfe", b"{}"), keyed(b"i-2", b"{}"), end=2)
    page = store(Response(200, data)).read(Topic.SERVERS, 0)
    assert [record.key for record in page.records] == ["\ufffd\ufffd", "i-2"]


@pytest.mark.parametrize("odd", ["=", "abc", "é", "{}", "e30\n="])
def test_a_value_that_is_not_base64_spoils_no_other_record(odd):
    """No node read the servers at its start while one such value lay among them."""
    items = [
        {"key": "odd", "value": odd, "offset": 1},
        {"key": "i-2", "value": base64.b64encode(b"{}").decode(), "offset": 2},
    ]
    response = Response(200, {"items": items, "truncated": False, "end": 3})
    first, second = store(response).newest(Topic.SERVERS).records
    assert first.value
    assert (second.key, second.value) == ("i-2", b"{}")
    with pytest.raises(UndecodableError):
        decode_server("i-1", first.value)


@pytest.mark.parametrize(
    "data",
    [
        b'{"items": [], "truncated": false, "end": ' + b"9" * 400 + b"}",
        b'{"items": [], "truncated": false, "end": -1}',
        b'{"items": ' + b"[" * 60_000 + b"]" * 60_000 + b"}",
        b'{"items": [], "truncated": false, "end": 1, "x": ' + b'{"a":' * 60_000,
        b"\xff",
    ],
)
def test_a_page_that_cannot_be_read_is_an_error_of_the_store(data):
    """Any other error ended the loop of its reader in place of a retry."""
    with pytest.raises(StoreError):
        store(Response(200, data)).newest(Topic.SERVERS)


def test_an_offset_out_of_range_reports_the_oldest_offset():
    with pytest.raises(StoreOffsetOutOfRangeError) as caught:
        store(Response(410, {"first": 12})).read(Topic.SERVERS, 7)
    assert caught.value.first == 12


def test_the_newest_records_are_read_page_by_page():
    def page(*keys, truncated):
        items = [
            {"key": k, "value": base64.b64encode(b"x").decode(), "offset": 1}
            for k in keys
        ]
        return Response(200, {"items": items, "truncated": truncated, "end": 5})

    adapter = store(page("a", "b", truncated=True), page("c", truncated=False))
    found = adapter.newest(Topic.SERVERS)
    assert [record.key for record in found.records] == ["a", "b", "c"]
    assert adapter.calls.recorded[1][2]["after"] == "b"
    assert found.end == 5


def test_a_conditional_append_returns_its_offset_or_reports_the_end():
    adapter = store(Response(200, {"offset": 4, "end": 5}), Response(412, {"end": 9}))
    assert adapter.append(Topic.DUTIES, b"x", at=4) == 4
    assert adapter.calls.recorded[0][3] == b"\x00\x00\x00\x01x"
    with pytest.raises(StoreConflictError) as caught:
        adapter.append(Topic.DUTIES, b"x", at=5)
    assert caught.value.end == 9


def test_an_append_without_a_response_has_an_unknown_outcome_once_it_was_sent():
    with pytest.raises(StoreOutcomeUnknownError):
        store(CallFailedError("lost", sent=True)).append(Topic.DUTIES, b"x")
    with pytest.raises(StoreError) as caught:
        store(CallFailedError("refused", sent=False)).append(Topic.DUTIES, b"x")
    assert not isinstance(caught.value, StoreOutcomeUnknownError)


@pytest.mark.parametrize("status", [429, 503, 507, 500])
def test_an_error_status_is_a_store_error(status):
    with pytest.raises(StoreError):
        store(Response(status)).read(Topic.SERVERS, 0)


def test_a_read_without_a_response_has_no_unknown_outcome():
    with pytest.raises(StoreError) as caught:
        store(CallFailedError("lost", sent=True)).read(Topic.SERVERS, 0)
    assert not isinstance(caught.value, StoreOutcomeUnknownError)


def cloud(*script):
    return PlatformCloud(ScriptedCalls(*script))


def test_usage_names_holder_and_fencing_token():
    adapter = cloud(Response(200))
    adapter.report_usage("n1", 12, 7, {"p": 1, "o": 2})
    method, path, _, body, headers = adapter.calls.recorded[0]
    assert (method, path) == ("POST", "/usage")
    assert json.loads(body) == {"window_id": 7, "counts": {"o": 2, "p": 1}}
    assert (headers["Duty-Holder"], headers["Fencing-Token"]) == ("n1", "12")


def test_orders_of_both_kinds():
    adapter = cloud(Response(200), Response(200), Response(409), Response(503))
    adapter.order("n1", 1, Order("s", "a", 2, True))
    adapter.order("n1", 1, Order("s", "a", 2, False))
    bodies = [json.loads(call[3]) for call in adapter.calls.recorded]
    assert bodies[0] == {"service": "s", "zone": "a", "desired": 2, "spot": True}
    assert "spot" not in bodies[1]
    with pytest.raises(CloudCapacityError):
        adapter.order("n1", 1, Order("s", "a", 2, True))
    with pytest.raises(CloudError):
        adapter.order("n1", 1, Order("s", "a", 2, True))


def test_a_waiting_call_does_not_block_other_greenlets():
    """A long-polling read of the store waits for seconds. If it blocked the process, no
    caller would be served meanwhile."""
    server = StreamServer(("127.0.0.1", 0), lambda _sock, _address: gevent.sleep(5))
    server.start()
    calls = PlatformCalls(f"127.0.0.1:{server.server_port}")
    waiting = gevent.spawn(calls.call, "GET", "/x")
    iterations = 0
    with gevent.Timeout(4.0, False):
        while iterations < 16 and not waiting.ready():
            gevent.sleep(0.01)
            iterations += 1
    still_waits = not waiting.ready()
    waiting.kill()
    server.stop(0)
    assert still_waits
    assert iterations == 16


def test_a_call_without_a_response_may_have_been_executed(monkeypatch):
    monkeypatch.setattr(calls_module, "READ_TIMEOUT_S", 0.1)
    server = StreamServer(("127.0.0.1", 0), lambda _sock, _address: gevent.sleep(5))
    server.start()
    with pytest.raises(CallFailedError) as caught:
        PlatformCalls(f"127.0.0.1:{server.server_port}").call("GET", "/x")
    server.stop(0)
    assert caught.value.sent


def send_without_end(sock, _address):
    """Answer a call with a body without end."""
    sock.recv(65_536)
    sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
    end = time.monotonic() + 2.0
    while time.monotonic() < end:
        sock.sendall(b"x" * 16_384)


def test_an_answer_of_the_cloud_without_end_takes_no_memory():
    """16 MiB of an answer whose body nobody reads were kept, and copied once."""
    server = StreamServer(("127.0.0.1", 0), send_without_end)
    server.start()
    address = f"127.0.0.1:{server.server_port}"
    cloud = PlatformCloud(PlatformCalls(address, keeps_bodies=False))
    tracemalloc.start()
    with pytest.raises(CloudError) as caught:
        cloud.report_usage("n1", 1, 1, {"o": 1})
    most = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    server.stop(0)
    assert caught.value.sent
    assert most < 2**20


def test_a_refused_connection_has_sent_nothing():
    with pytest.raises(CallFailedError) as caught:
        PlatformCalls("127.0.0.1:1").call("GET", "/x")
    assert not caught.value.sent


def test_a_page_that_ends_with_the_empty_key_is_followed_by_the_next_one():
    """The first page was asked for again without end."""
    first = {"items": [{"key": "", "value": "", "offset": 0}], "truncated": True}
    second = {"items": [], "truncated": False}
    read = store(Response(200, first | {"end": 1}), Response(200, second | {"end": 1}))
    read.newest(Topic.SERVERS)
    assert read.calls.recorded[1][2]["after"] == ""
