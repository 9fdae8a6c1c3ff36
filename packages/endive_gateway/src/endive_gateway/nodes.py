"""What a node knows of the other nodes."""

from dataclasses import dataclass, field

import msgspec


class NodeEntry(msgspec.Struct):
    """A node's entry in the list of nodes in the store."""

    address: str
    incarnation: int


@dataclass
class Peer:
    """Another node.

    Attributes
    ----------
    incarnation : int
        Differs with each start of the node.
    sequence : int
        Number of its last state message; 0 if none was received.
    heard_at : float
        When its last state message arrived, seconds on the monotonic clock; 0 if none
        did.
    added_at : float
        When it became known, seconds on the monotonic clock.
    version : int
        Version of the configuration in force there; -1 if there is none.
    fence : int
        Fencing number of the duties that it holds; 0 if it doesn't hold them.
    work : dict of str to float
        Servers of each service that its requests keep busy.
    complete : bool
        Whether it knows the list of nodes and the servers.
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
    complete: bool = False
