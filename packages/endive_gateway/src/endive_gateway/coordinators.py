"""Chooses the nodes that coordinate slots, without communication."""

import time
from collections.abc import Callable

from endive_core.hashing import rendezvous_choice

COORDINATOR_BACKOFF_S = 3.0
"""Time for which a coordinator that did not reply is not asked again, seconds. By then
it is either in contact again or no longer counts as live."""

CHOICE_INTERVAL_S = 0.2
"""Time for which the nodes among which coordinators are chosen stay the same, seconds.
Finding the live ones takes a time that grows with their number."""


class CoordinatorChoice:
    """The coordinators of servers or services, by hashing.

    All nodes with the same view of the cluster choose the same ones.

    Attributes
    ----------
    address : callable
        Returns the IP address of this node.
    peer_addresses : callable
        Returns the addresses of the other nodes that may coordinate.
    skipped_until : dict of str to float
        By address, until when a node that didn't reply is not asked.
    chosen : dict of str to str
        By name, the coordinators among `nodes`.
    """

    def __init__(
        self, address: Callable[[], str], peer_addresses: Callable[[], list[str]]
    ) -> None:
        self.address = address
        self.peer_addresses = peer_addresses
        self.skipped_until: dict[str, float] = {}
        self.chosen: dict[str, str] = {}
        self.nodes: set[str] = set()
        self.choose_at = float("-inf")

    def coordinator(self, name: str) -> str:
        """Return the node that coordinates the slots of `name`."""
        now = time.monotonic()
        if now >= self.choose_at:
            self.choose_at = now + CHOICE_INTERVAL_S
            skipped = {n for n, until in self.skipped_until.items() if until > now}
            nodes = {self.address(), *self.peer_addresses()} - skipped
            if nodes != self.nodes:
                self.nodes, self.chosen = nodes, {}
        chosen = self.chosen.get(name)
        if chosen is None:
            chosen = rendezvous_choice(name, list(self.nodes))
            self.chosen[name] = chosen
        return chosen

    def skip(self, coordinator: str) -> None:
        """Choose another coordinator for a while."""
        now = time.monotonic()
        self.skipped_until = {n: t for n, t in self.skipped_until.items() if t > now}
        if coordinator != self.address():
            self.skipped_until[coordinator] = now + COORDINATOR_BACKOFF_S
            self.choose_at = now
