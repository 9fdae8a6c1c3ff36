"""Builder of a fleet in simulated time before servers of which some name limits."""

import itertools

from core_builders import call
from endive_core.exceptions import EndiveError
from endive_gateway.interfaces import ResponseMetadata
from fleet_simulation import SimulatedFleet
from gateway_builders import SERVICE, make_entry

SERVICE_S = 0.05
WINDOW_S = 4.0


class LimitedFleet(SimulatedFleet):
    """Nodes with the product's decisions and messages, without a network.

    Parameters
    ----------
    limits : dict of str to float
        By server, the limit that it names, or ``None``.

    Attributes
    ----------
    arrivals : dict of str to list of float
        By server, when it received requests.
    refused : list of (float, EndiveError, float)
        When requests were refused, why, and how long they were held, seconds.
    """

    def __init__(self, monkeypatch, nodes, limits, seed=1, slots=64):
        self.limits = limits
        self.slots = slots
        self.arrivals = {server: [] for server in limits}
        self.refused = []
        super().__init__(monkeypatch, nodes, seed)

    def prepare(self, node):
        context = node.context
        context.limit_sharing.address = node.address
        for server in self.limits:
            context.registry.put(make_entry(server, slots=self.slots))
        context.registry.is_loaded = True
        context.registry.notify_listeners()
        super().prepare(node)

    def run(self, seconds, per_s):
        """Let `per_s` requests a second arrive at random nodes for some seconds."""
        end = self.clock.now + seconds
        self.at(self.clock.now, self.request, per_s, end)
        self.run_until(end)

    def request(self, per_s, end):
        node = self.random.choice(self.nodes)
        number = next(self.numbers)
        placer = node.context.placer
        try:
            ticket = placer.admit(
                SERVICE,
                call(
                    f"q{number}",
                    fingerprint=f"f{number}",
                    prompt_tokens=0,
                    max_tokens=1,
                    target_s=0.4,
                    deadline=self.clock.now + 3.0,
                ),
            )
        except EndiveError as error:
            self.refused.append((self.clock.now, error, 0.0))
        else:
            self.wait_for_server(node, ticket, self.clock.now)
        if self.clock.now < end:
            self.at(
                self.clock.now + self.random.expovariate(per_s),
                self.request,
                per_s,
                end,
            )

    def wait_for_server(self, node, ticket, since):
        """Send the ticket once a server is assigned; queues are polled each 10 ms."""
        placer = node.context.placer
        result = placer.waiting[ticket]
        if not result.ready():
            for scheduler in placer.schedulers.values():
                placer.dispatch_queued(scheduler)
        if not result.ready():
            self.at(self.clock.now + 0.01, self.wait_for_server, node, ticket, since)
            return
        try:
            server = result.get().id
        except EndiveError as error:
            placer.end(ticket)
            self.refused.append((self.clock.now, error, self.clock.now - since))
            return
        self.arrivals[server].append(self.clock.now)
        self.arrived(node, ticket, server)

    def arrived(self, node, ticket, server):
        """Let a server begin with a request."""
        self.at(
            self.clock.now + SERVICE_S,
            self.answer,
            node,
            ticket,
            server,
            self.clock.now,
            self.limits[server],
        )

    def answer(self, node, ticket, server, sent_at, limit):
        metadata = ResponseMetadata(request_limit=limit)
        node.context.limit_sharing.observe(server, metadata, sent_at)
        placer = node.context.placer
        placer.report(server, len(self.recent(server, SERVICE_S)), 0)
        if ticket in placer.ticket_schedulers:
            placer.finished(ticket, 1)
            placer.end(ticket)

    def recent(self, server, seconds):
        since = self.clock.now - seconds
        return list(itertools.takewhile(since.__le__, reversed(self.arrivals[server])))

    def received_since(self, server, since):
        """Return when `server` received requests since a time."""
        return [at for at in self.arrivals[server] if at >= since]

    def most_in_window(self, server, since):
        """Return the most requests that `server` received within `WINDOW_S`."""
        times = self.received_since(server, since)
        most = first = 0
        for last, at in enumerate(times):
            while times[first] < at - WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most
