"""Backend servers that send an endive-node what is no response, or half of one."""

import socket
import struct
import threading
from contextlib import suppress

import pytest
import urllib3
from endive_core.messages import Request
from endive_node.backends import BackendClients
from endive_node.interfaces import BackendError
from endive_node.platform import HttpService
from endive_node.settings import BackendSection

RESET_AT_CLOSE = struct.pack("ii", 1, 0)
LINE = b"HTTP/1.1 200 OK\r\n"
REST = b"Content-Length: 4\r\n\r\nfine"
INVALID = {
    "status 000": b"HTTP/1.1 000 OK\r\n" + REST,
    "status 600": b"HTTP/1.1 600 OK\r\n" + REST,
    "status 999": b"HTTP/1.1 999 OK\r\n" + REST,
    "HTTP/1.7": b"HTTP/1.7 200 OK\r\n" + REST,
    "a control byte in the reason": b"HTTP/1.1 200 O\x01K\r\n" + REST,
    "a blank in a name": LINE + b"A B: c\r\n" + REST,
    "a blank before the colon": LINE + b"A : c\r\n" + REST,
    "a control byte in a name": LINE + b"A\x01B: c\r\n" + REST,
    "no name": LINE + b": c\r\n" + REST,
    "a line without a colon": LINE + b"A\r\n" + REST,
    "CR in a value": LINE + b"A: b\rContent-Length: 0\r\n" + REST,
    "a folded line": LINE + b"A: b\r\n c\r\n" + REST,
}
"""By name, what a server sends. None is a response."""

LONG_BODY = bytes(8_000_000)
MOST_SENT = 64 * 2**20
MOST_TAKEN = 32 * 2**20
ENDLESS = {
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1_000),
    "a body": (LINE + b"\r\n", bytes(65_536)),
    "an error's body": (b"HTTP/1.1 500 No\r\n\r\n", bytes(65_536)),
    "a refusal's body": (b"HTTP/1.1 503 No\r\n\r\n", bytes(65_536)),
}
"""By name, what a server sends first, and then for as long as it is read."""


class ScriptedPort:
    """A port that sends a connection some bytes once it has read some.

    Parameters
    ----------
    piece : bytes
        What is sent then, up to `MOST_SENT` bytes.

    Attributes
    ----------
    keeps_reading : bool
        Whether it reads on; else it resets the connection.
    sent : int
        Bytes of pieces that were sent.
    """

    def __init__(self, data, *, piece=b"", keeps_reading=True):
        self.data = data
        self.piece = piece
        self.sent = 0
        self.keeps_reading = keeps_reading
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.thread = threading.Thread(target=self._serve, daemon=True)

    @property
    def address(self):
        return f"127.0.0.1:{self.listener.getsockname()[1]}"

    def _serve(self):
        sock, _ = self.listener.accept()
        with sock:
            sock.recv(65_536)
            sock.sendall(self.data)
            with suppress(OSError):
                while self.piece and self.sent < MOST_SENT:
                    sock.sendall(self.piece)
                    self.sent += len(self.piece)
            if self.keeps_reading:
                sock.recv(65_536)
            else:
                option = (socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                sock.setsockopt(*option)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_exc_info):
        self.listener.close()
        self.thread.join(5)


def call(port, body=b""):
    """Return a plain service's response from `port`."""
    clients = BackendClients.from_settings(BackendSection())
    request = Request("q1", "o", "", "", "/x", {}, "", 1, path="/x")
    return clients.plain(port.address).call(request, 0, body)


@pytest.mark.parametrize("kind", INVALID)
def test_what_is_no_response_is_no_answer(kind):
    """The headers after a malformed line were lost, and with them the body's length."""
    with ScriptedPort(INVALID[kind]) as port, pytest.raises(BackendError):
        call(port)


def test_a_sound_response_passes():
    with ScriptedPort(b"HTTP/1.1 100 Continue\r\n\r\n" + LINE + REST) as port:
        assert call(port).body == b"fine"


def test_half_of_a_body_without_a_length_is_no_answer_to_a_long_upload():
    """The error of sending was dropped, and the reset passed for an orderly end."""
    port = ScriptedPort(LINE + b"\r\nhalf", keeps_reading=False)
    with port, pytest.raises(BackendError):
        call(port, LONG_BODY)


@pytest.mark.parametrize("kind", ENDLESS)
def test_bytes_without_end_are_left(kind):
    """They were kept until the machine had no memory left."""
    first, piece = ENDLESS[kind]
    with ScriptedPort(first, piece=piece) as port, pytest.raises(BackendError):
        call(port)
    assert port.sent < MOST_TAKEN


@pytest.mark.parametrize("piece", [bytes(65_536), b"data: " + bytes(65_536)])
def test_an_event_without_end_is_left(piece):
    with ScriptedPort(LINE + b"\r\n", piece=piece) as port:
        engine = BackendClients.from_settings(BackendSection()).engine(port.address)
        request = Request("q1", "o", "", "", "/x", {}, "", 1)
        with pytest.raises(BackendError):
            list(engine.run(request, 0, []))
    assert port.sent < MOST_TAKEN


@pytest.mark.parametrize("kind", ENDLESS)
def test_the_platforms_bytes_without_end_are_left(kind):
    first, piece = ENDLESS[kind]
    with ScriptedPort(first, piece=piece) as port:
        service = HttpService(f"http://{port.address}", 5.0)
        with pytest.raises(urllib3.exceptions.HTTPError):
            service.call("GET", "/x")
    assert port.sent < MOST_TAKEN
