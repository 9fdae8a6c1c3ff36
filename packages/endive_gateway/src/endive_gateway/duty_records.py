"""Decodes the records of the duties' log."""

from typing import Annotated, Any

import msgspec
from endive_core.leases import DutyKind, DutyRecord
from endive_core.rollouts import StageKind

from endive_gateway.decoding import decode_json
from endive_gateway.exceptions import UndecodableError
from endive_gateway.quantities import MAX_NUMBER, Count, Quantity

MAX_DUTY_RECORD_BYTES = 1_048_576
"""Largest record, bytes: it may hold a window's counts of all organisations."""

MAX_WINDOWS_AHEAD = 20_000
"""Most usage windows by which a record may be ahead of the clock, which may be set back
by minutes: a sound record that was refused would be reported once more. What follows a
decided window is all that is reported later."""

Decided = Annotated[int, msgspec.Meta(ge=-1, le=MAX_NUMBER)]


class DutyDocument(msgspec.Struct):
    """See :class:`DutyRecord`."""

    kind: DutyKind
    holder: str
    incarnation: Count
    fence: Count = 0
    reported: Decided = -1
    body: dict[str, Any] = {}


class UsageDocument(msgspec.Struct):
    """The body of a usage record."""

    window: Count
    counts: dict[str, Count]


class OrderDocument(msgspec.Struct):
    """See :class:`endive_core.rollouts.RolloutOrder`."""

    service: str
    to: str
    duration_s: Quantity
    offset: Decided
    at: Quantity = 0.0


class StageDocument(msgspec.Struct):
    """See :class:`endive_core.rollouts.Stage`."""

    kind: StageKind
    number: Count = 0
    share: Quantity = 0.0
    servers: Count = 0
    until_s: Quantity = 0.0
    leads: list[tuple[str, Quantity]] = []


class RolloutDocument(msgspec.Struct):
    """See :class:`endive_core.rollouts.RolloutRecord`."""

    order: OrderDocument
    stage: StageDocument
    records: tuple[Decided, Decided] = (-1, -1)
    reason: str = ""
    replaced: str = ""


def decode_duty_record(data: bytes, *, offset: int, newest_window: int) -> DutyRecord:
    """Decode a record of the duties' log.

    A rollout that can't be read, such as one of a later version of the software, is
    left out of its record.

    Parameters
    ----------
    offset : int
        The record's offset in the log. Its holder's claim is at a lower one.
    newest_window : int
        The usage window that runs now.

    Raises
    ------
    UndecodableError
        If it is none that a holder of the duties can have written.
    """
    document = decode_json(data, DutyDocument, max_bytes=MAX_DUTY_RECORD_BYTES)
    if document.fence > offset:
        raise UndecodableError(f"fence {document.fence} at offset {offset}")
    window = document.reported
    if document.kind is DutyKind.USAGE:
        window = max(window, _convert(document.body, UsageDocument).window)
    if window > newest_window + MAX_WINDOWS_AHEAD:
        raise UndecodableError(f"window {window} while {newest_window} runs")
    body = document.body
    if "rollouts" in body:
        rollouts = _convert(body["rollouts"], dict[str, Any])
        body["rollouts"] = {s: r for s, r in rollouts.items() if _is_rollout(r)}
    return DutyRecord(
        document.kind,
        document.holder,
        document.incarnation,
        document.fence,
        document.reported,
        body,
    )


def _is_rollout(body: Any) -> bool:
    try:
        _convert(body, RolloutDocument)
    except UndecodableError:
        return False
    return True


def _convert(body: Any, document_type: Any) -> Any:
    try:
        return msgspec.convert(body, document_type)
    except (msgspec.MsgspecError, OverflowError) as error:
        raise UndecodableError(str(error)) from None
