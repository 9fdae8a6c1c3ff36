"""What a node knows of the other nodes."""

from dataclasses import dataclass, field

import msgspec

from endive_gateway.quantities import Count


class NodeEntry(msgspec.Struct):
    """A node's entry in the list of nodes in the store."""

    address: str
    incarnation: Count


RESTART_MARGIN_S = 0.5
"""Least difference between two start times that are derived from messages for them to
count as different, seconds. Messages are delayed in the network and in queues."""


@dataclass
class Peer:
    """Another node.

    Attributes
    ----------
    incarnation : int
        Differs with each start of the node.
    sequence : int
        Number of its last state message; 0 if none was received.
    last_seen_at : float
        When its last state message arrived, seconds on the monotonic clock; 0 if none
        did.
    started_at : float
        When it started, as derived from its messages, seconds on the monotonic clock.
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
    zone : str
        Its availability zone; empty if it doesn't keep origins of streams.
    pools_slots : bool
        Whether it coordinates the slots of plain services with few of them.
    records_origins : bool
        Whether it lists and records in the store where streams begin.
    greeted_at : float
        When it was last sent a message at once, seconds on the monotonic clock.
    """

    address: str
    node: str = ""
    incarnation: int = 0
    sequence: int = 0
    last_seen_at: float = 0.0
    started_at: float = float("-inf")
    added_at: float = 0.0
    version: int = -1
    fence: int = 0
    work: dict[str, float] = field(default_factory=dict)
    complete: bool = False
    greeted_at: float = float("-inf")
    zone: str = ""
    pools_slots: bool = False
    records_origins: bool = False

    def is_superseded_by(
        self, incarnation: int, sequence: int, started_at: float
    ) -> bool:
        """Return whether a message is newer than the last one that was received.

        The incarnation alone does not tell: it is taken from the wall clock, which may
        be set back between two starts.

        Parameters
        ----------
        started_at : float
            When the sender started, seconds on the monotonic clock.
        """
        if incarnation == self.incarnation:
            return sequence > self.sequence
        if started_at > self.started_at + RESTART_MARGIN_S:
            return True
        return (
            incarnation > self.incarnation
            and started_at >= self.started_at - RESTART_MARGIN_S
        )
