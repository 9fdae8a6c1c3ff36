"""Protocol types for everything outside of the node, and the errors they raise.

The request path depends on these alone. Adapters for HTTP and thrift implement them,
and so do fakes in tests.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Protocol

from endive_core.claims import Claimant
from endive_core.members import Member
from endive_core.messages import Piece, Request
from endive_core.records import Snapshot

READ_LIMIT = 1000
"""Most records of one read, so that a page of changes stays well below 1 MB."""


@dataclass(frozen=True)
class LogEntry:
    """One record of a stream in the log."""

    offset: int
    body: str
    time: float = 0.0


@dataclass(frozen=True)
class LogPage:
    """Consecutive records of a stream.

    Attributes
    ----------
    first : int
        Oldest offset that the log retains.
    next : int
        Offset of the next record that is appended to the stream.
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
        LogOutcomeUnknownError
            If the response was lost: the records may be appended, now or later, or
            not at all.
        LogUnavailableError
            If the records were certainly not appended.
        """
        ...

    def read(
        self, stream: str, start: int, *, wait_s: float = 0.0, limit: int = READ_LIMIT
    ) -> LogPage:
        """Read from `start`, waiting up to `wait_s` seconds for a first record.

        Returns at most `limit` records; :attr:`LogPage.next` is the stream's end.

        Raises
        ------
        LogUnavailableError
            If the log does not respond.
        LogOffsetOutOfRangeError
            If `start` is older than the oldest record that the log retains.
        """
        ...


class InstanceList(Protocol):
    """The platform's list of live and leaving instances, which lags behind."""

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
        """Return the store's description of one version's weights."""
        ...


class BackendServer(Protocol):
    """A backend server, as used by one attempt at a time."""

    def run(
        self, request: Request, attempt: int, tokens: list[str]
    ) -> Iterator[list[Piece]]:
        """Send `request` and yield the answer's pieces as they arrive.

        Parameters
        ----------
        tokens : list of str
            The answer so far; generation continues after it.

        Raises
        ------
        BackendError
            If the attempt fails; its ``started`` tells whether the server may have
            run the request.
        """
        ...


class Peer(Protocol):
    """Another node, as a source of the configuration."""

    def pull_configuration(self) -> bytes:
        """Return the peer's configuration, as an encoded snapshot record."""
        ...


class ConfigurationSource(Protocol):
    """Other nodes, as a source of the configuration."""

    def highest_offset(self) -> int:
        """Return the highest known offset, including that of nodes that are gone."""
        ...

    def reachable_offset(self) -> int:
        """Return the highest offset of the reachable nodes; -1 if there are none."""
        ...

    def pull(self) -> Snapshot | None:
        """Return the newest snapshot that one of them holds, or ``None``."""
        ...


class Members(Protocol):
    """The known nodes, including this one."""

    def live(self) -> list[Member]:
        """Return the live members, ordered by id."""
        ...

    def get(self, member_id: str) -> Member | None:
        """Return the member called `member_id`, whatever its state, or ``None``."""
        ...

    def leave(self) -> None:
        """Announce that this node accepts no new requests."""
        ...


class RequestLocator(Protocol):
    """Finds requests that other nodes hold."""

    def find_id(self, organisation: str, request_id: str) -> Any:
        """Return a run that relays the answer of `request_id`, if any."""
        ...

    def find_key(self, organisation: str, key: str) -> Any:
        """Return a run that relays the answer of the request with `key`, if any."""
        ...


class Claims(Protocol):
    """The exclusive right to send a non-idempotent request.

    The order of the claims in the log decides which of them holds.
    """

    def check_age(self, request: Request) -> None:
        """Refuse a request whose key is older than the time for which claims are kept.

        Raises
        ------
        EndiveError
            ``key_expired``.
        """
        ...

    def acquire(self, request: Request, continues: int = 0) -> Claimant:
        """Return a held claim once this node has the exclusive right to send `request`.

        Parameters
        ----------
        continues : int
            For a request whose attempts another node has sent and confirmed as
            stopped: the number of the last attempt plus one. Otherwise 0.

        Raises
        ------
        EndiveError
            ``duplicate_request`` if another claim holds the key, ``log_unavailable``
            if the log could not decide. In both cases nothing was sent.
        """
        ...

    def withdraw(self, claimant: Claimant) -> None:
        """Withdraw a claim under which nothing was sent, which frees its key."""
        ...


class Clock(Protocol):
    """A monotonic clock."""

    def now(self) -> float:
        """Return seconds since an arbitrary fixed moment."""
        ...


class LogUnavailableError(Exception):
    """The log refused a call or could not be reached; the call had no effect."""


class LogThrottledError(LogUnavailableError):
    """The log refused an append because of its rate limit."""


class LogOutcomeUnknownError(Exception):
    """The response to an append was lost; it may have taken effect or still may."""


class LogOffsetOutOfRangeError(Exception):
    """The offset of a read is older than the oldest record that the log retains."""

    def __init__(self, first: int) -> None:
        super().__init__(
            f"offset out of range: the oldest offset in the log is {first}"
        )
        self.first = first


class BackendError(Exception):
    """An attempt at a backend server ended without a complete answer.

    Parameters
    ----------
    started : bool
        Whether the server may have run the request. ``False`` only if nothing was
        sent, or if the server responded that it refused before starting.
    stopped : bool
        Whether the server confirmed that it generates no further token.
    reason : RetryReason
        The cause, for the counters and the retry decision.
    final_status : int or None
        HTTP status with which the server rejected the request itself, so that no
        other server would accept it either; otherwise ``None``.
    """

    def __init__(self, message, *, started, reason, final_status=None, stopped=False):
        super().__init__(message)
        self.started = started
        self.stopped = stopped
        self.reason = reason
        self.final_status = final_status


class RunPaused(BaseException):
    """Thrown into the greenlet that drives a request, to stop it at this node.

    Like gevent's own time-outs it is not an ``Exception``, so that code which handles
    failures does not catch it.
    """
