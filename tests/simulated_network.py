"""A simulated network of many membership instances in one process."""

import random
from dataclasses import replace

from endive_core.facts import FactTable
from endive_core.members import Member, MemberState
from endive_core.membership import Membership, Timings

ZONES = ("brest", "quimper", "lannion")
ROUND_S = 1 / 3


def member(number, **fields):
    """Return a live member whose ids and addresses have realistic lengths."""
    values = {
        "id": f"node-{number:03d}",
        "zone": ZONES[number % len(ZONES)],
        "region": "brittany",
        "peer_address": f"10.20.{number // 250}.{number % 250}:8082",
        "gossip_address": f"10.20.{number // 250}.{number % 250}:8083",
        "incarnation": 1_790_000_000,
    }
    return Member(**(values | fields))


class SimulatedNetwork:
    """Membership instances whose datagrams arrive immediately or are lost.

    Attributes
    ----------
    blocked : callable
        Returns whether a datagram is lost, for the sender's and receiver's addresses.
    """

    def __init__(self, count, seed=1, loss=0.0, timings=None):
        self.random = random.Random(seed)
        self.loss = loss
        self.timings = timings or Timings()
        self.time = 0.0
        self.nodes = {}
        self.blocked = lambda sender, receiver: False
        self.paused = set()
        for number in range(count):
            self.add(member(number))

    def now(self):
        return self.time

    def add(self, me, seeds=3):
        """Start a node that knows up to `seeds` of the running ones; return it."""
        node = Membership(
            me, FactTable(self.now), self.now, self.random, self.timings, ROUND_S
        )
        others = sorted(self.nodes)
        node.seeds = set(self.random.sample(others, min(seeds, len(others))))
        self.nodes[me.gossip_address] = node
        return node

    def stop(self, node):
        """Remove a node without an announcement, as a killed process ends."""
        del self.nodes[node.me.gossip_address]

    def restart(self, node, **fields):
        """Start a stopped node again without its state."""
        fields = {"incarnation": node.me.incarnation + 60} | fields
        return self.add(replace(node.me, heartbeat=0, **fields))

    def send(self, sender, receiver, wanted=()):
        digest = sender.digest(wanted)
        target = self.nodes.get(receiver)
        lost = self.random.random() < self.loss
        if target is None or lost or self.blocked(sender.me.gossip_address, receiver):
            return
        if receiver not in self.paused and target.receive(digest):
            self.send(target, sender.me.gossip_address, digest.wanted)

    def run_round(self):
        """Let every node send one datagram."""
        for address, node in list(self.nodes.items()):
            if address in self.paused or address not in self.nodes:
                continue
            node.tick()
            receiver = node.receiver()
            if receiver is not None:
                self.send(node, receiver)
        self.time += ROUND_S

    def run(self, seconds):
        for _ in range(int(seconds / ROUND_S)):
            self.run_round()

    def seconds_until(self, condition, limit_s=120.0):
        """Run until `condition(node)` holds on every node; return the seconds."""
        started = self.time
        while not all(condition(node) for node in self.nodes.values()):
            assert self.time - started < limit_s, f"condition false after {limit_s} s"
            self.run_round()
        return self.time - started

    def all_live(self):
        """Return a condition: a node lists exactly the running nodes as live."""
        ids = sorted(
            node.me.id
            for node in self.nodes.values()
            if node.me.state is MemberState.LIVE
        )
        return lambda node: [m.id for m in node.live()] == ids
