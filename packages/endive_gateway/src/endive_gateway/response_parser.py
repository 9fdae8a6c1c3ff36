"""Parsing of servers' HTTP/1.1 responses, based on ``httptools``.

The parser rejects what is no response of HTTP/1: a status out of range, another
protocol or version, a reason phrase with control characters. What is read of a response
is limited in size.
"""

import re
from collections.abc import Callable, Iterator

import httptools

from endive_gateway.exceptions import BadMessageError
from endive_gateway.http import Message, MessageParser
from endive_gateway.interfaces import ResponseMetadata
from endive_gateway.memory_budget import (
    HEADER_BYTES,
    UNCOUNTED_HEAD_BYTES,
    HeldMemory,
)

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

FOREIGN_PROTOCOLS = (b"RTSP/", b"ICE/")
"""What begins the messages of protocols that the parser accepts beside HTTP."""

FOREIGN_BEGINNINGS = tuple(
    name[:size] for name in FOREIGN_PROTOCOLS for size in range(1, len(name))
)
FOREIGN_PROTOCOL = re.compile(rb"RTSP/|ICE/|(?:R(?:T(?:SP?)?)?|IC?E?)\Z")
"""Such a beginning, or a part of it at the end of what was received."""

REASON_PHRASE = re.compile(rb"[\t -~\x80-\xff]*")
"""Reason phrases as RFC 9112, section 4, allows them."""


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


class ResponseParser(MessageParser):
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
    rejection : BadMessageError or None
        Why a message was rejected that is sound for ``httptools``.
    """

    def __init__(self, held: HeldMemory | None = None) -> None:
        super().__init__()
        self.held = held
        self.headers_bytes = 0
        self.is_awaited: Callable[[ResponseMessage], bool] = lambda message: True
        self.skipped_bytes = 0
        self.overhead_bytes = 0
        self.trailers = 0
        self.rejection: BadMessageError | None = None
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
        for part in _split_at_foreign_protocols(data):
            is_between = self.current is None or self.current.complete
            if is_between and part.startswith(FOREIGN_BEGINNINGS):
                raise BadMessageError("the response is of another protocol")
            self._parse(part)
        if self.overhead_bytes > MAX_OVERHEAD_BYTES:
            raise BadMessageError("a head, a chunk's size or trailers are too long")
        if self.skipped_bytes > MAX_SKIPPED_BYTES:
            raise BadMessageError("what is no awaited response is too long")
        if not self._holds_heads():
            raise BadMessageError("there is no memory for the head")

    def _parse(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise self.rejection or BadMessageError(str(error)) from None

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
        """Determine the status, persistence and framing of a response.

        Raises
        ------
        BadMessageError
            If the head is none of an HTTP/1 response.
        """
        self.overhead_bytes = 0
        self.trailers = 0
        message = self.current
        message.status = self.parser.get_status_code()
        values = message.framing_values()
        framed = b"content-length" in values or b"transfer-encoding" in values
        self.rejection = self._validate_head(message, values, framed=framed)
        if self.rejection is not None:
            raise self.rejection
        message.head_done = True
        connection = b",".join(values.get(b"connection", ())).lower()
        message.keep_alive = (
            self.parser.should_keep_alive() and b"close" not in connection
        )
        bodiless = message.status < 200 or message.status in (204, 304)
        message.ends_with_connection = not (framed or bodiless)
        if message.ends_with_connection:
            message.keep_alive = False
        message.is_skipped = not self.is_awaited(message)

    def _validate_head(
        self,
        message: ResponseMessage,
        values: dict[bytes, list[bytes]],
        *,
        framed: bool,
    ) -> BadMessageError | None:
        """Return what is wrong with a head that ``httptools`` accepts."""
        version = self.parser.get_http_version()
        if version not in ("1.1", "1.0"):
            return BadMessageError("the HTTP version is not supported")
        if version == "1.0" and b"transfer-encoding" in values:
            return BadMessageError("HTTP/1.0 has no transfer codings")
        if not 100 <= message.status <= 599:
            return BadMessageError("the status is out of range")
        if message.status == 101:
            return BadMessageError("no change of protocol was asked for")
        if message.status < 200 and framed:
            return BadMessageError("an interim response has no body")
        if not REASON_PHRASE.fullmatch(message.reason):
            return BadMessageError("the reason phrase has control characters")
        return None

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


def _split_at_foreign_protocols(data: bytes) -> Iterator[bytes]:
    """Yield received bytes in parts that begin where a foreign message may begin.

    The parser does not tell where in its bytes a message begins.
    """
    begin = 0
    if any(name in data for name in FOREIGN_PROTOCOLS) or data.endswith(
        FOREIGN_BEGINNINGS
    ):
        for match in FOREIGN_PROTOCOL.finditer(data):
            if match.start() > begin:
                yield data[begin : match.start()]
                begin = match.start()
    yield data[begin:]
