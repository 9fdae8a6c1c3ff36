"""The seams to everything outside the node, as Protocol types.

The serving path knows only these; adapters for HTTP and thrift, and fakes in tests,
take their places.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Protocol

from endive_core.claims import Claimant
from endive_core.members import Member
from endive_core.messages import Piece, Request
from endive_core.records import Snapshot

READ_LIMIT = 1000
"""Records asked for in one read: a page of changes stays well under a megabyte."""


@dataclass(frozen=True)
class LogEntry:
    """One record of a stream, as the log keeps it."""

    offset: int
    body: str
    time: float = 0.0


@dataclass(frozen=True)
class LogPage:
    """A run of records.

    Attributes
    ----------
    first : int
        Oldest offset that the log still keeps.
    next : int
        Offset that the stream's next record will get.
    """

    first: int
    next: int
    entries: list[LogEntry] = field(default_factory=list)


class LogService(Protocol):
    """The platform's append-only log."""

    def append(self, stream: str, records: list[str]) -> int:
        """Append all of `records` or none; return the first one's offset.

        Raises
        ------
        LogUncertainError
            If the answer was lost: the records may or may not be there, or may still
            arrive.
        LogUnavailableError
            If the log said that it did not append.
        """
        ...

    def read(
        self, stream: str, start: int, *, wait_s: float = 0.0, limit: int = READ_LIMIT
    ) -> LogPage:
        """Read from `start`, waiting up to `wait_s` seconds for a first record.

        At most `limit` records come; :attr:`LogPage.next` is the stream's end.

        Raises
        ------
        LogUnavailableError
            If the log does not answer.
        LogForgottenError
            If `start` is older than the log keeps.
        """
        ...


class InstanceList(Protocol):
    """The platform's list of live and leaving instances; it lags."""

    def instances(self) -> list[dict[str, Any]]:
        """Return the listed instances."""
        ...


class CloudApi(Protocol):
    """The cloud: instances, prices and reclaim notices."""

    def notices(self) -> list[dict[str, Any]]:
        """Return the reclaim notices in force."""
        ...


class WeightStore(Protocol):
    """The rate-limited store of model weights."""

    def describe(self, name: str) -> dict[str, Any]:
        """Return what the store knows of one version's weights."""
        ...


class BackendServer(Protocol):
    """One backend server, for one attempt at a time."""

    def run(
        self, request: Request, attempt: int, tokens: list[str]
    ) -> Iterator[list[Piece]]:
        """Send `request` and yield the answer's pieces as they come.

        Parameters
        ----------
        tokens : list of str
            The answer so far; generation goes on after it.

        Raises
        ------
        BackendError
            With ``started`` telling whether the server may have run it.
        """
        ...


class Peer(Protocol):
    """Another node."""

    def pull_configuration(self) -> bytes:
        """Return the peer's snapshot record, encoded."""
        ...


class ConfigurationSource(Protocol):
    """Other nodes, as a place to get the configuration from."""

    def highest_offset(self) -> int:
        """Return the highest offset heard of, also from nodes that are gone."""
        ...

    def reachable_offset(self) -> int:
        """Return the highest offset of a node that can be asked; -1 if none can."""
        ...

    def pull(self) -> Snapshot | None:
        """Return the newest state that one of them holds, or ``None``."""
        ...


class Members(Protocol):
    """The nodes this node knows to be there, itself among them."""

    def live(self) -> list[Member]:
        """Return the live members, ordered by id."""
        ...

    def get(self, member_id: str) -> Member | None:
        """Return the member called `member_id`, whatever its state, or ``None``."""
        ...

    def leave(self) -> None:
        """Tell the others that this node takes nothing new."""
        ...


class RequestLocator(Protocol):
    """Finds requests that other nodes hold."""

    def find_id(self, organisation: str, request_id: str) -> Any:
        """Return a run to read the answer of `request_id` from, or ``None``."""
        ...

    def find_key(self, organisation: str, key: str) -> Any:
        """Return a run to read the answer from that `key` started, or ``None``."""
        ...


class Claims(Protocol):
    """The right to send a non-idempotent request, decided by the log's order."""

    def check_age(self, request: Request) -> None:
        """Refuse a key that is older than claims are kept.

        Raises
        ------
        EndiveError
            ``key_expired``.
        """
        ...

    def acquire(self, request: Request, continues: int = 0) -> Claimant:
        """Return a held claim once this node alone may send `request`.

        Parameters
        ----------
        continues : int
            For a request of which another node sent attempts and confirmed that they
            were stopped, one more than the last one; else 0.

        Raises
        ------
        EndiveError
            ``duplicate_request`` if another claim holds the key, ``log_unavailable``
            if the log could not decide; nothing was sent.
        """
        ...

    def withdraw(self, claimant: Claimant) -> None:
        """Withdraw a claim under which nothing was sent; free its key."""
        ...


class Clock(Protocol):
    """Time that only goes forward."""

    def now(self) -> float:
        """Return seconds since some fixed moment."""
        ...


class LogUnavailableError(Exception):
    """The log did not take effect: it refused, or could not be reached."""


class LogThrottledError(LogUnavailableError):
    """The log takes no append just now because of its rate limit."""


class LogOutcomeUnknownError(Exception):
    """The log's answer was lost; the append may have taken effect or still may."""


class LogOffsetOutOfRangeError(Exception):
    """The offset asked for is older than the log keeps."""

    def __init__(self, first: int) -> None:
        super().__init__(f"oldest kept offset is {first}")
        self.first = first


class BackendError(Exception):
    """An attempt at a backend server ended without a whole answer.

    Parameters
    ----------
    started : bool
        Whether the server may have run the request. ``False`` only if nothing was
        sent or the server said that it refused before starting.
    stopped : bool
        Whether the server confirmed that it makes no further token.
    reason : RetryReason
        Why, for the counters and the retry decision.
    final_status : int or None
        Set if the server rejected the request itself, so that no other server would
        take it either.
    """

    def __init__(self, message, *, started, reason, final_status=None, stopped=False):
        super().__init__(message)
        self.started = started
        self.stopped = stopped
        self.reason = reason
        self.final_status = final_status


class RunPaused(BaseException):
    """Thrown into the greenlet that drives a request which must stop here.

    Like gevent's own time-outs it is no ``Exception``, so that code on the way which
    handles failures doesn't take it for one.
    """
