"""What the decisions know of one request: its call, its ticket, and the verdicts."""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from endive_core.exceptions import ERROR_RESPONSES, ErrorKind
from endive_core.prefixes import BLOCK_TOKENS

BULK_LEVEL = -1000
"""Added to the level of bulk work, below every declared priority level."""


@dataclass(frozen=True, slots=True)
class CallWeights:
    """How a call's deployment weighs waiting against recomputing, both in seconds."""

    wait: float = 1.0
    recompute: float = 1.0


DEFAULT_WEIGHTS = CallWeights()


@dataclass(frozen=True, slots=True)
class Call:
    """One request as admission, queueing and placement see it.

    Attributes
    ----------
    level : int
        Level of the priority; a higher level goes first.
    bulk : bool
        Whether it has no first-token target and only fills idle capacity.
    prompt_tokens, max_tokens : int
        Estimated prompt length, and the most tokens the answer may have.
    blocks : tuple of int
        Chained hashes of the leading prompt blocks; empty for plain services.
    block_ends : tuple of int
        Prompt tokens up to the end of each block, where the caller names parts of
        its prompt that differ in length; empty where all blocks are equally long.
    target_s : float
        First-token target in seconds.
    deadline : float or None
        Clock time in seconds after which the answer is worthless.
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

    @property
    def rank(self) -> int:
        """Level with bulk below everything else."""
        return self.level + BULK_LEVEL if self.bulk else self.level

    def cached_tokens(self, blocks: int) -> int:
        """Return the prompt tokens that the first `blocks` blocks hold."""
        if blocks and self.block_ends:
            return self.block_ends[blocks - 1]
        return blocks * BLOCK_TOKENS

    @property
    def tokens(self) -> int:
        """Most tokens the call can cost, prompt and answer."""
        return self.prompt_tokens + self.max_tokens


class Tier(IntEnum):
    """How much of a server's slots a call must leave free."""

    WITHIN_SHARE = 0
    OVER_SHARE = 1
    BULK = 2


class Stage(StrEnum):
    """Where a ticket is between admission and its end."""

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
        Server of the attempt under way; empty while queued.
    load : object
        The state of that server to which the attempt was counted; a server that goes
        and comes back under its id starts with another one.
    uncached_tokens : float
        Prompt tokens that placement expected the server to compute.
    avoid : set of str
        Servers where an earlier attempt failed.
    predicted_s : float
        Mean wait in the queue that admission predicted, seconds.
    tier : Tier
        The tier for which it was predicted.
    suspect : bool
        Whether a server crashed while it ran this call.
    yields : bool
        Whether it goes behind all others at its server, see :mod:`.placement`.
    refusal : Refusal or None
        Why a queued ticket was given up.
    """

    call: Call
    accepted_at: float
    cost: float
    stage: Stage = Stage.QUEUED
    attempt: int = 0
    server: str = ""
    load: object = None
    dispatched_at: float = 0.0
    first_token_at: float | None = None
    tokens: int = 0
    uncached_tokens: float = 0.0
    predicted_s: float = 0.0
    tier: Tier = Tier.WITHIN_SHARE
    avoid: set[str] = field(default_factory=set)
    suspect: bool = False
    yields: bool = False
    refusal: "Refusal | None" = None


@dataclass(frozen=True, slots=True)
class Refusal:
    """A call that was not taken, and when coming back is worth it.

    Attributes
    ----------
    retry_after_s : float or None
        Seconds; ``None`` where coming back cannot help.
    """

    kind: ErrorKind
    retry_after_s: float | None
    message: str

    @classmethod
    def from_kind(
        cls, kind: ErrorKind, message: str, retry_after_s: float | None = None
    ) -> "Refusal":
        """Return a refusal; the table's time to come back if none is known better."""
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
