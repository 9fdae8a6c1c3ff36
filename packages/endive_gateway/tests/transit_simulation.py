"""Builder of a fleet in simulated time of which some nodes reach no server."""

from types import SimpleNamespace

from endive_gateway.paths import CONNECT_TIMEOUT_S, RACE_AFTER_S
from endive_gateway.server_checks import MIN_CHECK_GAP_S
from endive_gateway.tcp import LISTEN_PROBE_TIMEOUT_S
from endive_gateway.transit import TransitAnswer, TransitReply
from endive_gateway.transit_port import SERVER_CONNECT_TIMEOUT_S
from fleet_simulation import SimulatedFleet
from gateway_builders import make_entry

SERVERS = 20
HOLD_S = 0.5
"""Time for which a request holds its connection, seconds."""

ROUND_TRIP_S = 0.004
LEARN_S = SERVER_CONNECT_TIMEOUT_S + LISTEN_PROBE_TIMEOUT_S
"""Time after which a node that is cut off asks others about a server, seconds."""


class TransitFleet(SimulatedFleet):
    """Nodes that open connections to servers for their callers' requests.

    Attributes
    ----------
    cut : set of str
        Addresses of the nodes that reach no server.
    tries : list of (float, str, float or None)
        When and where each request came, and the seconds after which it had a
        connection; ``None`` if it got none.
    asked, unreachable : int
        Connections that transit nodes were asked for, and those that they tried to open
        in vain.
    max_carried : dict of str to int
        Most connections that each node carried for others.
    """

    def __init__(self, monkeypatch, nodes, seed=1):
        self.cut = set()
        self.tries = []
        self.asked = self.unreachable = 0
        self.max_carried = {}
        super().__init__(monkeypatch, nodes, seed)
        self.by_address = {node.address: node for node in self.nodes}

    def prepare(self, node):
        context = node.context
        for number in range(SERVERS):
            context.registry.put(make_entry(f"i-{number}"))
        context.registry.is_loaded = True
        context.transit_port.accepting = True
        context.paths.transit.ask = lambda address, server: self.ask(
            node, address, server
        )
        super().prepare(node)

    def run(self, seconds, per_s):
        """Let requests come to all nodes alike for some seconds.

        Parameters
        ----------
        per_s : float
            Requests a second at each node.
        """
        end = self.clock.now + seconds
        for node in self.nodes:
            first = self.clock.now + self.random.expovariate(per_s)
            self.at(first, self.request, node, per_s, end)
            self.at(first, self.probe, node, end)
        self.run_until(end)

    def request(self, node, per_s, end):
        if self.clock.now >= end:
            return
        server = f"i-{self.random.randrange(SERVERS)}"
        paths, now = node.context.paths, self.clock.now
        if paths.is_blocked(server):
            self.go_through(node, server, now)
        elif node.address in self.cut:
            self.at(now + RACE_AFTER_S, self.race, node, server, now)
        else:
            paths.connected(server)
            self.tries.append((now, node.address, ROUND_TRIP_S))
        self.at(now + self.random.expovariate(per_s), self.request, node, per_s, end)

    def race(self, node, server, began_at):
        stream = self.go_through(node, server, began_at)
        if stream is not None:
            due = began_at + CONNECT_TIMEOUT_S
            self.at(due, self.settle, node, server, began_at, stream.node)

    def settle(self, node, server, began_at, through):
        if node.address in self.cut:
            node.context.paths.block(server, began_at, through, refused=False)

    def learn(self, node, server):
        """Check a server that was not reached for another node, at most twice a second.

        See :meth:`ServerChecks.check_soon`.
        """
        checks, now = node.context.checks, self.clock.now
        if node.address in self.cut and now >= checks.next_check_at:
            checks.next_check_at = now + MIN_CHECK_GAP_S
            _, stream = node.context.paths.transit.open(server)
            if stream is not None:
                node.context.paths.block(server, now, stream.node, refused=False)

    def go_through(self, node, server, began_at):
        asked, unreachable = self.asked, self.unreachable
        _, stream = node.context.paths.transit.open(server)
        waited_s = self.clock.now - began_at
        waited_s += 2 * (self.asked - asked) * ROUND_TRIP_S
        waited_s += (self.unreachable - unreachable) * SERVER_CONNECT_TIMEOUT_S
        served = None if stream is None else waited_s
        self.tries.append((began_at, node.address, served))
        return stream

    def ask(self, node, address, server):
        """Answer for a transit node, as :meth:`TransitPort._open` does."""
        self.asked += 1
        carrier = self.by_address[address]
        port = carrier.context.transit_port
        if carrier.context.paths.is_blocked(server):
            referral = carrier.context.paths.transit.choice.referral()
            return TransitAnswer(TransitReply.BLOCKED, referral=referral or "")
        if address in self.cut:
            self.unreachable += 1
            self.at(self.clock.now + LEARN_S, self.learn, carrier, server)
            return TransitAnswer(TransitReply.UNREACHABLE)
        port.carried += 1
        most = max(port.carried, self.max_carried.get(address, 0))
        self.max_carried[address] = most
        self.at(self.clock.now + HOLD_S, self.release, node, carrier)
        return TransitAnswer(TransitReply.CONNECTED, SimpleNamespace(node=address))

    def release(self, node, carrier):
        carrier.context.transit_port.carried -= 1
        node.context.paths.transit.choice.close(carrier.address)

    def probe(self, node, end):
        """Try to reach a blocked server again, as the nodes do each second."""
        paths = node.context.paths
        if paths.reachability.blocked and node.address not in self.cut:
            paths.connected(next(iter(paths.reachability.blocked)))
        if self.clock.now < end:
            self.at(self.clock.now + 1.0, self.probe, node, end)

    def tries_since(self, since, *, cut):
        """Return the waits of the tries at nodes that are cut off, or the others."""
        return [
            waited_s
            for at, address, waited_s in self.tries
            if at >= since and (address in self.cut) is cut
        ]
