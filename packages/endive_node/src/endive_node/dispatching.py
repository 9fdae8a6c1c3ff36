"""Where a request waits for a server, and which server it gets."""

from dataclasses import dataclass

from endive_core.catalogue import Catalogue
from endive_core.exceptions import EndiveError, ErrorKind
from endive_core.messages import Endpoint, Request, ServerView


@dataclass(frozen=True)
class AttemptResult:
    """How one attempt at a server ended, for the load and latency views.

    Attributes
    ----------
    first_token_s : float or None
        Seconds from sending to the first piece; ``None`` if none came.
    """

    ok: bool
    first_token_s: float | None = None
    tokens: int = 0


class Dispatcher:
    """Gives each request a server, or refuses it.

    The serving path meets it once for each attempt: :meth:`acquire`, then
    :meth:`release`.
    """

    def __init__(self, catalogue: Catalogue) -> None:
        self.catalogue = catalogue
        self.servers: dict[str, dict[str, ServerView]] = {}

    def refresh(self) -> None:
        """Take over the servers that the configuration now declares."""
        for name, service in self.catalogue.services.items():
            views = self.servers.setdefault(name, {})
            declared = {server.id for server in service.servers}
            for gone in views.keys() - declared:
                del views[gone]
            for server in service.servers:
                if server.id not in views:
                    views[server.id] = ServerView(
                        id=server.id,
                        address=server.address,
                        zone=server.zone,
                        service=name,
                        max_concurrent=service.max_concurrent,
                        prefill_tokens_per_s=service.prefill_tokens_per_s,
                        decode_tokens_per_s=service.decode_tokens_per_s,
                        reclaimable=server.reclaimable,
                    )
        for gone in self.servers.keys() - self.catalogue.services.keys():
            del self.servers[gone]

    def leave(self, server_id: str) -> None:
        """Give a server that is being reclaimed no new work."""
        for views in self.servers.values():
            if server_id in views:
                views[server_id].leaving = True

    def service_of(self, request: Request) -> str:
        """Return the backend server service that answers `request`."""
        if request.endpoint is Endpoint.SERVICE:
            if request.model not in self.catalogue.services:
                raise EndiveError(
                    ErrorKind.NOT_FOUND, f"no service is called {request.model!r}"
                )
            return request.model
        return self.catalogue.deployment_for(request.model)[1].service

    def acquire(
        self, request: Request, *, avoid: frozenset[str] = frozenset()
    ) -> ServerView:
        """Return the server for the next attempt, counting the attempt against it.

        Raises
        ------
        EndiveError
            ``no_server`` if none is left.
        """
        service = self.service_of(request)
        usable = [
            view
            for view in self.servers.get(service, {}).values()
            if not view.leaving and view.id not in avoid
        ]
        if not usable:
            raise EndiveError(
                ErrorKind.NO_SERVER, f"no server of {service!r} can take the request"
            )
        server = min(usable, key=lambda view: (view.in_flight, view.id))
        server.in_flight += 1
        return server

    def release(
        self, request: Request, server: ServerView, result: AttemptResult
    ) -> None:
        """Note the end of an attempt."""
        server.in_flight -= 1
