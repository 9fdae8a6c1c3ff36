"""Builder of callers that exceed a limit at simulated nodes, and return when told."""

import heapq
import itertools
import sys
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from statistics import median

from endive_core.hashing import fingerprint
from endive_core.limit_coordination import (
    MAX_NODES_WITHOUT_GRANTS,
    coordinator_for,
    may_spend_without_grant,
)
from test_limit_coordination import BURST, RATE, SLACK, WINDOW_S, Fleet

FLOOD_AT_S, FLOOD_S = 6.0, 11.0
BOUND = RATE * WINDOW_S + BURST + 0.4 * SLACK


@dataclass(frozen=True)
class Kind:
    """A kind of request: its part of the units, and the units of one on average."""

    name: str
    priority: int
    part: float
    units: float
    deadline_s: float


KINDS = (
    Kind("clinic", 0, 0.5, 35.0, 5.3),
    Kind("refill", 1, 0.3, 9.0, 3.0),
    Kind("shop", 2, 0.2, 6.0, 15.0),
)


@dataclass
class Caller:
    kind: Kind
    units: float
    fingerprint: str
    first_at: float
    told: list[float] = field(default_factory=list)
    admitted_at: float | None = None


class CallerFleet(Fleet):
    """Nodes with the product's limits before callers that return once, when told.

    Parameters
    ----------
    ordered : bool
        Whether requests have claims; without, they are taken in order of arrival.
    patient : bool
        Whether callers return also beyond their deadline.
    """

    def __init__(self, size, *, ordered=True, patient=False, kinds=KINDS, seed=1):
        super().__init__(size, grants=size > MAX_NODES_WITHOUT_GRANTS)
        self.ordered, self.patient, self.kinds = ordered, patient, kinds
        self.random = Random(seed)
        self.interval_s = 1.0 if self.grants else 0.2
        self.callers = []
        self.spent = []
        self.live = dict(self.nodes)
        self.cut_off = set()
        for node in self.nodes.values():
            node.limits.order.set_priorities(kind.priority for kind in kinds)

    # Messages between nodes

    def broadcast(self, node):
        if node.name not in self.live:
            return
        node.sequence += 1
        spent = dict(node.limits.own_totals())
        refused = dict(node.limits.order.refused)
        if node.name not in self.cut_off:
            self.schedule(self.delay_s, self.receive_all, node, spent, refused)
        self.schedule(self.interval_s, self.broadcast, node)

    def receive_all(self, sender, spent, refused):
        origin = self.origin(sender.name, sender.sequence)
        for other in self.live.values():
            if other is not sender and other.name not in self.cut_off:
                other.limits.receive(origin, spent, self.now, refused)

    def kill(self, name):
        del self.live[name]

    # Requests

    def coordinator(self, node=None):
        if node is not None and node.name in self.cut_off:
            return node
        names = self.live.keys() - self.cut_off
        return self.live[coordinator_for("o", sorted(names))]

    def request(self, caller):
        node = self.random.choice(list(self.live.values()))
        claim = None
        if self.ordered:
            claim = node.limits.order.claim(caller.fingerprint, caller.kind.priority)
        left, most = node.limits.left("o", self.now, rate=RATE, burst=BURST)
        share = node.limits.order.reserve_share("o", claim, self.now)
        left -= share * most
        even = may_spend_without_grant(caller.units, left=left, nodes=len(self.nodes))
        coordinator = self.coordinator(node)
        if self.grants and node is not coordinator and left > 0 and not even:
            node.requested += caller.units
            arguments = (coordinator, node, caller, claim, share)
            self.schedule(self.delay_s, self.decide, *arguments)
            return
        wait_s = node.limits.wait_s(
            "o", caller.units, self.now, rate=RATE, burst=BURST, claim=claim
        )
        if wait_s:
            self.refused(caller, wait_s)
            return
        self.admit(caller, node)
        if node is coordinator:
            self.count_at_coordinator(node, node.name, caller.units)
        else:
            self.send_update(coordinator, [self.entry(node, node.name)])

    def count_at_coordinator(self, coordinator, name, units):
        coordinator.count.add("o", name, units)
        left, most = coordinator.limits.left("o", self.now, rate=RATE, burst=BURST)
        if coordinator.count.take_due("o", left=left, most=most):
            self.schedule(self.delay_s, self.learn_left_all, coordinator, left)

    def learn_left_all(self, coordinator, left):
        for other in self.live.values():
            if other is not coordinator and other.name not in self.cut_off:
                self.learn_left(other, left)

    def decide(self, coordinator, node, caller, claim, share):
        total = node.limits.own_totals().get("o", 0.0) + caller.units
        wait_s = coordinator.limits.grant(
            self.origin(node.name, node.sequence),
            "o",
            total,
            self.now,
            rate=RATE,
            burst=BURST,
            reserve_share=share,
        )
        if wait_s == 0.0:
            self.count_at_coordinator(coordinator, node.name, caller.units)
        self.schedule(self.delay_s, self.decided, node, caller, claim, wait_s)

    def decided(self, node, caller, claim, wait_s):
        node.requested -= caller.units
        if wait_s == 0.0:
            node.limits.spend("o", caller.units)
            self.admit(caller, node)
            return
        wait_s = node.limits.refuse(
            "o", caller.units, self.now, rate=RATE, claim=claim, wait_s=wait_s or 0.0
        )
        self.refused(caller, wait_s)

    def admit(self, caller, node):
        caller.admitted_at = self.now
        self.spent.append((self.now, caller.units, node.name))

    def refused(self, caller, wait_s):
        caller.told.append(wait_s)
        at = self.now + wait_s
        in_time = at < caller.first_at + caller.kind.deadline_s
        if len(caller.told) == 1 and (self.patient or in_time):
            late_s = self.random.uniform(0.002, 0.05)
            self.schedule(wait_s + late_s, self.request, caller)

    # Load

    def load(self, seconds, units_per_s):
        """Let requests of all kinds arrive at random for some seconds."""
        end = self.now + seconds
        for kind in self.kinds:
            at, per_s = self.now, units_per_s * kind.part / kind.units
            while (at := at + self.random.expovariate(per_s)) < end:
                units = kind.units * self.random.choice((0.3, 0.5, 0.8, 2.4))
                name = fingerprint(f"{kind.name} {len(self.callers)}")
                caller = Caller(kind, units, name, at)
                self.callers.append(caller)
                self.schedule(at - self.now, self.request, caller)
        self.run_until(end)

    def run_until(self, end):
        while self.queue and self.queue[0][0] <= end:
            self.now, _, act, arguments = heapq.heappop(self.queue)
            act(*arguments)
        self.now = end

    # Results

    def honest(self):
        """Return how many callers returned when told, and how many were admitted."""
        returned = [
            caller
            for caller in self.callers
            if caller.told and (caller.admitted_at is not None or len(caller.told) > 1)
        ]
        admitted = sum(caller.admitted_at is not None for caller in returned)
        return len(returned), admitted

    def served(self):
        """Return the part of each kind's requests in the flood that was admitted."""
        sent, served = Counter(), Counter()
        for caller in self.callers:
            if FLOOD_AT_S <= caller.first_at < FLOOD_AT_S + FLOOD_S:
                sent[caller.kind.name] += 1
                served[caller.kind.name] += caller.admitted_at is not None
        return {name: served[name] / sent[name] for name in sent}

    def spent_by(self, name, start, end):
        """Return the units that a node has spent from `start` to `end`."""
        return sum(
            u for at, u, node in self.spent if node == name and start <= at < end
        )

    def most_in_window(self):
        """Return the most units spent in any window."""
        first, total, most = 0, 0.0, 0.0
        for at, units, _ in self.spent:
            total += units
            while self.spent[first][0] <= at - WINDOW_S:
                total -= self.spent[first][1]
                first += 1
            most = max(most, total)
        return most


def flooded(size, *, factor=2.6, after_s=20.0, fault=lambda fleet: None, **options):
    """Return a fleet after a flood of 11 s and the time after it.

    Parameters
    ----------
    fault : callable
        Called 3 s after the flood's begin.
    """
    fleet = CallerFleet(size, **options)
    fleet.load(FLOOD_AT_S, 0.6 * RATE)
    fleet.schedule(3.0, fault, fleet)
    fleet.load(FLOOD_S, factor * RATE)
    fleet.load(after_s, 0.6 * RATE)
    fleet.run_until(fleet.now + after_s / 2)
    return fleet


def row(size, **options):
    """Return the figures of one simulation as a line of text."""
    fleet = flooded(size, **options)
    returned, admitted = fleet.honest()
    told = [caller.told[0] for caller in fleet.callers if caller.told]
    parts = fleet.served()
    return (
        f"{size} nodes, {options}: {len(told)} refused, told {median(told):.2f} s, "
        f"{admitted} of {returned} admitted on return, {fleet.most_in_window():.0f} of "
        f"{BOUND:.0f} in a window; admitted "
        + ", ".join(f"{name} {part:.2f}" for name, part in parts.items())
    )


if __name__ == "__main__":
    for nodes, ordered, patient in itertools.product(
        map(int, sys.argv[1:]), (False, True), (False, True)
    ):
        print(row(nodes, ordered=ordered, patient=patient), flush=True)
