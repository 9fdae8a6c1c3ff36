"""The exceptions of the gateway."""

from endive_core.exceptions import EndiveError, ErrorKind, RetryReason

from endive_gateway.interfaces import ServerResponse


class StoreError(Exception):
    """A call to the store that had no effect: refused, or not delivered."""


class StoreHeldBackError(StoreError):
    """A call that was not sent, since the store has not answered earlier ones."""


class StoreOutcomeUnknownError(StoreError):
    """A call to the store without a response: it may take effect, even later."""


class StoreOffsetOutOfRangeError(StoreError):
    """A read of records older than the store retains, which start at ``first``."""

    def __init__(self, first: int) -> None:
        super().__init__(f"the oldest record retained has offset {first}")
        self.first = first


class StoreConflictError(StoreError):
    """A conditional append to a topic that ends elsewhere, at offset ``end``."""

    def __init__(self, end: int) -> None:
        super().__init__(f"the topic ends at offset {end}")
        self.end = end


class CloudError(Exception):
    """A call to the cloud's API that was refused or not answered.

    Parameters
    ----------
    sent : bool
        Whether it was sent and not answered, so that it may take effect, even later.
    """

    def __init__(self, message: str, *, sent: bool = False) -> None:
        super().__init__(message)
        self.sent = sent


class CloudCapacityError(CloudError):
    """The cloud has no capacity for the ordered kind of server at present."""


class UndecodableError(ValueError):
    """Bytes that are no valid server entry or configuration.

    Attributes
    ----------
    says_leaving : bool
        Whether they say all the same that a server leaves.
    """

    says_leaving = False


class BadHeaderError(ValueError):
    """A missing or invalid header of a caller's request; the message names it."""


class BadMessageError(ValueError):
    """A malformed HTTP message, or one that exceeds a limit.

    Attributes
    ----------
    status : int
        Status of the response to a caller that sent it.
    """

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


class NoRoomError(BadMessageError):
    """A request, or a connection, for which there is no room."""

    def __init__(self, message: str) -> None:
        super().__init__(message, 503)


class StoppingError(BadMessageError):
    """A request that was not read before its node's end."""

    def __init__(self, message: str) -> None:
        super().__init__(message, 503)


class ConnectionBrokenError(Exception):
    """A connection to a server that could not be opened, failed or ended early.

    Attributes
    ----------
    sent : bool
        Whether any part of the request may have been sent.
    refused : bool
        Whether the connection was refused, so that no process listens there.
    on_the_way : bool
        Whether it broke between this node and another one through which it went.
    """

    def __init__(
        self,
        message: str,
        *,
        sent: bool,
        refused: bool = False,
        on_the_way: bool = False,
    ) -> None:
        super().__init__(message)
        self.sent = sent
        self.refused = refused
        self.on_the_way = on_the_way


class TransitBrokenError(OSError):
    """The connection to a transit node broke, so the server's end is unknown."""


class ConnectionEndedError(ConnectionBrokenError):
    """The server closed the connection in an orderly way."""


class CallerGoneError(Exception):
    """Raised in a request's greenlet when the caller has closed the connection."""


class RequestTimeoutError(Exception):
    """Raised in a request's greenlet when its time-out has passed."""


class NodeStoppingError(Exception):
    """Raised in a request's greenlet when its node is about to exit."""


DEADLINE_EXCEEDED_STATUS = 504
"""Status with which a server answers a request whose deadline has passed."""


NO_SERVER_FAULT = (
    RetryReason.PATH_FAILED,
    RetryReason.ORIGIN_UNRECORDED,
    RetryReason.VERSION_MISMATCH,
)
"""Reasons that say nothing against the server."""


class AttemptError(Exception):
    """An attempt at one server that failed.

    Attributes
    ----------
    started : bool
        Whether the server may have run the request.
    counts_as_attempt : bool
        Whether the attempt counts towards the route's maximum of attempts.
    response : ServerResponse or None
        The error response that the server itself gave.
    through_transit : bool
        Whether the connection went through another node.
    on_the_way : bool
        Whether it broke on the way to that node, so that nothing is known of the
        server.
    rest_s : float or None
        Seconds for which the server wants no request from this node, if it said so.
    """

    def __init__(
        self,
        message: str,
        reason: RetryReason,
        *,
        started: bool,
        counts_as_attempt: bool = True,
        response: ServerResponse | None = None,
        through_transit: bool = False,
        on_the_way: bool = False,
        rest_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.rest_s = rest_s
        self.through_transit = through_transit
        self.on_the_way = on_the_way
        self.reason = reason
        self.started = started
        self.counts_as_attempt = counts_as_attempt
        self.response = response

    @property
    def is_server_fault(self) -> bool:
        """Whether the failure is evidence against the server.

        A rejection of the request is none, nor is the end of the caller's time, nor a
        fault of this node's own connections.
        """
        if self.reason in NO_SERVER_FAULT:
            return False
        if self.response is None:
            return self.counts_as_attempt
        return (
            self.response.status >= 500
            and self.response.status != DEADLINE_EXCEEDED_STATUS
        )


class SlotDeclinedError(AttemptError):
    """No slot of a brittle server was leased, so nothing was sent to it."""

    def __init__(self, message: str) -> None:
        super().__init__(
            message, RetryReason.SLOT_DECLINED, started=False, counts_as_attempt=False
        )


class VersionMismatchError(AttemptError):
    """The server does not hold the version that the caller expects.

    It counts as an attempt, but neither against the server nor as a retry.
    """

    def __init__(self) -> None:
        super().__init__(
            "the server does not hold the version that the caller expects",
            RetryReason.VERSION_MISMATCH,
            started=False,
        )


class FetchOverdueError(Exception):
    """Ends the wait for a response whose server presumably waits for a fetch."""


class ResponseForwardedError(EndiveError):
    """Raised after a server's own error response has been forwarded to the caller."""

    def __init__(self) -> None:
        super().__init__(
            ErrorKind.BACKEND_FAILED, "the server's response was forwarded"
        )


class CallFailedError(Exception):
    """A call to the platform without a usable response.

    Attributes
    ----------
    sent : bool
        Whether the platform may have executed the call.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class CallTimedOutError(CallFailedError):
    """A call without a response in time."""


class CallHeldBackError(CallFailedError):
    """A call that was not sent, since earlier ones got no response."""

    def __init__(self) -> None:
        super().__init__("earlier calls got no response", sent=False)


class QueryError(Exception):
    """An operator's query that is invalid or names something unknown."""
