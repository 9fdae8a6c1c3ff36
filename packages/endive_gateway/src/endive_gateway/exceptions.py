"""Every exception of the gateway."""

from endive_core.exceptions import EndiveError, ErrorKind, RetryReason

from endive_gateway.interfaces import ServerResponse


class StoreError(Exception):
    """A call to the store that did nothing: refused, or never arrived."""


class StoreOutcomeUnknownError(StoreError):
    """A call without an answer: it may have been done, or may still be."""


class StoreOffsetOutOfRangeError(StoreError):
    """Records that are older than the store keeps; ``first`` is the oldest kept."""

    def __init__(self, first: int) -> None:
        super().__init__(f"the oldest record kept is {first}")
        self.first = first


class StoreConflictError(StoreError):
    """An append on a condition that did not hold; ``end`` is the topic's end."""

    def __init__(self, end: int) -> None:
        super().__init__(f"the topic ends at {end}")
        self.end = end


class CloudError(Exception):
    """A call to the cloud that was refused or not answered."""


class CloudCapacityError(CloudError):
    """The cloud has no servers of the kind ordered just now."""


class UndecodableError(ValueError):
    """Bytes that hold no valid entry or configuration."""


class BadHeaderError(ValueError):
    """A caller's header that can't be used; the message names it."""


class BadMessageError(ValueError):
    """Bytes that are no message, or one that breaks a limit.

    Attributes
    ----------
    status : int
        What a caller who sent them is answered.
    """

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


class ConnectionBrokenError(Exception):
    """A connection to a server that ended or failed in the middle.

    Attributes
    ----------
    sent : bool
        Whether anything of the request was sent.
    refused : bool
        Whether the server's machine refused the connection: nothing listens there.
    """

    def __init__(self, message: str, *, sent: bool, refused: bool = False) -> None:
        super().__init__(message)
        self.sent = sent
        self.refused = refused


class ConnectionEndedError(ConnectionBrokenError):
    """The server closed the connection in good order."""


class CallerGoneError(Exception):
    """Raised in a request's greenlet when its caller has closed the connection."""


class OutOfTimeError(Exception):
    """Raised in a request's greenlet when its time is over."""


OUT_OF_TIME = 504
"""Status with which a server ends a request whose caller's time is over."""


class AttemptError(Exception):
    """An attempt at one server that gave no success.

    Attributes
    ----------
    started : bool
        Whether the server may have run the request.
    counts : bool
        Whether the attempt counts against the route's most attempts.
    answer : ServerAnswer or None
        The failure that the server answered itself.
    """

    def __init__(
        self,
        message: str,
        reason: RetryReason,
        *,
        started: bool,
        counts: bool = True,
        answer: ServerResponse | None = None,
    ) -> None:
        super().__init__(message)
        self.reason = reason
        self.started = started
        self.counts = counts
        self.answer = answer

    @property
    def blames_server(self) -> bool:
        """Whether the failure says something of the server.

        A refusal of what was asked doesn't, nor does the end of the caller's time.
        """
        if self.answer is None:
            return self.counts
        return self.answer.status >= 500 and self.answer.status != OUT_OF_TIME


class AnsweredError(EndiveError):
    """Raised after a server's own failure has been passed on."""

    def __init__(self) -> None:
        super().__init__(ErrorKind.BACKEND_FAILED, "answered")
