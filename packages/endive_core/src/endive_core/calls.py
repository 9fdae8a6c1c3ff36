"""Scheduling state of one request: its call, its ticket, and the decisions on it."""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import TYPE_CHECKING

from endive_core.exceptions import ERROR_RESPONSES, ErrorKind
from endive_core.prefixes import BLOCK_TOKENS

if TYPE_CHECKING:
    from endive_core.transfers import Fetch

BULK_LEVEL = -1000
"""Offset to the level of bulk calls, which puts them below every declared priority."""


@dataclass(frozen=True, slots=True)
class CallWeights:
    """Weights of a second of waiting and a second of recomputing in placement."""

    wait: float = 1.0
    recompute: float = 1.0


DEFAULT_WEIGHTS = CallWeights()


@dataclass(frozen=True, slots=True)
class Call:
    """One request as admission, queueing and placement see it.

    Attributes
    ----------
    level : int
        Level of the priority; a higher level is served first.
    bulk : bool
        Whether it has no first-token target and only fills idle capacity.
    prompt_tokens, max_tokens : int
        Estimated prompt length, and the maximum length of the answer.
    blocks : tuple of int
        Chained hashes of the leading prompt blocks; empty for plain services.
    block_ends : tuple of int
        Prompt tokens up to the end of each block, if the caller names parts of its
        prompt that differ in length; empty if all blocks are equally long.
    target_s : float
        Latency target for the first token, seconds.
    deadline : float or None
        Clock time in seconds after which the answer is of no use.
    shared_parts : tuple of int
        Keys of the prompt's parts that other requests may share, each once.
    software_version : str or None
        Version of the servers' software at which the stream goes on that the call takes
        up; ``None`` if any will do.
    """

    request_id: str
    organisation: str
    deployment: str = ""
    level: int = 0
    bulk: bool = False
    prompt_tokens: int = 0
    max_tokens: int = 1
    blocks: tuple[int, ...] = ()
    block_ends: tuple[int, ...] = ()
    target_s: float = 0.38
    deadline: float | None = None
    weights: CallWeights = DEFAULT_WEIGHTS
    fingerprint: str = ""
    non_idempotent: bool = False
    shared_parts: tuple[int, ...] = ()
    software_version: str | None = None

    @property
    def rank(self) -> int:
        """The level, with all bulk calls below all others."""
        return self.level + BULK_LEVEL if self.bulk else self.level

    def cached_tokens(self, blocks: int) -> int:
        """Return the prompt tokens that the first `blocks` blocks hold."""
        if blocks and self.block_ends:
            return self.block_ends[blocks - 1]
        return blocks * BLOCK_TOKENS

    @property
    def tokens(self) -> int:
        """Maximum cost of the call in tokens, prompt and answer."""
        return self.prompt_tokens + self.max_tokens


class Tier(IntEnum):
    """How much of a server's slots a call must leave free."""

    WITHIN_SHARE = 0
    OVER_SHARE = 1
    BULK = 2


class Stage(StrEnum):
    """Stage of a ticket between admission and its end."""

    QUEUED = "queued"
    DISPATCHED = "dispatched"
    STREAMING = "streaming"
    ENDED = "ended"


@dataclass(slots=True, eq=False)
class Ticket:
    """An admitted call on its way through the queue and its attempts.

    Attributes
    ----------
    cost : float
        Tokens charged to the organisation, an estimate until the end.
    server : str
        Server of the current attempt; empty while queued.
    server_load : object
        The load state of that server that counts the attempt. A server that is removed
        and added again under the same id has another one.
    uncached_tokens : float
        Prompt tokens that placement expected the server to compute.
    avoid : set of str
        Servers where an earlier attempt failed.
    predicted_s : float
        Mean wait in the queue that admission predicted, seconds.
    tier : Tier
        The tier for which the wait was predicted.
    suspect : bool
        Whether a server crashed while it ran this call.
    crashed : bool
        Whether a server ended before it began to answer this call.
    tried_parts : tuple of int
        Suspected parts of its prompt for which this attempt is a trial, until its first
        token.
    held_at : float or None
        When it began to wait for trials of other calls, clock time in seconds.
    yields : bool
        Whether its prompt is computed after all others at its server, see
        :mod:`.placement`.
    waited_for_rest : bool
        Whether it was queued while all servers rested.
    refusal : Refusal or None
        Why a queued ticket expired.
    fetch : Fetch or None
        The fetch of cached prompt parts that its server is asked for.
    may_fetch : bool
        Whether it may fetch; after a failure it may not.
    at_further_copy : bool
        Whether its server was chosen to hold a further copy of its shared prompt parts.
    predicted_start_s : float
        Predicted time from its dispatch to its first token, seconds, where fetches are
        planned.
    fetch_due_at : float
        Clock time by which its first token comes unless its fetch hangs, seconds.
    fetch_resend_at : float
        Clock time at which it is sent elsewhere without a fetch if no first token has
        come, seconds.
    version : str or None
        Software version of the server that began its stream, and at which alone the
        stream goes on; ``None`` before that. It doesn't change while the ticket is
        queued.
    pooled : bool
        Whether the coordinator of its service's slots assigns its server, so that it is
        in no queue of this node.
    excess : bool
        Whether it is beyond what can be served in time, see :mod:`.contention`.
    order : int
        Number of its priority at its server unless it yields, where prompts may
        overtake others; see :mod:`.prompt_order`.
    """

    call: Call
    accepted_at: float
    cost: float
    stage: Stage = Stage.QUEUED
    attempt: int = 0
    server: str = ""
    server_load: object = None
    dispatched_at: float = 0.0
    first_token_at: float | None = None
    tokens: int = 0
    uncached_tokens: float = 0.0
    predicted_s: float = 0.0
    tier: Tier = Tier.WITHIN_SHARE
    avoid: set[str] = field(default_factory=set)
    suspect: bool = False
    crashed: bool = False
    tried_parts: tuple[int, ...] = ()
    held_at: float | None = None
    yields: bool = False
    waited_for_rest: bool = False
    refusal: "Refusal | None" = None
    version: str | None = None
    fetch: "Fetch | None" = None
    may_fetch: bool = True
    at_further_copy: bool = False
    predicted_start_s: float = 0.0
    fetch_due_at: float = 0.0
    fetch_resend_at: float = 0.0
    pooled: bool = False
    excess: bool = False
    order: int = 0


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a call was refused, and when a retry is worthwhile.

    Attributes
    ----------
    retry_after_s : float or None
        Seconds until then; ``None`` if a retry cannot succeed.
    """

    kind: ErrorKind
    retry_after_s: float | None
    message: str

    @classmethod
    def from_kind(
        cls, kind: ErrorKind, message: str, retry_after_s: float | None = None
    ) -> "Refusal":
        """Return a refusal; by default with the time to retry declared for `kind`."""
        if retry_after_s is None:
            retry_after_s = ERROR_RESPONSES[kind].retry_after_s
        return cls(kind, retry_after_s, message)


@dataclass(frozen=True, slots=True)
class Dispatch:
    """A ticket that may be sent to a server now."""

    ticket: Ticket
    server: str


@dataclass(frozen=True, slots=True)
class Retry:
    """A failed ticket that may be queued again after a delay in seconds."""

    delay_s: float
