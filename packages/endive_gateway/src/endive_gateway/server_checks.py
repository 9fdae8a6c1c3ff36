"""Checks what a failed connection says of its server, with the help of other nodes."""

import time

import gevent
from endive_core.reachability import ConnectResults

from endive_gateway.exceptions import ConnectionBrokenError
from endive_gateway.interfaces import ServerEntry
from endive_gateway.paths import ServerPaths
from endive_gateway.tcp import LISTEN_PROBE_TIMEOUT_S
from endive_gateway.transit import TransitReply

ASK_TIMEOUT_S = 0.25
"""Longest time for which other nodes are asked whether a server has crashed, seconds.
The caller of the failed request waits meanwhile."""

OTHERS_TRIED = 3
MAX_OTHERS_TRIED = 9
"""Other servers that are tried at once to learn whether a refusal tells of this node's
link, and in all, if none listens. Many may have crashed within the time until the
registry shows it."""

MIN_CHECK_GAP_S = 0.5
"""Least time between two checks on behalf of other nodes, seconds."""


class ServerChecks:
    """Checks of servers to which connections have failed.

    Attributes
    ----------
    running : dict of str to Greenlet
        By server, the check that is under way.
    """

    def __init__(self, paths: ServerPaths) -> None:
        self.paths = paths
        self.running: dict[str, gevent.Greenlet] = {}
        self.next_check_at = 0.0

    def try_both(self, server_id: str, address: str) -> ConnectResults:
        """Try to reach a server to which a connection has failed, here and elsewhere.

        Other nodes are asked, since from a node that is cut off servers look as if they
        had crashed. All connections that fail together share one check.
        """
        check = self.running.get(server_id)
        if check is None:
            check = gevent.spawn(self._check, server_id, address)
            self.running[server_id] = check
            check.link(lambda _: self.running.pop(server_id))
        check.join()
        return check.value or ConnectResults(directly=None, elsewhere=None)

    def check_soon(self, server_id: str) -> None:
        """Check a server that another node asked for, unless one was just checked."""
        known, now = self.paths.registry.get(server_id), time.monotonic()
        if known is not None and now >= self.next_check_at:
            self.next_check_at = now + MIN_CHECK_GAP_S
            gevent.spawn(self.try_both, server_id, known.entry.address)

    def _check(self, server_id: str, address: str) -> ConnectResults:
        began_at = time.monotonic()
        directly = None
        if not self.paths.is_blocked(server_id):
            directly = self._is_listening(address)
        if directly:
            self.paths.connected(server_id)
            return ConnectResults(directly, None)
        elsewhere, node = self._is_listening_elsewhere(server_id)
        if elsewhere:
            refused = directly is False
            self.paths.block(server_id, began_at, node, refused=refused)
        elif elsewhere is None and directly is False:
            directly = False if self.reaches_another(server_id) else None
        return ConnectResults(directly, elsewhere)

    def reaches_another(self, server_id: str) -> bool:
        """Return whether this node reaches another server than the one given.

        If not, the refusal of a connection tells of this node's own link. Where there
        is no other server, the refusal is taken for the server's.
        """
        servers = self.paths.registry.servers.values()
        service = self.paths.service_of(server_id)
        others = [s.entry for s in servers if s.usable and s.entry.id != server_id]
        if not others:
            return True
        self.paths.random.shuffle(others)
        # The servers of one service may have crashed together.
        others.sort(key=lambda entry: entry.service == service)
        for first in range(0, min(len(others), MAX_OTHERS_TRIED), OTHERS_TRIED):
            if self._reaches_any(others[first : first + OTHERS_TRIED]):
                return True
        return False

    def _reaches_any(self, entries: list[ServerEntry]) -> bool:
        """Return whether any of some servers accepts a connection; try them at once."""
        checks = [gevent.spawn(self._is_listening, entry.address) for entry in entries]
        gevent.joinall(checks)
        reached = [
            entry.id
            for entry, check in zip(entries, checks, strict=True)
            if check.value
        ]
        for entry_id in reached:
            self.paths.connected(entry_id)
        return bool(reached)

    def _is_listening(self, address: str) -> bool | None:
        """Return whether a server accepts a connection; ``None`` without an answer."""
        result = self.paths.dial(address).result(LISTEN_PROBE_TIMEOUT_S)
        if isinstance(result, ConnectionBrokenError):
            return False if result.refused else None
        result.close()
        return True

    def _is_listening_elsewhere(self, server_id: str) -> tuple[bool | None, str]:
        """Return whether a server listens, as another node sees it, and which one."""
        reply, stream = TransitReply.NO_ANSWER, None
        with gevent.Timeout(ASK_TIMEOUT_S, False):
            reply, stream = self.paths.transit.open(server_id)
        if stream is not None:
            stream.close()
            return True, stream.node
        # A server that rests for the other node has accepted its connection.
        answers = {TransitReply.REFUSED: False, TransitReply.RESTING: True}
        return answers.get(reply), ""
