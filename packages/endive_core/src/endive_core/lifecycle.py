"""The state machine of a request, compiled from ``charts/request.json``."""

from dataclasses import dataclass
from enum import StrEnum
from itertools import product

from endive_core.charts import IllegalEventError, compile_chart, load_chart
from endive_core.exceptions import Executed


class State(StrEnum):
    """State of a request on this node."""

    ACCEPTED = "accepted"
    QUEUED = "queued"
    CLAIMING = "claiming"
    CLAIMED = "claimed"
    DISPATCHED = "dispatched"
    STREAMING = "streaming"
    MOVING = "moving"
    JOINING = "joining"
    HANDING_OVER = "handing_over"
    HANDED_OVER = "handed_over"
    FINISHED = "finished"
    FAILED = "failed"
    REFUSED = "refused"


class Event(StrEnum):
    """Event in the life of a request.

    ``not_started``: the server reported that it did not start the attempt, or the
    connection was never made; the attempt certainly did not run. ``server_stopped``:
    the server confirmed that it generates no further token. ``server_lost``: neither
    is known; this is not allowed for a non-idempotent request, which can only ``fail``
    then. ``offer``: a record of the request is on its way to another node, which may
    run it from now on, so the caller must not be told "not run". ``unclaim``: the
    request's claim was withdrawn.
    """

    ENQUEUE = "enqueue"
    CLAIM = "claim"
    WON = "won"
    LOST = "lost"
    DISPATCH = "dispatch"
    FIRST_PIECE = "first_piece"
    COMPLETE = "complete"
    NOT_STARTED = "not_started"
    SERVER_LOST = "server_lost"
    SERVER_STOPPED = "server_stopped"
    HAND_OVER = "hand_over"
    ACKNOWLEDGED = "acknowledged"
    DECLINED = "declined"
    UNACKNOWLEDGED = "unacknowledged"
    UNCLAIM = "unclaim"
    OFFER = "offer"
    FAIL = "fail"
    REFUSE = "refuse"


UNSENT_STATES = frozenset({State.ACCEPTED, State.QUEUED, State.CLAIMING, State.CLAIMED})
FINAL_STATES = frozenset(
    {State.HANDED_OVER, State.FINISHED, State.FAILED, State.REFUSED}
)


@dataclass(frozen=True)
class Flags:
    """The flags that the chart's guards read.

    Attributes
    ----------
    non_idempotent : bool
        The request may run at most once.
    sent_before : bool
        A server may have run the request before the current attempt, sent by this
        node or by another node that handed the request over or was offered it.
    """

    non_idempotent: bool = False
    sent_before: bool = False


REQUEST_TABLE = compile_chart(
    load_chart("request"),
    [Flags(*values) for values in product((False, True), repeat=2)],
)


class Lifecycle:
    """The state machine of one request on one node.

    The state determines the ``executed`` field of an error that a caller receives.
    Code that sends, refuses or hands over a request fires the event first, so a step
    that the chart does not allow, such as refusing a request as not run after it was
    dispatched, raises at once.

    Attributes
    ----------
    history : list of Event
        All events so far: a few per request, none per token. Tests replay it against
        the specification.
    """

    __slots__ = ("flags", "history", "state")

    def __init__(self, non_idempotent: bool, sent_before: bool = False) -> None:
        self.flags = Flags(non_idempotent, sent_before)
        self.state = State.ACCEPTED
        self.history: list[Event] = []

    def allows(self, event: Event) -> bool:
        """Return whether the chart allows `event` in the current state."""
        return (self.flags, self.state, event) in REQUEST_TABLE

    def fire(self, event: Event) -> State:
        """Make the transition for `event` and return the new state.

        Raises
        ------
        IllegalEventError
            If the chart does not allow the event; the state is unchanged then.
        """
        step = REQUEST_TABLE.get((self.flags, self.state, event))
        if step is None:
            raise IllegalEventError(
                f"event {event} not allowed in request state {self.state} "
                f"with {self.flags}"
            )
        self.state, self.flags = State(step[0]), step[1]
        self.history.append(event)
        return self.state

    @property
    def executed(self) -> Executed:
        """Whether a server ran the request, as far as an error may claim now."""
        if self.state is State.FINISHED:
            return Executed.YES
        if self.state is State.REFUSED:
            return Executed.NO
        if self.state in UNSENT_STATES and not self.flags.sent_before:
            return Executed.NO
        return Executed.UNKNOWN

    @property
    def ended(self) -> bool:
        """Whether the request is in a final state on this node."""
        return self.state in FINAL_STATES
