"""Exchange of crashes, and of the responses that clear them, between gateways.

Both are part of the state messages. A node that sees a crash also sends one at once.
"""

from collections.abc import Callable, Iterable

import gevent
from endive_core.crash_news import CrashNews
from endive_core.crashes import Crash, CrashTable, Success
from endive_node.logs import log_event

MAX_ENTRIES = 4
"""Most crashes in one state message, and most successes that clear some."""

ANNOUNCEMENT_DELAY_S = 0.01
"""Time after a crash in which others are awaited before both are announced, seconds:
all requests on a server end together."""


class CrashExchange:
    """Sends the crashes that this node knows of, and takes those of other nodes.

    Parameters
    ----------
    announce : callable
        Sends a state message to some other nodes, which pass the crashes on.
    """

    def __init__(self, crashes: CrashTable, announce: Callable[[], None]) -> None:
        self.crashes = crashes
        self.news = CrashNews(crashes)
        self.announce = announce
        self.announcement: gevent.Greenlet | None = None

    def announce_soon(self) -> None:
        """Announce the crashes that this node has just seen.

        A request that crashes servers comes to another node within milliseconds.
        """
        if self.announcement is None:
            self.announcement = gevent.spawn_later(ANNOUNCEMENT_DELAY_S, self._announce)

    def _announce(self) -> None:
        self.announcement = None
        self.announce()

    def next_crashes(self, now: float, receivers: int) -> list[tuple[str, str, float]]:
        """Return fingerprint, crash and age in seconds for a message to some nodes."""
        taken = self.news.take(now, limit=MAX_ENTRIES, receivers=receivers)
        return [(crash.fingerprint, crash.server, now - crash.at) for crash in taken]

    def next_successes(self, now: float, receivers: int) -> list[tuple[str, float]]:
        """Return fingerprint and age in seconds of responses that clear crashes."""
        taken = self.news.take_successes(limit=MAX_ENTRIES, receivers=receivers)
        return [(success.fingerprint, now - success.at) for success in taken]

    def learn(
        self,
        peer: str,
        crashes: Iterable[tuple[str, str, float]],
        successes: Iterable[tuple[str, float]],
        now: float,
    ) -> None:
        """Apply what another node has sent; see :meth:`next_crashes`."""
        for fingerprint, crash, age_s in crashes:
            if self.news.learn(Crash(fingerprint, crash, now - age_s)):
                log_event(
                    "crash_learned",
                    peer=peer,
                    fingerprint=fingerprint,
                    crash=crash,
                    age_s=round(age_s, 3),
                )
        for fingerprint, age_s in successes:
            if self.crashes.add_success(Success(fingerprint, now - age_s)):
                log_event(
                    "crashes_cleared",
                    peer=peer,
                    fingerprint=fingerprint,
                    age_s=round(age_s, 3),
                )
