"""The requests a node has accepted, and their answers so far."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from endive_core.exceptions import EndiveError
from endive_core.messages import Piece, Request
from gevent.event import Event

from endive_node.backends import PlainResponse

REORDERED = "reordered"
MAX_EARLY_PIECES = 16
"""Pieces kept that came before their turn; an engine that leaves a longer gap has lost
a piece, and the answer goes on with another attempt."""


@dataclass
class RequestRecord:
    """One accepted request and its answer so far.

    Attributes
    ----------
    tokens : list of str
        The answer's tokens in order; the position is the token's index.
    attempt : int
        Number of the current attempt, from 0; pieces of any other are dropped.
    finish_reason : str
        Empty until the answer is whole.
    error : EndiveError or None
        Set instead, if the request ended without a whole answer.
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
        """Whether nothing more will come."""
        return bool(self.finish_reason) or self.error is not None

    def classify(self, piece: Piece) -> str:
        """Return why `piece` must not be shown, or an empty string.

        Engines repeat, swap and misdirect pieces now and then; a caller would read a
        garbled answer, or a stranger's. Request, attempt and index together name the
        one piece that may come next.
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
        """Append a piece that :meth:`classify` let through, and any that waited."""
        self.tokens.append(piece.text)
        self.finish_reason = piece.finish_reason
        if self.early:
            self._append_early()

    def keep_early(self, piece: Piece) -> None:
        """Keep a piece that came before its turn until those before it are there.

        An engine that swaps two pieces would otherwise leave a gap, and the rest of
        the answer would have to be generated again.
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
        """Take over the whole answer so far from the server that made it."""
        self.tokens += tokens[len(self.tokens) :]

    def wake(self) -> None:
        """Let every other reader of this answer look again."""
        self.progressed.set()
        self.progressed.clear()


class RequestRegistry:
    """All requests of this node by id, and by idempotency key.

    Callers meet it when they resume an answer, or send a request again with its key
    and join the answer under way. Finished answers stay for `keep_finished_s`.
    """

    def __init__(self, keep_finished_s: float) -> None:
        self.keep_finished_s = keep_finished_s
        self.runs: dict[str, object] = {}
        self.by_key: dict[tuple[str, str], str] = {}

    def add(self, run) -> None:
        """Enter an accepted request."""
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
        """Forget a request."""
        request = run.record.request
        self.runs.pop(request.request_id, None)
        key = (request.organisation, request.key)
        if self.by_key.get(key) == request.request_id:
            del self.by_key[key]

    def expire(self, now: float) -> None:
        """Forget the answers that finished long enough ago."""
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
    """Yield a record's tokens from index `start`, as they come.

    Parameters
    ----------
    progress : callable
        Brings the record forward, or waits until somebody else has.

    Raises
    ------
    EndiveError
        Where the answer ends in an error.
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
