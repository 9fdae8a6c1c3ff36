"""Watching the cloud's reclaim notices and the platform's instance list."""

from collections.abc import Callable
from dataclasses import dataclass

import gevent
import msgspec
import urllib3

from endive_node.interfaces import Clock, CloudApi, InstanceList
from endive_node.logs import log_event

LEAVING = "leaving"
LIST_POLL_S = 2.0
"""Pause between two looks at the instance list, which lags by far more."""

NOTICE_RETENTION_S = 60.0
"""How long after a notice requests are looked for at other nodes by their key."""

PLATFORM_ERRORS = (
    urllib3.exceptions.HTTPError,
    OSError,
    msgspec.DecodeError,
    KeyError,
)


@dataclass(frozen=True)
class Notice:
    """One announced reclaim, of an instance or of a whole zone.

    Attributes
    ----------
    ends_at : float
        Clock time in seconds at which the instances are gone; the killer may come
        earlier.
    """

    instance: str
    zone: str
    ends_at: float

    @property
    def subject(self) -> tuple[str, str]:
        """What is reclaimed: (instance, "") or ("", zone)."""
        return (self.instance, "") if self.instance else ("", self.zone)


class NoticeTable:
    """Which zones and instances are being reclaimed, as far as this node knows.

    The node's watcher and the heartbeats put notices up; the handover, the streams
    that leave a server and the search for a request read them.

    Attributes
    ----------
    listeners : list of callable
        Called with each :class:`Notice` that is new.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.by_subject: dict[tuple[str, str], Notice] = {}
        self.listeners: list[Callable[[Notice], None]] = []
        self.last_new_at: float | None = None

    def add(self, instance: str, zone: str, seconds_left: float) -> None:
        """Note a notice; one that is known already is passed over."""
        notice = Notice(instance, zone, self.clock.now() + seconds_left)
        known = self.by_subject.get(notice.subject)
        if known is not None and self.clock.now() < known.ends_at + NOTICE_RETENTION_S:
            return
        self.by_subject[notice.subject] = notice
        self.last_new_at = self.clock.now()
        log_event(
            "reclaim_notice", instance=instance, zone=zone, seconds_left=seconds_left
        )
        for listener in self.listeners:
            listener(notice)

    def zones(self) -> frozenset[str]:
        """Return the zones where something is being reclaimed.

        A single instance's notice counts for its zone: the cloud takes a zone back
        instance by instance, and the next one may be the chosen target.
        """
        return frozenset(n.zone for n in self._unexpired() if n.zone)

    def instances(self) -> frozenset[str]:
        """Return the instances that have a notice of their own."""
        return frozenset(n.instance for n in self._unexpired() if n.instance)

    def notice_for(self, instance: str, zone: str) -> Notice | None:
        """Return the notice that takes `instance` in `zone`, or ``None``."""
        by_instance = self.by_subject.get((instance, ""))
        return by_instance or self.by_subject.get(("", zone))

    def has_recent(self) -> bool:
        """Return whether requests may have changed nodes lately."""
        if self.last_new_at is None:
            return False
        return self.clock.now() - self.last_new_at < NOTICE_RETENTION_S

    def _unexpired(self) -> list[Notice]:
        now = self.clock.now()
        for subject, notice in list(self.by_subject.items()):
            if now > notice.ends_at + NOTICE_RETENTION_S:
                del self.by_subject[subject]
        return list(self.by_subject.values())


class NoticeWatcher:
    """Asks the platform for notices and puts them up on the board.

    Operators see each as a ``reclaim_notice`` line in the log.
    """

    def __init__(
        self,
        notices: NoticeTable,
        cloud: CloudApi | None,
        instances: InstanceList | None,
        poll_s: float,
    ) -> None:
        self.notices = notices
        self.cloud = cloud
        self.instances = instances
        self.poll_s = poll_s

    def watch_notices(self) -> None:
        """Ask the cloud for ever; the body of a greenlet."""
        while self.cloud is not None:
            try:
                for notice in self.cloud.notices():
                    self.notices.add(
                        notice["instance"] or "",
                        notice["zone"] or "",
                        notice["seconds_left"],
                    )
            except PLATFORM_ERRORS as error:
                log_event("notices_unread", error=error)
            gevent.sleep(self.poll_s)

    def watch_list(self) -> None:
        """Look at the lagging list for ever; the body of a greenlet.

        The list says neither when an instance goes nor that its whole zone does, so
        its entries count for the instance alone.
        """
        while self.instances is not None:
            try:
                for entry in self.instances.instances():
                    if entry["state"] == LEAVING:
                        self.notices.add(entry["id"], "", 0.0)
            except PLATFORM_ERRORS as error:
                log_event("instance_list_unread", error=error)
            gevent.sleep(LIST_POLL_S)
