"""Builder of a fleet of nodes in simulated time, without a network."""

import heapq
import itertools
import random

from endive_gateway.peers import (
    BROADCAST_INTERVAL_PER_NODE_S,
    BROADCAST_INTERVAL_S,
    DATAGRAMS_PER_STEP,
)
from gateway_builders import connected_peers


class Clock:
    """A clock that the simulation sets."""

    def __init__(self):
        self.now = 1_000.0

    def __call__(self):
        return self.now


class SimulatedFleet:
    """Nodes with the product's decisions and messages.

    Attributes
    ----------
    reaches : callable
        Returns whether messages of one node reach another.
    """

    def __init__(self, monkeypatch, nodes, seed=1):
        self.clock = Clock()
        monkeypatch.setattr("time.monotonic", self.clock)
        self.random = random.Random(seed)
        self.numbers = itertools.count()
        self.events = []
        self.reaches = lambda sender, receiver: True
        self.nodes = connected_peers(nodes)
        for number, node in enumerate(self.nodes):
            node.context.random.seed(f"{seed}/{number}")
            self.prepare(node)
            self.at(self.clock.now + self.random.random(), self.broadcast, node, 0)

    def prepare(self, node):
        """Set a node up before it sends its first message."""
        node.context.server_rests.address = node.address
        node.context.set_nodes(len(self.nodes))

    def at(self, time, action, *args):
        heapq.heappush(self.events, (time, next(self.numbers), action, args))

    def run_until(self, end):
        """Carry out what is due until `end`."""
        while self.events and self.events[0][0] <= end:
            self.clock.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        self.clock.now = end

    def broadcast(self, node, step):
        count = len(self.nodes)
        interval = max(BROADCAST_INTERVAL_S, BROADCAST_INTERVAL_PER_NODE_S * count)
        steps = max(1, -(-(count - 1) // DATAGRAMS_PER_STEP))
        first = step % steps * DATAGRAMS_PER_STEP
        peers = list(node.known.values())[first : first + DATAGRAMS_PER_STEP]
        node.send_state([p for p in peers if self.reaches(node.address, p.address)])
        node._set_timeouts(interval)
        node.context.server_statements.refresh()
        self.at(self.clock.now + interval / steps, self.broadcast, node, step + 1)
