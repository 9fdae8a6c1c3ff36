"""Polls the cloud's reclaim notices and the platform's instance list."""

from collections.abc import Callable
from dataclasses import dataclass

import gevent
import msgspec
import urllib3

from endive_node.interfaces import Clock, CloudApi, InstanceList
from endive_node.logs import log_event

LEAVING = "leaving"
LIST_POLL_S = 2.0
"""Time between two reads of the instance list, seconds; the list lags by far more."""

NOTICE_RETENTION_S = 60.0
"""How long a notice is kept after its end, and how long after a new notice requests are
looked up at other nodes by their idempotency key, seconds."""

PLATFORM_ERRORS = (
    urllib3.exceptions.HTTPError,
    OSError,
    msgspec.DecodeError,
    KeyError,
)


@dataclass(frozen=True)
class Notice:
    """A reclaim notice for one instance or for a whole availability zone.

    Attributes
    ----------
    ends_at : float
        Clock time in seconds at which the instances are reclaimed; they may be killed
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
    """The zones and instances under a reclaim notice, as far as this node knows.

    :class:`NoticeWatcher` and the gossip add notices. They are read by the handover,
    by the moves of streams off a server and by the lookup of requests.

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

    def add_notice(self, instance: str, zone: str, seconds_left: float) -> None:
        """Add a notice, unless one for the same subject is already known."""
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
        """Return the zones in which something is being reclaimed.

        A single instance's notice counts for its zone: the cloud reclaims a zone
        instance by instance, and the next one may be the chosen target.
        """
        return frozenset(n.zone for n in self._unexpired() if n.zone)

    def instances(self) -> frozenset[str]:
        """Return the ids of the instances that have a notice of their own."""
        return frozenset(n.instance for n in self._unexpired() if n.instance)

    def notice_for(self, instance: str, zone: str) -> Notice | None:
        """Return the notice that reclaims `instance` in `zone`, or ``None``."""
        by_instance = self.by_subject.get((instance, ""))
        return by_instance or self.by_subject.get(("", zone))

    def has_recent(self) -> bool:
        """Return whether requests may have changed nodes recently."""
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
    """Polls the platform for notices and adds them to the :class:`NoticeTable`.

    Each new notice is logged as ``reclaim_notice``.
    """

    def __init__(
        self,
        table: NoticeTable,
        cloud: CloudApi | None,
        instances: InstanceList | None,
        poll_s: float,
    ) -> None:
        self.table = table
        self.cloud = cloud
        self.instances = instances
        self.poll_s = poll_s

    def watch_notices(self) -> None:
        """Poll the cloud's notices in an endless loop; runs in a greenlet."""
        while self.cloud is not None:
            try:
                for notice in self.cloud.notices():
                    self.table.add_notice(
                        notice["instance"] or "",
                        notice["zone"] or "",
                        notice["seconds_left"],
                    )
            except PLATFORM_ERRORS as error:
                log_event("notices_unread", error=error)
            gevent.sleep(self.poll_s)

    def watch_list(self) -> None:
        """Poll the instance list in an endless loop; runs in a greenlet.

        The list says neither when an instance is reclaimed nor whether its whole zone
        is, so an entry counts for that instance alone.
        """
        while self.instances is not None:
            try:
                for entry in self.instances.instances():
                    if entry["state"] == LEAVING:
                        self.table.add_notice(entry["id"], "", 0.0)
            except PLATFORM_ERRORS as error:
                log_event("instance_list_unread", error=error)
            gevent.sleep(LIST_POLL_S)
