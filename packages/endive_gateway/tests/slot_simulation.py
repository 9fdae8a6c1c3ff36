"""Builder of a fleet in simulated time before servers of a plain service."""

import functools

from core_builders import call
from endive_core.exceptions import EndiveError
from endive_core.hashing import rendezvous_choice
from endive_gateway.slot_leasing import UPDATE_INTERVAL_S
from endive_gateway.slot_messages import PoolSlotReply
from fleet_simulation import SimulatedFleet
from gateway_builders import SERVICE, make_entry
from simulated_requests import SimulatedRequest
from simulated_servers import Arrival, Arrivals, SimulatedServer


class SlotFleet(SimulatedFleet):
    """Nodes before servers of a plain service.

    Attributes
    ----------
    ends : list of (float, str, float)
        When requests came, ``ok`` or the kind of error, and their time, seconds.
    slot_messages : int
        Messages about slots that nodes have sent each other.
    favoured, favoured_share : int, float
        Index of a node, and the share of all requests that come there besides its own.
    max_returns : int
        How often a caller returns that was refused.
    requests : list of SimulatedRequest
        Those that were admitted.
    loses : callable
        Returns whether a message about slots is lost.
    """

    server_type = SimulatedServer

    def __init__(self, monkeypatch, nodes, workload, seed=1):
        monkeypatch.setattr("gevent.sleep", lambda seconds=0: None)
        self.workload = workload
        self.seed = seed
        self.arrivals = Arrivals(workload, seed)
        self.ends = []
        self.requests = []
        self.slot_messages = 0
        self.favoured, self.favoured_share = 0, 0.0
        self.max_returns = 0
        self.loses = lambda message: False
        self.servers = {}
        super().__init__(monkeypatch, nodes, seed)

    @property
    def capacity_per_s(self):
        """Requests a second that all servers together can run."""
        return self.workload.capacity_per_s

    def prepare(self, node):
        if not self.servers:
            names = [f"i-{number}" for number in range(self.workload.servers)]
            self.servers = {name: self.server_type(self, name) for name in names}
        context = node.context
        context.placer.random.seed(node.address)
        node.pool_requests = {}
        leasing = context.slot_leasing
        leasing.address = node.address
        leasing.datagrams.send = self.deliver_later(node.address)
        leasing.receive = self.receive_at(node, leasing.receive)
        self.at(self.clock.now, self.update_slots, leasing)
        for server in self.servers:
            entry = make_entry(server, slots=self.workload.slots)
            context.registry.put(entry)
        context.registry.is_loaded = True
        context.registry.notify_listeners()
        super().prepare(node)

    def receive_at(self, node, receive):
        """Return a function that receives messages about slots at a node."""

        def receive_message(message, address):
            receive(message, address)
            if isinstance(message, PoolSlotReply):
                request = node.pool_requests.get(message.number)
                if request is not None:
                    self.at(self.clock.now, request.check_pool, request.pool_lease)

        return receive_message

    def deliver_later(self, sender):
        """Return a function that sends messages about slots over a network."""

        def send(message, receivers):
            for receiver in receivers:
                self.slot_messages += 1
                if self.reaches(sender, receiver) and not self.loses(message):
                    due = self.clock.now + self.workload.one_way_s
                    self.at(due, self.receive, receiver, message, sender)

        return send

    def receive(self, receiver, message, sender):
        """Hand a message about slots to a node."""
        self.by_address[receiver].context.slot_leasing.receive(message, sender)

    @functools.cached_property
    def by_address(self):
        return {node.address: node for node in self.nodes}

    def update_slots(self, leasing):
        leasing.update()
        self.at(self.clock.now + UPDATE_INTERVAL_S, self.update_slots, leasing)

    def coordinator(self):
        """Return the node that coordinates the pool, as all nodes choose it."""
        addresses = [node.address for node in self.nodes]
        return rendezvous_choice(SERVICE, addresses)

    def pools(self):
        """Return the pools of all nodes."""
        for node in self.nodes:
            yield from node.context.slot_pooling.coordinator.pools.values()

    def switch_pools(self, enabled):
        """Let operators switch pools on or off at all nodes."""
        for node in self.nodes:
            node.context.slot_pooling.is_enabled = lambda: enabled

    def run(self, seconds, load):
        """Let requests arrive for some seconds, at `load` times the capacity."""
        end = self.clock.now + seconds
        self.at(self.clock.now, self.request, load * self.capacity_per_s, end)
        self.run_until(end)

    def request(self, per_s, end):
        node = self.random.choice(self.nodes)
        if self.random.random() < self.favoured_share:
            node = self.nodes[self.favoured]
        now = self.clock.now
        deadline = now + self.workload.deadline_s
        number, work_s = next(self.numbers), self.arrivals.work_s()
        self.admit(node, Arrival(number, deadline, work_s, self.organisation()))
        if now < end:
            self.at(now + self.arrivals.gap_s(per_s), self.request, per_s, end)

    def admit(self, node, arrival, returns=0):
        """Let a request come for the first time, or after it was refused."""
        now = self.clock.now
        context = node.context
        workload = self.workload
        retryable = not (
            workload.non_idempotent and self.random.random() < workload.non_idempotent
        )
        try:
            ticket = context.placer.admit(
                SERVICE,
                call(
                    f"q{arrival.number}",
                    fingerprint=f"f{arrival.number}",
                    prompt_tokens=0,
                    max_tokens=1,
                    target_s=self.workload.target_s,
                    deadline=arrival.deadline,
                    organisation=arrival.organisation,
                    non_idempotent=not retryable,
                ),
                pooled=context.slot_pooling.is_pooled(SERVICE),
            )
        except EndiveError as error:
            self.refused(error, arrival, now, returns)
        else:
            request = SimulatedRequest(self, node, ticket, arrival, retryable=retryable)
            request.returns = returns
            self.requests.append(request)
            request.wait_for_server()

    def refused(self, error, arrival, came_at, returns):
        """Note a refusal, and let the caller return once it is told to."""
        now = self.clock.now
        self.ends.append((came_at, str(error.kind), now - came_at))
        wait_s = error.retry_after_s or 0.0
        if returns < self.max_returns and wait_s <= (arrival.deadline - now) / 3:
            again = self.random.choice(self.nodes)
            self.at(now + wait_s, self.admit, again, arrival, returns + 1)

    def organisation(self):
        """Return the organisation of the next request; few send most."""
        if self.workload.organisations == 1:
            return "org"
        return f"org-{int(self.workload.organisations * self.random.random() ** 3)}"

    def served_share(self, since, *, within_s=None):
        """Return the share of the requests since a time that were answered in time."""
        within_s = within_s or self.workload.target_s
        ends = [(end, took) for at, end, took in self.ends if at >= since]
        in_time = sum(end == "ok" and took <= within_s for end, took in ends)
        return in_time / max(1, len(ends))
