"""Descriptions of members, and the content of a gossip datagram between nodes."""

from dataclasses import dataclass, field
from enum import StrEnum

import xxhash

from endive_core.facts import Fact

DATAGRAM_BYTES = 1200
"""Maximum size of a datagram in bytes. It stays below the MTU of every path, since a
fragmented datagram is lost if any of its fragments is lost."""

DIGEST_HEAD_BYTES = 48
HEARTBEAT_BYTES = 13
MEMBER_BYTES = 38
FACT_BYTES = 22
"""Upper estimates of encoded sizes in bytes, without the texts; a test compares them
with the codec."""

MEMBER_KEY_BITS = 34
"""Bits of the hash that identifies a member in heartbeats; it fits in five bytes. Among
370 members two collide with a probability of 4e-6, and a collision would only hide one
of the two."""


class MemberState(StrEnum):
    """State of a member as reported by itself."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Member:
    """One node as other nodes know it.

    Attributes
    ----------
    peer_address : str
        ``IP:port`` of the node's thrift listener.
    configuration_offset : int
        Highest offset of the configuration that the node has in force.
    gossip_address : str
        ``IP:port`` of its UDP heartbeat listener.
    incarnation : int
        Increases with each start of the node.
    heartbeat : int
        Counter that the node increments while it runs.
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
        """Key that orders entries of one member; the larger key is the newer entry."""
        return (self.incarnation, self.heartbeat)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The fields of a member that change often, identified by :func:`member_key`."""

    member: int
    heartbeat: int
    state: MemberState
    configuration_offset: int


@dataclass
class Digest:
    """The content of one gossip datagram.

    Attributes
    ----------
    sender : Member
        The entry of the sending node, as it describes itself.
    wanted : list of int
        Keys of members of which the sender has received heartbeats but no entry; the
        receiver answers with their entries.
    highest_offset : int
        Highest configuration offset that the sender has seen from any node.
    """

    sender: Member
    highest_offset: int = -1
    beats: list[Heartbeat] = field(default_factory=list)
    members: list[Member] = field(default_factory=list)
    facts: list[Fact] = field(default_factory=list)
    wanted: list[int] = field(default_factory=list)


def member_key(member: Member) -> int:
    """Return the number that identifies one run of a member in heartbeats.

    A restarted member has a different key, so that no node combines the address of
    its previous run with the heartbeat of the new one.
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
