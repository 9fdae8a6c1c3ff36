"""Builder of a fleet in simulated time in which a rollout is ordered.

The messages, the placement, the duties and the comparison are the product's. A fifth of
the messages are lost, whatever they contain.
"""

from core_builders import call
from endive_core.exceptions import EndiveError, RetryReason
from endive_core.routing import RouteKind
from endive_gateway import duties as duties_module
from endive_gateway import peers as peers_module
from endive_gateway import rollouts as rollouts_module
from endive_gateway import version_division as division_module
from endive_gateway.autoscaling import Autoscaler
from endive_gateway.duties import Duties
from endive_gateway.exceptions import AttemptError
from endive_gateway.interfaces import ServerResponse, Topic
from endive_gateway.rollouts import JUDGING_INTERVAL_S
from fleet_simulation import SimulatedFleet
from gateway_builders import SERVICE, make_entry, make_route
from rollout_builders import NEW, OLD, allow_rollouts, order
from store_builders import MemoryStore, RecordingCloud

LOSS = 0.2
DELAY_S = 0.02
WORK_S = 0.05
DUTY_STEP_S = 0.25
DURATION_S = 12.0
ORDER_OFFSET = 7
WALL = 1_000_000.0


class OrderedFleet(SimulatedFleet):
    """Nodes before servers of two versions, of which one is ordered.

    Attributes
    ----------
    failing : float
        Part of the new version's responses that are failures.
    sent : dict of str to list of float
        By version, when its servers received requests, seconds since the order.
    bad_at : list of float
        When the new version's responses failed.
    """

    def __init__(self, monkeypatch, nodes, *, servers=10, failing=0.0, seed=1):
        self.servers = servers
        self.failing = failing
        self.sent = {OLD: [], NEW: []}
        self.bad_at = []
        self.ordered_at = 0.0
        self.store = MemoryStore()
        self.route = make_route(kind=RouteKind.IDEMPOTENT, target_s=0.25)
        monkeypatch.setattr("gevent.sleep", lambda *seconds: None)
        monkeypatch.setattr("time.time", lambda: WALL + self.clock.now)
        super().__init__(monkeypatch, nodes, seed)
        for module in (duties_module, peers_module, rollouts_module, division_module):
            monkeypatch.setattr(module, "boot_time", self.clock)
        self.holder = self._make_holder()
        self.run_until(self.clock.now + 1.0)

    def prepare(self, node):
        context = node.context
        context.placer.random.seed(context.random.random())
        allow_rollouts(context)
        self._put_servers(context, "old", OLD)
        context.registry.is_loaded = True
        context.registry.notify_listeners()
        context.rollouts.announce = lambda: self.announce(node)
        deliver = node.datagrams.send
        node.datagrams.send = lambda message, addresses: self.lose(
            deliver, message, addresses
        )
        self.at(self.clock.now + self.random.random(), self.observe, node)
        super().prepare(node)

    def _put_servers(self, context, name, version):
        for number in range(self.servers):
            entry = make_entry(
                f"{name}-{number}",
                slots=64,
                software_version=version,
                incarnation=1 + (version == NEW),
            )
            context.registry.put(entry)

    def _make_holder(self):
        node = self.nodes[0]
        node.context.store = self.store
        node.context.cloud = RecordingCloud()
        duties = Duties(node.context, node, Autoscaler(node.context, node))
        node.context.started_at -= 3600
        self.at(self.clock.now, self.hold, duties)
        return duties

    # Messages and loops

    def lose(self, deliver, message, addresses):
        kept = [a for a in addresses if self.random.random() >= LOSS]
        if kept:
            self.at(self.clock.now + DELAY_S, deliver, message, kept)

    def announce(self, node):
        if node.rollout_announcement is None:
            node.rollout_announcement = True
            self.at(self.clock.now + 0.01, self.send_announcement, node)

    def send_announcement(self, node):
        node.rollout_announcement = None
        node.send_state(node._some_peers())

    def observe(self, node):
        self.at(self.clock.now + JUDGING_INTERVAL_S, self.observe, node)
        node.context.rollout_observer.step()

    def hold(self, duties):
        self.at(self.clock.now + DUTY_STEP_S, self.hold, duties)
        duties.step()
        duties.peers.fence = duties.lease.fence if duties._is_holder() else 0
        duties.peers.observe_duty_log_end(duties.log.end)

    # The rollout

    def order(self):
        """Let the order arrive at the first node, and its servers start."""
        self.ordered_at = self.clock.now
        told = order(ORDER_OFFSET, duration_s=DURATION_S)
        self.nodes[0].context.rollouts.learn_order(told)
        self.at(self.clock.now + 1.0, self.start_servers)

    def start_servers(self):
        for node in self.nodes:
            self._put_servers(node.context, "new", NEW)
            node.context.registry.notify_listeners()

    def run(self, seconds, per_s):
        """Let `per_s` requests a second arrive at random nodes for some seconds."""
        end = self.clock.now + seconds
        self.at(self.clock.now, self.request, per_s, end)
        self.run_until(end)

    def request(self, per_s, end):
        node = self.random.choice(self.nodes)
        number = next(self.numbers)
        context = node.context
        context.rollout_observer.count_request(SERVICE)
        values = {"prompt_tokens": 0, "max_tokens": 1, "target_s": 0.25}
        try:
            ticket = context.placer.admit(
                SERVICE,
                call(
                    f"q{number}",
                    deployment=self.route.name,
                    fingerprint=f"f{number}",
                    deadline=self.clock.now + 3.0,
                    **values,
                ),
            )
        except EndiveError:
            pass
        else:
            self.send(node, ticket)
        if self.clock.now < end:
            gap_s = self.random.expovariate(per_s)
            self.at(self.clock.now + gap_s, self.request, per_s, end)

    def send(self, node, ticket):
        result = node.context.placer.waiting[ticket]
        if not result.ready():
            node.context.placer.end(ticket)
            return
        server = result.get().id
        entry = node.context.registry.get(server).entry
        observer = node.context.rollout_observer
        observation = observer.begin(entry, self.route, ticket)
        is_new = entry.software_version == NEW
        self.sent[entry.software_version].append(self.clock.now - self.ordered_at)
        fails = is_new and self.random.random() < self.failing
        seconds = WORK_S * self.random.lognormvariate(0.0, 0.4)
        self.at(self.clock.now + seconds, self.answer, node, ticket, observation, fails)

    def answer(self, node, ticket, observation, fails):
        placer, observer = node.context.placer, node.context.rollout_observer
        if fails:
            self.bad_at.append(self.clock.now - self.ordered_at)
            response = ServerResponse(500, b"", [], b"")
            error = AttemptError(
                "failed", RetryReason.SERVER_SLOW, started=True, response=response
            )
            observer.failed(observation, error, "")
        else:
            placer.started(ticket)
            placer.finished(ticket, 1)
            observer.succeeded(observation)
        placer.end(ticket)

    # Results

    def statuses(self):
        """Return the outcomes in the store, in their order."""
        return [r.value.decode() for r in self.store.topics[Topic.STATUS]]

    def exposed(self):
        """Return the requests that reached the new version within the duration."""
        return sum(0 <= at <= DURATION_S for at in self.sent[NEW])

    def bound(self):
        """Return how many may have."""
        total = sum(
            0 <= at <= DURATION_S for times in self.sent.values() for at in times
        )
        return 0.1 * total + 50

    def late_s(self):
        """Return how long after the 50th bad response a request was sent last."""
        if len(self.bad_at) < 50:
            return 0.0
        return max(0.0, self.sent[NEW][-1] - self.bad_at[49])

    def stages(self):
        """Return the kinds of stages that the nodes apply."""
        return {n.context.rollouts.stage(SERVICE).kind for n in self.nodes}
