"""Sends nothing to servers that want no requests from this node for a while.

A server that turns a request away may ask for rest. Until its time nothing is sent to
it; then one request is, and as requests are answered, more at a time. Where all servers
of a service rest, admission and expiry learn from here how long.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from endive_core.servers import ServerLoad, ServerSet

FIRST_REQUESTS = 1
"""Requests in flight that a server gets after its rest until one is answered."""


@dataclass(frozen=True, slots=True)
class RestTimes:
    """Until when servers rest, clock times in seconds.

    Attributes
    ----------
    own : mapping of str to float
        By server, until when it wants no requests from this node.
    others : mapping of str to float
        By server, until when several other nodes send it nothing. It is likely to turn
        this node's requests away too.
    """

    own: Mapping[str, float]
    others: Mapping[str, float]


NO_RESTS = RestTimes({}, {})


class Resting:
    """The resting servers of one service.

    Attributes
    ----------
    times : RestTimes
        As the node knows them, also of other services' servers.
    resting : set of str
        The servers to which nothing is sent now.
    """

    def __init__(self, servers: ServerSet) -> None:
        self.servers = servers
        self.times = NO_RESTS
        self.resting: set[str] = set()

    def set_times(self, times: RestTimes, now: float) -> None:
        """Apply changed times; a server that is no longer named rests no more."""
        self.times = times
        for server_id in self.resting - times.own.keys():
            self._end(server_id, ramps=False)
        for server_id, until in times.own.items():
            if until > now:
                self._begin(server_id)
        for server_id, until in times.others.items():
            server = self.servers.servers.get(server_id)
            if server is not None:
                server.unwilling_until = until

    def update(self, now: float) -> None:
        """End the rests whose time has come."""
        for server_id in [s for s in self.resting if self.times.own[s] <= now]:
            self._end(server_id, ramps=True)

    def _begin(self, server_id: str) -> None:
        server = self.servers.servers.get(server_id)
        if server is not None and not server.resting:
            self.resting.add(server_id)
            server.resting, server.ramp = True, None
            self.servers.refresh(server)

    def _end(self, server_id: str, *, ramps: bool) -> None:
        self.resting.discard(server_id)
        server = self.servers.servers.get(server_id)
        if server is not None and server.resting:
            server.resting = False
            server.ramp = FIRST_REQUESTS if ramps else None
            self.servers.refresh(server)

    def answered(self, server: ServerLoad) -> None:
        """Let a server have more requests at a time after it has answered one."""
        if server.ramp is None:
            return
        server.ramp *= 2
        if server.ramp >= server.view.max_concurrent:
            server.ramp = None
        self.servers.refresh(server)

    def wait_s(self, now: float) -> float:
        """Return the time until a server wants requests again, seconds.

        It is 0 if one that accepts work does not rest, or none accepts work.
        """
        accepting = self.servers.accepting.items
        if not self.resting or any(not server.resting for server in accepting):
            return 0.0
        return max(
            0.0, min((self.times.own[s.id] - now for s in accepting), default=0.0)
        )
