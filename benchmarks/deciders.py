"""What the load model drives: the scheduler, or a baseline with the same methods."""

from typing import Protocol

from endive_core.calls import Call, Dispatch, Refusal, Retry, Ticket
from endive_core.exceptions import RetryReason
from endive_core.stream_moves import StreamMove


class Decider(Protocol):
    """Decides for one node."""

    def offer(self, call: Call, now: float) -> Ticket | Refusal:
        """Admit or refuse a call."""

    def next_dispatch(self, now: float) -> Dispatch | None:
        """Return what to send next."""

    def started(self, ticket: Ticket, now: float) -> None:
        """Note a first token."""

    def finished(self, ticket: Ticket, now: float, *, tokens: int) -> None:
        """Note a whole answer."""

    def failed(
        self, ticket: Ticket, now: float, reason: RetryReason, **how
    ) -> Retry | Refusal:
        """Note a failed attempt."""

    def requeue(self, ticket: Ticket) -> None:
        """Queue a failed ticket again."""

    def moved(self, ticket: Ticket, now: float, *, tokens: int) -> None:
        """Queue a stopped stream again."""

    def report(
        self, server_id: str, running: int, waiting: int, *, as_of: float
    ) -> None:
        """Take a load report in."""

    def cache_event(
        self, server_id: str, seq: int, *, stored: bool, blocks: list[int]
    ) -> None:
        """Take a cache event in."""

    def leaving(self, server_id: str) -> None:
        """Give a server no new work."""

    def plan_moves(self, server_id: str, *, seconds_left: float) -> list[StreamMove]:
        """Plan how streams leave a server."""
