"""Writing snapshots of the configuration to the log."""

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
"""Time that each node in the order waits longer than the one before it: the first
normally writes, and the next do if it is gone."""


class SnapshotWriter:
    """Appends a snapshot now and then, so that the log may forget what is before it.

    Operators meet it as the stream ``configuration-snapshots``. Without snapshots the
    log's retention would in time drop the changes that are in force, and a new node
    would find a configuration with holes, or none. Two nodes that both write do no
    harm: equal states give equal snapshots.
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
        """Write whenever it is this node's turn, for ever; the body of a greenlet."""
        self.configuration.ready.wait()
        while True:
            if self.is_due():
                self.write()
            gevent.sleep(CHECK_INTERVAL_S)

    def is_due(self) -> bool:
        """Return whether it is this node's turn to write.

        Also without any change a snapshot is due in time: the log forgets the last one
        like all other records.
        """
        configuration = self.configuration
        if configuration.fold.offset < 0:
            return False
        now = configuration.clock.now()
        behind = configuration.fold.offset - configuration.snapshot_through
        if behind < self.settings.snapshot_every_records:
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
        """Append a snapshot, then tell all nodes that it is there."""
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
