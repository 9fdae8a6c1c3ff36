"""Inputs of the load model: the cluster's parameters, and the callers' jobs."""

from collections.abc import Callable
from dataclasses import dataclass, field

from endive_core.calls import Call, Refusal, Ticket
from endive_core.messages import ServerView


@dataclass(frozen=True)
class Cluster:
    """Sizes and delays of one run.

    The defaults are near those of a small cluster in production.
    """

    nodes: int = 7
    servers: int = 8
    zones: int = 3
    slots: int = 32
    prefill_tokens_per_s: float = 20_000.0
    decode_tokens_per_s: float = 50.0
    cache_blocks: int = 8_000
    max_waiting: int = 100_000
    report_every_s: float = 0.5
    report_lag_s: float = 0.25
    event_lag_s: float = 0.5
    event_gap: float = 0.05
    network_s: float = 0.001

    def views(self) -> list[ServerView]:
        """Return new views of all servers for one node."""
        return [
            ServerView(
                id=f"s{number}",
                address="",
                zone=f"z{number % self.zones}",
                service="engines",
                max_concurrent=self.slots,
                prefill_tokens_per_s=self.prefill_tokens_per_s,
                decode_tokens_per_s=self.decode_tokens_per_s,
            )
            for number in range(self.servers)
        ]


@dataclass(eq=False)
class Job:
    """One caller's request and its progress through the model.

    Attributes
    ----------
    answer_tokens : int
        Length of the answer.
    answer_blocks : list of int
        Blocks that the answer adds to the conversation.
    node : object
        The node of the model that handles it.
    delivered_tokens : int
        Answer tokens that the caller has received.
    imported : bool
        Whether the next attempt starts from an imported KV cache.
    """

    call: Call
    first_offered_at: float
    answer_tokens: int
    answer_blocks: list[int]
    done: Callable[["Job"], None]
    node: object = None
    ticket: Ticket | None = None
    offered_at: float = 0.0
    retry_after_s: float | None = None
    offers: int = 0
    delivered_tokens: int = 0
    attempt: int = 0
    imported: bool = False
    first_token_at: float | None = None
    finished_at: float | None = None
    refusals: list[Refusal] = field(default_factory=list)
