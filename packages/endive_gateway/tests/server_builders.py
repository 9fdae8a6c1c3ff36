"""Builders for tests of the gateway: backend servers with scripted responses."""

import struct
import time
from collections import Counter

import gevent
from endive_gateway.http import RequestParser
from endive_node.sockets import listen_tcp
from gevent import socket
from gevent.server import StreamServer

LONG_UPLOAD = bytes(900_000)
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
EVENTS = 6
"""Events of a whole stream of `stream_from`."""


class LateCopies:
    """Script entries of a server that sends each refusal a second time, late.

    The copy comes on the same connection when the next request has arrived there.

    Attributes
    ----------
    refusals : int
        Times that the server refuses each request.
    ran : Counter of str
        How often each request ran, by its id.
    """

    def __init__(self, refusals):
        self.refusals = refusals
        self.refused = Counter()
        self.ran = Counter()
        self.late = {}

    def answer(self, sock, received):
        """Answer a request; see :class:`ScriptedServer`."""
        request_id = received.headers["id"]
        sock.sendall(self.late.pop(sock, b""))
        if self.refused[request_id] < self.refusals:
            self.refused[request_id] += 1
            self.late[sock] = encoded(received, 503, b"full", extra="Refused: 1\r\n")
            at_capacity(sock, received)
        else:
            self.ran[request_id] += 1
            ok(sock, received)


class ReceivedRequest:
    """One request as a server received it."""

    def __init__(self, message):
        self.method = message.method.decode()
        self.target = message.target.decode()
        self.headers = {n.decode().lower(): v.decode() for n, v in message.headers}
        self.body = b"".join(message.body)


class ScriptedServer:
    """A backend server that follows a script, one entry for each request.

    An entry is called with the socket and the received request. After the last entry
    every request is answered with ``ok``, or by `answer_rest` if that is set. An entry
    that returns False ends the connection.

    Attributes
    ----------
    reads_bodies : bool
        Whether a request is answered only when its body has been read.
    """

    def __init__(self, *script, server_id="i-1", software_version="v1"):
        self.id = server_id
        self.software_version = software_version
        self.script = list(script)
        self.answer_rest = ok
        self.reads_bodies = True
        self.received = []
        self.connections = 0
        self.closed = []
        self.server = StreamServer(listen_tcp("127.0.0.1", 0), self._serve)
        self.server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server_port}"

    def stop(self):
        self.server.stop(0)

    def _serve(self, sock, _address):
        self.connections += 1
        parser = RequestParser(65_536, 10_000_000)
        try:
            while True:
                while not (parser.messages and self._is_due(parser.messages[0])):
                    data = sock.recv(65_536)
                    if not data:
                        self.closed.append(time.monotonic())
                        return
                    parser.feed(data)
                received = ReceivedRequest(parser.messages.popleft())
                self.received.append(received)
                entry = self.script.pop(0) if self.script else self.answer_rest
                if entry(sock, received) is False:
                    return
        except OSError:
            self.closed.append(time.monotonic())
        finally:
            sock.close()

    def _is_due(self, message):
        return message.complete or (message.head_done and not self.reads_bodies)


def open_pair():
    """Return the two ends of a TCP connection."""
    listener = listen_tcp("127.0.0.1", 0)
    ours = socket.create_connection(listener.getsockname())
    theirs, _ = listener.accept()
    listener.close()
    return ours, socket.socket(fileno=theirs.detach())


def reset(sock):
    """Close a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    sock.close()


def half_then_reset(sock, received):
    """Send half of a stream without a length, and reset the connection."""
    sock.sendall(_unframed_head(received) + event(1))
    reset(sock)
    return False


def half_then_end(sock, received):
    """Send a stream without a length, end it in an orderly way, and then reset."""
    sock.sendall(_unframed_head(received) + event(1) + event(2))
    sock.shutdown(socket.SHUT_WR)
    gevent.sleep(0.05)
    reset(sock)
    return False


def refuse_then_reset(sock, received):
    """Refuse a request before its body is read, and reset the connection."""
    at_capacity(sock, received)
    reset(sock)
    return False


def _unframed_head(received):
    head = (
        f"HTTP/1.1 200 OK\r\nId: {received.headers['id']}\r\nSigned: yes\r\n"
        "Content-Type: text/event-stream\r\n\r\n"
    )
    return head.encode()


def answer(status=200, body=b"fine", *, signed=True, extra="", request_id=None):
    """Return a script entry that sends a response with a ``Content-Length``."""

    def send(sock, received):
        sock.sendall(encoded(received, status, body, signed, extra, request_id))

    return send


def encoded(received, status=200, body=b"fine", signed=True, extra="", request_id=None):
    """Return the bytes of a response."""
    signature = "Signed: yes\r\n" if signed else ""
    request_id = request_id or received.headers["id"]
    head = (
        f"HTTP/1.1 {status} X\r\nId: {request_id}\r\n{signature}{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


ok = answer()
at_capacity = answer(503, b"full", extra="Refused: 1\r\n")
misdirected = answer(421, b"", extra="Refused: 1\r\n")
failing = answer(500, b"failed")


def close_connection(sock, _received):
    """Close the connection without a response, as a crash does."""
    sock.close()
    return False


def crash_server(server):
    """Return a script entry that ends `server`, which then refuses connections."""

    def crash(sock, _received):
        server.stop()
        sock.close()
        return False

    return crash


def raw(data, *, close=False):
    """Return a script entry that sends `data`, with the request's id for ``%ID``."""

    def send(sock, received):
        sock.sendall(data.replace(b"%ID", received.headers["id"].encode()))
        return False if close else None

    return send


def events(first, last, *, cut=b"", end=True, gap_s=0.0, data=None):
    """Return a script entry that streams events with ids from `first` to `last`.

    They hold `data` if it is given. `cut` is sent after them. Without `end` the
    connection closes inside the body.
    """

    def send(sock, received):
        head = (
            f"HTTP/1.1 200 OK\r\nId: {received.headers['id']}\r\nSigned: yes\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        sock.sendall(head.encode())
        for number in range(first, last + 1):
            sock.sendall(chunk(event(number, data)))
            gevent.sleep(gap_s)
        if cut:
            sock.sendall(chunk(cut))
        if not end:
            return False
        sock.sendall(b"0\r\n\r\n")
        return None

    return send


def whole_stream(first, last, *, cut=b"", framing="connection"):
    """Return a script entry that sends the events at once, and ends in an orderly way.

    `cut` is sent after them. With the framing ``connection`` the answer has neither a
    length nor chunks; else ``length`` or ``chunked`` says that it is complete.
    """

    def send(sock, received):
        body = b"".join(event(number) for number in range(first, last + 1)) + cut
        header = {
            "connection": "Connection: close",
            "length": f"Content-Length: {len(body)}",
            "chunked": "Transfer-Encoding: chunked",
        }[framing]
        head = (
            f"HTTP/1.1 200 OK\r\nId: {received.headers['id']}\r\nSigned: yes\r\n"
            f"Content-Type: text/event-stream\r\n{header}\r\n\r\n"
        )
        if framing == "chunked":
            body = (chunk(body) if body else b"") + b"0\r\n\r\n"
        sock.sendall(head.encode() + body)
        return False if framing == "connection" else None

    return send


def event(number, data=None):
    """Return the bytes of one server-sent event."""
    data = f"t{number}" if data is None else data
    return b"id: %d\ndata: %b\n\n" % (number, data.encode())


def chunk(data):
    """Return `data` in chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def unresponsive(_sock, _received):
    """Send no response within 30 s."""
    gevent.sleep(30)


def stream_from(version, *, breaks_after=None):
    """Return a script entry that goes on where the caller says.

    A stream that starts at its first event breaks after `breaks_after` events.
    """

    def send(sock, received):
        first = int(received.headers.get("after", 0)) + 1
        is_cut = breaks_after is not None and first == 1
        last = breaks_after if is_cut else EVENTS
        return events(first, last, end=not is_cut, data=version)(sock, received)

    return send


def versions_in(body):
    """Return the versions that made the events of a response."""
    return {line for line in body.decode().split("\n") if line.startswith("data")}
