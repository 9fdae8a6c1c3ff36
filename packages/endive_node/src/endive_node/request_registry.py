"""The requests that a node has accepted, and their responses so far."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from endive_core.exceptions import EndiveError
from endive_core.messages import Piece, Request
from gevent.event import Event

from endive_node.backends import PlainResponse

REORDERED = "reordered"
MAX_EARLY_PIECES = 16
"""Most out-of-order pieces kept for one request. An engine that leaves a longer gap has
lost a piece, and the response continues with another attempt."""


@dataclass
class RequestRecord:
    """One accepted request and its response so far.

    Attributes
    ----------
    tokens : list of str
        The response's tokens in order; the position is the token's index.
    attempt : int
        Number of the current attempt, from 0; pieces of any other are dropped.
    finish_reason : str
        Empty until the response is complete.
    error : EndiveError or None
        Set if the request ended without a complete response.
    """

    request: Request
    accepted_at: float
    tokens: list[str] = field(default_factory=list)
    attempt: int = -1
    finish_reason: str = ""
    error: EndiveError | None = None
    plain_response: PlainResponse | None = None
    first_token_at: float | None = None
    finished_at: float | None = None
    servers: list[str] = field(default_factory=list)
    progressed: Event = field(default_factory=Event)
    early: dict[int, Piece] = field(default_factory=dict)
    early_attempt: int = -1

    @property
    def ended(self) -> bool:
        """Whether the response is complete or has failed."""
        return bool(self.finish_reason) or self.error is not None

    def classify(self, piece: Piece) -> str:
        """Return why `piece` must not be appended, or an empty string.

        Engines occasionally repeat, swap and misdirect pieces; a caller would read a
        garbled response, or another caller's. Request, attempt and index together
        identify the one piece that may come next.
        """
        if piece.request_id != self.request.request_id:
            return "foreign"
        if piece.attempt != self.attempt:
            return "late"
        if piece.index < len(self.tokens):
            return "repeated"
        if piece.index > len(self.tokens):
            return REORDERED
        return ""

    def append(self, piece: Piece) -> None:
        """Append the next piece, and the early pieces that follow it."""
        self.tokens.append(piece.text)
        self.finish_reason = piece.finish_reason
        if self.early:
            self._append_early()

    def keep_early(self, piece: Piece) -> None:
        """Keep a piece that arrived early until those before it have arrived.

        An engine that swaps two pieces would otherwise leave a gap, and the rest of
        the response would have to be generated again.
        """
        if piece.attempt != self.early_attempt:
            self.early.clear()
            self.early_attempt = piece.attempt
        if len(self.early) < MAX_EARLY_PIECES:
            self.early[piece.index] = piece

    def _append_early(self) -> None:
        if self.early_attempt != self.attempt:
            self.early.clear()
        while (piece := self.early.pop(len(self.tokens), None)) is not None:
            self.tokens.append(piece.text)
            self.finish_reason = piece.finish_reason

    def extend(self, tokens: list[str]) -> None:
        """Append those `tokens` of a server's response so far that are missing here."""
        self.tokens += tokens[len(self.tokens) :]

    def wake(self) -> None:
        """Wake all readers that wait for this response's progress."""
        self.progressed.set()
        self.progressed.clear()


class RequestRegistry:
    """All requests of this node by id, and by idempotency key.

    It serves callers that resume a response, or repeat a request with its key and read
    the same response. Finished responses are kept for `keep_finished_s` seconds.
    """

    def __init__(self, keep_finished_s: float) -> None:
        self.keep_finished_s = keep_finished_s
        self.runs: dict[str, object] = {}
        self.by_key: dict[tuple[str, str], str] = {}

    def add(self, run) -> None:
        """Add the run of an accepted request."""
        request = run.record.request
        self.runs[request.request_id] = run
        if request.key:
            self.by_key[(request.organisation, request.key)] = request.request_id

    def get(self, request_id: str):
        """Return the run of `request_id`, or ``None``."""
        return self.runs.get(request_id)

    def by_idempotency_key(self, organisation: str, key: str):
        """Return the run that `organisation` started with `key`, or ``None``."""
        return self.runs.get(self.by_key.get((organisation, key), ""))

    def remove(self, run) -> None:
        """Remove a run."""
        request = run.record.request
        self.runs.pop(request.request_id, None)
        key = (request.organisation, request.key)
        if self.by_key.get(key) == request.request_id:
            del self.by_key[key]

    def expire(self, now: float) -> None:
        """Remove the runs that finished over `keep_finished_s` seconds before `now`."""
        for run in list(self.runs.values()):
            finished_at = run.record.finished_at
            if finished_at is not None and now - finished_at > self.keep_finished_s:
                self.remove(run)

    def unfinished(self) -> list:
        """Return the runs that have not ended."""
        return [run for run in self.runs.values() if not run.record.ended]


def read_tokens(
    record: RequestRecord, start: int, advance: Callable[[], None]
) -> Iterator[list[str]]:
    """Yield a record's tokens from index `start` as they arrive.

    Parameters
    ----------
    advance : callable
        Adds tokens to the record, or waits until another greenlet has.

    Raises
    ------
    EndiveError
        If the response ends in an error.
    """
    position = start
    while True:
        if position < len(record.tokens):
            new_tokens = record.tokens[position:]
            position += len(new_tokens)
            yield new_tokens
        elif record.ended:
            break
        else:
            advance()
    if record.error is not None:
        raise record.error
