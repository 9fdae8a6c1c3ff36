"""The seams to the platform, as Protocol types, and what passes through them."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from endive_core.routing import RoutingTable

Headers = list[tuple[bytes, bytes]]


class Topic(StrEnum):
    """Streams of records that the gateway reads or keeps."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    NODES = "nodes"
    DUTIES = "duties"


@dataclass(frozen=True, slots=True)
class Record:
    """One record of a topic.

    Attributes
    ----------
    key : str
        Empty in a topic without keys.
    value : bytes or None
        ``None`` where the key was dropped.
    """

    offset: int
    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Page:
    """A run of records.

    Attributes
    ----------
    first, end : int
        Oldest offset kept, and the offset that the next record will get.
    """

    first: int
    end: int
    records: list[Record]


class Store(Protocol):
    """The platform's store, as a log of records by topic."""

    def newest(self, topic: Topic) -> Page:
        """Return the newest record of each key; raises :class:`StoreError`."""
        ...

    def read(self, topic: Topic, start: int, *, wait_s: float = 0.0) -> Page:
        """Read from `start`, waiting for a first record up to `wait_s` seconds.

        Raises
        ------
        StoreForgottenError
            If `start` is older than the store keeps.
        StoreError
            If the store does not answer.
        """
        ...

    def append(self, topic: Topic, value: bytes, *, at: int | None = None) -> int:
        """Append one record, only if the topic ends at `at` if that is given.

        Returns the record's offset.

        Raises
        ------
        StoreConflictError
            If the topic ends elsewhere.
        StoreUncertainError
            If it may have been done, or may still be.
        """
        ...

    def put(self, topic: Topic, key: str, value: bytes) -> None:
        """Append a record with a key; raises :class:`StoreError`."""
        ...


@dataclass(frozen=True, slots=True)
class Order:
    """How many servers of one kind a service is to have in a zone."""

    service: str
    zone: str
    servers: int
    reclaimable: bool


class Cloud(Protocol):
    """The platform's calls that one node makes at a time."""

    def report_usage(
        self, holder: str, fence: int, window: int, counts: Mapping[str, int]
    ) -> None:
        """Report what each organisation began in a window; raises CloudError."""
        ...

    def order(self, holder: str, fence: int, order: Order) -> None:
        """Order servers; raises :class:`CloudCapacityError` or :class:`CloudError`."""
        ...


class ServerState(StrEnum):
    """What a backend server says of itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A backend server, as it registered itself.

    Attributes
    ----------
    incarnation : int
        Grows with each start under the same id.
    sequence : int
        Grows with each entry of one incarnation.
    leaves_in_s : float or None
        Time it has left when the entry was written, if it is being reclaimed.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: ServerState = ServerState.READY
    incarnation: int = 0
    sequence: int = 0
    reclaimable: bool = False
    leaves_in_s: float | None = None


@dataclass(frozen=True, slots=True)
class ServerNews:
    """What a node read of the servers, for others that need not read it.

    Attributes
    ----------
    first, next : int
        The offsets that `changes` cover, the last one not included.
    changes : bytes
        The records that changed anything, packed.
    """

    first: int
    next: int
    changes: bytes


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share.

    Attributes
    ----------
    id : int
        Hash of its content.
    tokens : int
        Its length.
    """

    id: int
    tokens: int


@dataclass(slots=True)
class RequestMetadata:
    """What a caller's headers say of its request.

    Attributes
    ----------
    budget_s : float or None
        How long the caller will wait.
    prompt_tokens, max_tokens : int or None
        Length of the prompt, and the most tokens of the answer.
    last_event : str
        The last event that the caller has, if it resumes a stream.
    """

    id: str
    budget_s: float | None = None
    key: str = ""
    model: str = ""
    prompt_tokens: int | None = None
    max_tokens: int | None = None
    parts: tuple[PromptPart, ...] = ()
    last_event_id: str = ""


@dataclass(frozen=True, slots=True)
class ForwardingMetadata:
    """What this node adds when it sends a request to a server.

    Attributes
    ----------
    server_id : str
        The server that is meant; any other one refuses.
    left_s : float
        How long the server may work.
    urgency : int
        0 is admitted first.
    last_event : str
        Resume after this event; empty for a new run.
    copy : str
        Where a copy of the run's memory lies; empty if there is none.
    """

    server_id: str
    organisation: str
    left_s: float
    server_priority: int = 5
    last_event_id: str = ""
    kv_source: str = ""


@dataclass(slots=True)
class ResponseMetadata:
    """What a server's headers say of its answer.

    Attributes
    ----------
    sealed : bool
        Whether it bears the server's signature.
    not_run : bool
        Whether the server says that it did not run the request.
    running, waiting, slots : int or None
        The server's load.
    """

    request_id: str = ""
    signed: bool = False
    not_run: bool = False
    server_id: str = ""
    running: int | None = None
    waiting: int | None = None
    slots: int | None = None


@dataclass(frozen=True)
class ServerResponse:
    """A whole answer that a server gave."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes


class Wire(Protocol):
    """Translates headers between the platform's names and ours."""

    def decode_request(self, headers: Headers) -> RequestMetadata:
        """Return what a caller's headers say; raises :class:`BadHeaderError`."""
        ...

    def encode_request(
        self,
        headers: Headers,
        metadata: RequestMetadata,
        forwarding: ForwardingMetadata,
    ) -> Headers:
        """Return the caller's headers, cleaned, with what this node adds."""
        ...

    def end_to_end_headers(self) -> frozenset[bytes]:
        """Return the lower-case names that a caller can't keep from the servers."""
        ...

    def decode_response(self, headers: Headers) -> ResponseMetadata:
        """Return what a server's headers say."""
        ...

    def own_response_headers(self, metadata: RequestMetadata) -> Headers:
        """Return the headers of an answer that this node makes itself."""
        ...

    def decode_configuration(self, value: bytes) -> RoutingTable:
        """Return a configuration; raises :class:`UndecodableError`."""
        ...

    def decode_server(self, server_id: str, value: bytes) -> ServerEntry:
        """Return a server's entry; raises :class:`UndecodableError`."""
        ...


@dataclass(frozen=True, slots=True)
class Bounds:
    """Figures that operators promise callers.

    Attributes
    ----------
    drain_s : float
        How long a leaving server may still get requests.
    grace_s : float
        Time between the signal to stop and the end.
    config_s : float
        Time within which a confirmed change is in force.
    """

    drain_s: float = 2.0
    grace_s: float = 8.0
    config_s: float = 2.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    quota_slack: float = 0.0
    usage_window_s: float = 5.0
    usage_late_s: float = 10.0


@dataclass(frozen=True, slots=True)
class NodeLocation:
    """Where this node is, and where others may be found.

    Attributes
    ----------
    peer_port : int
        UDP port, the same on all nodes; the next one is the TCP port.
    seeds : tuple of str
        Addresses of nodes that may be there.
    """

    node: str
    address: str
    zone: str
    caller_port: int
    ready_port: int
    peer_port: int
    seeds: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    metrics_port: int = 0


@dataclass(frozen=True)
class GatewaySettings:
    """What a gateway is told at its start."""

    location: NodeLocation
    bounds: Bounds = Bounds()
    duties: frozenset[str] = frozenset()


def header_value(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes:
    """Return the value of the lower-case `name`, or nothing."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return b""
