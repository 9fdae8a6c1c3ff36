"""Recognises requests that crash servers by the fingerprint of their content.

A request may crash each server that runs it, and its caller may send it again to any
node. Unless it is recognised, it crashes the servers one by one, and breaks all streams
on them. It is refused with the error kind ``poison_request``.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from endive_core.policy import Policy


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a server while it started or ran a request with `fingerprint`.

    Attributes
    ----------
    server : str
        Server with the number of its incarnation, so that a crash seen by two nodes is
        counted once.
    at : float
        Clock time of the crash, seconds; used only for its expiry.
    """

    fingerprint: str
    server: str
    at: float


class CrashTable:
    """Crashes by fingerprint, bounded in number and age.

    By default a request is refused after two crashes: a single one may have any cause,
    and a third would cost another server with all its streams. Nodes send each other
    crashes, by :class:`~endive_core.crash_news.CrashNews` or as facts; repeats and
    order do not matter.

    Parameters
    ----------
    refused_from : int
        Number of crashes from which a request is refused.
    memory_s : float
        Time for which a crash counts, seconds.
    max_fingerprints : int
        Number of fingerprints kept; the least recently added to are dropped.

    Attributes
    ----------
    listeners : list of callable
        Called with each :class:`Crash` that was not known to this node.
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
        """Record `crash`; return whether it was new."""
        if not crash.fingerprint:
            return False
        servers = self.crashes.setdefault(crash.fingerprint, {})
        if crash.server in servers:
            # Each message delays the news, so the earliest time is the best known.
            servers[crash.server] = min(crash.at, servers[crash.server])
            return False
        servers[crash.server] = crash.at
        self.crashes.move_to_end(crash.fingerprint)
        while len(self.crashes) > self.max_fingerprints:
            self.crashes.popitem(last=False)
        for listener in self.listeners:
            listener(crash)
        return True

    def merge(self, crashes: Iterable[Crash]) -> int:
        """Record the crashes that another node saw; return how many were new."""
        return sum(self.add(crash) for crash in crashes)

    def contains(self, crash: Crash, now: float) -> bool:
        """Return whether `crash` is known and has not expired."""
        at = self.crashes.get(crash.fingerprint, {}).get(crash.server)
        return at is not None and now - at <= self.memory_s

    def count(self, fingerprint: str, now: float) -> int:
        """Return the number of crashes of `fingerprint` that have not expired."""
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
