"""Plans how streams move from a server under a reclaim notice to other servers.

A whole zone is reclaimed with seconds of notice, and a second zone often follows. A
stream that has not been moved when its server stops must be computed again from the
prompt on. So the streams that cost most to recompute are moved first, by KV cache
export as long as the time allows, and those that end in time are left where they are.
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
    """How one stream leaves a server under a reclaim notice.

    Attributes
    ----------
    start_delay_s : float
        Time from now until its export starts, seconds.
    """

    ticket: Ticket
    method: MoveMethod
    start_delay_s: float = 0.0


def recompute_tokens(ticket: Ticket) -> int:
    """Return the tokens to compute again if the stream's KV cache is lost."""
    return ticket.call.prompt_tokens + ticket.tokens


def plan_moves(
    tickets: Iterable[Ticket],
    *,
    seconds_left: float,
    decode_tokens_per_s: float,
    export_tokens_per_s: float,
    margin_s: float,
) -> list[StreamMove]:
    """Return how each stream leaves the server, in the order of execution.

    A stream that ends within the time left finishes in place. The others are exported
    one after the other, the most expensive to recompute first, while the notice lasts.
    The rest resume on other servers from the prompt and the tokens so far, which are
    computed again. A stream of a non-idempotent call may only be exported, since the
    export confirms that the source has stopped; otherwise it stays and finishes if it
    can.

    Parameters
    ----------
    tickets : iterable of Ticket
        Streams of the server.
    seconds_left : float
        Time until the server is reclaimed, seconds.
    decode_tokens_per_s : float
        Rate at which a stream produces tokens.
    export_tokens_per_s : float
        Rate at which KV cache is exported, tokens per second.
    margin_s : float
        Part of the time left that is not used, seconds.
    """
    budget = max(0.0, seconds_left - margin_s)
    finishing: list[StreamMove] = []
    moving: list[Ticket] = []
    for ticket in tickets:
        remaining_tokens = ticket.call.max_tokens - ticket.tokens
        if remaining_tokens / decode_tokens_per_s <= budget:
            finishing.append(StreamMove(ticket, MoveMethod.FINISH))
        else:
            moving.append(ticket)
    moving.sort(key=recompute_tokens, reverse=True)
    moves = []
    used = 0.0
    for ticket in moving:
        export_s = recompute_tokens(ticket) / export_tokens_per_s
        if used + export_s <= budget:
            moves.append(StreamMove(ticket, MoveMethod.EXPORT, used))
            used += export_s
        elif ticket.call.non_idempotent:
            finishing.append(StreamMove(ticket, MoveMethod.FINISH))
        else:
            moves.append(StreamMove(ticket, MoveMethod.RESUME))
    return moves + finishing
