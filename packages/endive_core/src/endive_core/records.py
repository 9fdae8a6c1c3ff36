"""Typed records of the platform's log, and their codec.

A record is one JSON object with a ``type`` tag. Decoding an unknown type raises
:class:`endive_core.exceptions.RecordError`, so that an older node never folds a record
of a newer version that it cannot interpret.
"""

from typing import Any

import msgspec

from endive_core.exceptions import RecordError

CONFIGURATION_STREAM = "configuration"
SNAPSHOT_STREAM = "configuration-snapshots"
"""Stream of the snapshots. It is separate from the changes, since a node that follows
the changes never reads snapshots, and a new node reads only the latest one."""

ALL_ORGANISATIONS = "*"
CLAIM_STREAM = "claims-{shard:03d}"


def claim_stream(shard: int) -> str:
    """Return the name of the stream that contains the claims of `shard`."""
    return CLAIM_STREAM.format(shard=shard)


class Change(msgspec.Struct, tag="change", frozen=True, omit_defaults=True):
    """An operator's change of one resource.

    Attributes
    ----------
    change_id : str
        Chosen by the writer; a second record with the same id has no effect, so that
        an append whose answer was lost can simply be repeated.
    expected_version : int or None
        The version the operator has seen; -1 for "must not exist"; ``None`` for any.
    body : dict or None
        The whole resource, or ``None`` to delete it.
    scope : str
        The organisation whose resources the operator may change, or ``*``. The fold
        compares it with the owner in force, since the writer's own state may lag.
    basis : int or None
        Highest offset that the writer had folded. A copy of the append that arrives
        after its change id was evicted is refused because its basis is too old; see
        :mod:`endive_core.fold`.
    at : float
        When the writer sent the change, in seconds since 1970 by the writer's clock;
        for display only, no decision depends on it.
    """

    change_id: str
    kind: str
    name: str
    operator: str = ""
    expected_version: int | None = None
    body: dict[str, Any] | None = None
    scope: str = ALL_ORGANISATIONS
    at: float = 0.0
    basis: int | None = None


class Snapshot(msgspec.Struct, tag="snapshot", frozen=True):
    """The state of the configuration stream up to and including `through`."""

    through: int
    resources: list[dict[str, Any]]
    outcomes: list[tuple[str, str, int]]


class SnapshotTaken(msgspec.Struct, tag="snapshot_taken", frozen=True):
    """Marks in the stream of changes that a snapshot up to `through` was written."""

    through: int


class Claim(msgspec.Struct, tag="claim", frozen=True):
    """A node's claim of the exclusive right to send a request with `key`."""

    claim_id: str
    key: str
    node: str
    request_id: str
    fingerprint: str = ""


class Release(msgspec.Struct, tag="release", frozen=True):
    """Releases a claim under which no server has started the request."""

    claim_id: str
    key: str


class Lease(msgspec.Struct, tag="lease", frozen=True):
    """The right to order one deployment's capacity; its offset is the fencing token."""

    deployment: str
    holder: str
    duration_s: float


Record = Change | Snapshot | SnapshotTaken | Claim | Release | Lease

_encoder = msgspec.json.Encoder(order="deterministic")
_decoder = msgspec.json.Decoder(Record)


def encode(record: Record) -> str:
    """Return `record` as deterministic JSON text."""
    return _encoder.encode(record).decode()


def decode(text: str | bytes) -> Record:
    """Return the record that `text` holds.

    Raises
    ------
    RecordError
        If the text is not a record of a known type.
    """
    try:
        return _decoder.decode(text)
    except msgspec.DecodeError as error:
        raise RecordError(str(error)) from None
