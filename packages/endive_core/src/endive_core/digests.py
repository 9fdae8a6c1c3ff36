"""Selects the content of gossip datagrams: member entries, heartbeats and facts.

With many members one datagram has room for only a part of what a node knows. Facts
come first, up to a limit, then the entries that the receiver asked for, then the
entries of new members, then the heartbeats that were sent least often or longest ago.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from endive_core.facts import Fact, FactTable
from endive_core.members import (
    DATAGRAM_BYTES,
    DIGEST_HEAD_BYTES,
    HEARTBEAT_BYTES,
    Digest,
    Heartbeat,
    Member,
    fact_size,
    member_key,
    member_size,
)

MAX_FACTS_BYTES = 500
"""Maximum bytes of facts in a datagram, so that facts cannot displace heartbeats."""

ANNOUNCEMENT_SHARE = 0.4
ANNOUNCEMENTS_PER_MEMBER = 3
"""Share of a datagram's room for entries of new members, and number of datagrams that
announce each new member. After a restart of all nodes every member is new; without
the limit their entries displace the heartbeats for a minute, and live members are
suspected. A node that misses an entry asks for it."""

HEARTBEAT_SENDS = 3
"""Number of datagrams for which a new heartbeat takes precedence, the least often sent
first. After that heartbeats are ordered only by how long ago they were sent."""


@dataclass
class KnownMember:
    """A member as this node knows it.

    Attributes
    ----------
    last_heard_at : float
        When its heartbeat last increased, in seconds on this node's clock.
    last_sent : int
        Number of the last datagram that contained the member.
    times_sent : int
        Number of datagrams that contained its latest heartbeat.
    announcements_left : int
        Number of datagrams that are still to announce its whole entry.
    """

    member: Member
    last_heard_at: float
    last_sent: int = 0
    times_sent: int = 0
    announcements_left: int = 0


class DigestSource(Protocol):
    """The state from which datagrams are written; implemented by ``Membership``.

    Attributes
    ----------
    ids : dict of int to str
        Members' ids by key.
    wanted : dict of int to None
        Keys of members whose entries are to be requested.
    corrections : list of Member
        Newer entries of members that have sent an older entry of themselves.
    """

    me: Member
    highest_offset: int
    known: dict[str, KnownMember]
    ids: dict[int, str]
    wanted: dict[int, None]
    corrections: list[Member]
    facts: FactTable


class DigestWriter:
    """Writes datagrams, and keeps track of what was sent in which of them."""

    def __init__(self, source: DigestSource) -> None:
        self.source = source
        self.datagram_number = 0
        self.fact_repeats_left: dict[tuple, int] = {}
        self.fact_last_sent: dict[tuple, int] = {}
        source.facts.listeners.append(self._note_fact)

    def write(self, wanted: Iterable[int] = ()) -> Digest:
        """Return the content of the next datagram, as much as fits.

        Parameters
        ----------
        wanted : iterable of int
            Keys of the members whose entries the receiver asked for.
        """
        self.datagram_number += 1
        membership = self.source
        digest = Digest(
            membership.me, membership.highest_offset, wanted=list(membership.wanted)
        )
        digest.members.extend(membership.corrections)
        membership.wanted.clear()
        membership.corrections.clear()
        room = DATAGRAM_BYTES - DIGEST_HEAD_BYTES - member_size(membership.me)
        room -= 6 * len(digest.wanted) + sum(map(member_size, digest.members))
        room -= self._add_facts(digest, min(room, MAX_FACTS_BYTES))
        room -= self._add_members(digest, wanted, room)
        self._add_heartbeats(digest, room)
        return digest

    def _add_facts(self, digest: Digest, room: int) -> int:
        used = 0
        for key in sorted(self.fact_last_sent, key=self._fact_order):
            fact = self.source.facts.get(key)
            if fact is None:
                self.fact_repeats_left.pop(key, None)
                del self.fact_last_sent[key]
                continue
            size = fact_size(fact)
            if used + size > room:
                break
            used += size
            digest.facts.append(fact)
            self.fact_last_sent[key] = self.datagram_number
            self.fact_repeats_left[key] -= 1
        return used

    def _fact_order(self, key: tuple) -> tuple[bool, int]:
        return (self.fact_repeats_left[key] <= 0, self.fact_last_sent[key])

    def _add_members(self, digest: Digest, wanted: Iterable[int], room: int) -> int:
        announced = [
            i for i, known in self.source.known.items() if known.announcements_left > 0
        ]
        announced_room = int(room * ANNOUNCEMENT_SHARE)
        requested = [self.source.ids[key] for key in wanted if key in self.source.ids]
        used = 0
        for limit, ids in (
            (room, requested),
            (announced_room, sorted(announced, key=self._last_sent)),
        ):
            for member_id in ids:
                known = self.source.known.get(member_id)
                if known is None or known.last_sent == self.datagram_number:
                    continue
                size = member_size(known.member)
                if used + size > limit:
                    break
                used += size
                digest.members.append(known.member)
                known.announcements_left -= 1
                known.last_sent = self.datagram_number
        return used

    def _add_heartbeats(self, digest: Digest, room: int) -> None:
        order = sorted(self.source.known.values(), key=_heartbeat_order)
        for known in order[: room // HEARTBEAT_BYTES]:
            if known.last_sent == self.datagram_number:
                continue
            known.last_sent = self.datagram_number
            known.times_sent += 1
            member = known.member
            entry = Heartbeat(
                member_key(member),
                member.heartbeat,
                member.state,
                member.configuration_offset,
            )
            digest.beats.append(entry)

    def _last_sent(self, member_id: str) -> int:
        return self.source.known[member_id].last_sent

    def _fact_repeats(self) -> int:
        """Return the number of datagrams in which a new fact takes precedence.

        The number grows with the logarithm of the number of members, so that gossip
        reaches nearly all of them.
        """
        return 2 * math.ceil(math.log2(len(self.source.known) + 2)) + 2

    def _note_fact(self, fact: Fact) -> None:
        self.fact_repeats_left[fact.key] = self._fact_repeats()
        self.fact_last_sent.setdefault(fact.key, 0)


def _heartbeat_order(known: KnownMember) -> tuple[int, int]:
    """Order heartbeats: those sent least often first, then those sent longest ago."""
    return (min(known.times_sent, HEARTBEAT_SENDS), known.last_sent)
