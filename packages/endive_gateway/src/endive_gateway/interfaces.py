"""Interfaces between the gateway and the platform, and the types that they use."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from endive_core.rollouts import RolloutOrder, StageKind
from endive_core.routing import RoutingTable

from endive_gateway.machine import Machine
from endive_gateway.quantities import Age, Count

Headers = list[tuple[bytes, bytes]]

NOT_A_VERSION = "\x1f"
"""Begins what stands for a software version that is not known. No version that is read
has a control character."""


class Topic(StrEnum):
    """Topics of the store that the gateway reads or writes."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    NODES = "nodes"
    DUTIES = "duties"
    STATUS = "status"
    POSSIBLE_ORIGINS = "possible_origins"
    STREAMS = "streams"


@dataclass(frozen=True, slots=True)
class Record:
    """One record of a topic.

    Attributes
    ----------
    key : str
        Empty in a topic without keys.
    value : bytes or None
        ``None`` if the key was deleted.
    """

    offset: int
    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Page:
    """Consecutive records, as one read returns them.

    Attributes
    ----------
    first, end : int
        Oldest offset that the store retains, and the offset of the next record to be
        appended.
    """

    first: int
    end: int
    records: list[Record]


class Store(Protocol):
    """The platform's store: an append-only log of records for each topic."""

    def newest(self, topic: Topic) -> Page:
        """Return the newest record of each key; raises :class:`StoreError`."""
        ...

    def read(self, topic: Topic, start: int, *, wait_s: float = 0.0) -> Page:
        """Read from offset `start`; wait up to `wait_s` seconds for a first record.

        Raises
        ------
        StoreForgottenError
            If `start` is older than the oldest record that the store retains.
        StoreError
            If the store does not answer.
        """
        ...

    def append(self, topic: Topic, value: bytes, *, at: int | None = None) -> int:
        """Append one record and return its offset.

        Parameters
        ----------
        at : int or None
            If given, the record is appended only if the topic ends at this offset.

        Raises
        ------
        StoreConflictError
            If the topic ends at another offset.
        StoreUncertainError
            If the append may have been done, or may still be.
        """
        ...

    def put(
        self, topic: Topic, key: str, value: bytes, *, at: int | None = None
    ) -> int:
        """Append a record with a key, and return its offset; see :meth:`append`."""
        ...


@dataclass(frozen=True, slots=True)
class Order:
    """The number of servers of one kind that a service is to have in a zone."""

    service: str
    zone: str
    servers: int
    reclaimable: bool


class Cloud(Protocol):
    """The platform's calls that only the holder of the duties makes."""

    def report_usage(
        self, holder: str, fence: int, window: int, counts: Mapping[str, int]
    ) -> None:
        """Report the requests that each organisation began in a usage window.

        Parameters
        ----------
        holder : str
            Name of the calling node.
        fence : int
            Fencing number of the holder's claim.

        Raises
        ------
        CloudError
            If the call is refused or not answered.
        """
        ...

    def order(self, holder: str, fence: int, order: Order) -> None:
        """Order servers.

        Parameters
        ----------
        holder : str
            Name of the calling node.
        fence : int
            Fencing number of the holder's claim.

        Raises
        ------
        CloudEmptyError
            If there are no servers of the kind at the moment.
        CloudError
            If the call is refused or not answered.
        """
        ...


class ServerState(StrEnum):
    """State that a backend server reports in its entry."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """Entry with which a backend server registers itself in the store.

    Attributes
    ----------
    incarnation : int
        Increases with each start under the same id.
    sequence : int
        Increases with each entry of one incarnation.
    leaves_in_s : float or None
        Seconds until the server is gone, counted from when the entry was written, if it
        is being reclaimed.
    software_version : str or None
        Version of the server's software, not of its weights; ``None`` if the entry has
        no readable one.
    cold_left_s : float
        Seconds for which the server says that it is slower than usual after its start,
        counted from when the entry was written.
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
    software_version: str | None = ""
    cold_left_s: float = 0.0

    @property
    def order(self) -> tuple[int, int]:
        """Where the entry stands among those that its server wrote."""
        return (self.incarnation, self.sequence)

    @property
    def software_version_label(self) -> str:
        """The software version; unlike that of any other server if it is unreadable."""
        if self.software_version is None:
            return f"{NOT_A_VERSION}{self.id}:{self.incarnation}"
        return self.software_version


@dataclass(frozen=True, slots=True)
class ServerDelta:
    """Recent changes of the servers, which the nodes relay to each other.

    As a dataclass it is encoded with its field names in the datagrams.

    Attributes
    ----------
    first, next : int
        Range of offsets that `changes` covers; `next` is not included.
    changes : bytes
        The compressed records that changed the registry.
    age_s : float
        Seconds since a reader was told by the store that the topic ended at `next`.
    read : int
        Identity of that read; 0 if the sender doesn't know it.
    """

    first: Count
    next: Count
    changes: bytes
    age_s: Age = 0.0
    read: Count = 0


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share.

    Attributes
    ----------
    id : int
        Hash of the content.
    tokens : int
        Length in tokens.
    """

    id: int
    tokens: int


@dataclass(slots=True)
class RequestMetadata:
    """What the headers of a caller's request state.

    Attributes
    ----------
    id : str
        The request's id.
    budget_s : float or None
        Seconds for which the caller will wait.
    key : str
        The caller's API key; empty if there is none.
    prompt_tokens, max_tokens : int or None
        Length of the prompt, and of the longest response, in tokens.
    parts : tuple of PromptPart
        Parts of the prompt that other requests may share; none if the list is invalid.
    shared_parts : tuple of int
        Keys of all parts but the last one, each once, also of an invalid list; see
        :func:`endive_core.hashing.part_key`.
    last_event_id : str
        Id of the last event that the caller has received, if it resumes a stream.
    resumes : str
        Id of the caller's request that brought the first event of that stream.
    expects_version : bool
        Whether servers that hold another version than the caller names refuse it, with
        the status of a server that was not meant.
    """

    id: str
    budget_s: float | None = None
    key: str = ""
    model: str = ""
    prompt_tokens: int | None = None
    max_tokens: int | None = None
    parts: tuple[PromptPart, ...] = ()
    shared_parts: tuple[int, ...] = ()
    last_event_id: str = ""
    resumes: str = ""
    expects_version: bool = False


@dataclass(frozen=True, slots=True)
class EventFormat:
    """What the events of streams hold. Each has one id and data; comments have none.

    Attributes
    ----------
    fields : frozenset of bytes
        Names of the fields that an event may have: those of the event-stream format of
        the HTML standard, and others of the platform's.
    first_id : int or None
        Id of a stream's first event; ``None`` if it may be any. From it on, ids count
        up by one, within one run and over its resumptions.
    """

    fields: frozenset[bytes] = frozenset({b"id", b"data", b"event", b"retry"})
    first_id: int | None = None


@dataclass(frozen=True, slots=True)
class ForwardingMetadata:
    """What the gateway adds to a request's headers when it sends it to a server.

    Attributes
    ----------
    server_id : str
        The intended server; any other one refuses the request.
    left_s : float
        Seconds that are left for the request.
    server_priority : int
        Priority at the server; 0 is admitted first.
    last_event_id : str
        Id of the event after which the stream resumes; empty for a new run.
    kv_source : str
        Where a copy of the run's KV cache is stored; empty if there is none.
    fetch_source : str
        Address of the server from which the prompt's KV cache is to be fetched; empty
        if it is to be computed.
    """

    server_id: str
    organisation: str
    left_s: float
    server_priority: int = 5
    last_event_id: str = ""
    kv_source: str = ""
    fetch_source: str = ""


@dataclass(slots=True)
class ResponseMetadata:
    """What the headers of a server's response state.

    Attributes
    ----------
    signed : bool
        Whether the response carries the server's signature.
    not_run : bool
        Whether the server states that it did not run the request.
    running, waiting, slots : int or None
        The server's load: running and waiting requests, and slots.
    slowdown : float or None
        How long work takes at the server at this moment, as a multiple of the usual
        time, if it states that.
    invalid_load : str
        A load of which a part can't be read; empty if there is none.
    request_limit : float or None
        Requests a second that the server takes from all nodes together, if it names a
        limit.
    invalid_limit : str
        What it named instead of a valid limit; empty if there is none.
    brittle_rejections : float or None
        Requests a second that the server may reject for lack of room before it fails,
        if it says that it is brittle.
    invalid_brittleness : str
        What it said instead of a valid number; empty if there is none.
    rest_s : float or None
        Seconds for which it wants no request from this node, if it turned one away.
    invalid_rest : str
        What it asked for instead of a valid time; empty if there is none.
    leaving : bool
        Whether the server says that it leaves.
    invalid_leaving : str
        What it said of that instead; empty if there is none.
    """

    request_id: str = ""
    signed: bool = False
    not_run: bool = False
    server_id: str = ""
    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    slowdown: float | None = None
    invalid_load: str = ""
    request_limit: float | None = None
    invalid_limit: str = ""
    brittle_rejections: float | None = None
    invalid_brittleness: str = ""
    rest_s: float | None = None
    invalid_rest: str = ""
    leaving: bool = False
    invalid_leaving: str = ""


@dataclass(frozen=True)
class ServerResponse:
    """A complete response of a server."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes


class Wire(Protocol):
    """Translates the platform's headers and stored documents to the gateway's types."""

    def decode_request(self, headers: Headers) -> RequestMetadata:
        """Decode a caller's headers; raises :class:`BadHeaderError`."""
        ...

    def encode_request(
        self,
        headers: Headers,
        metadata: RequestMetadata,
        forwarding: ForwardingMetadata,
    ) -> Headers:
        """Return the headers for a server.

        Headers that a caller may not set for a server are removed from the caller's,
        and those in `forwarding` are added.
        """
        ...

    def end_to_end_headers(self) -> frozenset[bytes]:
        """Return the names that a ``Connection`` header can't remove, in lower case."""
        ...

    def decode_response(self, headers: Headers) -> ResponseMetadata:
        """Decode the headers of a server's response."""
        ...

    def event_format(self) -> EventFormat:
        """Return what the events of the servers' streams hold."""
        ...

    def own_response_headers(self, metadata: RequestMetadata) -> Headers:
        """Return the headers of a response that the gateway generates itself."""
        ...

    def decode_configuration(self, value: bytes) -> RoutingTable:
        """Decode a configuration; raises :class:`UndecodableError`."""
        ...

    def decode_server(self, server_id: str, value: bytes) -> ServerEntry:
        """Decode a server's entry; raises :class:`UndecodableError`."""
        ...

    def decode_rollout(self, record: Record) -> RolloutOrder | None:
        """Decode a record beside the configuration; ``None`` if it is no rollout order.

        The time of the order is 0. A deleted record is an order for no version.

        Raises
        ------
        UndecodableError
            If it is an order that can't be read.
        """
        ...

    def encode_rollout_status(
        self, service: str, kind: StageKind, to: str
    ) -> tuple[str, bytes]:
        """Return key and value of the record that tells the outcome of a rollout."""
        ...


DEFAULT_FETCH_BYTES_PER_S = 1e12
"""Default bound on fetched bytes, per second. The largest known deployment would fetch
some 1.2e11 bytes per second if it fetched the shared part of every prompt."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the operators set, mostly as guarantees to callers.

    Attributes
    ----------
    drain_s : float
        Time for which a leaving server may still get requests, seconds.
    grace_s : float
        Time between the signal to stop and the forced end of the process, seconds.
    config_s : float
        Time within which a confirmed change is in force at all nodes, seconds.
    exposure_share, exposure_slack : float
        Requests that a bad version may get while it is rolled out, as a part of the
        service's requests and beyond that.
    rollback_s : float
        Time after its 50th bad response from which on it gets nothing, seconds.
    fetch_bytes_per_s : float
        Bytes of KV cache that servers may fetch from each other for the requests of all
        nodes together, per second; 0 for none.
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
    exposure_share: float = 0.1
    exposure_slack: float = 50.0
    rollback_s: float = 5.0
    fetch_bytes_per_s: float = DEFAULT_FETCH_BYTES_PER_S


@dataclass(frozen=True, slots=True)
class NodeLocation:
    """Name, addresses and zone of this node, and addresses of possible peers.

    Attributes
    ----------
    address : str
        IP address.
    peer_port : int
        UDP port of the state messages, the same on all nodes. The next port serves the
        configuration by TCP and takes spending by UDP, the one after it takes prompts
        by UDP and carries other nodes' connections to servers by TCP.
    seeds : tuple of str
        Addresses at which other nodes may run.
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
    """Settings of a gateway.

    Attributes
    ----------
    duties : frozenset of str
        Names of the duties that the nodes perform, ``usage`` and ``scale``.
    server_slowdowns : bool
        Whether decisions use what servers state of their current speed.
    contracts : frozenset of str
        Names of what the deployment calls for; with ``rollout``, operators may order
        rollouts.
    pools_slots : bool
        Whether the slots of plain services with fewer slots than nodes are leased from
        one queue for all nodes.
    is_first_start : bool
        Whether the whole system starts for the first time.
    machine : Machine
        What the process may take of its machine.
    server_heartbeat_s : float
        Time between two entries that a server writes, approximately, seconds.
    """

    location: NodeLocation
    bounds: Bounds = Bounds()
    duties: frozenset[str] = frozenset()
    server_slowdowns: bool = True
    contracts: frozenset[str] = frozenset()
    pools_slots: bool = True
    is_first_start: bool = False
    machine: Machine = Machine()
    server_heartbeat_s: float = 1.2


def header_value(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes:
    """Return the value of the header with the lower-case `name`; empty if missing."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return b""
