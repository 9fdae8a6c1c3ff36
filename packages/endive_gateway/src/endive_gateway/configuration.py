"""Follows the configuration in the store and puts each new version in force."""

import gevent
from endive_core.freshness import Freshness
from endive_core.sightings import EVENT_BITS, Sightings
from endive_node.logs import log_event
from gevent.event import Event

from endive_gateway.clocks import boot_time
from endive_gateway.context import Context
from endive_gateway.exceptions import (
    StoreError,
    StoreHeldBackError,
    StoreOffsetOutOfRangeError,
)
from endive_gateway.following import Follower, Readers
from endive_gateway.interfaces import Record, Topic
from endive_gateway.loops import keep_running
from endive_gateway.store_reading import read_to_end

LONG_POLL_WAIT_S = 20.0
"""Time for which a long poll of the configuration waits for a change, seconds; below
the longest wait that the store allows. Reads without a wait detect a missed change."""

MIN_READ_INTERVAL_S = 0.15
"""Least time between two reads of the configuration, seconds. During a burst of changes
each read returns several of them, well within the two seconds that a change may take to
be in force."""

MIN_CHECK_INTERVAL_S = 0.05
"""Least time between two checks whether a confirmation is due, seconds."""

HELD_BACK_RETRY_S = 0.1
"""Time after which a check that was not sent, since the store has not answered earlier
calls, is tried again, seconds: often, so that it is the first call that is sent."""

CONFIGURATION_KEY = "config"


class ConfigurationFollower(Follower):
    """Puts each new configuration in force as soon as the store has it.

    A long poll returns a change within milliseconds. A long poll that returns nothing
    proves nothing, since the store may never answer it. So the node also records when
    its configuration was last confirmed as the newest, either by its own reads without
    a wait or by its peers' messages, and reads again before a change could be late.

    Attributes
    ----------
    freshness : Freshness
        When the version in force was last confirmed as the newest, on the boot clock.
    proofs : Sightings
        The reads, of this node and of others, that confirmed the version in force.
    long_poll_version : int
        Newest version in force when the long poll was last known to work.
    long_poll : Greenlet or None
        The loop of long polls.
    due_earlier : Event
        Set when a proof has ended the wait after a check without an answer, or a check
        is wanted.
    is_check_wanted : bool
        Whether the next check must not wait until it is due.
    """

    topic = Topic.CONFIGURATION

    def __init__(self, context: Context, readers: Readers | None = None) -> None:
        super().__init__(context, readers)
        self.freshness = Freshness(context.settings.bounds.config_s, boot_time())
        self.proofs = Sightings()
        self.long_poll_version = -1
        self.long_poll: gevent.Greenlet | None = None
        self.due_earlier = Event()
        self.is_check_wanted = False

    def run(self) -> None:
        """See :meth:`Follower.run`."""
        if self.readers is not None:
            self.readers.await_first_configuration()
        self._restart_long_poll()
        while True:
            self.due_earlier.clear()
            self.due_earlier.wait(self.check())

    def _restart_long_poll(self) -> None:
        if self.long_poll is not None:
            self.long_poll.kill(block=False)
        self.long_poll = gevent.spawn(keep_running, super().run)

    @property
    def has_snapshot(self) -> bool:
        """See :meth:`Follower.has_snapshot`.

        A configuration is always complete, so one that a peer sent is enough.
        """
        return self.context.table is not None

    def is_relayed(self) -> bool:
        """See :meth:`Follower.is_relayed`.

        In a small fleet every node reads the store, so a change needs no second hop.
        """
        if self.readers is None or self.readers.every_node_reads():
            return False
        return not self.readers.is_reader()

    def pause_s(self) -> float:
        """See :meth:`Follower.pause_s`."""
        return MIN_READ_INTERVAL_S

    def wait_s(self) -> float:
        """See :meth:`Follower.wait_s`."""
        return LONG_POLL_WAIT_S

    def apply_record(self, record: Record) -> None:
        """See :meth:`Follower.apply_record`."""
        if record.key != CONFIGURATION_KEY:
            self._apply_rollout(record)
            return
        if not record.value:
            return
        table = self.context.wire.decode_configuration(record.value)
        self.context.configure(table, record.value, "store")

    def _apply_rollout(self, record: Record) -> None:
        order = self.context.wire.decode_rollout(record)
        if order is not None:
            self.context.rollouts.learn_order(order)

    def on_applied(self, keys: set[str] | None) -> None:
        """See :meth:`Follower.on_applied`."""
        self.long_poll_version = self.context.version

    def check_soon(self) -> None:
        """Read the store without a wait now, if this node reads it."""
        if not self.is_relayed():
            self.is_check_wanted = True
            self.due_earlier.set()

    def _note_answer(self, read_started_at: float) -> None:
        super()._note_answer(read_started_at)
        self.context.rollouts.prove(self.next_offset, read_started_at)
        self._prove(self.context.random.getrandbits(EVENT_BITS), read_started_at)

    def _prove(self, read: int, at: float) -> None:
        """Record that `read`, which began at `at`, confirmed the version in force."""
        if read:
            at = self.proofs.observe(read, at)
        was_retrying = self.freshness.is_retrying
        self.freshness.prove(at)
        if was_retrying and not self.freshness.is_retrying:
            self.due_earlier.set()

    # Confirming that the version in force is the newest

    def check(self) -> float:
        """Read the store without a wait if the last confirmation is too old.

        Returns
        -------
        float
            Seconds until the next check.
        """
        if not self.has_snapshot:
            return MIN_CHECK_INTERVAL_S
        self._check_long_poll()
        read_started_at = boot_time()
        is_due = self.freshness.due_at(self._peer_rank()) <= read_started_at
        if not (is_due or self.is_check_wanted):
            return self._until_due_s()
        self.is_check_wanted = False
        try:
            self._read_now()
        except StoreOffsetOutOfRangeError:
            self.synced = False
            return MIN_CHECK_INTERVAL_S
        except StoreHeldBackError:
            return HELD_BACK_RETRY_S
        except StoreError as error:
            self._note_failure(error)
            self.freshness.fail(read_started_at, self._retry_at(read_started_at))
        else:
            self._note_answer(read_started_at)
        return self._until_due_s()

    def _until_due_s(self) -> float:
        left_s = self.freshness.due_at(self._peer_rank()) - boot_time()
        return max(MIN_CHECK_INTERVAL_S, left_s)

    def _peer_rank(self) -> int:
        return 0 if self.readers is None else self.readers.rank()

    def _retry_at(self, read_started_at: float) -> float:
        """Return when to check again after a check that got no answer.

        The delay grows with the number of nodes, so that they don't all read at once
        when the store is available again.
        """
        nodes = 1 if self.readers is None else self.readers.live_node_count()
        retry_delay_s = self.freshness.retry_delay_s(
            nodes
        ) * self.context.random.uniform(0.7, 1.3)
        return read_started_at + max(self._next_backoff_s(), retry_delay_s)

    def _read_now(self) -> None:
        if not self.synced:
            self._read_newest()
            return
        page = read_to_end(self.context.store, self.topic, self.next_offset)
        version = self.context.version
        self._apply_page(page)
        if self.context.version > version:
            self._renew_long_poll()

    def _check_long_poll(self) -> None:
        """Restart the long poll if a version arrived that it should have returned."""
        if self.context.version > self.long_poll_version:
            self.long_poll_version = self.context.version
            self._renew_long_poll()

    def _renew_long_poll(self) -> None:
        if self.long_poll is not None and self.read_started_at is not None:
            log_event("store_read_renewed", topic=self.topic, waited_s=self.waiting_s())
            self._restart_long_poll()

    def observe_peer_proof(self, version: int, age_s: float, read: int = 0) -> None:
        """Record that `version` was the newest `age_s` seconds ago, as a peer reports.

        Parameters
        ----------
        version : int
            The version in force at the peer. A version newer than this node's confirms
            nothing here.
        age_s : float
            Negative if the peer has no confirmation.
        read : int
            Identity of the read that confirmed it; 0 if the peer doesn't know it.
        """
        if age_s >= 0 and version <= self.context.version:
            self._prove(read, boot_time() - age_s)

    def proof_age_s(self) -> float:
        """Return the seconds since the version was confirmed as the newest.

        The value is -1 if it never was.
        """
        age_s = self.freshness.age_s(boot_time())
        return -1.0 if age_s is None else age_s
