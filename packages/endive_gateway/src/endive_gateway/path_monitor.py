"""Notices that requests hang, and finds out why.

A cut between a node and its servers closes no connection, and neither does a server
that falls silent. Without a check, each request that is sent on an open connection
would wait until the kernel gives the connection up.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import gevent
from endive_core.reachability import ConnectResults
from endive_node.logs import log_event
from gevent.event import Event

from endive_gateway.paths import ServerPaths
from endive_gateway.server_checks import ServerChecks
from endive_gateway.tcp import TcpStream

CHECK_INTERVAL_S = 0.1
"""Time between two looks at the requests under way, seconds."""

UNACKNOWLEDGED_S = 0.25
"""Time after which sent bytes that nobody acknowledged are suspicious, seconds: the
kernel has sent them twice by then."""

SILENCE_S = 0.5
"""Time without a response to a request, or anything else from any server of the
service, that is suspicious, seconds."""

MIN_CHECK_GAP_S = 0.5
"""Least time between two checks, seconds; each opens connections to servers."""

MAX_SERVERS = 4
"""Servers that are tried in one check, at most."""

HOPELESS_S = 1.0
"""Time without a sign of the other side after which a request that may run again is
sent to another server, seconds. A sound server may be silent for as long, so requests
that may run only once are waited for."""


class WatchedConnection(Protocol):
    """A connection on which a request is under way."""

    server_id: str
    repeatable: bool
    stream: TcpStream

    def close(self) -> None:
        """Close the connection, which ends the request's attempt."""
        ...


@dataclass(slots=True)
class Watch:
    """A request under way over a connection of this node's own.

    Attributes
    ----------
    moved_at : float
        When something was last sent or received, seconds on the monotonic clock.
    checked_at : float
        When its server was last checked for it.
    unacknowledged : int
        Sent bytes that the other side had not acknowledged at the last look.
    stalled_at : float
        When their number was first seen.
    """

    moved_at: float
    checked_at: float = float("-inf")
    unacknowledged: int = 0
    stalled_at: float = 0.0

    def look(self, unacknowledged: int, now: float) -> None:
        """Record how many bytes are not acknowledged now."""
        if unacknowledged != self.unacknowledged:
            self.unacknowledged, self.stalled_at = unacknowledged, now

    def is_dead(self, now: float) -> bool:
        """Return whether the other side has long acknowledged nothing."""
        return self.unacknowledged > 0 and now - self.stalled_at > HOPELESS_S


class PathMonitor:
    """Checks whether servers are still reached when their responses fail to come.

    Attributes
    ----------
    watches : dict of WatchedConnection to Watch
        The requests under way.
    silent : set of str
        Servers that answered neither this node nor another one when they were checked.
    on_silent, on_dead_connections : callable
        Called with a server that is silent, and with one that is reached although open
        connections to it are dead.
    busy : Event
        Set while any request is under way.
    checking : bool
        Whether a check is under way.
    """

    def __init__(self, paths: ServerPaths, checks: ServerChecks) -> None:
        self.paths = paths
        self.checks = checks
        self.watches: dict[WatchedConnection, Watch] = {}
        self.silent: set[str] = set()
        self.on_silent: Callable[[str], None] = lambda server: None
        self.on_dead_connections: Callable[[str], None] = lambda server: None
        self.busy = Event()
        self.checking = False
        self.next_check_at = 0.0

    def sent(self, connection: WatchedConnection) -> None:
        """Record that a request is sent."""
        self.watches[connection] = Watch(time.monotonic())
        self.busy.set()

    def heard(self, connection: WatchedConnection) -> None:
        """Record that something arrived."""
        self.paths.heard(connection.server_id)
        self.silent.discard(connection.server_id)
        watch = self.watches.get(connection)
        if watch is not None:
            watch.moved_at = time.monotonic()

    def ended(self, connection: WatchedConnection) -> None:
        """Record that a request has ended."""
        self.watches.pop(connection, None)

    def run(self) -> None:
        """Watch the requests without end; the body of a greenlet."""
        while True:
            self.busy.wait()
            gevent.sleep(CHECK_INTERVAL_S)
            self.look()
            if not self.watches:
                self.busy.clear()

    def look(self) -> None:
        """Check servers whose requests hang, unless a check is under way."""
        now = time.monotonic()
        found = [c for c, w in self.watches.items() if self._is_suspect(c, w, now)]
        if found and not self.checking and now >= self.next_check_at:
            self.checking = True
            self.next_check_at = now + MIN_CHECK_GAP_S
            for connection in found:
                self.watches[connection].checked_at = now
            gevent.spawn(self.check, found)

    def _is_suspect(
        self, connection: WatchedConnection, watch: Watch, now: float
    ) -> bool:
        waited_s = now - watch.moved_at
        if waited_s < UNACKNOWLEDGED_S:
            return False
        watch.look(connection.stream.unacknowledged_bytes(), now)
        if watch.unacknowledged:
            return True
        if now - watch.checked_at < HOPELESS_S:
            return False
        service = self.paths.service_of(connection.server_id)
        last_seen_at = self.paths.reachability.last_seen_at.get(service, float("-inf"))
        return waited_s > SILENCE_S and now - last_seen_at > SILENCE_S

    def check(self, suspects: list[WatchedConnection]) -> None:
        """Try the servers of requests that hang, and act on the results."""
        try:
            servers = self._servers_to_try(suspects)
            tries = {server: gevent.spawn(self._try, server) for server in servers}
            gevent.joinall(tries.values())
            for server, result in tries.items():
                self._judge(server, result.value)
            self._abandon_hopeless()
        finally:
            self.checking = False

    def _servers_to_try(self, suspects: list[WatchedConnection]) -> list[str]:
        """Return the suspects' servers, and another one of the service if it is one.

        The second one tells a cut from a fault of one link.
        """
        servers = list(dict.fromkeys(suspect.server_id for suspect in suspects))
        if len(servers) == 1:
            service = self.paths.service_of(servers[0])
            servers += [
                known.entry.id
                for known in self.paths.registry.of_service(service)
                if known.usable and known.entry.id != servers[0]
            ][:1]
        return servers[:MAX_SERVERS]

    def _try(self, server_id: str) -> ConnectResults | None:
        known = self.paths.registry.get(server_id)
        if known is None:
            return None
        return self.checks.try_both(server_id, known.entry.address)

    def _judge(self, server_id: str, results: ConnectResults | None) -> None:
        if results is None or results.elsewhere:
            return
        if results.directly:
            self.silent.discard(server_id)
            now = time.monotonic()
            watched = [w for c, w in self.watches.items() if c.server_id == server_id]
            if any(watch.is_dead(now) for watch in watched):
                self.on_dead_connections(server_id)
        elif results.directly is None and results.elsewhere is None:
            if server_id not in self.silent:
                log_event("server_silent", server=server_id)
            self.silent.add(server_id)
            self.on_silent(server_id)

    def _abandon_hopeless(self) -> None:
        """End the attempts that hang and may be made again in another way."""
        for connection, watch in list(self.watches.items()):
            if connection.repeatable and self._is_hopeless(connection, watch):
                log_event("attempt_abandoned", server=connection.server_id)
                connection.close()

    def _is_hopeless(self, connection: WatchedConnection, watch: Watch) -> bool:
        server_id, now = connection.server_id, time.monotonic()
        if watch.is_dead(now):
            return True
        if server_id in self.silent:
            return now - watch.moved_at > HOPELESS_S
        service, reachability = (
            self.paths.service_of(server_id),
            self.paths.reachability,
        )
        if reachability.may_reuse(server_id, service):
            return False
        is_cut_off = service in reachability.cut_off or reachability.is_cut_off
        return is_cut_off or watch.unacknowledged > 0
