"""Recognises requests that crash servers by the fingerprint of their content.

A request may crash each server that runs it, and its caller may send it again to any
node. Unless it is recognised, it crashes the servers one by one, and breaks all streams
on them. It is refused with the error kind ``poison_request``.

A crash is counted against all requests that the server was starting, also those whose
content many callers send. A complete response to the same content shows that it isn't
the cause.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from endive_core.policy import Policy

SUCCESS_VALID_S = 5.0
"""Time after a complete response in which crashes are not counted against the same
content, seconds. A crash ends all requests on a server, so content that many callers
send may run on several crashing servers at once. A new version of a server may crash on
what the last one answered, so the time is short."""

MAX_SUCCESSES = 512
"""Contents of which the last complete response is remembered, at most."""


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


@dataclass(frozen=True, slots=True)
class Success:
    """A complete response to a request with `fingerprint`, at clock time `at`."""

    fingerprint: str
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
    successes : OrderedDict
        Time of the last complete response by fingerprint, the newest last.
    cleared : dict of str to float
        The same for fingerprints with known crashes, as long as these are known.
    success_listeners : list of callable
        Called with each :class:`Success` by which known crashes no longer count.
    """

    def __init__(
        self, *, refused_from: int, memory_s: float, max_fingerprints: int
    ) -> None:
        self.refused_from = refused_from
        self.memory_s = memory_s
        self.max_fingerprints = max_fingerprints
        self.crashes: OrderedDict[str, dict[str, float]] = OrderedDict()
        self.listeners: list[Callable[[Crash], None]] = []
        self.successes: OrderedDict[str, float] = OrderedDict()
        self.cleared: dict[str, float] = {}
        self.success_listeners: list[Callable[[Success], None]] = []

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
            dropped, _ = self.crashes.popitem(last=False)
            self.cleared.pop(dropped, None)
        for listener in self.listeners:
            listener(crash)
        if not self._counts(crash.fingerprint, crash.at):
            self._clear(crash.fingerprint)
        return True

    def add_success(self, success: Success) -> bool:
        """Record a complete response; return whether crashes no longer count by it."""
        fingerprint = success.fingerprint
        if not fingerprint or success.at <= self._last_success(fingerprint):
            return False
        crashes = self.crashes.get(fingerprint, {})
        counted = sum(self._counts(fingerprint, at) for at in crashes.values())
        self.successes[fingerprint] = success.at
        self.successes.move_to_end(fingerprint)
        if len(self.successes) > MAX_SUCCESSES:
            self.successes.popitem(last=False)
        if counted == sum(self._counts(fingerprint, at) for at in crashes.values()):
            return False
        self._clear(fingerprint)
        return True

    def _clear(self, fingerprint: str) -> None:
        self.cleared[fingerprint] = self._last_success(fingerprint)
        success = Success(fingerprint, self.cleared[fingerprint])
        for listener in self.success_listeners:
            listener(success)

    def _counts(self, fingerprint: str, at: float) -> bool:
        """Return whether a crash at `at` counts, judged by the last success."""
        return at > self._last_success(fingerprint) + SUCCESS_VALID_S

    def _last_success(self, fingerprint: str) -> float:
        known = (self.successes, self.cleared)
        return max(times.get(fingerprint, -math.inf) for times in known)

    def merge(self, crashes: Iterable[Crash]) -> int:
        """Record the crashes that another node saw; return how many were new."""
        return sum(self.add(crash) for crash in crashes)

    def contains(self, crash: Crash, now: float) -> bool:
        """Return whether `crash` is known and counts."""
        at = self.crashes.get(crash.fingerprint, {}).get(crash.server)
        if at is None or now - at > self.memory_s:
            return False
        return self._counts(crash.fingerprint, at)

    def count(self, fingerprint: str, now: float) -> int:
        """Return the number of crashes that count against `fingerprint`."""
        servers = self.crashes.get(fingerprint)
        if not servers:
            return 0
        for server, at in list(servers.items()):
            if now - at > self.memory_s:
                del servers[server]
        return sum(self._counts(fingerprint, at) for at in servers.values())

    def is_refused(self, crash: Crash, now: float) -> bool:
        """Return whether requests with the content of `crash` must be refused."""
        return self.is_poison(crash.fingerprint, now)

    def is_poison(self, fingerprint: str, now: float) -> bool:
        """Return whether a request with `fingerprint` must be refused."""
        return self.count(fingerprint, now) >= self.refused_from
