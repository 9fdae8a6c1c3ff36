"""HTTP connections that accept only sound responses, for ``urllib3``.

``http.client`` reads on after a malformed header line as if the headers ended there,
and takes any status from 100 to 999 and interim responses without end. ``urllib3``
drops the error of a request's body that could not be sent, after which a reset looks
like an orderly end, and reads bodies without a limit.
"""

import http.client
import re

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [\t -~\x80-\xff]*)?\r?\n")
HEADER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~\x80-\xff]*\r?\n|\r?\n|")
"""A status line, and a header line or the end of a head, as in RFC 9112."""

MAX_HEAD_BYTES = 131_072
"""Largest head, with all interim ones before it, bytes."""

READ_BYTES = 65_536

MAX_BODY_BYTES = 16 * 2**20
"""Largest body that is read as a whole, bytes."""


class MalformedResponseError(http.client.HTTPException):
    """Bytes that are no response of HTTP/1."""


class _HeadReader:
    """Reads the lines of a head, and checks each."""

    def __init__(self, file) -> None:
        self.file = file
        self.expected = STATUS_LINE
        self.left = MAX_HEAD_BYTES

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line; raises MalformedResponseError."""
        line = self.file.readline(limit)
        if line and not self.expected.fullmatch(line):
            raise MalformedResponseError(f"malformed line in a head: {line[:80]!r}")
        self.left -= len(line)
        if self.left < 0:
            raise MalformedResponseError("a head is too long")
        at_end = line in (b"\r\n", b"\n")  # of an interim head, or of the last one
        self.expected = STATUS_LINE if at_end else HEADER_LINE
        return line

    def close(self) -> None:
        """Close the connection's file."""
        self.file.close()


class CheckedResponse(http.client.HTTPResponse):
    """A response whose head is checked line by line."""

    def begin(self) -> None:
        """Read the head.

        Raises
        ------
        http.client.HTTPException
            If it is malformed.
        """
        file = self.fp
        self.fp = _HeadReader(file)
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = file


class CheckedConnection(HTTPConnection):
    """A connection that knows whether its request could be sent whole.

    Attributes
    ----------
    send_error : OSError or None
        Why the present request could not be sent whole.
    """

    response_class = CheckedResponse
    send_error: OSError | None = None

    def putrequest(self, *args, **options) -> None:
        """See :meth:`http.client.HTTPConnection.putrequest`."""
        self.send_error = None
        super().putrequest(*args, **options)

    def send(self, data) -> None:
        """See :meth:`http.client.HTTPConnection.send`."""
        try:
            super().send(data)
        except OSError as error:
            self.send_error = error
            raise

    def getresponse(self):
        """Return the response.

        Raises
        ------
        MalformedResponseError
            If only the end of the connection tells where the body ends, and that end
            can't be told from a reset.
        """
        response = super().getresponse()
        original = response._original_response
        is_unframed = original.length is None and not original.chunked
        was_reset = self.send_error is not None and not isinstance(
            self.send_error, BrokenPipeError
        )
        if is_unframed and was_reset:
            response.close()
            raise MalformedResponseError(
                f"a body without a length ends with a reset: {self.send_error}"
            )
        return response


class CheckedPool(HTTPConnectionPool):
    """A pool of such connections to one address."""

    ConnectionCls = CheckedConnection


def read_body(response: urllib3.BaseHTTPResponse) -> bytes:
    """Return the body of a response whose content was not preloaded.

    Raises
    ------
    urllib3.exceptions.ProtocolError
        If it is larger than `MAX_BODY_BYTES`, or cut off.
    """
    body = bytearray()
    for piece in response.stream(READ_BYTES, decode_content=False):
        body += piece
        if len(body) > MAX_BODY_BYTES:
            response.close()
            raise urllib3.exceptions.ProtocolError("a body is too large")
    response.release_conn()
    return bytes(body)


def open_pools(**options) -> urllib3.PoolManager:
    """Return a :class:`urllib3.PoolManager` that does not retry, with `options`."""
    pools = urllib3.PoolManager(retries=False, **options)
    pools.pool_classes_by_scheme = pools.pool_classes_by_scheme | {"http": CheckedPool}
    return pools
