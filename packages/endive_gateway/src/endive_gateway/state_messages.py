"""The datagram that gateways tell each other."""

import zlib
from collections.abc import Iterable

import msgspec

from endive_gateway.exceptions import UndecodableError
from endive_gateway.interfaces import Record, ServerNews


class StateMessage(msgspec.Struct, array_like=True):
    """What a node tells the others, whole figures and no changes.

    Attributes
    ----------
    sequence : int
        Grows with each telling of one incarnation.
    wall_ms : int
        The sender's time of day.
    version : int
        Version of the configuration in force there.
    gone : bool
        Whether the sender has stopped and this is its last telling.
    spent : dict of str to float
        Units of each organisation's limit spent since the start.
    work : dict of str to float
        Servers of each service kept busy.
    windows : dict of int to dict of str to int
        Requests begun by window and organisation.
    crashes : list of (str, str, float)
        Fingerprint, server and age in seconds of crashes seen of late.
    fence : int
        Fencing number of the duties that the sender holds; 0 if it doesn't.
    reported : int
        Newest window of usage known to be reported.
    news : ServerNews or None
        What the sender read of the servers, if it reads for others.
    duty_end : int
        Newest end of the duties' log that the sender knows.
    failing : dict of str to int
        Failures that the sender met of late, by server.
    age_s : float
        Seconds since the sender started.
    starting : dict of str to float
        Prompt tokens by server for which the sender waits for a first token.
    proof_age_s : float
        Seconds since `version` was known to be the store's newest; -1 if unknown.
    """

    node: str
    incarnation: int
    sequence: int
    wall_ms: int
    version: int
    gone: bool
    spent: dict[str, float]
    work: dict[str, float]
    windows: dict[int, dict[str, int]]
    crashes: list[tuple[str, str, float]]
    fence: int
    reported: int
    news: ServerNews | None = None
    duty_end: int = 0
    failing: dict[str, int] = {}
    age_s: float = 0.0
    starting: dict[str, float] = {}
    proof_age_s: float = -1.0


DECODER = msgspec.msgpack.Decoder(StateMessage)

CHANGES = msgspec.msgpack.Decoder(list[tuple[int, str, bytes | None]])
MOST_CHANGES_BYTES = 1_000_000
"""Largest size of unpacked changes: a datagram of zeros would else unpack to more
memory than a node has."""


def pack_changes(records: Iterable[Record]) -> bytes:
    """Return `records` compressed: twenty entries of servers take 750 bytes, not 4,500.

    Uncompressed, four fitted into a telling. When a zone was reclaimed or servers were
    ordered, each node read the store by itself, 87 of them within a second.
    """
    changes = [(record.offset, record.key, record.value) for record in records]
    return zlib.compress(msgspec.msgpack.encode(changes)) if changes else b""


def unpack_changes(packed: bytes) -> list[Record]:
    """Return the records in `packed`; raises UndecodableError."""
    if not packed:
        return []
    try:
        data = zlib.decompressobj().decompress(packed, MOST_CHANGES_BYTES)
        return [Record(*change) for change in CHANGES.decode(data)]
    except (zlib.error, msgspec.MsgspecError) as error:
        raise UndecodableError(str(error)) from None
