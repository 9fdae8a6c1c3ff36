"""Parsing and encoding of HTTP/1.1 messages, based on ``httptools``.

The parser rejects messages that two recipients could frame differently: several
lengths, a length together with chunked coding, unknown transfer codings, folded
headers, bare line feeds. Accepted messages are encoded anew with a single length or
with chunked coding, which prevents request smuggling.
"""

from collections import deque
from collections.abc import Iterable, Iterator

import httptools

from endive_gateway.exceptions import BadMessageError, NoRoomError
from endive_gateway.interfaces import Headers
from endive_gateway.machine import Machine
from endive_gateway.memory_budget import (
    MESSAGE_BYTES,
    PIECE_BYTES,
    HeldRequest,
    RequestMemory,
)

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
"""Headers that concern a single connection, or that the gateway encodes itself."""

FRAMING_HEADERS = frozenset(
    {b"host", b"connection", b"content-length", b"transfer-encoding", b"expect"}
)
"""Headers that the parsers themselves read."""

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}


class Message:
    """The common part of requests and responses, filled in by a parser.

    Attributes
    ----------
    body : list of bytes
        Parts of the body as received.
    head_done : bool
        Whether the head is complete.
    complete : bool
        Whether the whole message is complete.
    """

    __slots__ = ("body", "complete", "head_done", "headers")

    def __init__(self) -> None:
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.head_done = False
        self.complete = False

    def framing_values(self) -> dict[bytes, list[bytes]]:
        """Return the values of the headers that frame the message, by name."""
        values: dict[bytes, list[bytes]] = {}
        for name, value in self.headers:
            lower_name = name.lower()
            if lower_name in FRAMING_HEADERS:
                values.setdefault(lower_name, []).append(value)
        return values


class CompactHeaders:
    """Headers in a single object.

    A tuple of two objects takes 150 bytes, and a header line may have four.
    """

    __slots__ = ("lines",)

    def __init__(self) -> None:
        self.lines = bytearray()

    def append(self, header: tuple[bytes, bytes]) -> None:
        """Append a header, whose value the parser has checked to be a single line."""
        self.lines += b"%b:%b\n" % header

    def wire_bytes(self) -> int:
        """Return the least bytes that the lines took as sent."""
        return len(self.lines) + self.lines.count(b"\n")

    def clear(self) -> None:
        """Remove all headers."""
        self.lines = bytearray()

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        for line in bytes(self.lines).split(b"\n")[:-1]:
            name, _, value = line.partition(b":")
            yield name, value


class RequestMessage(Message):
    """A caller's request.

    Attributes
    ----------
    has_length : bool
        Whether it has a Content-Length or a transfer coding.
    expects_continue : bool
        Whether the caller waits for ``100 Continue`` before it sends the body.
    held : HeldRequest
        The memory that it takes.
    has_no_room : bool
        Whether there is no memory for its head, or for its body. The rest is dropped as
        it comes.
    """

    __slots__ = (
        "expects_continue",
        "has_length",
        "has_no_room",
        "held",
        "keep_alive",
        "method",
        "target",
    )

    def __init__(self, held: HeldRequest) -> None:
        super().__init__()
        self.headers = CompactHeaders()
        self.method = b""
        self.target = b""
        self.keep_alive = True
        self.has_length = False
        self.expects_continue = False
        self.held = held
        self.has_no_room = False

    def take_body(self) -> bytes:
        """Return the body, which is kept by the receiver only from then on."""
        taken = b"".join(self.body)
        self.body.clear()
        return taken

    def release(self) -> None:
        """Drop head and body, and give their memory back."""
        self.headers.clear()
        self.body.clear()
        self.held.release()


class MessageParser:
    """Builds messages in the callbacks of ``httptools``."""

    def __init__(self) -> None:
        self.messages: deque = deque()
        self.current = None

    def on_message_begin(self) -> None:
        """Begin a message."""
        self.current = self._new_message()
        self.messages.append(self.current)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        # Fields after the head are trailers, which no code here needs.
        if not self.current.head_done:
            self.current.headers.append((name, value))

    def on_message_complete(self) -> None:
        """Mark the message as complete."""
        self.current.complete = True


class RequestParser(MessageParser):
    """Parses the requests on a caller's connection.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Size limits of one request.
    memory : RequestMemory
        Memory that all requests share.

    Attributes
    ----------
    head_bytes, trailer_bytes : int
        Bytes received of a head, and since the last piece of a body.
    """

    def __init__(
        self,
        max_header_bytes: int,
        max_body_bytes: int,
        memory: RequestMemory | None = None,
    ) -> None:
        super().__init__()
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.memory = memory or RequestMemory.from_machine(Machine())
        self.head_bytes = 0
        self.trailer_bytes = 0
        self.body_bytes = 0
        self.rejection: BadMessageError | None = None
        self.parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Parse bytes received on the connection.

        A request for whose head there is no memory is the last one that is parsed.

        Raises
        ------
        BadMessageError
            If a request is malformed or exceeds a limit.
        """
        in_head = self.current is None or not self.current.head_done
        if in_head:
            self.head_bytes += len(data)
        else:
            self.trailer_bytes += len(data)
        try:
            self._parse(data)
        except NoRoomError:
            return  # `has_no_room` of the request says so, after those before it
        unfinished = self.current is not None and not self.current.head_done
        if unfinished and self.head_bytes > self.max_header_bytes:
            raise BadMessageError("the header is too large", 431)
        if self.trailer_bytes > max(len(data), self.max_header_bytes):
            raise BadMessageError("the trailers are too large", 431)

    def _parse(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._decline_upgrade()
        except httptools.HttpParserError as error:
            raise self.rejection or BadMessageError(str(error)) from None
        if self.current is not None and not self.current.head_done:
            self._hold_head()

    def release(self) -> None:
        """Drop all requests that have not been taken, and give their memory back."""
        for message in self.messages:
            message.release()
        self.messages.clear()
        self.current = None

    def _new_message(self) -> RequestMessage:
        return RequestMessage(HeldRequest(self.memory, is_long=bool(self.messages)))

    def on_message_begin(self) -> None:
        """Begin a request; raises NoRoomError without room for it."""
        super().on_message_begin()
        self._hold_head()

    def _hold_head(self) -> None:
        """Hold the head as far as it has come; raises NoRoomError without room."""
        message = self.current
        size = MESSAGE_BYTES + len(message.target) + len(message.headers.lines)
        if not message.held.grow_head(size - message.held.head):
            message.has_no_room = True
            message.keep_alive = False
            message.release()
            self.rejection = NoRoomError("there is no memory for the request's head")
            raise self.rejection

    def _decline_upgrade(self) -> None:
        """Ignore a request's ``Upgrade``, and close the connection after the response.

        The parser leaves all bytes that follow to the other protocol, so a body or
        another request on the connection could not be parsed.

        Raises
        ------
        BadMessageError
            If the request has a body or is a CONNECT.
        """
        message = self.current
        if message is None or message.method == b"CONNECT" or message.has_length:
            raise BadMessageError("protocol upgrades are not supported")
        message.keep_alive = False

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.current.target += url

    def on_headers_complete(self) -> None:
        """Validate the head of a request; raises :class:`BadMessageError`."""
        self._hold_head()
        message = self.current
        message.head_done = True
        message.method = self.parser.get_method()
        message.keep_alive = self.parser.should_keep_alive()
        self.rejection = self._validate_head(message)
        if self.rejection is not None:
            raise self.rejection
        self.body_bytes = 0
        self.trailer_bytes = 0

    def _validate_head(self, message: RequestMessage) -> BadMessageError | None:
        if self.parser.get_http_version() not in ("1.1", "1.0"):
            return BadMessageError("the HTTP version is not supported", 505)
        values = message.framing_values()
        if message.headers.wire_bytes() + len(message.target) > self.max_header_bytes:
            return BadMessageError("the header is too large", 431)
        if not message.target.startswith(b"/"):
            return BadMessageError("the request target is not a path")
        if len(values.get(b"host", ())) != 1:
            return BadMessageError("exactly one Host header is required")
        codings = values.get(b"transfer-encoding")
        if codings and codings[0].strip().lower() != b"chunked":
            return BadMessageError("the transfer coding is not supported", 501)
        lengths = values.get(b"content-length")
        if lengths and int(lengths[0]) > self.max_body_bytes:
            return BadMessageError("the body is too large", 413)
        message.has_length = bool(lengths or codings)
        expects = values.get(b"expect", [b""])[0].lower()
        message.expects_continue = expects == b"100-continue"
        if lengths and not message.held.fits_body(int(lengths[0])):
            self._drop_body(message)
        return None

    def on_body(self, data: bytes) -> None:
        """Append a part of the body; raises :class:`BadMessageError` if too large."""
        self.body_bytes += len(data)
        if self.body_bytes > self.max_body_bytes:
            self.rejection = BadMessageError("the body is too large", 413)
            raise self.rejection
        self.trailer_bytes = 0
        message, size = self.current, len(data) + PIECE_BYTES
        if message.has_no_room:
            return
        if not message.held.grow_body(size):
            self._drop_body(message)
            return
        message.body.append(data)

    def _drop_body(self, message: RequestMessage) -> None:
        message.has_no_room = True
        message.keep_alive = False
        message.held.release_body()
        message.body.clear()

    def on_message_complete(self) -> None:
        """Mark the request as complete."""
        super().on_message_complete()
        self.head_bytes = 0
        self.trailer_bytes = 0


def end_to_end(
    headers: Iterable[tuple[bytes, bytes]], kept: frozenset[bytes] = frozenset()
) -> Headers:
    """Return the end-to-end headers, which are forwarded to the next hop.

    Parameters
    ----------
    kept : frozenset of bytes
        Lower-case names that are forwarded even if a ``Connection`` header lists them.
    """
    dropped = set(HOP_BY_HOP_HEADERS)
    for name, value in headers:
        if name.lower() == b"connection":
            dropped |= {part.strip().lower() for part in value.split(b",")} - kept
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def encode_head(first_line: bytes, headers: Headers) -> bytes:
    """Return the encoded head of a message."""
    lines = [first_line]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def status_line(status: int, reason: bytes = b"") -> bytes:
    """Return the status line of a response, without the line end."""
    reason = reason or REASON_PHRASES.get(status, "Status").encode()
    return b"HTTP/1.1 %d %s" % (status, reason)


def host_name(host: str) -> str:
    """Return the host name in a ``Host`` header's value, without the port."""
    name, _, port = host.rpartition(":")
    return name if name and port.isdigit() else host
