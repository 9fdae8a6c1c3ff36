"""Chooses the nodes that coordinate slots, without communication."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from endive_core.hashing import rendezvous_choice

COORDINATOR_BACKOFF_S = 3.0
"""Time for which a coordinator that did not reply is not asked again, seconds. By then
it is either in contact again or no longer counts as live."""

CHOICE_INTERVAL_S = 0.2
"""Time for which the nodes among which coordinators are chosen stay the same, seconds.
Finding the live ones takes a time that grows with their number."""


@dataclass(frozen=True)
class SkippedNode:
    """A node that did not reply.

    Attributes
    ----------
    incarnation : int
        The start of the node that was asked.
    until : float
        Until when it is not asked, seconds on the monotonic clock.
    """

    incarnation: int
    until: float


class CoordinatorChoice:
    """The coordinators of servers or services, by hashing.

    All nodes with the same view of the cluster choose the same ones.

    Attributes
    ----------
    address : callable
        Returns the IP address of this node.
    peer_addresses : callable
        Returns the addresses of the other nodes that may coordinate.
    incarnation : callable
        Returns the latest known start of the node with an address, 0 if none is known.
    skipped : dict of str to SkippedNode
        Nodes that didn't reply, by address.
    chosen : dict of str to str
        By name, the coordinators among `nodes`.
    """

    def __init__(
        self, address: Callable[[], str], peer_addresses: Callable[[], list[str]]
    ) -> None:
        self.address = address
        self.peer_addresses = peer_addresses
        self.incarnation: Callable[[str], int] = lambda address: 0
        self.skipped: dict[str, SkippedNode] = {}
        self.chosen: dict[str, str] = {}
        self.nodes: set[str] = set()
        self.choose_at = float("-inf")

    def coordinator(self, name: str) -> str:
        """Return the node that coordinates the slots of `name`."""
        now = time.monotonic()
        if now >= self.choose_at:
            self.choose_at = now + CHOICE_INTERVAL_S
            peers = [n for n in self.peer_addresses() if not self._is_skipped(n, now)]
            nodes = {self.address(), *peers}
            if nodes != self.nodes:
                self.nodes, self.chosen = nodes, {}
        chosen = self.chosen.get(name)
        if chosen is None:
            chosen = rendezvous_choice(name, list(self.nodes))
            self.chosen[name] = chosen
        return chosen

    def skip(self, coordinator: str, incarnation: int) -> None:
        """Choose another coordinator for a while, or until this one starts again.

        Nodes that have not asked it choose it as soon as it has started again. If
        others went on to skip it, two nodes would lease the same slots.
        """
        now = time.monotonic()
        self.skipped = {n: s for n, s in self.skipped.items() if s.until > now}
        if coordinator != self.address():
            until = now + COORDINATOR_BACKOFF_S
            self.skipped[coordinator] = SkippedNode(incarnation, until)
            self.choose_at = now

    def _is_skipped(self, node: str, now: float) -> bool:
        skipped = self.skipped.get(node)
        return (
            skipped is not None
            and skipped.until > now
            and skipped.incarnation == self.incarnation(node)
        )
