import socket
import time

import gevent
import msgspec
import pytest
from endive_gateway import datagrams as datagrams_module
from endive_gateway.datagrams import MAX_BATCH, DatagramPort

PORT = 17_640
GAP_S = 0.01
PAUSE_S = 0.1


@pytest.fixture
def received():
    return []


@pytest.fixture
def port(received):
    decoder = msgspec.msgpack.Decoder(int)
    port = DatagramPort(
        "test", decoder, lambda number, _address: received.append((number, now()))
    )
    port.start("127.0.0.1", PORT)
    yield port
    port.stop()


def now():
    return time.monotonic()


def send(number):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(msgspec.msgpack.encode(number), ("127.0.0.1", PORT))


def batches(received):
    """Return how many groups of datagrams were handled, half of a gap apart or more."""
    times = [at for _number, at in received]
    gaps = [late - early for early, late in zip(times, times[1:], strict=False)]
    return 1 + sum(gap > GAP_S / 2 for gap in gaps)


@pytest.mark.parametrize(("pause_s", "most", "least"), [(PAUSE_S, 4, 1), (0.0, 20, 10)])
def test_datagrams_that_arrive_within_the_pause_are_handled_together(
    port, received, pause_s, most, least
):
    """A node among 195 receives a hundred state messages a second. Woken up for each,
    it spends most of its processor time on them."""
    port.pause_s = pause_s
    for number in range(20):
        send(number)
        gevent.sleep(GAP_S)
    gevent.sleep(PAUSE_S)
    assert [number for number, _at in received] == list(range(20))
    assert least <= batches(received) <= most


def test_a_burst_is_handled_without_pauses(port, received):
    """All nodes start at once and send each other their states. With a pause after each
    batch the last ones would overflow the socket's buffer."""
    port.pause_s = 5.0
    for number in range(3 * MAX_BATCH):
        send(number)
    gevent.sleep(0.2)
    assert len(received) == 3 * MAX_BATCH


def test_an_undecodable_datagram_does_not_end_the_reception(port, received):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(b"\xc1", ("127.0.0.1", PORT))
    send(7)
    gevent.sleep(0.05)
    assert [number for number, _at in received] == [7]


def send_bytes(data):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(data, ("127.0.0.1", PORT))


class Pair(msgspec.Struct, array_like=True):
    first: int


def test_a_message_that_nests_too_deeply_does_not_end_the_reception(port, received):
    """One datagram ended the exchange of a node for good, with a RecursionError."""
    port.decoder = msgspec.msgpack.Decoder(Pair)
    send_bytes(b"\x92\x01" + b"\x91" * 60_000)
    send_bytes(b"\x91\x07")
    gevent.sleep(0.05)
    assert [pair.first for pair, _at in received] == [7]


def test_a_message_that_a_handler_cannot_use_does_not_end_the_reception(port):
    """One message with an impossible value ended the exchange of a node for good."""
    handled = []

    def handle(number, _address):
        handled.append(10 / number)

    port.handle = handle
    send(0)
    send(5)
    gevent.sleep(0.05)
    assert handled == [2]


def test_messages_that_cannot_be_used_are_logged_once_a_second(port, caplog):
    """Anyone can send a thousand such messages a second, each with a traceback."""
    for _ in range(50):
        send_bytes(b"\xc1")
    gevent.sleep(0.05)
    assert len(caplog.records) == 1


@pytest.mark.parametrize("odd", ["", "name.invalid", "x" * 300, "\0", "0.0.0.0", "é"])
def test_a_message_goes_out_beside_one_to_an_impossible_address(odd):
    """An odd address in the list of nodes kept the messages from the nodes after it."""
    port = DatagramPort("test", msgspec.msgpack.Decoder(int), print)
    port.socket = FullSocket(refusals=0)
    port.send(1, [odd, "127.0.0.2"])
    assert port.socket.sent == [("127.0.0.2", 0)]


class FullSocket:
    """A socket whose buffer is full for the first datagrams."""

    def __init__(self, refusals):
        self.refusals = refusals
        self.sent = []

    def sendto(self, data, address):
        if self.refusals:
            self.refusals -= 1
            raise BlockingIOError
        self.sent.append(address)

    def fileno(self):
        return -1


def test_a_send_waits_for_a_full_buffer(monkeypatch):
    """A starting node sends its state to all nodes at once; on a slow link some
    messages do not fit into the buffer, and would be lost."""
    monkeypatch.setattr(datagrams_module, "wait_write", lambda _fileno: None)
    port = DatagramPort("test", msgspec.msgpack.Decoder(int), print)
    port.socket = FullSocket(refusals=2)
    port.send(1, ["127.0.0.1", "127.0.0.2"])
    assert [address for address, _port in port.socket.sent] == [
        "127.0.0.1",
        "127.0.0.2",
    ]
