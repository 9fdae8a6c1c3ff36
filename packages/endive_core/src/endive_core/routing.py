"""The configuration in force: routes, services, organisations and limits.

A routing table is immutable and replaced as a whole, so that each request is processed
by a single version of the configuration.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """Whether and how a route's requests may be sent again."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Split:
    """A service that gets a weighted part of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Services and limits for the requests of one host and path prefix.

    Attributes
    ----------
    timeout_s : float
        Longest time that a request may wait, seconds.
    target_s : float
        Target time to the answer, or to the first event of a stream, seconds.
    priority : int
        Priority, 0 the highest.
    max_attempts : int
        Number of servers to which a request may be sent.
    public : bool
        Whether callers need no key.
    resumable : bool
        Whether a stream may be resumed at another server after its last event.
    engine : bool
        Whether the servers run models and cache prompts.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    splits: tuple[Split, ...]
    timeout_s: float = 30.0
    target_s: float = 0.5
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    engine: bool = False
    pause_s: float = 1.0

    @property
    def retryable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def services(self) -> frozenset[str]:
        """The services to which its requests go."""
        return frozenset(split.service for split in self.splits if split.weight > 0)

    def choose(self, draw: float) -> str:
        """Return the service for a request.

        Parameters
        ----------
        draw : float
            Random number, uniform from 0 up to 1.
        """
        remaining = draw * sum(split.weight for split in self.splits)
        for split in self.splits:
            remaining -= split.weight
            if remaining < 0:
                return split.service
        return self.splits[-1].service


@dataclass(frozen=True, slots=True)
class Scaling:
    """Bounds and prices of a service with automatic scaling.

    Attributes
    ----------
    min_servers, max_servers : int
        Servers in each availability zone, reclaimable ones included.
    boot_s : float
        Time from the order of a server to its first request, seconds.
    reclaimable_price : float
        Price of a reclaimable server as a fraction of that of an on-demand server.
    zone_prices : mapping of str to float
        Price per second of a server in each availability zone.
    """

    min_servers: int
    max_servers: int
    boot_s: float
    reclaimable_price: float
    zone_prices: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Engine:
    """Properties of the engines of a model service.

    Attributes
    ----------
    transfers : bool
        Whether an engine can fetch cached parts of prompts from another one.
    kv_bytes_per_token : float
        Size of the KV cache of one token, bytes.
    link_bytes_per_s : float
        Speed of the links between engines, bytes per second.
    kv_capacity_tokens : float
        Tokens that an engine's KV cache holds; 0 if it isn't known.
    """

    slots: int = 0
    tokens_per_event: int = 1
    transfers: bool = False
    kv_bytes_per_token: float = 0
    link_bytes_per_s: float = 0.0
    kv_capacity_tokens: float = 0

    @property
    def can_fetch(self) -> bool:
        """Whether transfers are possible, and what they take is known."""
        return self.transfers and self.kv_bytes_per_token > 0 < self.link_bytes_per_s


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable backend servers."""

    name: str
    health_path: str = "/health"
    engine: Engine | None = None
    scaling: Scaling | None = None


@dataclass(frozen=True, slots=True)
class OrganisationLimits:
    """Priority and rate limit of one organisation.

    Attributes
    ----------
    priority : int or None
        Overrides the priority of the route.
    rate, burst : float
        Units per second, and units in a burst beyond that; a rate of 0 means no limit.
    counts_tokens : bool
        Whether the unit is a token; otherwise it is a request.
    plain_tokens : int
        Tokens charged for a request that does not state its prompt tokens.
    """

    name: str
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    plain_tokens: int = 1

    def units(self, prompt_tokens: int | None, max_tokens: int | None) -> float:
        """Return the units charged for a request, by the tokens that it states."""
        if not self.counts_tokens:
            return 1.0
        if prompt_tokens is None:
            return float(self.plain_tokens)
        return float(prompt_tokens + (max_tokens or 0))


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on the size of a caller's request and on the time to send it."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class RoutingTable:
    """One version of the configuration, indexed for lookup.

    Attributes
    ----------
    keys : mapping of str to str
        Organisation of each caller key.
    organisations : mapping or None
        Organisations by name; ``None`` if callers need no keys.
    by_host : dict
        Routes by host and path prefix.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    organisations: Mapping[str, OrganisationLimits] | None
    keys: Mapping[str, str]
    limits: CallerLimits = CallerLimits()
    by_host: dict[str, dict[str, Route]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for route in self.routes:
            self.by_host.setdefault(route.host, {})[route.path_prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest path prefix of `path`, or ``None``.

        Prefixes end with a slash, so the path is looked up to each of its slashes, the
        last one first. The cost grows with the depth of the path, not with the number
        of routes.
        """
        prefixes = self.by_host.get(host)
        if not prefixes:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def allows(self, route: Route, key: str) -> bool:
        """Return whether a caller with `key` may use `route`."""
        return route.public or self.organisations is None or key in self.keys
