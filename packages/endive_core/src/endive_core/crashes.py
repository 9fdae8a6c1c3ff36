"""Requests that crash servers, recognised by their content's fingerprint.

The load this is for: one request crashes each server that runs it, and its caller
sends it again, to any node. Unrecognised, it takes the servers down one by one, with
all streams on them. Callers meet it as ``poison_request``.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from endive_core.policy import Policy


@dataclass(frozen=True, slots=True)
class Crash:
    """One server's crash while a request with `fingerprint` was starting or running.

    Attributes
    ----------
    server : str
        The server with the number of its incarnation, so that two nodes that saw the
        same crash count it once.
    at : float
        Seconds; used only for forgetting.
    """

    fingerprint: str
    server: str
    at: float


class CrashTable:
    """Crashes by fingerprint, bounded in number and time.

    Two crashes refuse a request: one may have any cause, and a third costs another
    server with all its streams. Nodes tell each other with :meth:`recent` and
    :meth:`merge`; repeats and order do not matter.

    Attributes
    ----------
    listeners : list of callable
        Called with each :class:`Crash` that is new here.
    """

    def __init__(
        self, *, refused_from: int, memory_s: float, max_fingerprints: int
    ) -> None:
        self.refused_from = refused_from
        self.memory_s = memory_s
        self.max_fingerprints = max_fingerprints
        self.crashes: OrderedDict[str, dict[str, float]] = OrderedDict()
        self.listeners: list[Callable[[Crash], None]] = []

    @classmethod
    def from_policy(cls, policy: Policy) -> "CrashTable":
        """Return an empty table with the limits in `policy`."""
        return cls(
            refused_from=policy.crashes_refused_from,
            memory_s=policy.crash_memory_s,
            max_fingerprints=policy.max_crash_fingerprints,
        )

    def add(self, crash: Crash) -> bool:
        """Take in `crash`; return whether it was new."""
        if not crash.fingerprint:
            return False
        servers = self.crashes.setdefault(crash.fingerprint, {})
        known = crash.server in servers
        servers[crash.server] = max(crash.at, servers.get(crash.server, crash.at))
        self.crashes.move_to_end(crash.fingerprint)
        while len(self.crashes) > self.max_fingerprints:
            self.crashes.popitem(last=False)
        if known:
            return False
        for listener in self.listeners:
            listener(crash)
        return True

    def merge(self, crashes: Iterable[Crash]) -> int:
        """Take in what another node saw; return how many were new."""
        return sum(self.add(crash) for crash in crashes)

    def recent(self, now: float, *, limit: int) -> list[Crash]:
        """Return the newest crashes still remembered, newest first, to be told on."""
        found: list[Crash] = []
        for fingerprint in reversed(self.crashes):
            for server, at in self.crashes[fingerprint].items():
                if now - at <= self.memory_s:
                    found.append(Crash(fingerprint, server, at))
            if len(found) >= limit:
                break
        return found[:limit]

    def count(self, fingerprint: str, now: float) -> int:
        """Return the remembered crashes of `fingerprint`."""
        servers = self.crashes.get(fingerprint)
        if not servers:
            return 0
        for server, at in list(servers.items()):
            if now - at > self.memory_s:
                del servers[server]
        return len(servers)

    def is_poison(self, fingerprint: str, now: float) -> bool:
        """Return whether a request with `fingerprint` must be refused."""
        return self.count(fingerprint, now) >= self.refused_from
