"""What the next datagram to another member says: heartbeats, news, facts.

One datagram holds only some of what a node knows of a large fleet. Entries that the
receiver asked for go first, then news, then whoever was not mentioned for longest.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from endive_core.facts import Fact, FactTable
from endive_core.members import (
    BEAT_BYTES,
    DATAGRAM_BYTES,
    DIGEST_HEAD_BYTES,
    Digest,
    Heartbeat,
    Member,
    fact_size,
    member_key,
    member_size,
)

FACTS_SHARE_BYTES = 500
"""Room for facts in a datagram, so that many facts can't push the heartbeats out."""

NEWS_SHARE = 0.4
NEWS_TOLD = 3
"""Room for entries of new members, and datagrams that carry each. After a restart of
the whole fleet everybody is new; without the limit their entries push the heartbeats
out for a minute, and live members are suspected. Who misses an entry asks for it."""

BEAT_TOLD = 3
"""Datagrams that carry a heartbeat before those told less often go first again."""


@dataclass
class Known:
    """A member as this node keeps it.

    Attributes
    ----------
    heard_at : float
        When its heartbeat last grew, on this node's clock.
    told : int
        Turn at which it was last put into a datagram.
    times_told : int
        Datagrams that carried its latest heartbeat.
    news_left : int
        Datagrams that still carry its whole entry first.
    """

    member: Member
    heard_at: float
    told: int = 0
    times_told: int = 0
    news_left: int = 0


class KnownMembers(Protocol):
    """What a datagram is written from.

    Attributes
    ----------
    ids : dict of int to str
        Members' ids by key.
    wanted : dict of int to None
        Keys of members to ask for.
    corrections : list of Member
        Newer entries of members that told older ones.
    """

    me: Member
    highest_offset: int
    known: dict[str, Known]
    ids: dict[int, str]
    wanted: dict[int, None]
    corrections: list[Member]
    facts: FactTable


class DigestWriter:
    """Writes one datagram after the other, and remembers what was told when."""

    def __init__(self, members: KnownMembers) -> None:
        self.members = members
        self.turn = 0
        self.fact_news: dict[tuple, int] = {}
        self.fact_told: dict[tuple, int] = {}
        members.facts.listeners.append(self._note_fact)

    def write(self, wanted: Iterable[int] = ()) -> Digest:
        """Return the content of the next datagram.

        Entries the receiver asked for go first, then news, then whoever was not
        mentioned for longest, as far as one datagram holds them.

        Parameters
        ----------
        wanted : iterable of int
            Keys of the members that the receiver asked for.
        """
        self.turn += 1
        known = self.members
        digest = Digest(known.me, known.highest_offset, wanted=list(known.wanted))
        digest.members.extend(known.corrections)
        known.wanted.clear()
        known.corrections.clear()
        room = DATAGRAM_BYTES - DIGEST_HEAD_BYTES - member_size(known.me)
        room -= 6 * len(digest.wanted) + sum(map(member_size, digest.members))
        room -= self._add_facts(digest, min(room, FACTS_SHARE_BYTES))
        room -= self._add_members(digest, wanted, room)
        self._add_beats(digest, room)
        return digest

    def _add_facts(self, digest: Digest, room: int) -> int:
        used = 0
        for key in sorted(self.fact_told, key=self._fact_order):
            fact = self.members.facts.get(key)
            if fact is None:
                self.fact_news.pop(key, None)
                del self.fact_told[key]
                continue
            size = fact_size(fact)
            if used + size > room:
                break
            used += size
            digest.facts.append(fact)
            self.fact_told[key] = self.turn
            self.fact_news[key] -= 1
        return used

    def _fact_order(self, key: tuple) -> tuple[bool, int]:
        return (self.fact_news[key] <= 0, self.fact_told[key])

    def _add_members(self, digest: Digest, wanted: Iterable[int], room: int) -> int:
        news = [i for i, known in self.members.known.items() if known.news_left > 0]
        news_room = int(room * NEWS_SHARE)
        asked = [self.members.ids[key] for key in wanted if key in self.members.ids]
        used = 0
        for limit, ids in ((room, asked), (news_room, sorted(news, key=self._told))):
            for member_id in ids:
                known = self.members.known.get(member_id)
                if known is None or known.told == self.turn:
                    continue
                size = member_size(known.member)
                if used + size > limit:
                    break
                used += size
                digest.members.append(known.member)
                known.news_left -= 1
                known.told = self.turn
        return used

    def _add_beats(self, digest: Digest, room: int) -> None:
        order = sorted(self.members.known.values(), key=_beat_order)
        for known in order[: room // BEAT_BYTES]:
            if known.told == self.turn:
                continue
            known.told = self.turn
            known.times_told += 1
            member = known.member
            beat = Heartbeat(
                member_key(member),
                member.heartbeat,
                member.state,
                member.configuration_offset,
            )
            digest.beats.append(beat)

    def _told(self, member_id: str) -> int:
        return self.members.known[member_id].told

    def _news_repeats(self) -> int:
        """Return how often news is repeated: enough to reach all with few misses."""
        return 2 * math.ceil(math.log2(len(self.members.known) + 2)) + 2

    def _note_fact(self, fact: Fact) -> None:
        self.fact_news[fact.key] = self._news_repeats()
        self.fact_told.setdefault(fact.key, 0)


def _beat_order(known: Known) -> tuple[int, int]:
    """Order heartbeats: those told least often, then those not told for longest."""
    return (min(known.times_told, BEAT_TOLD), known.told)
