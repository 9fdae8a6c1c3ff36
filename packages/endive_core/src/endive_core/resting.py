"""Sends nothing to servers that want no requests from this node for a while.

A server that turns a request away may ask for rest. Until its time nothing is sent to
it; then one request is, and as requests are answered, more at a time. Where all servers
of a service rest, admission and expiry learn from here how long.

A server that turns a request away without a time gets no more requests at a time
than it has now, and more with its answers. If it has none, it is left alone for a short
time that doubles with each further refusal: only a request shows whether it has room.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from endive_core.servers import ServerLoad, ServerSet

FIRST_REQUESTS = 1.0
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
    pauses : dict of str to float
        By server, until when it is left alone after a refusal.
    resting : set of str
        The servers to which nothing is sent now.
    """

    def __init__(self, servers: ServerSet) -> None:
        self.servers = servers
        self.times = NO_RESTS
        self.pauses: dict[str, float] = {}
        self.resting: set[str] = set()

    def set_times(self, times: RestTimes, now: float) -> None:
        """Apply changed times; a server that is no longer named rests no more."""
        self.update(now)
        self.times = times
        for server_id in self.resting - times.own.keys() - self.pauses.keys():
            self._end(server_id, ramps=False)
        for server_id, until in times.own.items():
            if until > now:
                self._begin(server_id)
        for server_id, until in times.others.items():
            server = self.servers.servers.get(server_id)
            if server is not None:
                server.shedding_until = until

    def update(self, now: float) -> None:
        """End the rests whose time has come."""
        for server_id in [s for s, until in self.pauses.items() if until <= now]:
            del self.pauses[server_id]
            if server_id not in self.resting:
                self._probe(server_id)
        for server_id in [s for s in self.resting if self._until(s) <= now]:
            self._end(server_id, ramps=True)

    def _probe(self, server_id: str) -> None:
        """Let a server have one request more, though it has answered none."""
        server = self.servers.servers.get(server_id)
        if server is not None and server.ramp is not None:
            server.ramp = server.view.in_flight + 1.0
            self.servers.refresh(server)

    def _until(self, server_id: str) -> float:
        ends = (self.times.own.get(server_id), self.pauses.get(server_id))
        return max((end for end in ends if end is not None), default=float("-inf"))

    def refused(
        self, server: ServerLoad, now: float, *, pause_s: float, max_pause_s: float
    ) -> None:
        """Send a server that refused a request for lack of room no more than it has.

        Parameters
        ----------
        pause_s, max_pause_s : float
            Time after the first refusal, and the longest, seconds.
        """
        pause_s = min(max_pause_s, pause_s * 2.0 ** min(server.refusals, 32))
        server.refusals += 1
        self.pauses[server.id] = now + pause_s
        in_flight = server.view.in_flight
        if not in_flight:
            self._begin(server.id)
        elif not server.resting:
            server.ramp = server.ramp_threshold = float(in_flight)
            self.servers.refresh(server)

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
            server.ramp = server.view.in_flight + FIRST_REQUESTS if ramps else None
            if not ramps:
                server.refusals = 0
            self.servers.refresh(server)

    def answered(self, server: ServerLoad) -> None:
        """Let a server have more requests at a time after it has answered one.

        The number doubles up to that at which it refused one, and then grows by one
        for each time that all of them are answered.
        """
        server.refusals = 0
        if server.ramp is None:
            return
        if not server.resting:
            self.pauses.pop(server.id, None)
        if server.ramp < server.ramp_threshold:
            server.ramp = min(2 * server.ramp, server.ramp_threshold)
        else:
            server.ramp += 1 / server.ramp
        if server.ramp >= server.view.max_concurrent + 1:
            server.ramp, server.ramp_threshold = None, math.inf
        self.servers.refresh(server)

    def wait_s(self, now: float) -> float:
        """Return the time until a server wants requests again, seconds.

        It is 0 if one that accepts work does not rest, or none accepts work.
        """
        accepting = self.servers.accepting.items
        if not self.resting or any(not server.resting for server in accepting):
            return 0.0
        ends = (self._until(server.id) for server in accepting)
        return max(0.0, min(ends, default=now) - now)
