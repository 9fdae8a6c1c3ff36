"""The configuration in the store, followed."""

import gevent
from endive_core.freshness import Freshness
from endive_node.logs import log_event

from endive_gateway.clocks import boot_time
from endive_gateway.context import Context
from endive_gateway.exceptions import (
    StoreError,
    StoreOffsetOutOfRangeError,
    UndecodableError,
)
from endive_gateway.following import Follower, Readers
from endive_gateway.interfaces import Record, Topic
from endive_gateway.loops import keep_running

CONFIGURATION_WAIT_S = 20.0
"""How long a read of the configuration waits for a change, seconds: under the store's
longest. Whether one was missed meanwhile is found out by short reads."""

CONFIGURATION_GAP_S = 0.15
"""Least time between two reads of the configuration, seconds: a storm of changes is
read a few at a time, well within the two seconds allowed."""

CHECK_LOOK_S = 0.05
"""Least time between two looks whether a newer configuration may be there, seconds."""

CONFIGURATION_KEY = "config"


class ConfigurationFollower(Follower):
    """Puts each new configuration in force as soon as the store has it.

    A read that waits brings a change within milliseconds. Its silence proves nothing:
    the store may never answer it. So the node also keeps when its configuration was
    last known to be the newest, by own reads without a wait and by what others tell,
    and asks again before a change could be late.

    Attributes
    ----------
    freshness : Freshness
        On the boot clock.
    known_version : int
        Newest version in force when the waiting read was last known to be sound.
    waiting : Greenlet or None
        The loop of reads that wait.
    """

    topic = Topic.CONFIGURATION

    def __init__(self, context: Context, readers: Readers | None = None) -> None:
        super().__init__(context, readers)
        self.freshness = Freshness(context.settings.bounds.config_s, boot_time())
        self.known_version = -1
        self.waiting: gevent.Greenlet | None = None

    def run(self) -> None:
        """See :meth:`Follower.run`."""
        if self.readers is not None:
            self.readers.await_first_configuration()
        self._wait_anew()
        while True:
            gevent.sleep(self.check())

    def _wait_anew(self) -> None:
        if self.waiting is not None:
            self.waiting.kill(block=False)
        self.waiting = gevent.spawn(keep_running, super().run)

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
        return not self.readers.is_reader()

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

    def taken(self, keys: set[str] | None) -> None:
        """See :meth:`Follower.taken`."""
        self.known_version = self.context.version

    def _answered(self, asked_at: float) -> None:
        super()._answered(asked_at)
        self.freshness.prove(asked_at)

    # Checking

    def check(self) -> float:
        """Ask for a newer configuration if one may be overdue.

        Returns
        -------
        float
            Seconds until the next look.
        """
        if not self.has_begun:
            return CHECK_LOOK_S
        self._doubt_waiting_read()
        asked_at = boot_time()
        left_s = self.freshness.due_at(self._rank()) - asked_at
        if left_s > 0:
            return max(CHECK_LOOK_S, left_s)
        try:
            self._read_at_once()
        except StoreOffsetOutOfRangeError:
            self.synced = False
            return CHECK_LOOK_S
        except StoreError as error:
            self._lost(error)
            return self._check_again_s(asked_at)
        self._answered(asked_at)
        return CHECK_LOOK_S

    def _rank(self) -> int:
        return 0 if self.readers is None else self.readers.rank()

    def _check_again_s(self, asked_at: float) -> float:
        """Return the time to the next check after one that got no answer."""
        nodes = 1 if self.readers is None else self.readers.live_nodes()
        retry_delay_s = self.freshness.retry_delay_s(
            nodes
        ) * self.context.random.uniform(0.7, 1.3)
        pause_s = max(self._backed_off(), retry_delay_s)
        return max(CHECK_LOOK_S, asked_at + pause_s - boot_time())

    def _read_at_once(self) -> None:
        if not self.synced:
            self._read_newest()
            return
        page = self.context.store.read(self.topic, self.next)
        version = self.context.version
        self._take_page(page)
        if self.context.version > version:
            self._renew_waiting_read()

    def _doubt_waiting_read(self) -> None:
        """Begin the waiting read anew if another node brought what it should have."""
        if self.context.version > self.known_version:
            self.known_version = self.context.version
            self._renew_waiting_read()

    def _renew_waiting_read(self) -> None:
        if self.waiting is not None and self.asked_at is not None:
            log_event("store_read_renewed", topic=self.topic, waited_s=self.waiting_s())
            self._wait_anew()

    def hear_proof(self, version: int, age_s: float) -> None:
        """Take that another node's `version` was the newest `age_s` seconds ago."""
        if age_s >= 0 and version <= self.context.version:
            self.freshness.prove(boot_time() - age_s)

    def proof_age_s(self) -> float:
        """Return the seconds since this version was the newest; -1 if unknown."""
        age_s = self.freshness.age_s(boot_time())
        return -1.0 if age_s is None else age_s
