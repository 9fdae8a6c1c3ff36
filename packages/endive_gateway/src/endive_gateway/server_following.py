"""Follows the servers' entries in the store, and relays what changed to other nodes.

Only some nodes, the readers, have to read the servers from the store. They relay what
changed to the others in their state messages, and in a large fleet those relay it too.
"""

import time
from collections import deque
from collections.abc import Iterable
from dataclasses import replace

import gevent
from endive_core.sightings import EVENT_BITS, Sightings
from endive_node.logs import log_event

from endive_gateway.clocks import boot_time
from endive_gateway.context import Context
from endive_gateway.exceptions import UndecodableError
from endive_gateway.following import RELAY_TIMEOUT_S, Follower, Readers
from endive_gateway.interfaces import (
    Page,
    Record,
    ServerDelta,
    ServerState,
    Topic,
)
from endive_gateway.servers import LAPSE_GRACE_S
from endive_gateway.state_messages import pack_changes, unpack_changes

SERVER_READ_INTERVAL_S = 0.7
"""Time between two reads of the servers, seconds. A leaving server may get requests
for two seconds after its entry changed, and the platform charges for each read."""

READ_GAP_PER_NODE_S = 0.025
"""Mean time between two reads of the servers by a node that isn't a reader and hears of
no new read, for each live node, seconds. All of them together make forty reads a
second, so they don't hold up a store that is merely slow."""

MAX_BOOTSTRAP_AGE_S = 2.0
"""Largest age of the read that servers passed on to a starting node stem from, seconds.
A leaving server may get requests for two seconds."""

CHANGE_HISTORY_S = 3.0
"""Time for which a reader sends a change again in each message, seconds. Several
messages in a row may be lost before a node has to read the store itself."""

RELAYED_HISTORY_S = 1.0
"""Time for which another node sends a change again, seconds. In a large fleet each node
receives a hundred messages in that time."""

MIN_CHECKPOINT_GAP_S = 0.1
"""Least time between two checkpoints with the same offset, seconds."""

MAX_DELTA_BYTES = 800
"""Largest compressed changes in one message, bytes, about twenty servers; the message
then fits one Ethernet frame. Nodes that miss changes left out read the store."""

MAX_DELTA_RECORDS = 10_000
"""Most records that relayed changes may cover, the unchanged ones included. Thousands
of servers write as many in the time for which changes are relayed. An offset beyond the
end of the topic would keep this node from later changes."""

BEHIND_TIMEOUT_S = 5.0
"""Time after which a topic that ends before this node's offset is read anew, seconds.
Reads of the store may be out of date for some seconds."""

OUTAGE_RECOVERY_S = 4.0
"""Time after an outage of the store for which an entry may have lapsed because of the
outage, seconds: servers write their entries again within one heartbeat and a margin."""

TIMER_SLACK_S = 0.02
"""Margin for timers that fire early, seconds: the event loop measures from the time at
which it last read the clock."""


class ServerFollower(Follower):
    """Keeps the registry of servers up to date, and relays changes as a reader.

    Attributes
    ----------
    dirty : bool
        Whether the registry has changed since its listeners were last called.
    has_leaving_server : bool
        Whether a server has begun to leave since the last read.
    changes : deque of Record
        Records of recent changes, oldest first, for the state messages.
    checkpoints : deque of (float, int)
        For each recent read its time on the monotonic clock and the next offset.
    history_start : int
        Offset from which `changes` is complete.
    read_at : float
        When this node last read the topic itself, on the monotonic clock.
    packed : tuple of (int, int, bytes)
        The compressed changes of the last message, and the offsets that they cover.
    newest : dict of str to Record
        The newest record of each server, for nodes that start.
    reads : Sightings
        The reads of the topic, of this node and of others, on the monotonic clock.
    reads_at : float or None
        When this node reads next if no newer read of another node becomes known, on
        the monotonic clock.
    behind_since : float or None
        Since when the topic, as read, ends before the next offset, on the monotonic
        clock.
    has_missed_changes : bool
        Whether another node has told of changes that don't continue from the next
        offset, since this node last knew all.
    """

    topic = Topic.SERVERS

    def __init__(self, context: Context, readers: Readers | None = None) -> None:
        super().__init__(context, readers)
        self.dirty = False
        self.has_leaving_server = False
        self.changes: deque[Record] = deque()
        self.checkpoints: deque[tuple[float, int]] = deque()
        self.history_start = 0
        self.read_at = float("-inf")
        self.packed: tuple[int, int, bytes] = (0, 0, b"")
        self.newest: dict[str, Record] = {}
        self.reads = Sightings()
        self.reads_at: float | None = None
        self.behind_since: float | None = None
        self.has_missed_changes = False

    def is_relayed(self) -> bool:
        """See :meth:`Follower.is_relayed`.

        A node that hears of no new read takes its turn. If all read at once, a store
        that has become slow would get more reads than it can answer, and stay slow.
        """
        if super().is_relayed():
            self.reads_at = None
            return True
        readers = self.readers
        if (
            readers is None
            or readers.is_reader()
            or readers.is_isolated()
            or self.relayed_at == float("-inf")
        ):
            return False
        now = time.monotonic()
        if self.reads_at is None:
            self.reads_at = self.relayed_at + RELAY_TIMEOUT_S + self._turn_s()
        if now < self.reads_at:
            return True
        self.reads_at = now + self._turn_s()
        return False

    def _turn_s(self) -> float:
        gap_s = READ_GAP_PER_NODE_S * self.readers.live_node_count()
        return self.context.random.uniform(0.0, 2.0 * gap_s)

    def pause_s(self) -> float:
        """See :meth:`Follower.pause_s`."""
        return SERVER_READ_INTERVAL_S if self.synced else 0.0

    def _note_answer(self, read_started_at: float) -> None:
        super()._note_answer(read_started_at)
        self.has_missed_changes = False
        read_at = time.monotonic() - (boot_time() - read_started_at)
        read = self.context.random.getrandbits(EVENT_BITS)
        self.read_at = self.reads.observe(read, read_at)

    @property
    def after_outage(self) -> bool:
        """Whether an entry may have lapsed because of an outage of the store."""
        if self.available_since is None:
            return False
        return time.monotonic() - self.available_since < OUTAGE_RECOVERY_S

    def apply_record(self, record: Record) -> None:
        """See :meth:`Follower.apply_record`."""
        registry = self.context.registry
        now = time.monotonic()
        if record.value is None:
            self.newest.pop(record.key, None)
            self.changes.append(record)
            self.dirty |= registry.drop(record.key, now, after_outage=self.after_outage)
            return
        try:
            entry = self.context.wire.decode_server(record.key, record.value)
        except UndecodableError as error:
            self.newest.pop(record.key, None)
            if error.says_leaving:
                self._note_leaving(record)
            raise
        self.newest[record.key] = record
        if registry.put(entry):
            self.changes.append(record)
            self.dirty = True
            self.has_leaving_server |= entry.state == ServerState.LEAVING

    def _note_leaving(self, record: Record) -> None:
        """Let a server leave whose entry says so, and can't be read otherwise."""
        known = self.context.registry.get(record.key)
        if known is None or known.entry.state is ServerState.LEAVING:
            return
        self.context.registry.put(replace(known.entry, state=ServerState.LEAVING))
        self.changes.append(record)
        self.dirty = self.has_leaving_server = True

    def _read_on(self) -> None:
        super()._read_on()
        if self.has_leaving_server and self.readers is not None:
            self.readers.broadcast_soon()
        self.has_leaving_server = False

    def _apply_page(self, page: Page) -> None:
        super()._apply_page(page)
        if page.end >= self.next_offset:
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = time.monotonic()
        elif time.monotonic() - self.behind_since > BEHIND_TIMEOUT_S:
            log_event("topic_behind", end=page.end, next=self.next_offset)
            self.behind_since = None
            self.next_offset = 0
            self.synced = False

    def _set_newest(self, records: Iterable[Record], end: int) -> None:
        # The listeners of the registry send messages, which must not cover what this
        # read drops: it is in no record.
        self._start_history(max(self.next_offset, end))
        self.newest.clear()
        super()._set_newest(records, end)
        self.has_leaving_server = False
        self.has_missed_changes = False
        self._start_history(self.next_offset)

    def _start_history(self, offset: int) -> None:
        """Relay no change before `offset` from now on."""
        self.changes.clear()
        self.checkpoints.clear()
        self.checkpoints.append((time.monotonic(), offset))
        self.history_start = offset

    def server_delta(self) -> ServerDelta | None:
        """Return the recent changes for the other nodes.

        Returns
        -------
        ServerDelta or None
            ``None`` if this node's own records are not up to date.
        """
        age_s = self.age_s()
        if not self.synced or self.unavailable_since is not None:
            return None
        if not 0 <= age_s <= RELAY_TIMEOUT_S:
            return None
        self._forget_changes(time.monotonic() - self._history_s())
        changes = self._packed_changes()
        if len(changes) > MAX_DELTA_BYTES:
            # The other nodes have to read these changes from the store. History starts
            # anew after them, so that each node reads once. If the gap stayed in every
            # message for the whole history, each node would read five times.
            self.changes.clear()
            self.history_start = self.next_offset
            changes = self._packed_changes()
        return ServerDelta(
            self.history_start, self.next_offset, changes, age_s, self.reads.newest
        )

    @property
    def is_current(self) -> bool:
        """Whether the servers are recent enough to be passed on to a starting node."""
        return self.synced and 0 <= self.age_s() <= MAX_BOOTSTRAP_AGE_S

    def _note_missed(self) -> None:
        """Record that another node knows changes that this one can't apply."""
        if self.unavailable_since is not None and not self.has_missed_changes:
            log_event("servers_missed", next=self.next_offset, age_s=self.age_s())
        self.has_missed_changes = True

    @property
    def is_outdated(self) -> bool:
        """Whether other nodes know more, and this one can't read the topic itself."""
        return self.has_missed_changes and self.unavailable_since is not None

    def load(self, records: list[Record], end: int, age_s: float, read: int) -> None:
        """Take the servers as the given `read` found them, `age_s` seconds ago.

        They are ignored by a node that has read them itself, unless others have known
        more since then and its own reads fail, and if they are too old.
        """
        if not 0 <= age_s <= MAX_BOOTSTRAP_AGE_S:
            return
        if self.synced and not (self.is_outdated and end > self.next_offset):
            return
        self._set_newest(records, end)
        self.relayed_at = self.reads.observe(read, time.monotonic() - age_s)

    def age_s(self) -> float:
        """Return the age of the read that the known servers stem from, seconds.

        It is this node's own read or another's; -1 if there was none.
        """
        read_at = self.newest_read_at()
        return -1.0 if read_at == float("-inf") else time.monotonic() - read_at

    def newest_read_at(self) -> float:
        """Return when the read began that the known servers stem from.

        It is this node's own read or another's, on the monotonic clock.
        """
        return max(self.read_at, self.relayed_at)

    def _history_s(self) -> float:
        is_reader = self.readers is None or self.readers.is_reader()
        return CHANGE_HISTORY_S if is_reader else RELAYED_HISTORY_S

    def _forget_changes(self, before: float) -> None:
        """Remove the changes that were known `before`, on the monotonic clock."""
        while self.checkpoints and self.checkpoints[0][0] < before:
            self.history_start = max(self.history_start, self.checkpoints.popleft()[1])
        while self.changes and self.changes[0].offset < self.history_start:
            self.changes.popleft()

    def _packed_changes(self) -> bytes:
        """Return the changes compressed, once for each range of offsets."""
        covered = (self.history_start, self.next_offset)
        if self.packed[:2] != covered:
            self.packed = (*covered, pack_changes(self.changes))
        return self.packed[2]

    def apply_delta(self, server_delta: ServerDelta) -> None:
        """Apply relayed changes if they continue from this node's offset.

        If they don't, the missing changes may include a server that leaves: when a zone
        is reclaimed, there are more changes than a datagram holds. The node then reads
        the store at its next step. If it waited for a message that continues from its
        offset, the server would get requests for over two seconds.

        Changes that cover too much are ignored. If that many records are new, no node
        relays what continues from this node's offset, and it reads them soon.
        """
        if not self.synced or server_delta.next < self.next_offset:
            return
        if server_delta.next - self.next_offset > MAX_DELTA_RECORDS:
            self._note_missed()
            return
        if server_delta.first > self.next_offset:
            self._note_missed()
            self.relayed_at = float("-inf")
            return
        self._note_recovery()
        relayed_at = time.monotonic() - server_delta.age_s
        if server_delta.read:
            relayed_at = self.reads.observe(server_delta.read, relayed_at)
        if server_delta.next == self.next_offset:
            self.relayed_at = max(self.relayed_at, relayed_at)
            return
        try:
            changes = unpack_changes(server_delta.changes)
        except UndecodableError as error:
            log_event("news_undecodable", error=error)
            self.relayed_at = float("-inf")
            return
        for record in changes:
            if record.offset >= self.next_offset:
                self.apply(record)
        self.next_offset = server_delta.next
        self.relayed_at = max(self.relayed_at, relayed_at)
        self.on_applied(None)

    def on_applied(self, keys: set[str] | None) -> None:
        """See :meth:`Follower.on_applied`."""
        registry = self.context.registry
        now = time.monotonic()
        if keys is not None:
            for missing in registry.servers.keys() - keys:
                self.dirty |= registry.drop(
                    missing, now, after_outage=self.after_outage
                )
        self.dirty |= not registry.is_loaded
        registry.is_loaded = True
        self._add_checkpoint(now)
        if registry.has_lapsed:
            gevent.spawn_later(LAPSE_GRACE_S + TIMER_SLACK_S, self._sweep)
        if self.dirty:
            self.dirty = False
            registry.notify_listeners()

    def _add_checkpoint(self, now: float) -> None:
        if self.checkpoints:
            at, offset = self.checkpoints[-1]
            if offset == self.next_offset and now - at < MIN_CHECKPOINT_GAP_S:
                return
        self.checkpoints.append((now, self.next_offset))

    def _sweep(self) -> None:
        """Drop servers whose grace period is over, without waiting for a read."""
        if self.context.registry.sweep(time.monotonic()):
            self.context.registry.notify_listeners()
