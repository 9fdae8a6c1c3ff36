"""Which backend servers there are: the store's entries, corrected by own evidence."""

from collections.abc import Callable
from dataclasses import dataclass

from endive_node.logs import log_event

from endive_gateway.interfaces import ServerEntry, ServerState

RETURN_GRACE_S = 1.0
"""Time for which a server whose entry lapsed while the store was away is still used,
seconds. Such entries are back within two seconds of its return. But the server may
really be leaving, and may get no request two seconds after its entry went: that may
have been one read, 0.7 s, before this node saw it, and 0.3 s are left for the way."""


@dataclass(slots=True)
class KnownServer:
    """One server, as this node believes it to be.

    Attributes
    ----------
    gone_at : float or None
        When it is to be given up, if its entry lapsed during an outage.
    contradicted : bool
        Whether another server answered at its address.
    """

    entry: ServerEntry
    gone_at: float | None = None
    contradicted: bool = False

    @property
    def usable(self) -> bool:
        """Whether it may get requests."""
        return self.entry.state is ServerState.READY and not self.contradicted


class ServerRegistry:
    """All servers by id, and who wants to hear of changes.

    Attributes
    ----------
    listeners : list of callable
        Called without arguments after a change.
    """

    def __init__(self) -> None:
        self.servers: dict[str, KnownServer] = {}
        self.listeners: list[Callable[[], None]] = []
        self.is_loaded = False

    def get(self, server_id: str) -> KnownServer | None:
        """Return what is known of a server."""
        return self.servers.get(server_id)

    def of_service(self, service: str) -> list[KnownServer]:
        """Return all known servers of a service."""
        return [s for s in self.servers.values() if s.entry.service == service]

    def put(self, entry: ServerEntry) -> bool:
        """Take over an entry; return whether anything but its number changed.

        An entry that is older than the one known came late, and says nothing new.
        """
        known = self.servers.get(entry.id)
        if known is not None:
            known.gone_at = None
            age = (entry.incarnation, entry.sequence)
            if age < (known.entry.incarnation, known.entry.sequence):
                return False
        before = known.entry if known else None
        if known is None:
            known = self.servers[entry.id] = KnownServer(entry)
        elif _place(before) != _place(entry):
            known.contradicted = False
        known.entry = entry
        changed = before is None or _meaning(before) != _meaning(entry)
        if changed:
            log_event(
                "server_entry",
                server=entry.id,
                service=entry.service,
                zone=entry.zone,
                state=entry.state,
                sequence=entry.sequence,
                reclaimable=entry.reclaimable,
                leaves_in_s=entry.leaves_in_s,
            )
        return changed

    def drop(self, server_id: str, now: float, *, after_outage: bool) -> bool:
        """Give up a server whose entry is gone; return whether anything changed.

        Parameters
        ----------
        after_outage : bool
            Whether the entry may have lapsed only because the store was away.
        """
        known = self.servers.get(server_id)
        if known is None:
            return False
        if after_outage and known.entry.state is ServerState.READY:
            if known.gone_at is None:
                known.gone_at = now + RETURN_GRACE_S
                log_event("server_lapsed", server=server_id, grace_s=RETURN_GRACE_S)
            return False
        del self.servers[server_id]
        log_event("server_gone", server=server_id)
        return True

    @property
    def has_lapsed(self) -> bool:
        """Whether any server is in its grace."""
        return any(known.gone_at is not None for known in self.servers.values())

    def sweep(self, now: float) -> bool:
        """Give up the servers whose grace is over; return whether any was."""
        over = [
            server_id
            for server_id, known in self.servers.items()
            if known.gone_at is not None and now >= known.gone_at
        ]
        for server_id in over:
            del self.servers[server_id]
            log_event("server_gone", server=server_id, after="grace")
        return bool(over)

    def mark_misidentified(self, server_id: str) -> None:
        """Use a server no more until it registers anew: another has its address."""
        known = self.servers.get(server_id)
        if known is not None and not known.contradicted:
            known.contradicted = True
            log_event("server_contradicted", server=server_id)
            self.notify_listeners()

    def notify_listeners(self) -> None:
        """Tell the listeners."""
        for listener in self.listeners:
            listener()


def _place(entry: ServerEntry) -> tuple:
    return (entry.address, entry.incarnation)


def _meaning(entry: ServerEntry) -> tuple:
    return (
        entry.service,
        entry.address,
        entry.zone,
        entry.slots,
        entry.state,
        entry.incarnation,
        entry.reclaimable,
    )
