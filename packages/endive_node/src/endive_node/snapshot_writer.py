"""Writes snapshots of the configuration to the log."""

import gevent
from endive_core.hashing import rendezvous_order
from endive_core.records import (
    CONFIGURATION_STREAM,
    SNAPSHOT_STREAM,
    SnapshotTaken,
    encode,
)

from endive_node.configuration import Configuration
from endive_node.interfaces import LogOutcomeUnknownError, LogUnavailableError, Members
from endive_node.logs import log_event
from endive_node.settings import ConfigurationSection

CHECK_INTERVAL_S = 1.0
RANK_DELAY_S = 10.0
"""Additional delay of each node in the rendezvous order, seconds. The first one
normally writes the snapshot; the next ones do if it is gone. It is also the pause after
a failed write."""


class SnapshotWriter:
    """Appends snapshots to the stream ``configuration-snapshots`` at intervals.

    Without snapshots the log's retention would eventually drop changes that are still
    in force, and a starting node would read an incomplete configuration or none. If
    two nodes write at the same time, nothing is lost: equal states give equal
    snapshots.
    """

    def __init__(
        self,
        configuration: Configuration,
        members: Members,
        node_id: str,
        settings: ConfigurationSection,
    ) -> None:
        self.configuration = configuration
        self.members = members
        self.node_id = node_id
        self.settings = settings
        self.records_due_since = configuration.clock.now()

    def run(self) -> None:
        """Write whenever it is this node's turn; runs in a greenlet."""
        self.configuration.ready.wait()
        while True:
            if self.is_due():
                self.write()
            gevent.sleep(CHECK_INTERVAL_S)

    def is_due(self) -> bool:
        """Return whether it is this node's turn to write.

        A snapshot is also due after some time without any change, because the log's
        retention drops the last snapshot like any other record.
        """
        configuration = self.configuration
        if configuration.fold.offset < 0:
            return False
        now = configuration.clock.now()
        records_since = configuration.fold.offset - configuration.snapshot_through
        if records_since < self.settings.snapshot_every_records:
            self.records_due_since = now
        wait_s = self._rank() * RANK_DELAY_S
        return (
            now - self.records_due_since > wait_s
            or now - configuration.snapshot_at > self.settings.snapshot_every_s + wait_s
        )

    def _rank(self) -> int:
        ids = [member.id for member in self.members.live()]
        key = f"snapshot-{self.configuration.snapshot_through}"
        order = rendezvous_order(key, ids)
        return order.index(self.node_id) if self.node_id in order else len(order)

    def write(self) -> None:
        """Append a snapshot, then a record that announces it to all nodes."""
        configuration = self.configuration
        snapshot = configuration.fold.snapshot()
        try:
            configuration.log.append(SNAPSHOT_STREAM, [encode(snapshot)])
            taken = SnapshotTaken(through=snapshot.through)
            configuration.log.append(CONFIGURATION_STREAM, [encode(taken)])
        except (LogUnavailableError, LogOutcomeUnknownError) as error:
            log_event("snapshot_not_written", error=error)
            gevent.sleep(RANK_DELAY_S)
            return
        configuration.record_snapshot(snapshot.through)
        log_event("snapshot_written", through=snapshot.through)
