"""Registry of backend servers: the store's entries, corrected by observed responses."""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import gevent
from endive_node.logs import log_event, log_failure

from endive_gateway.interfaces import ServerEntry, ServerState

LAPSE_GRACE_S = 1.0
"""Time for which a server whose entry lapsed during an outage of the store is still
used, seconds. A running server writes its entry again within two seconds of the end of
the outage. But the server may really be leaving, and must get no request two seconds
after its entry was deleted: up to 0.7 s of these pass before this node reads that, and
0.3 s are left for the network."""


ENDED_S = 2.0
"""Time after the end of a server's process from which on an entry shows that it runs
after all, seconds. Entries arrive up to a second after they were written."""

CONTRADICTED_S = 5.0
MAX_CONTRADICTED_S = 60.0
"""Time after which a server is tried again though another one has answered at its
address, the first and the longest, seconds. The entry of a server that has ended lapses
within a few seconds."""

MAX_LATE_ENTRIES = 1_000
"""Entries of a process that it may have written since one that the store carries out
late. Calls without an answer are carried out seconds later at most."""

TIMER_SLACK_S = 0.02
"""Margin for timers that fire early, seconds."""


@dataclass(frozen=True, slots=True)
class Departure:
    """A server's departure, as it has announced it itself.

    Attributes
    ----------
    incarnation : int
        Of the server that said so. A later one is another process.
    at : float
        When it said so, seconds on the monotonic clock.
    """

    incarnation: int
    at: float


@dataclass(slots=True)
class KnownServer:
    """What this node knows of one server.

    Attributes
    ----------
    departure : Departure or None
        Its announced departure, whatever its entry says.
    is_last : bool
        Whether it is used in spite of that, since its service has no other server.
    drop_at : float or None
        When it is to be dropped, if its entry lapsed during an outage of the store.
    contradicted : bool
        Whether another server answered at its address.
    contradictions : int
        How often one did while this process ran.
    contradicted_until : float
        When it is tried again, seconds on the monotonic clock.
    ended_at : float or None
        When its process was found to have ended, seconds on the monotonic clock.
        Another one may have started since whose entry is not known yet.
    """

    entry: ServerEntry
    drop_at: float | None = None
    contradicted: bool = False
    contradictions: int = 0
    contradicted_until: float = 0.0
    departure: Departure | None = None
    is_last: bool = False
    ended_at: float | None = None

    def renew(self, entry: ServerEntry, now: float) -> None:
        """Take a newer entry."""
        is_restarted = entry.incarnation > self.entry.incarnation
        if self.ended_at is not None and (
            is_restarted or now - self.ended_at > ENDED_S
        ):
            self.ended_at = None
        self.entry = entry

    def is_newer_than(self, entry: ServerEntry) -> bool:
        """Return whether an entry that was written later tells less of the server.

        That is so for one that the store carried out late. If the same process has
        written it long before, by its number, another writer has left the known one.
        """
        is_same = self.entry.incarnation == entry.incarnation
        behind = self.entry.sequence - entry.sequence
        return entry.order < self.entry.order and not (
            is_same and behind > MAX_LATE_ENTRIES
        )

    def runs(self, entry: ServerEntry) -> bool:
        """Return whether what answers is the process that wrote an entry."""
        is_same = self.entry.incarnation == entry.incarnation
        return is_same and self.ended_at is None

    @property
    def is_sound(self) -> bool:
        """Whether it is known to be ready at its address, its departure aside."""
        return self.entry.state is ServerState.READY and not self.contradicted

    @property
    def usable(self) -> bool:
        """Whether it may get requests."""
        return self.is_sound and (self.departure is None or self.is_last)

    def contradict(self, now: float) -> None:
        """Record that another server answered at its address."""
        pause_s = CONTRADICTED_S * 2.0 ** min(self.contradictions, 32)
        self.contradicted = True
        self.contradictions += 1
        self.contradicted_until = now + min(pause_s, MAX_CONTRADICTED_S)


class ServerRegistry:
    """All known servers by id.

    Attributes
    ----------
    listeners : list of callable
        Called without arguments after a change.
    restart_listeners : list of callable
        Called with the id of a server that has started again under the same id, before
        its new entry applies. They forget what they know of the earlier incarnation.
    version_listeners : list of callable
        Called with the former entry of a server that has started again with other
        software.
    is_loaded : bool
        Whether the servers have been read from the store at least once.
    departures : dict of str to Departure
        By server id, also of servers without an entry, which may return.
    last_server_s : float
        Time after its announcement for which the last server of a service is used,
        seconds.
    """

    def __init__(self) -> None:
        self.servers: dict[str, KnownServer] = {}
        self.listeners: list[Callable[[], None]] = []
        self.restart_listeners: list[Callable[[str], None]] = []
        self.version_listeners: list[Callable[[ServerEntry], None]] = []
        self.is_loaded = False
        self.departures: dict[str, Departure] = {}
        self.last_server_s = 0.0

    def get(self, server_id: str) -> KnownServer | None:
        """Return the server with this id, or ``None`` if it is unknown."""
        return self.servers.get(server_id)

    def of_service(self, service: str) -> list[KnownServer]:
        """Return all known servers of a service."""
        return [s for s in self.servers.values() if s.entry.service == service]

    def put(self, entry: ServerEntry) -> bool:
        """Store an entry; return whether this changes what is known of the servers.

        A new sequence number alone does not.

        An entry that is older than the known one arrived late. It ends a grace period,
        and tells that the server leaves if the same process says so. It is ignored
        apart from that.
        """
        known = self.servers.get(entry.id)
        if known is not None:
            known.drop_at = None
            if known.is_newer_than(entry):
                return self._leave_late(known, entry)
        before = known.entry if known else None
        if before is not None and before.incarnation < entry.incarnation:
            self._note_restart(before, entry)
        if known is None:
            known = self.servers[entry.id] = KnownServer(entry)
        elif _process_key(before) != _process_key(entry):
            known.contradicted, known.contradictions = False, 0
        known.renew(entry, time.monotonic())
        departure = self.departures.get(entry.id)
        is_same = departure is not None and departure.incarnation == entry.incarnation
        known.departure = departure if is_same else None
        last_changed = self._choose_last(entry.service)
        content_changed = before is None or _content(before) != _content(entry)
        if content_changed:
            log_event(
                "server_entry",
                server=entry.id,
                service=entry.service,
                zone=entry.zone,
                state=entry.state,
                software_version=entry.software_version,
                sequence=entry.sequence,
                reclaimable=entry.reclaimable,
                leaves_in_s=entry.leaves_in_s,
            )
        return content_changed or last_changed

    def _leave_late(self, known: KnownServer, entry: ServerEntry) -> bool:
        """Let a server leave if its process says so in an entry that came late.

        Returns
        -------
        bool
            Whether this changes what is known of the server.
        """
        is_same = _process_key(known.entry) == _process_key(entry)
        states = (known.entry.state, entry.state)
        if not is_same or states != (ServerState.READY, ServerState.LEAVING):
            return False
        known.entry = replace(known.entry, state=ServerState.LEAVING)
        self._choose_last(known.entry.service)
        log_event(
            "server_leaves_by_late_entry",
            server=entry.id,
            sequence=entry.sequence,
            known=known.entry.sequence,
        )
        return True

    def _note_restart(self, before: ServerEntry, entry: ServerEntry) -> None:
        log_event(
            "server_restarted",
            server=entry.id,
            incarnation=entry.incarnation,
            before=before.incarnation,
        )
        _call_each(self.restart_listeners, entry.id)
        if before.software_version_label != entry.software_version_label:
            _call_each(self.version_listeners, before)

    def drop(self, server_id: str, now: float, *, after_outage: bool) -> bool:
        """Drop a server whose entry was deleted; return whether anything changed.

        Parameters
        ----------
        after_outage : bool
            Whether the entry may have lapsed only because of an outage of the store.
            A ready server then stays in use for the grace period.
        """
        known = self.servers.get(server_id)
        if known is None:
            return False
        if after_outage and known.entry.state is ServerState.READY:
            if known.drop_at is None:
                known.drop_at = now + LAPSE_GRACE_S
                log_event("server_lapsed", server=server_id, grace_s=LAPSE_GRACE_S)
            return False
        del self.servers[server_id]
        self._choose_last(known.entry.service)
        log_event("server_gone", server=server_id)
        return True

    @property
    def has_lapsed(self) -> bool:
        """Whether any server is in its grace period."""
        return any(known.drop_at is not None for known in self.servers.values())

    def sweep(self, now: float) -> bool:
        """Drop servers whose grace period is over; return whether there were any."""
        over = [
            server_id
            for server_id, known in self.servers.items()
            if known.drop_at is not None and now >= known.drop_at
        ]
        for server_id in over:
            service = self.servers.pop(server_id).entry.service
            self._choose_last(service)
            log_event("server_gone", server=server_id, after="grace")
        return bool(over)

    def mark_misidentified(self, server_id: str) -> None:
        """Stop using a server, since another one answered at its address.

        It is used again once it registers with another address or incarnation, or if
        its entry is still there after a while.
        """
        known = self.servers.get(server_id)
        if known is not None and not known.contradicted:
            now = time.monotonic()
            known.contradict(now)
            left_s = known.contradicted_until - now
            gevent.spawn_later(left_s + TIMER_SLACK_S, self.settle)
            self._choose_last(known.entry.service)
            log_event(
                "server_contradicted", server=server_id, times=known.contradictions
            )
            self.notify_listeners()

    def mark_ended(self, server_id: str) -> None:
        """Record that a server's process has ended."""
        known = self.servers.get(server_id)
        if known is not None:
            known.ended_at = time.monotonic()

    def mark_leaving(self, server_id: str, departure: Departure) -> bool:
        """Stop using a server that says that it leaves, until it has started again.

        Returns
        -------
        bool
            Whether the server is known, so that listeners are to be notified.
        """
        self.departures[server_id] = departure
        known = self.servers.get(server_id)
        if known is None or known.entry.incarnation != departure.incarnation:
            return False
        known.departure = departure
        self._choose_last(known.entry.service)
        return True

    def forget_leaving(self, server_id: str) -> None:
        """Forget a departure that is old, or that of a former incarnation."""
        self.departures.pop(server_id, None)

    def settle(self) -> None:
        """Apply what time alone changes.

        The last servers of services whose time is over are no longer used, and those at
        whose address another one answered a while ago are tried again.
        """
        services = {s.entry.service for s in self.servers.values() if s.is_last}
        ended = self._end_contradictions(time.monotonic())
        changed = [self._choose_last(service) for service in services | ended]
        if any(changed) or ended:
            self.notify_listeners()

    def _end_contradictions(self, now: float) -> set[str]:
        """Let servers be tried again whose time has come; return their services."""
        services = set()
        for server_id, known in self.servers.items():
            if known.contradicted and now >= known.contradicted_until:
                known.contradicted = False
                services.add(known.entry.service)
                log_event(
                    "server_tried_again", server=server_id, times=known.contradictions
                )
        return services

    def _choose_last(self, service: str) -> bool:
        """Choose the leaving server to use where a service has no other.

        It is the one that said so last, which is likely to serve for longest.

        Returns
        -------
        bool
            Whether another one, or none any more, is used.
        """
        if not self.departures:
            return False
        leaving, now, chosen = [], time.monotonic(), None
        for server in self.of_service(service):
            if server.departure is None:
                if server.is_sound:
                    leaving = []
                    break
            elif server.is_sound and now < server.departure.at + self.last_server_s:
                leaving.append(server)
        if leaving:
            chosen = max(leaving, key=lambda server: server.departure.at)
        changed = False
        for server in self.of_service(service):
            changed |= server.is_last != (server is chosen)
            server.is_last = server is chosen
        return changed

    def notify_listeners(self) -> None:
        """Call the listeners."""
        _call_each(self.listeners)


def _call_each(listeners: Iterable[Callable[..., None]], *args: object) -> None:
    """Call listeners; one that fails keeps no other from learning of the change."""
    for listener in listeners:
        try:
            listener(*args)
        except Exception as error:
            log_failure(
                "listener_failed", listener=listener.__qualname__, error=repr(error)
            )


def _process_key(entry: ServerEntry) -> tuple:
    return (entry.address, entry.incarnation)


def _content(entry: ServerEntry) -> tuple:
    return (
        entry.service,
        entry.address,
        entry.zone,
        entry.slots,
        entry.state,
        entry.incarnation,
        entry.reclaimable,
        entry.software_version,
    )
