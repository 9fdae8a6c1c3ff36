"""Traces of requests: their decisions and events, for ``endivectl explain``."""

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
    """The decisions and events of one request, in the order of time.

    Attributes
    ----------
    state, executed : str
        Lifecycle state of the request, and whether it was executed, as last recorded.
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
        """Return the trace as the JSON object that operators receive."""
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
    """The traces of a node's latest requests, refused ones included.

    ``endivectl explain`` shows them. Their number is bounded, and with it the memory:
    a trace takes about 1 kB, and 5,000 of them cover the last minute at peak load.
    """

    def __init__(self, clock: Clock, max_traces: int) -> None:
        self.clock = clock
        self.max_traces = max_traces
        self.traces_by_id: OrderedDict[str, RequestTrace] = OrderedDict()

    def get_or_create(self, request: Request) -> RequestTrace:
        """Return the trace of `request`, creating it if there is none."""
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
        """Record a request that was refused on arrival."""
        trace = self.get_or_create(request)
        trace.state = "refused"
        trace.executed = str(error.executed)
        trace.add_note(error_note(error))

    def get(self, request_id: str) -> RequestTrace:
        """Return the trace of a request.

        Raises
        ------
        EndiveError
            ``unknown_request`` if this node has no trace of the request.
        """
        trace = self.traces_by_id.get(request_id)
        if trace is None:
            raise EndiveError(
                ErrorKind.UNKNOWN_REQUEST,
                f"no trace of request {request_id!r} on this node: it was not received "
                "here, or its trace has been dropped",
            )
        return trace


def error_note(error: EndiveError) -> str:
    """Return the note on a request that ends in `error`."""
    retry_note = (
        "" if error.retry_after_s is None else f"; retry after {error.retry_after_s} s"
    )
    return f"{error.kind}: {error.message}{retry_note}"


def queue_note(ticket: Ticket | None) -> str:
    """Return the part of the first note that says how the request was queued."""
    if ticket is None:
        return ", handed over by another node"
    call = ticket.call
    return (
        f"; queued at level {call.level}{' as bulk' if call.bulk else ''}, "
        f"wait predicted {ticket.predicted_s:.3f} s"
    )


def cache_note(ticket: Ticket) -> str:
    """Return the part of an attempt's note on the expected prefix-cache misses."""
    return (
        f", {ticket.uncached_tokens:.0f} of {ticket.call.prompt_tokens} "
        f"prompt tokens not expected in its cache"
    )
