"""What a member says of itself, and the content of one datagram between nodes."""

from dataclasses import dataclass, field
from enum import StrEnum

import xxhash

from endive_core.facts import Fact

DATAGRAM_BYTES = 1200
"""Most bytes of one datagram: under one MTU on every path, since a fragmented datagram
is lost whole with any of its fragments."""

DIGEST_HEAD_BYTES = 48
HEARTBEAT_BYTES = 13
MEMBER_BYTES = 38
FACT_BYTES = 22
"""Upper estimates of encoded sizes, without the text; a test holds them against the
codec."""

MEMBER_KEY_BITS = 34
"""Members are named by a hash in heartbeats, which five bytes hold: two of 370 collide
with a probability of 4e-6, and a collision would only hide one of the two."""


class MemberState(StrEnum):
    """What a member says of itself."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Member:
    """One node as others see it.

    Attributes
    ----------
    peer_address : str
        ``IP:port`` of the node's thrift listener.
    configuration_offset : int
        Highest offset of the configuration it has in force.
    gossip_address : str
        ``IP:port`` of its UDP heartbeat listener.
    incarnation : int
        Grows with each start of the node.
    heartbeat : int
        Grows as long as the node runs.
    """

    id: str
    zone: str
    peer_address: str
    state: MemberState = MemberState.LIVE
    configuration_offset: int = -1
    region: str = "local"
    gossip_address: str = ""
    incarnation: int = 0
    heartbeat: int = 0

    @property
    def logical_time(self) -> tuple[int, int]:
        """What orders two views of the same member; the larger is the newer."""
        return (self.incarnation, self.heartbeat)


@dataclass(frozen=True, slots=True)
class Beat:
    """The part of a member that changes, named by :func:`member_key`."""

    member: int
    heartbeat: int
    state: MemberState
    configuration_offset: int


@dataclass
class Digest:
    """The content of one datagram.

    Attributes
    ----------
    sender : Member
        The node that sent it, as it describes itself.
    wanted : list of int
        Keys of members the sender has heard of and can't name; the receiver answers
        with their entries.
    highest_offset : int
        Highest configuration offset the sender has heard of from anybody.
    """

    sender: Member
    highest_offset: int = -1
    beats: list[Beat] = field(default_factory=list)
    members: list[Member] = field(default_factory=list)
    facts: list[Fact] = field(default_factory=list)
    wanted: list[int] = field(default_factory=list)


def member_key(member: Member) -> int:
    """Return the number that names one run of a member in heartbeats.

    A member that restarted has another one, so that nobody keeps the address of its
    last run with the heartbeat of the new.
    """
    run = f"{member.id}\x00{member.incarnation}"
    return xxhash.xxh3_64_intdigest(run.encode()) >> (64 - MEMBER_KEY_BITS)


def member_size(member: Member) -> int:
    """Return an upper estimate of a member's encoded size in bytes."""
    texts = (
        member.id,
        member.zone,
        member.region,
        member.peer_address,
        member.gossip_address,
    )
    return MEMBER_BYTES + sum(len(text) for text in texts)


def fact_size(fact: Fact) -> int:
    """Return an upper estimate of a fact's encoded size in bytes."""
    return FACT_BYTES + len(fact.subject) + len(fact.origin)
