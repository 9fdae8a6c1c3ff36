"""Other nodes, as one node knows them."""

from dataclasses import dataclass, field

import msgspec


class NodeEntry(msgspec.Struct):
    """A node, as it lists itself in the store."""

    address: str
    incarnation: int


@dataclass
class Peer:
    """Another node.

    Attributes
    ----------
    heard_at : float
        When its last telling came, seconds on the monotonic clock; 0 if never.
    fence : int
        Fencing number of the duties that it holds; 0 if it doesn't.
    """

    address: str
    node: str = ""
    incarnation: int = 0
    sequence: int = 0
    heard_at: float = 0.0
    added_at: float = 0.0
    version: int = -1
    fence: int = 0
    work: dict[str, float] = field(default_factory=dict)
