"""A node's view of where streams can begin now: its servers, routes and other nodes."""

from collections.abc import Callable, Iterable

from endive_core.possible_origins import PossibleOrigin
from endive_core.routing import Route, RoutingTable
from endive_core.stream_origins import StreamOrigin

from endive_gateway.origin_records import listed_version
from endive_gateway.servers import ServerRegistry


class OriginView:
    """See :class:`endive_gateway.origin_recorder.View`.

    Attributes
    ----------
    table : callable
        Returns the configuration in force, or ``None``.
    ages_s : list of callable
        Each returns the age of a part of the view in seconds, below 0 if it was never
        current.
    unlisting_nodes : callable
        Returns how many live nodes list no origins.
    recorder : callable
        Returns whether this node is the recorder for all.
    versions : dict of str to frozenset of str
        The software versions of each service's servers, leaving ones included.
    """

    def __init__(
        self, registry: ServerRegistry, table: Callable[[], RoutingTable | None]
    ) -> None:
        self.registry = registry
        self.table = table
        self.ages_s: list[Callable[[], float]] = []
        self.unlisting_nodes: Callable[[], int] = lambda: 0
        self.recorder: Callable[[], bool] = lambda: True
        self.versions: dict[str, frozenset[str]] = {}

    def refresh(self) -> None:
        """Take the versions from the registry, which has changed."""
        found: dict[str, set[str]] = {}
        for known in self.registry.servers.values():
            entry = known.entry
            version = listed_version(entry.software_version_label)
            found.setdefault(entry.service, set()).add(version)
        self.versions = {service: frozenset(v) for service, v in found.items()}

    def _route(self, host: str, path_prefix: str) -> Route | None:
        table = self.table()
        return table.by_host.get(host, {}).get(path_prefix) if table else None

    def _origins(self, route: Route) -> frozenset[StreamOrigin]:
        return frozenset(
            StreamOrigin(service, version)
            for service in route.services
            for version in self.versions.get(service, ())
        )

    def is_usable(self, entry: PossibleOrigin) -> bool:
        """Return whether streams can begin at an entry."""
        route = self._route(entry.host, entry.path_prefix)
        return route is not None and entry.origin in self._origins(route)

    def usable_beside(
        self, entries: Iterable[PossibleOrigin]
    ) -> frozenset[PossibleOrigin]:
        """Return all usable entries of the routes of `entries`."""
        routes = (
            self._route(*key) for key in {(e.host, e.path_prefix) for e in entries}
        )
        return frozenset(
            PossibleOrigin.of(route, origin)
            for route in routes
            if route is not None
            for origin in self._origins(route)
        )

    def has_other_origins(self, route: Route, version: str) -> bool:
        """Return whether streams of a route can begin at another version or service."""
        origins = self._origins(route)
        return len(route.services) > 1 or any(
            origin.version != listed_version(version) for origin in origins
        )

    def age_s(self) -> float:
        """Return the age of this view, seconds; infinite if it was never current."""
        ages = [age_s() for age_s in self.ages_s]
        return float("inf") if min(ages, default=0.0) < 0 else max(ages, default=0.0)

    def has_unlisting_nodes(self) -> bool:
        """Return whether a live node begins streams and lists no origins."""
        return self.unlisting_nodes() > 0

    def is_recorder(self) -> bool:
        """Return whether this node is the one that all others ask."""
        return self.recorder()

    def has_resumable_routes(self) -> bool:
        """Return whether streams of any route may be resumed."""
        table = self.table()
        return table is not None and any(route.resumable for route in table.routes)
