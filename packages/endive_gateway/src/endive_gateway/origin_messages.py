"""Messages with which gateways tell and ask each other where streams began."""

import msgspec


class OriginNote(msgspec.Struct, array_like=True, tag="note"):
    """Origins for an owner to keep.

    Attributes
    ----------
    origins : list of (bytes, str, str, float)
        Key of the stream, service, software version, and time in seconds for which the
        origin is kept.
    """

    origins: list[tuple[bytes, str, str, float]]


class OriginQuery(msgspec.Struct, array_like=True, tag="ask"):
    """A question for the origin of a stream.

    Attributes
    ----------
    number : int
        Identifies the question in the reply.
    service : str
        The service that the stream's route leads to; empty if it is not the only one.
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
    sole_version : str
        The only software version of the service asked for; empty if there are several.
    sole_s : float
        For how long the replying node has known no other, seconds.
    """

    number: int
    service: str
    version: str
    is_known: bool
    sole_version: str
    sole_s: float


OriginMessage = OriginNote | OriginQuery | OriginReply

DECODER = msgspec.msgpack.Decoder(OriginMessage)
