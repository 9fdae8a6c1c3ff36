"""Knows the services whose servers are brittle, together with the other gateways.

A brittle server fails if it must reject more than a few requests a second for lack of
room. It says so in its responses. While any server of a service is brittle, all of them
count as such.
"""

from random import Random

from endive_gateway.interfaces import ResponseMetadata
from endive_gateway.servers import ServerRegistry
from endive_gateway.stated_values import StatedValues


class BrittleServices(StatedValues):
    """The services with brittle servers.

    What a server states is the rejections a second that it tolerates.

    Attributes
    ----------
    names : set of str
        The services with a brittle server.
    """

    event, field = "server_brittle", "rejections"

    def __init__(self, registry: ServerRegistry, random: Random) -> None:
        super().__init__(registry, random)
        self.names: set[str] = set()

    def read(self, metadata: ResponseMetadata) -> tuple[float | None, str]:
        """See :meth:`StatedValues.read`."""
        return metadata.brittle_rejections, metadata.invalid_brittleness

    def apply(self) -> None:
        """Find the services anew."""
        servers = self.registry.servers
        self.names = {servers[s].entry.service for s in self.reports.limited()}
