"""Decodes documents that anyone may have written.

The platform's topics and the ports between nodes accept bytes from others than this
program. What can't be read must fail in one way, whatever is wrong with it, so that it
costs nothing but itself.
"""

import re
import socket
from typing import Any, TypeVar

import msgspec

from endive_gateway.exceptions import UndecodableError
from endive_gateway.quantities import MAX_NUMBER

MAX_RECORD_BYTES = 16_384
"""Largest record of one server, node or order, bytes."""

MAX_DEPTH = 32
"""Deepest nesting of a document. The decoder's own limit is that of the interpreter's
stack, so the same document would be read at one place and not at another."""

TOKEN = re.compile(r"[!-~]{1,128}")
PORT = re.compile(r"[1-9][0-9]{0,4}")
MAX_PORT = 65_535
MAX_LABEL_LENGTH = 128
"""Longest label that is read, characters."""

FIRST_MULTICAST_OCTET = 224
"""First octet from which on an IPv4 address is not that of a single host."""

BRACKET_OR_STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?|[\[{]|[\]}]', re.DOTALL)
TEXT_VALUE = re.compile(rb'\s*:\s*"([^"\\]*)"')

Document = TypeVar("Document")


def decode_json(
    data: bytes,
    document_type: type[Document],
    *,
    max_bytes: int = MAX_RECORD_BYTES,
) -> Document:
    """Decode a JSON document of a type.

    Raises
    ------
    UndecodableError
        If it is too large, nests too deeply, or is not a document of that type.
    """
    if len(data) > max_bytes:
        raise UndecodableError(f"{len(data)} bytes, limit {max_bytes}")
    if _is_deep(data):
        raise UndecodableError(f"nested more than {MAX_DEPTH} levels deep")
    return _decode(msgspec.json.decode, data, type=document_type)


def decode_msgpack(data: bytes, decoder: msgspec.msgpack.Decoder) -> Any:
    """Decode a msgpack document; raises UndecodableError."""
    return _decode(decoder.decode, data)


def _decode(decode, data: bytes, **options) -> Any:
    try:
        return decode(data, **options)
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError) as error:
        # UnicodeDecodeError is a ValueError.
        raise UndecodableError(str(error)) from None


def _is_deep(data: bytes) -> bool:
    """Return whether a JSON document nests more than `MAX_DEPTH` levels deep."""
    if data.count(b"[") + data.count(b"{") <= MAX_DEPTH:
        return False
    depth = 0
    for match in BRACKET_OR_STRING.finditer(data):
        first = match[0][:1]
        if first in b"[{":
            depth += 1
            if depth > MAX_DEPTH:
                return True
        elif first in b"]}":
            depth -= 1
    return False


def decode_text_field(data: bytes, name: str) -> str:
    """Return a text of a JSON object, whatever the rest of it is; empty without one."""
    key, text, depth = b'"%b"' % name.encode(), b"", 0
    for match in BRACKET_OR_STRING.finditer(data):
        first = match[0][:1]
        if first in b"[{":
            depth += 1
        elif first in b"]}":
            depth -= 1
        elif depth == 1 and match[0] == key:
            found = TEXT_VALUE.match(data, match.end())
            text = found[1] if found else b""
    return text.decode(errors="replace")


def decode_seconds(milliseconds: Any) -> float:
    """Return a stated time in seconds; 0 if it is no number.

    Raises
    ------
    UndecodableError
        If it is a number out of range.
    """
    if not isinstance(milliseconds, int | float):
        return 0.0
    if abs(milliseconds) > MAX_NUMBER:
        raise UndecodableError("a time is out of range")
    return max(0.0, milliseconds / 1000)


def decode_label(value: Any) -> str | None:
    """Return a short printable text, such as a version; ``None`` if it is none.

    Labels are compared as they are spelled.
    """
    is_short = isinstance(value, str) and 0 < len(value) <= MAX_LABEL_LENGTH
    return value if is_short and value.isprintable() else None


def is_token(text: str) -> bool:
    """Return whether a text can be the value of a header as it stands."""
    return bool(TOKEN.fullmatch(text))


def is_ip_address(address: str) -> bool:
    """Return whether a text is the IPv4 address of a host."""
    try:
        octets = socket.inet_pton(socket.AF_INET, address)
    except (OSError, ValueError):
        return False
    return 0 < octets[0] < FIRST_MULTICAST_OCTET


def is_host_address(address: str) -> bool:
    """Return whether a text is the IPv4 address of a host, with a port."""
    host, _, port = address.partition(":")
    is_port = bool(PORT.fullmatch(port)) and int(port) <= MAX_PORT
    return is_port and is_ip_address(host)
