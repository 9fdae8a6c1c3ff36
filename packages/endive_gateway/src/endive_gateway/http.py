"""Parsing and encoding of HTTP/1.1 messages, based on ``httptools``.

The parser rejects messages that two recipients could frame differently: several
lengths, a length together with chunked coding, unknown transfer codings, folded
headers, bare line feeds. Accepted messages are encoded anew with a single length or
with chunked coding, which prevents request smuggling.
"""

from collections import deque
from collections.abc import Callable, Iterable, Iterator

import httptools

from endive_gateway.exceptions import BadMessageError, NoRoomError
from endive_gateway.interfaces import Headers, ResponseMetadata
from endive_gateway.machine import Machine
from endive_gateway.memory_budget import (
    HEADER_BYTES,
    MESSAGE_BYTES,
    PIECE_BYTES,
    UNCOUNTED_HEAD_BYTES,
    HeldMemory,
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

MAX_OVERHEAD_BYTES = 131_072
"""Largest part of a response without any of its body, bytes. What is read at once may
hold the end of a body before it."""

MAX_HEADERS = 256
"""Headers of a response, and trailers, at most."""

MAX_WAITING_MESSAGES = 32
"""Responses that a connection may hold: interim ones, late ones to earlier requests,
and the one that is awaited."""


MAX_SKIPPED_BYTES = 2**20
"""Largest part of bodies that is read and dropped before the awaited response, bytes.
None of it is kept."""


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


class ResponseMessage(Message):
    """A server's response.

    Attributes
    ----------
    ends_with_connection : bool
        Whether it has neither a length nor chunks, so that the end of the connection
        ends it.
    is_skipped : bool
        Whether its body is dropped as it comes, since nobody reads it.
    metadata : ResponseMetadata or None
        What its headers state, if they have been decoded.
    """

    __slots__ = (
        "ends_with_connection",
        "is_skipped",
        "keep_alive",
        "metadata",
        "reason",
        "status",
    )

    def __init__(self) -> None:
        super().__init__()
        self.status = 0
        self.reason = b""
        self.keep_alive = True
        self.ends_with_connection = False
        self.is_skipped = False
        self.metadata: ResponseMetadata | None = None

    def skip_body(self) -> None:
        """Drop the body, as far as it was received, and what follows of it."""
        self.is_skipped = True
        self.body.clear()

    def take_body(self) -> bytes:
        """Return the bytes of the body received since the last call."""
        if not self.body:
            return b""
        taken = b"".join(self.body)
        self.body.clear()
        return taken


class _Parser:
    """Builds messages in the callbacks of ``httptools``."""

    def __init__(self) -> None:
        self.messages: deque = deque()
        self.current = None

    def on_message_begin(self) -> None:
        self.current = self._new_message()
        self.messages.append(self.current)

    def on_header(self, name: bytes, value: bytes) -> None:
        # Fields after the head are trailers, which no code here needs.
        if not self.current.head_done:
            self.current.headers.append((name, value))

    def on_message_complete(self) -> None:
        self.current.complete = True


class RequestParser(_Parser):
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


class ResponseParser(_Parser):
    """Parses the responses on a connection to a server.

    Attributes
    ----------
    is_awaited : callable
        Returns whether a response whose head is complete is read. The body of any other
        one is dropped.
    skipped_bytes : int
        Bytes of bodies that were dropped since the request was sent.
    overhead_bytes : int
        Bytes received since the last head, piece of a body or end of a message: a part
        of a head, of a chunk's size line, or trailers.
    trailers : int
        Trailers of the current response.
    headers_bytes : int
        Memory that the headers received since the request was sent take, bytes.
    held : HeldMemory or None
        Memory for the heads; ``None`` if it is not bounded.
    """

    def __init__(self, held: HeldMemory | None = None) -> None:
        super().__init__()
        self.held = held
        self.headers_bytes = 0
        self.is_awaited: Callable[[ResponseMessage], bool] = lambda message: True
        self.skipped_bytes = 0
        self.overhead_bytes = 0
        self.trailers = 0
        self.parser = httptools.HttpResponseParser(self)

    def _new_message(self) -> ResponseMessage:
        return ResponseMessage()

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        BadMessageError
            If they are malformed, or too many that belong to no body, or if there is no
            memory for the head.
        """
        self.overhead_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise BadMessageError(str(error)) from None
        if self.overhead_bytes > MAX_OVERHEAD_BYTES:
            raise BadMessageError("a head, a chunk's size or trailers are too long")
        if self.skipped_bytes > MAX_SKIPPED_BYTES:
            raise BadMessageError("what is no awaited response is too long")
        if not self._holds_heads():
            raise BadMessageError("there is no memory for the head")

    def _holds_heads(self) -> bool:
        """Hold what has come of heads; return whether there is room for it."""
        if self.held is None:
            return True
        is_in_head = self.current is not None and not self.current.head_done
        size = self.headers_bytes + self.overhead_bytes * is_in_head
        return self.held.resize(max(0, size - UNCOUNTED_HEAD_BYTES))

    def clear(self) -> None:
        """Drop all responses, and give the memory of their heads back."""
        self.messages.clear()
        self.skipped_bytes = 0
        self.headers_bytes = 0
        if self.held is not None:
            self.held.resize(0)

    def on_message_begin(self) -> None:
        """Begin a response; raises BadMessageError if too many are unread."""
        if len(self.messages) >= MAX_WAITING_MESSAGES:
            raise BadMessageError("too many responses without a request")
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; raises BadMessageError if there are too many."""
        self.trailers += self.current.head_done
        if len(self.current.headers) >= MAX_HEADERS or self.trailers > MAX_HEADERS:
            raise BadMessageError("too many headers")
        self.headers_bytes += len(name) + len(value) + HEADER_BYTES
        super().on_header(name, value)

    def on_status(self, reason: bytes) -> None:
        """Append a part of the reason phrase."""
        self.current.reason += reason

    def on_headers_complete(self) -> None:
        """Determine the status, persistence and framing of a response."""
        self.overhead_bytes = 0
        self.trailers = 0
        message = self.current
        message.head_done = True
        message.status = self.parser.get_status_code()
        values = message.framing_values()
        connection = b",".join(values.get(b"connection", ())).lower()
        message.keep_alive = b"close" not in connection
        framed = b"content-length" in values or b"transfer-encoding" in values
        bodiless = message.status < 200 or message.status in (204, 304)
        message.ends_with_connection = not (framed or bodiless)
        if message.ends_with_connection:
            message.keep_alive = False
        message.is_skipped = not self.is_awaited(message)

    def on_body(self, data: bytes) -> None:
        """Append a part of the body unless it is skipped."""
        self.overhead_bytes = 0
        if self.current.is_skipped:
            self.skipped_bytes += len(data)
        else:
            self.current.body.append(data)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        super().on_message_complete()
        self.overhead_bytes = 0


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
