"""What became of each request, and why: notes for ``endivectl explain``."""

from collections import OrderedDict
from dataclasses import dataclass, field

from endive_core.calls import Ticket
from endive_core.exceptions import EndiveError, ErrorKind
from endive_core.messages import Request

from endive_node.interfaces import Clock


@dataclass(frozen=True, slots=True)
class Note:
    """One decision or event of a request."""

    at: float
    text: str


@dataclass
class RequestTrace:
    """All notes of one request.

    Attributes
    ----------
    state, executed : str
        As in the request's state chart, at the last note.
    """

    request_id: str
    organisation: str
    model: str
    clock: Clock
    state: str = "accepted"
    executed: str = "no"
    notes: list[Note] = field(default_factory=list)

    def add_note(self, text: str) -> None:
        """Add a note; a few for each request, never one for each token."""
        self.notes.append(Note(self.clock.now(), text))

    def to_dict(self, node_id: str) -> dict:
        """Return the trail as operators read it."""
        start = self.notes[0].at if self.notes else 0.0
        return {
            "request_id": self.request_id,
            "organisation": self.organisation,
            "model": self.model,
            "node": node_id,
            "state": self.state,
            "executed": self.executed,
            "notes": [
                {"after_s": round(note.at - start, 6), "text": note.text}
                for note in self.notes
            ],
        }


class TraceStore:
    """The trails of the latest requests of a node, refused ones among them.

    Operators meet it as ``endivectl explain``. The number is bounded, and so is the
    memory: a trail is about 1 kB, and 5,000 of them are the last minute at the peak.
    """

    def __init__(self, clock: Clock, max_traces: int) -> None:
        self.clock = clock
        self.max_traces = max_traces
        self.traces_by_id: OrderedDict[str, RequestTrace] = OrderedDict()

    def get_or_create(self, request: Request) -> RequestTrace:
        """Return the trail of `request`, new if it has none yet."""
        trace = self.traces_by_id.get(request.request_id)
        if trace is None:
            trace = RequestTrace(
                request.request_id, request.organisation, request.model, self.clock
            )
            self.traces_by_id[request.request_id] = trace
            if len(self.traces_by_id) > self.max_traces:
                self.traces_by_id.popitem(last=False)
        return trace

    def add_refusal(self, request: Request, error: EndiveError) -> None:
        """Note a request that was refused before it was accepted."""
        trace = self.get_or_create(request)
        trace.state = "refused"
        trace.executed = str(error.executed)
        trace.add_note(error_note(error))

    def get(self, request_id: str) -> RequestTrace:
        """Return the trail of a request.

        Raises
        ------
        EndiveError
            ``unknown_request`` if it never came here, or too long ago.
        """
        trace = self.traces_by_id.get(request_id)
        if trace is None:
            raise EndiveError(
                ErrorKind.UNKNOWN_REQUEST,
                f"no notes of {request_id!r}: never seen here, or too long ago",
            )
        return trace


def error_note(error: EndiveError) -> str:
    """Return the note of a request that ends in `error`."""
    retry_note = (
        "" if error.retry_after_s is None else f"; come back in {error.retry_after_s} s"
    )
    return f"{error.kind}: {error.message}{retry_note}"


def queue_note(ticket: Ticket | None) -> str:
    """Return how a request was queued, for its trail."""
    if ticket is None:
        return ", handed over by another node"
    call = ticket.call
    return (
        f"; queued at level {call.level}{' as bulk' if call.bulk else ''}, "
        f"wait predicted {ticket.predicted_s:.3f} s"
    )


def cache_note(ticket: Ticket) -> str:
    """Return what placement expected of the server's cache, for the trail."""
    return (
        f", {ticket.uncached_tokens:.0f} of {ticket.call.prompt_tokens} "
        f"prompt tokens not expected in its cache"
    )
