"""Notices that requests hang on connections of this node's own.

A cut between a node and its servers closes no connection. Without a check, each request
that is sent on an open one would wait until the kernel gives the connection up.
"""

import time
from typing import Protocol

import gevent
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


class WatchedConnection(Protocol):
    """A connection on which a request is under way."""

    server_id: str
    repeatable: bool
    stream: TcpStream

    def close(self) -> None:
        """Close the connection, which ends the request's attempt."""
        ...


class PathMonitor:
    """Checks whether servers are still reached when their responses fail to come.

    Attributes
    ----------
    sent_at : dict of WatchedConnection to float
        Requests under way over connections of this node's own, and when something was
        last sent or received on them, seconds on the monotonic clock.
    suspects : set of WatchedConnection
        Those whose server has been checked since then.
    busy : Event
        Set while any request is under way.
    checking : bool
        Whether a check is under way.
    """

    def __init__(self, paths: ServerPaths, checks: ServerChecks) -> None:
        self.paths = paths
        self.checks = checks
        self.sent_at: dict[WatchedConnection, float] = {}
        self.suspects: set[WatchedConnection] = set()
        self.busy = Event()
        self.checking = False
        self.next_check_at = 0.0

    def sent(self, connection: WatchedConnection) -> None:
        """Record that a request is sent."""
        self.sent_at[connection] = time.monotonic()
        self.busy.set()

    def heard(self, connection: WatchedConnection) -> None:
        """Record that something arrived."""
        self.paths.heard(connection.server_id)
        if connection in self.sent_at:
            self.sent_at[connection] = time.monotonic()
            self.suspects.discard(connection)

    def ended(self, connection: WatchedConnection) -> None:
        """Record that a request has ended."""
        self.sent_at.pop(connection, None)
        self.suspects.discard(connection)

    def run(self) -> None:
        """Watch the requests without end; the body of a greenlet."""
        while True:
            self.busy.wait()
            gevent.sleep(CHECK_INTERVAL_S)
            self.look()
            if not self.sent_at:
                self.busy.clear()

    def look(self) -> None:
        """Check servers whose requests hang, unless a check is under way."""
        now = time.monotonic()
        if self.checking or now < self.next_check_at:
            return
        found = [c for c, at in self.sent_at.items() if self._is_suspect(c, at, now)]
        if found:
            self.checking = True
            self.next_check_at = now + MIN_CHECK_GAP_S
            self.suspects.update(found)
            gevent.spawn(self._check, found)

    def _is_suspect(
        self, connection: WatchedConnection, sent_at: float, now: float
    ) -> bool:
        waited_s = now - sent_at
        if waited_s < UNACKNOWLEDGED_S or connection in self.suspects:
            return False
        if connection.stream.unacknowledged_bytes():
            return True
        service = self.paths.service_of(connection.server_id)
        heard_at = self.paths.reachability.heard_at.get(service, float("-inf"))
        return waited_s > SILENCE_S and now - heard_at > SILENCE_S

    def _check(self, suspects: list[WatchedConnection]) -> None:
        """Try the servers of `suspects`, until one of them is reached, here or not."""
        try:
            for server_id in self._servers_to_try(suspects):
                if not self._is_blocked(server_id):
                    break
            self._abandon_hanging()
        finally:
            self.checking = False

    def _servers_to_try(self, suspects: list[WatchedConnection]) -> list[str]:
        """Return a suspect's server, and another one of its service if there is any.

        The second one tells a cut from a fault of one link.
        """
        first = suspects[0].server_id
        service = self.paths.service_of(first)
        others = [s.server_id for s in suspects[1:] if s.server_id != first]
        others += [
            known.entry.id
            for known in self.paths.registry.of_service(service)
            if known.usable and known.entry.id != first
        ]
        return [first, *others[:1]]

    def _is_blocked(self, server_id: str) -> bool:
        known = self.paths.registry.get(server_id)
        if known is None:
            return False
        results = self.checks.try_both(server_id, known.entry.address)
        return not results.directly and bool(results.elsewhere)

    def _abandon_hanging(self) -> None:
        """End the attempts that hang behind a cut and may be made again elsewhere."""
        for connection in list(self.sent_at):
            if connection.repeatable and self._hangs(connection):
                log_event("attempt_abandoned", server=connection.server_id)
                connection.close()

    def _hangs(self, connection: WatchedConnection) -> bool:
        service = self.paths.service_of(connection.server_id)
        if self.paths.reachability.may_reuse(connection.server_id, service):
            return False
        if service in self.paths.reachability.cut_off:
            return True
        return (
            self.paths.reachability.is_cut_off
            or connection.stream.unacknowledged_bytes() > 0
        )
