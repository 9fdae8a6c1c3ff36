"""What the store keeps of where streams began, encoded in msgpack."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
from endive_core.possible_origins import OriginList, PossibleOrigin
from endive_core.stream_origins import StreamOrigin

from endive_gateway.decoding import decode_msgpack
from endive_gateway.exceptions import UndecodableError
from endive_gateway.quantities import Offset

FORMAT = 1
"""Number of the encoding. Documents of another one are neither used nor replaced."""

MAX_TEXT = 512
"""Longest host, path prefix, service or version that is read, characters."""

MAX_ENTRIES = 4_000
"""Most entries of a list that is read."""


class OtherFormatError(UndecodableError):
    """A document is in the encoding of another version of the program."""


class ListDocument(msgspec.Struct, array_like=True):
    """The possible origins.

    Attributes
    ----------
    entries : list of (str, str, str, str)
        Host, path prefix, service and software version.
    streams_from : int
        Offset from which the log of streams' origins is to be read.
    """

    format: int
    entries: list[tuple[str, str, str, str]]
    is_complete: bool
    streams_from: Offset


class StreamsDocument(msgspec.Struct, array_like=True):
    """The origins of some streams.

    Attributes
    ----------
    origins : list of (str, str)
        Service and software version.
    streams : list of (bytes, int, int, int)
        Key of a stream, index of its origin, number of the request that begins it, and
        that request's attempt with which it does.
    """

    format: int
    origins: list[tuple[str, str]]
    streams: list[tuple[bytes, int, int, int]]


class FormatDocument(msgspec.Struct, array_like=True):
    """The beginning of both, which further versions of the program keep."""

    format: int


LIST_DECODER = msgspec.msgpack.Decoder(ListDocument)
STREAMS_DECODER = msgspec.msgpack.Decoder(StreamsDocument)
FORMAT_DECODER = msgspec.msgpack.Decoder(FormatDocument)
ENCODER = msgspec.msgpack.Encoder()


@dataclass(frozen=True, slots=True)
class BegunStream:
    """A stream that a node has begun, or is about to.

    Attributes
    ----------
    key : bytes
        See :func:`endive_core.stream_origins.stream_key`.
    request : int
        A random number of the request, since callers may use an id for several.
    attempt : int
        Number of its attempt. The events that the caller got come from the last one
        that is recorded.
    """

    key: bytes
    origin: StreamOrigin
    request: int
    attempt: int


def encode_list(origins: OriginList, streams_from: int) -> bytes:
    """Return the document of a list."""
    entries = sorted(
        (e.host, e.path_prefix, e.origin.service, e.origin.version)
        for e in origins.entries
    )
    return ENCODER.encode(
        ListDocument(FORMAT, entries, origins.is_complete, streams_from)
    )


def decode_list(value: bytes) -> tuple[OriginList, int]:
    """Return a list, and where the log of streams is to be read from.

    Raises
    ------
    OtherFormatError
        If it is encoded in another format.
    UndecodableError
        If it can't be decoded.
    """
    document = _decode(value, LIST_DECODER)
    if len(document.entries) > MAX_ENTRIES:
        raise UndecodableError("too many possible origins")
    if any(len(text) > MAX_TEXT for entry in document.entries for text in entry):
        raise UndecodableError("a possible origin is too long")
    entries = frozenset(
        PossibleOrigin(host, prefix, StreamOrigin(service, version))
        for host, prefix, service, version in document.entries
    )
    return OriginList(entries, document.is_complete), document.streams_from


def encode_streams(streams: Iterable[BegunStream]) -> bytes:
    """Return the document of some streams' origins."""
    numbers: dict[StreamOrigin, int] = {}
    rows = [
        (s.key, numbers.setdefault(s.origin, len(numbers)), s.request, s.attempt)
        for s in streams
    ]
    origins = [(origin.service, origin.version) for origin in numbers]
    return ENCODER.encode(StreamsDocument(FORMAT, origins, rows))


def decode_streams(value: bytes) -> list[BegunStream]:
    """Return the origins of some streams; raises UndecodableError."""
    document = _decode(value, STREAMS_DECODER)
    origins = [StreamOrigin(*origin) for origin in document.origins]
    if any(not 0 <= number < len(origins) for _, number, _, _ in document.streams):
        raise UndecodableError("a stream names an origin that is not there")
    return [
        BegunStream(key, origins[number], request, attempt)
        for key, number, request, attempt in document.streams
    ]


def _decode(value: bytes, decoder: msgspec.msgpack.Decoder):
    found = decode_msgpack(value, FORMAT_DECODER).format
    if found != FORMAT:
        raise OtherFormatError(f"the format is {found}, not {FORMAT}")
    return decode_msgpack(value, decoder)
