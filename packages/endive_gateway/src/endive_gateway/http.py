"""HTTP/1.1 messages as they come off a connection, by ``httptools``.

The parser refuses what two readers could understand differently: two lengths, a length
with chunks, an unknown transfer coding, folded headers, bare line feeds. What passes
is written again with one length of our own, so nothing can be smuggled in a body.
"""

from collections import deque

import httptools

from endive_gateway.exceptions import BadMessageError
from endive_gateway.interfaces import Headers

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
"""Headers that concern one connection, or that are written anew."""

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
    """What requests and answers share, filled in by the parser."""

    __slots__ = ("body", "complete", "head_done", "headers")

    def __init__(self) -> None:
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.head_done = False
        self.complete = False

    def values_by_name(self) -> dict[bytes, list[bytes]]:
        """Return the values by lower-case name."""
        values: dict[bytes, list[bytes]] = {}
        for name, value in self.headers:
            values.setdefault(name.lower(), []).append(value)
        return values


class RequestMessage(Message):
    """A caller's request."""

    __slots__ = ("expects_continue", "has_length", "keep_alive", "method", "target")

    def __init__(self) -> None:
        super().__init__()
        self.method = b""
        self.target = b""
        self.keep_alive = True
        self.has_length = False
        self.expects_continue = False


class AnswerMessage(Message):
    """A server's answer.

    Attributes
    ----------
    ends_with_connection : bool
        Whether neither a length nor chunks tell its end.
    """

    __slots__ = ("ends_with_connection", "keep_alive", "reason", "status")

    def __init__(self) -> None:
        super().__init__()
        self.status = 0
        self.reason = b""
        self.keep_alive = True
        self.ends_with_connection = False

    def take_body(self) -> bytes:
        """Return the body's bytes that have come since the last call."""
        if not self.body:
            return b""
        taken = b"".join(self.body)
        self.body.clear()
        return taken


class _Parser:
    """Collects messages from the callbacks of ``httptools``."""

    def __init__(self) -> None:
        self.messages: deque = deque()
        self.current = None

    def on_message_begin(self) -> None:
        self.current = self.message_type()
        self.messages.append(self.current)

    def on_header(self, name: bytes, value: bytes) -> None:
        # After the head these are trailers, which no reader here needs.
        if not self.current.head_done:
            self.current.headers.append((name, value))

    def on_message_complete(self) -> None:
        self.current.complete = True


class RequestParser(_Parser):
    """Parses what one caller sends on a connection.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Limits of one request.
    """

    message_type = RequestMessage

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        super().__init__()
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.head_bytes = 0
        self.body_bytes = 0
        self.error: BadMessageError | None = None
        self.parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Take bytes off the connection.

        Raises
        ------
        BadMessageError
            For anything that is no request within the limits.
        """
        in_head = self.current is None or not self.current.head_done
        if in_head:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._decline_upgrade()
        except httptools.HttpParserError as error:
            raise self.error or BadMessageError(str(error)) from None
        unfinished = self.current is not None and not self.current.head_done
        if unfinished and self.head_bytes > self.max_header_bytes:
            raise BadMessageError("the header is too large", 431)

    def _decline_upgrade(self) -> None:
        """Answer a request to change protocols in HTTP/1.1, and close after it.

        The parser takes all that follows for the other protocol, so a body or a next
        request could not be told apart.
        """
        message = self.current
        if message is None or message.method == b"CONNECT" or message.has_length:
            raise BadMessageError("a change of protocol is not supported")
        message.keep_alive = False

    def on_url(self, url: bytes) -> None:
        """Take a piece of the target."""
        self.current.target += url

    def on_headers_complete(self) -> None:
        """Judge a head."""
        message = self.current
        message.head_done = True
        message.method = self.parser.get_method()
        message.keep_alive = self.parser.should_keep_alive()
        self.error = self._validate_head(message)
        if self.error is not None:
            raise self.error
        self.body_bytes = 0

    def _validate_head(self, message: RequestMessage) -> BadMessageError | None:
        if self.parser.get_http_version() not in ("1.1", "1.0"):
            return BadMessageError("the version is not supported", 505)
        values = message.values_by_name()
        size = sum(len(n) + len(v) + 4 for n, v in message.headers)
        if size + len(message.target) > self.max_header_bytes:
            return BadMessageError("the header is too large", 431)
        if not message.target.startswith(b"/"):
            return BadMessageError("the target is not a path")
        if len(values.get(b"host", ())) != 1:
            return BadMessageError("exactly one Host is needed")
        codings = values.get(b"transfer-encoding")
        if codings and codings[0].strip().lower() != b"chunked":
            return BadMessageError("the transfer coding is not supported", 501)
        lengths = values.get(b"content-length")
        if lengths and int(lengths[0]) > self.max_body_bytes:
            return BadMessageError("the body is too large", 413)
        message.has_length = bool(lengths or codings)
        expects = values.get(b"expect", [b""])[0].lower()
        message.expects_continue = expects == b"100-continue"
        return None

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        self.body_bytes += len(data)
        if self.body_bytes > self.max_body_bytes:
            self.error = BadMessageError("the body is too large", 413)
            raise self.error
        self.current.body.append(data)

    def on_message_complete(self) -> None:
        """Note the end of a request."""
        super().on_message_complete()
        self.head_bytes = 0


class AnswerParser(_Parser):
    """Parses what one server sends on a connection."""

    message_type = AnswerMessage

    def __init__(self) -> None:
        super().__init__()
        self.parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Take bytes off the connection; raises :class:`BadMessageError`."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise BadMessageError(str(error)) from None

    def on_status(self, reason: bytes) -> None:
        """Take a piece of the reason."""
        self.current.reason += reason

    def on_headers_complete(self) -> None:
        """Judge a head."""
        message = self.current
        message.head_done = True
        message.status = self.parser.get_status_code()
        values = message.values_by_name()
        connection = b",".join(values.get(b"connection", ())).lower()
        message.keep_alive = b"close" not in connection
        framed = b"content-length" in values or b"transfer-encoding" in values
        bodiless = message.status < 200 or message.status in (204, 304)
        message.ends_with_connection = not (framed or bodiless)
        if message.ends_with_connection:
            message.keep_alive = False

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        self.current.body.append(data)


def end_to_end(headers: Headers, kept: frozenset[bytes] = frozenset()) -> Headers:
    """Return the headers that go on to the next hop.

    Parameters
    ----------
    kept : frozenset of bytes
        Lower-case names that a ``Connection`` header can't take away.
    """
    dropped = set(HOP_BY_HOP_HEADERS)
    for name, value in headers:
        if name.lower() == b"connection":
            dropped |= {part.strip().lower() for part in value.split(b",")} - kept
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def encode_head(first_line: bytes, headers: Headers) -> bytes:
    """Return the bytes of a message's head."""
    lines = [first_line]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def status_line(status: int, reason: bytes = b"") -> bytes:
    """Return an answer's first line."""
    reason = reason or REASON_PHRASES.get(status, "Status").encode()
    return b"HTTP/1.1 %d %s" % (status, reason)


def host_name(host: str) -> str:
    """Return the name in a ``Host`` header, without a port."""
    name, _, port = host.rpartition(":")
    return name if name and port.isdigit() else host
