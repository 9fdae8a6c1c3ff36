"""Shifting: streams leave servers under notice, dearest to recompute first.

The load this is for: a whole zone is reclaimed with seconds of notice, and a second
zone often follows. What hasn't moved when the server goes is computed again from the
prompt on; so within the time left the streams that would cost most go first, by KV
export as long as it fits, and those that end in time are left alone.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from endive_core.calls import Ticket


class ShiftMethod(StrEnum):
    """How a stream leaves its server."""

    EXPORT = "export"
    RESUME = "resume"
    FINISH = "finish"


@dataclass(frozen=True, slots=True)
class Shift:
    """One stream's way off a server under notice.

    Attributes
    ----------
    starts_at_s : float
        Seconds from now at which its export starts.
    """

    ticket: Ticket
    method: ShiftMethod
    starts_at_s: float = 0.0


def recompute_tokens(ticket: Ticket) -> int:
    """Return the tokens to compute again if the stream's cache is lost."""
    return ticket.call.prompt_tokens + ticket.tokens


def plan_shifts(
    tickets: Iterable[Ticket],
    *,
    seconds_left: float,
    decode_tokens_per_s: float,
    export_tokens_per_s: float,
    margin_s: float,
) -> list[Shift]:
    """Return how each stream of one server leaves it, in the order to act.

    A stream that ends within the time left finishes in place. The others are exported
    one after the other, dearest first, while the notice lasts; the rest resume
    elsewhere from prompt and tokens so far, which counts as recomputed. A stream of a
    non-idempotent call may only be exported, since the export confirms that the
    source stopped; else it stays and finishes if it can.
    """
    budget = max(0.0, seconds_left - margin_s)
    finishing: list[Shift] = []
    moving: list[Ticket] = []
    for ticket in tickets:
        remaining_tokens = ticket.call.max_tokens - ticket.tokens
        if remaining_tokens / decode_tokens_per_s <= budget:
            finishing.append(Shift(ticket, ShiftMethod.FINISH))
        else:
            moving.append(ticket)
    moving.sort(key=recompute_tokens, reverse=True)
    shifts = []
    used = 0.0
    for ticket in moving:
        export_s = recompute_tokens(ticket) / export_tokens_per_s
        if used + export_s <= budget:
            shifts.append(Shift(ticket, ShiftMethod.EXPORT, used))
            used += export_s
        elif ticket.call.non_idempotent:
            finishing.append(Shift(ticket, ShiftMethod.FINISH))
        else:
            shifts.append(Shift(ticket, ShiftMethod.RESUME))
    return shifts + finishing
