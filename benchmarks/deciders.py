"""Interface of the schedulers that the load model drives, production or baseline."""

from typing import Protocol

from endive_core.calls import Call, Dispatch, Refusal, Retry, Ticket
from endive_core.exceptions import RetryReason
from endive_core.stream_moves import StreamMove


class Decider(Protocol):
    """Scheduling decisions of one node."""

    def offer(self, call: Call, now: float) -> Ticket | Refusal:
        """Admit or refuse a call."""

    def next_dispatch(self, now: float) -> Dispatch | None:
        """Return the next request to send, or ``None``."""

    def started(self, ticket: Ticket, now: float) -> None:
        """Record the first token of a request."""

    def finished(self, ticket: Ticket, now: float, *, tokens: int) -> None:
        """Record the end of an answer."""

    def failed(
        self, ticket: Ticket, now: float, reason: RetryReason, **how
    ) -> Retry | Refusal:
        """Record a failed attempt; return whether to retry."""

    def requeue(self, ticket: Ticket) -> None:
        """Queue a failed ticket again."""

    def moved(self, ticket: Ticket, now: float, *, tokens: int) -> None:
        """Queue a stopped stream again."""

    def report(
        self, server_id: str, running: int, waiting: int, *, as_of: float
    ) -> None:
        """Record a server's load report."""

    def cache_event(
        self, server_id: str, seq: int, *, stored: bool, blocks: list[int]
    ) -> None:
        """Record a change of a server's prefix cache."""

    def leaving(self, server_id: str) -> None:
        """Stop using a server for new work."""

    def plan_moves(self, server_id: str, *, seconds_left: float) -> list[StreamMove]:
        """Plan how streams leave a server."""
