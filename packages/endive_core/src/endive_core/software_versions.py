"""The software versions that have served lately, and when only one of them has.

If nobody knows which version began a stream, it may still go on where no other version
can have begun it.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from endive_core.routing import Route

MAX_STREAM_AGE_S = 60.0
"""Age up to which a stream may be taken up whose origin nobody knows, seconds."""

MAX_HISTORY_S = 600.0
"""Time for which a version is remembered that no server has any more, seconds."""


@dataclass(frozen=True, slots=True)
class SoleVersion:
    """The only version of a service that a node has known for a while.

    Attributes
    ----------
    version : str
        Empty if there were several, or none.
    since_s : float
        For how long no other one was known, seconds.
    """

    version: str = ""
    since_s: float = 0.0


@dataclass(slots=True)
class _ServiceHistory:
    observed_since: float
    current: frozenset[str] = frozenset()
    seen_at: dict[str, float] = field(default_factory=dict)


class VersionHistory:
    """The software versions of each service's servers, as this node has known them."""

    def __init__(self) -> None:
        self.services: dict[str, _ServiceHistory] = {}

    def observe(self, service: str, versions: Iterable[str], now: float) -> None:
        """Record the versions that the servers of a service have from now on."""
        history = self.services.get(service)
        if history is None:
            history = self.services[service] = _ServiceHistory(now)
        current = frozenset(versions)
        for version in history.current | current:
            history.seen_at[version] = now
        history.current = current
        history.seen_at = {
            version: at
            for version, at in history.seen_at.items()
            if version in current or now - at < MAX_HISTORY_S
        }

    def sole(self, service: str, now: float) -> SoleVersion:
        """Return the only version of a service, and for how long it has been that."""
        history = self.services.get(service)
        if history is None or len(history.current) != 1:
            return SoleVersion()
        (version,) = history.current
        others = (at for other, at in history.seen_at.items() if other != version)
        since = max(history.observed_since, *others, history.observed_since)
        return SoleVersion(version, now - since)


class RouteHistory:
    """Since when each route has led to the services that it leads to now."""

    def __init__(self) -> None:
        self.routes: dict[tuple[str, str], tuple[frozenset[str], float]] = {}

    def observe(self, routes: Iterable[Route], now: float) -> None:
        """Record the routes of a configuration that is in force from now on."""
        found = {}
        for route in routes:
            key, services = (route.host, route.path_prefix), route.services
            known = self.routes.get(key)
            is_same = known is not None and known[0] == services
            found[key] = known if is_same else (services, now)
        self.routes = found

    def only_service(self, route: Route, now: float) -> tuple[str, float]:
        """Return the only service of a route, and for how long it has been that.

        The service is empty if there are several.
        """
        services, since = self.routes.get((route.host, route.path_prefix), ((), now))
        if len(services) != 1 or services != route.services:
            return "", 0.0
        (service,) = services
        return service, now - since


def certain_version(
    own: SoleVersion, others: Sequence[SoleVersion], max_age_s: float
) -> str | None:
    """Return the version that must have begun a stream which nobody knows.

    Parameters
    ----------
    own, others : SoleVersion
        What this node and the asked ones have known of the stream's service.
    max_age_s : float
        Age that the stream has at most, seconds.

    Returns
    -------
    str or None
        ``None`` if more than one version can have begun it.
    """
    if not own.version or any(other.version != own.version for other in others):
        return None
    known_s = max(view.since_s for view in (own, *others))
    return own.version if known_s >= max_age_s else None
