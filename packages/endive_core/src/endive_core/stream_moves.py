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


class MoveMethod(StrEnum):
    """How a stream leaves its server."""

    EXPORT = "export"
    RESUME = "resume"
    FINISH = "finish"


@dataclass(frozen=True, slots=True)
class StreamMove:
    """One stream's way off a server under notice.

    Attributes
    ----------
    starts_at_s : float
        Seconds from now at which its export starts.
    """

    ticket: Ticket
    method: MoveMethod
    start_delay_s: float = 0.0


def recompute_tokens(ticket: Ticket) -> int:
    """Return the tokens to compute again if the stream's cache is lost."""
    return ticket.call.prompt_tokens + ticket.tokens


def plan_moves(
    tickets: Iterable[Ticket],
    *,
    seconds_left: float,
    decode_tokens_per_s: float,
    export_tokens_per_s: float,
    margin_s: float,
) -> list[StreamMove]:
    """Return how each stream of one server leaves it, in the order to act.

    A stream that ends within the time left finishes in place. The others are exported
    one after the other, dearest first, while the notice lasts; the rest resume
    elsewhere from prompt and tokens so far, which counts as recomputed. A stream of a
    non-idempotent call may only be exported, since the export confirms that the
    source stopped; else it stays and finishes if it can.
    """
    budget = max(0.0, seconds_left - margin_s)
    finishing: list[StreamMove] = []
    moving: list[Ticket] = []
    for ticket in tickets:
        left = ticket.call.max_tokens - ticket.tokens
        if left / decode_tokens_per_s <= budget:
            finishing.append(StreamMove(ticket, MoveMethod.FINISH))
        else:
            moving.append(ticket)
    moving.sort(key=recompute_tokens, reverse=True)
    moves = []
    used = 0.0
    for ticket in moving:
        takes = recompute_tokens(ticket) / export_tokens_per_s
        if used + takes <= budget:
            moves.append(StreamMove(ticket, MoveMethod.EXPORT, used))
            used += takes
        elif ticket.call.non_idempotent:
            finishing.append(StreamMove(ticket, MoveMethod.FINISH))
        else:
            moves.append(StreamMove(ticket, MoveMethod.RESUME))
    return moves + finishing
