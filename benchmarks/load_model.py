"""Event-driven load model: servers are queues with a rate, a prefix cache and reports.

The model has no network protocol, processes or engine internals. Events run in order of
time from one heap; the decision objects are the production ones, one for each node, and
share nothing.
"""

import heapq
from collections import OrderedDict
from collections.abc import Callable, Sequence
from random import Random

from deciders import Decider
from endive_core.calls import Refusal, Retry, Ticket
from endive_core.exceptions import RetryReason
from endive_core.messages import ServerView
from endive_core.prefixes import BLOCK_TOKENS
from endive_core.stream_moves import MoveMethod
from load_jobs import Cluster, Job

DISPATCH_INTERVAL_S = 0.01
"""Interval at which a node tries to dispatch without another event, seconds."""


class Model:
    """The clock, the event heap, and the counters of the outcome."""

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster = cluster
        self.random = Random(seed)
        self.now = 0.0
        self.heap: list = []
        self.sequence = 0
        self.servers = {
            view.id: Server(self, view, Random(seed + number))
            for number, view in enumerate(cluster.views())
        }
        self.nodes: list[Node] = []
        self.computed_blocks: set[int] = set()
        self.recomputed_tokens = 0
        self.wasted_tokens = 0
        self.prefilled_tokens = 0
        self.decoded_tokens = 0
        self.jobs: list[Job] = []

    def add_nodes(self, make: Callable[[int], Decider]) -> None:
        """Create the nodes with deciders from `make`, and start the reports."""
        self.nodes = [Node(self, make(i)) for i in range(self.cluster.nodes)]
        for number, node in enumerate(self.nodes):
            self.at(self.cluster.report_every_s * number / 10, node.poll)
            self.at(DISPATCH_INTERVAL_S * number / 10, node.dispatch_periodically)

    def at(self, time: float, action: Callable[..., None], *arguments) -> None:
        """Run `action` at `time`."""
        self.sequence += 1
        heapq.heappush(self.heap, (time, self.sequence, action, arguments))

    def run(self, until: float) -> None:
        """Run all events up to `until`."""
        while self.heap and self.heap[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.heap)
            action(*arguments)

    def offer(self, job: Job, *, node: int | None = None) -> None:
        """Send `job` to a node, by default to a random one as a load balancer does."""
        if not job.offers:
            self.jobs.append(job)
        number = self.random.randrange(len(self.nodes)) if node is None else node
        self.nodes[number].offer(job)


class Server:
    """A model engine: slots, sequential prefills, a prefix cache and load reports."""

    def __init__(self, model: Model, view: ServerView, random: Random) -> None:
        self.model = model
        self.id = view.id
        self.zone = view.zone
        self.random = random
        self.running: dict[Job, tuple[int, float | None]] = {}
        self.waiting: list = []
        self.prefill_free_at = 0.0
        self.slow_factor = 1.0
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.event_seq = 0
        self.dead = False
        self.epoch = 0
        self.history: list[tuple[float, int, int]] = [(0.0, 0, 0)]

    def submit(self, job: Job) -> bool:
        """Queue `job`; return whether the queue had room."""
        if self.dead or len(self.waiting) >= self.model.cluster.max_waiting:
            return False
        self.model.sequence += 1
        entry = (-job.call.rank, self.model.sequence, job, job.attempt)
        heapq.heappush(self.waiting, entry)
        self.start_waiting()
        return True

    def start_waiting(self) -> None:
        """Fill free slots from the queue, highest rank first."""
        while self.waiting and len(self.running) < self.model.cluster.slots:
            _, _, job, attempt = heapq.heappop(self.waiting)
            if attempt == job.attempt and job.finished_at is None:
                self._start(job)
        self.record_load()

    def _start(self, job: Job) -> None:
        model = self.model
        tokens = 0 if job.imported else self._uncached_tokens(job)
        rate = model.cluster.prefill_tokens_per_s / self.slow_factor
        begins = max(model.now, self.prefill_free_at)
        self.prefill_free_at = begins + tokens / rate
        self.running[job] = (job.attempt, None)
        model.at(self.prefill_free_at, self._first_token, job, job.attempt, self.epoch)

    def _uncached_tokens(self, job: Job) -> int:
        """Return the tokens to prefill, and count them as computed and recomputed."""
        model = self.model
        blocks = job.call.blocks
        cached = 0
        while cached < len(blocks) and blocks[cached] in self.cache:
            self.cache.move_to_end(blocks[cached])
            cached += 1
        missing = blocks[cached:]
        recomputed = (
            sum(block in model.computed_blocks for block in missing) * BLOCK_TOKENS
        )
        tokens = job.call.prompt_tokens - cached * BLOCK_TOKENS + job.delivered_tokens
        model.recomputed_tokens += recomputed + job.delivered_tokens
        model.prefilled_tokens += tokens
        return tokens

    def _alive(self, job: Job, attempt: int, epoch: int) -> bool:
        return epoch == self.epoch and self.running.get(job, (None,))[0] == attempt

    def _first_token(self, job: Job, attempt: int, epoch: int) -> None:
        if not self._alive(job, attempt, epoch):
            return
        model = self.model
        self.store(job.call.blocks)
        self.running[job] = (attempt, model.now)
        model.at(model.now + model.cluster.network_s, job.node.first_token, job)
        left = job.answer_tokens - job.delivered_tokens
        rate = model.cluster.decode_tokens_per_s / self.slow_factor
        model.at(model.now + left / rate, self._finish, job, attempt, epoch)

    def _finish(self, job: Job, attempt: int, epoch: int) -> None:
        if not self._alive(job, attempt, epoch):
            return
        self.model.decoded_tokens += job.answer_tokens - job.delivered_tokens
        del self.running[job]
        self.store(job.answer_blocks)
        self.start_waiting()
        self.model.at(
            self.model.now + self.model.cluster.network_s, job.node.finish, job
        )

    def stop(self, job: Job) -> int:
        """Stop `job`; return the tokens that its caller has received."""
        _, first_at = self.running.pop(job, (0, None))
        if first_at is None:
            return job.delivered_tokens
        rate = self.model.cluster.decode_tokens_per_s / self.slow_factor
        new = min(
            int((self.model.now - first_at) * rate),
            job.answer_tokens - job.delivered_tokens - 1,
        )
        self.model.decoded_tokens += max(0, new)
        return job.delivered_tokens + max(0, new)

    def crash(self) -> None:
        """Stop at once; the connections of all jobs break."""
        self.dead = True
        self.epoch += 1
        jobs = list(self.running)
        jobs += [job for _, _, job, a in self.waiting if a == job.attempt]
        self.waiting = []
        for job in jobs:
            job.delivered_tokens = self.stop(job)
            job.node.server_lost(job, RetryReason.SERVER_FAILED)

    def store(self, blocks: Sequence[int]) -> None:
        """Cache `blocks` and publish the changes, with a delay and with gaps."""
        stored = [block for block in blocks if block not in self.cache]
        for block in blocks:
            self.cache[block] = None
            self.cache.move_to_end(block)
        self.model.computed_blocks.update(blocks)
        evicted = []
        while len(self.cache) > self.model.cluster.cache_blocks:
            evicted.append(self.cache.popitem(last=False)[0])
        for kind, changed in ((True, stored), (False, evicted)):
            if changed:
                self._publish(kind, changed)

    def _publish(self, stored: bool, blocks: list[int]) -> None:
        cluster = self.model.cluster
        self.event_seq += 1
        if self.random.random() < cluster.event_gap:
            return
        at = self.model.now + cluster.event_lag_s
        for node in self.model.nodes:
            self.model.at(at, node.cache_event, self.id, self.event_seq, stored, blocks)

    def record_load(self) -> None:
        """Store the current load for delayed reports."""
        self.history.append((self.model.now, len(self.running), len(self.waiting)))

    def report(self) -> tuple[float, int, int]:
        """Return time, running and waiting of `report_lag_s` ago."""
        as_of = self.model.now - self.model.cluster.report_lag_s
        if len(self.history) > 5000:
            self.history = self.history[-2500:]
        for time, running, waiting in reversed(self.history):
            if time <= as_of:
                return as_of, running, waiting
        return as_of, 0, 0


class Node:
    """One node: its decider, driven by callers, servers and reports."""

    def __init__(self, model: Model, decider: Decider) -> None:
        self.model = model
        self.decider = decider
        self.jobs: dict[Ticket, Job] = {}

    def offer(self, job: Job) -> None:
        """Offer a caller's request to the decider."""
        now = self.model.now
        job.node, job.offered_at = self, now
        job.offers += 1
        verdict = self.decider.offer(job.call, now)
        if isinstance(verdict, Refusal):
            job.refusals.append(verdict)
            job.done(job)
            return
        job.ticket = verdict
        self.jobs[verdict] = job
        self.dispatch_queued()

    def dispatch_queued(self) -> None:
        """Send all requests that the decider dispatches."""
        while (dispatch := self.decider.next_dispatch(self.model.now)) is not None:
            self._send(self.jobs[dispatch.ticket], dispatch.server)

    def dispatch_periodically(self) -> None:
        """Dispatch on a timer, as capacity may become free by time alone."""
        self.dispatch_queued()
        self.model.at(self.model.now + DISPATCH_INTERVAL_S, self.dispatch_periodically)

    def _send(self, job: Job, server_id: str) -> None:
        job.attempt += 1
        server = self.model.servers[server_id]
        at = self.model.now + self.model.cluster.network_s
        self.model.at(at, self._arrive, job, job.attempt, server)

    def _arrive(self, job: Job, attempt: int, server: Server) -> None:
        if attempt != job.attempt or job.ticket.server != server.id:
            return
        if not server.submit(job):
            reason = RetryReason.SERVER_BUSY
            if server.dead:
                reason = RetryReason.CONNECT_FAILED
            self._failed(job, reason, started=False)

    def first_token(self, job: Job) -> None:
        """Record the first token."""
        if job.ticket.server:
            self.decider.started(job.ticket, self.model.now)
            if job.first_token_at is None:
                job.first_token_at = self.model.now

    def finish(self, job: Job) -> None:
        """Record the end of the answer."""
        job.finished_at = self.model.now
        job.delivered_tokens = job.answer_tokens
        self.decider.finished(job.ticket, self.model.now, tokens=job.answer_tokens)
        del self.jobs[job.ticket]
        job.done(job)
        self.dispatch_queued()

    def server_lost(self, job: Job, reason: RetryReason) -> None:
        """Handle the loss of the server of `job`."""
        job.imported = False
        self.model.at(
            self.model.now + self.model.cluster.network_s, self._failed, job, reason
        )

    def _failed(self, job: Job, reason: RetryReason, started: bool = True) -> None:
        if not job.ticket.server:
            return
        job.attempt += 1
        now = self.model.now
        verdict = self.decider.failed(job.ticket, now, reason, started=started)
        if isinstance(verdict, Retry):
            self.model.at(now + verdict.delay_s, self._requeue, job)
            return
        self.model.wasted_tokens += job.delivered_tokens + job.call.prompt_tokens
        job.refusals.append(verdict)
        del self.jobs[job.ticket]
        job.done(job)

    def _requeue(self, job: Job) -> None:
        self.decider.requeue(job.ticket)
        self.dispatch_queued()

    def poll(self) -> None:
        """Read the load reports of all servers."""
        for server in self.model.servers.values():
            if not server.dead:
                as_of, running, waiting = server.report()
                self.decider.report(server.id, running, waiting, as_of=as_of)
        self.dispatch_queued()
        self.model.at(self.model.now + self.model.cluster.report_every_s, self.poll)

    def cache_event(
        self, server_id: str, seq: int, stored: bool, blocks: list[int]
    ) -> None:
        """Pass a cache event to the decider."""
        self.decider.cache_event(server_id, seq, stored=stored, blocks=blocks)

    def notice(self, server_id: str, seconds: float) -> None:
        """Handle a reclaim notice for a server; move its streams."""
        self.decider.leaving(server_id)
        for move in self.decider.plan_moves(server_id, seconds_left=seconds):
            if move.method is MoveMethod.FINISH:
                continue
            job = self.jobs[move.ticket]
            at = self.model.now + move.start_delay_s
            self.model.at(at, self._move, job, job.attempt, move.method)

    def _move(self, job: Job, attempt: int, method: MoveMethod) -> None:
        if job.attempt != attempt or not job.ticket.server:
            return
        server = self.model.servers[job.ticket.server]
        started = server.running.get(job, (0, None))[1] is not None
        job.delivered_tokens = server.stop(job)
        server.start_waiting()
        job.imported = method is MoveMethod.EXPORT and started
        job.attempt += 1
        self.decider.moved(job.ticket, self.model.now, tokens=job.delivered_tokens)
        self.dispatch_queued()


def reclaim(model: Model, zone: str, seconds: float) -> None:
    """Give `zone` a reclaim notice now, and stop its servers after `seconds`."""
    for server in model.servers.values():
        if server.zone == zone:
            for node in model.nodes:
                if seconds > 0:
                    node.notice(server.id, seconds)
            model.at(model.now + seconds, server.crash)
