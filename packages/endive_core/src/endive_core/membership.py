"""Gossip membership: the known nodes, their last state, and failure detection.

Every node increments its own heartbeat and passes on the highest heartbeat that it
knows of every other node. A member whose heartbeat has not increased for long enough
by this node's own clock is suspected, and later removed. Correctness does not depend
on the membership, only on the log.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Protocol

from endive_core.digests import ANNOUNCEMENTS_PER_MEMBER, DigestWriter, KnownMember
from endive_core.facts import FactTable
from endive_core.members import (
    Digest,
    Heartbeat,
    Member,
    MemberState,
    member_key,
)

MAX_WANTED = 20
"""Maximum number of entries requested in one datagram; they fill the answer to it."""

HEARTBEAT_PERIOD_S = 1.0
HEARTBEAT_PERIOD_PER_MEMBER_S = 0.011
"""Time between two heartbeats of one member in seconds: the minimum, and the addition
for each known member. Every node passes each heartbeat on a few times. At 370 members
and three datagrams per second, more frequent heartbeats would displace each other in
the datagrams, and all of them would arrive late."""

TOMBSTONE_S = 600.0
"""How long a removed member's last heartbeat is kept, in seconds. Datagrams with old
entries of it still arrive after its removal, and would add it again and again."""

REMOVED_ADDRESS_RETRY_S = 3600.0
"""How long the address of a removed member is still contacted, in seconds. Regions that
lose contact for minutes find each other again this way."""

MAX_REORDERED_HEARTBEATS = 30
"""Heartbeats by which a node's own entry may be older than the known one because its
datagrams were reordered. A node that is further behind has restarted and does not know
the heartbeat of its previous run."""

UNKNOWN_ADDRESS_SHARE = 0.1
"""Share of the datagrams that go to a seed or a removed member's address."""


class RandomSource(Protocol):
    """Source of randomness for the choice of receivers."""

    def random(self) -> float:
        """Return a number in the interval [0, 1)."""
        ...

    def choice(self, options: Sequence[str]) -> str:
        """Return one of `options`."""
        ...


@dataclass(frozen=True)
class Timings:
    """Timeouts after which a silent member is suspected and removed.

    The more members there are, the longer a heartbeat takes to reach all of them,
    since a datagram has room for only some of the heartbeats. So each timeout grows
    with the number of members.

    Attributes
    ----------
    suspect_after_s, remove_after_s : float
        Seconds without a newer heartbeat, before the addition for each member.
    per_member_s : float
        Seconds added to both timeouts for each known member.
    """

    suspect_after_s: float = 8.0
    remove_after_s: float = 24.0
    per_member_s: float = 0.05


class Membership:
    """The members that this node knows, including itself.

    Other parts of the node call :meth:`live`; the UDP loop calls :meth:`tick`,
    :meth:`receiver`, :meth:`digest` and :meth:`receive`.

    Parameters
    ----------
    me : Member
        This node; ``incarnation`` must be larger than at its previous start.
    now : callable
        Returns seconds on this node's clock.
    random : RandomSource
        Used to choose the receiver of the next datagram.
    tick_period_s : float
        Seconds between two calls of :meth:`tick` if nothing delays the node.

    Attributes
    ----------
    state_listeners : list of callable
        Called after this node's own state has changed.
    """

    def __init__(
        self,
        me: Member,
        facts: FactTable,
        now: Callable[[], float],
        random: RandomSource,
        timings: Timings | None = None,
        tick_period_s: float = 1 / 3,
    ) -> None:
        self.me = me
        self.facts = facts
        self.now = now
        self.random = random
        self.timings = timings or Timings()
        self.tick_period_s = tick_period_s
        self.highest_offset = -1
        self.known: dict[str, KnownMember] = {}
        self.ids: dict[int, str] = {member_key(me): me.id}
        self.state_listeners: list[Callable[[], None]] = []
        self.seeds: set[str] = set()
        self.removed_addresses: dict[str, float] = {}
        self.tombstones: dict[str, tuple[Member, float]] = {}
        self.wanted: dict[int, None] = {}
        self.corrections: list[Member] = []
        self.last_tick_at = now()
        self.last_heartbeat_at = now()
        self.offset_changed = False
        self.live_members: list[Member] | None = None
        self.digest_writer = DigestWriter(self)

    # Queries.

    def live(self) -> list[Member]:
        """Return the live members that are not suspected, ordered by id."""
        if self.live_members is None:
            self.live_members = self._compute_live()
        return self.live_members

    def get(self, member_id: str) -> Member | None:
        """Return the member with id `member_id` in any state, or ``None``."""
        if member_id == self.me.id:
            return self.me
        known = self.known.get(member_id)
        return known.member if known else None

    def reachable(self) -> list[Member]:
        """Return all other members that are not suspected, in any state."""
        return [k.member for k in self.known.values() if not self.is_suspected(k)]

    def suspected(self) -> list[Member]:
        """Return the members whose heartbeat has not increased for too long."""
        return [k.member for k in self.known.values() if self.is_suspected(k)]

    def is_suspected(self, known: KnownMember) -> bool:
        """Return whether a member's heartbeat has not increased for too long."""
        return self.now() - known.last_heard_at > self._scaled_timeout_s(
            self.timings.suspect_after_s
        )

    def _compute_live(self) -> list[Member]:
        members = [m for m in self.reachable() if m.state is MemberState.LIVE]
        if self.me.state is MemberState.LIVE:
            members.append(self.me)
        return sorted(members, key=lambda m: m.id)

    def _scaled_timeout_s(self, base_s: float) -> float:
        return base_s + self.timings.per_member_s * len(self.known)

    # This node's own entry.

    def set_state(self, state: MemberState) -> None:
        """Change this node's own state."""
        self.me = replace(self.me, state=state)
        self._increment_heartbeat()
        for listener in self.state_listeners:
            listener()

    def leave(self) -> None:
        """Announce that this node accepts no new requests."""
        self.set_state(MemberState.LEAVING)

    def set_peer_address(self, address: str) -> None:
        """Set the address of this node's thrift listener."""
        self.me = replace(self.me, peer_address=address)

    def set_offset(self, offset: int) -> None:
        """Set the configuration offset that this node has in force."""
        if offset != self.me.configuration_offset:
            self.me = replace(self.me, configuration_offset=offset)
            self.highest_offset = max(self.highest_offset, offset)
            self.offset_changed = True
            self.live_members = None

    # Sending.

    def tick(self) -> None:
        """Increment the heartbeat when it is due, and remove members that time out."""
        now = self.now()
        self._exclude_own_pause(now - self.last_tick_at)
        self.last_tick_at = now
        if (
            self.offset_changed
            or now - self.last_heartbeat_at >= self._heartbeat_period_s()
        ):
            self._increment_heartbeat()
        limit = self._scaled_timeout_s(self.timings.remove_after_s)
        for member_id, known in list(self.known.items()):
            if now - known.last_heard_at > limit:
                self._remove(member_id, known, now)
        self._forget(now)
        self.facts.expire()
        self.live_members = None

    def _heartbeat_period_s(self) -> float:
        return HEARTBEAT_PERIOD_S + HEARTBEAT_PERIOD_PER_MEMBER_S * len(self.known)

    def _increment_heartbeat(self) -> None:
        self.offset_changed = False
        self.me = replace(self.me, heartbeat=self.me.heartbeat + 1)
        self.last_heartbeat_at = self.now()
        self.live_members = None

    def _exclude_own_pause(self, elapsed_s: float) -> None:
        """Exclude the time in which this node itself was paused.

        After a pause no heartbeat of any other member has been received for its
        duration. Without this all members would be suspected at once, and the node
        would consider itself the only member until the next heartbeats arrive.
        """
        pause_s = elapsed_s - 2 * self.tick_period_s
        if pause_s > 0:
            for known in self.known.values():
                known.last_heard_at += pause_s

    def _remove(self, member_id: str, known: KnownMember, now: float) -> None:
        del self.known[member_id]
        self.tombstones[member_id] = (known.member, now)
        self.removed_addresses[known.member.gossip_address] = now

    def _forget(self, now: float) -> None:
        for member_id, (member, since) in list(self.tombstones.items()):
            if now - since > TOMBSTONE_S:
                del self.tombstones[member_id]
                self.ids.pop(member_key(member), None)
        for address, since in list(self.removed_addresses.items()):
            if now - since > REMOVED_ADDRESS_RETRY_S:
                del self.removed_addresses[address]

    def receiver(self) -> str | None:
        """Choose the gossip address to which the next datagram is sent."""
        members = [k.member.gossip_address for k in self.known.values()]
        unknown_addresses = self.unknown_addresses()
        if unknown_addresses and (
            not members or self.random.random() < UNKNOWN_ADDRESS_SHARE
        ):
            return self.random.choice(unknown_addresses)
        return self.random.choice(members) if members else None

    def unknown_addresses(self) -> list[str]:
        """Return the seeds and removed addresses that belong to no known member."""
        heard_of = {known.member.gossip_address for known in self.known.values()}
        heard_of.add(self.me.gossip_address)
        return sorted((self.seeds | self.removed_addresses.keys()) - heard_of)

    def digest(self, wanted: Iterable[int] = ()) -> Digest:
        """Return the content of the next datagram; see :class:`DigestWriter`."""
        return self.digest_writer.write(wanted)

    # Receiving.

    def receive(self, digest: Digest) -> bool:
        """Merge `digest`; return whether to answer it at once.

        It is answered if its sender is new, if either side lacks entries of members
        whose heartbeats it has received, or if there are corrections to send. So a
        new node knows all others within a few exchanges.
        """
        is_new = digest.sender.id not in self.known
        self._add_correction(digest.sender)
        self._merge_member(digest.sender)
        for member in digest.members:
            self._merge_member(member)
        for received in digest.beats:
            self._merge_heartbeat(received)
        for fact in digest.facts:
            self.facts.merge(fact)
        self.highest_offset = max(
            self.highest_offset,
            digest.highest_offset,
            digest.sender.configuration_offset,
        )
        return bool(is_new or digest.wanted or self.wanted or self.corrections)

    def _add_correction(self, sender: Member) -> None:
        """Queue the known entry for a restarted node that sends an older one.

        If its clock is behind, its incarnation is lower than that of its previous run.
        Other nodes would ignore its datagrams as outdated and send it none, and it
        would never learn of the higher incarnation.
        """
        if sender.id in self.known:
            latest = self.known[sender.id].member
        elif sender.id in self.tombstones:
            latest = self.tombstones[sender.id][0]
        else:
            return
        if sender.logical_time < (
            latest.incarnation,
            latest.heartbeat - MAX_REORDERED_HEARTBEATS,
        ):
            self.corrections.append(latest)

    def _merge_member(self, member: Member) -> None:
        if member.id == self.me.id:
            self._supersede_previous_run(member)
            return
        known = self.known.get(member.id)
        if known is not None:
            if member.logical_time > known.member.logical_time:
                self._replace(known, member)
        elif not self._is_tombstoned(member.id, member.logical_time):
            self._add(member)

    def _merge_heartbeat(self, received: Heartbeat) -> None:
        member_id = self.ids.get(received.member)
        if member_id == self.me.id:
            return
        known = self.known.get(member_id)
        if known is None:
            if member_id is None or not self._is_tombstoned_heartbeat(
                member_id, received
            ):
                self._request_member(received.member)
        elif received.heartbeat > known.member.heartbeat:
            member = replace(
                known.member,
                heartbeat=received.heartbeat,
                state=received.state,
                configuration_offset=received.configuration_offset,
            )
            self._replace(known, member)

    def _request_member(self, key: int) -> None:
        if len(self.wanted) < MAX_WANTED:
            self.wanted[key] = None

    def _supersede_previous_run(self, previous: Member) -> None:
        """Choose a higher incarnation if others know a newer entry of this node.

        A node that restarts after its clock was set back has a lower incarnation than
        its previous run; other nodes would ignore its heartbeats until they caught up.
        """
        if previous.logical_time > self.me.logical_time:
            del self.ids[member_key(self.me)]
            self.me = replace(self.me, incarnation=previous.incarnation + 1)
            self.ids[member_key(self.me)] = self.me.id

    def _is_tombstoned(self, member_id: str, logical_time: tuple[int, int]) -> bool:
        tombstone = self.tombstones.get(member_id)
        return tombstone is not None and logical_time <= tombstone[0].logical_time

    def _is_tombstoned_heartbeat(self, member_id: str, received: Heartbeat) -> bool:
        tombstone = self.tombstones.get(member_id)
        return tombstone is not None and received.heartbeat <= tombstone[0].heartbeat

    def _add(self, member: Member) -> None:
        key = member_key(member)
        previous = self.tombstones.pop(member.id, None)
        if previous is not None:
            self.ids.pop(member_key(previous[0]), None)
        self.removed_addresses.pop(member.gossip_address, None)
        self.wanted.pop(key, None)
        self.ids[key] = member.id
        known = KnownMember(
            member, self.now(), announcements_left=ANNOUNCEMENTS_PER_MEMBER
        )
        self.known[member.id] = known
        self.live_members = None

    def _replace(self, known: KnownMember, member: Member) -> None:
        before = known.member
        if before.incarnation != member.incarnation:
            self.ids.pop(member_key(before), None)
            self.ids[member_key(member)] = member.id
            known.announcements_left = ANNOUNCEMENTS_PER_MEMBER
            self.live_members = None
        if before.state is not member.state:
            self.live_members = None
        if before.configuration_offset != member.configuration_offset:
            self.live_members = None
        known.member = member
        known.last_heard_at = self.now()
        known.times_sent = 0
