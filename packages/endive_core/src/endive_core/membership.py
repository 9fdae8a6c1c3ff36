"""Which nodes are there: members, their zones and what they last said."""

from dataclasses import dataclass
from enum import StrEnum


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
    """

    id: str
    zone: str
    peer_address: str
    state: MemberState = MemberState.LIVE
    configuration_offset: int = -1
