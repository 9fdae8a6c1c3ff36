"""Transfers of cached prompt parts: what they take, and between which servers."""

from dataclasses import dataclass

SETUP_S = 0.003
"""Time to set up a transfer, seconds, as the platform's pages state it."""

OTHER_ZONE_FACTOR = 2.0
"""Factor by which a transfer between zones takes longer."""

TURNOVERS = 2.0
"""Time for which a part is taken to stay at a server that doesn't use it again, as a
multiple of the time in which the server can fill its whole cache: engines prefill at
most half of the time on average."""

UNKNOWN_CAPACITY_HOLD_S = 10.0
MIN_HOLD_S = 2.0
MAX_HOLD_S = 60.0
"""That time where the capacity isn't stated, and its bounds, seconds."""

BURST_S = 1.0
"""Time over which the bound on fetched bytes may be used at once, seconds."""


@dataclass(frozen=True, slots=True)
class TransferCosts:
    """What transfers between a service's servers take.

    Attributes
    ----------
    capacity_tokens : int
        Tokens that a server's KV cache holds; 0 if it isn't known.
    """

    bytes_per_token: float
    link_bytes_per_s: float
    capacity_tokens: int = 0

    def transfer_s(self, tokens: float, *, same_zone: bool) -> float:
        """Return the time to fetch `tokens`, with its set-up, seconds."""
        copy_s = tokens * self.bytes_per_token / self.link_bytes_per_s
        return SETUP_S + copy_s * (1.0 if same_zone else OTHER_ZONE_FACTOR)

    def hold_s(self, prefill_tokens_per_s: float) -> float:
        """Return how long a part presumably stays that isn't used again, seconds."""
        if not self.capacity_tokens:
            return UNKNOWN_CAPACITY_HOLD_S
        turnover_s = self.capacity_tokens / prefill_tokens_per_s
        return min(MAX_HOLD_S, max(MIN_HOLD_S, TURNOVERS * turnover_s))


@dataclass(frozen=True, slots=True)
class FetchSource:
    """A server that may be named as a source.

    Attributes
    ----------
    since : float
        Clock time since when it has been there, seconds; minus infinity if it was there
        before this node.
    until : float
        Clock time until which it surely stays, seconds.
    software_version : str
        Version of its software; servers of another one don't fetch from it.
    """

    id: str
    address: str
    zone: str
    incarnation: int = 0
    since: float = float("-inf")
    until: float = float("inf")
    software_version: str = ""


@dataclass(frozen=True, slots=True)
class Offer:
    """A server that presumably holds the first `depth` parts of a prompt.

    Attributes
    ----------
    is_known : bool
        Whether this node has seen these parts in use lately, so that their prefill is
        counted as saved.
    """

    source: FetchSource
    depth: int
    is_known: bool


@dataclass(frozen=True, slots=True)
class Fetch:
    """A fetch that a request asks its server for.

    Attributes
    ----------
    tokens : int
        Tokens that the source has beyond those of the destination.
    end : int
        Prompt tokens that the destination need not prefill afterwards; 0 if the source
        may not have them.
    transfer_s : float
        Expected time, seconds.
    size : float
        Bytes to be copied.
    """

    source: FetchSource
    tokens: int
    end: int
    transfer_s: float
    size: float


class ByteBudget:
    """Bounds the bytes that this node's requests fetch.

    The share may be smaller than one fetch, so the last fetch may overdraw it, and the
    following ones wait until the debt is paid off.
    """

    def __init__(self, bytes_per_s: float = float("inf")) -> None:
        self.bytes_per_s = bytes_per_s
        self.balance = bytes_per_s * BURST_S
        self.updated_at = float("-inf")

    def set_rate(self, bytes_per_s: float) -> None:
        """Set this node's share of the bound."""
        self.bytes_per_s = bytes_per_s

    def is_open(self, now: float) -> bool:
        """Return whether a fetch may be made now."""
        if self.bytes_per_s == float("inf"):
            return True
        if self.bytes_per_s <= 0:
            return False
        burst = self.bytes_per_s * BURST_S
        earned = (now - self.updated_at) * self.bytes_per_s
        self.balance = min(burst, self.balance + earned)
        self.updated_at = now
        return self.balance > 0

    def take(self, size: float) -> None:
        """Take the bytes of a fetch."""
        if self.bytes_per_s != float("inf"):
            self.balance -= size
