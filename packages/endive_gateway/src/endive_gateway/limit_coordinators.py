"""Chooses the nodes that coordinate organisations' limits, without communication."""

import time
from collections.abc import Callable

from endive_core.limit_coordination import COORDINATOR_BACKOFF_S, coordinator_for


class LimitCoordinators:
    """The coordinators of limits, by hashing, as this node knows the others.

    All nodes with the same view of the cluster choose the same ones. A choice is cached
    until the nodes change, since it takes one hash for each node.

    Attributes
    ----------
    address : callable
        Returns the address of this node.
    peer_addresses : callable
        Returns the addresses of the other nodes that are presumed to be live.
    skipped_until : dict of str to float
        By address, until when a node that didn't reply is not asked.
    coordinators, successors : dict
        By organisation, the nodes last considered and the one chosen among them.
    """

    def __init__(
        self, address: Callable[[], str], peer_addresses: Callable[[], list[str]]
    ) -> None:
        self.address = address
        self.peer_addresses = peer_addresses
        self.skipped_until: dict[str, float] = {}
        self.coordinators: dict[str, tuple[list[str], str]] = {}
        self.successors: dict[str, tuple[list[str], str]] = {}

    def coordinator(self, organisation: str) -> str:
        """Return the address of the organisation's coordinator."""
        now = time.monotonic()
        candidates = [
            n for n in self.peer_addresses() if self.skipped_until.get(n, 0.0) <= now
        ]
        nodes = [self.address(), *candidates]
        return self._choose(self.coordinators, organisation, nodes)

    def deciders(self, organisation: str, skipped: list[str]) -> set[str]:
        """Return the other nodes that may decide instead of this one.

        These are the node that is asked if this one is silent and, if this one was
        asked because another was, that one.

        Parameters
        ----------
        skipped : list of str
            Addresses of nodes that the requesting node doesn't ask.
        """
        found = {self.coordinator(organisation)}
        peers = [n for n in self.peer_addresses() if n not in skipped]
        if peers:
            found.add(self._choose(self.successors, organisation, peers))
        return found - {self.address()}

    def skip(self, node: str) -> None:
        """Use another coordinator for a while."""
        now = time.monotonic()
        for other in [n for n, until in self.skipped_until.items() if until <= now]:
            del self.skipped_until[other]
        self.skipped_until[node] = now + COORDINATOR_BACKOFF_S

    def skipped(self) -> list[str]:
        """Return the addresses of the nodes that are not asked at present."""
        now = time.monotonic()
        return [node for node, until in self.skipped_until.items() if until > now]

    @staticmethod
    def _choose(
        cache: dict[str, tuple[list[str], str]], organisation: str, nodes: list[str]
    ) -> str:
        known, chosen = cache.get(organisation, (None, ""))
        if known != nodes:
            chosen = coordinator_for(organisation, nodes)
            cache[organisation] = nodes, chosen
        return chosen
