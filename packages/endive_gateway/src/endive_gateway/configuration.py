"""The configuration in the store, followed."""

import time

from endive_node.logs import log_event

from endive_gateway.exceptions import UndecodableError
from endive_gateway.following import Follower
from endive_gateway.interfaces import Record, Topic

CONFIGURATION_WAIT_S = 20.0
"""How long a read of the configuration waits for a change, seconds: under the store's
longest, and long enough that an idle hour costs few calls."""

CONFIGURATION_GAP_S = 0.15
"""Least time between two reads of the configuration, seconds: a storm of changes is
read a few at a time, well within the two seconds allowed."""

CONFIGURATION_KEY = "config"


class ConfigurationFollower(Follower):
    """Puts each new configuration in force as soon as the store has it."""

    topic = Topic.CONFIGURATION

    def run(self) -> None:
        """See :meth:`Follower.run`."""
        if self.readers is not None and self.readers.await_first_configuration():
            # Who reads for the others tells within this time, or this node reads.
            self.relayed_at = time.monotonic()
        super().run()

    @property
    def has_begun(self) -> bool:
        """See :meth:`Follower.has_begun`.

        A configuration is whole, so one that another node gave will do.
        """
        return self.context.table is not None

    def is_relayed(self) -> bool:
        """See :meth:`Follower.is_relayed`.

        Few nodes read it all the same: a change then needs no second step.
        """
        if self.readers is None or self.readers.reads_alone():
            return False
        return super().is_relayed()

    def pause_s(self) -> float:
        """See :meth:`Follower.pause_s`."""
        return CONFIGURATION_GAP_S

    def wait_s(self) -> float:
        """See :meth:`Follower.wait_s`."""
        return CONFIGURATION_WAIT_S

    def take(self, record: Record) -> None:
        """See :meth:`Follower.take`."""
        if record.key != CONFIGURATION_KEY or not record.value:
            return
        try:
            table = self.context.wire.decode_configuration(record.value)
        except UndecodableError as error:
            log_event("configuration_undecodable", offset=record.offset, error=error)
            return
        self.context.configure(table, record.value, "store")
