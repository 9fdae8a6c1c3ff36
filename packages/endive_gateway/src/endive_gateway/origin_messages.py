"""Messages with which gateways tell and ask each other where streams began."""

import msgspec

from endive_gateway.quantities import Count, Name, Quantity


class OriginNote(msgspec.Struct, array_like=True, tag="note"):
    """Origins for an owner to keep.

    Attributes
    ----------
    origins : list of (bytes, str, str, float)
        Key of the stream, service, software version, and time in seconds for which the
        origin is kept.
    claims : list of (bytes, str, str, str, int)
        Of streams whose origins are unconfirmed: key, service, software version, and
        the server's id and incarnation. Nodes of an earlier version send none.
    """

    origins: list[tuple[bytes, str, str, Quantity]]
    claims: list[tuple[bytes, str, str, Name, Count]] = []


class OriginQuery(msgspec.Struct, array_like=True, tag="ask"):
    """A question for the origin of a stream.

    Attributes
    ----------
    number : int
        Identifies the question in the reply.
    service : str
        Empty; nodes of an earlier version ask for what the other one has seen of it.
    """

    number: int
    key: bytes
    service: str


class OriginReply(msgspec.Struct, array_like=True, tag="reply"):
    """The reply to a question.

    Attributes
    ----------
    service, version : str
        The stream's origin; empty if it is not known.
    is_known : bool
        Whether it is known.
    sole_version, sole_s : str, float
        Left at their defaults, by which nodes of an earlier version conclude nothing.
    """

    number: int
    service: str
    version: str
    is_known: bool
    sole_version: str = ""
    sole_s: Quantity = 0.0


class RecordRequest(msgspec.Struct, array_like=True, tag="record"):
    """Origins for the recorder to list, and streams for it to record.

    Attributes
    ----------
    number : int
        Identifies the request in the reply.
    entries : list of (str, str, str, str)
        Host, path prefix, service and software version of possible origins.
    streams : list of (bytes, str, str, int, int)
        Key of a stream, service, software version, and numbers of the request and the
        attempt that begin it.
    """

    number: int
    entries: list[tuple[str, str, str, str]]
    streams: list[tuple[bytes, str, str, int, int]]


class RecordReply(msgspec.Struct, array_like=True, tag="recorded"):
    """The recorder's reply.

    Attributes
    ----------
    is_recorded : bool
        Whether the store has all that was asked for.
    shared : list of bool
        For each entry whether its route's streams may have other origins.
    """

    number: int
    is_recorded: bool
    shared: list[bool]


class LookupRequest(msgspec.Struct, array_like=True, tag="find"):
    """A question for what the store tells of a stream.

    Attributes
    ----------
    key : bytes
        Key of the stream.
    """

    number: int
    key: bytes
    host: str
    path: str


class LookupReply(msgspec.Struct, array_like=True, tag="found"):
    """The reply; see :class:`endive_gateway.origin_recorder.Finding`."""

    number: int
    source: str
    is_known: bool
    service: str
    version: str
    possible: int


RecordMessage = RecordRequest | RecordReply | LookupRequest | LookupReply
OriginMessage = OriginNote | OriginQuery | OriginReply | RecordMessage

DECODER = msgspec.msgpack.Decoder(OriginMessage)
