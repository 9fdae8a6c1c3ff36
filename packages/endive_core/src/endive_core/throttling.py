"""Keeps a node's share of the limits that backend servers name.

A server whose share is used up counts as having no room, so calls go elsewhere or wait
in the queue. Where all servers of a service are limited, admission learns from here how
long the next place takes.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from endive_core.calls import Tier
from endive_core.server_limits import LimitShare
from endive_core.servers import ServerLoad, ServerSet

REFRESH_S = 1.0
"""Time without a response of a limited server after which it is preferred for the next
call, seconds, so that the end of its limit is noticed."""


class Throttle:
    """Token bucket of one server at this node; a call takes one token."""

    def __init__(self, share: LimitShare, now: float) -> None:
        self.share = share
        self.tokens = 0.0
        self.updated_at = now

    def set_share(self, share: LimitShare, now: float) -> None:
        """Apply a changed share; what was saved up is kept within its burst."""
        self._refill(now)
        self.share = share
        self.tokens = min(self.tokens, share.burst)

    def take(self, now: float) -> None:
        """Take a token for a call that is sent."""
        self._refill(now)
        self.tokens -= 1.0

    def wait_s(self, now: float) -> float:
        """Return the time until a call may be sent, seconds; infinite if never."""
        self._refill(now)
        if self.tokens >= 1.0:
            return 0.0
        rate = self.share.rate
        return (1.0 - self.tokens) / rate if rate else math.inf

    def _refill(self, now: float) -> None:
        earned = self.share.rate * max(0.0, now - self.updated_at)
        self.tokens = min(self.share.burst, self.tokens + earned)
        self.updated_at = now


@dataclass(frozen=True, slots=True)
class Places:
    """When the limits of a service's servers let this node send its next calls.

    Attributes
    ----------
    first_s : float
        Time until the first one, seconds; infinite if other nodes share all limits.
    saved : float
        Calls that may be sent at once.
    rate : float
        Calls a second after that.
    """

    first_s: float
    saved: float
    rate: float

    def wait_s(self, ahead: int) -> float:
        """Return the time until a call may be sent after `ahead` others, seconds."""
        if ahead < self.saved or not self.rate:
            return self.first_s
        return self.first_s + (ahead + 1 - max(1.0, self.saved)) / self.rate


class Throttling:
    """The throttles of a service's limited servers.

    Attributes
    ----------
    throttles : dict of str to Throttle
        By server.
    """

    def __init__(self, servers: ServerSet) -> None:
        self.servers = servers
        self.throttles: dict[str, Throttle] = {}

    def set_shares(self, shares: Mapping[str, LimitShare], now: float) -> None:
        """Apply this node's shares of all limits; servers without one are unlimited."""
        for server_id in self.throttles.keys() - shares.keys():
            del self.throttles[server_id]
            self._set_throttled(server_id, False)
        for server_id, share in shares.items():
            throttle = self.throttles.get(server_id)
            if throttle is None:
                self.throttles[server_id] = Throttle(share, now)
            else:
                throttle.set_share(share, now)
        self.update(now)

    def update(self, now: float) -> None:
        """Open the servers whose next call may be sent, and close the others."""
        for server_id, throttle in self.throttles.items():
            self._set_throttled(server_id, throttle.wait_s(now) > 0)

    def sent(self, server_id: str, now: float) -> None:
        """Count a call that is sent to a server."""
        throttle = self.throttles.get(server_id)
        if throttle is not None:
            throttle.take(now)
            self._set_throttled(server_id, throttle.wait_s(now) > 0)

    def _set_throttled(self, server_id: str, throttled: bool) -> None:
        server = self.servers.servers.get(server_id)
        if server is not None and server.throttled != throttled:
            server.throttled = throttled
            self.servers.refresh(server)

    def silent_server(self, now: float, tier: Tier) -> ServerLoad | None:
        """Return a server with room that has been silent on its limit, or ``None``."""
        with_room = self.servers.available[tier].positions
        for server_id, throttle in self.throttles.items():
            is_silent = now - throttle.share.reported_at > REFRESH_S
            if is_silent and server_id in with_room:
                return self.servers.servers[server_id]
        return None

    def wait_s(self, now: float, ahead: int = 0) -> float:
        """Return the time until a call may be sent to any server, seconds.

        It is 0 if a server without a limit accepts work, or none does.

        Parameters
        ----------
        ahead : int
            Calls that are sent before it.
        """
        places = self.places(now)
        return places.wait_s(ahead) if places else 0.0

    def places(self, now: float) -> Places | None:
        """Return when calls may be sent, or ``None`` if no limit holds them up."""
        throttles = self._limited()
        if not throttles:
            return None
        waits = [throttle.wait_s(now) for throttle in throttles]
        saved = sum(
            t.tokens for t, wait in zip(throttles, waits, strict=True) if not wait
        )
        rate = sum(throttle.share.rate for throttle in throttles)
        return Places(min(waits), saved, rate)

    def call_s(self) -> float:
        """Return the time between two calls that this node may send, seconds.

        It is 0 if a server without a limit accepts work, or this node has no share.
        """
        rate = sum(throttle.share.rate for throttle in self._limited())
        return 1 / rate if rate else 0.0

    def _limited(self) -> list[Throttle]:
        """Return the throttles of the servers that accept work.

        There are none if a server without a limit accepts work too. Those that rest
        accept none.
        """
        if not self.throttles:
            return []
        accepting = [s for s in self.servers.accepting.items if not s.resting]
        if any(s.id not in self.throttles for s in accepting):
            return []
        return [self.throttles[server.id] for server in accepting]

    def gap_s(self) -> float:
        """Return the mean time between two calls that all nodes may send, seconds."""
        total = sum(throttle.share.limit for throttle in self.throttles.values())
        return 1 / total if total else math.inf
