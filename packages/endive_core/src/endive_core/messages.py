"""Data passed between a node's components: requests, answer pieces, server views."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

CHARACTERS_PER_TOKEN = 4
"""Approximate length of a token, for estimates before an engine has counted them."""


class Endpoint(StrEnum):
    """Caller endpoints that reach backend servers."""

    CHAT = "/v1/chat/completions"
    COMPLETIONS = "/v1/completions"
    SERVICE = "/services"


@dataclass
class Request:
    """One accepted request of a caller.

    Attributes
    ----------
    body : dict
        The caller's validated JSON body, as sent to the backend server.
    prompt : str
        All prompt text in order, for prefix affinity and estimates.
    max_tokens : int
        Maximum length of the answer.
    deadline : float or None
        Clock time in seconds after which the answer is of no use.
    key : str
        The caller's idempotency key, scoped by organisation; empty if none.
    non_idempotent : bool
        Whether the request may run at most once.
    key_time : float or None
        When the caller first sent the key, seconds since 1970, if given.
    include_usage : bool
        Whether a streamed answer ends with its token counts.
    """

    request_id: str
    organisation: str
    priority: str
    model: str
    endpoint: Endpoint
    body: dict[str, Any]
    prompt: str
    max_tokens: int
    stream: bool = False
    deadline: float | None = None
    key: str = ""
    non_idempotent: bool = False
    key_time: float | None = None
    path: str = ""
    method: str = "POST"
    fingerprint: str = ""
    include_usage: bool = False

    @property
    def prompt_tokens(self) -> int:
        """Estimated number of prompt tokens."""
        return max(1, len(self.prompt) // CHARACTERS_PER_TOKEN)


@dataclass(frozen=True, slots=True)
class Piece:
    """One piece of an answer, labelled so that a late or unrelated one is recognised.

    Attributes
    ----------
    index : int
        Position of the piece's first token in the answer.
    text : str
        The text of its tokens.
    finish_reason : str
        Empty until the last piece.
    """

    request_id: str
    attempt: int
    index: int
    text: str
    finish_reason: str = ""


@dataclass
class ServerView:
    """State of one backend server as scheduling decisions see it.

    Attributes
    ----------
    sent_since_report : int
        Requests this node has sent since the state that the last report describes.
    reported_running, reported_waiting : int
        Requests running and waiting in the server's last report, which lags behind.
    software_version : str
        Version of its software, not of its weights.
    """

    id: str
    address: str
    zone: str
    service: str
    max_concurrent: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    reclaimable: bool = True
    in_flight: int = 0
    sent_since_report: int = 0
    reported_running: int = 0
    reported_waiting: int = 0
    report_age_s: float = field(default=1e9)
    leaving: bool = False
    failed_until: float = 0.0
    software_version: str = ""
